package placement

import (
	"math"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// loadBoundFactor bounds the pending loads of an endpoint, as a multiple of the
// mean over all endpoints. Rendezvous hashing alone puts up to twice the mean
// on the most loaded of a dozen engines.
const loadBoundFactor = 1.25

// loadTargetTable remembers the endpoint that was chosen for the load of an
// adapter version, so that all requests at this VM that wait for it ask for the
// same one. It is safe for concurrent use.
type loadTargetTable struct {
	mu     sync.Mutex
	ttl    time.Duration
	chosen map[ids.AdapterRef]loadTarget
	// pendingByEndpoint counts the chosen targets per endpoint.
	pendingByEndpoint map[ids.EndpointID]int
}

type loadTarget struct {
	endpoint ids.EndpointID
	chosenAt time.Time
}

func (b *loadTargetTable) init(ttl time.Duration) {
	b.ttl = ttl
	b.chosen = make(map[ids.AdapterRef]loadTarget)
	b.pendingByEndpoint = make(map[ids.EndpointID]int)
}

func (b *loadTargetTable) get(now time.Time, ref ids.AdapterRef) (ids.EndpointID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.chosen[ref]
	if !ok {
		return "", false
	}
	if now.Sub(target.chosenAt) > b.ttl {
		b.removeLocked(ref)
		return "", false
	}
	return target.endpoint, true
}

func (b *loadTargetTable) set(now time.Time, ref ids.AdapterRef, id ids.EndpointID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeLocked(ref)
	b.chosen[ref] = loadTarget{endpoint: id, chosenAt: now}
	b.pendingByEndpoint[id]++
}

func (b *loadTargetTable) clear(ref ids.AdapterRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeLocked(ref)
}

// removeLocked removes the target of an adapter version. The caller holds mu.
func (b *loadTargetTable) removeLocked(ref ids.AdapterRef) {
	target, ok := b.chosen[ref]
	if !ok {
		return
	}
	delete(b.chosen, ref)
	b.pendingByEndpoint[target.endpoint]--
	if b.pendingByEndpoint[target.endpoint] <= 0 {
		delete(b.pendingByEndpoint, target.endpoint)
	}
}

func (b *loadTargetTable) removeExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for ref, target := range b.chosen {
		if now.Sub(target.chosenAt) > b.ttl {
			b.removeLocked(ref)
		}
	}
}

// pendingCounts returns a copy of the pending loads per endpoint, and their
// sum.
func (b *loadTargetTable) pendingCounts() (map[ids.EndpointID]int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[ids.EndpointID]int, len(b.pendingByEndpoint))
	total := 0
	for id, count := range b.pendingByEndpoint {
		out[id] = count
		total += count
	}
	return out, total
}

// VersionDemand is the number of requests at this VM that wait for an adapter
// version.
type VersionDemand struct {
	Ref       ids.AdapterRef
	BaseModel string
	Requests  int
}

// TargetIfLoadNeeded returns the endpoint at which the waiting requests need a
// load. It reports false if they need none or none is possible. An adapter
// version that is already resident is loaded once more only if its replicas
// have no room and enough requests wait. The caller reports the demand to the
// owner of the endpoint.
func (p *Planner) TargetIfLoadNeeded(now time.Time, demand VersionDemand) (ids.EndpointID, bool) {
	replicas, freeBatchSlots, batchSize := 0, 0, 0
	for _, replica := range p.Holders(demand.Ref.Adapter) {
		if replica.Ref != demand.Ref {
			continue
		}
		view, ok := p.View(replica.Endpoint)
		if !ok || !view.Reachable || view.Record.State != records.EndpointServing {
			continue
		}
		replicas++
		batchSize = max(batchSize, view.Record.MaxBatch)
		freeBatchSlots += max(0, view.Record.MaxBatch-view.Running-view.Waiting)
	}
	backlogged := float64(demand.Requests) >= p.cfg.ReplicaBacklog*float64(batchSize)
	if replicas > 0 && (freeBatchSlots > 0 || !backlogged) {
		return "", false
	}
	return p.LoadTarget(now, demand.Ref, demand.BaseModel)
}

// MarkCrowded records that the owner of an endpoint found nothing to evict
// there.
func (p *Planner) MarkCrowded(now time.Time, id ids.EndpointID) {
	if e := p.engine(id); e != nil {
		e.mu.Lock()
		e.crowdedUntil = now.Add(p.cfg.CrowdedTerm)
		e.mu.Unlock()
	}
}

// Crowded reports whether nothing could be evicted on an endpoint recently.
// Owners put it into the answer to work.wait.
func (p *Planner) Crowded(now time.Time, id ids.EndpointID) bool {
	e := p.engine(id)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.crowdedUntil)
}

// LoadTarget returns the endpoint at which an adapter version should be loaded:
// the first in rendezvous hash order that is not crowded and whose pending
// loads are within a bound above the mean, or the first in that order if there
// is none. Endpoints are left out if they already hold the version, accept no
// new work or recently failed to load it. It reports false if none is left.
func (p *Planner) LoadTarget(now time.Time, ref ids.AdapterRef, baseModel string) (ids.EndpointID, bool) {
	if id, ok := p.targets.get(now, ref); ok && p.canLoad(now, id, ref, baseModel) && !p.Crowded(now, id) {
		return id, true
	}
	pending, total := p.targets.pendingCounts()
	engines := p.allEngines()
	pendingBound := math.Ceil(loadBoundFactor * float64(total+1) / float64(max(1, len(engines))))
	best, fallback := ids.EndpointID(""), ids.EndpointID("")
	var bestScore, fallbackScore uint64
	seed := xxh3.HashString(string(ref.Adapter))
	for _, e := range engines {
		if !p.canLoad(now, e.id, ref, baseModel) {
			continue
		}
		score := xxh3.HashStringSeed(string(e.id), seed)
		if fallback == "" || score > fallbackScore {
			fallback, fallbackScore = e.id, score
		}
		withinBound := float64(pending[e.id]) < pendingBound && !p.Crowded(now, e.id)
		if withinBound && (best == "" || score > bestScore) {
			best, bestScore = e.id, score
		}
	}
	if best == "" {
		best = fallback
	}
	if best == "" {
		return "", false
	}
	p.targets.set(now, ref, best)
	return best, true
}

// canLoad reports whether an adapter version could be loaded at an endpoint.
func (p *Planner) canLoad(now time.Time, id ids.EndpointID, ref ids.AdapterRef, baseModel string) bool {
	e := p.engine(id)
	if e == nil {
		return false
	}
	e.mu.Lock()
	ok := e.acceptsWork() && e.record.BaseModel == baseModel && e.resident[ref] == nil
	e.mu.Unlock()
	return ok && !p.backoff.active(now, demandKey{endpoint: id, ref: ref})
}

// ForgetLoadTarget discards the endpoint chosen for the load of an adapter
// version. It is used when the VM asked answers that it does not own the
// endpoint, or does not answer.
func (p *Planner) ForgetLoadTarget(ref ids.AdapterRef) {
	p.targets.clear(ref)
}
