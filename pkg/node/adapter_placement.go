package node

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// Parameters for choosing the engines that hold and serve adapters.
const (
	// homeCandidates is the number of engines, taken in the adapter's hash
	// order, among which the least loaded one loads it. Three even out the
	// load, and VMs with different views still mostly choose the same engine.
	homeCandidates = 3
	// copyLoadThreshold is how much more load than the least loaded engine the
	// engines with an adapter must carry before another engine gets a copy.
	copyLoadThreshold = 4.0
	// copyInterval is the interval in which one VM requests at most one copy of
	// an adapter.
	copyInterval = 1500 * time.Millisecond
	// copyMinRequests is the number of requests at one VM within copyInterval
	// from which a copy is worth its load. Below it, the weight store is left
	// to adapters that no engine has.
	copyMinRequests = 3
	// ensureReplyMargin is added to the wait time to get the timeout of an
	// ensure call to an owner.
	ensureReplyMargin = 100 * time.Millisecond
	// placementRetryInterval is the pause before the engines are examined
	// again.
	placementRetryInterval = 20 * time.Millisecond
)

// versionGraceShare is the share of Bounds.OldVersionGracePeriod for which an older
// version is still used while the newer one loads.
const versionGraceShare = 0.4

// chooseEngine returns an engine that holds the request's adapter. It has the
// adapter loaded if necessary, and refuses the request if that cannot be done
// in time.
func (n *Node) chooseEngine(ctx context.Context, p *requestState) (*serving.Endpoint, *refusal) {
	limit := p.searchBegan.Add(n.maxAdapterWait(p.request))
	if p.besideSend {
		limit = time.Now()
	}
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return nil, refuseDeadline()
		}
		view := n.directory.View()
		endpoints := n.eligible(view, p)
		if len(endpoints) == 0 {
			return nil, n.refuseUnplaced(p, refuseNoEndpoint())
		}
		minVersion := n.declared.minVersion(now, p.request.AdapterKey())
		if p.deniedBy != nil {
			deniedBy := p.deniedBy
			p.deniedBy = nil
			if refused := n.followDenial(ctx, p, deniedBy, endpoints, minVersion, limit); refused != nil {
				return nil, refused
			}
		}
		holders, soon := n.holders(now, endpoints, p.request.AdapterKey(), minVersion)
		if len(holders) > 0 {
			if !p.besideSend {
				n.requestCopyIfUneven(now, p, n.pickLeastLoaded(now, holders, p.pickSalt), endpoints)
			}
			engine, refused := n.waitForPrefill(ctx, p, holders)
			if refused == nil && n.outdated(engine, p.request.AdapterKey()) {
				n.releaseGrant(&p.prefillGrant, false)
				continue
			}
			return engine, refused
		}
		if !now.Before(limit) {
			return nil, refuseBusy(retryAfterBusy, "adapter not loaded in time")
		}
		if !soon.IsZero() {
			sleep(ctx, min(max(soon.Sub(now), time.Millisecond), placementRetryInterval))
			continue
		}
		if refused := n.ensureAtHomeEngine(ctx, p, endpoints, minVersion, limit); refused != nil {
			return nil, refused
		}
	}
}

// outdated reports whether an engine holds an adapter in a version on which no request may
// begin any more.
func (n *Node) outdated(e *serving.Endpoint, key serving.AdapterKey) bool {
	held, found := n.adapterIndex.find(e.ID, key, 0)
	return found && held.Version < n.declared.minVersion(time.Now(), key)
}

