package fleet

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Plan tells a VM which members to exchange state with.
type Plan struct {
	// Relay is set if this VM is a relay. Mesh is set if all VMs are relays.
	Relay, Mesh bool
	// Relays are the other relays that are alive.
	Relays []ids.VMID
	// HomeRelay is the relay that a leaf exchanges state with; empty for a relay.
	HomeRelay ids.VMID
	// PlatformReadRank is this VM's position in the order in which VMs read the platform:
	// relays before leaves, each sorted by ID.
	PlatformReadRank int
}

// PreferredOver reports whether a is chosen as a relay, or to order engines,
// before b: VMs that already order engines come first, then larger ones, then
// by ID.
func (a Announcement) PreferredOver(b Announcement) bool {
	if a.OrdersEngines != b.OrdersEngines {
		return a.OrdersEngines
	}
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return a.ID < b.ID
}

// announcement returns the member's last announcement without its uptime.
func (m *Member) announcement() Announcement {
	return Announcement{ID: m.ID, DataCentre: m.DataCentre, Boot: m.Boot, Cores: m.Cores, Leaving: m.Leaving, OrdersEngines: m.OrdersEngines, Relay: m.Relay}
}

// candidate is a VM that may become a relay.
type candidate struct {
	Announcement
	// settled reports whether the VM has been up for Config.MinRelayUptime.
	settled bool
}

// before reports whether c becomes a relay of its data centre before other does.
func (c *candidate) before(other *candidate) bool {
	if c.Leaving != other.Leaving {
		return other.Leaving
	}
	if c.settled != other.settled {
		return c.settled
	}
	return c.PreferredOver(other.Announcement)
}

// Plan returns this VM's current plan, based on what it knows of the fleet.
// It recomputes the plan when a member is new or has changed, or when the
// plan is older than Config.MaxPlanAge.
func (f *Fleet) Plan(now time.Time) Plan {
	if f.changed || f.plannedAt.IsZero() || now.Sub(f.plannedAt) >= f.config.MaxPlanAge {
		f.plan, f.plannedAt, f.changed = f.computePlan(now), now, false
		f.rosterStale = true
	}
	return f.plan
}

func (f *Fleet) computePlan(now time.Time) Plan {
	alive := f.aliveMembers(now)
	plan := Plan{Mesh: len(f.members)+1 <= f.config.MeshSize}
	relays := f.relays(now, alive, plan.Mesh)
	_, plan.Relay = relays[f.self.ID]
	for _, m := range alive {
		if relays[m.ID] {
			plan.Relays = append(plan.Relays, m.ID)
		}
		if !m.Leaving && f.readsPlatformBefore(relays, m.ID, plan.Relay) {
			plan.PlatformReadRank++
		}
	}
	if !plan.Relay {
		plan.HomeRelay = f.chooseHomeRelay(now, relays, alive)
	}
	return plan
}

// readsPlatformBefore reports whether a member precedes this VM in the order
// in which VMs read the platform.
func (f *Fleet) readsPlatformBefore(relays map[ids.VMID]bool, id ids.VMID, selfRelay bool) bool {
	if relays[id] != selfRelay {
		return relays[id]
	}
	return id < f.self.ID
}

// relays returns all relays, including this VM if it is one.
func (f *Fleet) relays(now time.Time, alive []*Member, mesh bool) map[ids.VMID]bool {
	relays := make(map[ids.VMID]bool)
	// first holds the first RelaysPerDataCentre candidates in order of preference.
	first := make(map[ids.DataCentreID][]candidate)
	add := func(c candidate) {
		if mesh || c.OrdersEngines {
			relays[c.ID] = true
		}
		best := first[c.DataCentre]
		at := len(best)
		for at > 0 && c.before(&best[at-1]) {
			at--
		}
		if at < f.config.RelaysPerDataCentre {
			best = slices.Insert(best, at, c)
			first[c.DataCentre] = best[:min(len(best), f.config.RelaysPerDataCentre)]
		}
	}
	latestStart := now.Add(-f.config.MinRelayUptime)
	add(candidate{Announcement: f.self, settled: !f.started.After(latestStart)})
	for _, m := range alive {
		add(candidate{m.announcement(), !m.Started.After(latestStart)})
	}
	for _, best := range first {
		for i := range best {
			relays[best[i].ID] = true
		}
	}
	return relays
}

