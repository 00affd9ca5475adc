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

// largeFleet is VMs of which the first of each group is the relay of the others.
type largeFleet struct {
	vms    []*vm
	groups int
}

const tick = 10 * time.Millisecond

func newLargeFleet(size, groups int) *largeFleet {
	f := &largeFleet{groups: groups}
	for i := range size {
		v := &vm{id: ids.VMID(fmt.Sprint(i)), boot: "1", caps: caps.New(true), up: start}
		v.caps.SetSides(size, 0)
		f.vms = append(f.vms, v)
	}
	return f
}

// exchange lets the VMs whose turn it is exchange with their relay, or as
// relays with each other. The turns are spread over the interval.
func (f *largeFleet) exchange(step int, now time.Time) {
	turns := int(exchangeEvery / tick)
	for i, v := range f.vms {
		if i%turns != step%turns {
			continue
		}
		if i < f.groups {
			for j := range f.groups {
				if j != i {
					v.caps.Hear(now, f.vms[j].id, caps.Report{Boot: "1", Uptime: now.Sub(start) + time.Minute, Totals: f.vms[j].caps.Told()})
				}
			}
			continue
		}
		home := f.vms[i%f.groups]
		home.caps.Hear(now, v.id, caps.Report{Boot: "1", Uptime: now.Sub(start), Totals: v.caps.Told(), Leaf: true})
		v.caps.Hear(now, home.id, caps.Report{Boot: "1", Uptime: now.Sub(start), Totals: home.caps.ToldTo(v.id), Fleet: true})
	}
}

// play offers requests of 1,500 units at a multiple of the rate for 40 s, and
// returns what was offered and admitted in each step.
func (f *largeFleet) play(limit caps.Limit, multiple float64, seed uint64) (offered, admitted []int64) {
	random := rand.New(rand.NewPCG(seed, seed))
	const cost = 1500
	due := 0.0
	for step := range int(40 * time.Second / tick) {
		now := start.Add(time.Duration(step) * tick)
		due += multiple * limit.Rate * tick.Seconds()
		var asked, got int64
		for due >= cost {
			due -= cost
			asked += cost
			if ok, _ := f.vms[random.IntN(len(f.vms))].caps.Admit(now, customer, limit, caps.Demand{Cost: cost, Generation: true, Urgency: 1, Draw: random.Float64()}); ok {
				got += cost
			}
		}
		offered, admitted = append(offered, asked), append(admitted, got)
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

// Guards against a customer at several times its rate that gets more than the
// operators' bound over a fleet in which totals travel through relays, and one
// that gets less than it is owed since VMs charge each other's use too late.
func TestHotCustomerOverALargeFleet(t *testing.T) {
	for _, limit := range []caps.Limit{{Rate: 20000, Burst: 20000}, {Rate: 100000, Burst: 100000}, {Rate: 20000, Burst: 60000}} {
		for seed := range uint64(3) {
			f := newLargeFleet(68, 8)
			_, admitted := f.play(limit, 7, seed)
			bound := int64((limit.Rate*8+limit.Burst)*1.25 + 11000)
			window := int(8 * time.Second / tick)
			for from := 0; from+window <= len(admitted); from += 10 {
				got := sum(admitted[from : from+window])
				assert.Assert(t, got <= bound, "rate %v burst %v seed %d: %d units in the window from %v, bound %d", limit.Rate, limit.Burst, seed, got, time.Duration(from)*tick, bound)
			}
			owed := 0.9 * limit.Rate * 40
			assert.Assert(t, float64(sum(admitted)) >= owed, "rate %v burst %v seed %d: %d units admitted, %v owed", limit.Rate, limit.Burst, seed, sum(admitted), owed)
		}
	}
}

// Guards against a customer that is refused for many seconds after a restart of
// all VMs, while these find their relays and tell now the use at themselves and
// now that at all VMs.
func TestChangingPartsCountUseOnce(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	demand := caps.Demand{Cost: 50, Generation: true}
	c := caps.New(false)
	c.SetLimits(start, map[ids.CustomerID]caps.Limit{customer: limit})
	now := start
	for i := range int64(12) {
		now = now.Add(250 * time.Millisecond)
		own, all := caps.Use{Admitted: 10 * i, Asked: 10 * i}, caps.Use{Admitted: 100 * i, Asked: 100 * i}
		c.Hear(now, "peer", caps.Report{Boot: "1", Uptime: now.Sub(start), Totals: caps.Totals{customer: own}})
		c.Hear(now, "peer", caps.Report{Boot: "1", Uptime: now.Sub(start), Totals: caps.Totals{customer: all}, Fleet: true})
	}
	ok, _ := c.Admit(now, customer, limit, demand)
	assert.Assert(t, ok, "a customer at less than half of its rate is refused")
}

// Guards against VMs that give a customer a whole burst each at its first
// request there, after the others have used it.
func TestUseBeforeTheFirstRequestIsCharged(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	c := caps.New(true)
	c.SetLimits(start, map[ids.CustomerID]caps.Limit{customer: limit})
	c.Hear(start, "peer", caps.Report{Boot: "1", Totals: caps.Totals{customer: {Admitted: 1000, Asked: 1000}}})
	ok, _ := c.Admit(start, customer, limit, caps.Demand{Cost: 100, Generation: true})
	assert.Assert(t, !ok)
}

// Guards against refusals of a customer within its rate whose requests are
// spread over many VMs.
func TestCustomerWithinItsRateOverALargeFleet(t *testing.T) {
	for seed := range uint64(3) {
		offered, admitted := newLargeFleet(68, 8).play(caps.Limit{Rate: 20000, Burst: 20000}, 0.8, seed)
		refused := float64(sum(offered)-sum(admitted)) / float64(sum(offered))
		assert.Assert(t, refused <= 0.005, "seed %d: %.3f refused within the rate", seed, refused)
	}
}
