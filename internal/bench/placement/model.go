package placement

import (
	"container/heap"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// The engine and store of the model.
const (
	// deadlineAfter is how long a caller waits for its request to start.
	deadlineAfter = 10 * time.Second
	prefill       = 150 * time.Millisecond
	// A decoding step takes stepBase plus stepPerRequest for each request in
	// the batch; a full batch of 8 stays below 37 ms between tokens.
	stepBase       = 20 * time.Millisecond
	stepPerRequest = 1500 * time.Microsecond
	// hop is the one-way delay between VMs and to engines.
	hop = time.Millisecond

	storePerSecond = 3
	storePlaces    = 8
	storeLoad      = 250 * time.Millisecond
)

// event is something that happens at a time of the model.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world is what both systems run on: time, engines, the store and the counts.
type world struct {
	now      time.Duration
	events   eventHeap
	sequence int

	deployment deployment
	engines    []*engine
	store      store
	meter      meter
}

func newWorld(d deployment) *world {
	w := &world{deployment: d}
	w.meter.init(d)
	for dc := range d.dataCentres {
		for n := range d.workers {
			w.engines = append(w.engines, newEngine(w, dc, n))
		}
	}
	return w
}

// after schedules f.
func (w *world) after(delay time.Duration, f func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now + delay, sequence: w.sequence, do: f})
}

// run carries out all events up to the end of the model.
func (w *world) run() {
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		if next.at > w.deployment.length {
			return
		}
		w.meter.pass(w.now, next.at)
		w.now = next.at
		next.do()
	}
}

// resident tells whether any engine holds the adapter version.
func (w *world) resident(ref ids.AdapterRef) bool {
	for _, e := range w.engines {
		if e.resident[ref] {
			return true
		}
	}
	return false
}

// store is the weight store: loads begin at its rate, and take longer when
// more than storePlaces are in flight.
type store struct {
	freeAt      time.Duration
	inFlight    int
	mostAtOnce  int
	loadsBegun  int
	longestWait time.Duration
}

// begin returns how long a load that begins now takes.
func (s *store) begin(now time.Duration) time.Duration {
	s.inFlight++
	s.loadsBegun++
	s.mostAtOnce = max(s.mostAtOnce, s.inFlight)
	pace := time.Second / storePerSecond
	// A second's worth of loads may begin at once.
	start := max(now, s.freeAt-time.Second)
	s.freeAt = max(s.freeAt, now) + pace
	s.longestWait = max(s.longestWait, start-now)
	return start - now + max(storeLoad, storeLoad*time.Duration(s.inFlight)/storePlaces)
}

// engine is one model engine.
type engine struct {
	world      *world
	id         ids.EndpointID
	dataCentre int
	resident   map[ids.AdapterRef]bool
	running    map[ids.AdapterRef]int
	usedAt     map[ids.AdapterRef]time.Duration
	active     int
	loading    int
	sequence   uint64
	waiting    []job
}

// job is one request on an engine.
type job struct {
	arrival    arrival
	ref        ids.AdapterRef
	firstToken func()
	done       func()
}

// run takes a request, and reports false if the adapter version is not there.
func (e *engine) run(j job) bool {
	if !e.resident[j.ref] {
		return false
	}
	e.running[j.ref]++
	if e.active >= e.world.deployment.maxBatch {
		e.waiting = append(e.waiting, j)
		return true
	}
	e.start(j)
	return true
}

func (e *engine) start(j job) {
	w := e.world
	e.active++
	w.meter.running++
	e.usedAt[j.ref] = w.now
	if j.ref != j.arrival.ref {
		w.meter.wrongVersion++
	}
	w.after(prefill, j.firstToken)
	step := stepBase + time.Duration(e.active)*stepPerRequest
	w.after(prefill+time.Duration(j.arrival.tokens)*step, func() {
		e.active--
		w.meter.running--
		e.running[j.ref]--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.start(next)
		}
		j.done()
	})
}

// load fetches an adapter version from the store. It fails if no slot is free.
func (e *engine) load(ref ids.AdapterRef, done func(ok bool)) {
	w := e.world
	if len(e.resident)+e.loading >= w.deployment.slots {
		w.after(hop, func() { done(false) })
		return
	}
	e.loading++
	w.after(w.store.begin(w.now), func() {
		w.store.inFlight--
		e.loading--
		e.resident[ref] = true
		e.usedAt[ref] = w.now
		done(true)
	})
}

// evict removes an adapter version, whether it serves or not.
func (e *engine) evict(ref ids.AdapterRef) {
	if e.running[ref] > 0 {
		e.world.meter.evictedServing++
	}
	delete(e.resident, ref)
}

func newEngine(w *world, dataCentre, n int) *engine {
	return &engine{
		world: w, id: endpointID(dataCentre, n), dataCentre: dataCentre,
		resident: make(map[ids.AdapterRef]bool), running: make(map[ids.AdapterRef]int), usedAt: make(map[ids.AdapterRef]time.Duration),
	}
}