// chooseHomeRelay keeps the current home relay while it answers. Otherwise it
// picks a relay of the data centre by a hash of this VM's ID, so that the
// leaves spread over the relays.
func (f *Fleet) chooseHomeRelay(now time.Time, relays map[ids.VMID]bool, alive []*Member) ids.VMID {
	var otherRelays []ids.VMID
	for _, m := range alive {
		if m.DataCentre != f.self.DataCentre || !relays[m.ID] {
			continue
		}
		if m.ID != f.plan.HomeRelay {
			otherRelays = append(otherRelays, m.ID)
		} else if now.Sub(m.LastDirectAt) <= f.config.HomeRelayTimeout || now.Sub(f.homeChosenAt) <= f.config.HomeRelayTimeout {
			return m.ID
		}
	}
	if len(otherRelays) == 0 {
		return f.plan.HomeRelay
	}
	f.homeChosenAt = now
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(f.self.ID))
	return otherRelays[hash.Sum32()%uint32(len(otherRelays))]
}

// Leaves returns the members that use this VM as their relay.
func (f *Fleet) Leaves(now time.Time) map[ids.VMID]bool {
	leaves := make(map[ids.VMID]bool)
	for id, m := range f.members {
		if !m.Relay && f.alive(now, m) && f.heardDirectly(now, m) {
			leaves[id] = true
		}
	}
	return leaves
}

// OrdersEngines reports whether a member has announced that it orders engines.
func (f *Fleet) OrdersEngines(id ids.VMID) bool {
	m := f.members[id]
	return m != nil && m.OrdersEngines
}

// Targets returns the members to call now. An exchange passes state both ways,
// so of two relays only the one with the lower ID calls, unless it is silent.
// Targets forgets members that have been silent for ForgetAfter.
func (f *Fleet) Targets(now time.Time) []ids.VMID {
	f.forgetSilent(now)
	plan := f.Plan(now)
	var targets []ids.VMID
	call := func(id ids.VMID) {
		f.getOrAdd(now, id).lastCalledAt = now
		targets = append(targets, id)
	}
	if plan.Relay {
		for _, id := range plan.Relays {
			if f.self.ID < id || now.Sub(f.members[id].LastDirectAt) > f.config.PassiveCallAfter {
				call(id)
			}
		}
	} else {
		call(plan.HomeRelay)
		if f.members[plan.HomeRelay].Relay {
			return targets
		}
	}
	for _, id := range f.retryTargets(now, plan.Mesh) {
		if now.Sub(f.getOrAdd(now, id).lastCalledAt) >= f.config.RetryInterval {
			call(id)
		}
	}
	return sortedUnique(targets)
}

// UrgentTargets returns the members to call when news must reach the whole fleet at
// once: of a relay, all other relays too. A leaf still calls its own relay only,
// since others would count its use and loads a second time.
func (f *Fleet) UrgentTargets(now time.Time) []ids.VMID {
	targets := f.Targets(now)
	if plan := f.Plan(now); plan.Relay {
		targets = sortedUnique(append(targets, plan.Relays...))
	}
	return targets
}

// retryTargets returns the VMs that are not alive and should be called: all
// seeds, and of the members all in a full mesh, otherwise those of each data
// centre that would be relays and one more in turn.
func (f *Fleet) retryTargets(now time.Time, mesh bool) []ids.VMID {
	var retryTargets []ids.VMID
	for _, seed := range f.seeds {
		if !f.alive(now, f.getOrAdd(now, seed)) {
			retryTargets = append(retryTargets, seed)
		}
	}
	notAlive := make(map[ids.DataCentreID][]Announcement)
	for _, m := range f.sorted {
		if !f.alive(now, m) {
			notAlive[m.DataCentre] = append(notAlive[m.DataCentre], m.announcement())
		}
	}
	f.retryRound++
	for _, group := range notAlive {
		slices.SortFunc(group, func(a, b Announcement) int {
			if a.PreferredOver(b) {
				return -1
			}
			return 1
		})
		for i, m := range group {
			if mesh || i < f.config.RelaysPerDataCentre || i == f.retryRound%len(group) {
				retryTargets = append(retryTargets, m.ID)
			}
		}
	}
	return sortedUnique(retryTargets)
}

// sortedUnique sorts list in place and removes duplicates.
func sortedUnique(list []ids.VMID) []ids.VMID {
	slices.Sort(list)
	return slices.Compact(list)
}