// followDenial tells the owner of an engine that it denied having the adapter. The
// request waits for the load's end there unless another engine holds the adapter.
func (n *Node) followDenial(ctx context.Context, p *requestState, deniedBy *serving.Endpoint, endpoints []*serving.Endpoint, minVersion ids.AdapterVersion, limit time.Time) *refusal {
	now := time.Now()
	if others, _ := n.holders(now, endpoints, p.request.AdapterKey(), minVersion); len(others) > 0 {
		request := ensureRequest{
			Endpoint: deniedBy.ID, Key: p.request.AdapterKey(), Version: max(minVersion, n.declared.newest(p.request.AdapterKey())),
			Urgency: p.request.Urgency, WaitMs: max(time.Until(limit), minAdapterWait).Milliseconds(), Missing: true,
		}
		go func() {
			reply, err := n.ensure(n.ctx, deniedBy, request)
			if err == nil && reply.Status == ensureResident {
				n.adapterIndex.recordConfirmed(time.Now(), request.Endpoint, request.Key, reply.Version)
			}
		}()
		return nil
	}
	// The load has begun and is likely to end soon: a caller that is refused now
	// would come back for an adapter that is there.
	limit = p.searchBegan.Add(denialWaitFactor * n.maxAdapterWait(p.request))
	if !now.Before(limit) && !p.responseStarted {
		return refuseBusy(retryAfterBusy, "adapter not loaded in time")
	}
	return n.ensureAtEngine(ctx, p, deniedBy, true, minVersion, limit)
}

// maxAdapterWait returns how long a request may wait for its adapter. After
// that, a caller that retries is served sooner than one that keeps waiting.
func (n *Node) maxAdapterWait(r *serving.Request) time.Duration {
	return max(r.Route.Objective, minAdapterWait)
}

const minAdapterWait = 500 * time.Millisecond

// awaitRetryBudgetForLoad spends one repeated send for a request whose adapter an engine
// denied having, and reports whether the budget allowed it. The request waits for the
// load in any case, so it waits for the budget too, up to the same limit: rejected sends
// count for the operators' limit on repeats.
func (n *Node) awaitRetryBudgetForLoad(ctx context.Context, p *requestState) bool {
	limit := p.searchBegan.Add(denialWaitFactor * n.maxAdapterWait(p.request))
	for !n.takeRetryBudget(p) {
		if ctx.Err() != nil || !time.Now().Before(limit) {
			return false
		}
		sleep(ctx, placementRetryInterval)
	}
	return true
}

// denialWaitFactor is how many times maxAdapterWait a request may wait for a load
// that takes longer than its engine's owner expected.
const denialWaitFactor = 2

// eligible returns the endpoints of the request's service to which it may be
// sent.
func (n *Node) eligible(view *directory.View, p *requestState) []*serving.Endpoint {
	var eligible []*serving.Endpoint
	now := time.Now()
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	for _, e := range n.accepting(now, view.ServiceEndpoints(p.request.Service.Name)) {
		if !p.excluded[e.ID] && n.limits.DeniedFor(now, e.ID) == 0 {
			eligible = append(eligible, e)
		}
	}
	return eligible
}

// holders returns the available engines that hold an adapter in at least the
// given version. It also returns the earliest time at which an engine that is
// still loading it will be ready, or the zero time if none is.
func (n *Node) holders(now time.Time, endpoints []*serving.Endpoint, key serving.AdapterKey, version ids.AdapterVersion) ([]*serving.Endpoint, time.Time) {
	var ready []*serving.Endpoint
	var soon time.Time
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	for _, e := range endpoints {
		held, found := n.adapterIndex.find(e.ID, key, version)
		if !found || !n.balancer.Available(now, e.ID) {
			continue
		}
		if !held.Ready.After(now) {
			ready = append(ready, e)
		} else if soon.IsZero() || held.Ready.Before(soon) {
			soon = held.Ready
		}
	}
	return ready, soon
}

func (n *Node) pickLeastLoaded(now time.Time, endpoints []*serving.Endpoint, salt uint64) *serving.Endpoint {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.balancer.Pick(now, endpoints, salt)
}

// orderable returns the engines that are not ordered by a VM that this one does not
// hear, and so can't ask for a load.
func (n *Node) orderable(now time.Time, endpoints []*serving.Endpoint) []*serving.Endpoint {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	var orderable []*serving.Endpoint
	for _, e := range endpoints {
		if !n.authority.OrderedByUnheardVM(now, e.DataCentre) {
			orderable = append(orderable, e)
		}
	}
	return orderable
}

