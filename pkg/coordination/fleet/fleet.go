// Package fleet finds the VMs of the system from a few seed addresses, keeps
// track of which of them answer, and decides which VMs exchange state with
// which. Members are named by the address at which they serve their peers. It
// is deterministic: time and messages are arguments.
//
// In a small fleet every VM exchanges with every other. In a larger one a few
// relays of each data centre exchange with all other relays, and every other
// VM, a leaf, exchanges with one relay of its own data centre, which passes the
// state of the fleet on.
package fleet

import (
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the time limits and sizes of membership.
type Config struct {
	// SuspectAfter is how long a member may be silent and still count as
	// alive.
	SuspectAfter time.Duration
	// RelayedSuspectAfter is the same for a member that is known through a
	// relay. A leaf changes to another relay within it.
	RelayedSuspectAfter time.Duration
	// ForgetAfter is how long a silent member is remembered and called.
	ForgetAfter time.Duration
	// RetryAfter is the pause between calls to a member that is not alive.
	RetryAfter time.Duration
	// MeshSize is the largest fleet in which all VMs are relays.
	MeshSize int
	// Relays is the number of relays of a data centre in a larger fleet,
	// besides those that order engines.
	Relays int
	// SettleAfter is the uptime from which a VM may become a relay while
	// others are there: by then it knows the fleet.
	SettleAfter time.Duration
	// HomeAfter is how long a leaf's relay may be silent before the leaf
	// changes to another.
	HomeAfter time.Duration
	// PlanAge is how long a plan is used while no member is new or changed.
	PlanAge time.Duration
}

// DefaultConfig returns the limits for exchanges every 250 ms between relays
// and every 350 ms of leaves: a member is silent after about four lost
// exchanges, and a cut of a minute is survived without new seeds. A full mesh of 12 VMs is 528 calls a second; 68 VMs were 18,000
// and used up their processors.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:        time.Second,
		RelayedSuspectAfter: 2 * time.Second,
		ForgetAfter:         time.Minute,
		RetryAfter:          500 * time.Millisecond,
		MeshSize:            12,
		Relays:              2,
		SettleAfter:         1500 * time.Millisecond,
		HomeAfter:           time.Second,
		PlanAge:             100 * time.Millisecond,
	}
}

// Member is another VM.
type Member struct {
	ID         ids.VMID
	DataCentre ids.DataCentreID
	Boot       ids.BootID
	Size       float64
	// Started is when the member's process started, by this VM's clock.
	Started time.Time
	// Direct is when the member itself last sent a message, and Relayed when
	// a relay last told that it runs.
	Direct, Relayed time.Time
	// Leaving members take no new work.
	Leaving bool
	// Orders is set for members that order engines.
	Orders bool
	// Relay is what the member last said of its own part.
	Relay bool

	// relay is the VM that last told that the member runs.
	relay ids.VMID
	// found is when the address became known.
	found  time.Time
	called time.Time
}

// heard returns when the member was last known to run.
func (m *Member) heard() time.Time {
	latest := m.found
	if m.Direct.After(latest) {
		latest = m.Direct
	}
	if m.Relayed.After(latest) {
		latest = m.Relayed
	}
	return latest
}

