// Package shard holds a map that is split into shards, each under its own
// lock, so that requests on different keys do not wait for each other.
package shard

import (
	"hash/maphash"
	"sync"
)

// cacheLineBytes keeps the locks of neighbouring shards on different cache
// lines; otherwise readers of one shard slow down readers of the next.
const cacheLineBytes = 64

// Map is a concurrent map. Create it with New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	mask   uint64
	shards []part[K, V]
}

type part[K comparable, V any] struct {
	mu      sync.RWMutex
	entries map[K]V
	_       [cacheLineBytes]byte
}

// New returns a map with at least the given number of shards, rounded up to a
// power of two.
func New[K comparable, V any](shards int) *Map[K, V] {
	count := 1
	for count < shards {
		count *= 2
	}
	m := &Map[K, V]{seed: maphash.MakeSeed(), mask: uint64(count - 1), shards: make([]part[K, V], count)}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) part(key K) *part[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)&m.mask]
}

// Get returns the value of a key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.part(key)
	p.mu.RLock()
	defer p.mu.RUnlock()
	value, found := p.entries[key]
	return value, found
}

// Set stores a value.
func (m *Map[K, V]) Set(key K, value V) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[key] = value
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.entries, key)
}

// Update changes the value of a key under the shard's lock. The function gets
// the value held and whether there is one, and returns the value to store and
// whether to keep the key. It must not call the map.
func (m *Map[K, V]) Update(key K, change func(value V, found bool) (V, bool)) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	value, found := p.entries[key]
	value, keep := change(value, found)
	if keep {
		p.entries[key] = value
		return
	}
	if found {
		delete(p.entries, key)
	}
}

// Sweep visits every entry, one shard under its lock at a time, and deletes
// the entries for which keep returns false. It must not call the map.
func (m *Map[K, V]) Sweep(keep func(key K, value V) bool) {
	for i := range m.shards {
		m.shards[i].sweep(keep)
	}
}

func (p *part[K, V]) sweep(keep func(key K, value V) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, value := range p.entries {
		if !keep(key, value) {
			delete(p.entries, key)
		}
	}
}

// Range visits every entry until visit returns false. Each shard is read under
// its lock; entries of different shards may stem from different moments.
func (m *Map[K, V]) Range(visit func(key K, value V) bool) {
	for i := range m.shards {
		if !m.shards[i].visit(visit) {
			return
		}
	}
}

func (p *part[K, V]) visit(visit func(key K, value V) bool) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for key, value := range p.entries {
		if !visit(key, value) {
			return false
		}
	}
	return true
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.RLock()
		total += len(m.shards[i].entries)
		m.shards[i].mu.RUnlock()
	}
	return total
}
