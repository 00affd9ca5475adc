package placement

import (
	"sort"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// orderBook numbers the orders in flight.
type orderBook struct {
	mu      sync.Mutex
	last    uint64
	pending map[uint64]pendingOrder
}

type pendingOrder struct {
	order Order
	at    time.Time
}

func (b *orderBook) init() {
	b.pending = make(map[uint64]pendingOrder)
}

func (b *orderBook) add(now time.Time, order Order) Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	order.ID = b.last
	b.pending[order.ID] = pendingOrder{order: order, at: now}
	return order
}

func (b *orderBook) take(id uint64) (pendingOrder, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, ok := b.pending[id]
	delete(b.pending, id)
	return entry, ok
}

func (b *orderBook) overdue(now time.Time, term time.Duration) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []uint64
	for id, entry := range b.pending {
		if now.Sub(entry.at) > term {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Plan returns the orders to send now. The daemon calls it when demand or
// residency changed and about every 50 ms while demand waits. It plans only
// what the gate allows, and one load for all waiters of an adapter version.
func (p *Planner) Plan(now time.Time, gate Gate) []Order {
	for _, id := range p.orders.overdue(now, p.cfg.OrderTerm) {
		p.OrderDone(now, id, ResultUnknown, gate)
	}
	var out []Order
	for _, n := range p.rank(p.demand.needs(now)) {
		n.excess = p.demand.excess(now, n)
		order, step := p.planOne(now, n, gate)
		if step == stepNoRight && n.excess == 0 {
			break
		}
		if step == stepOrdered {
			p.demand.charge(now, n)
			out = append(out, order)
		}
	}
	return out
}

// Sweep forgets homes and backoffs whose time has passed. The daemon calls it
// every few seconds.
func (p *Planner) Sweep(now time.Time) {
	p.homes.sweep(now)
	p.backoff.sweep(now)
}

// batchCredit is by how many loads each further waiting request moves a need
// ahead under the throughput policy. A need that serves many requests so comes
// early, while a customer with few requests is not passed over for good.
const batchCredit = 0.5

// rank orders demand: first that of the customer with the fewest loads for its
// weight so far, then the longest wait. The throughput policy gives credit for
// the number of waiting requests.
func (p *Planner) rank(needs []need) []need {
	least := p.demand.leastServed(needs)
	for i := range needs {
		needs[i].rank = least[i]
		if p.throughput() {
			needs[i].rank -= batchCredit * float64(needs[i].requests-1)
		}
	}
	sort.Slice(needs, func(i, j int) bool {
		a, b := needs[i], needs[j]
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		if !a.since.Equal(b.since) {
			return a.since.Before(b.since)
		}
		if a.key.ref != b.key.ref {
			return lessRef(a.key.ref, b.key.ref)
		}
		return a.key.endpoint < b.key.endpoint
	})
	return needs
}

type step int

const (
	stepSkipped step = iota
	stepOrdered
	// stepNoRight means that no load right is left, for this or any other load.
	stepNoRight
)

// planOne plans the load that one need asks for, or the eviction before it.
func (p *Planner) planOne(now time.Time, n need, gate Gate) (Order, step) {
	known := p.engine(n.key.endpoint)
	if known == nil || p.backoff.active(now, n.key) || !p.ripe(now, n) {
		return Order{}, stepSkipped
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	ref := n.key.ref
	busy := known.loading[ref] || known.reserved[ref] || known.evicting[ref]
	if !known.takesWork() || known.boot == "" || known.resident[ref] != nil || busy {
		return Order{}, stepSkipped
	}
	if known.freeSlots() > 0 {
		return p.planLoad(now, known, n, gate)
	}
	return p.planEviction(now, known, n, gate)
}

// ripe tells whether a need is worth a load now. The throughput policy lets a
// few requests wait, so that one load serves more of them.
func (p *Planner) ripe(now time.Time, n need) bool {
	if !p.throughput() {
		return true
	}
	return n.requests > 1 || now.Sub(n.since) >= p.cfg.Patience
}

func (p *Planner) planLoad(now time.Time, known *engine, n need, gate Gate) (Order, step) {
	ref := n.key.ref
	fence, err := gate.MayLoad(now, known.id)
	if p.rules.gate && err != nil {
		return Order{}, stepSkipped
	}
	if !takeRight(now, n, gate) {
		return Order{}, stepNoRight
	}
	known.loading[ref] = true
	return p.orders.add(now, Order{Kind: OrderLoad, Endpoint: known.id, Ref: ref, Fence: fence, Boot: known.boot, SendBy: now.Add(p.cfg.SendTerm)}), stepOrdered
}

// excessReserve is the part of the burst left to others for each unit of
// excess. A customer at one and a half times its share leaves all but one load.
const excessReserve = 2.0

func takeRight(now time.Time, n need, gate Gate) bool {
	if taker, ok := gate.(SpareTaker); ok && n.excess > 0 {
		return taker.TakeSpareLoad(now, min(1, excessReserve*n.excess))
	}
	return gate.TakeLoad(now)
}

func (p *Planner) planEviction(now time.Time, known *engine, n need, gate Gate) (Order, step) {
	fence, err := gate.MayOrder(now, known.id)
	if p.rules.gate && err != nil {
		return Order{}, stepSkipped
	}
	victim, ok := p.victim(now, known, gate)
	if !ok {
		known.crowdedUntil = now.Add(p.cfg.CrowdedTerm)
		return Order{}, stepSkipped
	}
	if !takeRight(now, n, gate) {
		return Order{}, stepNoRight
	}
	known.evicting[victim] = true
	known.reserved[n.key.ref] = true
	return p.orders.add(now, Order{
		Kind: OrderEvict, Endpoint: known.id, Ref: victim, Fence: fence, Boot: known.boot, For: n.key.ref,
		SendBy: now.Add(p.cfg.SendTerm),
	}), stepOrdered
}

// victim chooses the least valuable adapter that may be evicted. The value is
// the decayed use times the cost of loading it again.
func (p *Planner) victim(now time.Time, known *engine, gate Gate) (ids.AdapterRef, bool) {
	type candidate struct {
		ref   ids.AdapterRef
		value float64
	}
	var all []candidate
	for ref, adapter := range known.resident {
		if known.evicting[ref] || p.demand.count(demandKey{endpoint: known.id, ref: ref}) > 0 {
			continue
		}
		all = append(all, candidate{ref: ref, value: adapter.value(now, p.cfg.HalfLife)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].value != all[j].value {
			return all[i].value < all[j].value
		}
		return lessRef(all[i].ref, all[j].ref)
	})
	for _, c := range all {
		if !p.rules.gate || gate.MayEvict(now, known.id, c.ref) == nil {
			return c.ref, true
		}
	}
	return ids.AdapterRef{}, false
}

func (a *residentAdapter) value(now time.Time, halfLife time.Duration) float64 {
	cost := 1.0
	if a.loadCost > 0 {
		cost = a.loadCost.Seconds() / nominalLoad.Seconds()
	}
	return a.use.read(now, halfLife) * cost
}

// nominalLoad is the duration of a load from an unloaded store.
const nominalLoad = 250 * time.Millisecond

// OrderDone takes the end of an order. For an eviction that was carried out it
// returns the load that it made room for, to be sent like an order of Plan.
func (p *Planner) OrderDone(now time.Time, id uint64, result Result, gate Gate) []Order {
	entry, ok := p.orders.take(id)
	if !ok {
		return nil
	}
	known := p.engine(entry.order.Endpoint)
	if entry.order.Kind == OrderLoad {
		gate.EndLoad(now, result != ResultNotSent, result != ResultUnknown)
		p.loadDone(now, known, entry, result)
		return nil
	}
	return p.evictDone(now, known, entry, result, gate)
}

func (p *Planner) loadDone(now time.Time, known *engine, entry pendingOrder, result Result) {
	order := entry.order
	key := demandKey{endpoint: order.Endpoint, ref: order.Ref}
	switch result {
	case ResultDone:
		p.backoff.succeeded(key)
		p.homes.clear(order.Ref)
		p.demand.drop(key)
	case ResultFailed, ResultUnknown:
		p.backoff.failed(now, key)
		p.homes.clear(order.Ref)
	}
	if known == nil {
		return
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	if p.rules.bootMatch && known.boot != order.Boot {
		return
	}
	delete(known.loading, order.Ref)
	if result != ResultDone {
		return
	}
	adapter := &residentAdapter{knownAt: now, loadCost: now.Sub(entry.at)}
	adapter.use.add(now, 1, p.cfg.HalfLife)
	known.resident[order.Ref] = adapter
	delete(known.gone, order.Ref)
	p.places.add(order.Ref, order.Endpoint)
}

func (p *Planner) evictDone(now time.Time, known *engine, entry pendingOrder, result Result, gate Gate) []Order {
	order := entry.order
	if known == nil {
		gate.EndLoad(now, false, true)
		return nil
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	if known.boot != order.Boot {
		gate.EndLoad(now, false, true)
		return nil
	}
	delete(known.evicting, order.Ref)
	delete(known.reserved, order.For)
	if result != ResultDone {
		gate.EndLoad(now, false, true)
		return nil
	}
	delete(known.resident, order.Ref)
	known.gone[order.Ref] = now
	p.places.remove(order.Ref, order.Endpoint)
	fence, err := gate.MayLoad(now, known.id)
	if err != nil || !known.takesWork() {
		gate.EndLoad(now, false, true)
		return nil
	}
	known.loading[order.For] = true
	return []Order{p.orders.add(now, Order{Kind: OrderLoad, Endpoint: known.id, Ref: order.For, Fence: fence, Boot: known.boot, SendBy: now.Add(p.cfg.SendTerm)})}
}
