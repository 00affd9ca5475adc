package placement

import (
	"sort"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// orderTable numbers the orders and keeps those in flight. It is safe for
// concurrent use.
type orderTable struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]pendingOrder
}

type pendingOrder struct {
	order     Order
	plannedAt time.Time
}

func (b *orderTable) init() {
	b.pending = make(map[uint64]pendingOrder)
}

// add assigns the order its ID and records it as in flight.
func (b *orderTable) add(now time.Time, order Order) Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	order.ID = b.lastID
	b.pending[order.ID] = pendingOrder{order: order, plannedAt: now}
	return order
}

func (b *orderTable) remove(id uint64) (pendingOrder, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, ok := b.pending[id]
	delete(b.pending, id)
	return entry, ok
}

// timedOut returns the IDs of the orders planned longer ago than the timeout.
func (b *orderTable) timedOut(now time.Time, timeout time.Duration) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []uint64
	for id, entry := range b.pending {
		if now.Sub(entry.plannedAt) > timeout {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Plan returns the orders to send now. The daemon calls it when demand or
// residency changed, and about every 50 ms while demand waits. It plans only
// what the gate allows, and one load for all requests that wait for an adapter
// version.
func (p *Planner) Plan(now time.Time, gate Gate) []Order {
	for _, id := range p.orders.timedOut(now, p.cfg.OrderTerm) {
		p.CompleteOrder(now, id, ResultUnknown, gate)
	}
	var out []Order
	for _, demand := range p.rank(p.waitingDemand.activeDemands(now)) {
		demand.excessShare = p.waitingDemand.excessShare(now, demand)
		order, outcome := p.planDemand(now, demand, gate)
		if outcome == planNoPermit && demand.excessShare == 0 {
			break
		}
		if outcome == planOrdered {
			p.waitingDemand.charge(now, demand)
			out = append(out, order)
		}
	}
	return out
}

// Sweep removes expired load targets and backoffs. The daemon calls it every
// few seconds.
func (p *Planner) Sweep(now time.Time) {
	p.targets.removeExpired(now)
	p.backoff.removeExpired(now)
}

// rankCreditPerRequest lowers the rank of a load under the throughput policy,
// in charged loads for each waiting request after the first. Loads that serve
// many requests therefore come early, while a customer with few requests is not
// postponed forever.
const rankCreditPerRequest = 0.5

// rank orders the demand: first the customer with the fewest loads so far
// relative to its weight, then the longest wait. The throughput policy also
// gives credit for the number of waiting requests.
func (p *Planner) rank(demands []loadDemand) []loadDemand {
	charges := p.waitingDemand.lowestCharges(demands)
	for i := range demands {
		demands[i].rank = charges[i]
		if p.prefersThroughput() {
			demands[i].rank -= rankCreditPerRequest * float64(demands[i].requests-1)
		}
	}
	sort.Slice(demands, func(i, j int) bool {
		a, b := demands[i], demands[j]
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		if !a.waitingSince.Equal(b.waitingSince) {
			return a.waitingSince.Before(b.waitingSince)
		}
		if a.key.ref != b.key.ref {
			return adapterRefLess(a.key.ref, b.key.ref)
		}
		return a.key.endpoint < b.key.endpoint
	})
	return demands
}

// planOutcome is the result of planning one load.
type planOutcome int

const (
	planSkipped planOutcome = iota
	planOrdered
	// planNoPermit means that there is no permit for the load. If its customers
	// are within their share, there is none for any other load either.
	planNoPermit
)

// planDemand plans the load that waiting requests need, or the eviction that
// must come before it.
func (p *Planner) planDemand(now time.Time, demand loadDemand, gate Gate) (Order, planOutcome) {
	e := p.engine(demand.key.endpoint)
	if e == nil || p.backoff.active(now, demand.key) || !p.worthLoading(now, demand) {
		return Order{}, planSkipped
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ref := demand.key.ref
	ordered := e.loading[ref] || e.reserved[ref] || e.evicting[ref]
	if !e.acceptsWork() || e.boot == "" || e.resident[ref] != nil || ordered {
		return Order{}, planSkipped
	}
	if e.freeSlots() > 0 {
		return p.planLoad(now, e, demand, gate)
	}
	return p.planEviction(now, e, demand, gate)
}

// worthLoading reports whether a load should be planned now. The throughput
// policy delays a load for a single request by up to Config.Patience, so that
// one load serves more requests.
func (p *Planner) worthLoading(now time.Time, demand loadDemand) bool {
	if !p.prefersThroughput() {
		return true
	}
	return demand.requests > 1 || now.Sub(demand.waitingSince) >= p.cfg.Patience
}

// planLoad plans a load into a free slot. The caller holds e.mu.
func (p *Planner) planLoad(now time.Time, e *engine, demand loadDemand, gate Gate) (Order, planOutcome) {
	ref := demand.key.ref
	fence, err := gate.MayLoad(now, e.id)
	if p.safetyChecks.gate && err != nil {
		return Order{}, planSkipped
	}
	if !acquirePermit(now, demand, gate) {
		return Order{}, planNoPermit
	}
	e.loading[ref] = true
	return p.orders.add(now, Order{Kind: OrderLoad, Endpoint: e.id, Ref: ref, Fence: fence, Boot: e.boot, SendBy: now.Add(p.cfg.SendTerm)}), planOrdered
}

// reservePerExcess is the part of the burst that must remain for others, for
// each unit of excessShare. At one and a half times its share, a customer gets
// a load only when the full burst is available.
const reservePerExcess = 2.0

// acquirePermit takes the permit for one load. Customers above their share must
// leave part of the burst to others.
func acquirePermit(now time.Time, demand loadDemand, gate Gate) bool {
	if reserving, ok := gate.(ReservingGate); ok && demand.excessShare > 0 {
		return reserving.AcquireSpareLoadPermit(now, min(1, reservePerExcess*demand.excessShare))
	}
	return gate.AcquireLoadPermit(now)
}

// planEviction plans an eviction and reserves the slot for the load. The caller
// holds e.mu.
func (p *Planner) planEviction(now time.Time, e *engine, demand loadDemand, gate Gate) (Order, planOutcome) {
	fence, err := gate.MayOrder(now, e.id)
	if p.safetyChecks.gate && err != nil {
		return Order{}, planSkipped
	}
	victim, ok := p.victim(now, e, gate)
	if !ok {
		e.crowdedUntil = now.Add(p.cfg.CrowdedTerm)
		return Order{}, planSkipped
	}
	if !acquirePermit(now, demand, gate) {
		return Order{}, planNoPermit
	}
	e.evicting[victim] = true
	e.reserved[demand.key.ref] = true
	return p.orders.add(now, Order{
		Kind: OrderEvict, Endpoint: e.id, Ref: victim, Fence: fence, Boot: e.boot, For: demand.key.ref,
		SendBy: now.Add(p.cfg.SendTerm),
	}), planOrdered
}

// victim returns the least valuable adapter that may be evicted. Adapters that
// requests wait for are never chosen.
func (p *Planner) victim(now time.Time, e *engine, gate Gate) (ids.AdapterRef, bool) {
	type candidate struct {
		ref   ids.AdapterRef
		value float64
	}
	var candidates []candidate
	for ref, adapter := range e.resident {
		if e.evicting[ref] || p.waitingDemand.waitingRequests(demandKey{endpoint: e.id, ref: ref}) > 0 {
			continue
		}
		candidates = append(candidates, candidate{ref: ref, value: adapter.value(now, p.cfg.HalfLife)})
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].value != candidates[j].value {
			return candidates[i].value < candidates[j].value
		}
		return adapterRefLess(candidates[i].ref, candidates[j].ref)
	})
	for _, c := range candidates {
		if !p.safetyChecks.gate || gate.MayEvict(now, e.id, c.ref) == nil {
			return c.ref, true
		}
	}
	return ids.AdapterRef{}, false
}

// value returns the decayed use of the adapter times the relative cost of
// loading it again.
func (a *residentAdapter) value(now time.Time, halfLife time.Duration) float64 {
	relativeCost := 1.0
	if a.lastLoadDuration > 0 {
		relativeCost = a.lastLoadDuration.Seconds() / nominalLoadDuration.Seconds()
	}
	return a.recentUse.valueAt(now, halfLife) * relativeCost
}

// nominalLoadDuration is the duration of a load from a weight store without
// other load.
const nominalLoadDuration = 250 * time.Millisecond

// CompleteOrder records the outcome of an order. After a successful eviction it
// returns the load that the eviction made room for, to be sent like an order of
// Plan.
func (p *Planner) CompleteOrder(now time.Time, id uint64, result OrderResult, gate Gate) []Order {
	pending, ok := p.orders.remove(id)
	if !ok {
		return nil
	}
	e := p.engine(pending.order.Endpoint)
	if pending.order.Kind == OrderLoad {
		gate.ReleaseLoadPermit(now, result != ResultNotSent, result != ResultUnknown)
		p.completeLoad(now, e, pending, result)
		return nil
	}
	return p.completeEviction(now, e, pending, result, gate)
}

func (p *Planner) completeLoad(now time.Time, e *engine, pending pendingOrder, result OrderResult) {
	order := pending.order
	key := demandKey{endpoint: order.Endpoint, ref: order.Ref}
	switch result {
	case ResultDone:
		p.backoff.recordSuccess(key)
		p.targets.clear(order.Ref)
		p.waitingDemand.removeAll(key)
	case ResultFailed, ResultUnknown:
		p.backoff.recordFailure(now, key)
		p.targets.clear(order.Ref)
	}
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.safetyChecks.bootMatch && e.boot != order.Boot {
		return
	}
	delete(e.loading, order.Ref)
	if result != ResultDone {
		return
	}
	adapter := &residentAdapter{confirmedAt: now, lastLoadDuration: now.Sub(pending.plannedAt)}
	adapter.recentUse.add(now, 1, p.cfg.HalfLife)
	e.resident[order.Ref] = adapter
	delete(e.evictedAt, order.Ref)
	p.replicas.add(order.Ref, order.Endpoint)
}

// completeEviction records the outcome of an eviction and returns the load that
// takes the freed slot.
func (p *Planner) completeEviction(now time.Time, e *engine, pending pendingOrder, result OrderResult, gate Gate) []Order {
	order := pending.order
	if e == nil {
		gate.ReleaseLoadPermit(now, false, true)
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != order.Boot {
		gate.ReleaseLoadPermit(now, false, true)
		return nil
	}
	delete(e.evicting, order.Ref)
	delete(e.reserved, order.For)
	if result != ResultDone {
		gate.ReleaseLoadPermit(now, false, true)
		return nil
	}
	delete(e.resident, order.Ref)
	e.evictedAt[order.Ref] = now
	p.replicas.remove(order.Ref, order.Endpoint)
	fence, err := gate.MayLoad(now, e.id)
	if err != nil || !e.acceptsWork() {
		gate.ReleaseLoadPermit(now, false, true)
		return nil
	}
	e.loading[order.For] = true
	return []Order{p.orders.add(now, Order{Kind: OrderLoad, Endpoint: e.id, Ref: order.For, Fence: fence, Boot: e.boot, SendBy: now.Add(p.cfg.SendTerm)})}
}
