package placement

import (
	"math"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// demandKey identifies a load that requests wait for: an adapter version on an
// endpoint.
type demandKey struct {
	endpoint ids.EndpointID
	ref      ids.AdapterRef
}

// demandSource is a customer's queue at one VM.
type demandSource struct {
	sender   ids.VMID
	customer ids.CustomerID
}

// sourceDemand is the latest demand that a source reported for a load.
type sourceDemand struct {
	requests     int
	waitingSince time.Time
	reportedAt   time.Time
}

// demandTable holds the demand for loads that all VMs reported, and the loads
// charged to each customer. It is safe for concurrent use.
type demandTable struct {
	mu sync.Mutex
	// ttl is how long demand counts after its last report.
	ttl      time.Duration
	bySource map[demandKey]map[demandSource]sourceDemand
	// chargedLoads is the number of loads begun for each customer, divided by its
	// weight. The customer with the fewest comes first, so that one with many
	// cold adapters cannot take all loads from the others.
	chargedLoads map[ids.CustomerID]float64
	weights      map[ids.CustomerID]float64
	// recentLoads counts each customer's loads with a half-life of
	// recentLoadsHalfLife, to find the customers that are above their share.
	recentLoads map[ids.CustomerID]*decayingCount
	// reportedEndpoint is the endpoint that a source named last for an adapter
	// version. Demand that moves to another endpoint counts only there.
	reportedEndpoint map[reportKey]ids.EndpointID
}

// reportKey identifies the demand of one source for one adapter version.
type reportKey struct {
	source demandSource
	ref    ids.AdapterRef
}

// loadDemand is the demand of all sources for one load.
type loadDemand struct {
	key          demandKey
	requests     int
	waitingSince time.Time
	// requestsByCustomer holds the number of waiting requests of each customer.
	requestsByCustomer map[ids.CustomerID]int
	// rank orders the loads; the lowest rank is loaded first.
	rank float64
	// excessShare is how far its customers are above their share of recent loads,
	// see demandTable.excessShare.
	excessShare float64
}

func newDemandTable(ttl time.Duration) *demandTable {
	return &demandTable{
		ttl:              ttl,
		bySource:         make(map[demandKey]map[demandSource]sourceDemand),
		chargedLoads:     make(map[ids.CustomerID]float64),
		weights:          make(map[ids.CustomerID]float64),
		recentLoads:      make(map[ids.CustomerID]*decayingCount),
		reportedEndpoint: make(map[reportKey]ids.EndpointID),
	}
}

// set replaces what the same source reported for the same adapter version.
// Demand for zero requests removes it.
func (b *demandTable) set(now time.Time, demand CustomerDemand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := demandKey{endpoint: demand.Endpoint, ref: demand.Ref}
	source := demandSource{sender: demand.Sender, customer: demand.Customer}
	report := reportKey{source: source, ref: demand.Ref}
	if previous, ok := b.reportedEndpoint[report]; ok && (previous != demand.Endpoint || demand.Requests <= 0) {
		b.removeSource(demandKey{endpoint: previous, ref: demand.Ref}, source)
	}
	if demand.Requests <= 0 {
		return
	}
	b.reportedEndpoint[report] = demand.Endpoint
	if b.bySource[key] == nil {
		b.bySource[key] = make(map[demandSource]sourceDemand)
	}
	b.bySource[key][source] = sourceDemand{requests: demand.Requests, waitingSince: now.Add(-demand.Oldest), reportedAt: now}
}

// removeSource removes the demand of one source. The caller holds mu.
func (b *demandTable) removeSource(key demandKey, source demandSource) {
	delete(b.reportedEndpoint, reportKey{source: source, ref: key.ref})
	delete(b.bySource[key], source)
	if len(b.bySource[key]) == 0 {
		delete(b.bySource, key)
	}
}

// activeDemands returns the demand per load, and removes demand that was not
// reported again within the TTL.
func (b *demandTable) activeDemands(now time.Time) []loadDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []loadDemand
	active := make(map[ids.CustomerID]bool)
	for key, sources := range b.bySource {
		total := loadDemand{key: key, requestsByCustomer: make(map[ids.CustomerID]int)}
		for source, waiting := range sources {
			if now.Sub(waiting.reportedAt) > b.ttl {
				b.removeSource(key, source)
				continue
			}
			total.requests += waiting.requests
			total.requestsByCustomer[source.customer] += waiting.requests
			active[source.customer] = true
			if total.waitingSince.IsZero() || waiting.waitingSince.Before(total.waitingSince) {
				total.waitingSince = waiting.waitingSince
			}
		}
		if total.requests == 0 {
			continue
		}
		out = append(out, total)
	}
	b.raiseIdleCustomers(active)
	return out
}

