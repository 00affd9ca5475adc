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
	// The heartbeat interval inside a data centre grows with its size, which
	// bounds the control traffic of a VM. The longest one still brings a
	// confirmation from one of the two watchers every second on average and
	// leaves two heartbeats within the authority term.
	intervalShortest = time.Second
	intervalPerVM    = 150 * time.Millisecond
	intervalLongest  = 2 * time.Second
	// intervalFar is the heartbeat interval across data centres.
	intervalFar = 3 * time.Second
	// firstSequences is the range of the random first sequence of a link. An
	// echo of an earlier boot must not match a sequence of this one.
	firstSequences = 1 << 31
	// sentMemory is how many sent heartbeats are remembered for echoes.
	sentMemory = 4
)

// chords are the distances, in the ordered ring of data centres, of the links
// across regions. Steps of 1, 3 and 9 reach any of 31 data centres in at most
// five hops, while each data centre keeps six links.
var chords = []struct {
	distance int
	// rank is the watcher that keeps the link, to spread the traffic.
	rank int
}{{1, 0}, {3, 0}, {9, 1}}

// link is the state of the exchange with one peer.
type link struct {
	vm       platformapi.VM
	interval time.Duration
	timeout  time.Duration
	// calls tells that this VM sends the heartbeats of the pair.
	calls    bool
	inFlight bool
	sentAt   time.Time
	heardAt  time.Time

	sequence uint64
	sent     [sentMemory]sentBeat
	// boot and received are the peer's boot and its highest sequence.
	boot     ids.BootID
	received uint64

	ready          bool
	records        ids.Revision
	list           ids.Revision
	answered       bool
	failures       int
	pullFailedAt   time.Time
	listPullFailed time.Time
}

type sentBeat struct {
	sequence uint64
	at       time.Time
}

// topology remembers from what the links were computed.
type topology struct {
	list  *membership.List
	view  *catalog.View
	ready bool
}

type regions map[ids.DataCentreID]string

// Links lists the VMs to keep a connection with.
func (r *Relay) Links() []platformapi.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]platformapi.VM, 0, len(r.links))
	for _, id := range r.linkOrder() {
		list = append(list, r.links[id].vm)
	}
	return list
}

// linkOrder returns the ids of the links in order, so that equal states give
// equal actions.
func (r *Relay) linkOrder() []ids.VMID {
	order := make([]ids.VMID, 0, len(r.links))
	for id := range r.links {
		order = append(order, id)
	}
	slices.Sort(order)
	return order
}

// refreshLinks recomputes the links when the list changed, or the regions.
func (r *Relay) refreshLinks(now time.Time) {
	list := r.members.List()
	current := topology{list: list, view: r.catalog.View(), ready: r.startup.ready}
	if r.topology == current {
		return
	}
	r.topology = current
	wanted := r.wantedLinks(list, current.view.Regions())
	for id := range r.links {
		if _, keep := wanted[id]; !keep {
			delete(r.links, id)
		}
	}
	for id, want := range wanted {
		held, known := r.links[id]
		if !known {
			want.heardAt = now
			want.sentAt = r.firstBeat(now, want.interval)
			want.sequence = r.rand.Uint64N(firstSequences)
			r.links[id] = want
			continue
		}
		held.vm, held.interval, held.timeout = want.vm, want.interval, want.timeout
	}
	watchers := list.Watchers(r.members.DataCentre())
	for id, l := range r.links {
		near := l.vm.DataCentre == r.members.DataCentre()
		l.calls = r.members.Self() < id
		if near {
			l.calls = calls(r.members.Self(), id, watchers)
		}
	}
}

// calls tells which VM of a pair in one data centre sends the heartbeats. A VM calls the watchers
// of its data centre: the age in a reply counts from the call, a moment ago,
// but the age in a call only from the reply before, an interval ago.
func calls(self, other ids.VMID, watchers []platformapi.VM) bool {
	selfWatches := rankOf(self, watchers) >= 0
	otherWatches := rankOf(other, watchers) >= 0
	if selfWatches != otherWatches {
		return otherWatches
	}
	return self < other
}

