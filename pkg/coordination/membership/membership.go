// Package membership knows which VMs take part, how fresh that knowledge is,
// and which peers can be reached.
//
// Membership comes only from the platform's VM list, read from the platform or
// relayed by a peer, and its revision only rises. Heartbeats tell which peers
// can be reached and how fresh their view is; they never add or remove a VM.
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
	// AuthorityTerm is how long a confirmation of the list counts as fresh.
	AuthorityTerm = 5 * time.Second
	// ListLagBound is the platform's bound on the lag of its VM list: a read
	// returns a list at least as new as the newest one at that long before.
	ListLagBound = 10 * time.Second
	// ReachableTerm is how long a peer of the own data centre counts as
	// reachable after a heartbeat; heartbeats come every one or two seconds.
	ReachableTerm = 5 * time.Second
	// RemoteReachableTerm is ReachableTerm for other data centres, whose
	// heartbeats come every three seconds.
	RemoteReachableTerm = 10 * time.Second
	// WatchersPerDataCentre is how many VMs of a data centre watch the
	// platform; the second one bridges the death of the first.
	WatchersPerDataCentre = 2
	// HistoryTerm is how long a VM is remembered after it left the list. It is
	// the longest repeat window of a route plus a margin.
	HistoryTerm = 25 * time.Hour
	// recentLists is how many lists are kept for peers that missed some.
	recentLists = 16
	// watcherKey is the rendezvous key of the election of watchers.
	watcherKey = "platform-watcher"
)

// List is one VM list with its indexes. It is immutable.
type List struct {
	Revision ids.Revision
	// VMs holds all VMs in order of id, leaving ones included.
	VMs    []platformapi.VM
	byID   map[ids.VMID]platformapi.VM
	liveIn map[ids.DataCentreID][]platformapi.VM
	live   []platformapi.VM
	source platformapi.VMList
}

