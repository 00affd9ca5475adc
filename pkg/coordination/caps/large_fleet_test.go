package caps_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// largeFleet is a fleet divided into groups. The first VM of each group is the
// relay of the others.
type largeFleet struct {
	vms    []*vm
	groups int
}

const tick = 10 * time.Millisecond

func newLargeFleet(size, groups int) *largeFleet {
	f := &largeFleet{groups: groups}
	for i := range size {
		v := &vm{id: ids.VMID(fmt.Sprint(i)), boot: "1", caps: caps.New(true), startedAt: start}
		v.caps.SetReachable(size, 0)
		f.vms = append(f.vms, v)
	}
	return f
}

// exchange lets the VMs that are due at this step exchange reports: a leaf with
// its relay, and a relay with the other relays. The VMs are spread evenly over
// the interval.
func (f *largeFleet) exchange(step int, now time.Time) {
	stepsPerInterval := int(exchangeInterval / tick)
	for i, v := range f.vms {
		if i%stepsPerInterval != step%stepsPerInterval {
			continue
		}
		if i < f.groups {
			for j := range f.groups {
				if j != i {
					v.caps.ApplyReport(now, f.vms[j].id, caps.Report{Boot: "1", Uptime: now.Sub(start) + time.Minute, Totals: f.vms[j].caps.LocalTotals()})
				}
			}
			continue
		}
		relay := f.vms[i%f.groups]
		relay.caps.ApplyReport(now, v.id, caps.Report{Boot: "1", Uptime: now.Sub(start), Totals: v.caps.LocalTotals(), Leaf: true})
		v.caps.ApplyReport(now, relay.id, caps.Report{Boot: "1", Uptime: now.Sub(start), Totals: relay.caps.TotalsForLeaf(v.id), Fleet: true})
	}
}

// offerLoad offers requests of 1,500 units at a multiple of the rate for 40 s,
// and returns what was offered and admitted in each step.
func (f *largeFleet) offerLoad(limit caps.Limit, multiple float64, seed uint64) (offered, admitted []int64) {
	random := rand.New(rand.NewPCG(seed, seed))
	const cost = 1500
	unitsDue := 0.0
	for step := range int(40 * time.Second / tick) {
		now := start.Add(time.Duration(step) * tick)
		unitsDue += multiple * limit.Rate * tick.Seconds()
		var asked, granted int64
		for unitsDue >= cost {
			unitsDue -= cost
			asked += cost
			if ok, _ := f.vms[random.IntN(len(f.vms))].caps.Admit(now, customer, limit, caps.Request{Cost: cost, Generation: true, Urgency: 1, Draw: random.Float64()}); ok {
				granted += cost
			}
		}
		offered, admitted = append(offered, asked), append(admitted, granted)
		f.exchange(step, now)
	}
	return offered, admitted
}

func sum(list []int64) int64 {
	var total int64
	for _, n := range list {
		total += n
	}
	return total
}

// In a fleet in which totals travel through relays, a customer at several times
// its rate must not get more than the limit that operators state. It must not
// get less than 90% of its rate either, which happens if VMs charge each
// other's use too late.
func TestCustomerAboveItsRateOverALargeFleet(t *testing.T) {
	for _, limit := range []caps.Limit{{Rate: 20000, Burst: 20000}, {Rate: 100000, Burst: 100000}, {Rate: 20000, Burst: 60000}} {
		for seed := range uint64(3) {
			f := newLargeFleet(68, 8)
			_, admitted := f.offerLoad(limit, 7, seed)
			bound := int64((limit.Rate*8+limit.Burst)*1.25 + 11000)
			window := int(8 * time.Second / tick)
			for from := 0; from+window <= len(admitted); from += 10 {
				got := sum(admitted[from : from+window])
				assert.Assert(t, got <= bound, "rate %v burst %v seed %d: %d units admitted in the window from %v, bound %d", limit.Rate, limit.Burst, seed, got, time.Duration(from)*tick, bound)
			}
			owed := 0.9 * limit.Rate * 40
			assert.Assert(t, float64(sum(admitted)) >= owed, "rate %v burst %v seed %d: %d units admitted, want at least %v", limit.Rate, limit.Burst, seed, sum(admitted), owed)
		}
	}
}

// After a restart of all VMs, peers switch between reporting the use at
// themselves and the use at all VMs while they find their relays. Use that is
// counted twice then would cause a customer to be refused for many seconds.
func TestUseIsCountedOnceWhenPeerRolesChange(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	demand := caps.Request{Cost: 50, Generation: true}
	c := caps.New(false)
	c.SetLimits(start, map[ids.CustomerID]caps.Limit{customer: limit})
	now := start
	for i := range int64(12) {
		now = now.Add(250 * time.Millisecond)
		own, all := caps.Use{Admitted: 10 * i, Requested: 10 * i}, caps.Use{Admitted: 100 * i, Requested: 100 * i}
		c.ApplyReport(now, "peer", caps.Report{Boot: "1", Uptime: now.Sub(start), Totals: caps.Totals{customer: own}})
		c.ApplyReport(now, "peer", caps.Report{Boot: "1", Uptime: now.Sub(start), Totals: caps.Totals{customer: all}, Fleet: true})
	}
	ok, _ := c.Admit(now, customer, limit, demand)
	assert.Assert(t, ok, "a customer below half of its rate was refused")
}

// A VM must not grant a whole burst at a customer's first request to it if the
// customer has already used the burst at other VMs.
func TestUseBeforeTheFirstRequestIsCharged(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	c := caps.New(true)
	c.SetLimits(start, map[ids.CustomerID]caps.Limit{customer: limit})
	c.ApplyReport(start, "peer", caps.Report{Boot: "1", Totals: caps.Totals{customer: {Admitted: 1000, Requested: 1000}}})
	ok, _ := c.Admit(start, customer, limit, caps.Request{Cost: 100, Generation: true})
	assert.Assert(t, !ok)
}

// A customer within its rate must not be refused because its requests are
// spread over many VMs.
func TestCustomerWithinItsRateOverALargeFleet(t *testing.T) {
	for seed := range uint64(3) {
		offered, admitted := newLargeFleet(68, 8).offerLoad(caps.Limit{Rate: 20000, Burst: 20000}, 0.8, seed)
		refused := float64(sum(offered)-sum(admitted)) / float64(sum(offered))
		assert.Assert(t, refused <= 0.005, "seed %d: a share of %.3f was refused within the rate", seed, refused)
	}
}