// homeEngine returns the engine that should load an adapter that no engine
// holds, chosen among those that hold its base model and can load it in time.
// It returns nil if there is none.
func (n *Node) homeEngine(now time.Time, p *requestState, endpoints []*serving.Endpoint) *serving.Endpoint {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	var candidates []*serving.Endpoint
	for _, e := range balance.Rank(p.request.AdapterKey().String(), endpoints) {
		if _, known := n.adapterIndex.freeSlots(e.ID, p.request.Model); known && !p.fullEngines[e.ID] && n.balancer.Available(now, e.ID) {
			candidates = append(candidates, e)
		}
		if len(candidates) == homeCandidates {
			break
		}
	}
	var best *serving.Endpoint
	var least float64
	for _, e := range candidates {
		weight := n.balancer.LoadScore(now, e.ID)
		if freeSlots, _ := n.adapterIndex.freeSlots(e.ID, p.request.Model); freeSlots <= 0 {
			weight += noFreeSlotPenalty
		}
		if best == nil || weight+homeChangeMargin < least {
			best, least = e, weight
		}
	}
	return best
}

// noFreeSlotPenalty is the load added to an engine without a free slot. An
// engine is preferred to an earlier one in the adapter's hash order only if its
// load is lower by more than homeChangeMargin.
const (
	noFreeSlotPenalty = 3.0
	homeChangeMargin  = 1.0
)

// maxFullEngines is the number of engines without a slot in time after which a
// request is refused.
const maxFullEngines = 4

// ensureAtHomeEngine asks the owner of the adapter's home engine to load it. It
// returns nil if the engines should be examined again.
func (n *Node) ensureAtHomeEngine(ctx context.Context, p *requestState, endpoints []*serving.Endpoint, required ids.AdapterVersion, limit time.Time) *refusal {
	orderable := n.orderable(time.Now(), endpoints)
	if len(orderable) == 0 {
		return refuseBusy(retryOtherVM, "engines are ordered by a VM out of reach")
	}
	homeEngine := n.homeEngine(time.Now(), p, orderable)
	if homeEngine == nil && len(p.fullEngines) > 0 {
		return refuseBusy(retryAfterBusy, "no adapter slot in time")
	}
	if homeEngine == nil {
		if refused := n.refuseIfModelHeld(time.Now(), p, limit); refused != nil {
			return refused
		}
		sleep(ctx, placementRetryInterval)
		return nil
	}
	return n.ensureAtEngine(ctx, p, homeEngine, false, required, limit)
}

// ensureAtEngine asks the owner of an engine to load the request's adapter. Set
// missing if the engine denied having the adapter. It returns nil if the
// engines should be examined again.
func (n *Node) ensureAtEngine(ctx context.Context, p *requestState, e *serving.Endpoint, missing bool, required ids.AdapterVersion, limit time.Time) *refusal {
	if n.leaving(e) {
		return nil
	}
	key := p.request.AdapterKey()
	n.membersMu.Lock()
	p.askedOwner, _ = n.authority.Holder(e.DataCentre)
	n.membersMu.Unlock()
	reply, err := n.ensure(ctx, e, ensureRequest{
		Endpoint: e.ID,
		Key:      key,
		Version:  max(required, n.declared.newest(key)),
		Urgency:  p.request.Urgency,
		WaitMs:   max(time.Until(limit).Milliseconds(), 1),
		Missing:  missing,
	})
	p.ensureCalls++
	p.askedEngine = e.ID
	switch {
	case ctx.Err() != nil:
		return refuseDeadline()
	case err != nil:
		n.countPeerFailure("", err)
		sleep(ctx, placementRetryInterval)
		return nil
	case reply.Status == ensureBusy:
		p.fullEngines[e.ID] = true
		if len(p.fullEngines) >= maxFullEngines {
			return refuseBusy(time.Duration(reply.RetryMs)*time.Millisecond, "no adapter slot in time")
		}
		return nil
	case reply.Status == ensureNotOwner:
		sleep(ctx, placementRetryInterval)
		return nil
	}
	n.adapterIndex.recordConfirmed(time.Now(), e.ID, key, reply.Version)
	return nil
}

