package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fairqueue"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/routing"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
)

const (
	// queuePollInterval bounds how long the queue misses a change that did
	// not trigger a dispatch, such as a load report that arrived late.
	queuePollInterval = 50 * time.Millisecond
	// demandReportInterval is how often waiting demand is reported to owners.
	// It is the rate at which the planner is asked again.
	demandReportInterval = 50 * time.Millisecond
	// demandRepeatInterval is how often unchanged demand is reported to
	// another VM again. It is shorter than the time for which the planner
	// counts reported demand.
	demandRepeatInterval = 2 * time.Second
	// pinRetryDelay is the pause before a refused pin is requested again.
	pinRetryDelay = 200 * time.Millisecond
	// extraReplicaDelay is how long requests wait for full engines before
	// another replica of their adapter is requested.
	extraReplicaDelay = 500 * time.Millisecond
	// maxDispatchMargin bounds the part of a request's time that is reserved
	// for running it: a request dispatched later could only time out.
	maxDispatchMargin = time.Second
	// dispatchMarginDivisor determines the reserved part: the request's time
	// divided by dispatchMarginDivisor.
	dispatchMarginDivisor = 10
)

// assignment sends one request to one endpoint, under a pin that is marked as
// in use for it, or refuses the request.
type assignment struct {
	candidate routing.Candidate
	pin       peer.PinKey
	refusal   *callers.Refusal
}

// waiter is a request that waits in a queue.
type waiter struct {
	request  *routing.Request
	deadline time.Time
	// assigned receives the one assignment of the request.
	assigned chan assignment
}

// modelQueue dispatches the waiting requests of one base model and policy to
// engines. Requests wait in enqueueAndWait; run assigns them to endpoints.
type modelQueue struct {
	daemon    *Daemon
	baseModel string
	policy    records.Policy
	queue     *fairqueue.Queue
	profile   routing.Profile
	// dispatchRequested holds at most one pending request to check the queue.
	dispatchRequested chan struct{}
	random            *rand.Rand

	mu      sync.Mutex
	waiters map[ids.RequestID]*waiter
	// pinsRequested holds the pins for which a request to the owner is in
	// flight.
	pinsRequested map[peer.PinKey]bool
	// reported is the demand that other VMs were last told about. Only run
	// uses it.
	reported map[demandKey]reportedDemand
}

// demandKey identifies demand.
type demandKey struct {
	endpoint ids.EndpointID
	ref      ids.AdapterRef
	customer ids.CustomerID
}

// reportedDemand is what was last reported of a customer's demand, and when.
type reportedDemand struct {
	requests int
	at       time.Time
}

func newModelQueue(d *Daemon, baseModel string, policy records.Policy) *modelQueue {
	config := fairqueue.DefaultConfig(policy)
	config.MaxItems = int(d.settings.Limits.MaxQueued)
	return &modelQueue{
		daemon:            d,
		baseModel:         baseModel,
		policy:            policy,
		queue:             fairqueue.New(config),
		profile:           routing.ModelProfile(policy),
		dispatchRequested: make(chan struct{}, 1),
		random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waiters:           make(map[ids.RequestID]*waiter),
		pinsRequested:     make(map[peer.PinKey]bool),
		reported:          make(map[demandKey]reportedDemand),
	}
}

// requestDispatch makes run check the queue soon. It does not block.
func (q *modelQueue) requestDispatch() {
	select {
	case q.dispatchRequested <- struct{}{}:
	default:
	}
}

// wakeQueued makes run check soon whether the requests of an adapter version
// can be sent.
func (q *modelQueue) wakeQueued(ref ids.AdapterRef) {
	q.queue.Unpark(ref)
	q.requestDispatch()
}

// enqueueAndWait queues a request and waits until an endpoint can take it,
// the queue refuses it or ctx ends.
func (q *modelQueue) enqueueAndWait(ctx context.Context, item fairqueue.Item, request *routing.Request) assignment {
	now := time.Now()
	w := &waiter{request: request, deadline: request.Deadline, assigned: make(chan assignment, 1)}
	margin := min(request.Deadline.Sub(now)/dispatchMarginDivisor, maxDispatchMargin)
	item.Deadline = request.Deadline.Add(-margin)
	q.mu.Lock()
	q.waiters[item.ID] = w
	q.mu.Unlock()
	if refused := q.queue.Push(now, item); refused != nil {
		q.removeWaiter(item.ID)
		return assignment{refusal: queueRefusal(refused)}
	}
	q.requestDispatch()
	select {
	case assigned := <-w.assigned:
		return assigned
	case <-ctx.Done():
	}
	if !q.queue.Cancel(item.ID) {
		// The request was dispatched at the same time.
		assigned := <-w.assigned
		if assigned.refusal == nil {
			q.daemon.endAssignment(assigned)
		}
	}
	q.removeWaiter(item.ID)
	return assignment{refusal: callers.NotRun(inferencev1.Reason_REASON_DEADLINE, "the caller left or its deadline passed while the request was queued")}
}

