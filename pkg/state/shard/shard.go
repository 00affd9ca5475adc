// Package shard provides a concurrent map that is split into shards, each with
// its own lock, so that requests for different keys rarely wait for each other.
// The catalog and the idempotency keys are held in such maps.
package shard

import (
	"hash/maphash"
	"sync"
)

// cacheLineBytes pads the shards so that the locks of neighbouring shards lie
// on different cache lines; otherwise readers of one shard slow down readers of
// the next.
const cacheLineBytes = 64

// Map is a concurrent map. Create it with New. Its methods are safe for
// concurrent use.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	mask   uint64
	shards []lockedMap[K, V]
}

// lockedMap is one shard: a plain map and its lock.
type lockedMap[K comparable, V any] struct {
	mu      sync.RWMutex
	entries map[K]V
	_       [cacheLineBytes]byte
}

// New returns a map with at least minShards shards; their number is rounded up
// to a power of two.
func New[K comparable, V any](minShards int) *Map[K, V] {
	count := 1
	for count < minShards {
		count *= 2
	}
	m := &Map[K, V]{seed: maphash.MakeSeed(), mask: uint64(count - 1), shards: make([]lockedMap[K, V], count)}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

// shardFor returns the shard that holds a key.
func (m *Map[K, V]) shardFor(key K) *lockedMap[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)&m.mask]
}

// Get returns the value of a key and reports whether the key is in the map.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardFor(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, found := s.entries[key]
	return value, found
}

// Set stores the value of a key.
func (m *Map[K, V]) Set(key K, value V) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[key] = value
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
}

// Update changes the entry of a key under the shard's lock. The function update
// gets the current value and whether the key is in the map. It returns the new
// value and whether to keep the key; if not, the key is removed. It must not
// call methods of the map, which could deadlock.
func (m *Map[K, V]) Update(key K, update func(value V, found bool) (V, bool)) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.entries[key]
	value, keep := update(value, found)
	if keep {
		s.entries[key] = value
		return
	}
	if found {
		delete(s.entries, key)
	}
}

// Sweep visits every entry and deletes those for which keep returns false. It
// locks one shard at a time. The function keep must not call methods of the
// map, which could deadlock.
func (m *Map[K, V]) Sweep(keep func(key K, value V) bool) {
	for i := range m.shards {
		m.shards[i].sweep(keep)
	}
}

func (s *lockedMap[K, V]) sweep(keep func(key K, value V) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.entries {
		if !keep(key, value) {
			delete(s.entries, key)
		}
	}
}

// Range visits every entry until visit returns false. It locks one shard at a
// time for reading, so entries of different shards may be of different moments.
func (m *Map[K, V]) Range(visit func(key K, value V) bool) {
	for i := range m.shards {
		if !m.shards[i].visit(visit) {
			return
		}
	}
}

func (s *lockedMap[K, V]) visit(visit func(key K, value V) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, value := range s.entries {
		if !visit(key, value) {
			return false
		}
	}
	return true
}

// Len returns the number of entries. It locks one shard at a time.
func (m *Map[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.RLock()
		total += len(m.shards[i].entries)
		m.shards[i].mu.RUnlock()
	}
	return total
}
