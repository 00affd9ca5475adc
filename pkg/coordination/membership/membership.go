// Package membership tracks which VMs belong to the system, how recently that
// list was confirmed, and which peers are reachable.
//
// Its inputs are the platform's VM list, read from the platform or relayed by
// a peer, and the heartbeats of peers. Only the VM list adds or removes VMs,
// and its revision never decreases. Heartbeats show which peers are reachable
// and how fresh their view is. The daemon, package relay and package
// idempotency use it.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

const (
	// ConfirmationTTL is how long a confirmation of the VM list by the
	// platform counts as fresh.
	ConfirmationTTL = 5 * time.Second
	// MaxListLag is the platform's bound on the lag of its VM list: a read
	// returns a list at least as new as the newest one MaxListLag earlier.
	MaxListLag = 10 * time.Second
	// ReachableTimeout is how long a peer of the local data centre counts as
	// reachable after its last heartbeat. Those heartbeats arrive every one
	// to two seconds.
	ReachableTimeout = 5 * time.Second
	// RemoteReachableTimeout is the ReachableTimeout of peers in other data
	// centres, whose heartbeats arrive every three seconds.
	RemoteReachableTimeout = 10 * time.Second
	// WatchersPerDataCentre is how many VMs of each data centre watch the
	// platform for changes. The second one covers for the first when it
	// fails.
	WatchersPerDataCentre = 2
	// HistoryRetention is how long a VM is remembered after it left the list:
	// the longest repeat window of a route plus a margin.
	HistoryRetention = 25 * time.Hour
	// maxRecentLists is how many lists are kept for peers that missed some.
	maxRecentLists = 16
	// watcherElectionKey is the rendezvous hashing key that ranks the VMs of
	// a data centre as watchers.
	watcherElectionKey = "platform-watcher"
)

// List is one VM list with its indexes. It is immutable.
type List struct {
	Revision ids.Revision
	// VMs holds all VMs sorted by ID, including those that are leaving.
	VMs              []platformapi.VM
	byID             map[ids.VMID]platformapi.VM
	liveByDataCentre map[ids.DataCentreID][]platformapi.VM
	live             []platformapi.VM
	source           platformapi.VMList
}