// removeWaiter removes and returns a request's waiter.
func (q *modelQueue) removeWaiter(id ids.RequestID) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.waiters[id]
	delete(q.waiters, id)
	return w
}

// run dispatches requests and reports demand until the daemon stops.
func (q *modelQueue) run(ctx context.Context) {
	ticker := time.NewTicker(queuePollInterval)
	defer ticker.Stop()
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.dispatchRequested:
		case <-ticker.C:
		}
		if q.queue.Len() == 0 {
			continue
		}
		now := time.Now()
		q.expireWaiters(now)
		q.dispatch(now)
		if now.Sub(reportedAt) >= demandReportInterval {
			reportedAt = now
			q.reportDemand(now)
		}
	}
}

// expireWaiters refuses requests that can no longer be answered in time.
func (q *modelQueue) expireWaiters(now time.Time) {
	for _, item := range q.queue.Expire(now) {
		refusal := callers.NotRun(inferencev1.Reason_REASON_DEADLINE, "no engine could take the request before its deadline")
		refusal.RetryAfter = maxDispatchMargin
		q.removeWaiter(item.ID).assigned <- assignment{refusal: refusal}
	}
}

// dispatch assigns all requests that can run now to engines.
func (q *modelQueue) dispatch(now time.Time) {
	skipped := make(map[ids.AdapterRef]bool)
	for {
		item, ok := q.queue.Pop(now, func(ref ids.AdapterRef) bool {
			return !skipped[ref] && q.canDispatch(now, ref)
		})
		if !ok {
			return
		}
		if !q.assign(now, item) {
			skipped[item.Ref] = true
			q.queue.Requeue(item)
		}
	}
}

// canDispatch reports whether an engine with room holds the adapter version
// under a pin of this VM. If only the pin is missing, it requests one.
func (q *modelQueue) canDispatch(now time.Time, ref ids.AdapterRef) bool {
	request := &routing.Request{
		Kind:      records.EndpointModel,
		Ref:       ref,
		BaseModel: q.baseModel,
		Deadline:  now.Add(q.daemon.settings.Timeouts.Request.Duration()),
	}
	var unpinned []routing.Candidate
	for _, candidate := range q.usableCandidates(now, request) {
		if candidate.Pinned {
			return true
		}
		unpinned = append(unpinned, candidate)
	}
	if len(unpinned) > 0 {
		picked, err := q.profile.Pick(request, unpinned, q.random)
		if err == nil {
			q.requestPin(peer.PinKey{Endpoint: picked.Endpoint, Ref: ref})
		}
	}
	return false
}

// usableCandidates returns the candidates that pass the profile's filters.
func (q *modelQueue) usableCandidates(now time.Time, request *routing.Request) []routing.Candidate {
	var usable []routing.Candidate
	for _, candidate := range q.daemon.routes.Candidates(now, request) {
		if passesFilters(q.profile, request, &candidate) {
			usable = append(usable, candidate)
		}
	}
	return usable
}

// passesFilters reports whether a candidate passes all filters of a profile.
func passesFilters(profile routing.Profile, request *routing.Request, candidate *routing.Candidate) bool {
	for _, filter := range profile.Filters {
		if !filter.Keep(request, candidate) {
			return false
		}
	}
	return true
}

// assign picks an endpoint for a request and starts using its pin. It returns
// false if no endpoint can take the request now.
func (q *modelQueue) assign(now time.Time, item fairqueue.Item) bool {
	q.mu.Lock()
	w := q.waiters[item.ID]
	q.mu.Unlock()
	picked, ok := q.pickPinned(now, w.request)
	if !ok {
		return false
	}
	pin := peer.PinKey{Endpoint: picked.Endpoint, Ref: item.Ref}
	if !q.daemon.pinHolder.Begin(now, pin, w.deadline) {
		return false
	}
	q.daemon.routes.Begin(now, picked.Endpoint, w.request)
	q.daemon.planner.RecordUse(now, picked.Endpoint, item.Ref, 1)
	q.removeWaiter(item.ID).assigned <- assignment{candidate: picked, pin: pin}
	return true
}

