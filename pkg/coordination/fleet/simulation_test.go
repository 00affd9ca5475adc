package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 47, 30) }

const roundInterval = 250 * time.Millisecond

// simVM is one VM of a simulated fleet.
type simVM struct {
	self  fleet.Announcement
	fleet *fleet.Fleet
	down  bool
}

// simulation is a fleet whose calls take no time.
type simulation struct {
	vms   []*simVM
	byID  map[ids.VMID]*simVM
	seeds []ids.VMID
	now   time.Time
	// isolated is a data centre that is disconnected from all others.
	isolated ids.DataCentreID
	// calls counts the calls of the last round.
	calls int
	// mute is a VM whose own calls are lost.
	mute *simVM
}

// newSimulation starts a fleet in which the first of every eight VMs of a data
// centre is larger than the others.
func newSimulation(dataCentres, vmsPerDataCentre int) *simulation {
	s := &simulation{byID: make(map[ids.VMID]*simVM), now: start}
	for i := range dataCentres * vmsPerDataCentre {
		id := ids.VMID(fmt.Sprintf("vm-%03d", i))
		size := 0.2
		if i/dataCentres%8 == 0 {
			size = 0.8
		}
		vm := &simVM{self: fleet.Announcement{ID: id, DataCentre: ids.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres)), Cores: size}}
		s.vms = append(s.vms, vm)
		s.byID[id] = vm
	}
	for i := range 3 {
		s.seeds = append(s.seeds, s.vms[i*len(s.vms)/3].self.ID)
	}
	for _, vm := range s.vms {
		s.start(vm)
	}
	return s
}

func (s *simulation) start(vm *simVM) {
	vm.down = false
	vm.self.Boot = ids.BootID(fmt.Sprint(s.now.UnixNano()))
	vm.fleet = fleet.New(fleet.DefaultConfig(), s.now, vm.self, s.seeds)
}

func (s *simulation) connected(a, b *simVM) bool {
	return !a.down && !b.down && (a.self.DataCentre == b.self.DataCentre || a.self.DataCentre != s.isolated && b.self.DataCentre != s.isolated)
}

// run simulates rounds of exchanges. Within a round the VMs call one after
// the other, evenly spread.
func (s *simulation) run(rounds int) {
	for range rounds {
		s.calls = 0
		for i, vm := range s.vms {
			now := s.now.Add(time.Duration(i) * roundInterval / time.Duration(len(s.vms)))
			if vm.down {
				continue
			}
			for _, target := range vm.fleet.Targets(now) {
				s.calls++
				if other := s.byID[target]; vm != s.mute && s.connected(vm, other) {
					exchangeState(now, vm, other)
				}
			}
		}
		s.now = s.now.Add(roundInterval)
	}
}

// exchangeState exchanges announcements and rosters between two VMs.
func exchangeState(now time.Time, caller, callee *simVM) {
	tell := func(from, to *simVM) {
		self := from.fleet.Self(now)
		roster, seen := from.fleet.Roster(now, to.self.ID), from.fleet.RosterSeen(to.self.ID)
		to.fleet.ApplyAnnouncement(now, self)
		to.fleet.ApplyRoster(now, self, roster, seen)
	}
	tell(caller, callee)
	tell(callee, caller)
}

// views returns the smallest number of members that any running VM considers
// alive, and the largest number that any suspects. include selects the VMs.
func (s *simulation) views(include func(*simVM) bool) (alive, suspected int) {
	alive = len(s.vms)
	for _, vm := range s.vms {
		if vm.down || !include(vm) {
			continue
		}
		alive = min(alive, len(vm.fleet.Alive(s.now)))
		suspected = max(suspected, len(vm.fleet.Suspected(s.now)))
	}
	return alive, suspected
}

func allVMs(*simVM) bool { return true }

// Guards against a fleet whose exchanges grow with the square of its size,
// and against VMs that do not find each other when all of them start at once.
func TestLargeFleetConvergesWithFewCalls(t *testing.T) {
	s := newSimulation(4, 17)
	s.run(16)
	alive, suspected := s.views(allVMs)
	assert.Equal(t, alive, 67)
	assert.Equal(t, suspected, 0)
	relays := 0
	for _, vm := range s.vms {
		if vm.fleet.Plan(s.now).Relay {
			relays++
		}
	}
	assert.Equal(t, relays, 8)
	s.run(1)
	assert.Assert(t, s.calls <= 60+8*7/2, "%d calls in a round", s.calls)
}

