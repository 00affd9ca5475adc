package placement

import (
	"sync"
	"time"
)

// LoadBudget limits the loads of one VM: a token bucket bounds the loads that
// begin, and a counter bounds the loads in flight. It is the VM's part of the
// weight store's limits; the parts of all VMs must add up to at most these
// limits. It is safe for concurrent use.
type LoadBudget struct {
	mu sync.Mutex
	// perSecond and burst are the rate and size of the token bucket.
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
	// maxInFlight bounds used, the number of loads in flight.
	maxInFlight int
	used        int
	// unknownTimeout is how long a load whose outcome is unknown counts as in
	// flight; unknownUntil holds the times at which such loads stop counting.
	unknownTimeout time.Duration
	unknownUntil   []time.Time
}

// NewLoadBudget returns a budget with an empty token bucket that is refilled
// from start on. It starts empty because the VM's previous process may just
// have spent its tokens.
func NewLoadBudget(start time.Time, perSecond, burst float64, maxInFlight int, unknownTimeout time.Duration) *LoadBudget {
	return &LoadBudget{perSecond: perSecond, burst: burst, refilledAt: start, maxInFlight: maxInFlight, unknownTimeout: unknownTimeout}
}

// AcquireLoadPermit takes the permit for one load: a token and a place among
// the loads in flight. It reports whether both were available.
func (b *LoadBudget) AcquireLoadPermit(now time.Time) bool {
	return b.acquire(now, 1)
}

// AcquireSpareLoadPermit implements ReservingGate.
func (b *LoadBudget) AcquireSpareLoadPermit(now time.Time, reserve float64) bool {
	return b.acquire(now, 1+reserve*max(0, b.burst-1))
}

// acquire takes one token and a place in flight if the bucket holds at least
// minTokens.
func (b *LoadBudget) acquire(now time.Time, minTokens float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < minTokens || b.used >= b.maxInFlight {
		return false
	}
	b.tokens--
	b.used++
	return true
}

// ReleaseLoadPermit releases the place in flight, and returns the token if the
// load was not sent. If the load may still be running, its place is released
// after unknownTimeout.
func (b *LoadBudget) ReleaseLoadPermit(now time.Time, used, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if !used {
		b.tokens = min(b.burst, b.tokens+1)
	}
	if !ended {
		b.unknownUntil = append(b.unknownUntil, now.Add(b.unknownTimeout))
		return
	}
	b.used--
}

// refill adds the tokens earned since the last call, and releases the places of
// loads of unknown outcome whose time has passed. The caller holds mu.
func (b *LoadBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.perSecond*elapsed.Seconds())
		b.refilledAt = now
	}
	kept := b.unknownUntil[:0]
	for _, until := range b.unknownUntil {
		if now.Before(until) {
			kept = append(kept, until)
			continue
		}
		b.used--
	}
	b.unknownUntil = kept
}
