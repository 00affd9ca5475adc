package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 60) }

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var errDenied = errors.New("denied")

// fakeGate denies what its fields list, and counts load permits or takes them
// from a budget.
type fakeGate struct {
	denyLoad, denyEvict map[ids.EndpointID]bool
	pinned              map[ids.AdapterRef]bool
	permits, inFlight   int
	budget              *LoadBudget
}

func (g *fakeGate) MayLoad(_ time.Time, id ids.EndpointID) (ids.FencingToken, error) {
	if g.denyLoad[id] {
		return 0, errDenied
	}
	return 1, nil
}

func (g *fakeGate) MayOrder(_ time.Time, id ids.EndpointID) (ids.FencingToken, error) {
	if g.denyEvict[id] {
		return 0, errDenied
	}
	return 1, nil
}

func (g *fakeGate) MayEvict(_ time.Time, id ids.EndpointID, ref ids.AdapterRef) error {
	if g.denyEvict[id] || g.pinned[ref] {
		return errDenied
	}
	return nil
}

func (g *fakeGate) AcquireLoadPermit(now time.Time) bool {
	if g.budget != nil {
		return g.budget.AcquireLoadPermit(now)
	}
	if g.permits == 0 {
		return false
	}
	g.permits--
	g.inFlight++
	return true
}

func (g *fakeGate) ReleaseLoadPermit(now time.Time, used, known bool) {
	if g.budget != nil {
		g.budget.ReleaseLoadPermit(now, used, known)
		return
	}
	g.inFlight--
	if !used {
		g.permits++
	}
}

func endpointRecord(slots int) records.Endpoint {
	return records.Endpoint{
		Kind: records.EndpointModel, Address: "127.0.0.1:1", BaseModel: "b", Slots: slots, MaxBatch: 4, State: records.EndpointServing,
	}
}

func adapterRef(n int) ids.AdapterRef {
	return ids.AdapterRef{Adapter: ids.AdapterID(fmt.Sprintf("m%d", n)), Version: 1}
}

func newTestPlanner(engines, slots int, policy records.Policy) *Planner {
	p := NewPlanner(DefaultConfig(policy))
	for i := range engines {
		id := ids.EndpointID(fmt.Sprintf("e%d", i))
		p.SetEndpoint(id, endpointRecord(slots))
		p.Observe(startTime, Report{Endpoint: id, Boot: "b1", Sequence: 1})
	}
	return p
}

func newDemand(id ids.EndpointID, ref ids.AdapterRef, sender ids.VMID, customer ids.CustomerID, requests int) CustomerDemand {
	return CustomerDemand{Sender: sender, Endpoint: id, Ref: ref, Customer: customer, Requests: requests}
}

// Guards against one load for each waiting request, which the weight store
// cannot serve.
func TestOneLoadServesAllWaitingRequests(t *testing.T) {
	p := newTestPlanner(1, 2, records.PolicyLatency)
	gate := &fakeGate{permits: 8}
	for i := range 5 {
		p.UpdateDemand(startTime, newDemand("e0", adapterRef(1), ids.VMID(fmt.Sprint(i)), "c", 3))
	}
	orders := p.Plan(startTime, gate)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, len(p.Plan(startTime, gate)), 0)
	p.CompleteOrder(startTime, orders[0].ID, ResultDone, gate)
	assert.Equal(t, len(p.Plan(startTime, gate)), 0)
	boot, ok := p.Resident("e0", adapterRef(1))
	assert.Assert(t, ok)
	assert.Equal(t, boot, ids.BootID("b1"))
}

// Guards against evicting an adapter that is used more than others or that the
// gate protects.
func TestEvictsLeastUsedUnpinnedAdapter(t *testing.T) {
	p := newTestPlanner(1, 3, records.PolicyLatency)
	p.Observe(startTime, Report{Endpoint: "e0", Boot: "b1", Sequence: 2, Resident: []ids.AdapterRef{adapterRef(1), adapterRef(2), adapterRef(3)}})
	p.RecordUse(startTime, "e0", adapterRef(1), 9)
	p.RecordUse(startTime, "e0", adapterRef(3), 1)
	gate := &fakeGate{permits: 1, pinned: map[ids.AdapterRef]bool{adapterRef(2): true}}
	p.UpdateDemand(startTime, newDemand("e0", adapterRef(7), "v", "c", 1))
	orders := p.Plan(startTime, gate)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, OrderEvict)
	assert.Equal(t, orders[0].Ref, adapterRef(3))
	_, ok := p.Resident("e0", adapterRef(3))
	assert.Assert(t, !ok, "an adapter about to be evicted still takes requests")
	load := p.CompleteOrder(startTime, orders[0].ID, ResultDone, gate)
	assert.Equal(t, len(load), 1)
	assert.Equal(t, load[0].Ref, adapterRef(7))
	p.CompleteOrder(startTime, load[0].ID, ResultDone, gate)
	assert.Equal(t, gate.inFlight, 0)
}

