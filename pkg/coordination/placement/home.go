package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// shardCount keeps requests for different adapters from sharing a lock.
const shardCount = 16

// loadBoundFactor is how far above the mean of all engines the pending work of
// a home may be. Rendezvous hashing alone puts up to twice the mean on the
// unluckiest of a dozen engines.
const loadBoundFactor = 1.25

// Holding is one adapter version on one endpoint, with the run of the engine
// in which it is resident.
type Holding struct {
	Endpoint ids.EndpointID
	Ref      ids.AdapterRef
	Boot     ids.BootID
}

// place is one adapter version on one endpoint.
type place struct {
	ref      ids.AdapterRef
	endpoint ids.EndpointID
}

// placeIndex finds endpoints by resident adapter.
type placeIndex struct {
	shards [shardCount]struct {
		mu     sync.RWMutex
		places map[ids.AdapterID][]place
	}
}

func (x *placeIndex) init() {
	for i := range x.shards {
		x.shards[i].places = make(map[ids.AdapterID][]place)
	}
}

func shardOf(adapter ids.AdapterID) int {
	return int(xxh3.HashString(string(adapter)) % shardCount)
}

func (x *placeIndex) add(ref ids.AdapterRef, id ids.EndpointID) {
	shard := &x.shards[shardOf(ref.Adapter)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	added := place{ref: ref, endpoint: id}
	known := shard.places[ref.Adapter]
	if slices.Contains(known, added) {
		return
	}
	// Readers keep the old slice, so the new one must not share its array.
	shard.places[ref.Adapter] = append(known[:len(known):len(known)], added)
}

func (x *placeIndex) remove(ref ids.AdapterRef, id ids.EndpointID) {
	shard := &x.shards[shardOf(ref.Adapter)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var kept []place
	for _, known := range shard.places[ref.Adapter] {
		if known != (place{ref: ref, endpoint: id}) {
			kept = append(kept, known)
		}
	}
	if len(kept) == 0 {
		delete(shard.places, ref.Adapter)
		return
	}
	shard.places[ref.Adapter] = kept
}

func (x *placeIndex) removeAll(id ids.EndpointID, refs []ids.AdapterRef) {
	for _, ref := range refs {
		x.remove(ref, id)
	}
}

func (x *placeIndex) of(adapter ids.AdapterID) []place {
	shard := &x.shards[shardOf(adapter)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.places[adapter]
}

// homeBook remembers which endpoint was chosen for a load, so that all waiters
// at this VM ask for the same one.
type homeBook struct {
	mu     sync.Mutex
	term   time.Duration
	chosen map[ids.AdapterRef]home
	// pending counts the chosen homes per endpoint.
	pending map[ids.EndpointID]int
}

type home struct {
	endpoint ids.EndpointID
	at       time.Time
}

func (b *homeBook) init(term time.Duration) {
	b.term = term
	b.chosen = make(map[ids.AdapterRef]home)
	b.pending = make(map[ids.EndpointID]int)
}

func (b *homeBook) get(now time.Time, ref ids.AdapterRef) (ids.EndpointID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.chosen[ref]
	if !ok {
		return "", false
	}
	if now.Sub(known.at) > b.term {
		b.forget(ref)
		return "", false
	}
	return known.endpoint, true
}

func (b *homeBook) set(now time.Time, ref ids.AdapterRef, id ids.EndpointID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(ref)
	b.chosen[ref] = home{endpoint: id, at: now}
	b.pending[id]++
}

func (b *homeBook) clear(ref ids.AdapterRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(ref)
}

func (b *homeBook) forget(ref ids.AdapterRef) {
	known, ok := b.chosen[ref]
	if !ok {
		return
	}
	delete(b.chosen, ref)
	b.pending[known.endpoint]--
	if b.pending[known.endpoint] <= 0 {
		delete(b.pending, known.endpoint)
	}
}

func (b *homeBook) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for ref, known := range b.chosen {
		if now.Sub(known.at) > b.term {
			b.forget(ref)
		}
	}
}

func (b *homeBook) snapshot() (map[ids.EndpointID]int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[ids.EndpointID]int, len(b.pending))
	total := 0
	for id, n := range b.pending {
		out[id] = n
		total += n
	}
	return out, total
}

// Wanted is the demand for one adapter version at this VM.
type Wanted struct {
	Ref       ids.AdapterRef
	BaseModel string
	Requests  int
}

// Where tells at which endpoint the waiting requests need a load, and reports
// false if they need none or none is possible: an adapter version that is
// resident is loaded once more only if its holders have no room and enough
// requests wait. The daemon calls it for the demands of its queue and tells
// the owner of the endpoint.
func (p *Planner) Where(now time.Time, w Wanted) (ids.EndpointID, bool) {
	holders, room, batch := 0, 0, 0
	for _, holding := range p.Holders(w.Ref.Adapter) {
		if holding.Ref != w.Ref {
			continue
		}
		view, ok := p.View(holding.Endpoint)
		if !ok || !view.Reachable || view.Record.State != records.EndpointServing {
			continue
		}
		holders++
		batch = max(batch, view.Record.MaxBatch)
		room += max(0, view.Record.MaxBatch-view.Running-view.Waiting)
	}
	enough := float64(w.Requests) >= p.cfg.ReplicaBacklog*float64(batch)
	if holders > 0 && (room > 0 || !enough) {
		return "", false
	}
	return p.Home(now, w.Ref, w.BaseModel)
}

// MarkCrowded notes that the owner of an endpoint could evict nothing there.
func (p *Planner) MarkCrowded(now time.Time, id ids.EndpointID) {
	if known := p.engine(id); known != nil {
		known.mu.Lock()
		known.crowdedUntil = now.Add(p.cfg.CrowdedTerm)
		known.mu.Unlock()
	}
}

// Crowded tells whether nothing could be evicted on an endpoint lately. Owners
// put it into the answer to work.wait.
func (p *Planner) Crowded(now time.Time, id ids.EndpointID) bool {
	known := p.engine(id)
	if known == nil {
		return false
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	return now.Before(known.crowdedUntil)
}

// Home returns the endpoint at which an adapter version should be loaded: the
// highest in rendezvous order whose pending loads are within a bound above the
// mean and that is not crowded. Endpoints that hold the version already, that
// take no new work or that failed to load it a short while ago are left out.
// It reports false if none is left.
func (p *Planner) Home(now time.Time, ref ids.AdapterRef, baseModel string) (ids.EndpointID, bool) {
	if id, ok := p.homes.get(now, ref); ok && p.eligible(now, id, ref, baseModel) && !p.Crowded(now, id) {
		return id, true
	}
	pending, total := p.homes.snapshot()
	engines := p.all()
	bound := math.Ceil(loadBoundFactor * float64(total+1) / float64(max(1, len(engines))))
	best, relaxed := ids.EndpointID(""), ids.EndpointID("")
	var bestScore, relaxedScore uint64
	seed := xxh3.HashString(string(ref.Adapter))
	for _, known := range engines {
		if !p.eligible(now, known.id, ref, baseModel) {
			continue
		}
		score := xxh3.HashStringSeed(string(known.id), seed)
		if relaxed == "" || score > relaxedScore {
			relaxed, relaxedScore = known.id, score
		}
		bounded := float64(pending[known.id]) < bound && !p.Crowded(now, known.id)
		if bounded && (best == "" || score > bestScore) {
			best, bestScore = known.id, score
		}
	}
	if best == "" {
		best = relaxed
	}
	if best == "" {
		return "", false
	}
	p.homes.set(now, ref, best)
	return best, true
}

// eligible tells whether an adapter version could be loaded at an endpoint.
func (p *Planner) eligible(now time.Time, id ids.EndpointID, ref ids.AdapterRef, baseModel string) bool {
	known := p.engine(id)
	if known == nil {
		return false
	}
	known.mu.Lock()
	ok := known.takesWork() && known.record.BaseModel == baseModel && known.resident[ref] == nil
	known.mu.Unlock()
	return ok && !p.backoff.active(now, demandKey{endpoint: id, ref: ref})
}

// Rehome drops the chosen home of an adapter version, such as after its owner
// answered that it does not own the endpoint.
func (p *Planner) Rehome(ref ids.AdapterRef) {
	p.homes.clear(ref)
}
