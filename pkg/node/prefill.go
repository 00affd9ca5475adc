package node

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/room"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// Parameters for asking an engine's owner before a request starts there.
const (
	// prefillPollTime is how long an owner holds a request that it cannot grant
	// or refuse yet, and prefillReplyMargin how much longer its reply may take.
	// An owner that takes longer may be gone, and requests then start without
	// it.
	prefillPollTime    = 200 * time.Millisecond
	prefillReplyMargin = 100 * time.Millisecond
	// unresponsiveOwnerBackoff is how long an owner that did not answer is not
	// asked again.
	unresponsiveOwnerBackoff = time.Second
	// prefillWaitFactor is the multiple of the route's objective after which a
	// request that has not started is refused.
	prefillWaitFactor  = 1.3
	prefillDoneTimeout = 500 * time.Millisecond
	// maxStatedTokens bounds what a request may state, as no engine holds more.
	maxStatedTokens = 1 << 30
)

// prefillRequest asks the owner of an engine whether a request may start there,
// that is whether the engine may process its prompt now.
type prefillRequest struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	Request  ids.RequestID  `json:"request"`
	// Attempt identifies the search of the VM for an endpoint; 0 from older versions.
	Attempt uint64 `json:"attempt,omitempty"`
	Urgency int    `json:"urgency"`
	// AgeMs is the time since the request arrived, OnTimeMs the time left until
	// its first token would be late, and MaxWaitMs how long it may wait.
	AgeMs     int64 `json:"age"`
	OnTimeMs  int64 `json:"onTime"`
	MaxWaitMs int64 `json:"limit"`
	// PromptTokens and OutputTokens are the counts that the caller stated; 0 if it did
	// not. PauseMs is the route's objective for pauses; 0 if it has none.
	PromptTokens int64 `json:"prompt,omitempty"`
	OutputTokens int64 `json:"output,omitempty"`
	PauseMs      int64 `json:"pause,omitempty"`
	// Customer orders requests of the same urgency by their recent grants.
	Customer ids.CustomerID `json:"customer,omitempty"`
	// ObjectiveMs is the objective of the request's route.
	ObjectiveMs int64 `json:"objective,omitempty"`
	// Now asks for the expected wait without queueing the request.
	Now bool `json:"now,omitempty"`
	// RefusedElsewhere is set if another owner has just refused the request, which counts
	// it there.
	RefusedElsewhere bool `json:"elsewhere,omitempty"`
	// Candidates are the engines of the same owner at which the request may start,
	// Endpoint among them. Without any, it may start at Endpoint only. Adapter is the
	// one that they hold as the sender knows.
	Candidates []ids.EndpointID   `json:"candidates,omitempty"`
	Adapter    serving.AdapterKey `json:"adapter,omitzero"`
}

// toRoom returns the request as the ledger of an engine takes it.
func (r prefillRequest) toRoom(now time.Time) room.Request {
	fromNow := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	return room.Request{
		ID: r.Request, Attempt: r.Attempt, Urgency: r.Urgency, Arrived: fromNow(-r.AgeMs),
		Customer: r.Customer, PromptTokens: min(max(r.PromptTokens, 0), maxStatedTokens), OutputTokens: min(max(r.OutputTokens, 0), maxStatedTokens), PauseObjective: time.Duration(r.PauseMs) * time.Millisecond,
		FirstTokenDue: fromNow(r.OnTimeMs), StartDeadline: fromNow(r.MaxWaitMs), NoQueue: r.Now, RefusedElsewhere: r.RefusedElsewhere,
	}
}

type prefillStatus string

const (
	prefillGranted  prefillStatus = "granted"
	prefillQueued   prefillStatus = "queued"
	prefillRefused  prefillStatus = "refused"
	prefillNotOwner prefillStatus = "not owner"
)

type prefillReply struct {
	Status prefillStatus `json:"status"`
	// Endpoint is the candidate that the reply is about; empty for Endpoint of the
	// request.
	Endpoint ids.EndpointID `json:"endpoint,omitempty"`
	// Loading is set if the request waits for the load of its adapter.
	Loading bool `json:"loading,omitempty"`
	// WaitMs is the estimated time until the request can start, and FirstEventMs the
	// estimated time from then to its first event; 0 if it is not known.
	WaitMs       int64 `json:"wait,omitempty"`
	FirstEventMs int64 `json:"firstEvent,omitempty"`

	// takenBack is set if the request was taken back while it was queued. The owner does
	// not try it again; a VM that still wants it, whose message was late, asks again.
	takenBack bool
}

