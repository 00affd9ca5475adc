package relay

import (
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

const (
	// The heartbeat interval within a data centre grows with the number of
	// its VMs, which limits the control traffic of each VM. At the longest
	// interval, one of the two watchers still brings a confirmation every
	// second on average, and two heartbeats still fit into
	// membership.ConfirmationTTL.
	minLocalInterval   = time.Second
	localIntervalPerVM = 150 * time.Millisecond
	maxLocalInterval   = 2 * time.Second
	// remoteInterval is the heartbeat interval between data centres.
	remoteInterval = 3 * time.Second
	// maxFirstSequence bounds the random first sequence number of a link. It
	// is random so that an echo of an earlier run does not match a sequence
	// number of this one.
	maxFirstSequence = 1 << 31
	// maxSentHeartbeats is how many sent heartbeats are remembered to match
	// echoes.
	maxSentHeartbeats = 4
)

// ringLinks defines the links to other regions: their distances in the ring
// of data centres sorted by ID. Steps of 1, 3 and 9 reach any of 31 data
// centres in at most five hops, with six links per data centre.
var ringLinks = []struct {
	distance int
	// rank is the rank of the watcher that keeps the link, which spreads the
	// traffic over the watchers.
	rank int
}{{1, 0}, {3, 0}, {9, 1}}

// link is the state of the heartbeats and pulls with one peer.
type link struct {
	vm       platformapi.VM
	interval time.Duration
	timeout  time.Duration
	// initiates is set if this VM sends the heartbeats on this link.
	initiates   bool
	inFlight    bool
	lastSentAt  time.Time
	lastHeardAt time.Time

	// sequence is the sequence number of the last heartbeat sent, and
	// sentHeartbeats holds the latest ones at their sequence number modulo
	// maxSentHeartbeats.
	sequence       uint64
	sentHeartbeats [maxSentHeartbeats]sentHeartbeat
	// peerBoot and peerSequence are the peer's boot ID and the highest
	// sequence number received from that boot.
	peerBoot     ids.BootID
	peerSequence uint64

	// ready reports whether the peer has a complete view. records and list
	// are the highest revisions of the records and of the VM list that it
	// reported.
	ready   bool
	records ids.Revision
	list    ids.Revision
	// answered reports that the peer has sent at least one message. failures
	// counts the heartbeats without a reply since the last reply.
	answered bool
	failures int
	// These are the times of the last failed pulls; zero if none failed.
	deltaPullFailedAt time.Time
	listPullFailedAt  time.Time
}

type sentHeartbeat struct {
	sequence uint64
	sentAt   time.Time
}

// linkInputs holds the inputs from which the links were last computed.
type linkInputs struct {
	list  *membership.List
	view  *catalog.View
	ready bool
}

// regions maps each data centre to its region.
type regions map[ids.DataCentreID]string

// Links returns the VMs to keep a connection with, sorted by ID.
func (r *Relay) Links() []platformapi.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]platformapi.VM, 0, len(r.links))
	for _, id := range r.sortedLinkIDs() {
		list = append(list, r.links[id].vm)
	}
	return list
}

// sortedLinkIDs returns the IDs of the linked peers in order, so that equal
// states produce equal actions.
func (r *Relay) sortedLinkIDs() []ids.VMID {
	order := make([]ids.VMID, 0, len(r.links))
	for id := range r.links {
		order = append(order, id)
	}
	slices.Sort(order)
	return order
}

// refreshLinks recomputes the links when the VM list, the catalog view or the
// VM's readiness has changed.
func (r *Relay) refreshLinks(now time.Time) {
	list := r.members.List()
	current := linkInputs{list: list, view: r.catalog.View(), ready: r.startup.ready}
	if r.linkInputs == current {
		return
	}
	r.linkInputs = current
	wanted := r.wantedLinks(list, current.view.Regions())
	for id := range r.links {
		if _, keep := wanted[id]; !keep {
			delete(r.links, id)
		}
	}
	for id, want := range wanted {
		existing, known := r.links[id]
		if !known {
			want.lastHeardAt = now
			want.lastSentAt = r.initialSentAt(now, want.interval)
			want.sequence = r.rand.Uint64N(maxFirstSequence)
			r.links[id] = want
			continue
		}
		existing.vm, existing.interval, existing.timeout = want.vm, want.interval, want.timeout
	}
	watchers := list.Watchers(r.members.DataCentre())
	for id, l := range r.links {
		local := l.vm.DataCentre == r.members.DataCentre()
		l.initiates = r.members.Self() < id
		if local {
			l.initiates = initiates(r.members.Self(), id, watchers)
		}
	}
}

