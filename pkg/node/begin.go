package node

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/prompts"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// Figures of asking an engine's owner before a request begins.
const (
	// beginPoll is how long the owner holds a question that it cannot answer
	// yet, and beginSlack what its answer may take beyond that. An owner that
	// takes longer may be gone, and requests go on without it.
	beginPoll  = 200 * time.Millisecond
	beginSlack = 100 * time.Millisecond
	// beginPause is how long an owner that did not answer is not asked.
	beginPause = time.Second
	// beginLimit is the multiple of the objective at which a request that has
	// not begun is refused.
	beginLimit   = 1.3
	startedLimit = 500 * time.Millisecond
)

// beginRequest asks the owner of an engine whether a request may begin there.
type beginRequest struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	Request  ids.RequestID  `json:"request"`
	Urgency  int            `json:"urgency"`
	// AgeMs is the time since the request arrived, OnTimeMs how long its
	// first token is still on time, and LimitMs how long it may wait.
	AgeMs    int64 `json:"age"`
	OnTimeMs int64 `json:"onTime"`
	LimitMs  int64 `json:"limit"`
	// Now is set to learn the wait without being queued.
	Now bool `json:"now,omitempty"`
}

type beginStatus string

const (
	beginGranted  beginStatus = "granted"
	beginQueued   beginStatus = "queued"
	beginRefused  beginStatus = "refused"
	beginNotOwner beginStatus = "not owner"
)

type beginReply struct {
	Status beginStatus `json:"status"`
	// WaitMs is the time after which the request can begin.
	WaitMs int64 `json:"wait,omitempty"`
}

func (r beginReply) wait() time.Duration { return time.Duration(r.WaitMs) * time.Millisecond }

// startedRequest tells the owner that a request has its first token, or that it
// ended without one.
type startedRequest struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	Request  ids.RequestID  `json:"request"`
	Started  bool           `json:"started"`
}

type startedReply struct{}

// silentOwners remembers the owners that did not answer lately.
type silentOwners struct {
	mu    sync.Mutex
	until map[ids.VMID]time.Time
}

func (s *silentOwners) set(owner ids.VMID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[ids.VMID]time.Time)
	}
	s.until[owner] = until
}

func (s *silentOwners) has(now time.Time, owner ids.VMID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[owner])
}

// maxQuestions bounds the engines that are asked whether a request may begin at
// once before it is queued at one of them.
const maxQuestions = 3

// beginAt finds the engine at which a request begins among those that hold its
// adapter, and waits for its turn there. The owners know the queues, while the
// loads that VMs tell each other are late; so a few are asked before the request
// is queued where it waits the least.
func (n *Node) beginAt(ctx context.Context, p *progress, holders []*serving.Endpoint) (*serving.Endpoint, *refusal) {
	asked := time.Now()
	defer func() { p.turnWait += time.Since(asked) }()
	crowded := make(map[ids.EndpointID]bool)
	var best *serving.Endpoint
	var least time.Duration
	refused := refuseNoEndpoint()
	for len(crowded) < min(maxQuestions, len(holders)) {
		e := n.pick(time.Now(), without(holders, crowded), p.salt)
		crowded[e.ID] = true
		turn := n.ask(ctx, p, e, len(holders) > 1)
		switch turn.Status {
		case beginGranted:
			return e, nil
		case beginNotOwner:
			return e, n.overload(time.Now(), p, e)
		case beginRefused:
			refused = refuseBusy(turn.wait(), "engines overloaded")
		case beginQueued:
			if best == nil || turn.wait() < least {
				best, least = e, turn.wait()
			}
		}
	}
	if best == nil {
		return nil, refused
	}
	for ctx.Err() == nil {
		switch turn := n.ask(ctx, p, best, false); turn.Status {
		case beginGranted:
			return best, nil
		case beginNotOwner:
			return best, n.overload(time.Now(), p, best)
		case beginRefused:
			return nil, refuseBusy(turn.wait(), "engines overloaded")
		}
	}
	return nil, refuseTime()
}

// without returns the endpoints that are not excluded.
func without(endpoints []*serving.Endpoint, excluded map[ids.EndpointID]bool) []*serving.Endpoint {
	var left []*serving.Endpoint
	for _, e := range endpoints {
		if !excluded[e.ID] {
			left = append(left, e)
		}
	}
	return left
}

