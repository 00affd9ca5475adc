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

// Figures of the choice of engines for adapters.
const (
	// homes is the number of engines, in the order of an adapter's hash, among
	// which the least loaded gets it. With three, load evens out and VMs with
	// different views still mostly agree.
	homes = 3
	// copyExcess is how much more load than the least loaded engine the
	// holders of an adapter carry before another engine gets a copy.
	copyExcess = 4.0
	// copyPause is the time in which one VM asks for one copy of an adapter.
	copyPause = 1500 * time.Millisecond
	// copyDemand is the requests of one VM within that time for which a copy
	// pays; fewer leave the weight store to adapters that no engine has.
	copyDemand = 3
	// ensureSlack is added to the time of a call to an owner that waits.
	ensureSlack = 100 * time.Millisecond
	// placePause is the pause before another look at the engines.
	placePause = 20 * time.Millisecond
)

// declaredVersions remembers when versions of adapters were declared.
type declaredVersions struct {
	mu   sync.Mutex
	seen map[serving.AdapterKey]declaredVersion
}

type declaredVersion struct {
	version ids.AdapterVersion
	at      time.Time
}

func newDeclaredVersions() *declaredVersions {
	return &declaredVersions{seen: make(map[serving.AdapterKey]declaredVersion)}
}

func (d *declaredVersions) update(now time.Time, versions map[serving.AdapterKey]ids.AdapterVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, version := range versions {
		if d.seen[key].version < version {
			d.seen[key] = declaredVersion{version: version, at: now}
		}
	}
}

// required returns the lowest version that a request may begin on, given how
// long a version may be preceded by an older one.
func (d *declaredVersions) required(now time.Time, key serving.AdapterKey, grace time.Duration) ids.AdapterVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	declared := d.seen[key]
	if now.Sub(declared.at) < grace {
		return 0
	}
	return declared.version
}

// newest returns the newest declared version.
func (d *declaredVersions) newest(key serving.AdapterKey) ids.AdapterVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen[key].version
}

// versionGrace is the part of the allowed time for which an older version of
// an adapter is used while the newer one loads.
const versionGrace = 0.4

// placeEngine returns an engine that holds the request's adapter. It loads the
// adapter where needed, and refuses when that cannot be done in time.
func (n *Node) placeEngine(ctx context.Context, p *progress) (*serving.Endpoint, *refusal) {
	limit := p.request.Arrived.Add(n.holdLimit(p.request))
	for {
		now := time.Now()
		if ctx.Err() != nil {
			return nil, refuseTime()
		}
		view := n.directory.View()
		endpoints := n.usable(view, p)
		if len(endpoints) == 0 {
			return nil, refuseNoEndpoint()
		}
		required := n.declared.required(now, p.request.AdapterKey(), time.Duration(versionGrace*float64(n.settings.Bounds.AdapterVersion)))
		if p.denied != nil {
			denied := p.denied
			p.denied = nil
			if refused := n.ensureAt(ctx, p, denied, true, required, limit); refused != nil {
				return nil, refused
			}
		}
		holders, soon := n.holders(now, endpoints, p.request.AdapterKey(), required)
		if len(holders) > 0 {
			n.considerCopy(now, p, n.pick(now, holders, p.salt), endpoints)
			return n.beginAt(ctx, p, holders)
		}
		if !now.Before(limit) {
			return nil, refuseBusy(retryAfterBusy, "adapter not loaded in time")
		}
		if !soon.IsZero() {
			sleep(ctx, min(max(soon.Sub(now), time.Millisecond), placePause))
			continue
		}
		if refused := n.ensureAtHome(ctx, p, endpoints, required, limit); refused != nil {
			return nil, refused
		}
	}
}

// holdLimit is how long a request may wait for its adapter. Beyond it, a
// caller that comes back is served sooner than one that waits.
func (n *Node) holdLimit(r *serving.Request) time.Duration {
	return max(r.Route.Objective, minHold)
}

const minHold = 500 * time.Millisecond

// usable returns the endpoints of the request's service that may get it.
func (n *Node) usable(view *directory.View, p *progress) []*serving.Endpoint {
	var usable []*serving.Endpoint
	for _, e := range view.Service(p.request.Service.Name) {
		if !e.Leaving && !p.avoid[e.ID] {
			usable = append(usable, e)
		}
	}
	return usable
}