// Guards against loads that fail repeatedly at one endpoint.
func TestFailedLoadBacksOffAndPicksAnotherEndpoint(t *testing.T) {
	p := newTestPlanner(2, 2, records.PolicyLatency)
	gate := &fakeGate{permits: 8}
	first, ok := p.LoadTarget(startTime, adapterRef(1), "b")
	assert.Assert(t, ok)
	p.UpdateDemand(startTime, newDemand(first, adapterRef(1), "v", "c", 1))
	orders := p.Plan(startTime, gate)
	p.CompleteOrder(startTime, orders[0].ID, ResultFailed, gate)
	assert.Equal(t, len(p.Plan(startTime, gate)), 0)
	second, ok := p.LoadTarget(startTime, adapterRef(1), "b")
	assert.Assert(t, ok)
	assert.Assert(t, second != first)
	later := startTime.Add(DefaultConfig(records.PolicyLatency).BackoffFirst)
	p.UpdateDemand(later, newDemand(first, adapterRef(1), "v", "c", 1))
	assert.Equal(t, len(p.Plan(later, gate)), 1)
}

// Guards against one customer with many cold adapters taking all loads.
func TestLoadsAreSharedBetweenCustomers(t *testing.T) {
	p := newTestPlanner(1, 64, records.PolicyLatency)
	gate := &fakeGate{}
	for i := range 40 {
		p.UpdateDemand(startTime, newDemand("e0", adapterRef(i), "v", "large", 1))
	}
	for i := 40; i < 44; i++ {
		p.UpdateDemand(startTime.Add(time.Second), newDemand("e0", adapterRef(i), "v", "small", 1))
	}
	small := 0
	for range 8 {
		gate.permits = 1
		for _, order := range p.Plan(startTime.Add(time.Second), gate) {
			if order.Ref.Adapter >= "m40" && len(order.Ref.Adapter) == 3 && order.Ref.Adapter < "m44" {
				small++
			}
			p.CompleteOrder(startTime.Add(time.Second), order.ID, ResultDone, gate)
		}
	}
	assert.Equal(t, small, 4)
}

// Guards against a changed policy that the planner uses only after a restart.
func TestPolicyCanChangeWhileRunning(t *testing.T) {
	p := newTestPlanner(1, 4, records.PolicyLatency)
	p.SetPolicy(records.PolicyThroughput)
	p.UpdateDemand(startTime, newDemand("e0", adapterRef(1), "vm", "c", 1))
	gate := &fakeGate{permits: 4}
	assert.Equal(t, len(p.Plan(startTime, gate)), 0, "one request must wait for others")
	p.SetPolicy(records.PolicyLatency)
	assert.Equal(t, len(p.Plan(startTime, gate)), 1)
}

// Guards against many loads for single requests that could have waited for each
// other.
func TestThroughputPolicyDelaysLoadsForSingleRequests(t *testing.T) {
	p := newTestPlanner(1, 4, records.PolicyThroughput)
	gate := &fakeGate{permits: 8}
	p.UpdateDemand(startTime, newDemand("e0", adapterRef(1), "v", "c", 1))
	p.UpdateDemand(startTime, newDemand("e0", adapterRef(2), "v", "c", 2))
	orders := p.Plan(startTime, gate)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Ref, adapterRef(2))
	later := startTime.Add(DefaultConfig(records.PolicyThroughput).Patience)
	assert.Equal(t, len(p.Plan(later, gate)), 1)
}

