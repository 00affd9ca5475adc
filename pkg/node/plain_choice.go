package node

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/endpointload"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
)

// plainLoads is what this VM knows of the endpoints of services without engines.
type plainLoads struct {
	statedLoads
	dc ids.DataCentreID
	// timesMu guards times, those of each service.
	timesMu sync.Mutex
	times   map[string]*serviceTimes
}

// serviceTimes is what this VM measured at the endpoints of a service.
type serviceTimes struct {
	// usual is the moving average of the time to the first byte.
	usual time.Duration
	links *endpointload.Links
}

// Parameters of the times of a service: usualRetention is the weight of the previous value in the moving average of a
// service's time to the first byte, and initialUsual its first value.
const (
	usualRetention = 0.95
	// unknownLinkShare is the delay of another data centre, as a share of the usual
	// time, until it is measured.
	unknownLinkShare = 0.5
	initialUsual     = 20 * time.Millisecond
)

func newPlainLoads(dc ids.DataCentreID) *plainLoads {
	return &plainLoads{
		statedLoads: statedLoads{loads: endpointload.New(endpointload.DefaultConfig())},
		dc:          dc, times: make(map[string]*serviceTimes),
	}
}

// observe records the time to the first byte of an answer.
func (l *plainLoads) observe(now time.Time, e *serving.Endpoint, took time.Duration) {
	l.timesMu.Lock()
	defer l.timesMu.Unlock()
	t := l.serviceTimes(e.Service)
	t.links.Observe(now, e.DataCentre, took)
	t.usual = time.Duration(usualRetention*float64(t.usual) + (1-usualRetention)*float64(took))
}

// serviceTimes returns the times of a service. The caller holds timesMu.
func (l *plainLoads) serviceTimes(service string) *serviceTimes {
	t := l.times[service]
	if t == nil {
		t = &serviceTimes{usual: initialUsual, links: endpointload.NewLinks(l.dc)}
		l.times[service] = t
	}
	return t
}

// prune forgets the endpoints and services that are gone.
func (l *plainLoads) prune(view *directory.View) {
	l.statedLoads.prune(func(id ids.EndpointID) bool { return view.Endpoints[id] != nil })
	if view.Config == nil {
		return
	}
	l.timesMu.Lock()
	defer l.timesMu.Unlock()
	for name := range l.times {
		if view.Config.Services[name] == nil {
			delete(l.times, name)
		}
	}
}

// pickPlain chooses an endpoint of a service without engines. Where none of them
// has stated its load lately, the load that VMs count decides alone.
func (n *Node) pickPlain(now time.Time, p *requestState, endpoints []*serving.Endpoint) *serving.Endpoint {
	if !n.plainLoads.anyFresh(now, endpoints) {
		return n.pickLeastLoaded(now, endpoints, p.pickSalt)
	}
	usual, links := n.plainLoads.expected(now, p.request.Service.Name, endpoints)
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.plainLoads.mu.Lock()
	defer n.plainLoads.mu.Unlock()
	return n.balancer.PickWeighted(now, endpoints, p.pickSalt, func(e *serving.Endpoint) float64 {
		load := n.balancer.TotalLoad(now, e.ID)
		return n.plainLoads.loads.Weight(now, e.ID, float64(load.Starting+load.Running), usual, links[e.DataCentre])
	})
}

// pickWithoutAdapter chooses an engine for a request that needs no adapter.
func (n *Node) pickWithoutAdapter(now time.Time, p *requestState, endpoints []*serving.Endpoint) *serving.Endpoint {
	return n.pickLeastLoaded(now, endpoints, p.pickSalt)
}

// anyFresh reports whether an endpoint stated its load lately.
func (l *plainLoads) anyFresh(now time.Time, endpoints []*serving.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range endpoints {
		if l.loads.Fresh(now, e.ID) {
			return true
		}
	}
	return false
}

// expected returns the usual time to the first byte of a service, and how much longer
// than the closest data centre those of the endpoints are away.
func (l *plainLoads) expected(now time.Time, service string, endpoints []*serving.Endpoint) (time.Duration, map[ids.DataCentreID]time.Duration) {
	l.timesMu.Lock()
	defer l.timesMu.Unlock()
	t := l.serviceTimes(service)
	links := make(map[ids.DataCentreID]time.Duration)
	for _, e := range endpoints {
		links[e.DataCentre] = t.links.Extra(now, e.DataCentre, time.Duration(unknownLinkShare*float64(t.usual)))
	}
	return t.usual, links
}