func newList(source platformapi.VMList) *List {
	list := &List{
		Revision: source.Revision,
		VMs:      slices.Clone(source.VMs),
		byID:     make(map[ids.VMID]platformapi.VM, len(source.VMs)),
		liveIn:   make(map[ids.DataCentreID][]platformapi.VM),
		source:   source,
	}
	slices.SortFunc(list.VMs, func(a, b platformapi.VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range list.VMs {
		list.byID[vm.ID] = vm
		if vm.State == platformapi.VMLive {
			list.live = append(list.live, vm)
			list.liveIn[vm.DataCentre] = append(list.liveIn[vm.DataCentre], vm)
		}
	}
	return list
}

// VM returns a VM of the list.
func (l *List) VM(id ids.VMID) (platformapi.VM, bool) {
	vm, found := l.byID[id]
	return vm, found
}

// Live lists the VMs that are not leaving, in order of id.
func (l *List) Live() []platformapi.VM { return l.live }

// LiveIn lists the live VMs of a data centre, in order of id.
func (l *List) LiveIn(dataCentre ids.DataCentreID) []platformapi.VM { return l.liveIn[dataCentre] }

// DataCentres lists the data centres that have live VMs, in order.
func (l *List) DataCentres() []ids.DataCentreID {
	found := make([]ids.DataCentreID, 0, len(l.liveIn))
	for id := range l.liveIn {
		found = append(found, id)
	}
	slices.Sort(found)
	return found
}

// Watchers lists the VMs of a data centre that watch the platform, the best
// ranked first.
func (l *List) Watchers(dataCentre ids.DataCentreID) []platformapi.VM {
	ranked := Rank(watcherKey, l.liveIn[dataCentre])
	return ranked[:min(len(ranked), WatchersPerDataCentre)]
}

// PeerState is what heartbeats tell of a VM.
type PeerState struct {
	Boot ids.BootID
	// HeardAt is when the last message of the VM arrived.
	HeardAt time.Time
	Ready   bool
	Digest  peer.Digest
	Load    uint32
}

// Members holds one VM's knowledge of the others. Its methods may be called
// from any goroutine.
type Members struct {
	self       ids.VMID
	dataCentre ids.DataCentreID
	list       atomic.Pointer[List]

	mu          sync.RWMutex
	rules       rules
	confirmedAt time.Time
	heard       ids.Revision
	peers       map[ids.VMID]PeerState
	history     history
	recent      []platformapi.VMList
}

// rules can be switched off by tests to show what each of them prevents.
type rules struct {
	// upwardOnly refuses a list that is older than the one held.
	upwardOnly bool
}

// New returns the membership of a VM that knows no list yet.
func New(self ids.VMID, dataCentre ids.DataCentreID) *Members {
	m := &Members{
		self:       self,
		dataCentre: dataCentre,
		rules:      rules{upwardOnly: true},
		peers:      make(map[ids.VMID]PeerState),
		history:    newHistory(),
	}
	m.list.Store(newList(platformapi.VMList{}))
	return m
}

// Self returns the VM's own id.
func (m *Members) Self() ids.VMID { return m.self }

// DataCentre returns the VM's own data centre.
func (m *Members) DataCentre() ids.DataCentreID { return m.dataCentre }

// List returns the newest list. Before the first one it is empty.
func (m *Members) List() *List { return m.list.Load() }

// Observed tells what a list changed.
type Observed struct {
	// Changed tells that the list is newer than the one held.
	Changed bool
	// Stale tells that the list was older and ignored.
	Stale bool
	// Gap tells that lists between the one held and this one were missed.
	Gap bool
}

// ObserveList takes a list from the platform or a peer. confirmedAt is when
// the platform read was sent that returned the revision as the newest; it is
// zero when that is not known.
func (m *Members) ObserveList(now time.Time, list platformapi.VMList, confirmedAt time.Time) Observed {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.List().Revision
	if list.Revision < held && m.rules.upwardOnly {
		return Observed{Stale: true}
	}
	if list.Revision == held {
		m.confirm(list.Revision, confirmedAt)
		return Observed{}
	}
	next := newList(list)
	gap := held == 0 || list.Revision != held+1
	m.history.observe(now, m.self, m.List(), next, gap)
	m.list.Store(next)
	if confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
	m.heard = max(m.heard, list.Revision)
	m.remember(list)
	m.forgetPeers(next)
	return Observed{Changed: true, Gap: gap}
}

// remember keeps a list for peers that missed it.
func (m *Members) remember(list platformapi.VMList) {
	m.recent = append(m.recent, list)
	if len(m.recent) > recentLists {
		m.recent = slices.Clone(m.recent[len(m.recent)-recentLists:])
	}
}

// forgetPeers drops what was heard of VMs that are in the list no more.
func (m *Members) forgetPeers(list *List) {
	for id := range m.peers {
		if _, listed := list.VM(id); !listed {
			delete(m.peers, id)
		}
	}
}

// ListsAbove returns the lists above a revision as far as they are kept.
func (m *Members) ListsAbove(revision ids.Revision) []platformapi.VMList {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for i, list := range m.recent {
		if list.Revision > revision {
			return slices.Clone(m.recent[i:])
		}
	}
	return nil
}

// ConfirmList notes that the platform returned a revision as the newest
// to a read sent at confirmedAt.
func (m *Members) ConfirmList(revision ids.Revision, confirmedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirm(revision, confirmedAt)
}

func (m *Members) confirm(revision ids.Revision, confirmedAt time.Time) {
	m.heard = max(m.heard, revision)
	if revision == m.List().Revision && confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
}

// ConfirmedAt returns when the platform read was sent that last returned the
// list's revision as the newest, or a lower one that was the list's then: no
// list that is newer than the one held was in the platform's answer at that
// time. It is zero when there was no such read, or when a peer has a higher
// revision.
func (m *Members) ConfirmedAt() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.heard > m.List().Revision {
		return time.Time{}
	}
	return m.confirmedAt
}

// Confirmed tells whether the list was confirmed within a term before now.
func (m *Members) Confirmed(now time.Time, term time.Duration) bool {
	at := m.ConfirmedAt()
	return !at.IsZero() && now.Sub(at) < term
}

// Hear takes a heartbeat of a peer.
func (m *Members) Hear(now time.Time, beat peer.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = max(m.heard, beat.Digest.List)
	m.peers[beat.From] = PeerState{
		Boot:    beat.Boot,
		HeardAt: now,
		Ready:   beat.Ready,
		Digest:  beat.Digest,
		Load:    beat.Load,
	}
}

// Peer returns what was last heard of a VM.
func (m *Members) Peer(id ids.VMID) (PeerState, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	state, known := m.peers[id]
	return state, known
}

// Reachable tells whether a VM was heard lately. The VM itself always is.
func (m *Members) Reachable(now time.Time, id ids.VMID) bool {
	if id == m.self {
		return true
	}
	state, known := m.Peer(id)
	if !known {
		return false
	}
	term := RemoteReachableTerm
	if vm, listed := m.List().VM(id); listed && vm.DataCentre == m.dataCentre {
		term = ReachableTerm
	}
	return now.Sub(state.HeardAt) < term
}

// LivePeers lists the live VMs of a data centre without the VM itself.
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

// IsWatcher tells whether the VM itself watches the platform.
func (m *Members) IsWatcher() bool {
	return slices.ContainsFunc(m.List().Watchers(m.dataCentre), func(vm platformapi.VM) bool { return vm.ID == m.self })
}
