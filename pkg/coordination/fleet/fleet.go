// Package fleet finds the VMs of the system from a few seed addresses and
// keeps track of which of them answer. Members are named by the address at
// which they serve their peers. It is deterministic: time and messages are
// arguments.
package fleet

import (
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the time limits of membership.
type Config struct {
	// SuspectAfter is how long a member may be silent and still count as
	// alive.
	SuspectAfter time.Duration
	// ForgetAfter is how long a silent member is remembered and called.
	ForgetAfter time.Duration
	// RetryAfter is the pause between calls to a member that is not alive.
	RetryAfter time.Duration
}

// DefaultConfig returns the limits for exchanges every 250 ms: a member is
// silent after four lost exchanges, and a cut of a minute is survived without
// new seeds.
func DefaultConfig() Config {
	return Config{SuspectAfter: time.Second, ForgetAfter: time.Minute, RetryAfter: 500 * time.Millisecond}
}

// Member is another VM.
type Member struct {
	ID         ids.VMID
	DataCentre ids.DataCentreID
	Boot       ids.BootID
	// Started is when the member's process started, by this VM's clock.
	Started time.Time
	// Heard is when the member last sent a message.
	Heard time.Time
	// Leaving members take no new work.
	Leaving bool

	called time.Time
}

// Announcement is what a member says of itself.
type Announcement struct {
	ID         ids.VMID         `json:"id"`
	DataCentre ids.DataCentreID `json:"dc"`
	Boot       ids.BootID       `json:"boot"`
	UptimeMs   int64            `json:"up"`
	Leaving    bool             `json:"leaving,omitempty"`
}

// Fleet is one VM's view of the other VMs.
type Fleet struct {
	config  Config
	self    ids.VMID
	seeds   []ids.VMID
	members map[ids.VMID]*Member
}

// New returns a fleet that knows only seeds.
func New(config Config, self ids.VMID, seeds []ids.VMID) *Fleet {
	f := &Fleet{config: config, self: self, members: make(map[ids.VMID]*Member)}
	f.SetSeeds(seeds)
	return f
}

// SetSeeds replaces the seeds. Members that were found stay known.
func (f *Fleet) SetSeeds(seeds []ids.VMID) {
	f.seeds = nil
	for _, seed := range seeds {
		if seed != f.self && seed != "" {
			f.seeds = append(f.seeds, seed)
		}
	}
}

// Hear takes a message that came from a member itself. It reports whether the
// member is new or has restarted since it was last heard.
func (f *Fleet) Hear(now time.Time, from Announcement) bool {
	if from.ID == f.self || from.ID == "" {
		return false
	}
	m := f.member(from.ID)
	changed := m.Boot != from.Boot
	m.DataCentre, m.Boot, m.Leaving = from.DataCentre, from.Boot, from.Leaving
	m.Started = now.Add(-time.Duration(from.UptimeMs) * time.Millisecond)
	m.Heard = now
	return changed
}

// Learn takes the addresses of members that a peer has heard. They are called
// before they count as alive.
func (f *Fleet) Learn(now time.Time, addresses []ids.VMID) {
	for _, address := range addresses {
		if address == f.self || address == "" || f.members[address] != nil {
			continue
		}
		f.member(address).Heard = now.Add(-f.config.SuspectAfter)
	}
}

func (f *Fleet) member(id ids.VMID) *Member {
	m := f.members[id]
	if m == nil {
		m = &Member{ID: id}
		f.members[id] = m
	}
	return m
}

// Alive returns the members heard within SuspectAfter, ordered by id.
func (f *Fleet) Alive(now time.Time) []Member {
	return f.filter(func(m *Member) bool { return m.Boot != "" && now.Sub(m.Heard) <= f.config.SuspectAfter })
}

// Silent returns the members that stopped answering without saying that they
// leave. They may still run behind a partition.
func (f *Fleet) Silent(now time.Time) []Member {
	return f.filter(func(m *Member) bool {
		quiet := now.Sub(m.Heard)
		return m.Boot != "" && !m.Leaving && quiet > f.config.SuspectAfter && quiet <= f.config.ForgetAfter
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

// Targets returns the members to exchange state with now: all that are alive,
// and the seeds and silent members whose retry is due. It forgets members that
// have been silent for ForgetAfter.
func (f *Fleet) Targets(now time.Time) []ids.VMID {
	for id, m := range f.members {
		if now.Sub(m.Heard) > f.config.ForgetAfter {
			delete(f.members, id)
		}
	}
	for _, seed := range f.seeds {
		if f.members[seed] == nil {
			f.member(seed).Heard = now.Add(-f.config.SuspectAfter)
		}
	}
	var targets []ids.VMID
	for id, m := range f.members {
		alive := now.Sub(m.Heard) <= f.config.SuspectAfter
		if !alive && now.Sub(m.called) < f.config.RetryAfter {
			continue
		}
		m.called = now
		targets = append(targets, id)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i] < targets[j] })
	return targets
}

// Known returns the addresses of all members, for the links to them.
func (f *Fleet) Known() []ids.VMID {
	known := make([]ids.VMID, 0, len(f.members))
	for id := range f.members {
		known = append(known, id)
	}
	return known
}
