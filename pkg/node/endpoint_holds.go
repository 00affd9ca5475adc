package node

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/holdoff"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

const (
	// maxHoldRetry bounds the time after which a caller that was refused because
	// endpoints want no requests may return: other endpoints may come sooner.
	maxHoldRetry = 10 * time.Second
	// holdRetrySpread is the share of that time that is added at random, so that
	// callers that were refused together do not return together.
	holdRetrySpread = 0.25
)

// endpointHolds holds the endpoints that want no requests from this VM for a while.
type endpointHolds struct {
	mu    sync.Mutex
	known *holdoff.Holds
}

// recordHold records whether an endpoint that turned a request away wants no others
// for a while, or that it has run one.
func (n *Node) recordHold(e *serving.Endpoint, status int, answer Answer) {
	if e = n.answeringEndpoint(e, answer); e == nil {
		return
	}
	n.holds.mu.Lock()
	defer n.holds.mu.Unlock()
	switch {
	case status == http.StatusServiceUnavailable:
		if n.holds.known.Record(time.Now(), e.ID, e.Started, answer.RetryAfter, rand.Float64()) {
			n.metrics.holds.Inc(1)
			n.logInfo("endpoint wants no requests for a while", fields{"endpoint": e.ID, "forMs": answer.RetryAfter.Milliseconds()})
		}
	case !answer.NotRun:
		n.holds.known.RecordAnswer(e.ID)
	}
}

// accepting returns the endpoints that do not leave and to which this VM may send
// requests now.
func (n *Node) accepting(now time.Time, endpoints []*serving.Endpoint) []*serving.Endpoint {
	staying := n.staying(endpoints)
	n.holds.mu.Lock()
	defer n.holds.mu.Unlock()
	accepting := staying[:0]
	for _, e := range staying {
		if n.holds.known.HeldFor(now, e.ID, e.Started) == 0 {
			accepting = append(accepting, e)
		}
	}
	return accepting
}

// heldFor returns how long this VM may send no requests to an endpoint.
func (n *Node) heldFor(now time.Time, e *serving.Endpoint) time.Duration {
	n.holds.mu.Lock()
	defer n.holds.mu.Unlock()
	return n.holds.known.HeldFor(now, e.ID, e.Started)
}

// beginSend reports whether a request may be sent to an endpoint now, and counts it
// if so.
func (n *Node) beginSend(e *serving.Endpoint) bool {
	current := n.directory.View().Endpoints[e.ID]
	if current == nil || n.leaving(current) {
		return false
	}
	n.holds.mu.Lock()
	defer n.holds.mu.Unlock()
	return n.holds.known.Admit(time.Now(), current.ID, current.Started)
}

// refuseUnplaced refuses a request for which there is no endpoint now: with the time
// until one is due, or as given if no endpoint is waited for.
func (n *Node) refuseUnplaced(p *requestState, otherwise *refusal) *refusal {
	if n.directory.View().AllEvacuated(p.request.Service.Name) {
		return refuseEvacuated()
	}
	now := time.Now()
	var atLimit, held time.Duration
	excluded := false
	n.limitsMu.Lock()
	for _, e := range n.staying(n.directory.View().ServiceEndpoints(p.request.Service.Name)) {
		denied, hold := n.limits.DeniedFor(now, e.ID), n.heldFor(now, e)
		switch {
		case hold > 0 && (held == 0 || max(hold, denied) < held):
			held = max(hold, denied)
		case hold == 0 && denied > 0 && (atLimit == 0 || denied < atLimit):
			atLimit = denied
		case hold == 0 && denied == 0:
			excluded = true
		}
	}
	n.limitsMu.Unlock()
	switch {
	case atLimit > 0 && (held == 0 || atLimit <= held):
		return refuseBusy(max(atLimit, minRetryAtLimits), "endpoints are at their limits, or cold")
	case held > 0 && !(excluded && held > otherwise.retryAfter):
		return refuseHeld(held)
	}
	return otherwise
}

// refuseHeld refuses a request since the endpoints that could run it want none for a
// while.
func refuseHeld(wait time.Duration) *refusal {
	wait = min(max(wait, minRetryAtLimits), maxHoldRetry)
	return refuseBusy(wait+time.Duration(rand.Float64()*holdRetrySpread*float64(wait)), "endpoints want no requests for a while")
}

// refuseIfModelHeld refuses a request if all engines with its base model want no
// requests until after limit.
func (n *Node) refuseIfModelHeld(now time.Time, p *requestState, limit time.Time) *refusal {
	var shortest time.Duration
	for _, e := range n.staying(n.directory.View().ServiceEndpoints(p.request.Service.Name)) {
		if _, hasModel := n.adapterIndex.freeSlots(e.ID, p.request.Model); !hasModel {
			continue
		}
		wait := n.heldFor(now, e)
		if wait == 0 || now.Add(wait).Before(limit) {
			return nil
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	if shortest == 0 {
		return nil
	}
	return refuseHeld(shortest)
}

// pruneHolds forgets the holds of endpoints that are gone.
func (n *Node) pruneHolds(now time.Time) {
	n.holds.mu.Lock()
	defer n.holds.mu.Unlock()
	n.holds.known.Prune(now, n.listedStart())
}
