package node

import (
	"context"
	"maps"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/endpointlimit"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

const (
	// grantTimeout bounds a call to an endpoint's coordinator, and
	// coordinatorBackoff is how long one that did not answer is not asked again.
	grantTimeout       = 150 * time.Millisecond
	coordinatorBackoff = 500 * time.Millisecond
	// maxDenials is how often endpoints may be at their limit, or take no requests
	// any more, once they were chosen for a request, before it is refused.
	maxDenials = 6
	// allLimitsInterval is the interval between messages to a peer with all
	// limits. Those in between have the limits that changed within
	// recentLimitTime, which covers the loss of a few messages.
	allLimitsInterval = 5 * time.Second
	recentLimitTime   = 1500 * time.Millisecond
	// minRetryAtLimits is the shortest time after which a caller that was refused
	// because endpoints are at their limits may return.
	minRetryAtLimits = 250 * time.Millisecond
)

// grantRequest asks an endpoint's coordinator whether a request may be sent to the
// endpoint, and tells it the limit that the sender knows.
type grantRequest struct {
	Endpoint ids.EndpointID       `json:"endpoint"`
	Limit    endpointlimit.Report `json:"limit"`
}

type grantReply struct {
	Granted bool `json:"granted"`
	// WaitMs is the time after which a request may be granted.
	WaitMs int64 `json:"wait,omitempty"`
}

// recordLimit records whether an endpoint names a limit in an answer. A missing
// limit ends it only in the answer to a request that ran.
func (n *Node) recordLimit(e *serving.Endpoint, answer Answer) {
	if !answeredBy(e, answer) || answer.Limit == nil && (answer.NotRun || !answer.Signed) {
		return
	}
	n.limitsMu.Lock()
	changed := n.limits.RecordAnswer(time.Now(), e.ID, answer.Limit)
	n.limitsMu.Unlock()
	if !changed {
		return
	}
	if answer.Limit == nil {
		n.logInfo("endpoint limit ended", fields{"endpoint": e.ID})
		return
	}
	n.logInfo("endpoint limit changed", fields{"endpoint": e.ID, "limit": *answer.Limit})
}

// admitToEndpoint reports whether a request may be sent to an endpoint now, and
// counts it against the limit that the endpoint names and against its rate while it is
// cold.
func (n *Node) admitToEndpoint(ctx context.Context, e *serving.Endpoint) bool {
	return n.admitToCold(ctx, e) && n.admitToLimited(ctx, e)
}

func (n *Node) admitToLimited(ctx context.Context, e *serving.Endpoint) bool {
	now := time.Now()
	n.limitsMu.Lock()
	_, limited := n.limits.Rate(now, e.ID)
	if !limited {
		n.limitsMu.Unlock()
		return true
	}
	report := n.limits.ReportOf(now, e.ID)
	n.limitsMu.Unlock()
	granted, wait := n.requestGrant(ctx, now, grantRequest{Endpoint: e.ID, Limit: report})
	if granted {
		return true
	}
	if ctx.Err() != nil {
		// Nobody waits for the grant any more, so that nothing was denied.
		return false
	}
	n.metrics.limitDenials.Inc(1)
	n.limitsMu.Lock()
	n.limits.RecordDenial(time.Now(), e.ID, wait)
	n.limitsMu.Unlock()
	return false
}

// requestGrant asks the endpoint's coordinator for a grant. If it does not answer,
// this VM's own share of the limit applies.
func (n *Node) requestGrant(ctx context.Context, now time.Time, request grantRequest) (granted bool, wait time.Duration) {
	coordinator := endpointlimit.Coordinator(request.Endpoint, n.coordinatorCandidates(now))
	if coordinator == n.settings.Self() {
		return n.grant(now, request)
	}
	if !n.unresponsiveCoordinators.isBackedOff(now, coordinator) {
		reply, err := peers.Call[grantReply](ctx, n.peers, coordinator, methodGrant, grantTimeout, request)
		switch {
		case err == nil:
			return reply.Granted, time.Duration(reply.WaitMs) * time.Millisecond
		case ctx.Err() != nil:
			return false, 0
		}
		n.unresponsiveCoordinators.backOffUntil(coordinator, now.Add(coordinatorBackoff))
		n.countPeerFailure(coordinator, err)
	}
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	return n.limits.GrantOwnShare(time.Now(), request.Endpoint)
}

// coordinatorCandidates returns the VMs that may coordinate the limit of an
// endpoint: the relays, this VM included if it is one, or this VM if it hears none.
func (n *Node) coordinatorCandidates(now time.Time) []ids.VMID {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	plan := n.fleet.Plan(now)
	candidates := n.fleet.Staying(plan.Relays)
	if plan.Relay && !n.draining.Load() || len(candidates) == 0 {
		candidates = append(candidates, n.settings.Self())
	}
	return candidates
}

func (n *Node) grant(now time.Time, request grantRequest) (granted bool, wait time.Duration) {
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	n.limits.ApplyReports(now, map[ids.EndpointID]endpointlimit.Report{request.Endpoint: request.Limit})
	return n.limits.Grant(now, request.Endpoint)
}

func (n *Node) handleGrant(_ context.Context, _ peers.Sender, request grantRequest) (grantReply, error) {
	granted, wait := n.grant(time.Now(), request)
	return grantReply{Granted: granted, WaitMs: wait.Milliseconds()}, nil
}

// limitReports returns the limits to send to a peer.
func (n *Node) limitReports(now time.Time, to ids.VMID) map[ids.EndpointID]endpointlimit.Report {
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	if now.Sub(n.limitsSentAt[to]) >= allLimitsInterval {
		n.limitsSentAt[to] = now
		return n.limits.Reports(now, time.Time{})
	}
	return n.limits.Reports(now, now.Add(-recentLimitTime))
}

// applyLimitReports merges the limits that a peer knows. A peer that is new or has
// restarted gets all limits with the next message.
func (n *Node) applyLimitReports(now time.Time, peer ids.VMID, restarted bool, reports map[ids.EndpointID]endpointlimit.Report) {
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	if restarted {
		delete(n.limitsSentAt, peer)
	}
	n.limits.ApplyReports(now, reports)
}

// forgetLimitPeers forgets the peers that are not known any more.
func (n *Node) forgetLimitPeers(known map[ids.VMID]string) {
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	maps.DeleteFunc(n.limitsSentAt, func(id ids.VMID, _ time.Time) bool { _, found := known[id]; return !found })
}