// wantedLinks returns the peers that this VM exchanges heartbeats with.
func (r *Relay) wantedLinks(list *membership.List, regions regions) map[ids.VMID]*link {
	wanted := make(map[ids.VMID]*link)
	add := func(vm platformapi.VM, interval, timeout time.Duration) {
		if _, known := wanted[vm.ID]; !known && vm.ID != r.members.Self() {
			wanted[vm.ID] = &link{vm: vm, interval: interval, timeout: timeout}
		}
	}
	near := nearInterval(len(list.LiveIn(r.members.DataCentre())))
	for _, vm := range r.members.LivePeers(r.members.DataCentre()) {
		add(vm, near, TimeoutNear)
	}
	for _, vm := range r.farLinks(list, regions) {
		add(vm, intervalFar, TimeoutFar)
	}
	if len(wanted) == 0 {
		for _, vm := range r.seeds {
			add(vm, intervalShortest, TimeoutFar)
		}
	}
	return wanted
}

// firstBeat returns when a new link counts as last used. A starting VM calls
// at once. Later the calls are spread over the interval: a VM that called all
// its peers in one moment would get the same news from each of them.
func (r *Relay) firstBeat(now time.Time, interval time.Duration) time.Time {
	if !r.startup.ready {
		return time.Time{}
	}
	return now.Add(-r.jitter(interval))
}

// nearInterval returns the heartbeat interval inside a data centre of a size.
func nearInterval(size int) time.Duration {
	return min(max(time.Duration(size)*intervalPerVM, intervalShortest), intervalLongest)
}

// farLinks lists the watchers of other data centres that this VM exchanges
// heartbeats with: in its region the watcher of its own rank, elsewhere along
// the chords. A starting VM asks all watchers of its region.
func (r *Relay) farLinks(list *membership.List, regions regions) []platformapi.VM {
	here := r.members.DataCentre()
	rank := rankOf(r.members.Self(), list.Watchers(here))
	var far []platformapi.VM
	for _, dataCentre := range list.DataCentres() {
		sameRegion := regions[dataCentre] == regions[here] && regions[here] != ""
		if dataCentre == here || !sameRegion {
			continue
		}
		watchers := list.Watchers(dataCentre)
		if !r.startup.ready {
			far = append(far, watchers...)
			continue
		}
		if rank >= 0 && rank < len(watchers) {
			far = append(far, watchers[rank])
		}
	}
	return append(far, r.chordLinks(list, here, rank)...)
}

// chordLinks lists the peers across regions. A starting VM, which knows no
// regions yet, asks the first watchers along the chords.
func (r *Relay) chordLinks(list *membership.List, here ids.DataCentreID, rank int) []platformapi.VM {
	ring := list.DataCentres()
	at := slices.Index(ring, here)
	if at < 0 || len(ring) < 2 {
		return nil
	}
	var far []platformapi.VM
	own := len(list.Watchers(here))
	for _, chord := range chords {
		if r.startup.ready && rank != keeper(chord.rank, own) {
			continue
		}
		for _, step := range []int{chord.distance, len(ring) - chord.distance%len(ring)} {
			other := ring[(at+step)%len(ring)]
			watchers := list.Watchers(other)
			if other == here || len(watchers) == 0 {
				continue
			}
			far = append(far, watchers[keeper(chord.rank, len(watchers))])
		}
	}
	return far
}

// keeper returns which of the watchers of a data centre keeps the links of a
// rank; a single watcher keeps all.
func keeper(rank, watchers int) int { return min(rank, watchers-1) }

func rankOf(vm ids.VMID, watchers []platformapi.VM) int {
	return slices.IndexFunc(watchers, func(w platformapi.VM) bool { return w.ID == vm })
}
