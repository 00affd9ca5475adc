// Package fleet discovers the other VMs of the system from a few seed
// addresses, tracks which of them are alive, and decides which VMs exchange
// state with which. A VM's ID is the address at which it serves its peers.
// Package node calls it with the announcements and rosters that arrive from
// other VMs. It is deterministic: time and messages are arguments.
//
// In a small fleet every VM exchanges state with every other (a full mesh).
// In a larger fleet a few relays of each data centre exchange with all other
// relays. Every other VM, a leaf, exchanges with one relay of its own data
// centre, which passes the state of the fleet on to it.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the time limits and sizes of the fleet.
type Config struct {
	// SuspectAfter is how long a member may be silent before it no longer
	// counts as alive.
	SuspectAfter time.Duration
	// RelayedSuspectAfter is the same limit for a member that is known
	// through a relay. It is long enough for a leaf to change to another
	// relay.
	RelayedSuspectAfter time.Duration
	// ForgetAfter is how long a silent member is remembered and called.
	ForgetAfter time.Duration
	// RetryInterval is the minimum time between calls to a member that is not
	// alive.
	RetryInterval time.Duration
	// MeshSize is the largest number of VMs at which all of them are relays.
	MeshSize int
	// RelaysPerDataCentre is the number of relays of each data centre in a
	// larger fleet, in addition to the VMs that order engines.
	RelaysPerDataCentre int
	// MinRelayUptime is the uptime from which a VM may become a relay while
	// other candidates exist; by then it knows the fleet.
	MinRelayUptime time.Duration
	// HomeRelayTimeout is how long a leaf's relay may be silent before the leaf
	// changes to another one.
	HomeRelayTimeout time.Duration
	// PassiveCallAfter is how long a VM waits for the call of a relay with a
	// lower ID before it calls that relay itself.
	PassiveCallAfter time.Duration
	// SizeKnownAfter is the uptime from which a VM knows most of the other VMs,
	// even if all of them have restarted.
	SizeKnownAfter time.Duration
	// JoinTime is the uptime from which a VM has heard every data centre from
	// which it is not cut off.
	JoinTime time.Duration
	// MaxPlanAge is how long a plan is used while no member is new or has
	// changed.
	MaxPlanAge time.Duration
}

// DefaultConfig returns the limits for exchanges every 250 ms between relays
// and every 350 ms by leaves. A member is suspected after about four lost
// exchanges, and after a network partition of up to a minute the VMs find
// each other again without new seeds. A full mesh of 12 VMs makes 264 calls
// per second; the number grows with the square of the VMs.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:        time.Second,
		RelayedSuspectAfter: 2 * time.Second,
		ForgetAfter:         time.Minute,
		RetryInterval:       500 * time.Millisecond,
		MeshSize:            12,
		RelaysPerDataCentre: 2,
		MinRelayUptime:      1500 * time.Millisecond,
		HomeRelayTimeout:    time.Second,
		PassiveCallAfter:    450 * time.Millisecond,
		SizeKnownAfter:      3 * time.Second,
		JoinTime:            time.Second,
		MaxPlanAge:          200 * time.Millisecond,
	}
}

// Member is another VM.
type Member struct {
	ID         ids.VMID
	DataCentre ids.DataCentreID
	Boot       ids.BootID
	// Cores is the member's processor share in cores.
	Cores float64
	// Started is when the member's process started, by this VM's clock.
	Started time.Time
	// LastDirectAt is when the member itself last sent a message. LastRelayedAt is when a
	// relay last reported that it is running.
	LastDirectAt, LastRelayedAt time.Time
	// Leaving is set for members that take no new work.
	Leaving bool
	// OrdersEngines is set for members that send orders to engines.
	OrdersEngines bool
	// Relay is set if the member last announced that it is a relay.
	Relay bool

	// viaRelay is the relay that last reported the member as running.
	viaRelay ids.VMID
	// discoveredAt is when the member's address became known.
	discoveredAt time.Time
	// lastCalledAt is when this VM last called the member.
	lastCalledAt time.Time
}

// lastHeardAt returns when the member was last known to be running, or when
// it was discovered.
func (m *Member) lastHeardAt() time.Time {
	latest := m.discoveredAt
	if m.LastDirectAt.After(latest) {
		latest = m.LastDirectAt
	}
	if m.LastRelayedAt.After(latest) {
		latest = m.LastRelayedAt
	}
	return latest
}

