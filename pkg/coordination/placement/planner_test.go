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

var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var errDenied = errors.New("denied")

// fakeGate allows what its fields say and counts load rights.
type fakeGate struct {
	denyLoad, denyEvict map[ids.EndpointID]bool
	pinned              map[ids.AdapterRef]bool
	rights, inFlight    int
	budget              *Budget
}

func (g *fakeGate) MayLoad(_ time.Time, id ids.EndpointID) (ids.Fence, error) {
	if g.denyLoad[id] {
		return 0, errDenied
	}
	return 1, nil
}

func (g *fakeGate) MayOrder(_ time.Time, id ids.EndpointID) (ids.Fence, error) {
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

func (g *fakeGate) TakeLoad(now time.Time) bool {
	if g.budget != nil {
		return g.budget.TakeLoad(now)
	}
	if g.rights == 0 {
		return false
	}
	g.rights--
	g.inFlight++
	return true
}

func (g *fakeGate) EndLoad(now time.Time, used, known bool) {
	if g.budget != nil {
		g.budget.EndLoad(now, used, known)
		return
	}
	g.inFlight--
	if !used {
		g.rights++
	}
}

func endpointRecord(slots int) records.Endpoint {
	return records.Endpoint{
		Kind: records.EndpointModel, Address: "127.0.0.1:1", BaseModel: "b", Slots: slots, MaxBatch: 4, State: records.EndpointServing,
	}
}

func refOf(n int) ids.AdapterRef {
	return ids.AdapterRef{Adapter: ids.AdapterID(fmt.Sprintf("m%d", n)), Version: 1}
}

func plannerOf(engines, slots int, policy records.Policy) *Planner {
	p := NewPlanner(DefaultConfig(policy))
	for i := range engines {
		id := ids.EndpointID(fmt.Sprintf("e%d", i))
		p.SetEndpoint(id, endpointRecord(slots))
		p.Observe(base, Report{Endpoint: id, Boot: "b1", Sequence: 1})
	}
	return p
}

func waiting(id ids.EndpointID, ref ids.AdapterRef, sender ids.VMID, customer ids.CustomerID, n int) Waiting {
	return Waiting{Sender: sender, Endpoint: id, Ref: ref, Customer: customer, Requests: n}
}

// Guards against one load for each waiter, which the store cannot carry.
func TestOneLoadServesAllWaiters(t *testing.T) {
	p := plannerOf(1, 2, records.PolicyLatency)
	gate := &fakeGate{rights: 8}
	for i := range 5 {
		p.Demand(base, waiting("e0", refOf(1), ids.VMID(fmt.Sprint(i)), "c", 3))
	}
	orders := p.Plan(base, gate)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, len(p.Plan(base, gate)), 0)
	p.OrderDone(base, orders[0].ID, ResultDone, gate)
	assert.Equal(t, len(p.Plan(base, gate)), 0)
	boot, ok := p.Resident("e0", refOf(1))
	assert.Assert(t, ok)
	assert.Equal(t, boot, ids.BootID("b1"))
}

// Guards against the loss of an adapter that is in use more than others, and
// against evicting what the gate protects.
func TestEvictsTheLeastUsedThatIsNotPinned(t *testing.T) {
	p := plannerOf(1, 3, records.PolicyLatency)
	p.Observe(base, Report{Endpoint: "e0", Boot: "b1", Sequence: 2, Resident: []ids.AdapterRef{refOf(1), refOf(2), refOf(3)}})
	p.Served(base, "e0", refOf(1), 9)
	p.Served(base, "e0", refOf(3), 1)
	gate := &fakeGate{rights: 1, pinned: map[ids.AdapterRef]bool{refOf(2): true}}
	p.Demand(base, waiting("e0", refOf(7), "v", "c", 1))
	orders := p.Plan(base, gate)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, OrderEvict)
	assert.Equal(t, orders[0].Ref, refOf(3))
	_, ok := p.Resident("e0", refOf(3))
	assert.Assert(t, !ok, "an adapter about to be evicted still takes requests")
	load := p.OrderDone(base, orders[0].ID, ResultDone, gate)
	assert.Equal(t, len(load), 1)
	assert.Equal(t, load[0].Ref, refOf(7))
	p.OrderDone(base, load[0].ID, ResultDone, gate)
	assert.Equal(t, gate.inFlight, 0)
}

// Guards against loads that fail over and over at one endpoint.
func TestFailedLoadBacksOffAndMovesOn(t *testing.T) {
	p := plannerOf(2, 2, records.PolicyLatency)
	gate := &fakeGate{rights: 8}
	first, ok := p.Home(base, refOf(1), "b")
	assert.Assert(t, ok)
	p.Demand(base, waiting(first, refOf(1), "v", "c", 1))
	orders := p.Plan(base, gate)
	p.OrderDone(base, orders[0].ID, ResultFailed, gate)
	assert.Equal(t, len(p.Plan(base, gate)), 0)
	second, ok := p.Home(base, refOf(1), "b")
	assert.Assert(t, ok)
	assert.Assert(t, second != first)
	later := base.Add(DefaultConfig(records.PolicyLatency).BackoffFirst)
	p.Demand(later, waiting(first, refOf(1), "v", "c", 1))
	assert.Equal(t, len(p.Plan(later, gate)), 1)
}

