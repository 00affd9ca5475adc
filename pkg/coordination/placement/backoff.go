package placement

import (
	"sync"
	"time"
)

// backoffTable delays the next attempt after a load failed, per endpoint and
// adapter version. The delay doubles with each failure in a row. It is safe for
// concurrent use.
type backoffTable struct {
	mu           sync.Mutex
	initialDelay time.Duration
	maxDelay     time.Duration
	byLoad       map[demandKey]backoff
}

// backoff is the state after the latest failed load. failures counts the
// failures in a row.
type backoff struct {
	failures int
	until    time.Time
}

// retentionFactor times the longest delay is how long a backoff is kept after
// it ends. A failure in that time still counts as one in a row.
const retentionFactor = 4

func (b *backoffTable) init(initialDelay, maxDelay time.Duration) {
	b.initialDelay, b.maxDelay = initialDelay, maxDelay
	b.byLoad = make(map[demandKey]backoff)
}

func (b *backoffTable) recordFailure(now time.Time, key demandKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.byLoad[key]
	delay := b.initialDelay
	for i := 0; i < entry.failures && delay < b.maxDelay; i++ {
		delay *= 2
	}
	entry.failures++
	entry.until = now.Add(min(delay, b.maxDelay))
	b.byLoad[key] = entry
}

func (b *backoffTable) recordSuccess(key demandKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byLoad, key)
}

// active reports whether loads for the key are still delayed.
func (b *backoffTable) active(now time.Time, key demandKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, ok := b.byLoad[key]
	return ok && now.Before(entry.until)
}

func (b *backoffTable) removeExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, entry := range b.byLoad {
		if now.Sub(entry.until) > retentionFactor*b.maxDelay {
			delete(b.byLoad, key)
		}
	}
}
