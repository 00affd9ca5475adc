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
	// queueTick bounds how long the queue misses a change that nobody
	// announced, such as a lagging load report.
	queueTick = 50 * time.Millisecond
	// demandEvery is how often waiting demand is told to owners. It is the
	// pace at which the planner is asked anew.
	demandEvery = 50 * time.Millisecond
	// tellAgain is how often unchanged demand is told to another VM. It is
	// below the term for which the planner counts it.
	tellAgain = 2 * time.Second
	// pinRetry is the pause before a refused pin is asked for again.
	pinRetry = 200 * time.Millisecond
	// replicaAfter is how long requests wait on full engines before another
	// replica of their adapter is asked for.
	replicaAfter = 500 * time.Millisecond
	// maxDispatchMargin bounds the part of a request's time that is kept back
	// for running it: a request handed out later could only time out.
	maxDispatchMargin = time.Second
	// marginPart is that part.
	marginPart = 10
)

// assignment sends one request to one endpoint, under a pin that Begin took.
type assignment struct {
	candidate routing.Candidate
	pin       peer.PinKey
	refusal   *callers.Refusal
}

// waiter is a request that waits in a queue.
type waiter struct {
	request  *routing.Request
	deadline time.Time
	assigned chan assignment
}

// modelQueue hands the waiting requests of one base model to engines.
type modelQueue struct {
	daemon    *Daemon
	baseModel string
	policy    records.Policy
	queue     *fairqueue.Queue
	profile   routing.Profile
	kicked    chan struct{}
	random    *rand.Rand

	mu      sync.Mutex
	waiters map[ids.RequestID]*waiter
	// asking holds the pins that are being asked for.
	asking map[peer.PinKey]bool
	// told is the demand that other VMs were last told of. Only run uses it.
	told map[toldKey]toldWork
}

// toldKey names demand, and toldWork is what was said of it.
type toldKey struct {
	endpoint ids.EndpointID
	ref      ids.AdapterRef
	customer ids.CustomerID
}

type toldWork struct {
	requests int
	at       time.Time
}

func newModelQueue(d *Daemon, baseModel string, policy records.Policy) *modelQueue {
	config := fairqueue.DefaultConfig(policy)
	config.MaxItems = int(d.settings.Limits.MaxQueued)
	return &modelQueue{
		daemon:    d,
		baseModel: baseModel,
		policy:    policy,
		queue:     fairqueue.New(config),
		profile:   routing.ModelProfile(policy),
		kicked:    make(chan struct{}, 1),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waiters:   make(map[ids.RequestID]*waiter),
		asking:    make(map[peer.PinKey]bool),
		told:      make(map[toldKey]toldWork),
	}
}

// kick has the queue looked at soon.
func (q *modelQueue) kick() {
	select {
	case q.kicked <- struct{}{}:
	default:
	}
}

// wakeAdapter has the requests of an adapter version looked at soon.
func (q *modelQueue) wakeAdapter(ref ids.AdapterRef) {
	q.queue.Unpark(ref)
	q.kick()
}

// wait queues a request until an endpoint takes it.
func (q *modelQueue) wait(ctx context.Context, item fairqueue.Item, request *routing.Request) assignment {
	now := time.Now()
	w := &waiter{request: request, deadline: request.Deadline, assigned: make(chan assignment, 1)}
	margin := min(request.Deadline.Sub(now)/marginPart, maxDispatchMargin)
	item.Deadline = request.Deadline.Add(-margin)
	q.mu.Lock()
	q.waiters[item.ID] = w
	q.mu.Unlock()
	if refused := q.queue.Push(now, item); refused != nil {
		q.take(item.ID)
		return assignment{refusal: refusalOfQueue(refused)}
	}
	q.kick()
	select {
	case assigned := <-w.assigned:
		return assigned
	case <-ctx.Done():
	}
	if !q.queue.Cancel(item.ID) {
		// The request was handed out at the same moment.
		assigned := <-w.assigned
		if assigned.refusal == nil {
			q.daemon.release(assigned)
		}
	}
	q.take(item.ID)
	return assignment{refusal: callers.NotRun(inferencev1.Reason_REASON_DEADLINE, "the caller left or its deadline passed while the request was queued")}
}

func (q *modelQueue) take(id ids.RequestID) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.waiters[id]
	delete(q.waiters, id)
	return w
}

// run hands out requests until the daemon stops.
func (q *modelQueue) run(ctx context.Context) {
	ticker := time.NewTicker(queueTick)
	defer ticker.Stop()
	var toldAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.kicked:
		case <-ticker.C:
		}
		if q.queue.Len() == 0 {
			continue
		}
		now := time.Now()
		q.expire(now)
		q.handOut(now)
		if now.Sub(toldAt) >= demandEvery {
			toldAt = now
			q.tellDemand(now)
		}
	}
}

func (q *modelQueue) expire(now time.Time) {
	for _, item := range q.queue.Expire(now) {
		refusal := callers.NotRun(inferencev1.Reason_REASON_DEADLINE, "no engine could take the request before its deadline")
		refusal.RetryAfter = maxDispatchMargin
		q.take(item.ID).assigned <- assignment{refusal: refusal}
	}
}

// handOut gives all requests that can run to engines.
func (q *modelQueue) handOut(now time.Time) {
	failed := make(map[ids.AdapterRef]bool)
	for {
		item, ok := q.queue.Pop(now, func(ref ids.AdapterRef) bool {
			return !failed[ref] && q.canRun(now, ref)
		})
		if !ok {
			return
		}
		if !q.assign(now, item) {
			failed[item.Ref] = true
			q.queue.Requeue(item)
		}
	}
}