// Announcement is what a member says of itself.
type Announcement struct {
	ID         ids.VMID         `json:"id"`
	DataCentre ids.DataCentreID `json:"dc"`
	Boot       ids.BootID       `json:"boot"`
	UptimeMs   int64            `json:"up"`
	// Size is the member's processor share in cores.
	Size    float64 `json:"size,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	// Orders is set while the member orders engines.
	Orders bool `json:"orders,omitempty"`
	// Relay is set while the member passes the state of others on.
	Relay bool `json:"relay,omitempty"`
}

// Fleet is one VM's view of the other VMs.
type Fleet struct {
	config  Config
	self    Announcement
	started time.Time
	seeds   []ids.VMID
	members map[ids.VMID]*Member
	rosters map[ids.VMID]*heldRoster
	plan    Plan
	planned time.Time
	// roster is what the plan's members are told.
	roster Roster
	// homeSince is when the home relay was chosen.
	homeSince time.Time
	// changed is set when a member is new or has changed since the last plan.
	changed bool
	turn    int
}

// New returns a fleet that knows only seeds. Self is what the VM says of
// itself; its uptime is counted from now.
func New(config Config, now time.Time, self Announcement, seeds []ids.VMID) *Fleet {
	f := &Fleet{
		config: config, self: self, started: now,
		members: make(map[ids.VMID]*Member), rosters: make(map[ids.VMID]*heldRoster),
	}
	f.SetSeeds(seeds)
	return f
}

// SetSeeds replaces the seeds. Members that were found stay known.
func (f *Fleet) SetSeeds(seeds []ids.VMID) {
	f.seeds = nil
	for _, seed := range seeds {
		if seed != f.self.ID && seed != "" {
			f.seeds = append(f.seeds, seed)
		}
	}
}

// SetSelf changes what the VM says of itself.
func (f *Fleet) SetSelf(leaving, orders bool) {
	f.changed = f.changed || f.self.Leaving != leaving || f.self.Orders != orders
	f.self.Leaving, f.self.Orders = leaving, orders
}

// Self returns what the VM says of itself.
func (f *Fleet) Self(now time.Time) Announcement {
	self := f.self
	self.UptimeMs = now.Sub(f.started).Milliseconds()
	self.Relay = f.Plan(now).Relay
	return self
}

// Hear takes a message that came from a member itself. It reports whether the
// member is new or has restarted since it was last heard.
func (f *Fleet) Hear(now time.Time, from Announcement) bool {
	if from.ID == f.self.ID || from.ID == "" {
		return false
	}
	m := f.member(now, from.ID)
	restarted := m.Boot != from.Boot
	f.take(m, from, now.Add(-time.Duration(from.UptimeMs)*time.Millisecond))
	m.Direct = now
	return restarted
}

func (f *Fleet) take(m *Member, from Announcement, started time.Time) {
	f.changed = f.changed || m.Boot != from.Boot || m.Size != from.Size || m.Leaving != from.Leaving || m.Orders != from.Orders || m.Relay != from.Relay
	m.DataCentre, m.Boot, m.Size, m.Started = from.DataCentre, from.Boot, from.Size, started
	m.Leaving, m.Orders, m.Relay = from.Leaving, from.Orders, from.Relay
}

// learn takes the address of a member that a peer has heard. It is called
// before it counts as alive.
func (f *Fleet) learn(now time.Time, from Announcement) {
	if from.ID == f.self.ID || from.ID == "" || f.members[from.ID] != nil {
		return
	}
	m := f.member(now, from.ID)
	m.DataCentre, m.Size = from.DataCentre, from.Size
}

func (f *Fleet) member(now time.Time, id ids.VMID) *Member {
	m := f.members[id]
	if m == nil {
		m = &Member{ID: id, found: now}
		f.members[id] = m
		f.changed = true
	}
	return m
}

func (f *Fleet) alive(now time.Time, m *Member) bool {
	return m.Boot != "" && (f.heardDirectly(now, m) || now.Sub(m.Relayed) <= f.config.RelayedSuspectAfter)
}

func (f *Fleet) heardDirectly(now time.Time, m *Member) bool {
	return now.Sub(m.Direct) <= f.config.SuspectAfter
}

// Alive returns the members that were heard lately, ordered by id.
func (f *Fleet) Alive(now time.Time) []Member {
	return f.filter(func(m *Member) bool { return f.alive(now, m) })
}

// Silent returns the members that stopped answering without saying that they
// leave. They may still run behind a partition.
func (f *Fleet) Silent(now time.Time) []Member {
	return f.filter(func(m *Member) bool {
		return m.Boot != "" && !m.Leaving && !f.alive(now, m) && now.Sub(m.heard()) <= f.config.ForgetAfter
	})
}

func (f *Fleet) filter(keep func(*Member) bool) []Member {
	var found []Member
	for _, m := range f.members {
		if keep(m) {
			found = append(found, *m)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// Known returns the addresses of all members, for the links to them.
func (f *Fleet) Known() []ids.VMID {
	known := make([]ids.VMID, 0, len(f.members))
	for id := range f.members {
		known = append(known, id)
	}
	return known
}
