package placement

import (
	"math/rand/v2"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// baseline is random placement with LRU eviction and one queue in order of
// arrival. It is one process that sees everything at once, keeps to the places
// of the store, loads once for all waiters and lets requests that can run pass
// those that cannot; so it has only its policies against it.
type baseline struct {
	world   *world
	random  *rand.Rand
	queue   []arrival
	loading map[ids.AdapterRef]bool
}

func runBaseline(d deployment, seed uint64) result {
	b := &baseline{world: newWorld(d), random: rand.New(rand.NewPCG(seed, 12)), loading: make(map[ids.AdapterRef]bool)}
	for _, a := range d.arrivals(seed) {
		b.world.after(a.at, func() { b.arrive(a) })
	}
	b.world.run()
	return b.world.meter.result("baseline", b.world.store)
}

func (b *baseline) arrive(a arrival) {
	w := b.world
	w.meter.arrived(a, w.resident(a.ref))
	b.queue = append(b.queue, a)
	w.meter.waiting++
	b.dispatch()
	w.after(deadlineAfter, b.dispatch)
}

// dispatch sends what can run and loads for the rest, in order of arrival.
func (b *baseline) dispatch() {
	w := b.world
	var kept []arrival
	for _, a := range b.queue {
		switch {
		case w.now >= a.at+deadlineAfter:
			w.meter.waiting--
			w.meter.refuse(a)
		case b.send(a):
			w.meter.waiting--
		default:
			kept = append(kept, a)
		}
	}
	b.queue = kept
	for _, a := range b.queue {
		if !b.loading[a.ref] && !w.resident(a.ref) && w.store.inFlight < storePlaces {
			b.load(a.ref)
		}
	}
}

func (b *baseline) send(a arrival) bool {
	w := b.world
	for _, e := range w.engines {
		if e.resident[a.ref] && e.active < w.deployment.maxBatch {
			return e.run(job{
				arrival: a, ref: a.ref,
				firstToken: func() { w.meter.firstToken(a, w.now) },
				done:       b.dispatch,
			})
		}
	}
	return false
}

// load picks an engine at random and evicts its least recently used adapter
// that does not serve.
func (b *baseline) load(ref ids.AdapterRef) {
	e := b.world.engines[b.random.IntN(len(b.world.engines))]
	if len(e.resident)+e.loading >= b.world.deployment.slots {
		victim, ok := e.leastRecentlyUsed()
		if !ok {
			return
		}
		e.evict(victim)
	}
	b.loading[ref] = true
	e.load(ref, func(bool) {
		delete(b.loading, ref)
		b.dispatch()
	})
}

func (e *engine) leastRecentlyUsed() (ids.AdapterRef, bool) {
	var victim ids.AdapterRef
	found := false
	for ref := range e.resident {
		if e.running[ref] > 0 {
			continue
		}
		older := e.usedAt[ref] < e.usedAt[victim] || e.usedAt[ref] == e.usedAt[victim] && ref.String() < victim.String()
		if !found || older {
			victim, found = ref, true
		}
	}
	return victim, found
}
