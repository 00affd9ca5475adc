package node

import (
	"maps"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/room"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// kindsInterval is the minimum interval between messages to a peer that contain counts of
// timely requests. They halve in 4 s, and a reserve takes 3 s to reach its largest value.
const kindsInterval = 500 * time.Millisecond

// fleetKinds holds the counts of timely requests of the other owners.
type fleetKinds struct {
	mu    sync.Mutex
	known *room.FleetKinds
	// sentAt is when each peer was last sent counts.
	sentAt map[ids.VMID]time.Time
}

func newFleetKinds() *fleetKinds {
	return &fleetKinds{known: room.NewFleetKinds(), sentAt: make(map[ids.VMID]time.Time)}
}

func (f *fleetKinds) sum(now time.Time, service string) room.KindCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.Sum(now, service)
}

// kindCounts returns the counts of this VM's engines to send to a peer.
func (n *Node) kindCounts(now time.Time, to ids.VMID) map[string][]int {
	counts := n.engineOwner.kindCounts(now)
	n.fleetKinds.mu.Lock()
	defer n.fleetKinds.mu.Unlock()
	if len(counts) == 0 || now.Sub(n.fleetKinds.sentAt[to]) < kindsInterval {
		return nil
	}
	n.fleetKinds.sentAt[to] = now
	return counts
}

// applyKindCounts records the counts of a message. It may have been on its way since the
// message of this VM that it echoes.
func (n *Node) applyKindCounts(now time.Time, s stateMessage) {
	if len(s.Kinds) == 0 || s.Echo == nil || s.Echo.Boot != n.boot {
		return
	}
	delay := n.bootTime().Sub(n.bootTimeAtStart.Add(time.Duration(s.Echo.SentMs) * time.Millisecond))
	n.fleetKinds.mu.Lock()
	defer n.fleetKinds.mu.Unlock()
	n.fleetKinds.known.Apply(now, s.ID, delay, s.Kinds)
}

// forgetKindPeers forgets when peers that are not known any more were sent counts.
func (n *Node) forgetKindPeers(known map[ids.VMID]string) {
	n.fleetKinds.mu.Lock()
	defer n.fleetKinds.mu.Unlock()
	maps.DeleteFunc(n.fleetKinds.sentAt, func(id ids.VMID, _ time.Time) bool { _, found := known[id]; return !found })
}

// kindCounts returns the counts of the services of the owned engines.
func (o *engineOwner) kindCounts(now time.Time) map[string][]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := make(map[string][]int)
	for _, e := range o.engines {
		service := e.endpoint.Service
		if _, listed := counts[service]; !listed && e.fence != 0 {
			counts[service] = o.requestKinds(service).Counts(now)
		}
	}
	maps.DeleteFunc(counts, func(_ string, listed []int) bool { return len(listed) == 0 })
	return counts
}

// updateFleetKinds gives the counts of the other owners to those of this one. The caller
// holds mu.
func (o *engineOwner) updateFleetKinds(now time.Time) {
	for service, kinds := range o.kinds {
		kinds.SetOthers(o.node.fleetKinds.sum(now, service))
	}
}
