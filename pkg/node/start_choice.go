package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/endpointload"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// unknownLinkPrompts is the delay of another data centre, in prompts that an
// engine reads meanwhile, until it is measured.
const unknownLinkPrompts = 0.5

// engineStarts is what this VM learned from the replies of engine owners.
type engineStarts struct {
	mu     sync.Mutex
	starts *endpointload.Starts
	links  *endpointload.Links
}

func newEngineStarts(dc ids.DataCentreID) *engineStarts {
	return &engineStarts{starts: endpointload.NewStarts(), links: endpointload.NewLinks(dc)}
}

// record records the reply of an owner about engines of a data centre.
func (s *engineStarts) record(now time.Time, group endpointload.Group, took time.Duration, reply prefillReply, probeOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if probeOnly || reply.Status == prefillGranted {
		s.links.Observe(now, group.DataCentre, took)
	}
	if reply.Loading {
		// The wait says nothing about requests for other adapters.
		return
	}
	switch reply.Status {
	case prefillGranted:
		s.starts.RecordGrant(reply.Endpoint)
	case prefillQueued, prefillRefused:
		s.starts.RecordWait(now, group.IDs(), reply.wait())
	}
}

func (s *engineStarts) prune(exists func(ids.EndpointID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts.Prune(exists)
}

// startGroups groups the engines that hold a request's adapter by data centre, the
// one where it can be expected to start first at the head.
func (n *Node) startGroups(now time.Time, p *requestState, holders []*serving.Endpoint) []endpointload.Group {
	perPrompt := n.firstByteEstimator.estimate(0)
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.engineStarts.mu.Lock()
	defer n.engineStarts.mu.Unlock()
	load := func(e *serving.Endpoint) float64 { return n.startLoad(now, p, e) }
	link := func(dc ids.DataCentreID) time.Duration { return n.linkLocked(now, dc, perPrompt) }
	return endpointload.MakeGroups(now, holders, load, perPrompt, n.engineStarts.starts, link)
}

// linkLocked returns how much longer than the own data centre another one is away.
// The caller holds engineStarts.mu.
func (n *Node) linkLocked(now time.Time, dc ids.DataCentreID, perPrompt time.Duration) time.Duration {
	return n.engineStarts.links.Extra(now, dc, time.Duration(unknownLinkPrompts*float64(perPrompt)))
}

// startReply is an owner's reply about a group of engines.
type startReply struct {
	prefillReply
	group endpointload.Group
	// endpoint is the engine that the reply is about, and grant the permission to
	// start there; it is empty unless Status is prefillGranted.
	endpoint *serving.Endpoint
	grant    prefillGrant
}

// waitForPrefill chooses the engine at which a request starts, among those that
// hold its adapter, and waits until its owner grants the start. Only the owners
// know the current queues, since the loads that VMs exchange arrive late. An owner
// is asked about all its engines at once.
func (n *Node) waitForPrefill(ctx context.Context, p *requestState, holders []*serving.Endpoint) (*serving.Endpoint, *refusal) {
	asked := time.Now()
	defer func() { p.prefillWait += time.Since(asked) }()
	groups := n.startGroups(asked, p, holders)
	if len(groups) == 0 {
		return nil, refuseNoEndpoint()
	}
	p.refusedBy = ""
	// At random, since the request may come back to another VM with the same id.
	p.startAttempt = max(rand.Uint64(), 1)
	replies := []startReply{n.askOwner(ctx, p, groups[0], len(groups) > 1)}
	switch replies[0].Status {
	case prefillQueued:
		replies = append(replies, n.askSideBySide(ctx, p, endpointload.Closer(groups[1:], replies[0].wait()))...)
	case prefillRefused:
		p.refusedBy = groups[0].DataCentre
		replies = append(replies, n.askSideBySide(ctx, p, groups[1:])...)
	}
	p.ownersAsked = len(replies)
	best := n.bestStart(time.Now(), replies)
	for i, reply := range replies {
		if i != best && reply.Status == prefillGranted {
			n.metrics.unusedGrants.Inc(1)
			n.releaseGrant(&reply.grant, false)
		}
	}
	if best >= 0 && replies[best].Status == prefillGranted {
		p.prefillGrant = replies[best].grant
		return replies[best].endpoint, nil
	}
	var refused *refusal
	for _, reply := range replies {
		switch reply.Status {
		case prefillNotOwner:
			if refused = n.refuseIfOverloaded(time.Now(), p, reply.endpoint); refused == nil {
				return reply.endpoint, nil
			}
		case prefillRefused:
			if refused == nil || reply.wait() < refused.retryAfter {
				refused = refuseBusy(reply.wait(), "engines overloaded")
			}
		}
	}
	if best < 0 {
		return nil, refused
	}
	return n.queueForStart(ctx, p, replies[best])
}

// bestStart returns the index of the reply to follow; -1 if none grants or queues
// the request.
func (n *Node) bestStart(now time.Time, replies []startReply) int {
	perPrompt := n.firstByteEstimator.estimate(0)
	n.engineStarts.mu.Lock()
	defer n.engineStarts.mu.Unlock()
	list := make([]endpointload.Reply, len(replies))
	for i, reply := range replies {
		list[i] = endpointload.Reply{
			Granted: reply.Status == prefillGranted, Queued: reply.Status == prefillQueued,
			Wait: reply.wait(), FirstEvent: time.Duration(reply.FirstEventMs) * time.Millisecond, Link: n.linkLocked(now, reply.group.DataCentre, perPrompt),
		}
	}
	return endpointload.Best(list)
}

// askSideBySide asks several owners at the same time whether a request may start
// at once, and returns their replies.
func (n *Node) askSideBySide(ctx context.Context, p *requestState, groups []endpointload.Group) []startReply {
	replies := make([]startReply, len(groups))
	var asked sync.WaitGroup
	for i, group := range groups {
		asked.Go(func() {
			err := protect("ask engine owner", func() error {
				replies[i] = n.askOwner(ctx, p, group, true)
				return nil
			})
			if err != nil {
				replies[i] = startReply{prefillReply: prefillReply{Status: prefillRefused, WaitMs: retryNoEndpoint.Milliseconds()}, group: group}
				n.logWarning("engine owner not asked", err, fields{"request": p.request.ID, "dataCentre": group.DataCentre})
			}
		})
	}
	asked.Wait()
	return replies
}

// queueForStart queues a request at the owner that gave a reply, until it grants or
// refuses the start.
func (n *Node) queueForStart(ctx context.Context, p *requestState, reply startReply) (*serving.Endpoint, *refusal) {
	for ctx.Err() == nil {
		accepting, others := n.splitAccepting(reply.group.Engines, p.request.AdapterKey())
		if len(others) > 0 {
			n.leavePrefillQueue(p, reply.group.DataCentre, others)
			reply.group.Engines = accepting
		}
		if len(accepting) == 0 {
			// The caller of this function chooses again.
			return reply.endpoint, nil
		}
		// The engine at which the request is queued is the one the owner tries first.
		reply.group.Engines = firstOf(accepting, reply.endpoint)
		reply = n.askOwner(ctx, p, reply.group, false)
		switch reply.Status {
		case prefillGranted:
			p.prefillGrant = reply.grant
			return reply.endpoint, nil
		case prefillNotOwner:
			return reply.endpoint, n.refuseIfOverloaded(time.Now(), p, reply.endpoint)
		case prefillRefused:
			return nil, refuseBusy(reply.wait(), "engines overloaded")
		}
	}
	return nil, refuseDeadline()
}

// firstOf returns the endpoints with the given one, if it is among them, at the
// head.
func firstOf(endpoints []*serving.Endpoint, first *serving.Endpoint) []*serving.Endpoint {
	var head, rest []*serving.Endpoint
	for _, e := range endpoints {
		if e.ID == first.ID {
			head = append(head, e)
		} else {
			rest = append(rest, e)
		}
	}
	return append(head, rest...)
}

// splitAccepting separates the endpoints that still take requests for an adapter from the
// others.
func (n *Node) splitAccepting(endpoints []*serving.Endpoint, key serving.AdapterKey) (accepting []*serving.Endpoint, others []ids.EndpointID) {
	for _, e := range endpoints {
		if n.accepts(e) && !n.outdated(e, key) {
			accepting = append(accepting, e)
		} else {
			others = append(others, e.ID)
		}
	}
	return accepting, others
}

// leavePrefillQueue takes a request out of the queues of engines.
func (n *Node) leavePrefillQueue(p *requestState, dc ids.DataCentreID, engines []ids.EndpointID) {
	n.membersMu.Lock()
	engineOwner, _ := n.authority.Holder(dc)
	n.membersMu.Unlock()
	n.releaseGrant(&prefillGrant{engineOwner: engineOwner, endpoint: engines[0], candidates: engines, request: p.request.ID, attempt: p.startAttempt}, false)
}

// askOwner asks the owner of engines for permission to start a request at one of
// them. An owner that is unknown or does not answer counts as no owner: it only
// smooths the load, so the request need not wait for it. p is not changed.
func (n *Node) askOwner(ctx context.Context, p *requestState, group endpointload.Group, probeOnly bool) startReply {
	now := time.Now()
	result := startReply{prefillReply: prefillReply{Status: prefillNotOwner}, group: group, endpoint: group.Engines[0]}
	n.membersMu.Lock()
	engineOwner, known := n.authority.Holder(group.DataCentre)
	n.membersMu.Unlock()
	if !known || n.unresponsiveOwners.isBackedOff(now, engineOwner) {
		return result
	}
	objective := p.request.Route.Objective
	limit := p.searchBegan.Add(time.Duration(prefillWaitFactor * float64(max(objective, minAdapterWait))))
	onTime := p.searchBegan.Add(objective)
	if objective <= 0 {
		onTime = limit
	}
	if p.besideSend {
		limit = now
	}
	grant := prefillGrant{engineOwner: engineOwner, endpoint: group.Engines[0].ID, candidates: group.IDs(), request: p.request.ID, attempt: p.startAttempt}
	reply, err := n.callPrefill(ctx, engineOwner, prefillRequest{
		Endpoint: grant.endpoint, Candidates: grant.candidates, Adapter: p.request.AdapterKey(),
		Request: p.request.ID, Attempt: p.startAttempt, Urgency: p.request.Urgency, Now: probeOnly, RefusedElsewhere: p.refusedBy != "" && p.refusedBy != group.DataCentre,
		AgeMs:     now.Sub(p.request.Arrived).Milliseconds(),
		OnTimeMs:  onTime.Sub(now).Milliseconds(),
		MaxWaitMs: limit.Sub(now).Milliseconds(), ObjectiveMs: objective.Milliseconds(),
		PromptTokens: p.request.PromptTokens, OutputTokens: p.request.MaxOutputTokens, PauseMs: p.request.Route.PauseObjective.Milliseconds(), Customer: p.customerID(),
	})
	switch {
	case ctx.Err() != nil:
		n.releaseGrant(&grant, false)
		result.Status = prefillRefused
		return result
	case err != nil:
		if !errors.Is(err, peers.ErrUnreachable) && !errors.Is(err, peers.ErrUnknownPeer) {
			// The owner may have queued or granted the request, which starts without it.
			n.releaseGrant(&grant, false)
		}
		n.unresponsiveOwners.backOffUntil(engineOwner, now.Add(unresponsiveOwnerBackoff))
		n.countPeerFailure(engineOwner, err)
		return result
	}
	for _, e := range group.Engines {
		if e.ID == reply.Endpoint {
			result.endpoint = e
		}
	}
	reply.Endpoint = result.endpoint.ID
	result.prefillReply = reply
	if reply.Status == prefillGranted {
		result.grant = prefillGrant{engineOwner: engineOwner, endpoint: reply.Endpoint, request: p.request.ID, attempt: p.startAttempt, grantedAt: time.Now(), objective: objective}
	}
	n.engineStarts.record(time.Now(), group, time.Since(now), reply, probeOnly)
	return result
}

func (n *Node) callPrefill(ctx context.Context, engineOwner ids.VMID, request prefillRequest) (prefillReply, error) {
	if engineOwner == n.settings.Self() {
		return n.engineOwner.admitAmong(ctx, request), nil
	}
	return peers.Call[prefillReply](ctx, n.peers, engineOwner, methodPrefill, prefillPollTime+prefillReplyMargin, request)
}
