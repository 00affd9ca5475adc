package caps_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// startingVM is a VM that admits requests while the fleet decides whether it is
// a relay or a leaf.
type startingVM struct {
	self         fleet.Announcement
	fleet        *fleet.Fleet
	caps         *caps.Limiter
	nextExchange time.Time
}

// sendReport sends one message between two VMs by the rules that VMs follow: a
// relay that replies to a leaf reports the use at all VMs, and every other
// message, calls between relays included, carries the use at the sender and its
// leaves.
func sendReport(now time.Time, from, to *startingVM, reply bool) {
	self := from.fleet.Self(now)
	plan, other := from.fleet.Plan(now), to.fleet.Self(now)
	report := caps.Report{Boot: self.Boot, Uptime: time.Duration(self.UptimeMs) * time.Millisecond, Totals: from.caps.LocalTotals()}
	if reply && plan.Relay && !other.Relay {
		report.Totals, report.Fleet = from.caps.TotalsForLeaf(to.self.ID), true
	}
	roster, seen := from.fleet.Roster(now, to.self.ID), from.fleet.RosterSeen(to.self.ID)
	to.fleet.ApplyAnnouncement(now, self)
	to.fleet.ApplyRoster(now, self, roster, seen)
	report.Leaf = to.fleet.Plan(now).Relay && !self.Relay
	to.caps.ApplyReport(now, self.ID, report)
}

// startFleet returns VMs that start within 300 ms of each other.
func startFleet(size int, limit caps.Limit, random *rand.Rand) map[ids.VMID]*startingVM {
	var seeds []ids.VMID
	for i := range 3 {
		seeds = append(seeds, ids.VMID(fmt.Sprintf("vm-%03d", i*size/3)))
	}
	vms := make(map[ids.VMID]*startingVM)
	for i := range size {
		id := ids.VMID(fmt.Sprintf("vm-%03d", i))
		startedAt := start.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		v := &startingVM{self: fleet.Announcement{ID: id, DataCentre: ids.DataCentreID(fmt.Sprintf("dc-%d", i%4)), Boot: "1", Cores: float64(1 + (i/4%8+7)/8)}, caps: caps.New(false), nextExchange: startedAt}
		v.fleet = fleet.New(fleet.DefaultConfig(), startedAt, v.self, seeds)
		v.caps.SetLimits(startedAt, map[ids.CustomerID]caps.Limit{customer: limit})
		vms[id] = v
	}
	return vms
}

// After a restart of all VMs of a large fleet, a customer within its rate must
// not be refused for many seconds. That happens if use is counted again each
// time a VM becomes a relay or a leaf.
func TestNoRefusalWithinTheRateAfterARestartOfAll(t *testing.T) {
	limit := caps.Limit{Rate: 100000, Burst: 100000}
	random := rand.New(rand.NewPCG(1, 1))
	vms := startFleet(68, limit, random)
	var offered, refused float64
	due := 0.0
	const cost = 1500
	for step := range int(12 * time.Second / tick) {
		now := start.Add(time.Duration(step) * tick)
		for due += 0.6 * limit.Rate * tick.Seconds(); due >= cost; due -= cost {
			v := vms[ids.VMID(fmt.Sprintf("vm-%03d", random.IntN(68)))]
			ok, _ := v.caps.Admit(now, customer, limit, caps.Request{Cost: cost, Generation: true, Urgency: 1, Draw: random.Float64()})
			if now.Sub(start) > 3*time.Second {
				offered++
				if !ok {
					refused++
				}
			}
		}
		for i := range 68 {
			v := vms[ids.VMID(fmt.Sprintf("vm-%03d", i))]
			if now.Before(v.nextExchange) {
				continue
			}
			v.nextExchange = now.Add(250*time.Millisecond + time.Duration(random.IntN(50))*time.Millisecond)
			for _, target := range v.fleet.Targets(now) {
				sendReport(now, v, vms[target], false)
				sendReport(now, vms[target], v, true)
			}
			v.caps.SetReachable(len(v.fleet.Alive(now))+1, len(v.fleet.Suspected(now))+v.fleet.UnheardVMs(now, []ids.DataCentreID{"dc-0", "dc-1", "dc-2", "dc-3"}))
		}
	}
	assert.Assert(t, refused <= 0.02*offered, "%v of %v requests refused within the rate", refused, offered)
}
