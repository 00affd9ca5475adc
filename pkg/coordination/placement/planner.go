package placement

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// rules can be switched off one by one in tests, to show what each prevents.
type rules struct {
	bootMatch bool
	gate      bool
}

// Planner holds one VM's view of the engines of its region. It is safe for
// concurrent use.
type Planner struct {
	cfg   Config
	rules rules
	// policy starts as that of the configuration.
	policy atomic.Value

	mu      sync.RWMutex
	engines map[ids.EndpointID]*engine
	// order lists the engines by id, for the same choice on every VM.
	order []*engine

	places  placeIndex
	homes   homeBook
	demand  *demandBook
	backoff backoffBook
	orders  orderBook
}

// NewPlanner returns a planner without endpoints.
func NewPlanner(cfg Config) *Planner {
	p := &Planner{
		cfg:     cfg,
		rules:   rules{bootMatch: true, gate: true},
		engines: make(map[ids.EndpointID]*engine),
		demand:  newDemandBook(cfg.DemandTerm),
	}
	p.policy.Store(cfg.Policy)
	p.places.init()
	p.homes.init(cfg.HomeTerm)
	p.backoff.init(cfg.BackoffFirst, cfg.BackoffMost)
	p.orders.init()
	return p
}

// SetPolicy changes what the planner favours. The daemon calls it when the
// route of model requests changes.
func (p *Planner) SetPolicy(policy records.Policy) {
	p.policy.Store(policy)
}

func (p *Planner) throughput() bool {
	return p.policy.Load() == records.PolicyThroughput
}

// SetEndpoint adds or changes a model endpoint of the region. The daemon calls
// it when a record changes. An endpoint that is leaving, or that is new under
// another address, takes no new work at once.
func (p *Planner) SetEndpoint(id ids.EndpointID, record records.Endpoint) {
	if record.Kind != records.EndpointModel {
		p.RemoveEndpoint(id)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.engines[id]
	if !ok {
		p.engines[id] = newEngine(id, record)
		p.reorder()
		return
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	if known.record.Address != record.Address {
		p.places.removeAll(id, known.restart(""))
	}
	known.record = record
}

// RemoveEndpoint forgets an endpoint whose record was withdrawn.
func (p *Planner) RemoveEndpoint(id ids.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.engines[id]
	if !ok {
		return
	}
	known.mu.Lock()
	p.places.removeAll(id, known.restart(""))
	known.mu.Unlock()
	delete(p.engines, id)
	p.reorder()
}

// SetReachable notes whether the endpoint answers this VM's probes or traffic.
func (p *Planner) SetReachable(id ids.EndpointID, reachable bool) {
	if known := p.engine(id); known != nil {
		known.mu.Lock()
		known.unreachable = !reachable
		known.mu.Unlock()
	}
}

func (p *Planner) reorder() {
	p.order = p.order[:0:0]
	for _, known := range p.engines {
		p.order = append(p.order, known)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].id < p.order[j].id })
}

func (p *Planner) engine(id ids.EndpointID) *engine {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.engines[id]
}

func (p *Planner) all() []*engine {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.order
}

// Observe takes an engine report, its own or one relayed by another VM.
// Reports of an earlier run and reports that are older than one already taken
// have no effect.
func (p *Planner) Observe(now time.Time, report Report) ReportEffect {
	known := p.engine(report.Endpoint)
	if known == nil {
		return ReportIgnored
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	effect, came, went := known.observe(now, report, p.cfg.ReportLag, p.rules.bootMatch)
	p.places.removeAll(report.Endpoint, went)
	for _, ref := range came {
		p.places.add(ref, report.Endpoint)
	}
	return effect
}

// Resident tells in which run of its engine an adapter version is resident and
// not about to be evicted. It is the ownership.ResidencyLookup of the daemon.
func (p *Planner) Resident(id ids.EndpointID, ref ids.AdapterRef) (ids.BootID, bool) {
	known := p.engine(id)
	if known == nil {
		return "", false
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	_, ok := known.resident[ref]
	return known.boot, ok && !known.evicting[ref]
}

// Missing notes that the endpoint answered that it does not know the adapter
// version, which proves that it is not resident in that run.
func (p *Planner) Missing(id ids.EndpointID, boot ids.BootID, ref ids.AdapterRef) {
	known := p.engine(id)
	if known == nil {
		return
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	if _, ok := known.resident[ref]; ok && known.boot == boot {
		delete(known.resident, ref)
		p.places.remove(ref, id)
	}
}

// Holders lists the endpoints that hold any version of an adapter, as far as
// is known, and are not about to evict it. Routing calls it for each request.
func (p *Planner) Holders(adapter ids.AdapterID) []Holding {
	places := p.places.of(adapter)
	out := make([]Holding, 0, len(places))
	for _, at := range places {
		if boot, ok := p.Resident(at.endpoint, at.ref); ok {
			out = append(out, Holding{Endpoint: at.endpoint, Ref: at.ref, Boot: boot})
		}
	}
	return out
}

// Served notes that n requests for an adapter version began on an endpoint.
func (p *Planner) Served(now time.Time, id ids.EndpointID, ref ids.AdapterRef, n int) {
	known := p.engine(id)
	if known == nil {
		return
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	if adapter, ok := known.resident[ref]; ok {
		adapter.use.add(now, float64(n), p.cfg.HalfLife)
	}
}

// Demand takes the demand of one customer at one VM for endpoints that this VM
// owns, from the VM's own queue or from a work.wait message.
func (p *Planner) Demand(now time.Time, w Waiting) {
	p.demand.tell(now, w)
}

// SetWeight sets a customer's weight in the order of loads; the default is 1.
func (p *Planner) SetWeight(customer ids.CustomerID, weight float64) {
	p.demand.setWeight(customer, weight)
}

// View describes one endpoint for status pages and routing.
type View struct {
	Endpoint  ids.EndpointID
	Record    records.Endpoint
	Boot      ids.BootID
	Resident  int
	FreeSlots int
	Running   int
	Waiting   int
	Reachable bool
}

// View returns what is known of an endpoint.
func (p *Planner) View(id ids.EndpointID) (View, bool) {
	known := p.engine(id)
	if known == nil {
		return View{}, false
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	return View{
		Endpoint: id, Record: known.record, Boot: known.boot, Resident: len(known.resident),
		FreeSlots: known.freeSlots(), Running: known.running, Waiting: known.waiting,
		Reachable: !known.unreachable,
	}, true
}
