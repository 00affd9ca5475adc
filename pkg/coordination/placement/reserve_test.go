package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// startedLoadsOfSmallCustomer runs two owners that share load permits: one has
// demand from a customer with a flood of cold adapters, the other has demand
// for a load of a small customer from time to time. It returns how many of the
// small customer's loads were planned at once.
func startedLoadsOfSmallCustomer(withReserve bool) int {
	gate := &fakeGate{budget: NewLoadBudget(startTime, 3, 3, 8, time.Minute)}
	var floodGate, smallGate Gate = gate, gate
	if withReserve {
		floodGate, smallGate = reservingGate{gate}, reservingGate{gate}
	}
	floodPlanner, smallPlanner := newTestPlanner(1, 5000, records.PolicyLatency), newTestPlanner(1, 5000, records.PolicyLatency)
	planAndComplete := func(p *Planner, now time.Time, gate Gate) int {
		orders := p.Plan(now, gate)
		for _, order := range orders {
			p.CompleteOrder(now, order.ID, ResultDone, gate)
		}
		return len(orders)
	}
	atOnce := 0
	for i := range 1200 {
		now := startTime.Add(time.Duration(i) * 50 * time.Millisecond)
		floodPlanner.UpdateDemand(now, newDemand("e0", adapterRef(i), "v", "flood", 1))
		floodPlanner.UpdateDemand(now, newDemand("e0", adapterRef(i%10+2000), "v", "steady", 1))
		planAndComplete(floodPlanner, now, floodGate)
		if i%20 == 0 {
			smallPlanner.UpdateDemand(now, newDemand("e0", adapterRef(i), "v", "small", 1))
			atOnce += planAndComplete(smallPlanner, now, smallGate)
		}
	}
	return atOnce
}

// reservingGate makes fakeGate implement ReservingGate.
type reservingGate struct{ *fakeGate }

func (g reservingGate) AcquireSpareLoadPermit(now time.Time, reserve float64) bool {
	return g.budget.AcquireSpareLoadPermit(now, reserve)
}

// Guards against one customer whose cold adapters take all permits at one
// owner, so that another customer gets none at another owner.
func TestReserveKeepsPermitsForCustomersWithinTheirShare(t *testing.T) {
	with, without := startedLoadsOfSmallCustomer(true), startedLoadsOfSmallCustomer(false)
	t.Logf("%d of 60 loads at once with the reserve, %d without", with, without)
	assert.Assert(t, with > 50, "%d with the reserve", with)
	assert.Assert(t, without < 20, "the reserve makes no difference: %d without", without)
}
