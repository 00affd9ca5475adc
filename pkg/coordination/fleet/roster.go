package fleet

import (
	"hash/fnv"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// RosterEntry is one member as a relay tells it.
type RosterEntry struct {
	Announcement
	// Leaf is set for members that exchange with the relay itself.
	Leaf bool `json:"leaf,omitempty"`
}

// Roster is the members that a relay takes for alive.
type Roster struct {
	// Version is a hash of the entries; 0 for none.
	Version uint64 `json:"v,omitempty"`
	// Entries are left out where the receiver has this version.
	Entries []RosterEntry `json:"m,omitempty"`
}

// heldRoster is the last roster that a peer sent.
type heldRoster struct {
	boot    ids.BootID
	version uint64
	entries []heldEntry
	// theirs is the version of this VM's roster that the peer has.
	theirs uint64
}

type heldEntry struct {
	RosterEntry
	started time.Time
}

// Roster returns the members that are alive, this VM left out. Entries are
// included unless the receiver has the version already. A leaf sends one only
// to a VM that takes it for a relay by mistake, so that it finds the relays.
func (f *Fleet) Roster(now time.Time, to ids.VMID) Roster {
	if m := f.members[to]; !f.Plan(now).Relay && (m == nil || m.Relay) {
		return Roster{}
	}
	roster := f.roster
	if held := f.rosters[to]; held != nil && held.theirs == roster.Version {
		roster.Entries = nil
	}
	return roster
}

// makeRoster lists the members that are alive.
func (f *Fleet) makeRoster(now time.Time) Roster {
	var roster Roster
	hash := fnv.New64a()
	for _, m := range f.Alive(now) {
		entry := RosterEntry{Announcement: m.announcement(), Leaf: !m.Relay && f.heardDirectly(now, &m)}
		entry.UptimeMs = now.Sub(m.Started).Milliseconds()
		roster.Entries = append(roster.Entries, entry)
		_, _ = hash.Write([]byte(m.ID))
		_, _ = hash.Write([]byte(m.Boot))
		_, _ = hash.Write([]byte{flag(m.Leaving), flag(m.Orders), flag(m.Relay), flag(entry.Leaf)})
	}
	roster.Version = max(hash.Sum64(), 1)
	return roster
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// RosterSeen returns the version of a peer's roster that this VM has.
func (f *Fleet) RosterSeen(peer ids.VMID) uint64 {
	if held := f.rosters[peer]; held != nil {
		return held.version
	}
	return 0
}

// HearRoster takes the roster of a peer that has just been heard. A leaf takes
// its relay's word for all members, a relay only that for the sender's leaves:
// relays hear each other themselves. Members that the roster no longer holds
// count as silent at once. Seen is the version of this VM's roster that the
// peer has.
func (f *Fleet) HearRoster(now time.Time, from Announcement, roster Roster, seen uint64) {
	held := f.rosters[from.ID]
	if held == nil || held.boot != from.Boot {
		held = &heldRoster{boot: from.Boot}
		f.rosters[from.ID] = held
	}
	held.theirs = seen
	if roster.Version == 0 {
		held.version, held.entries = 0, nil
		return
	}
	if len(roster.Entries) > 0 {
		f.dropAbsent(now, from.ID, held.entries, roster.Entries)
		held.version, held.entries = roster.Version, nil
		for _, entry := range roster.Entries {
			held.entries = append(held.entries, heldEntry{entry, now.Add(-time.Duration(entry.UptimeMs) * time.Millisecond)})
			f.learn(now, entry.Announcement)
		}
	}
	if held.version != roster.Version {
		return
	}
	for _, entry := range held.entries {
		if entry.ID != f.self.ID && from.Relay && (entry.Leaf || from.ID == f.plan.Home) {
			f.relayed(now, from.ID, entry)
		}
	}
}

// relayed takes a relay's word for a member. What the member said itself is
// newer while it is heard directly.
func (f *Fleet) relayed(now time.Time, relay ids.VMID, entry heldEntry) {
	m := f.member(now, entry.ID)
	if !f.heardDirectly(now, m) {
		f.take(m, entry.Announcement, entry.started)
	}
	if m.Boot == entry.Boot {
		m.Relayed, m.relay = now, relay
	}
}

// dropAbsent ends the word of a relay for members that its new roster no
// longer holds.
func (f *Fleet) dropAbsent(now time.Time, relay ids.VMID, before []heldEntry, after []RosterEntry) {
	present := make(map[ids.VMID]bool, len(after))
	for _, entry := range after {
		present[entry.ID] = true
	}
	for _, entry := range before {
		if m := f.members[entry.ID]; m != nil && !present[entry.ID] && m.relay == relay {
			m.Relayed = now.Add(-f.config.RelayedSuspectAfter - time.Millisecond)
			f.changed = true
		}
	}
}