// Guards against one customer with many cold adapters taking all loads.
func TestLoadsAreSharedBetweenCustomers(t *testing.T) {
	p := plannerOf(1, 64, records.PolicyLatency)
	gate := &fakeGate{}
	for i := range 40 {
		p.Demand(base, waiting("e0", refOf(i), "v", "large", 1))
	}
	for i := 40; i < 44; i++ {
		p.Demand(base.Add(time.Second), waiting("e0", refOf(i), "v", "small", 1))
	}
	small := 0
	for range 8 {
		gate.rights = 1
		for _, order := range p.Plan(base.Add(time.Second), gate) {
			if order.Ref.Adapter >= "m40" && len(order.Ref.Adapter) == 3 && order.Ref.Adapter < "m44" {
				small++
			}
			p.OrderDone(base.Add(time.Second), order.ID, ResultDone, gate)
		}
	}
	assert.Equal(t, small, 4)
}

// Guards against a published policy that reaches the planner at a restart only.
func TestPolicyMayChangeWhileRunning(t *testing.T) {
	p := plannerOf(1, 4, records.PolicyLatency)
	p.SetPolicy(records.PolicyThroughput)
	p.Demand(base, waiting("e0", refOf(1), "vm", "c", 1))
	gate := &fakeGate{rights: 4}
	assert.Equal(t, len(p.Plan(base, gate)), 0, "one request must wait for others")
	p.SetPolicy(records.PolicyLatency)
	assert.Equal(t, len(p.Plan(base, gate)), 1)
}

// Guards against many small loads where requests could have waited together.
func TestThroughputPolicyWaitsForABatch(t *testing.T) {
	p := plannerOf(1, 4, records.PolicyThroughput)
	gate := &fakeGate{rights: 8}
	p.Demand(base, waiting("e0", refOf(1), "v", "c", 1))
	p.Demand(base, waiting("e0", refOf(2), "v", "c", 2))
	orders := p.Plan(base, gate)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Ref, refOf(2))
	later := base.Add(DefaultConfig(records.PolicyThroughput).Patience)
	assert.Equal(t, len(p.Plan(later, gate)), 1)
}

// Guards against new copies while the holders have room, and against none when
// they are full.
func TestReplicaIsEarnedByBacklog(t *testing.T) {
	p := plannerOf(2, 4, records.PolicyLatency)
	p.Observe(base, Report{Endpoint: "e0", Boot: "b1", Sequence: 2, Resident: []ids.AdapterRef{refOf(1)}, Running: 3})
	_, ok := p.Where(base, Wanted{Ref: refOf(1), BaseModel: "b", Requests: 9})
	assert.Assert(t, !ok)
	p.Observe(base, Report{Endpoint: "e0", Boot: "b1", Sequence: 3, Resident: []ids.AdapterRef{refOf(1)}, Running: 4})
	id, ok := p.Where(base, Wanted{Ref: refOf(1), BaseModel: "b", Requests: 9})
	assert.Assert(t, ok)
	assert.Equal(t, id, ids.EndpointID("e1"))
}

// residentAfterLateReport restarts an engine and then delivers a report of the
// run before.
func residentAfterLateReport(matchBoot bool) bool {
	p := plannerOf(1, 4, records.PolicyLatency)
	p.rules.bootMatch = matchBoot
	p.Observe(base, Report{Endpoint: "e0", Boot: "b1", Sequence: 5, Resident: []ids.AdapterRef{refOf(1)}})
	p.Observe(base, Report{Endpoint: "e0", Boot: "b2", Sequence: 1})
	p.Observe(base, Report{Endpoint: "e0", Boot: "b1", Sequence: 6, Resident: []ids.AdapterRef{refOf(1)}})
	_, ok := p.Resident("e0", refOf(1))
	return ok
}

// Guards against sending to a cold engine because a late report of its earlier
// run still lists the adapter.
func TestReportOfAnEarlierRunHasNoEffect(t *testing.T) {
	assert.Assert(t, !residentAfterLateReport(true))
	assert.Assert(t, residentAfterLateReport(false), "the rule makes no difference")
}

// Guards against an order's answer from before a restart that counts after it.
func TestAnswerFromBeforeARestartHasNoEffect(t *testing.T) {
	for _, matchBoot := range []bool{true, false} {
		p := plannerOf(1, 4, records.PolicyLatency)
		p.rules.bootMatch = matchBoot
		gate := &fakeGate{rights: 1}
		p.Demand(base, waiting("e0", refOf(1), "v", "c", 1))
		orders := p.Plan(base, gate)
		p.Observe(base, Report{Endpoint: "e0", Boot: "b2", Sequence: 1})
		p.OrderDone(base, orders[0].ID, ResultDone, gate)
		_, ok := p.Resident("e0", refOf(1))
		assert.Equal(t, ok, !matchBoot)
	}
}