func newList(source platformapi.VMList) *List {
	list := &List{
		Revision:         source.Revision,
		VMs:              slices.Clone(source.VMs),
		byID:             make(map[ids.VMID]platformapi.VM, len(source.VMs)),
		liveByDataCentre: make(map[ids.DataCentreID][]platformapi.VM),
		source:           source,
	}
	slices.SortFunc(list.VMs, func(a, b platformapi.VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range list.VMs {
		list.byID[vm.ID] = vm
		if vm.State == platformapi.VMLive {
			list.live = append(list.live, vm)
			list.liveByDataCentre[vm.DataCentre] = append(list.liveByDataCentre[vm.DataCentre], vm)
		}
	}
	return list
}

// VM returns the VM with the given ID and whether the list contains it.
func (l *List) VM(id ids.VMID) (platformapi.VM, bool) {
	vm, found := l.byID[id]
	return vm, found
}

// Live returns the VMs that are not leaving, sorted by ID.
func (l *List) Live() []platformapi.VM { return l.live }

// LiveIn returns the live VMs of a data centre, sorted by ID.
func (l *List) LiveIn(dataCentre ids.DataCentreID) []platformapi.VM {
	return l.liveByDataCentre[dataCentre]
}

// DataCentres returns the data centres that have live VMs, sorted.
func (l *List) DataCentres() []ids.DataCentreID {
	dataCentres := make([]ids.DataCentreID, 0, len(l.liveByDataCentre))
	for id := range l.liveByDataCentre {
		dataCentres = append(dataCentres, id)
	}
	slices.Sort(dataCentres)
	return dataCentres
}

// Watchers returns the VMs of a data centre that watch the platform, the
// highest ranked first.
func (l *List) Watchers(dataCentre ids.DataCentreID) []platformapi.VM {
	ranked := Rank(watcherElectionKey, l.liveByDataCentre[dataCentre])
	return ranked[:min(len(ranked), WatchersPerDataCentre)]
}

// PeerState is what a peer's last heartbeat reported.
type PeerState struct {
	// Boot identifies the run of the peer's process.
	Boot ids.BootID
	// HeardAt is when the last heartbeat of the peer arrived.
	HeardAt time.Time
	Ready   bool
	Digest  peer.Digest
	// Load is the number of open requests that the peer reported.
	Load uint32
}

// Members holds one VM's knowledge of all VMs. It is safe for concurrent use;
// mu guards the fields below it.
type Members struct {
	self       ids.VMID
	dataCentre ids.DataCentreID
	list       atomic.Pointer[List]

	mu    sync.RWMutex
	rules rules
	// confirmedAt is when the latest platform read was sent that confirmed
	// the list.
	confirmedAt time.Time
	// highestRevision is the highest list revision that the platform or a
	// peer has reported.
	highestRevision ids.Revision
	peers           map[ids.VMID]PeerState
	history         history
	// recentLists holds up to maxRecentLists lists, in order of revision.
	recentLists []platformapi.VMList
}

// rules holds the protections that tests switch off to show what each one
// prevents.
type rules struct {
	// rejectOlder ignores a list that is older than the current one.
	rejectOlder bool
}

// New returns the membership of a VM that has not received a list yet.
func New(self ids.VMID, dataCentre ids.DataCentreID) *Members {
	m := &Members{
		self:       self,
		dataCentre: dataCentre,
		rules:      rules{rejectOlder: true},
		peers:      make(map[ids.VMID]PeerState),
		history:    newHistory(),
	}
	m.list.Store(newList(platformapi.VMList{}))
	return m
}

// Self returns the ID of this VM.
func (m *Members) Self() ids.VMID { return m.self }

// DataCentre returns the data centre of this VM.
func (m *Members) DataCentre() ids.DataCentreID { return m.dataCentre }

// List returns the newest list. It is empty until the first list arrives.
func (m *Members) List() *List { return m.list.Load() }

// ObserveResult is the effect of a call to ObserveList.
type ObserveResult struct {
	// Changed reports that the list was newer than the current one and
	// replaced it.
	Changed bool
	// Stale reports that the list was older and was ignored.
	Stale bool
	// Gap reports that lists between the current one and this one were
	// missed.
	Gap bool
}

// ObserveList applies a list from the platform or a peer. confirmedAt is when
// the platform read was sent that returned this revision as the newest; zero
// if unknown.
func (m *Members) ObserveList(now time.Time, list platformapi.VMList, confirmedAt time.Time) ObserveResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.List().Revision
	if list.Revision < current && m.rules.rejectOlder {
		return ObserveResult{Stale: true}
	}
	if list.Revision == current {
		m.confirmLocked(list.Revision, confirmedAt)
		return ObserveResult{}
	}
	next := newList(list)
	gap := current == 0 || list.Revision != current+1
	m.history.recordChange(now, m.self, m.List(), next, gap)
	m.list.Store(next)
	if confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
	m.highestRevision = max(m.highestRevision, list.Revision)
	m.keepRecent(list)
	m.dropUnlistedPeers(next)
	return ObserveResult{Changed: true, Gap: gap}
}

// keepRecent keeps a list for peers that missed it.
func (m *Members) keepRecent(list platformapi.VMList) {
	m.recentLists = append(m.recentLists, list)
	if len(m.recentLists) > maxRecentLists {
		m.recentLists = slices.Clone(m.recentLists[len(m.recentLists)-maxRecentLists:])
	}
}

// dropUnlistedPeers removes the state of peers that are no longer in the
// list.
func (m *Members) dropUnlistedPeers(list *List) {
	for id := range m.peers {
		if _, listed := list.VM(id); !listed {
			delete(m.peers, id)
		}
	}
}

// ListsAfter returns the lists with a revision above the given one, as far as
// they are kept.
func (m *Members) ListsAfter(revision ids.Revision) []platformapi.VMList {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for i, list := range m.recentLists {
		if list.Revision > revision {
			return slices.Clone(m.recentLists[i:])
		}
	}
	return nil
}

// ConfirmList records that a platform read sent at confirmedAt returned
// revision as the newest.
func (m *Members) ConfirmList(revision ids.Revision, confirmedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmLocked(revision, confirmedAt)
}

// confirmLocked does the work of ConfirmList. The caller holds mu.
func (m *Members) confirmLocked(revision ids.Revision, confirmedAt time.Time) {
	m.highestRevision = max(m.highestRevision, revision)
	if revision == m.List().Revision && confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
}

// ConfirmedAt returns when the latest platform read was sent that returned
// the list's revision as the newest, or that returned a lower revision which
// was the current one at the time. As of that read the platform knew no list
// newer than the current one. It is zero if there was no such read or if a
// peer reported a higher revision.
func (m *Members) ConfirmedAt() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.highestRevision > m.List().Revision {
		return time.Time{}
	}
	return m.confirmedAt
}

// ConfirmedWithin reports whether the list was confirmed less than maxAge
// before now.
func (m *Members) ConfirmedWithin(now time.Time, maxAge time.Duration) bool {
	at := m.ConfirmedAt()
	return !at.IsZero() && now.Sub(at) < maxAge
}

// ObserveHeartbeat records the heartbeat of a peer.
func (m *Members) ObserveHeartbeat(now time.Time, heartbeat peer.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestRevision = max(m.highestRevision, heartbeat.Digest.ListRevision)
	m.peers[heartbeat.From] = PeerState{
		Boot:    heartbeat.Boot,
		HeardAt: now,
		Ready:   heartbeat.Ready,
		Digest:  heartbeat.Digest,
		Load:    heartbeat.Load,
	}
}

// Peer returns the state from a VM's last heartbeat and whether there was
// one.
func (m *Members) Peer(id ids.VMID) (PeerState, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	state, known := m.peers[id]
	return state, known
}

// Reachable reports whether a VM's last heartbeat is recent enough. This VM
// itself is always reachable.
func (m *Members) Reachable(now time.Time, id ids.VMID) bool {
	if id == m.self {
		return true
	}
	state, known := m.Peer(id)
	if !known {
		return false
	}
	timeout := RemoteReachableTimeout
	if vm, listed := m.List().VM(id); listed && vm.DataCentre == m.dataCentre {
		timeout = ReachableTimeout
	}
	return now.Sub(state.HeardAt) < timeout
}

// LivePeers returns the live VMs of a data centre without this VM.
func (m *Members) LivePeers(dataCentre ids.DataCentreID) []platformapi.VM {
	live := m.List().LiveIn(dataCentre)
	others := make([]platformapi.VM, 0, len(live))
	for _, vm := range live {
		if vm.ID != m.self {
			others = append(others, vm)
		}
	}
	return others
}

// IsWatcher reports whether this VM watches the platform.
func (m *Members) IsWatcher() bool {
	return slices.ContainsFunc(m.List().Watchers(m.dataCentre), func(vm platformapi.VM) bool { return vm.ID == m.self })
}