func (r prefillReply) wait() time.Duration { return time.Duration(r.WaitMs) * time.Millisecond }

// prefillDoneRequest tells the owner that a request's first token has arrived,
// or that the request ended without one.
type prefillDoneRequest struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	Request  ids.RequestID  `json:"request"`
	// Attempt is that of the prefillRequest.
	Attempt uint64 `json:"attempt,omitempty"`
	Started bool   `json:"started"`
	// Candidates are the engines at which the request may be queued or granted, if
	// its sender does not know at which.
	Candidates []ids.EndpointID `json:"candidates,omitempty"`
	// TookMs is the time from the grant to the first token, or to the end, and
	// ObjectiveMs the objective of the request's route; 0 from older versions.
	TookMs      int64 `json:"took,omitempty"`
	ObjectiveMs int64 `json:"objective,omitempty"`
	// Load is what the engine said of its load in the answer that has begun, if it
	// did.
	Load *ReportedLoad `json:"load,omitempty"`
}

type prefillDoneReply struct{}

// unresponsiveVMs records the VMs that recently did not answer.
type unresponsiveVMs struct {
	mu    sync.Mutex
	until map[ids.VMID]time.Time
}

func (s *unresponsiveVMs) backOffUntil(vm ids.VMID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[ids.VMID]time.Time)
	}
	s.until[vm] = until
}

func (s *unresponsiveVMs) isBackedOff(now time.Time, vm ids.VMID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[vm])
}

// customerID returns the customer of a request; empty if it has none.
func (p *requestState) customerID() ids.CustomerID {
	if p.request.Customer == nil {
		return ""
	}
	return p.request.Customer.ID
}

// prefillGrant is the permission of an engine's owner to start a request there.
type prefillGrant struct {
	engineOwner ids.VMID
	endpoint    ids.EndpointID
	request     ids.RequestID
	attempt     uint64
	// candidates are set instead of endpoint if the owner may have granted the start
	// at any of them.
	candidates []ids.EndpointID
	grantedAt  time.Time
	objective  time.Duration
	// load is what the engine said of its load, once its answer has begun.
	load *ReportedLoad
}

// releaseGrant tells the owner that gave a grant whether the request's first
// token arrived or the request ended without one. It ignores an empty grant,
// which includes one that was already released.
func (n *Node) releaseGrant(g *prefillGrant, prefillDone bool) {
	ended := *g
	*g = prefillGrant{}
	if ended.engineOwner == "" {
		return
	}
	request := prefillDoneRequest{Endpoint: ended.endpoint, Request: ended.request, Attempt: ended.attempt, Candidates: ended.candidates, Started: prefillDone, Load: ended.load}
	if ended.objective > 0 {
		request.TookMs, request.ObjectiveMs = time.Since(ended.grantedAt).Milliseconds(), ended.objective.Milliseconds()
	}
	if ended.engineOwner == n.settings.Self() {
		n.engineOwner.prefillDoneAt(request)
		return
	}
	// This goroutine isn't one of n.workers: a request that is aborted at the
	// end of the grace time may get here while the VM already waits for them.
	go func() {
		if _, err := peers.Call[prefillDoneReply](n.ctx, n.peers, ended.engineOwner, methodPrefillDone, prefillDoneTimeout, request); err != nil {
			n.countPeerFailure(ended.engineOwner, err)
		}
	}()
}

func (n *Node) handlePrefill(ctx context.Context, _ peers.Sender, request prefillRequest) (prefillReply, error) {
	return n.engineOwner.admitAmong(ctx, request), nil
}

func (n *Node) handlePrefillDone(_ context.Context, _ peers.Sender, request prefillDoneRequest) (prefillDoneReply, error) {
	n.engineOwner.prefillDoneAt(request)
	return prefillDoneReply{}, nil
}

