// Package fleet runs many light VMs in one process on a simulated clock. Each
// VM has the real catalog, membership, relay and idempotency code; the network
// between them and the platform are simulated, with faults.
package fleet

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Sim is an event loop on a simulated clock. It is not safe for use by several
// goroutines.
type Sim struct {
	Rand   *rand.Rand
	now    time.Time
	queue  eventQueue
	serial uint64
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// epoch is the start of every simulation.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewSim returns a simulation with a fixed seed.
func NewSim(seed uint64) *Sim {
	return &Sim{Rand: rand.New(rand.NewPCG(seed, seed)), now: epoch}
}

// Now returns the simulated time.
func (s *Sim) Now() time.Time { return s.now }

// Elapsed returns the simulated time since the start.
func (s *Sim) Elapsed() time.Duration { return s.now.Sub(epoch) }

// After runs a function after a delay.
func (s *Sim) After(delay time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, event{at: s.now.Add(max(delay, 0)), serial: s.serial, run: run})
}

// Every runs a function at each interval until it returns false.
func (s *Sim) Every(interval time.Duration, run func() bool) {
	s.After(interval, func() {
		if run() {
			s.Every(interval, run)
		}
	})
}

// Run carries out the events of the next period.
func (s *Sim) Run(period time.Duration) {
	end := s.now.Add(period)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// Uniform returns a random time from 0 to limit.
func (s *Sim) Uniform(limit time.Duration) time.Duration {
	return time.Duration(s.Rand.Int64N(int64(limit) + 1))
}
