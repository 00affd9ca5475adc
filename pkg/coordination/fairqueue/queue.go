package fairqueue

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// Config sets the bounds of a Queue.
type Config struct {
	// Policy orders the adapters of one customer: either the adapter with the
	// oldest request first, or the one with the most waiting requests.
	Policy records.Policy
	// MaxItems bounds the waiting requests of the queue, and MaxPerCustomer
	// those of one customer.
	MaxItems       int
	MaxPerCustomer int
	// ParkTerm is how long an adapter version that could not run is skipped,
	// unless Unpark is called. It bounds the work of Pop.
	ParkTerm time.Duration
	// MaxLag bounds the virtual time, in tokens, by which a waiting customer
	// may fall behind the others. Otherwise a customer whose adapter loads
	// slowly would occupy all engines once the adapter is loaded.
	MaxLag float64
	// RefuseFactor is multiplied with the estimated wait before the wait is
	// compared with the deadline. Below 1, fewer requests are refused than the
	// estimate alone would refuse.
	RefuseFactor float64
}

// DefaultConfig returns the bounds that daemons use with a policy.
func DefaultConfig(policy records.Policy) Config {
	return Config{
		Policy: policy, MaxItems: 20_000, MaxPerCustomer: 8_000, ParkTerm: 100 * time.Millisecond,
		MaxLag: 50_000, RefuseFactor: 0.7,
	}
}

// Item is one waiting request.
type Item struct {
	ID       ids.RequestID
	Customer ids.CustomerID
	Ref      ids.AdapterRef
	// Cost is the number of tokens that the request is charged.
	Cost int64
	// Deadline is the time by which the request must have been dispatched to an
	// engine.
	Deadline time.Time
	// LoadWait is the least time that the request must wait for its adapter to
	// be loaded.
	LoadWait time.Duration
	// PushedAt is set by Push.
	PushedAt time.Time
}

// RefusalReason says why a request was not queued.
type RefusalReason string

// The reasons for a refusal.
const (
	// RefusedDeadline means that the request could not start by its deadline.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedFull means that the queue is full.
	RefusedFull RefusalReason = "queueFull"
	// RefusedCustomerFull means that the customer has MaxPerCustomer waiting
	// requests.
	RefusedCustomerFull RefusalReason = "customerQueueFull"
	// RefusedDuplicate means that a request with the same id is already
	// waiting.
	RefusedDuplicate RefusalReason = "repeated"
)

// Refusal says why and until when a request was not queued. The request
// certainly did not run, because the queue never dispatched it.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the time after which a retry may find a shorter queue.
	RetryAfter time.Duration
}

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = 100 * time.Millisecond

// Queue holds the waiting requests of one VM for one base model. It is safe for
// concurrent use.
type Queue struct {
	cfg Config
	// fairness is switched off only in tests, which then have one queue in
	// order of arrival.
	fairness bool

	mu        sync.Mutex
	customers map[ids.CustomerID]*customer
	byID      map[ids.RequestID]*entry
	sequence  uint64
	waiting   int
	// virtualTime is the highest virtual time at which Pop has served a
	// customer, in tokens divided by weight.
	virtualTime float64
	rate        throughput
}

// customer holds the queues and the virtual time of one customer.
type customer struct {
	id          ids.CustomerID
	weight      float64
	virtualTime float64
	waiting     int
	waitingCost int64
	adapters    map[ids.AdapterRef]*adapterQueue
}

// adapterQueue holds one customer's requests for one adapter version, in order
// of arrival.
type adapterQueue struct {
	ref     ids.AdapterRef
	entries []*entry
	// parkedUntil is the time until which Pop skips the queue, because the
	// adapter version could not run.
	parkedUntil time.Time
}

// entry is a waiting request with its place in the order of arrival.
type entry struct {
	item     Item
	sequence uint64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg: cfg, fairness: true,
		customers: make(map[ids.CustomerID]*customer),
		byID:      make(map[ids.RequestID]*entry),
	}
}

// SetWeight sets a customer's weight; the default is 1.
func (q *Queue) SetWeight(id ids.CustomerID, weight float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if weight > 0 {
		q.customer(id).weight = weight
	}
}

func (q *Queue) customer(id ids.CustomerID) *customer {
	c, ok := q.customers[id]
	if !ok {
		c = &customer{id: id, weight: 1, adapters: make(map[ids.AdapterRef]*adapterQueue)}
		q.customers[id] = c
	}
	return c
}

