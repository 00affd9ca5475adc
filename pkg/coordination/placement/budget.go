package placement

import (
	"sync"
	"time"
)

// Budget is a part of the weight store's limits that one VM may use. The parts
// of all VMs must add up to at most the limits. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// perSecond and burst limit the loads that begin.
	perSecond float64
	burst     float64
	level     float64
	filledAt  time.Time
	// places limits the loads in flight.
	places int
	used   int
	// lostTerm is how long a load without an answer keeps its place.
	lostTerm time.Duration
	lost     []time.Time
}

// NewBudget returns an empty budget that fills from start on. A VM that has
// just started must not spend what its predecessor may have spent.
func NewBudget(start time.Time, perSecond, burst float64, places int, lostTerm time.Duration) *Budget {
	return &Budget{perSecond: perSecond, burst: burst, filledAt: start, places: places, lostTerm: lostTerm}
}

// TakeLoad takes the right to begin one load and a place in flight.
func (b *Budget) TakeLoad(now time.Time) bool {
	return b.take(now, 1)
}

// TakeSpareLoad implements SpareTaker.
func (b *Budget) TakeSpareLoad(now time.Time, reserve float64) bool {
	return b.take(now, 1+reserve*max(0, b.burst-1))
}

func (b *Budget) take(now time.Time, least float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.level < least || b.used >= b.places {
		return false
	}
	b.level--
	b.used++
	return true
}

// EndLoad gives a place back, and the right too if it was not used.
func (b *Budget) EndLoad(now time.Time, used, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if !used {
		b.level = min(b.burst, b.level+1)
	}
	if !known {
		b.lost = append(b.lost, now.Add(b.lostTerm))
		return
	}
	b.used--
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level = min(b.burst, b.level+b.perSecond*elapsed.Seconds())
		b.filledAt = now
	}
	kept := b.lost[:0]
	for _, until := range b.lost {
		if now.Before(until) {
			kept = append(kept, until)
			continue
		}
		b.used--
	}
	b.lost = kept
}
