package placement

import (
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
	// served is, per customer, the loads begun for it. The customer with the
	// fewest comes first, so that one with many cold adapters cannot take all
	// loads from the others.
	served map[ids.CustomerID]float64
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
}

func newDemandBook(term time.Duration) *demandBook {
	return &demandBook{
		term:    term,
		entries: make(map[demandKey]map[waiterKey]waiters),
		served:  make(map[ids.CustomerID]float64),
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

// charge divides one load among the customers that wait for it.
func (b *demandBook) charge(n need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for customer, requests := range n.customers {
		b.served[customer] += float64(requests) / float64(n.requests)
	}
}

func (b *demandBook) servedOf(customer ids.CustomerID) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served[customer]
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