// ask asks the owner of an engine for a request's turn. An owner that is not
// known or does not answer is taken for none: it only smooths the load.
func (n *Node) ask(ctx context.Context, p *progress, e *serving.Endpoint, question bool) beginReply {
	now := time.Now()
	n.membersMu.Lock()
	owner, known := n.authority.Holder(e.DataCentre)
	n.membersMu.Unlock()
	if !known || n.silentOwners.has(now, owner) {
		return beginReply{Status: beginNotOwner}
	}
	objective := p.request.Route.Objective
	limit := p.request.Arrived.Add(time.Duration(beginLimit * float64(max(objective, minHold))))
	reply, err := n.askBegin(ctx, owner, beginRequest{
		Endpoint: e.ID, Request: p.request.ID, Urgency: p.request.Urgency, Now: question,
		AgeMs:    now.Sub(p.request.Arrived).Milliseconds(),
		OnTimeMs: p.request.Arrived.Add(objective).Sub(now).Milliseconds(),
		LimitMs:  limit.Sub(now).Milliseconds(),
	})
	grant := grant{owner: owner, endpoint: e.ID, request: p.request.ID}
	switch {
	case ctx.Err() != nil:
		n.endGrant(&grant, false)
		return beginReply{Status: beginRefused}
	case err != nil:
		n.silentOwners.set(owner, now.Add(beginPause))
		n.countPeerFailure(owner, err)
		return beginReply{Status: beginNotOwner}
	case reply.Status == beginGranted:
		p.grant = grant
	}
	return reply
}

func (n *Node) askBegin(ctx context.Context, owner ids.VMID, request beginRequest) (beginReply, error) {
	if owner == n.settings.Self() {
		return n.owner.begin(ctx, request), nil
	}
	return peers.Call[beginReply](ctx, n.peers, owner, methodBegin, beginPoll+beginSlack, request)
}

// grant is the word of an engine's owner that a request may begin there.
type grant struct {
	owner    ids.VMID
	endpoint ids.EndpointID
	request  ids.RequestID
}

// endGrant tells the owner that granted a request's begin of its first token or
// its end. An empty grant, as one that was ended before, is ignored.
func (n *Node) endGrant(g *grant, started bool) {
	ended := *g
	*g = grant{}
	if ended.owner == "" {
		return
	}
	request := startedRequest{Endpoint: ended.endpoint, Request: ended.request, Started: started}
	if ended.owner == n.settings.Self() {
		n.owner.started(request)
		return
	}
	// A request that is cut at the end of the grace time may get here while the
	// VM waits for its workers, so this is none of them.
	go func() {
		if _, err := peers.Call[startedReply](n.ctx, n.peers, ended.owner, methodStarted, startedLimit, request); err != nil {
			n.countPeerFailure(ended.owner, err)
		}
	}()
}

func (n *Node) handleBegin(ctx context.Context, _ peers.From, request beginRequest) (beginReply, error) {
	return n.owner.begin(ctx, request), nil
}

func (n *Node) handleStarted(_ context.Context, _ peers.From, request startedRequest) (startedReply, error) {
	n.owner.started(request)
	return startedReply{}, nil
}

// begin decides whether a request may begin at an owned engine, and waits a
// moment for its turn.
func (o *owner) begin(ctx context.Context, request beginRequest) beginReply {
	now := time.Now()
	after := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	o.mu.Lock()
	e := o.engines[request.Endpoint]
	if e == nil {
		o.mu.Unlock()
		return beginReply{Status: beginNotOwner}
	}
	decision, wait := e.gate.Admit(now, prompts.Request{
		ID: request.Request, Urgency: request.Urgency, Arrived: after(-request.AgeMs),
		OnTime: after(request.OnTimeMs), Limit: after(request.LimitMs), Now: request.Now,
	})
	if decision != prompts.Queued || request.Now {
		o.mu.Unlock()
		return decided(decision, wait)
	}
	turn := make(chan prompts.Decision, 1)
	e.turns[request.Request] = turn
	o.mu.Unlock()
	timer := time.NewTimer(min(beginPoll, max(time.Duration(request.LimitMs)*time.Millisecond, 0)+time.Millisecond))
	defer timer.Stop()
	select {
	case decision = <-turn:
	case <-timer.C:
	case <-ctx.Done():
	}
	return decided(decision, wait)
}

func decided(decision prompts.Decision, wait time.Duration) beginReply {
	switch decision {
	case prompts.Granted:
		return beginReply{Status: beginGranted}
	case prompts.Refused:
		return beginReply{Status: beginRefused, WaitMs: wait.Milliseconds()}
	}
	return beginReply{Status: beginQueued, WaitMs: wait.Milliseconds()}
}

// started ends the reading of a request's prompt and lets the next begin.
func (o *owner) started(request startedRequest) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.engines[request.Endpoint]; e != nil {
		e.gate.EndPrefill(now, request.Request, request.Started)
		delete(e.turns, request.Request)
		e.nextTurns(now)
	}
}

// nextTurns tells the requests that begin now, or that cannot. The caller holds
// the owner's mu.
func (e *engine) nextTurns(now time.Time) {
	granted, refused := e.gate.Dequeue(now)
	tell := func(list []ids.RequestID, decision prompts.Decision) {
		for _, id := range list {
			if turn := e.turns[id]; turn != nil {
				turn <- decision
				delete(e.turns, id)
			}
		}
	}
	tell(granted, prompts.Granted)
	tell(refused, prompts.Refused)
}