// pickPinned picks a pinned candidate, preferring endpoints that the request
// was not sent to before.
func (q *modelQueue) pickPinned(now time.Time, request *routing.Request) (routing.Candidate, bool) {
	anyEndpoint := *request
	for _, r := range []*routing.Request{request, &anyEndpoint} {
		var pinned []routing.Candidate
		for _, candidate := range q.usableCandidates(now, r) {
			if candidate.Pinned {
				pinned = append(pinned, candidate)
			}
		}
		if picked, err := q.profile.Pick(r, pinned, q.random); err == nil {
			return picked, true
		}
		anyEndpoint.Tried = nil
	}
	return routing.Candidate{}, false
}

// reportDemand tells the owners of engines which adapter versions requests
// are waiting for.
func (q *modelQueue) reportDemand(now time.Time) {
	workByOwner := make(map[ids.VMID][]peer.WaitingDemand)
	for _, demand := range q.queue.Demands(now) {
		resident := q.isResidentAnywhere(demand.Ref)
		if resident && demand.Oldest < extraReplicaDelay {
			continue
		}
		endpoint, ok := q.daemon.planner.LoadTarget(now, demand.Ref, q.baseModel)
		if !ok {
			continue
		}
		owner, ok := q.daemon.ownerOf(endpoint)
		if !ok || owner != q.daemon.settings.VMID && !q.shouldReportDemand(now, endpoint, demand) {
			continue
		}
		workByOwner[owner] = append(workByOwner[owner], peer.WaitingDemand{
			Endpoint:     endpoint,
			Ref:          demand.Ref,
			Customer:     demand.Customer,
			Requests:     demand.Requests,
			OldestMillis: demand.Oldest.Milliseconds(),
		})
	}
	for owner, work := range workByOwner {
		q.daemon.ownershipDriver.sendDemand(owner, work)
	}
}

// isResidentAnywhere reports whether some engine holds the adapter version.
func (q *modelQueue) isResidentAnywhere(ref ids.AdapterRef) bool {
	return slices.ContainsFunc(q.daemon.planner.Holders(ref.Adapter), func(h placement.Replica) bool { return h.Ref == ref })
}

// shouldReportDemand reports whether demand should be reported to another VM:
// if it was not reported yet, has at least doubled, or was last reported
// demandRepeatInterval ago. If so, it records the demand as reported. This
// limits the messages to other VMs.
func (q *modelQueue) shouldReportDemand(now time.Time, endpoint ids.EndpointID, demand fairqueue.Demand) bool {
	for key, reported := range q.reported {
		if now.Sub(reported.at) >= demandRepeatInterval {
			delete(q.reported, key)
		}
	}
	key := demandKey{endpoint: endpoint, ref: demand.Ref, customer: demand.Customer}
	if reported, known := q.reported[key]; known && demand.Requests < 2*reported.requests {
		return false
	}
	q.reported[key] = reportedDemand{requests: demand.Requests, at: now}
	return true
}

// requestPin asks the owner of an endpoint for a pin, unless such a request
// is in flight.
func (q *modelQueue) requestPin(pin peer.PinKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pinsRequested[pin] {
		return
	}
	q.pinsRequested[pin] = true
	q.daemon.spawn(func() {
		q.daemon.ownershipDriver.acquirePins([]peer.PinKey{pin})
		if now := time.Now(); !q.daemon.pinHolder.Covers(now, pin, now) {
			sleep(q.daemon.ctx, pinRetryDelay)
		}
		q.mu.Lock()
		delete(q.pinsRequested, pin)
		q.mu.Unlock()
		q.wakeQueued(pin.Ref)
	})
}

// queueRefusal translates a refusal by the queue into one for the caller.
func queueRefusal(refused *fairqueue.Refusal) *callers.Refusal {
	var refusal *callers.Refusal
	switch refused.Reason {
	case fairqueue.RefusedDeadline:
		refusal = callers.NotRun(inferencev1.Reason_REASON_DEADLINE, "the queue is too long for the request's deadline")
	default:
		refusal = callers.NotRun(inferencev1.Reason_REASON_QUEUE_FULL, "too many requests wait")
	}
	refusal.RetryAfter = refused.RetryAfter
	return refusal
}