// deniedOrders draws demand and denials and counts planned orders that the
// gate does not allow.
func deniedOrders(t *rapid.T, gateRule bool) int {
	p := plannerOf(3, 2, rapid.SampledFrom([]records.Policy{records.PolicyLatency, records.PolicyThroughput}).Draw(t, "policy"))
	p.rules.gate = gateRule
	now, denied := base, 0
	for range 40 {
		now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "millis")) * time.Millisecond)
		gate := &fakeGate{rights: 3, denyLoad: map[ids.EndpointID]bool{}, denyEvict: map[ids.EndpointID]bool{}, pinned: map[ids.AdapterRef]bool{}}
		gate.denyLoad["e1"] = rapid.Bool().Draw(t, "denyLoad")
		gate.denyEvict["e0"] = rapid.Bool().Draw(t, "denyEvict")
		gate.pinned[refOf(rapid.IntRange(0, 9).Draw(t, "pinned"))] = true
		id := ids.EndpointID(fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(t, "endpoint")))
		p.Demand(now, waiting(id, refOf(rapid.IntRange(0, 9).Draw(t, "ref")), "v", "c", rapid.IntRange(1, 3).Draw(t, "n")))
		for _, order := range p.Plan(now, gate) {
			if order.Kind == OrderLoad && gate.denyLoad[order.Endpoint] {
				denied++
			}
			if order.Kind == OrderEvict && gate.MayEvict(now, order.Endpoint, order.Ref) != nil {
				denied++
			}
			for _, next := range p.OrderDone(now, order.ID, ResultDone, gate) {
				p.OrderDone(now, next.ID, ResultDone, gate)
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
	without := 0
	rapid.Check(t, func(t *rapid.T) { without += deniedOrders(t, false) })
	assert.Assert(t, without > 0, "the rule makes no difference")
}

// Guards against a fleet that together exceeds the weight store's limits, also
// when owners pause with a load in hand or lose the answer.
func TestFleetStaysWithinTheStoresLimits(t *testing.T) {
	const (
		owners    = 4
		perSecond = 3.0
		places    = 8
		step      = 50 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 3))
	cfg := DefaultConfig(records.PolicyLatency)
	type load struct{ ends time.Time }
	type owner struct {
		planner *Planner
		gate    *fakeGate
		paused  time.Time
		hand    []Order
	}
	var all []*owner
	for range owners {
		all = append(all, &owner{planner: plannerOf(3, 4, records.PolicyLatency),
			gate: &fakeGate{budget: NewBudget(base, perSecond/owners, 1, places/owners, cfg.OrderTerm)}})
	}
	var starts []time.Time
	var inFlight []load
	mostInFlight := 0
	for now := base; now.Before(base.Add(4 * time.Minute)); now = now.Add(step) {
		var running []load
		for _, l := range inFlight {
			if now.Before(l.ends) {
				running = append(running, l)
			}
		}
		inFlight = running
		for _, o := range all {
			if now.Before(o.paused) {
				continue
			}
			var next []Order
			for _, order := range o.hand {
				result := ResultDone
				if draw := random.IntN(40); draw < 6 {
					result = []Result{ResultFailed, ResultUnknown}[draw%2]
				}
				if now.After(order.SendBy) {
					result = ResultNotSent
				} else if order.Kind == OrderLoad {
					starts = append(starts, now)
					inFlight = append(inFlight, load{ends: now.Add(250 * time.Millisecond)})
				}
				if result != ResultUnknown {
					next = append(next, o.planner.OrderDone(now, order.ID, result, o.gate)...)
				}
			}
			if random.IntN(200) == 0 {
				o.paused = now.Add(time.Duration(random.IntN(20)) * time.Second)
			}
			id := ids.EndpointID(fmt.Sprintf("e%d", random.IntN(3)))
			o.planner.Demand(now, waiting(id, refOf(random.IntN(500)), "v", "c", 1))
			o.hand = append(next, o.planner.Plan(now, o.gate)...)
		}
		mostInFlight = max(mostInFlight, len(inFlight))
	}
	assert.Assert(t, len(starts) > 250, "only %d loads", len(starts))
	assert.Assert(t, mostInFlight <= places, "%d loads in flight", mostInFlight)
	// Rights that were taken but not used yet add at most one per place.
	for i := range starts {
		for j := i; j < len(starts); j += 7 {
			allowed := perSecond*starts[j].Sub(starts[i]).Seconds() + owners + places
			assert.Assert(t, float64(j-i+1) <= allowed, "%d loads in %v", j-i+1, starts[j].Sub(starts[i]))
		}
	}
}