// admitPrefill decides whether a request may start at an owned engine. A
// request that is queued waits here for up to prefillPollTime.
func (o *engineOwner) admitPrefill(ctx context.Context, request prefillRequest) prefillReply {
	if reply, held := o.awaitPace(ctx, request); held {
		return reply
	}
	now := time.Now()
	o.mu.Lock()
	e := o.engines[request.Endpoint]
	if e == nil {
		o.mu.Unlock()
		return prefillReply{Status: prefillNotOwner}
	}
	// A withdrawal that is not seen here finds the grant in the ledger.
	if isWithdrawn(ctx) {
		o.mu.Unlock()
		return prefillReply{Status: prefillQueued, takenBack: true}
	}
	began := !e.room.Prefilling(request.Request)
	decision, estimate := e.room.Admit(now, request.toRoom(now))
	if decision == room.Granted && began {
		o.pace.Started(now, request.Endpoint)
	}
	if decision != room.Queued || request.Now {
		o.mu.Unlock()
		return o.roomReply(request, decision, estimate)
	}
	waiter := make(chan room.Decision, 1)
	e.prefillWaiters[request.Request] = waiter
	o.mu.Unlock()
	timer := time.NewTimer(min(prefillPollTime, max(time.Duration(request.MaxWaitMs)*time.Millisecond, 0)+time.Millisecond))
	defer timer.Stop()
	select {
	case decision = <-waiter:
		reply := o.roomReply(request, decision, estimate)
		reply.takenBack = decision == room.Queued
		return reply
	case <-timer.C:
		decision = o.endWait(request.Endpoint, request.Request, waiter, decision)
	case <-ctx.Done():
		decision = o.endWait(request.Endpoint, request.Request, waiter, decision)
	}
	return o.roomReply(request, decision, estimate)
}

// endWait removes a waiter that is not read any more, and returns the decision that
// arrived meanwhile, or else the given one.
func (o *engineOwner) endWait(id ids.EndpointID, request ids.RequestID, waiter chan room.Decision, decision room.Decision) room.Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.engines[id]; e != nil && e.prefillWaiters[request] == waiter {
		delete(e.prefillWaiters, request)
	}
	select {
	case decision = <-waiter:
	default:
	}
	return decision
}

func prefillReplyFor(decision room.Decision, estimate room.Estimate) prefillReply {
	reply := prefillReply{Status: prefillQueued, WaitMs: estimate.Wait.Milliseconds(), FirstEventMs: estimate.FirstEvent.Milliseconds()}
	switch decision {
	case room.Granted:
		reply.Status, reply.WaitMs = prefillGranted, 0
	case room.Refused:
		reply.Status = prefillRefused
	}
	return reply
}

// prefillDone records that the engine no longer processes a request's prompt,
// and lets the next request start.
func (o *engineOwner) prefillDone(request prefillDoneRequest) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.engines[request.Endpoint]; e != nil {
		o.recordPace(now, e, request)
		if request.Load != nil {
			e.room.SetSlowdown(now, request.Load.Slowdown)
		}
		superseded := e.room.Superseded(request.Request, request.Attempt)
		if !superseded {
			e.room.EndPrefill(now, request.Request, request.Started)
		}
		if request.Load != nil {
			e.room.SetLoad(now, request.Load.Running, request.Load.Waiting)
		}
		if waiter := e.prefillWaiters[request.Request]; waiter != nil && !superseded {
			// Its VM takes it back while it waits here.
			waiter <- room.Queued
			delete(e.prefillWaiters, request.Request)
		}
		o.notifyWaiters(now, e)
	}
}

// notifyWaiters wakes the queued requests that may start now or that have to be
// refused. The caller holds engineOwner.mu.
func (o *engineOwner) notifyWaiters(now time.Time, e *engine) {
	granted, refused := e.room.Dequeue(now)
	for range granted {
		o.pace.Started(now, e.endpoint.ID)
	}
	notify := func(list []ids.RequestID, decision room.Decision) {
		for _, id := range list {
			if waiter := e.prefillWaiters[id]; waiter != nil {
				waiter <- decision
				delete(e.prefillWaiters, id)
			}
		}
	}
	notify(granted, room.Granted)
	notify(refused, room.Refused)
}
