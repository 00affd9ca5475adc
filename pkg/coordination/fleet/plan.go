package fleet

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Plan is with which members a VM exchanges state.
type Plan struct {
	// Relay is set if the VM passes the state of others on, and Mesh if all
	// VMs are relays.
	Relay, Mesh bool
	// Relays are the other relays that are alive.
	Relays []ids.VMID
	// Home is the relay of a leaf.
	Home ids.VMID
	// Rank is the VM's place among those that read the platform: relays
	// before leaves, each by id.
	Rank int
}

// Before reports whether a member is chosen as a relay, or to order engines,
// before another: VMs that order engines already, then larger ones, then by id.
func (a Announcement) Before(b Announcement) bool {
	if a.Orders != b.Orders {
		return a.Orders
	}
	if a.Size != b.Size {
		return a.Size > b.Size
	}
	return a.ID < b.ID
}

func (m *Member) announcement() Announcement {
	return Announcement{ID: m.ID, DataCentre: m.DataCentre, Boot: m.Boot, Size: m.Size, Leaving: m.Leaving, Orders: m.Orders, Relay: m.Relay}
}

// candidate is a VM that may be a relay.
type candidate struct {
	Announcement
	settled bool
}

// Plan returns the VM's part in the exchange as far as it knows the fleet.
func (f *Fleet) Plan(now time.Time) Plan {
	if f.changed || f.planned.IsZero() || now.Sub(f.planned) >= f.config.PlanAge {
		f.plan, f.planned, f.changed = f.makePlan(now), now, false
		f.roster = f.makeRoster(now)
	}
	return f.plan
}

func (f *Fleet) makePlan(now time.Time) Plan {
	alive := f.Alive(now)
	plan := Plan{Mesh: len(f.members)+1 <= f.config.MeshSize}
	relays := f.relays(now, alive, plan.Mesh)
	_, plan.Relay = relays[f.self.ID]
	for _, m := range alive {
		if relays[m.ID] {
			plan.Relays = append(plan.Relays, m.ID)
		}
		if !m.Leaving && f.readsBefore(relays, m.ID, plan.Relay) {
			plan.Rank++
		}
	}
	if !plan.Relay {
		plan.Home = f.chooseHome(now, relays, alive)
	}
	return plan
}

func (f *Fleet) readsBefore(relays map[ids.VMID]bool, id ids.VMID, selfRelay bool) bool {
	if relays[id] != selfRelay {
		return relays[id]
	}
	return id < f.self.ID
}

// relays returns all relays, this VM included if it is one.
func (f *Fleet) relays(now time.Time, alive []Member, mesh bool) map[ids.VMID]bool {
	relays := make(map[ids.VMID]bool)
	byCentre := make(map[ids.DataCentreID][]candidate)
	self := candidate{Announcement: f.self, settled: now.Sub(f.started) >= f.config.SettleAfter}
	byCentre[f.self.DataCentre] = append(byCentre[f.self.DataCentre], self)
	for i := range alive {
		m := &alive[i]
		byCentre[m.DataCentre] = append(byCentre[m.DataCentre], candidate{m.announcement(), now.Sub(m.Started) >= f.config.SettleAfter})
	}
	for _, candidates := range byCentre {
		sort.Slice(candidates, func(i, j int) bool {
			a, b := candidates[i], candidates[j]
			if a.Leaving != b.Leaving {
				return b.Leaving
			}
			if a.settled != b.settled {
				return a.settled
			}
			return a.Before(b.Announcement)
		})
		for i, c := range candidates {
			if mesh || i < f.config.Relays || c.Orders {
				relays[c.ID] = true
			}
		}
	}
	return relays
}

// chooseHome keeps the home relay while it answers, and otherwise picks one of
// the data centre by a hash of the leaf, so that leaves spread over them.
func (f *Fleet) chooseHome(now time.Time, relays map[ids.VMID]bool, alive []Member) ids.VMID {
	var homes []ids.VMID
	for i := range alive {
		m := &alive[i]
		if m.DataCentre != f.self.DataCentre || !relays[m.ID] {
			continue
		}
		if m.ID != f.plan.Home {
			homes = append(homes, m.ID)
		} else if now.Sub(m.Direct) <= f.config.HomeAfter || now.Sub(f.homeSince) <= f.config.HomeAfter {
			return m.ID
		}
	}
	if len(homes) == 0 {
		return f.plan.Home
	}
	f.homeSince = now
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(f.self.ID))
	return homes[hash.Sum32()%uint32(len(homes))]
}

// Leaves returns the members for which this VM is the relay.
func (f *Fleet) Leaves(now time.Time) map[ids.VMID]bool {
	leaves := make(map[ids.VMID]bool)
	for id, m := range f.members {
		if !m.Relay && f.alive(now, m) && f.heardDirectly(now, m) {
			leaves[id] = true
		}
	}
	return leaves
}

// Orders reports whether a member orders engines as far as it has told.
func (f *Fleet) Orders(id ids.VMID) bool {
	m := f.members[id]
	return m != nil && m.Orders
}

// Targets returns the members to exchange state with now. It forgets members
// that have been silent for ForgetAfter.
func (f *Fleet) Targets(now time.Time) []ids.VMID {
	for id, m := range f.members {
		if now.Sub(m.heard()) > f.config.ForgetAfter {
			delete(f.members, id)
			delete(f.rosters, id)
		}
	}
	plan := f.Plan(now)
	var targets []ids.VMID
	call := func(id ids.VMID) {
		f.member(now, id).called = now
		targets = append(targets, id)
	}
	if plan.Relay {
		for _, id := range plan.Relays {
			call(id)
		}
	} else {
		call(plan.Home)
		if f.members[plan.Home].Relay {
			return targets
		}
	}
	for _, id := range f.retries(now, plan.Mesh) {
		if now.Sub(f.member(now, id).called) >= f.config.RetryAfter {
			call(id)
		}
	}
	return unique(targets)
}

// retries returns the members and seeds to look for that are not alive: all of
// a small fleet, and in a larger one of each data centre those that would be
// relays and another one in turn.
func (f *Fleet) retries(now time.Time, mesh bool) []ids.VMID {
	var retries []ids.VMID
	for _, seed := range f.seeds {
		if !f.alive(now, f.member(now, seed)) {
			retries = append(retries, seed)
		}
	}
	lost := make(map[ids.DataCentreID][]Announcement)
	for _, m := range f.members {
		if !f.alive(now, m) {
			lost[m.DataCentre] = append(lost[m.DataCentre], m.announcement())
		}
	}
	f.turn++
	for _, group := range lost {
		sort.Slice(group, func(i, j int) bool { return group[i].Before(group[j]) })
		for i, m := range group {
			if mesh || i < f.config.Relays || i == f.turn%len(group) {
				retries = append(retries, m.ID)
			}
		}
	}
	return unique(retries)
}

func unique(list []ids.VMID) []ids.VMID {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	kept := list[:0]
	for i, id := range list {
		if i == 0 || id != list[i-1] {
			kept = append(kept, id)
		}
	}
	return kept
}