// Push queues a request. It returns nil, or the refusal if the request was not
// queued.
func (q *Queue) Push(now time.Time, item Item) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.byID[item.ID]; ok {
		return &Refusal{Reason: RefusedDuplicate, RetryAfter: minRetryAfter}
	}
	c := q.customer(item.Customer)
	if refusal := q.checkAdmission(now, c, item); refusal != nil {
		return refusal
	}
	q.activate(c)
	q.sequence++
	item.PushedAt = now
	added := &entry{item: item, sequence: q.sequence}
	q.byID[item.ID] = added
	adapter, ok := c.adapters[item.Ref]
	if !ok {
		adapter = &adapterQueue{ref: item.Ref}
		c.adapters[item.Ref] = adapter
	}
	adapter.entries = append(adapter.entries, added)
	c.waiting++
	c.waitingCost += item.Cost
	q.waiting++
	return nil
}

// activate moves a customer that has no waiting requests up to the current
// virtual time before a request is queued. The customer thus gains no credit
// from being idle, and keeps any debt that it had.
func (q *Queue) activate(c *customer) {
	if c.waiting == 0 && c.virtualTime < q.virtualTime {
		c.virtualTime = q.virtualTime
	}
}

// checkAdmission returns a refusal if the request must not be queued, and nil
// otherwise.
func (q *Queue) checkAdmission(now time.Time, c *customer, item Item) *Refusal {
	wait := q.estimateWait(now, c, item)
	left := item.Deadline.Sub(now)
	if left <= 0 || time.Duration(float64(wait)*q.cfg.RefuseFactor) > left {
		return &Refusal{Reason: RefusedDeadline, RetryAfter: max(wait-max(left, 0), minRetryAfter)}
	}
	if c.waiting >= q.cfg.MaxPerCustomer {
		return &Refusal{Reason: RefusedCustomerFull, RetryAfter: max(wait, minRetryAfter)}
	}
	if q.waiting >= q.cfg.MaxItems {
		return &Refusal{Reason: RefusedFull, RetryAfter: max(wait, minRetryAfter)}
	}
	return nil
}

// estimateWait returns how long a new request will wait: until the tokens that
// fair queueing serves before it are served, or until its adapter is loaded if
// that takes longer.
func (q *Queue) estimateWait(now time.Time, c *customer, item Item) time.Duration {
	tokensPerSecond, known := q.rate.tokensPerSecond(now)
	if !known || tokensPerSecond <= 0 {
		return item.LoadWait
	}
	tokensAhead := float64(c.waitingCost)
	virtualWork := (float64(c.waitingCost) + float64(item.Cost)) / c.weight
	for _, other := range q.customers {
		if other != c && other.waiting > 0 {
			tokensAhead += math.Min(float64(other.waitingCost), virtualWork*other.weight)
		}
	}
	return max(item.LoadWait, time.Duration(tokensAhead/tokensPerSecond*float64(time.Second)))
}

// CanRun reports whether a request for the adapter version can start now. Pop
// calls it while it holds the queue's lock, so it must not call methods of the
// queue.
type CanRun func(ref ids.AdapterRef) bool

// Pop removes and returns the next request that can run, and reports whether
// there is one. Requests whose deadline has passed are left for Expire.
func (q *Queue) Pop(now time.Time, canRun CanRun) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == 0 {
		return Item{}, false
	}
	refused := make(map[ids.AdapterRef]bool)
	for _, c := range q.customersInOrder() {
		for _, adapter := range q.readyAdapters(now, c) {
			if refused[adapter.ref] {
				continue
			}
			index := adapter.firstUnexpired(now)
			if index < 0 {
				continue
			}
			if !canRun(adapter.ref) {
				refused[adapter.ref] = true
				adapter.parkedUntil = now.Add(q.cfg.ParkTerm)
				continue
			}
			return q.dispatch(now, c, adapter, index), true
		}
	}
	return Item{}, false
}

// customersInOrder returns the customers with waiting requests, the one that
// was served least for its weight first.
func (q *Queue) customersInOrder() []*customer {
	var active []*customer
	for _, c := range q.customers {
		if c.waiting > 0 {
			active = append(active, c)
		}
	}
	sort.Slice(active, func(i, j int) bool {
		if !q.fairness {
			return active[i].oldestSequence() < active[j].oldestSequence()
		}
		if active[i].virtualTime != active[j].virtualTime {
			return active[i].virtualTime < active[j].virtualTime
		}
		return active[i].id < active[j].id
	})
	return active
}

// oldestSequence returns the sequence number of the customer's oldest request.
func (c *customer) oldestSequence() uint64 {
	oldestSequence := uint64(math.MaxUint64)
	for _, adapter := range c.adapters {
		oldestSequence = min(oldestSequence, adapter.entries[0].sequence)
	}
	return oldestSequence
}

// readyAdapters returns the adapter queues of a customer that are not parked,
// in the order of the policy.
func (q *Queue) readyAdapters(now time.Time, c *customer) []*adapterQueue {
	var ready []*adapterQueue
	for _, adapter := range c.adapters {
		if !now.Before(adapter.parkedUntil) {
			ready = append(ready, adapter)
		}
	}
	sort.Slice(ready, func(i, j int) bool {
		a, b := ready[i], ready[j]
		if q.cfg.Policy == records.PolicyThroughput && len(a.entries) != len(b.entries) {
			return len(a.entries) > len(b.entries)
		}
		return a.entries[0].sequence < b.entries[0].sequence
	})
	return ready
}

