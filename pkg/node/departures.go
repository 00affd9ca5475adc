package node

import (
	"maps"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/departures"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

const (
	// allDeparturesInterval is the interval between messages to a peer with all
	// departures. Those in between have the ones learned within recentDepartureTime,
	// which covers the loss of a few messages.
	allDeparturesInterval = 5 * time.Second
	recentDepartureTime   = 1500 * time.Millisecond
)

// endpointDepartures holds the endpoints that have said that they leave.
type endpointDepartures struct {
	mu    sync.Mutex
	known *departures.Departures
	// sentAt is when each peer was last sent all departures.
	sentAt map[ids.VMID]time.Time
}

func newEndpointDepartures() *endpointDepartures {
	return &endpointDepartures{known: departures.New(departures.DefaultConfig()), sentAt: make(map[ids.VMID]time.Time)}
}

// recordDeparture records whether an answer says that the endpoint leaves.
func (n *Node) recordDeparture(e *serving.Endpoint, answer Answer) {
	if e = n.answeringEndpoint(e, answer); answer.Leaving && e != nil {
		n.recordLeaving(e.ID, e.Started)
	}
}

// answeringEndpoint returns the endpoint that gave an answer, which may be another one
// at the address of the addressed one; nil if it is not listed.
func (n *Node) answeringEndpoint(addressed *serving.Endpoint, answer Answer) *serving.Endpoint {
	if answer.Endpoint == "" || answer.Endpoint == addressed.ID {
		return addressed
	}
	return n.directory.View().Endpoints[answer.Endpoint]
}

// recordLeaving records that an endpoint's process, which started at the given time,
// has said that it leaves.
func (n *Node) recordLeaving(id ids.EndpointID, started int64) {
	n.departures.mu.Lock()
	changed := n.departures.known.RecordLeaving(time.Now(), id, started)
	n.departures.mu.Unlock()
	if changed {
		n.metrics.departures.Inc(1)
		n.logInfo("endpoint leaves", fields{"endpoint": id, "started": started, "from": "endpoint"})
	}
}

// leaving reports whether an endpoint gets no requests and no orders: it leaves, by its
// record or by its own answers, or its data centre is evacuated.
func (n *Node) leaving(e *serving.Endpoint) bool {
	if n.directory.View().Evacuated[e.DataCentre] {
		return true
	}
	n.departures.mu.Lock()
	defer n.departures.mu.Unlock()
	return e.Leaving || n.departures.known.Leaving(e.ID, e.Started)
}

// staying returns the endpoints that do not leave and whose data centre is not
// evacuated.
func (n *Node) staying(endpoints []*serving.Endpoint) []*serving.Endpoint {
	evacuated := n.directory.View().Evacuated
	n.departures.mu.Lock()
	defer n.departures.mu.Unlock()
	staying := make([]*serving.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !e.Leaving && !evacuated[e.DataCentre] && !n.departures.known.Leaving(e.ID, e.Started) {
			staying = append(staying, e)
		}
	}
	return staying
}

// accepts reports whether an endpoint still takes requests. It is asked again
// immediately before each send: since the endpoint was chosen, the request may have
// waited for its adapter or for its turn.
func (n *Node) accepts(e *serving.Endpoint) bool {
	current := n.directory.View().Endpoints[e.ID]
	return current != nil && !n.leaving(current) && n.heldFor(time.Now(), current) == 0
}

// departureReport returns the departures to send to a peer.
func (n *Node) departureReport(now time.Time, to ids.VMID) map[ids.EndpointID]int64 {
	n.departures.mu.Lock()
	defer n.departures.mu.Unlock()
	if now.Sub(n.departures.sentAt[to]) >= allDeparturesInterval {
		n.departures.sentAt[to] = now
		return n.departures.known.Report(time.Time{})
	}
	return n.departures.known.Report(now.Add(-recentDepartureTime))
}

// applyDepartures merges the departures that a peer knows. A peer that is new or has
// restarted gets all departures with the next message.
func (n *Node) applyDepartures(now time.Time, peer ids.VMID, restarted bool, report map[ids.EndpointID]int64) {
	n.departures.mu.Lock()
	defer n.departures.mu.Unlock()
	if restarted {
		delete(n.departures.sentAt, peer)
	}
	for _, id := range n.departures.known.Apply(now, report) {
		n.logInfo("endpoint leaves", fields{"endpoint": id, "started": report[id], "from": "peer " + string(peer)})
	}
}

// pruneDepartures forgets the peers that are not known any more, and departures of
// endpoints that are gone.
func (n *Node) pruneDepartures(now time.Time, known map[ids.VMID]string) {
	n.departures.mu.Lock()
	defer n.departures.mu.Unlock()
	n.departures.known.Prune(now, n.listedStart())
	maps.DeleteFunc(n.departures.sentAt, func(id ids.VMID, _ time.Time) bool { _, found := known[id]; return !found })
}

// listedStart returns a function that returns the start of an endpoint's process by
// the current view, and whether the endpoint is listed.
func (n *Node) listedStart() func(ids.EndpointID) (int64, bool) {
	view := n.directory.View()
	return func(id ids.EndpointID) (int64, bool) {
		e := view.Endpoints[id]
		if e == nil {
			return 0, false
		}
		return e.Started, true
	}
}