// raiseIdleCustomers raises the charge of customers without demand to the
// lowest charge of those with demand, so that no customer accumulates credit
// while it is idle.
func (b *demandTable) raiseIdleCustomers(active map[ids.CustomerID]bool) {
	lowest, found := 0.0, false
	for customer := range active {
		if chargedLoads := b.chargedLoads[customer]; !found || chargedLoads < lowest {
			lowest, found = chargedLoads, true
		}
	}
	if !found {
		return
	}
	for customer, chargedLoads := range b.chargedLoads {
		if !active[customer] && chargedLoads < lowest {
			b.chargedLoads[customer] = lowest
		}
	}
	for customer := range active {
		if _, ok := b.chargedLoads[customer]; !ok {
			b.chargedLoads[customer] = lowest
		}
	}
}

// recentLoadsHalfLife is the half-life of the loads that count towards a
// customer's share. It covers a few dozen loads at the part of the weight
// store's rate that one owner gets.
const recentLoadsHalfLife = time.Minute

// charge divides one load among the customers that wait for it, in proportion
// to their waiting requests.
func (b *demandTable) charge(now time.Time, demand loadDemand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for customer, requests := range demand.requestsByCustomer {
		share := float64(requests) / float64(demand.requests)
		b.chargedLoads[customer] += share / b.weightOf(customer)
		if b.recentLoads[customer] == nil {
			b.recentLoads[customer] = &decayingCount{}
		}
		b.recentLoads[customer].add(now, share, recentLoadsHalfLife)
	}
}

func (b *demandTable) weightOf(customer ids.CustomerID) float64 {
	if weight, ok := b.weights[customer]; ok {
		return weight
	}
	return 1
}

// minRecentLoads is the number of recent loads above which a customer counts as
// active when shares are computed.
const minRecentLoads = 0.05

// excessShare returns how far the customers of a load are above their share of
// recent loads: 0 within the share, 1 at twice the share. Shares are by weight
// among the customers that had recent loads. If several customers wait for the
// load, the lowest excess counts.
func (b *demandTable) excessShare(now time.Time, demand loadDemand) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	totalLoads, totalWeight := 0.0, 0.0
	for customer, recentLoads := range b.recentLoads {
		if count := recentLoads.valueAt(now, recentLoadsHalfLife); count > minRecentLoads {
			totalLoads += count
			totalWeight += b.weightOf(customer)
		}
	}
	lowest := math.Inf(1)
	for customer := range demand.requestsByCustomer {
		recentLoads := b.recentLoads[customer]
		if recentLoads == nil || totalLoads == 0 {
			return 0
		}
		share := totalLoads * b.weightOf(customer) / totalWeight
		lowest = min(lowest, max(0, recentLoads.valueAt(now, recentLoadsHalfLife)/share-1))
	}
	return lowest
}

func (b *demandTable) setWeight(customer ids.CustomerID, weight float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if weight > 0 {
		b.weights[customer] = weight
	}
}

// lowestCharges returns, for each load, the charged loads of the least charged
// customer that waits for it.
func (b *demandTable) lowestCharges(demands []loadDemand) []float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]float64, len(demands))
	for i, demand := range demands {
		first := true
		for customer := range demand.requestsByCustomer {
			if chargedLoads := b.chargedLoads[customer]; first || chargedLoads < out[i] {
				out[i], first = chargedLoads, false
			}
		}
	}
	return out
}

// removeAll removes the demand for a load that has been carried out.
func (b *demandTable) removeAll(key demandKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for source := range b.bySource[key] {
		b.removeSource(key, source)
	}
}

// waitingRequests returns the number of requests that wait for an adapter
// version on an endpoint.
func (b *demandTable) waitingRequests(key demandKey) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, waiting := range b.bySource[key] {
		total += waiting.requests
	}
	return total
}
