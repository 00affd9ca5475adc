package fleet_test

import (
	"fmt"
	"maps"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

var start = time.Unix(1000, 0)

func announce(id ids.VMID, boot ids.BootID) fleet.Announcement {
	return fleet.Announcement{ID: id, DataCentre: "dc", Boot: boot, UptimeMs: 500, Relay: true}
}

func newFleet(seeds ...ids.VMID) *fleet.Fleet {
	return fleet.New(fleet.DefaultConfig(), start, fleet.Announcement{ID: "self", DataCentre: "dc", Boot: "1"}, seeds)
}

// Guards against VMs that never find each other because only a seed knows
// both, or because all seeds are down when a VM starts.
func TestMembersAreDiscoveredThroughOneSeed(t *testing.T) {
	f := newFleet("seed", "self")
	assert.DeepEqual(t, f.Targets(start), []ids.VMID{"seed"})
	assert.Equal(t, len(f.Targets(start.Add(10*time.Millisecond))), 0)
	later := start.Add(2 * time.Minute)
	assert.DeepEqual(t, f.Targets(later), []ids.VMID{"seed"})
	assert.Assert(t, f.ApplyAnnouncement(later, announce("seed", "1")))
	f.ApplyRoster(later, announce("seed", "1"), fleet.Roster{Version: 1, Entries: []fleet.RosterEntry{
		{Announcement: announce("other", "1")}, {Announcement: announce("self", "1")},
	}}, 0)
	assert.Equal(t, len(f.Alive(later)), 1)
	assert.DeepEqual(t, f.Targets(later.Add(time.Second)), []ids.VMID{"other", "seed"})
	f.ApplyAnnouncement(later, announce("other", "1"))
	assert.Equal(t, len(f.Alive(later)), 2)
}

// Guards against treating a silent VM as stopped, and against waiting for a
// stopped VM as if it were disconnected.
func TestSuspectedAndLeavingMembers(t *testing.T) {
	f := newFleet()
	f.ApplyAnnouncement(start, announce("a", "1"))
	leaving := announce("b", "1")
	leaving.Leaving = true
	f.ApplyAnnouncement(start, leaving)
	later := start.Add(2 * time.Second)
	assert.Equal(t, len(f.Alive(later)), 0)
	suspected := f.Suspected(later)
	assert.Equal(t, len(suspected), 1)
	assert.Equal(t, suspected[0].ID, ids.VMID("a"))
	assert.Assert(t, f.ApplyAnnouncement(later, announce("a", "2")), "a restart was not seen")
	f.Targets(later.Add(2 * time.Minute))
	assert.Equal(t, len(f.MemberIDs()), 0)
}

// Guards against a member that was forgotten and is listed twice, or not at all,
// when it returns.
func TestForgottenMemberReturnsOnce(t *testing.T) {
	f := newFleet()
	for _, id := range []ids.VMID{"c", "a", "b"} {
		f.ApplyAnnouncement(start, announce(id, "1"))
	}
	later := start.Add(2 * time.Minute)
	f.ApplyAnnouncement(later, announce("b", "1"))
	f.Targets(later)
	assert.DeepEqual(t, f.MemberIDs(), []ids.VMID{"b"})
	f.ApplyAnnouncement(later, announce("c", "2"))
	f.ApplyAnnouncement(later, announce("a", "2"))
	var alive []ids.VMID
	for _, m := range f.Alive(later) {
		alive = append(alive, m.ID)
	}
	assert.DeepEqual(t, alive, []ids.VMID{"a", "b", "c"})
	assert.Equal(t, len(f.Roster(later, "d").Entries), 3)
}

// Guards against relays that are not the first of their data centre in the order of
// preference, whatever the order in which a VM hears of the others: VMs would
// disagree about the relays.
func TestRelaysAreTheFirstOfEachDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := fleet.DefaultConfig()
		config.MeshSize = 0
		now := start.Add(config.MinRelayUptime)
		draw := func(id ids.VMID) fleet.Announcement {
			return fleet.Announcement{
				ID: id, Boot: "1", DataCentre: rapid.SampledFrom([]ids.DataCentreID{"dc-0", "dc-1"}).Draw(t, "dc"),
				UptimeMs: rapid.SampledFrom([]int64{0, 1499, 1500, 9000}).Draw(t, "uptime"),
				Cores:    rapid.SampledFrom([]float64{0.2, 0.8}).Draw(t, "cores"),
				Leaving:  rapid.Bool().Draw(t, "leaving"), OrdersEngines: rapid.IntRange(0, 4).Draw(t, "orders") == 0,
			}
		}
		self := draw("vm-05")
		self.UptimeMs = 1500
		f := fleet.New(config, start, self, nil)
		all := []fleet.Announcement{self}
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 6, 7, 8, 9}).Draw(t, "heard") {
			all = append(all, draw(ids.VMID(fmt.Sprintf("vm-%02d", i))))
			f.ApplyAnnouncement(now, all[len(all)-1])
		}
		settled := func(a fleet.Announcement) bool { return a.UptimeMs >= config.MinRelayUptime.Milliseconds() }
		sort.Slice(all, func(i, j int) bool {
			a, b := all[i], all[j]
			if a.Leaving != b.Leaving {
				return b.Leaving
			}
			if settled(a) != settled(b) {
				return settled(a)
			}
			return a.PreferredOver(b)
		})
		relays := make(map[ids.VMID]bool)
		chosen := make(map[ids.DataCentreID]int)
		for _, a := range all {
			if chosen[a.DataCentre] < config.RelaysPerDataCentre || a.OrdersEngines {
				relays[a.ID] = true
			}
			chosen[a.DataCentre]++
		}
		plan := f.Plan(now)
		got := map[ids.VMID]bool{}
		for _, id := range plan.Relays {
			got[id] = true
		}
		if plan.Relay {
			got[self.ID] = true
		}
		if !maps.Equal(got, relays) {
			t.Fatalf("relays %v, want %v", got, relays)
		}
	})
}