// ensure asks the owner of an engine, which may be this VM, to load an adapter.
// Concurrent requests for the same adapter at the same engine share one call.
func (n *Node) ensure(ctx context.Context, e *serving.Endpoint, request ensureRequest) (ensureReply, error) {
	n.membersMu.Lock()
	holder, known := n.authority.Holder(e.DataCentre)
	n.membersMu.Unlock()
	if !known {
		return ensureReply{Status: ensureNotOwner}, nil
	}
	name := string(e.ID) + "|" + request.Key.String()
	if request.Missing {
		// A call that goes on does not tell the owner of the denial.
		name += "|missing"
	}
	result := n.ensureCalls.DoChan(name, func() (any, error) {
		wait := time.Duration(request.WaitMs)*time.Millisecond + ensureReplyMargin
		if holder == n.settings.Self() {
			shared, cancel := context.WithTimeout(n.ctx, wait)
			defer cancel()
			return n.engineOwner.ensure(shared, request), nil
		}
		return peers.Call[ensureReply](n.ctx, n.peers, holder, methodEnsure, wait, request)
	})
	select {
	case <-ctx.Done():
		return ensureReply{}, ctx.Err()
	case r := <-result:
		if r.Err != nil {
			return ensureReply{}, r.Err
		}
		return r.Val.(ensureReply), nil
	}
}

// requestCopyIfUneven requests a copy of the adapter at the least loaded engine
// if the chosen engine, which holds it, carries clearly more load.
func (n *Node) requestCopyIfUneven(now time.Time, p *requestState, chosen *serving.Endpoint, endpoints []*serving.Endpoint) {
	n.balanceMu.Lock()
	weight := n.balancer.LoadScore(now, chosen.ID)
	var least *serving.Endpoint
	var leastWeight float64
	for _, e := range endpoints {
		if _, known := n.adapterIndex.freeSlots(e.ID, p.request.Model); !known || !n.balancer.Available(now, e.ID) {
			continue
		}
		if w := n.balancer.LoadScore(now, e.ID); least == nil || w < leastWeight {
			least, leastWeight = e, w
		}
	}
	n.balanceMu.Unlock()
	if least == nil || weight-leastWeight < copyLoadThreshold || !n.copies.allow(now, p.request.AdapterKey()) {
		return
	}
	key := p.request.AdapterKey()
	n.logInfo("requesting adapter copy", fields{"request": p.request.ID, "adapter": key.String(), "holder": chosen.ID, "load": weight, "target": least.ID, "targetLoad": leastWeight})
	go func() {
		reply, err := n.ensure(n.ctx, least, ensureRequest{Endpoint: least.ID, Key: key, Version: n.declared.newest(key), Urgency: p.request.Urgency, WaitMs: copyInterval.Milliseconds()})
		if err == nil && reply.Status == ensureResident {
			n.adapterIndex.recordConfirmed(time.Now(), least.ID, key, reply.Version)
		}
	}()
}

// copyThrottle limits the copies of each adapter. It allows one per interval,
// once the adapter was requested minRequests times within that interval.
type copyThrottle struct {
	mu          sync.Mutex
	requests    map[serving.AdapterKey]requestCount
	interval    time.Duration
	minRequests int
}

type requestCount struct {
	since time.Time
	count int
}

func (c *copyThrottle) allow(now time.Time, key serving.AdapterKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := c.requests[key]
	if now.Sub(demand.since) >= c.interval {
		demand = requestCount{since: now}
	}
	demand.count++
	c.requests[key] = demand
	return demand.count == c.minRequests
}
