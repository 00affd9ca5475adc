package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/evacuation"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
)

const (
	// retryEvacuated is the time after which a caller may return if all endpoints of
	// its service are in evacuated data centres: nothing tells when operators return
	// one to service, and callers that return sooner only add load.
	retryEvacuated = 2 * time.Second
	// evacuatedRetrySpread is the share of that time that is added at random, so that
	// callers that were refused together do not return together.
	evacuatedRetrySpread = 0.5
)

// evacuations tracks the evacuated data centres and the requests that are open there.
type evacuations struct {
	mu      sync.Mutex
	tracker *evacuation.Tracker
}

// updateEvacuations records the evacuated data centres of a view.
func (n *Node) updateEvacuations(view *directory.View, from string) {
	known := func(dc ids.DataCentreID) bool {
		return slices.Contains(n.settings.DataCentres, dc) || view.KnowsDataCentre(dc)
	}
	n.evacuations.mu.Lock()
	defer n.evacuations.mu.Unlock()
	for _, event := range n.evacuations.tracker.Update(time.Now(), view.Evacuated, known) {
		n.logEvacuation(event, from)
	}
	n.updateEvacuationGauges()
}

// trackSend counts a send to an endpoint of a data centre until the function that it
// returns is called.
func (n *Node) trackSend(dc ids.DataCentreID) (end func()) {
	n.evacuations.mu.Lock()
	defer n.evacuations.mu.Unlock()
	n.evacuations.tracker.BeginRequest(dc)
	return func() {
		n.evacuations.mu.Lock()
		defer n.evacuations.mu.Unlock()
		if event, last := n.evacuations.tracker.EndRequest(time.Now(), dc); last {
			n.logEvacuation(event, "")
		}
		n.updateEvacuationGauges()
	}
}

// updateEvacuationGauges sets the gauges. The caller holds evacuations.mu.
func (n *Node) updateEvacuationGauges() {
	dataCentres, open := n.evacuations.tracker.Counts()
	n.metrics.evacuatedDataCentres.Update(float64(dataCentres))
	n.metrics.evacuatedOpenRequests.Update(float64(open))
}

func (n *Node) logEvacuation(event evacuation.Event, from string) {
	switch event.Kind {
	case evacuation.Began:
		n.logInfo("evacuation begins", fields{"dataCentre": event.DataCentre, "open": event.Open, "from": from, "through": n.mirror.CompleteThrough()})
	case evacuation.Emptied:
		n.logInfo("last request in the evacuated data centre ended", fields{"dataCentre": event.DataCentre, "sinceMs": event.Since.Milliseconds()})
	case evacuation.Ended:
		n.logInfo("evacuation ends", fields{"dataCentre": event.DataCentre, "open": event.Open, "lastedMs": event.Since.Milliseconds(), "from": from, "through": n.mirror.CompleteThrough()})
	case evacuation.Unknown:
		n.logWarning("evacuation has no effect", eris.Errorf("no data centre is named %q", event.DataCentre), fields{"dataCentre": event.DataCentre, "from": from})
	}
}

// inUse reports whether an endpoint is listed, does not leave and is in no evacuated
// data centre.
func (n *Node) inUse(e *serving.Endpoint) bool {
	current := n.directory.View().Endpoints[e.ID]
	return current != nil && !n.leaving(current)
}

// refuseEvacuated refuses a request whose service has endpoints only in evacuated data
// centres.
func refuseEvacuated() *refusal {
	return refuseBusy(retryEvacuated+time.Duration(rand.Float64()*evacuatedRetrySpread*float64(retryEvacuated)), "all data centres with endpoints of the service are evacuated")
}
