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
	// Policy chooses among the adapters of one customer: the oldest request
	// first, or the adapter with most waiting requests first.
	Policy records.Policy
	// MaxItems bounds the queue, and MaxPerCustomer the part of one customer.
	MaxItems       int
	MaxPerCustomer int
	// ParkTerm is how long an adapter that could not run is passed over
	// unless Wake is called. It bounds the work of Pop.
	ParkTerm time.Duration
	// MaxLag bounds the virtual time, in tokens, by which a waiting customer
	// may fall behind the others. A customer whose adapter loads slowly would
	// otherwise hold all engines for itself afterwards.
	MaxLag float64
	// RefuseFactor scales the estimated wait before it is held against the
	// deadline. Below 1 it refuses less than the estimate says.
	RefuseFactor float64
}

// DefaultConfig returns the bounds in use for a policy.
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
	// Cost is the number of tokens by which the request is charged.
	Cost int64
	// Deadline is when the request must have been handed to an engine.
	Deadline time.Time
	// LoadWait is how long the request must wait for its adapter at least.
	LoadWait time.Duration
	// PushedAt is set by Push.
	PushedAt time.Time
}

// RefusalReason tells why a request was not queued.
type RefusalReason string

// The reasons for a refusal.
const (
	// RefusedDeadline means that the request could not start by its deadline.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedFull means that the queue is full.
	RefusedFull RefusalReason = "queueFull"
	// RefusedCustomerFull means that the customer's part of the queue is full.
	RefusedCustomerFull RefusalReason = "customerQueueFull"
	// RefusedRepeated means that the request id already waits.
	RefusedRepeated RefusalReason = "repeated"
)

// Refusal is the answer for a request that was not queued. It certainly did
// not run: the queue never handed it out.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is when a repeat may find a shorter queue.
	RetryAfter time.Duration
}

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 100 * time.Millisecond

// Queue holds the waiting requests of one VM for one base model. It is safe
// for concurrent use.
type Queue struct {
	cfg Config
	// fairness can be switched off in tests: one queue in order of arrival.
	fairness bool

	mu        sync.Mutex
	customers map[ids.CustomerID]*customer
	byID      map[ids.RequestID]*node
	sequence  uint64
	count     int
	// virtual is the virtual time of the latest Pop.
	virtual float64
	rate    throughput
}

// customer is one customer's part of the queue.
type customer struct {
	id       ids.CustomerID
	weight   float64
	virtual  float64
	count    int
	cost     int64
	adapters map[ids.AdapterRef]*adapterQueue
}

// adapterQueue holds one customer's requests for one adapter version, in
// order of arrival.
type adapterQueue struct {
	ref   ids.AdapterRef
	nodes []*node
	// parkedUntil passes the queue over after its adapter could not run.
	parkedUntil time.Time
}

type node struct {
	item     Item
	sequence uint64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg: cfg, fairness: true,
		customers: make(map[ids.CustomerID]*customer),
		byID:      make(map[ids.RequestID]*node),
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
	known, ok := q.customers[id]
	if !ok {
		known = &customer{id: id, weight: 1, adapters: make(map[ids.AdapterRef]*adapterQueue)}
		q.customers[id] = known
	}
	return known
}

// Push queues a request, or refuses it.
func (q *Queue) Push(now time.Time, item Item) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.byID[item.ID]; ok {
		return &Refusal{Reason: RefusedRepeated, RetryAfter: minRetryAfter}
	}
	owner := q.customer(item.Customer)
	if refusal := q.refuse(now, owner, item); refusal != nil {
		return refusal
	}
	q.activate(owner)
	q.sequence++
	item.PushedAt = now
	added := &node{item: item, sequence: q.sequence}
	q.byID[item.ID] = added
	line, ok := owner.adapters[item.Ref]
	if !ok {
		line = &adapterQueue{ref: item.Ref}
		owner.adapters[item.Ref] = line
	}
	line.nodes = append(line.nodes, added)
	owner.count++
	owner.cost += item.Cost
	q.count++
	return nil
}