// Guards against a small fleet in which a pair of VMs does not exchange state
// in every round, or exchanges it twice.
func TestSmallFleetIsFullMesh(t *testing.T) {
	s := newSimulation(4, 3)
	s.run(8)
	s.run(1)
	assert.Equal(t, s.calls, 12*11/2)
	for _, vm := range s.vms {
		for _, m := range vm.fleet.Alive(s.now) {
			assert.Assert(t, s.now.Sub(m.LastDirectAt) <= roundInterval, "%s heard %s %v ago", vm.self.ID, m.ID, s.now.Sub(m.LastDirectAt))
		}
	}
}

// Guards against a VM that waits for the call of a relay which cannot call it,
// because the link is cut in that direction, until it counts that relay as lost.
func TestRelayIsCalledWhenItsOwnCallsAreLost(t *testing.T) {
	s := newSimulation(1, 4)
	s.run(8)
	s.mute = s.vms[0]
	s.run(12)
	_, suspected := s.views(allVMs)
	assert.Equal(t, suspected, 0)
}

// Guards against leaves that suspect the whole fleet when the relay through
// which they know it fails.
func TestLostRelayIsReplaced(t *testing.T) {
	s := newSimulation(4, 17)
	s.run(16)
	for _, vm := range s.vms {
		if vm.fleet.Plan(s.now).Relay {
			vm.down = true
			break
		}
	}
	for range 40 {
		s.run(1)
		_, suspected := s.views(allVMs)
		assert.Assert(t, suspected <= 1, "%d members count as silent after the loss of one", suspected)
	}
	alive, suspected := s.views(allVMs)
	assert.Equal(t, alive, 66)
	assert.Equal(t, suspected, 1)
}

// Guards against two sides of a partition that do not find each other again
// after it has ended.
func TestPartitionedDataCentreRejoins(t *testing.T) {
	s := newSimulation(4, 17)
	s.run(16)
	s.isolated = "dc-2"
	s.run(24)
	inside := func(vm *simVM) bool { return vm.self.DataCentre == s.isolated }
	alive, suspected := s.views(inside)
	assert.Equal(t, alive, 16)
	assert.Equal(t, suspected, 51)
	s.isolated = ""
	s.run(16)
	alive, suspected = s.views(allVMs)
	assert.Equal(t, alive, 67)
	assert.Equal(t, suspected, 0)
}

// Guards against VMs that know only the seed of their data centre after all VMs
// started while the data centres were cut off from each other: the seed is a
// leaf, and they take themselves for relays.
func TestVMsOfADataCentreThatStartsCutOffFindEachOther(t *testing.T) {
	s := newSimulation(4, 19)
	seed := s.byID[s.seeds[1]]
	s.isolated = seed.self.DataCentre
	s.run(24)
	alive, _ := s.views(func(vm *simVM) bool { return vm.self.DataCentre == s.isolated })
	assert.Equal(t, alive, 18)
}

// Guards against sequences of restarts, kills and partitions after which VMs
// do not find each other again.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 5).Draw(t, "centres"), rapid.IntRange(1, 6).Draw(t, "perCentre"))
		s.run(rapid.IntRange(0, 12).Draw(t, "before"))
		for range rapid.IntRange(0, 6).Draw(t, "disturbances") {
			first := rapid.IntRange(0, len(s.vms)-1).Draw(t, "first")
			count := rapid.IntRange(1, len(s.vms)).Draw(t, "count")
			for i := range count {
				vm := s.vms[(first+i)%len(s.vms)]
				switch {
				case vm.down:
					s.start(vm)
				default:
					vm.down = true
				}
			}
			if rapid.Bool().Draw(t, "cut") {
				s.isolated = s.vms[first].self.DataCentre
			} else {
				s.isolated = ""
			}
			s.run(rapid.IntRange(1, 20).Draw(t, "rounds"))
		}
		s.isolated = ""
		for _, vm := range s.vms {
			if vm.down {
				s.start(vm)
			}
		}
		s.run(24)
		alive, suspected := s.views(allVMs)
		if alive != len(s.vms)-1 || suspected != 0 {
			t.Fatalf("%d of %d members alive, %d silent", alive, len(s.vms)-1, suspected)
		}
	})
}

// Guards against urgent news that wait for the calls of relays with lower ids, and
// against a leaf that calls several relays, each of which would count its use.
func TestUrgentNewsReachAllRelays(t *testing.T) {
	s := newSimulation(4, 17)
	s.run(20)
	relays, leaves := 0, 0
	for _, vm := range s.vms {
		plan := vm.fleet.Plan(s.now)
		urgent := vm.fleet.UrgentTargets(s.now)
		if !plan.Relay {
			leaves++
			assert.DeepEqual(t, urgent, []ids.VMID{plan.HomeRelay})
			continue
		}
		relays++
		for _, relay := range plan.Relays {
			assert.Assert(t, slices.Contains(urgent, relay))
		}
	}
	assert.Assert(t, relays >= 8 && leaves >= 40, "%d relays, %d leaves", relays, leaves)
}
