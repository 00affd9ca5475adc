package placement

import (
	"math"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// demandKey names the waiting requests that one load serves.
type demandKey struct {
	endpoint ids.EndpointID
	ref      ids.AdapterRef
}

type waiterKey struct {
	sender   ids.VMID
	customer ids.CustomerID
}

type waiters struct {
	requests int
	since    time.Time
	toldAt   time.Time
}

// demandBook holds the demand that waits for loads, as told by all VMs.
type demandBook struct {
	mu      sync.Mutex
	term    time.Duration
	entries map[demandKey]map[waiterKey]waiters
	// served is, per customer, the loads begun for it by its weight. The customer with the
	// fewest comes first, so that one with many cold adapters cannot take all
	// loads from the others.
	served  map[ids.CustomerID]float64
	weights map[ids.CustomerID]float64
	// recent counts the loads of the last while, to see who is above its share.
	recent map[ids.CustomerID]*decaying
	// told finds the endpoint of a pair's latest demand: demand that moves to
	// another endpoint counts there only.
	told map[toldKey]ids.EndpointID
}

type toldKey struct {
	who waiterKey
	ref ids.AdapterRef
}

// need is the summed demand for one load.
type need struct {
	key      demandKey
	requests int
	since    time.Time
	// customers are those that wait, with their requests.
	customers map[ids.CustomerID]int
	// rank is the place in the order of loads; the lowest comes first.
	rank float64
	// excess tells how far its customers are above their share of the loads.
	excess float64
}

func newDemandBook(term time.Duration) *demandBook {
	return &demandBook{
		term:    term,
		entries: make(map[demandKey]map[waiterKey]waiters),
		served:  make(map[ids.CustomerID]float64),
		weights: make(map[ids.CustomerID]float64),
		recent:  make(map[ids.CustomerID]*decaying),
		told:    make(map[toldKey]ids.EndpointID),
	}
}

func (b *demandBook) tell(now time.Time, w Waiting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := demandKey{endpoint: w.Endpoint, ref: w.Ref}
	who := waiterKey{sender: w.Sender, customer: w.Customer}
	pair := toldKey{who: who, ref: w.Ref}
	if before, ok := b.told[pair]; ok && (before != w.Endpoint || w.Requests <= 0) {
		b.remove(demandKey{endpoint: before, ref: w.Ref}, who)
	}
	if w.Requests <= 0 {
		return
	}
	b.told[pair] = w.Endpoint
	if b.entries[key] == nil {
		b.entries[key] = make(map[waiterKey]waiters)
	}
	b.entries[key][who] = waiters{requests: w.Requests, since: now.Add(-w.Oldest), toldAt: now}
}

func (b *demandBook) remove(key demandKey, who waiterKey) {
	delete(b.told, toldKey{who: who, ref: key.ref})
	delete(b.entries[key], who)
	if len(b.entries[key]) == 0 {
		delete(b.entries, key)
	}
}

// needs returns the demand in force and drops what was not told again in time.
func (b *demandBook) needs(now time.Time) []need {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []need
	active := make(map[ids.CustomerID]bool)
	for key, all := range b.entries {
		n := need{key: key, customers: make(map[ids.CustomerID]int)}
		for who, w := range all {
			if now.Sub(w.toldAt) > b.term {
				b.remove(key, who)
				continue
			}
			n.requests += w.requests
			n.customers[who.customer] += w.requests
			active[who.customer] = true
			if n.since.IsZero() || w.since.Before(n.since) {
				n.since = w.since
			}
		}
		if n.requests == 0 {
			continue
		}
		out = append(out, n)
	}
	b.catchUp(active)
	return out
}

// catchUp lifts customers without demand to the least served one with demand,
// so that nobody saves up loads while idle.
func (b *demandBook) catchUp(active map[ids.CustomerID]bool) {
	least, found := 0.0, false
	for customer := range active {
		if served := b.served[customer]; !found || served < least {
			least, found = served, true
		}
	}
	if !found {
		return
	}
	for customer, served := range b.served {
		if !active[customer] && served < least {
			b.served[customer] = least
		}
	}
	for customer := range active {
		if _, ok := b.served[customer]; !ok {
			b.served[customer] = least
		}
	}
}

// shareMemory is the half-life of the loads that count towards a customer's
// share. It covers some dozens of loads at an owner's part of the store's rate.
const shareMemory = time.Minute

// charge divides one load among the customers that wait for it.
func (b *demandBook) charge(now time.Time, n need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for customer, requests := range n.customers {
		part := float64(requests) / float64(n.requests)
		b.served[customer] += part / b.weightOf(customer)
		if b.recent[customer] == nil {
			b.recent[customer] = &decaying{}
		}
		b.recent[customer].add(now, part, shareMemory)
	}
}

func (b *demandBook) weightOf(customer ids.CustomerID) float64 {
	if weight, ok := b.weights[customer]; ok {
		return weight
	}
	return 1
}

// leastRecent is the number of recent loads from which a customer counts as
// active when shares are computed.
const leastRecent = 0.05

// excess returns how far above its share of the recent loads the customers of
// a need are, by weight among those that had any: 0 within the share, 1 at
// twice the share. The customer that is least above it counts.
func (b *demandBook) excess(now time.Time, n need) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads, weights := 0.0, 0.0
	for customer, recent := range b.recent {
		if value := recent.read(now, shareMemory); value > leastRecent {
			loads += value
			weights += b.weightOf(customer)
		}
	}
	least := math.Inf(1)
	for customer := range n.customers {
		recent := b.recent[customer]
		if recent == nil || loads == 0 {
			return 0
		}
		share := loads * b.weightOf(customer) / weights
		least = min(least, max(0, recent.read(now, shareMemory)/share-1))
	}
	return least
}

func (b *demandBook) setWeight(customer ids.CustomerID, weight float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if weight > 0 {
		b.weights[customer] = weight
	}
}

// leastServed returns, for each need, the service of its least served customer.
func (b *demandBook) leastServed(needs []need) []float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]float64, len(needs))
	for i, n := range needs {
		first := true
		for customer := range n.customers {
			if served := b.served[customer]; first || served < out[i] {
				out[i], first = served, false
			}
		}
	}
	return out
}

// drop removes the demand for a load that has been carried out.
func (b *demandBook) drop(key demandKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for who := range b.entries[key] {
		b.remove(key, who)
	}
}

// count returns the requests that wait for an adapter version on an endpoint.
func (b *demandBook) count(key demandKey) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, w := range b.entries[key] {
		n += w.requests
	}
	return n
}
