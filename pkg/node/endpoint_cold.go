package node

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/endpointlimit"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// coldUnknownFleetWait is how long a VM that does not know the size of its fleet leaves
// a cold endpoint out before it checks again.
const coldUnknownFleetWait = 250 * time.Millisecond

// coldEndpoints holds until when endpoints are cold, and the grants for them.
type coldEndpoints struct {
	mu    sync.Mutex
	known *endpointlimit.Cold
}

// coldGrantRequest asks a cold endpoint's coordinator whether a request may be sent to
// the endpoint, and tells it how long the endpoint is cold.
type coldGrantRequest struct {
	Endpoint ids.EndpointID           `json:"endpoint"`
	Cold     endpointlimit.ColdReport `json:"cold"`
}

// coldTerms returns the limit for an endpoint while it is cold. It reports false if the
// endpoint's service names none.
func (n *Node) coldTerms(view *directory.View, e *serving.Endpoint) (endpointlimit.ColdTerms, bool) {
	if e == nil || view.Config == nil {
		return endpointlimit.ColdTerms{}, false
	}
	service := view.Config.Services[e.Service]
	if service == nil || service.ColdStart <= 0 || service.ColdRate <= 0 {
		return endpointlimit.ColdTerms{}, false
	}
	bounds := n.settings.Bounds
	return endpointlimit.ColdTerms{
		Rate: service.ColdRate, Bound: service.ColdRate*max(bounds.ColdRateFactor, 1) + max(bounds.ColdAllowance, 0),
	}, true
}

// recordColdRecords records the endpoints that are cold by the records that are new or
// have changed, or whose service has a limit for them from now on.
func (n *Node) recordColdRecords(before, after *directory.View) {
	for id, e := range after.Endpoints {
		old := before.Endpoints[id]
		_, limited := n.coldTerms(before, old)
		if e.ColdFor <= 0 || limited && old.Started == e.Started && old.ColdFor == e.ColdFor {
			continue
		}
		n.recordColdTime(after, e, e.ColdFor, false)
	}
}

// recordCold records how much longer the endpoint that gave an answer is cold.
func (n *Node) recordCold(e *serving.Endpoint, answer Answer) {
	if answer.ColdFor > 0 {
		if e = n.answeringEndpoint(e, answer); e != nil {
			n.recordColdTime(n.directory.View(), e, answer.ColdFor, true)
		}
	}
}

func (n *Node) recordColdTime(view *directory.View, e *serving.Endpoint, remaining time.Duration, told bool) {
	if _, limited := n.coldTerms(view, e); !limited {
		return
	}
	n.cold.mu.Lock()
	began := n.cold.known.Record(time.Now(), e.ID, e.Started, remaining, told)
	n.cold.mu.Unlock()
	if began {
		from := "store"
		if told {
			from = "endpoint"
		}
		n.logInfo("endpoint cold", fields{"endpoint": e.ID, "forMs": remaining.Milliseconds(), "from": from})
	}
}