// canRun tells whether an engine with room holds the adapter version under a
// pin of this VM. Where only the pin is missing it asks for it.
func (q *modelQueue) canRun(now time.Time, ref ids.AdapterRef) bool {
	request := &routing.Request{
		Kind:      records.EndpointModel,
		Ref:       ref,
		BaseModel: q.baseModel,
		Deadline:  now.Add(q.daemon.settings.Timeouts.Request.Duration()),
	}
	var unpinned []routing.Candidate
	for _, candidate := range q.usable(now, request) {
		if candidate.Pinned {
			return true
		}
		unpinned = append(unpinned, candidate)
	}
	if len(unpinned) > 0 {
		picked, err := q.profile.Pick(request, unpinned, q.random)
		if err == nil {
			q.askPin(peer.PinKey{Endpoint: picked.Endpoint, Ref: ref})
		}
	}
	return false
}

// usable lists the candidates that pass the profile's filters.
func (q *modelQueue) usable(now time.Time, request *routing.Request) []routing.Candidate {
	var usable []routing.Candidate
	for _, candidate := range q.daemon.routes.Candidates(now, request) {
		if passes(q.profile, request, &candidate) {
			usable = append(usable, candidate)
		}
	}
	return usable
}

func passes(profile routing.Profile, request *routing.Request, candidate *routing.Candidate) bool {
	for _, filter := range profile.Filters {
		if !filter.Keep(request, candidate) {
			return false
		}
	}
	return true
}

// assign picks an endpoint for a request and begins it under its pin.
func (q *modelQueue) assign(now time.Time, item fairqueue.Item) bool {
	q.mu.Lock()
	w := q.waiters[item.ID]
	q.mu.Unlock()
	picked, ok := q.pick(now, w.request)
	if !ok {
		return false
	}
	pin := peer.PinKey{Endpoint: picked.Endpoint, Ref: item.Ref}
	if !q.daemon.holder.Begin(now, pin, w.deadline) {
		return false
	}
	q.daemon.routes.Begin(now, picked.Endpoint, w.request)
	q.daemon.planner.RecordUse(now, picked.Endpoint, item.Ref, 1)
	q.take(item.ID).assigned <- assignment{candidate: picked, pin: pin}
	return true
}

// pick takes a pinned candidate, one that was not tried before if there is one.
func (q *modelQueue) pick(now time.Time, request *routing.Request) (routing.Candidate, bool) {
	tried := *request
	for _, r := range []*routing.Request{request, &tried} {
		var pinned []routing.Candidate
		for _, candidate := range q.usable(now, r) {
			if candidate.Pinned {
				pinned = append(pinned, candidate)
			}
		}
		if picked, err := q.profile.Pick(r, pinned, q.random); err == nil {
			return picked, true
		}
		tried.Tried = nil
	}
	return routing.Candidate{}, false
}

// tellDemand tells the owners of engines which adapter versions requests wait
// for.
func (q *modelQueue) tellDemand(now time.Time) {
	told := make(map[ids.VMID][]peer.WaitingDemand)
	for _, demand := range q.queue.Demands(now) {
		full := q.isResident(demand.Ref)
		if full && demand.Oldest < replicaAfter {
			continue
		}
		endpoint, ok := q.daemon.planner.LoadTarget(now, demand.Ref, q.baseModel)
		if !ok {
			continue
		}
		owner, ok := q.daemon.ownerOf(endpoint)
		if !ok || owner != q.daemon.settings.VMID && !q.worthTelling(now, endpoint, demand) {
			continue
		}
		told[owner] = append(told[owner], peer.WaitingDemand{
			Endpoint:     endpoint,
			Ref:          demand.Ref,
			Customer:     demand.Customer,
			Requests:     demand.Requests,
			OldestMillis: demand.Oldest.Milliseconds(),
		})
	}
	for owner, work := range told {
		q.daemon.owner.tellWork(owner, work)
	}
}

// isResident tells whether some engine holds the adapter version.
func (q *modelQueue) isResident(ref ids.AdapterRef) bool {
	return slices.ContainsFunc(q.daemon.planner.Holders(ref.Adapter), func(h placement.Replica) bool { return h.Ref == ref })
}

// worthTelling tells whether demand is new to another VM: it was not told, it
// doubled, or it was told long ago. Messages to other VMs are kept few.
func (q *modelQueue) worthTelling(now time.Time, endpoint ids.EndpointID, demand fairqueue.Demand) bool {
	for key, told := range q.told {
		if now.Sub(told.at) >= tellAgain {
			delete(q.told, key)
		}
	}
	key := toldKey{endpoint: endpoint, ref: demand.Ref, customer: demand.Customer}
	if told, known := q.told[key]; known && demand.Requests < 2*told.requests {
		return false
	}
	q.told[key] = toldWork{requests: demand.Requests, at: now}
	return true
}

// askPin asks the owner of an endpoint for a pin, once at a time.
func (q *modelQueue) askPin(pin peer.PinKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.asking[pin] {
		return
	}
	q.asking[pin] = true
	q.daemon.spawn(func() {
		q.daemon.owner.acquirePins([]peer.PinKey{pin})
		if now := time.Now(); !q.daemon.holder.Covers(now, pin, now) {
			sleep(q.daemon.ctx, pinRetry)
		}
		q.mu.Lock()
		delete(q.asking, pin)
		q.mu.Unlock()
		q.wakeAdapter(pin.Ref)
	})
}

func refusalOfQueue(refused *fairqueue.Refusal) *callers.Refusal {
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