// holders returns the engines that hold an adapter, and when the first of
// those that are loading it will.
func (n *Node) holders(now time.Time, endpoints []*serving.Endpoint, key serving.AdapterKey, version ids.AdapterVersion) ([]*serving.Endpoint, time.Time) {
	var ready []*serving.Endpoint
	var soon time.Time
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	for _, e := range endpoints {
		held, found := n.residents.find(e.ID, key, version)
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

func (n *Node) pick(now time.Time, endpoints []*serving.Endpoint, salt uint64) *serving.Endpoint {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.balancer.Pick(now, endpoints, salt)
}

// home returns the engine that should get an adapter that none holds, among
// those that hold its base model and can load it in time.
func (n *Node) home(now time.Time, p *progress, endpoints []*serving.Endpoint) *serving.Endpoint {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	var candidates []*serving.Endpoint
	for _, e := range balance.Rank(p.request.AdapterKey().String(), endpoints) {
		if _, known := n.residents.free(e.ID, p.request.Model); known && !p.full[e.ID] && n.balancer.Available(now, e.ID) {
			candidates = append(candidates, e)
		}
		if len(candidates) == homes {
			break
		}
	}
	var best *serving.Endpoint
	var least float64
	for _, e := range candidates {
		weight := n.balancer.LoadScore(now, e.ID)
		if free, _ := n.residents.free(e.ID, p.request.Model); free <= 0 {
			weight += fullPenalty
		}
		if best == nil || weight+homeMargin < least {
			best, least = e, weight
		}
	}
	return best
}

// An engine without a free slot counts as more loaded, and the first engine of
// an adapter's order is left only for one that is clearly better.
const (
	fullPenalty = 3.0
	homeMargin  = 1.0
)

// maxHomes bounds the engines that are asked for one request.
const maxHomes = 4

// ensureAtHome asks the owner of an adapter's home engine to load it. It
// returns nil where another look at the engines is due.
func (n *Node) ensureAtHome(ctx context.Context, p *progress, endpoints []*serving.Endpoint, required ids.AdapterVersion, limit time.Time) *refusal {
	home := n.home(time.Now(), p, endpoints)
	if home == nil && len(p.full) > 0 {
		return refuseBusy(retryAfterBusy, "no adapter slot in time")
	}
	if home == nil {
		sleep(ctx, placePause)
		return nil
	}
	return n.ensureAt(ctx, p, home, false, required, limit)
}

// ensureAt asks the owner of an engine to load the request's adapter. Missing
// tells that the engine denied having it.
func (n *Node) ensureAt(ctx context.Context, p *progress, e *serving.Endpoint, missing bool, required ids.AdapterVersion, limit time.Time) *refusal {
	key := p.request.AdapterKey()
	n.membersMu.Lock()
	p.owner, _ = n.authority.Holder(e.DataCentre)
	n.membersMu.Unlock()
	reply, err := n.ensure(ctx, e, ensureRequest{
		Endpoint: e.ID,
		Key:      key,
		Version:  max(required, n.declared.newest(key)),
		Urgency:  p.request.Urgency,
		WaitMs:   max(time.Until(limit).Milliseconds(), 1),
		Missing:  missing,
	})
	p.ensures++
	p.home = e.ID
	switch {
	case ctx.Err() != nil:
		return refuseTime()
	case err != nil:
		n.countPeerFailure("", err)
		sleep(ctx, placePause)
		return nil
	case reply.Status == ensureBusy:
		p.full[e.ID] = true
		if len(p.full) >= maxHomes {
			return refuseBusy(time.Duration(reply.RetryMs)*time.Millisecond, "no adapter slot in time")
		}
		return nil
	case reply.Status == ensureNotOwner:
		sleep(ctx, placePause)
		return nil
	}
	n.residents.assume(time.Now(), e.ID, key, reply.Version)
	return nil
}

// ensure asks the owner of an engine for an adapter, which may be this VM.
// Requests for the same adapter at the same engine share one call.
func (n *Node) ensure(ctx context.Context, e *serving.Endpoint, request ensureRequest) (ensureReply, error) {
	n.membersMu.Lock()
	holder, known := n.authority.Holder(e.DataCentre)
	n.membersMu.Unlock()
	if !known {
		return ensureReply{Status: ensureNotOwner}, nil
	}
	name := string(e.ID) + "|" + request.Key.String()
	result := n.ensures.DoChan(name, func() (any, error) {
		wait := time.Duration(request.WaitMs)*time.Millisecond + ensureSlack
		if holder == n.settings.Self() {
			shared, cancel := context.WithTimeout(n.ctx, wait)
			defer cancel()
			return n.owner.ensure(shared, request), nil
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

// considerCopy asks for a copy of an adapter at the least loaded engine when
// its holders carry clearly more load.
func (n *Node) considerCopy(now time.Time, p *progress, chosen *serving.Endpoint, endpoints []*serving.Endpoint) {
	n.balanceMu.Lock()
	weight := n.balancer.LoadScore(now, chosen.ID)
	var least *serving.Endpoint
	var leastWeight float64
	for _, e := range endpoints {
		if _, known := n.residents.free(e.ID, p.request.Model); !known || !n.balancer.Available(now, e.ID) {
			continue
		}
		if w := n.balancer.LoadScore(now, e.ID); least == nil || w < leastWeight {
			least, leastWeight = e, w
		}
	}
	n.balanceMu.Unlock()
	if least == nil || weight-leastWeight < copyExcess || !n.copies.due(now, p.request.AdapterKey()) {
		return
	}
	key := p.request.AdapterKey()
	n.note("copy wanted", fields{"request": p.request.ID, "adapter": key.String(), "holder": chosen.ID, "load": weight, "target": least.ID, "targetLoad": leastWeight})
	go func() {
		reply, err := n.ensure(n.ctx, least, ensureRequest{Endpoint: least.ID, Key: key, Version: n.declared.newest(key), Urgency: p.request.Urgency, WaitMs: copyPause.Milliseconds()})
		if err == nil && reply.Status == ensureResident {
			n.residents.assume(time.Now(), least.ID, key, reply.Version)
		}
	}()
}

// pacer allows something for an adapter once it has been asked for often
// enough within a pause, and then not again before the next pause.
type pacer struct {
	mu    sync.Mutex
	last  map[serving.AdapterKey]demandCount
	pause time.Duration
	need  int
}

type demandCount struct {
	since time.Time
	count int
}

func (c *pacer) due(now time.Time, key serving.AdapterKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := c.last[key]
	if now.Sub(demand.since) >= c.pause {
		demand = demandCount{since: now}
	}
	demand.count++
	c.last[key] = demand
	return demand.count == c.need
}
