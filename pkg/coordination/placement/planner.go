package placement

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// safetyChecks are always on in production. Tests switch them off one by one to
// show what each prevents.
type safetyChecks struct {
	// bootMatch ignores reports and answers of earlier runs of an engine.
	bootMatch bool
	// gate plans only the orders that the gate allows.
	gate bool
}

// Planner plans loads and evictions from one VM's view of the engines of its
// region. It is safe for concurrent use.
type Planner struct {
	cfg          Config
	safetyChecks safetyChecks
	// policy holds a records.Policy; it starts with that of cfg.
	policy atomic.Value

	mu      sync.RWMutex
	engines map[ids.EndpointID]*engine
	// sortedEngines is sorted by ID, so that every VM makes the same choice. It
	// is replaced and never changed in place.
	sortedEngines []*engine

	replicas      replicaIndex
	targets       loadTargetTable
	waitingDemand *demandTable
	backoff       backoffTable
	orders        orderTable
}

// NewPlanner returns a planner without endpoints.
func NewPlanner(cfg Config) *Planner {
	p := &Planner{
		cfg:           cfg,
		safetyChecks:  safetyChecks{bootMatch: true, gate: true},
		engines:       make(map[ids.EndpointID]*engine),
		waitingDemand: newDemandTable(cfg.DemandTerm),
	}
	p.policy.Store(cfg.Policy)
	p.replicas.init()
	p.targets.init(cfg.HomeTerm)
	p.backoff.init(cfg.BackoffFirst, cfg.BackoffMost)
	p.orders.init()
	return p
}

// SetPolicy switches between the latency and the throughput policy. The daemon
// calls it when the route of model requests changes.
func (p *Planner) SetPolicy(policy records.Policy) {
	p.policy.Store(policy)
}

func (p *Planner) prefersThroughput() bool {
	return p.policy.Load() == records.PolicyThroughput
}

// SetEndpoint adds or updates a model endpoint of the region. The daemon calls
// it when a record changes. An endpoint that is leaving gets no new work from
// then on, and one whose address changed gets no orders until it reports.
func (p *Planner) SetEndpoint(id ids.EndpointID, record records.Endpoint) {
	if record.Kind != records.EndpointModel {
		p.RemoveEndpoint(id)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.engines[id]
	if !ok {
		p.engines[id] = newEngine(id, record)
		p.rebuildSortedEngines()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Address != record.Address {
		p.replicas.removeAll(id, e.startRun(""))
	}
	e.record = record
}

// RemoveEndpoint removes an endpoint whose record was withdrawn.
func (p *Planner) RemoveEndpoint(id ids.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.engines[id]
	if !ok {
		return
	}
	e.mu.Lock()
	p.replicas.removeAll(id, e.startRun(""))
	e.mu.Unlock()
	delete(p.engines, id)
	p.rebuildSortedEngines()
}

// SetReachable records whether the endpoint answers this VM's probes or
// requests.
func (p *Planner) SetReachable(id ids.EndpointID, reachable bool) {
	if e := p.engine(id); e != nil {
		e.mu.Lock()
		e.unreachable = !reachable
		e.mu.Unlock()
	}
}

// rebuildSortedEngines replaces sortedEngines. The caller holds mu.
func (p *Planner) rebuildSortedEngines() {
	p.sortedEngines = p.sortedEngines[:0:0]
	for _, e := range p.engines {
		p.sortedEngines = append(p.sortedEngines, e)
	}
	sort.Slice(p.sortedEngines, func(i, j int) bool { return p.sortedEngines[i].id < p.sortedEngines[j].id })
}

func (p *Planner) engine(id ids.EndpointID) *engine {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.engines[id]
}

func (p *Planner) allEngines() []*engine {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.sortedEngines
}

// Observe applies an engine report that this VM received itself or that another
// VM relayed. Reports of an earlier run of the engine, and reports older than
// one already applied, have no effect.
func (p *Planner) Observe(now time.Time, report Report) ReportEffect {
	e := p.engine(report.Endpoint)
	if e == nil {
		return ReportIgnored
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	effect, added, removed := e.applyReport(now, report, p.cfg.ReportLag, p.safetyChecks.bootMatch)
	p.replicas.removeAll(report.Endpoint, removed)
	for _, ref := range added {
		p.replicas.add(ref, report.Endpoint)
	}
	return effect
}

// Resident returns the run of the engine, and reports whether the adapter
// version is resident in it and not being evicted. The daemon passes it to
// package ownership as its Residency.
func (p *Planner) Resident(id ids.EndpointID, ref ids.AdapterRef) (ids.BootID, bool) {
	e := p.engine(id)
	if e == nil {
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.resident[ref]
	return e.boot, ok && !e.evicting[ref]
}

// MarkNotResident records that the endpoint answered that it does not know the
// adapter version, which proves that it is not resident in that run.
func (p *Planner) MarkNotResident(id ids.EndpointID, boot ids.BootID, ref ids.AdapterRef) {
	e := p.engine(id)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.resident[ref]; ok && e.boot == boot {
		delete(e.resident, ref)
		p.replicas.remove(ref, id)
	}
}

// Holders returns the endpoints that are known to hold any version of an
// adapter and are not evicting it. Routing calls it for each request.
func (p *Planner) Holders(adapter ids.AdapterID) []Replica {
	replicas := p.replicas.lookup(adapter)
	out := make([]Replica, 0, len(replicas))
	for _, location := range replicas {
		if boot, ok := p.Resident(location.endpoint, location.ref); ok {
			out = append(out, Replica{Endpoint: location.endpoint, Ref: location.ref, Boot: boot})
		}
	}
	return out
}

// RecordUse records that a number of requests for an adapter version began on an
// endpoint. Evictions spare the adapters that are used most.
func (p *Planner) RecordUse(now time.Time, id ids.EndpointID, ref ids.AdapterRef, requests int) {
	e := p.engine(id)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if adapter, ok := e.resident[ref]; ok {
		adapter.recentUse.add(now, float64(requests), p.cfg.HalfLife)
	}
}

// UpdateDemand replaces the demand of one customer at one VM for an endpoint
// that this VM owns. It comes from the VM's own queue or from a work.wait
// message.
func (p *Planner) UpdateDemand(now time.Time, demand CustomerDemand) {
	p.waitingDemand.set(now, demand)
}

// SetWeight sets a customer's weight in the order of loads; the default is 1.
func (p *Planner) SetWeight(customer ids.CustomerID, weight float64) {
	p.waitingDemand.setWeight(customer, weight)
}

// View is what the planner knows of an endpoint. Resident, FreeSlots, Running
// and Waiting are counts of adapters, slots and requests.
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
	e := p.engine(id)
	if e == nil {
		return View{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return View{
		Endpoint: id, Record: e.record, Boot: e.boot, Resident: len(e.resident),
		FreeSlots: e.freeSlots(), Running: e.running, Waiting: e.waiting,
		Reachable: !e.unreachable,
	}, true
}
