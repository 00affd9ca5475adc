package fleet

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// RosterEntry is one member as a relay reports it.
type RosterEntry struct {
	Announcement
	// Leaf is set for members that exchange state directly with the relay and
	// are not relays.
	Leaf bool `json:"leaf,omitempty"`
}

// Roster is the members that a relay considers alive.
type Roster struct {
	// Version is a hash of the entries; 0 for no roster.
	Version uint64 `json:"v,omitempty"`
	// Entries are omitted if the receiver already has this version.
	Entries []RosterEntry `json:"m,omitempty"`
}

// peerRoster is the last roster that a peer sent.
type peerRoster struct {
	boot    ids.BootID
	version uint64
	entries []peerRosterEntry
	// ackedVersion is the version of this VM's roster that the peer has
	// received.
	ackedVersion uint64
}

// peerRosterEntry is an entry with the member's start time by this VM's
// clock.
type peerRosterEntry struct {
	RosterEntry
	started time.Time
}

// Roster returns the roster to send to a member: the members that are alive,
// without this VM. Entries are omitted if the receiver already has this
// version. A leaf sends no roster to relays, but to any other VM that calls it:
// one that takes the leaf for a relay, or that knows only the seeds and takes
// itself for one.
func (f *Fleet) Roster(now time.Time, to ids.VMID) Roster {
	if plan := f.Plan(now); !plan.Relay && slices.Contains(plan.Relays, to) {
		return Roster{}
	}
	if f.rosterStale {
		f.roster, f.rosterStale = f.buildRoster(now), false
	}
	roster := f.roster
	if received := f.peerRosters[to]; received != nil && received.ackedVersion == roster.Version {
		roster.Entries = nil
	}
	return roster
}

// buildRoster returns the roster of the members that are alive.
func (f *Fleet) buildRoster(now time.Time) Roster {
	alive := f.aliveMembers(now)
	roster := Roster{Entries: make([]RosterEntry, 0, len(alive))}
	hash := fnv.New64a()
	for _, m := range alive {
		entry := RosterEntry{Announcement: m.announcement(), Leaf: !m.Relay && f.heardDirectly(now, m)}
		entry.UptimeMs = now.Sub(m.Started).Milliseconds()
		roster.Entries = append(roster.Entries, entry)
		_, _ = hash.Write([]byte(m.ID))
		_, _ = hash.Write([]byte(m.Boot))
		_, _ = hash.Write([]byte{boolByte(m.Leaving), boolByte(m.OrdersEngines), boolByte(m.Relay), boolByte(entry.Leaf)})
	}
	roster.Version = max(hash.Sum64(), 1)
	return roster
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// RosterSeen returns the version of a peer's roster that this VM
// has.
func (f *Fleet) RosterSeen(peer ids.VMID) uint64 {
	if received := f.peerRosters[peer]; received != nil {
		return received.version
	}
	return 0
}

// ApplyRoster records the roster of a peer that has just sent a message. A
// leaf takes over all entries of its home relay. A relay takes over only the
// entries for the sender's leaves, since relays hear each other directly.
// Members that are missing from a newer roster immediately stop counting as
// alive through that relay. seen is the version of this VM's roster that the
// peer has.
func (f *Fleet) ApplyRoster(now time.Time, from Announcement, roster Roster, seen uint64) {
	received := f.peerRosters[from.ID]
	if received == nil || received.boot != from.Boot {
		received = &peerRoster{boot: from.Boot}
		f.peerRosters[from.ID] = received
	}
	received.ackedVersion = seen
	if roster.Version == 0 {
		received.version, received.entries = 0, nil
		return
	}
	if len(roster.Entries) > 0 {
		f.expireAbsent(now, from.ID, received.entries, roster.Entries)
		received.version, received.entries = roster.Version, make([]peerRosterEntry, 0, len(roster.Entries))
		for _, entry := range roster.Entries {
			received.entries = append(received.entries, peerRosterEntry{entry, now.Add(-time.Duration(entry.UptimeMs) * time.Millisecond)})
			f.addUnconfirmed(now, entry.Announcement)
		}
	}
	if received.version != roster.Version {
		return
	}
	for i := range received.entries {
		entry := &received.entries[i]
		if entry.ID != f.self.ID && from.Relay && (entry.Leaf || from.ID == f.plan.HomeRelay) {
			f.applyRelayedEntry(now, from.ID, entry)
		}
	}
}

// applyRelayedEntry records what a relay reported about a member. While the
// member is heard directly, its own announcements are newer and take
// precedence.
func (f *Fleet) applyRelayedEntry(now time.Time, viaRelay ids.VMID, entry *peerRosterEntry) {
	m := f.getOrAdd(now, entry.ID)
	if !f.heardDirectly(now, m) {
		f.updateMember(m, entry.Announcement, entry.started)
	}
	if m.Boot == entry.Boot {
		m.LastRelayedAt, m.viaRelay = now, viaRelay
	}
}

// expireAbsent ends the relayed liveness of members that were in the relay's
// previous roster and are missing from its new one.
func (f *Fleet) expireAbsent(now time.Time, viaRelay ids.VMID, previous []peerRosterEntry, current []RosterEntry) {
	present := make(map[ids.VMID]bool, len(current))
	for _, entry := range current {
		present[entry.ID] = true
	}
	for _, entry := range previous {
		if m := f.members[entry.ID]; m != nil && !present[entry.ID] && m.viaRelay == viaRelay {
			m.LastRelayedAt = now.Add(-f.config.RelayedSuspectAfter - time.Millisecond)
			f.changed = true
		}
	}
}