// Guards against new replicas while the existing ones have room, and against
// none when they are full.
func TestReplicaIsLoadedOnlyIfExistingOnesAreFull(t *testing.T) {
	p := newTestPlanner(2, 4, records.PolicyLatency)
	p.Observe(startTime, Report{Endpoint: "e0", Boot: "b1", Sequence: 2, Resident: []ids.AdapterRef{adapterRef(1)}, Running: 3})
	_, ok := p.TargetIfLoadNeeded(startTime, VersionDemand{Ref: adapterRef(1), BaseModel: "b", Requests: 9})
	assert.Assert(t, !ok)
	p.Observe(startTime, Report{Endpoint: "e0", Boot: "b1", Sequence: 3, Resident: []ids.AdapterRef{adapterRef(1)}, Running: 4})
	id, ok := p.TargetIfLoadNeeded(startTime, VersionDemand{Ref: adapterRef(1), BaseModel: "b", Requests: 9})
	assert.Assert(t, ok)
	assert.Equal(t, id, ids.EndpointID("e1"))
}

// residentAfterLateReport restarts an engine, delivers a report of the previous
// run and reports whether the adapter counts as resident.
func residentAfterLateReport(matchBoot bool) bool {
	p := newTestPlanner(1, 4, records.PolicyLatency)
	p.safetyChecks.bootMatch = matchBoot
	p.Observe(startTime, Report{Endpoint: "e0", Boot: "b1", Sequence: 5, Resident: []ids.AdapterRef{adapterRef(1)}})
	p.Observe(startTime, Report{Endpoint: "e0", Boot: "b2", Sequence: 1})
	p.Observe(startTime, Report{Endpoint: "e0", Boot: "b1", Sequence: 6, Resident: []ids.AdapterRef{adapterRef(1)}})
	_, ok := p.Resident("e0", adapterRef(1))
	return ok
}

// Guards against sending requests to an engine that no longer holds the
// adapter, because a late report of its previous run still lists it.
func TestReportOfAnEarlierRunHasNoEffect(t *testing.T) {
	assert.Assert(t, !residentAfterLateReport(true))
	assert.Assert(t, residentAfterLateReport(false), "the rule makes no difference")
}

// Guards against the answer to an order from before a restart that is applied
// to the run after it.
func TestAnswerFromBeforeARestartHasNoEffect(t *testing.T) {
	for _, matchBoot := range []bool{true, false} {
		p := newTestPlanner(1, 4, records.PolicyLatency)
		p.safetyChecks.bootMatch = matchBoot
		gate := &fakeGate{permits: 1}
		p.UpdateDemand(startTime, newDemand("e0", adapterRef(1), "v", "c", 1))
		orders := p.Plan(startTime, gate)
		p.Observe(startTime, Report{Endpoint: "e0", Boot: "b2", Sequence: 1})
		p.CompleteOrder(startTime, orders[0].ID, ResultDone, gate)
		_, ok := p.Resident("e0", adapterRef(1))
		assert.Equal(t, ok, !matchBoot)
	}
}

// deniedOrders draws demand and denials, and returns the number of planned
// orders that the gate does not allow. consultGate switches the check in the
// planner.
func deniedOrders(t *rapid.T, consultGate bool) int {
	p := newTestPlanner(3, 2, rapid.SampledFrom([]records.Policy{records.PolicyLatency, records.PolicyThroughput}).Draw(t, "policy"))
	p.safetyChecks.gate = consultGate
	now, denied := startTime, 0
	for range 40 {
		now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "millis")) * time.Millisecond)
		gate := &fakeGate{permits: 3, denyLoad: map[ids.EndpointID]bool{}, denyEvict: map[ids.EndpointID]bool{}, pinned: map[ids.AdapterRef]bool{}}
		gate.denyLoad["e1"] = rapid.Bool().Draw(t, "denyLoad")
		gate.denyEvict["e0"] = rapid.Bool().Draw(t, "denyEvict")
		gate.pinned[adapterRef(rapid.IntRange(0, 9).Draw(t, "pinned"))] = true
		id := ids.EndpointID(fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(t, "endpoint")))
		p.UpdateDemand(now, newDemand(id, adapterRef(rapid.IntRange(0, 9).Draw(t, "ref")), "v", "c", rapid.IntRange(1, 3).Draw(t, "n")))
		for _, order := range p.Plan(now, gate) {
			if order.Kind == OrderLoad && gate.denyLoad[order.Endpoint] {
				denied++
			}
			if order.Kind == OrderEvict && gate.MayEvict(now, order.Endpoint, order.Ref) != nil {
				denied++
			}
			for _, followUp := range p.CompleteOrder(now, order.ID, ResultDone, gate) {
				p.CompleteOrder(now, followUp.ID, ResultDone, gate)
			}
		}
	}
	return denied
}