// activate lets a customer that was idle begin at the present virtual time, so
// that it neither saved up service nor owes any beyond what it had.
func (q *Queue) activate(c *customer) {
	if c.count == 0 && c.virtual < q.virtual {
		c.virtual = q.virtual
	}
}

// refuse tells whether a request is refused before it waits.
func (q *Queue) refuse(now time.Time, owner *customer, item Item) *Refusal {
	wait := q.estimate(now, owner, item)
	left := item.Deadline.Sub(now)
	if left <= 0 || time.Duration(float64(wait)*q.cfg.RefuseFactor) > left {
		return &Refusal{Reason: RefusedDeadline, RetryAfter: max(wait-max(left, 0), minRetryAfter)}
	}
	if owner.count >= q.cfg.MaxPerCustomer {
		return &Refusal{Reason: RefusedCustomerFull, RetryAfter: max(wait, minRetryAfter)}
	}
	if q.count >= q.cfg.MaxItems {
		return &Refusal{Reason: RefusedFull, RetryAfter: max(wait, minRetryAfter)}
	}
	return nil
}

// estimate returns how long a new request will wait: for the tokens that fair
// queueing serves before it, or for its adapter if that takes longer.
func (q *Queue) estimate(now time.Time, owner *customer, item Item) time.Duration {
	perSecond, known := q.rate.perSecond(now)
	if !known || perSecond <= 0 {
		return item.LoadWait
	}
	ahead := float64(owner.cost)
	own := (float64(owner.cost) + float64(item.Cost)) / owner.weight
	for _, other := range q.customers {
		if other != owner && other.count > 0 {
			ahead += math.Min(float64(other.cost), own*other.weight)
		}
	}
	return max(item.LoadWait, time.Duration(ahead/perSecond*float64(time.Second)))
}

// CanRun tells whether a request for the adapter version can start now. Pop
// calls it under the queue's lock, so it must not call the queue.
type CanRun func(ref ids.AdapterRef) bool

// Pop hands out the next request that can run. Requests whose deadline has
// passed are left for Expire.
func (q *Queue) Pop(now time.Time, canRun CanRun) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.count == 0 {
		return Item{}, false
	}
	refused := make(map[ids.AdapterRef]bool)
	for _, c := range q.inTurn() {
		for _, line := range q.lines(now, c) {
			if refused[line.ref] {
				continue
			}
			head := line.firstAlive(now)
			if head < 0 {
				continue
			}
			if !canRun(line.ref) {
				refused[line.ref] = true
				line.parkedUntil = now.Add(q.cfg.ParkTerm)
				continue
			}
			return q.hand(now, c, line, head), true
		}
	}
	return Item{}, false
}

// inTurn lists customers with waiting requests, the least served first.
func (q *Queue) inTurn() []*customer {
	var active []*customer
	for _, c := range q.customers {
		if c.count > 0 {
			active = append(active, c)
		}
	}
	sort.Slice(active, func(i, j int) bool {
		if !q.fairness {
			return active[i].oldest() < active[j].oldest()
		}
		if active[i].virtual != active[j].virtual {
			return active[i].virtual < active[j].virtual
		}
		return active[i].id < active[j].id
	})
	return active
}

func (c *customer) oldest() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, line := range c.adapters {
		oldest = min(oldest, line.nodes[0].sequence)
	}
	return oldest
}

// lines lists the adapter queues of a customer in the order of the policy.
func (q *Queue) lines(now time.Time, c *customer) []*adapterQueue {
	var out []*adapterQueue
	for _, line := range c.adapters {
		if !now.Before(line.parkedUntil) {
			out = append(out, line)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if q.cfg.Policy == records.PolicyThroughput && len(a.nodes) != len(b.nodes) {
			return len(a.nodes) > len(b.nodes)
		}
		return a.nodes[0].sequence < b.nodes[0].sequence
	})
	return out
}

