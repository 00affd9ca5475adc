package placement

import (
	"sync"
	"time"
)

// backoffBook delays loads that failed, per endpoint and adapter version.
type backoffBook struct {
	mu      sync.Mutex
	first   time.Duration
	most    time.Duration
	entries map[demandKey]backoff
}

type backoff struct {
	failures int
	until    time.Time
}

// backoffMemory is how long after its end a backoff still counts as a failure
// in a row, as a multiple of the longest delay.
const backoffMemory = 4

func (b *backoffBook) init(first, most time.Duration) {
	b.first, b.most = first, most
	b.entries = make(map[demandKey]backoff)
}

func (b *backoffBook) failed(now time.Time, key demandKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.entries[key]
	delay := b.first
	for i := 0; i < entry.failures && delay < b.most; i++ {
		delay *= 2
	}
	entry.failures++
	entry.until = now.Add(min(delay, b.most))
	b.entries[key] = entry
}

func (b *backoffBook) succeeded(key demandKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, key)
}

func (b *backoffBook) active(now time.Time, key demandKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, ok := b.entries[key]
	return ok && now.Before(entry.until)
}

func (b *backoffBook) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, entry := range b.entries {
		if now.Sub(entry.until) > backoffMemory*b.most {
			delete(b.entries, key)
		}
	}
}