// Guards against a planned order that ownership does not allow.
func TestPlansNothingThatTheGateDenies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if denied := deniedOrders(t, true); denied > 0 {
			t.Fatalf("%d denied orders", denied)
		}
	})
	deniedWithoutCheck := 0
	rapid.Check(t, func(t *rapid.T) { deniedWithoutCheck += deniedOrders(t, false) })
	assert.Assert(t, deniedWithoutCheck > 0, "the rule makes no difference")
}

// Guards against a fleet whose VMs together exceed the limits of the weight
// store, also when owners pause with planned orders or lose the answer.
func TestFleetStaysWithinWeightStoreLimits(t *testing.T) {
	const (
		owners      = 4
		perSecond   = 3.0
		maxInFlight = 8
		step        = 50 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 3))
	cfg := DefaultConfig(records.PolicyLatency)
	type load struct{ ends time.Time }
	type owner struct {
		planner     *Planner
		gate        *fakeGate
		pausedUntil time.Time
		pending     []Order
	}
	var all []*owner
	for range owners {
		all = append(all, &owner{planner: newTestPlanner(3, 4, records.PolicyLatency),
			gate: &fakeGate{budget: NewLoadBudget(startTime, perSecond/owners, 1, maxInFlight/owners, cfg.OrderTerm)}})
	}
	var starts []time.Time
	var inFlight []load
	mostInFlight := 0
	for now := startTime; now.Before(startTime.Add(4 * time.Minute)); now = now.Add(step) {
		var running []load
		for _, l := range inFlight {
			if now.Before(l.ends) {
				running = append(running, l)
			}
		}
		inFlight = running
		for _, o := range all {
			if now.Before(o.pausedUntil) {
				continue
			}
			var next []Order
			for _, order := range o.pending {
				result := ResultDone
				if draw := random.IntN(40); draw < 6 {
					result = []OrderResult{ResultFailed, ResultUnknown}[draw%2]
				}
				if now.After(order.SendBy) {
					result = ResultNotSent
				} else if order.Kind == OrderLoad {
					starts = append(starts, now)
					inFlight = append(inFlight, load{ends: now.Add(250 * time.Millisecond)})
				}
				if result != ResultUnknown {
					next = append(next, o.planner.CompleteOrder(now, order.ID, result, o.gate)...)
				}
			}
			if random.IntN(200) == 0 {
				o.pausedUntil = now.Add(time.Duration(random.IntN(20)) * time.Second)
			}
			id := ids.EndpointID(fmt.Sprintf("e%d", random.IntN(3)))
			o.planner.UpdateDemand(now, newDemand(id, adapterRef(random.IntN(500)), "v", "c", 1))
			o.pending = append(next, o.planner.Plan(now, o.gate)...)
		}
		mostInFlight = max(mostInFlight, len(inFlight))
	}
	assert.Assert(t, len(starts) > 250, "only %d loads", len(starts))
	assert.Assert(t, mostInFlight <= maxInFlight, "%d loads in flight", mostInFlight)
	// Permits that were taken but not used yet add at most one load for each
	// place in flight.
	for i := range starts {
		for j := i; j < len(starts); j += 7 {
			allowed := perSecond*starts[j].Sub(starts[i]).Seconds() + owners + maxInFlight
			assert.Assert(t, float64(j-i+1) <= allowed, "%d loads in %v", j-i+1, starts[j].Sub(starts[i]))
		}
	}
}

// Guards against loads on an endpoint that is leaving (R10), also when the
// demand for it was reported before.
func TestLeavingEndpointGetsNoLoads(t *testing.T) {
	p := newTestPlanner(2, 8, records.PolicyLatency)
	gate := &fakeGate{permits: 8}
	target, _ := p.LoadTarget(startTime, adapterRef(1), "b")
	p.UpdateDemand(startTime, newDemand(target, adapterRef(1), "v", "c", 1))
	record := endpointRecord(8)
	record.State = records.EndpointLeaving
	p.SetEndpoint(target, record)
	assert.Equal(t, len(p.Plan(startTime, gate)), 0)
	next, ok := p.LoadTarget(startTime, adapterRef(1), "b")
	assert.Assert(t, ok && next != target)
}