// initiates reports whether self sends the heartbeats to other, a VM of the
// same data centre. A VM that is not a watcher calls the watchers of its data
// centre: the age in a reply is counted from the call, a moment ago, but the
// age in a call only from the previous reply, an interval ago.
func initiates(self, other ids.VMID, watchers []platformapi.VM) bool {
	selfWatches := watcherIndex(self, watchers) >= 0
	otherWatches := watcherIndex(other, watchers) >= 0
	if selfWatches != otherWatches {
		return otherWatches
	}
	return self < other
}

// wantedLinks returns new links to the peers that this VM should exchange
// heartbeats with.
func (r *Relay) wantedLinks(list *membership.List, regions regions) map[ids.VMID]*link {
	wanted := make(map[ids.VMID]*link)
	addLink := func(vm platformapi.VM, interval, timeout time.Duration) {
		if _, exists := wanted[vm.ID]; !exists && vm.ID != r.members.Self() {
			wanted[vm.ID] = &link{vm: vm, interval: interval, timeout: timeout}
		}
	}
	localHeartbeatInterval := localInterval(len(list.LiveIn(r.members.DataCentre())))
	for _, vm := range r.members.LivePeers(r.members.DataCentre()) {
		addLink(vm, localHeartbeatInterval, LocalTimeout)
	}
	for _, vm := range r.remoteLinks(list, regions) {
		addLink(vm, remoteInterval, RemoteTimeout)
	}
	if len(wanted) == 0 {
		for _, vm := range r.seeds {
			addLink(vm, minLocalInterval, RemoteTimeout)
		}
	}
	return wanted
}

// initialSentAt returns the time to record as the last heartbeat of a new
// link. A starting VM calls at once. Later the first calls are spread over
// the interval: a VM that called all its peers at the same moment would get
// the same news from each of them.
func (r *Relay) initialSentAt(now time.Time, interval time.Duration) time.Time {
	if !r.startup.ready {
		return time.Time{}
	}
	return now.Add(-r.jitter(interval))
}

// localInterval returns the heartbeat interval within a data centre of size
// VMs.
func localInterval(size int) time.Duration {
	return min(max(time.Duration(size)*localIntervalPerVM, minLocalInterval), maxLocalInterval)
}

// remoteLinks returns the watchers of other data centres that this VM
// exchanges heartbeats with: the watcher of its own rank in each data centre
// of the region, and those along the ring links elsewhere. A starting VM asks
// all watchers of its region.
func (r *Relay) remoteLinks(list *membership.List, regions regions) []platformapi.VM {
	here := r.members.DataCentre()
	rank := watcherIndex(r.members.Self(), list.Watchers(here))
	var links []platformapi.VM
	for _, dataCentre := range list.DataCentres() {
		sameRegion := regions[dataCentre] == regions[here] && regions[here] != ""
		if dataCentre == here || !sameRegion {
			continue
		}
		watchers := list.Watchers(dataCentre)
		if !r.startup.ready {
			links = append(links, watchers...)
			continue
		}
		if rank >= 0 && rank < len(watchers) {
			links = append(links, watchers[rank])
		}
	}
	return append(links, r.crossRegionLinks(list, here, rank)...)
}

// crossRegionLinks returns the peers along the ring links. A starting VM,
// which does not know the regions yet, asks the first watchers along the ring
// links.
func (r *Relay) crossRegionLinks(list *membership.List, here ids.DataCentreID, rank int) []platformapi.VM {
	ring := list.DataCentres()
	at := slices.Index(ring, here)
	if at < 0 || len(ring) < 2 {
		return nil
	}
	var links []platformapi.VM
	localWatchers := len(list.Watchers(here))
	for _, ringLink := range ringLinks {
		if r.startup.ready && rank != watcherForRank(ringLink.rank, localWatchers) {
			continue
		}
		for _, step := range []int{ringLink.distance, len(ring) - ringLink.distance%len(ring)} {
			other := ring[(at+step)%len(ring)]
			watchers := list.Watchers(other)
			if other == here || len(watchers) == 0 {
				continue
			}
			links = append(links, watchers[watcherForRank(ringLink.rank, len(watchers))])
		}
	}
	return links
}

// watcherForRank returns the index of the watcher that keeps the links of a
// rank. A single watcher keeps all links.
func watcherForRank(rank, watchers int) int { return min(rank, watchers-1) }

// watcherIndex returns the index of a VM among the watchers, or -1.
func watcherIndex(vm ids.VMID, watchers []platformapi.VM) int {
	return slices.IndexFunc(watchers, func(w platformapi.VM) bool { return w.ID == vm })
}