// Guards against a VM that takes itself, or the part of the fleet that it
// reaches, for all of it: after a start while the data centres are cut off from
// each other, the others count with as many VMs as its own.
func TestFleetSizeCoversDataCentresThatWereNotHeard(t *testing.T) {
	s := newSimulation(4, 5)
	dataCentres := []ids.DataCentreID{"dc-0", "dc-1", "dc-2", "dc-3"}
	s.isolated = "dc-0"
	vm := s.byID[s.seeds[0]]
	assert.Equal(t, vm.self.DataCentre, s.isolated)
	assert.Equal(t, vm.fleet.EstimatedSize(s.now, dataCentres), 0, "known at the start")
	s.run(2)
	assert.Equal(t, vm.fleet.UnheardVMs(s.now, dataCentres), 0, "VMs that are still joining count as cut off")
	s.run(14)
	assert.Equal(t, vm.fleet.UnheardVMs(s.now, dataCentres), 15)
	assert.Equal(t, vm.fleet.UnheardVMs(s.now.Add(time.Minute), dataCentres), 0, "a data centre without VMs counts for ever")
	assert.Assert(t, vm.fleet.EstimatedSize(s.now, dataCentres) >= 20)
	s.isolated = ""
	s.run(16)
	assert.Equal(t, vm.fleet.UnheardVMs(s.now, dataCentres), 0)
	assert.Equal(t, vm.fleet.EstimatedSize(s.now, dataCentres), 20)
	alone := fleet.New(fleet.DefaultConfig(), s.now, fleet.Announcement{ID: "alone", DataCentre: "dc-0"}, s.seeds)
	assert.Equal(t, alone.EstimatedSize(s.now.Add(time.Minute), dataCentres), 0, "a VM that has heard nobody knows the size")
}
