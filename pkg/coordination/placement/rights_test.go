package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// loadsOfSmall lets one owner load for a flood of cold adapters while another
// wants a load for a small customer now and then, with shared rights. It
// returns how many of the small customer's loads began at once.
func loadsOfSmall(spare bool) int {
	gate := &fakeGate{budget: NewBudget(base, 3, 3, 8, time.Minute)}
	var flooded, other Gate = gate, gate
	if spare {
		flooded, other = spareGate{gate}, spareGate{gate}
	}
	a, b := plannerOf(1, 5000, records.PolicyLatency), plannerOf(1, 5000, records.PolicyLatency)
	finish := func(p *Planner, now time.Time, gate Gate) int {
		orders := p.Plan(now, gate)
		for _, order := range orders {
			p.OrderDone(now, order.ID, ResultDone, gate)
		}
		return len(orders)
	}
	atOnce := 0
	for i := range 1200 {
		now := base.Add(time.Duration(i) * 50 * time.Millisecond)
		a.Demand(now, waiting("e0", refOf(i), "v", "flood", 1))
		a.Demand(now, waiting("e0", refOf(i%10+2000), "v", "steady", 1))
		finish(a, now, flooded)
		if i%20 == 0 {
			b.Demand(now, waiting("e0", refOf(i), "v", "small", 1))
			atOnce += finish(b, now, other)
		}
	}
	return atOnce
}

// spareGate adds SpareTaker to a gate.
type spareGate struct{ *fakeGate }

func (g spareGate) TakeSpareLoad(now time.Time, reserve float64) bool {
	return g.budget.TakeSpareLoad(now, reserve)
}

// Guards against one customer's cold adapters taking all rights at one owner,
// so that another customer finds none at another owner.
func TestReserveKeepsRightsForCustomersWithinTheirShare(t *testing.T) {
	with, without := loadsOfSmall(true), loadsOfSmall(false)
	t.Logf("%d of 60 loads at once with the reserve, %d without", with, without)
	assert.Assert(t, with > 50, "%d with the reserve", with)
	assert.Assert(t, without < 20, "the reserve makes no difference: %d without", without)
}

// Guards against demand that is told over and over, and against demand that
// stays with an owner after it has gone or moved.
func TestTellerTellsChangesOnly(t *testing.T) {
	reporter := NewDemandReporter(5 * time.Second)
	w := waiting("e0", refOf(1), "v", "c", 2)
	assert.DeepEqual(t, reporter.Due(base, []Waiting{w}), []Waiting{w})
	assert.Equal(t, len(reporter.Due(base.Add(time.Second), []Waiting{w})), 0)
	assert.DeepEqual(t, reporter.Due(base.Add(3*time.Second), []Waiting{w}), []Waiting{w})
	moved := w
	moved.Endpoint = "e1"
	gone := Waiting{Sender: "v", Endpoint: "e0", Ref: refOf(1), Customer: "c"}
	assert.DeepEqual(t, reporter.Due(base.Add(3*time.Second), []Waiting{moved}), []Waiting{gone, moved})
	gone = Waiting{Endpoint: "e1", Ref: refOf(1), Customer: "c"}
	assert.DeepEqual(t, reporter.Due(base.Add(3*time.Second), nil), []Waiting{gone})
}

// Guards against all adapters crowding on a few engines, and against homes that
// differ between VMs without cause.
func TestHomesAreSpreadWithinTheBound(t *testing.T) {
	p, other := plannerOf(12, 8, records.PolicyLatency), plannerOf(12, 8, records.PolicyLatency)
	count := make(map[ids.EndpointID]int)
	for i := range 240 {
		id, ok := p.Home(base, refOf(i), "b")
		assert.Assert(t, ok)
		count[id]++
		same, _ := other.Home(base, refOf(i), "b")
		assert.Equal(t, same, id)
	}
	for id, n := range count {
		assert.Assert(t, float64(n) <= loadBoundFactor*20+1, fmt.Sprintf("%s has %d of 240", id, n))
	}
}

// Guards against loads onto an endpoint that is leaving (R10), also when the
// demand for it was told before.
func TestLeavingEndpointGetsNoLoads(t *testing.T) {
	p := plannerOf(2, 8, records.PolicyLatency)
	gate := &fakeGate{rights: 8}
	home, _ := p.Home(base, refOf(1), "b")
	p.Demand(base, waiting(home, refOf(1), "v", "c", 1))
	record := endpointRecord(8)
	record.State = records.EndpointLeaving
	p.SetEndpoint(home, record)
	assert.Equal(t, len(p.Plan(base, gate)), 0)
	next, ok := p.Home(base, refOf(1), "b")
	assert.Assert(t, ok && next != home)
}