// firstUnexpired returns the index of the first request before its deadline, or
// -1.
func (l *adapterQueue) firstUnexpired(now time.Time) int {
	for i, n := range l.entries {
		if now.Before(n.item.Deadline) {
			return i
		}
	}
	return -1
}

// dispatch removes a request from the queue and charges its customer.
func (q *Queue) dispatch(now time.Time, c *customer, adapter *adapterQueue, index int) Item {
	item := adapter.entries[index].item
	q.remove(c, adapter, index)
	if c.virtualTime > q.virtualTime {
		q.virtualTime = c.virtualTime
	}
	if floor := q.virtualTime - q.cfg.MaxLag; c.virtualTime < floor {
		c.virtualTime = floor
	}
	c.virtualTime += float64(item.Cost) / c.weight
	q.rate.add(now, float64(item.Cost), q.waiting > 0)
	return item
}

func (q *Queue) remove(c *customer, adapter *adapterQueue, index int) {
	item := adapter.entries[index].item
	delete(q.byID, item.ID)
	adapter.entries = append(adapter.entries[:index], adapter.entries[index+1:]...)
	if len(adapter.entries) == 0 {
		delete(c.adapters, adapter.ref)
	}
	c.waiting--
	c.waitingCost -= item.Cost
	q.waiting--
}

// RefundUnused credits a customer's virtual time with the tokens that a request
// was charged but did not use.
func (q *Queue) RefundUnused(id ids.CustomerID, unused int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.customer(id)
	c.virtualTime -= float64(unused) / c.weight
}

// Requeue puts back a request that was dispatched but certainly did not run.
// The request goes ahead of the others of its adapter, and its charge is taken
// back.
func (q *Queue) Requeue(item Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.customer(item.Customer)
	c.virtualTime -= float64(item.Cost) / c.weight
	adapter, ok := c.adapters[item.Ref]
	if !ok {
		adapter = &adapterQueue{ref: item.Ref}
		c.adapters[item.Ref] = adapter
	}
	// Sequence 0 is before that of every request that was pushed.
	requeued := &entry{item: item}
	adapter.entries = append([]*entry{requeued}, adapter.entries...)
	q.byID[item.ID] = requeued
	c.waiting++
	c.waitingCost += item.Cost
	q.waiting++
}

// Cancel removes a waiting request, for example because its caller has
// disconnected. It reports whether the request was still waiting, and therefore
// did not run.
func (q *Queue) Cancel(id ids.RequestID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	cancelled, ok := q.byID[id]
	if !ok {
		return false
	}
	c := q.customer(cancelled.item.Customer)
	adapter := c.adapters[cancelled.item.Ref]
	for i, n := range adapter.entries {
		if n == cancelled {
			q.remove(c, adapter, i)
			break
		}
	}
	return true
}

// Expire removes and returns all requests whose deadline has passed. They did
// not run.
func (q *Queue) Expire(now time.Time) []Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []Item
	for _, c := range q.customers {
		for _, adapter := range c.adapters {
			for i := len(adapter.entries) - 1; i >= 0; i-- {
				if !now.Before(adapter.entries[i].item.Deadline) {
					expired = append(expired, adapter.entries[i].item)
					q.remove(c, adapter, i)
				}
			}
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].ID < expired[j].ID })
	return expired
}

// Unpark lets Pop try an adapter version again at once, for example after it
// was loaded.
func (q *Queue) Unpark(ref ids.AdapterRef) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.customers {
		if adapter, ok := c.adapters[ref]; ok {
			adapter.parkedUntil = time.Time{}
		}
	}
}

// Demand describes the waiting requests of one customer for one adapter
// version. Oldest is the age of the oldest of them.
type Demand struct {
	Ref      ids.AdapterRef
	Customer ids.CustomerID
	Requests int
	Oldest   time.Duration
}

// Demands returns the waiting demand, from which placement decides what to
// load.
func (q *Queue) Demands(now time.Time) []Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	var demands []Demand
	for _, c := range q.customers {
		for _, adapter := range c.adapters {
			demands = append(demands, Demand{
				Ref: adapter.ref, Customer: c.id, Requests: len(adapter.entries), Oldest: now.Sub(adapter.entries[0].item.PushedAt),
			})
		}
	}
	sort.Slice(demands, func(i, j int) bool {
		if demands[i].Ref != demands[j].Ref {
			return demands[i].Ref.String() < demands[j].Ref.String()
		}
		return demands[i].Customer < demands[j].Customer
	})
	return demands
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}