// firstAlive returns the index of the first request before its deadline, or -1.
func (l *adapterQueue) firstAlive(now time.Time) int {
	for i, n := range l.nodes {
		if now.Before(n.item.Deadline) {
			return i
		}
	}
	return -1
}

// hand takes a request out and charges its customer.
func (q *Queue) hand(now time.Time, c *customer, line *adapterQueue, index int) Item {
	item := line.nodes[index].item
	q.remove(c, line, index)
	if c.virtual > q.virtual {
		q.virtual = c.virtual
	}
	if floor := q.virtual - q.cfg.MaxLag; c.virtual < floor {
		c.virtual = floor
	}
	c.virtual += float64(item.Cost) / c.weight
	q.rate.add(now, float64(item.Cost), q.count > 0)
	return item
}

func (q *Queue) remove(c *customer, line *adapterQueue, index int) {
	item := line.nodes[index].item
	delete(q.byID, item.ID)
	line.nodes = append(line.nodes[:index], line.nodes[index+1:]...)
	if len(line.nodes) == 0 {
		delete(c.adapters, line.ref)
	}
	c.count--
	c.cost -= item.Cost
	q.count--
}

// Settle corrects a customer's virtual time when a request used fewer tokens
// than it was charged.
func (q *Queue) Settle(id ids.CustomerID, unused int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.customer(id)
	c.virtual -= float64(unused) / c.weight
}

// Return puts a request back that was handed out and certainly did not run,
// ahead of the others of its adapter, and takes its charge back.
func (q *Queue) Return(item Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.customer(item.Customer)
	c.virtual -= float64(item.Cost) / c.weight
	line, ok := c.adapters[item.Ref]
	if !ok {
		line = &adapterQueue{ref: item.Ref}
		c.adapters[item.Ref] = line
	}
	// Sequence 0 comes before every request that was pushed.
	back := &node{item: item}
	line.nodes = append([]*node{back}, line.nodes...)
	q.byID[item.ID] = back
	c.count++
	c.cost += item.Cost
	q.count++
}

// Cancel takes a waiting request out, such as when its caller has gone. It
// reports whether the request still waited, and so did not run.
func (q *Queue) Cancel(id ids.RequestID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	found, ok := q.byID[id]
	if !ok {
		return false
	}
	c := q.customer(found.item.Customer)
	line := c.adapters[found.item.Ref]
	for i, n := range line.nodes {
		if n == found {
			q.remove(c, line, i)
			break
		}
	}
	return true
}

// Expire takes out all requests whose deadline has passed. They did not run.
func (q *Queue) Expire(now time.Time) []Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Item
	for _, c := range q.customers {
		for _, line := range c.adapters {
			for i := len(line.nodes) - 1; i >= 0; i-- {
				if !now.Before(line.nodes[i].item.Deadline) {
					out = append(out, line.nodes[i].item)
					q.remove(c, line, i)
				}
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Wake lets an adapter version be tried again at once, such as after it was
// loaded.
func (q *Queue) Wake(ref ids.AdapterRef) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.customers {
		if line, ok := c.adapters[ref]; ok {
			line.parkedUntil = time.Time{}
		}
	}
}

// Demand is what waits of one customer for one adapter version.
type Demand struct {
	Ref      ids.AdapterRef
	Customer ids.CustomerID
	Requests int
	Oldest   time.Duration
}

// Demands lists what waits, for placement.
func (q *Queue) Demands(now time.Time) []Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Demand
	for _, c := range q.customers {
		for _, line := range c.adapters {
			out = append(out, Demand{
				Ref: line.ref, Customer: c.id, Requests: len(line.nodes), Oldest: now.Sub(line.nodes[0].item.PushedAt),
			})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Ref != out[j].Ref {
			return out[i].Ref.String() < out[j].Ref.String()
		}
		return out[i].Customer < out[j].Customer
	})
	return out
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}