// Announcement is what a VM tells the others about itself.
type Announcement struct {
	ID         ids.VMID         `json:"id"`
	DataCentre ids.DataCentreID `json:"dc"`
	Boot       ids.BootID       `json:"boot"`
	// UptimeMs is the uptime of the VM's process in milliseconds.
	UptimeMs int64 `json:"up"`
	// Cores is the VM's processor share in cores.
	Cores   float64 `json:"size,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	// OrdersEngines is set while the VM sends orders to engines.
	OrdersEngines bool `json:"orders,omitempty"`
	// Relay is set while the VM is a relay.
	Relay bool `json:"relay,omitempty"`
}

// Fleet is one VM's view of the other VMs. It is not safe for concurrent use.
type Fleet struct {
	config  Config
	self    Announcement
	started time.Time
	seeds   []ids.VMID
	members map[ids.VMID]*Member
	// sorted holds the same members, sorted by ID.
	sorted []*Member
	// peerRosters holds the last roster that each peer sent.
	peerRosters map[ids.VMID]*peerRoster
	// plan was computed at plannedAt.
	plan      Plan
	plannedAt time.Time
	// roster is the roster that this VM sends. rosterStale is set if it is older
	// than plan; only VMs that are asked for a roster build one.
	roster      Roster
	rosterStale bool
	// homeChosenAt is when the home relay was chosen.
	homeChosenAt time.Time
	// changed is set if a member is new or has changed since the last plan.
	changed bool
	// retryRound counts the calls of retryTargets, which calls lost members
	// in turn.
	retryRound int
}

// New returns a fleet that knows only the seeds. self is what this VM
// announces; its uptime is counted from now.
func New(config Config, now time.Time, self Announcement, seeds []ids.VMID) *Fleet {
	f := &Fleet{
		config: config, self: self, started: now,
		members: make(map[ids.VMID]*Member), peerRosters: make(map[ids.VMID]*peerRoster),
	}
	f.SetSeeds(seeds)
	return f
}

// SetSeeds replaces the seeds. Members that were already discovered stay
// known.
func (f *Fleet) SetSeeds(seeds []ids.VMID) {
	f.seeds = nil
	for _, seed := range seeds {
		if seed != f.self.ID && seed != "" {
			f.seeds = append(f.seeds, seed)
		}
	}
}

// SetSelf changes what this VM announces about itself.
func (f *Fleet) SetSelf(leaving, ordersEngines bool) {
	f.changed = f.changed || f.self.Leaving != leaving || f.self.OrdersEngines != ordersEngines
	f.self.Leaving, f.self.OrdersEngines = leaving, ordersEngines
}

// Self returns what this VM announces about itself.
func (f *Fleet) Self(now time.Time) Announcement {
	self := f.self
	self.UptimeMs = now.Sub(f.started).Milliseconds()
	self.Relay = f.Plan(now).Relay
	return self
}

// ApplyAnnouncement records a message that a member sent itself. It reports
// whether the member is new or has restarted since its last message.
func (f *Fleet) ApplyAnnouncement(now time.Time, from Announcement) bool {
	if from.ID == f.self.ID || from.ID == "" {
		return false
	}
	m := f.getOrAdd(now, from.ID)
	restarted := m.Boot != from.Boot
	f.updateMember(m, from, now.Add(-time.Duration(from.UptimeMs)*time.Millisecond))
	m.LastDirectAt = now
	return restarted
}

// updateMember copies an announcement to a member whose process started at
// started.
func (f *Fleet) updateMember(m *Member, from Announcement, started time.Time) {
	f.changed = f.changed || m.Boot != from.Boot || m.Cores != from.Cores || m.Leaving != from.Leaving || m.OrdersEngines != from.OrdersEngines || m.Relay != from.Relay
	m.DataCentre, m.Boot, m.Cores, m.Started = from.DataCentre, from.Boot, from.Cores, started
	m.Leaving, m.OrdersEngines, m.Relay = from.Leaving, from.OrdersEngines, from.Relay
}

// addUnconfirmed adds a member that a peer has reported, so that this VM calls
// it. The member does not count as alive yet.
func (f *Fleet) addUnconfirmed(now time.Time, from Announcement) {
	if from.ID == f.self.ID || from.ID == "" || f.members[from.ID] != nil {
		return
	}
	m := f.getOrAdd(now, from.ID)
	m.DataCentre, m.Cores = from.DataCentre, from.Cores
}

// getOrAdd returns the member with the given ID and adds it if it is unknown.
func (f *Fleet) getOrAdd(now time.Time, id ids.VMID) *Member {
	m := f.members[id]
	if m == nil {
		m = &Member{ID: id, discoveredAt: now}
		f.members[id] = m
		at, _ := slices.BinarySearchFunc(f.sorted, id, func(m *Member, id ids.VMID) int { return cmp.Compare(m.ID, id) })
		f.sorted = slices.Insert(f.sorted, at, m)
		f.changed = true
	}
	return m
}

// forgetSilent removes the members that have been silent for ForgetAfter.
func (f *Fleet) forgetSilent(now time.Time) {
	oldest := now.Add(-f.config.ForgetAfter)
	f.sorted = slices.DeleteFunc(f.sorted, func(m *Member) bool {
		silent := m.lastHeardAt().Before(oldest)
		if silent {
			delete(f.members, m.ID)
			delete(f.peerRosters, m.ID)
		}
		return silent
	})
}

// alive reports whether a member was heard recently, directly or through a
// relay.
func (f *Fleet) alive(now time.Time, m *Member) bool {
	return m.Boot != "" && (f.heardDirectly(now, m) || now.Sub(m.LastRelayedAt) <= f.config.RelayedSuspectAfter)
}

// heardDirectly reports whether a member itself sent a message recently.
func (f *Fleet) heardDirectly(now time.Time, m *Member) bool {
	return now.Sub(m.LastDirectAt) <= f.config.SuspectAfter
}

// Alive returns the members that were heard recently, sorted by ID.
func (f *Fleet) Alive(now time.Time) []Member {
	members := f.aliveMembers(now)
	alive := make([]Member, len(members))
	for i, m := range members {
		alive[i] = *m
	}
	return alive
}

// aliveMembers is Alive without copies, for use within one call. It compares with
// the oldest times allowed, which takes less time than alive for each member.
func (f *Fleet) aliveMembers(now time.Time) []*Member {
	alive := make([]*Member, 0, len(f.sorted))
	oldestDirect, oldestRelayed := now.Add(-f.config.SuspectAfter), now.Add(-f.config.RelayedSuspectAfter)
	for _, m := range f.sorted {
		if m.Boot != "" && (!m.LastRelayedAt.Before(oldestRelayed) || !m.LastDirectAt.Before(oldestDirect)) {
			alive = append(alive, m)
		}
	}
	return alive
}

// Suspected returns the members that became silent without announcing that
// they are leaving, sorted by ID. They may be disconnected and still running.
func (f *Fleet) Suspected(now time.Time) []Member {
	return f.filter(func(m *Member) bool {
		return m.Boot != "" && !m.Leaving && !f.alive(now, m) && now.Sub(m.lastHeardAt()) <= f.config.ForgetAfter
	})
}

// EstimatedSize returns how many VMs the fleet has, this one included, as far as
// this VM can tell: the members that it knows, silent ones too. A data centre of
// which no member is known is assumed to have as many VMs as this VM's own. The
// result is 0 if that is not known: until a VM with seeds has been up for
// SizeKnownAfter and has heard from another one.
func (f *Fleet) EstimatedSize(now time.Time, dataCentres []ids.DataCentreID) int {
	if len(f.seeds) > 0 && now.Sub(f.started) < f.config.SizeKnownAfter {
		return 0
	}
	size := 1
	heard := len(f.seeds) == 0
	for _, m := range f.members {
		heard = heard || m.Boot != ""
		if !m.Leaving || f.alive(now, m) {
			size++
		}
	}
	if !heard {
		return 0
	}
	return size + f.assumedVMs(dataCentres)
}

// UnheardVMs returns how many VMs of data centres that were never heard may be
// running behind a partition, and admitting their share of customers' rates. It
// is 0 until JoinTime, since callers return at once after a loss of all VMs while
// these still find each other, and after ForgetAfter, since a data centre may
// have no VMs.
func (f *Fleet) UnheardVMs(now time.Time, dataCentres []ids.DataCentreID) int {
	if uptime := now.Sub(f.started); uptime < f.config.JoinTime || uptime > f.config.ForgetAfter {
		return 0
	}
	return f.assumedVMs(dataCentres)
}

// assumedVMs returns how many VMs are assumed in the data centres of which no
// member has been heard since this VM started: in each, as many as this VM has
// heard in its own.
func (f *Fleet) assumedVMs(dataCentres []ids.DataCentreID) int {
	heard := map[ids.DataCentreID]int{f.self.DataCentre: 1}
	for _, m := range f.members {
		if m.Boot != "" {
			heard[m.DataCentre]++
		}
	}
	unheard := 0
	for _, dc := range dataCentres {
		if heard[dc] == 0 {
			unheard += heard[f.self.DataCentre]
		}
	}
	return unheard
}

// filter returns copies of the members for which include is true, sorted by
// ID.
func (f *Fleet) filter(include func(*Member) bool) []Member {
	var found []Member
	for _, m := range f.sorted {
		if include(m) {
			found = append(found, *m)
		}
	}
	return found
}

// MemberIDs returns the IDs of all known members, to keep links to them.
func (f *Fleet) MemberIDs() []ids.VMID {
	known := make([]ids.VMID, 0, len(f.members))
	for id := range f.members {
		known = append(known, id)
	}
	return known
}

// Staying returns those of the given members that have not announced that they
// are leaving.
func (f *Fleet) Staying(members []ids.VMID) []ids.VMID {
	var staying []ids.VMID
	for _, id := range members {
		if m := f.members[id]; m != nil && !m.Leaving {
			staying = append(staying, id)
		}
	}
	return staying
}