// admitToCold reports whether a request may be sent to an endpoint if it is cold, and
// counts it against the endpoint's rate.
func (n *Node) admitToCold(ctx context.Context, e *serving.Endpoint) bool {
	view := n.directory.View()
	if _, limited := n.coldTerms(view, e); !limited {
		return true
	}
	asked := time.Now()
	n.cold.mu.Lock()
	remaining, knowsFleet := n.cold.known.Remaining(asked, e.ID, e.Started), n.cold.known.KnowsFleet(asked)
	n.cold.mu.Unlock()
	if remaining == 0 {
		return true
	}
	granted, wait := false, coldUnknownFleetWait
	if knowsFleet {
		granted, wait = n.requestColdGrant(ctx, asked, coldGrantRequest{
			Endpoint: e.ID, Cold: endpointlimit.ColdReport{Started: e.Started, RemainingMs: remaining.Milliseconds() + 1},
		})
	}
	// A grant that is used late would add to those of a later second.
	if granted && time.Since(asked) <= grantTimeout {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	n.metrics.coldDenials.Inc(1)
	n.limitsMu.Lock()
	n.limits.RecordDenial(time.Now(), e.ID, min(wait, remaining))
	n.limitsMu.Unlock()
	return false
}

// requestColdGrant asks a cold endpoint's coordinator for a grant. If it does not
// answer, the request is denied.
func (n *Node) requestColdGrant(ctx context.Context, now time.Time, request coldGrantRequest) (granted bool, wait time.Duration) {
	coordinator := endpointlimit.Coordinator(request.Endpoint, n.coordinatorCandidates(now))
	if coordinator == n.settings.Self() {
		return n.grantCold(now, request)
	}
	if n.unresponsiveCoordinators.isBackedOff(now, coordinator) {
		return false, coordinatorBackoff
	}
	reply, err := peers.Call[grantReply](ctx, n.peers, coordinator, methodColdGrant, grantTimeout, request)
	if err != nil {
		if ctx.Err() == nil {
			n.unresponsiveCoordinators.backOffUntil(coordinator, now.Add(coordinatorBackoff))
			n.countPeerFailure(coordinator, err)
		}
		return false, coordinatorBackoff
	}
	return reply.Granted, time.Duration(reply.WaitMs) * time.Millisecond
}

// grantCold decides on a request as the coordinator of a cold endpoint.
func (n *Node) grantCold(now time.Time, request coldGrantRequest) (granted bool, wait time.Duration) {
	view := n.directory.View()
	terms, limited := n.coldTerms(view, view.Endpoints[request.Endpoint])
	if !limited {
		// The VM that asks knows of a record that this one lacks.
		return false, coldUnknownFleetWait
	}
	n.cold.mu.Lock()
	defer n.cold.mu.Unlock()
	n.cold.known.Apply(now, request.Endpoint, request.Cold)
	return n.cold.known.Grant(now, request.Endpoint, terms)
}

func (n *Node) handleColdGrant(_ context.Context, _ peers.Sender, request coldGrantRequest) (grantReply, error) {
	granted, wait := n.grantCold(time.Now(), request)
	return grantReply{Granted: granted, WaitMs: wait.Milliseconds()}, nil
}

// coldReports returns the cold endpoints to tell a peer, beside those that it learns
// from the store.
func (n *Node) coldReports(now time.Time) map[ids.EndpointID]endpointlimit.ColdReport {
	n.cold.mu.Lock()
	defer n.cold.mu.Unlock()
	return n.cold.known.Reports(now)
}

// applyColdReports merges the cold endpoints that a peer knows, if they are listed and
// their service has a limit.
func (n *Node) applyColdReports(now time.Time, peer ids.VMID, reports map[ids.EndpointID]endpointlimit.ColdReport) {
	if len(reports) == 0 {
		return
	}
	view := n.directory.View()
	n.cold.mu.Lock()
	defer n.cold.mu.Unlock()
	for id, report := range reports {
		if _, limited := n.coldTerms(view, view.Endpoints[id]); limited && n.cold.known.Apply(now, id, report) {
			n.logInfo("endpoint cold", fields{"endpoint": id, "forMs": report.RemainingMs, "from": "peer " + string(peer)})
		}
	}
}

// maintainCold updates the view of the fleet on which grants depend, and forgets the
// endpoints that are warm or gone.
func (n *Node) maintainCold(now time.Time, heard, unheard, size int) {
	candidates, listed := n.coordinatorCandidates(now), n.listedStart()
	n.cold.mu.Lock()
	n.cold.known.SetFleet(now, n.settings.Self(), candidates, heard, unheard, size)
	ended := n.cold.known.Prune(now, listed)
	count := n.cold.known.Count(now)
	n.cold.mu.Unlock()
	n.metrics.coldEndpoints.Update(float64(count))
	for _, id := range ended {
		n.logInfo("endpoint no longer cold", fields{"endpoint": id})
	}
}
