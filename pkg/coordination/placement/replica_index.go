package placement

import (
	"slices"
	"sync"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// shardCount is the number of locks of an index, so that requests for different
// adapters rarely contend for one.
const shardCount = 16

// Replica is an adapter version that is resident on an endpoint. Boot
// identifies the run of the engine in which it is resident.
type Replica struct {
	Endpoint ids.EndpointID
	Ref      ids.AdapterRef
	Boot     ids.BootID
}

// replicaLocation is an adapter version and an endpoint on which it is
// resident.
type replicaLocation struct {
	ref      ids.AdapterRef
	endpoint ids.EndpointID
}

// replicaIndex finds the endpoints on which any version of an adapter is
// resident. It is safe for concurrent use.
type replicaIndex struct {
	shards [shardCount]struct {
		mu        sync.RWMutex
		byAdapter map[ids.AdapterID][]replicaLocation
	}
}

func (x *replicaIndex) init() {
	for i := range x.shards {
		x.shards[i].byAdapter = make(map[ids.AdapterID][]replicaLocation)
	}
}

func shardIndex(adapter ids.AdapterID) int {
	return int(xxh3.HashString(string(adapter)) % shardCount)
}

func (x *replicaIndex) add(ref ids.AdapterRef, id ids.EndpointID) {
	shard := &x.shards[shardIndex(ref.Adapter)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	added := replicaLocation{ref: ref, endpoint: id}
	locations := shard.byAdapter[ref.Adapter]
	if slices.Contains(locations, added) {
		return
	}
	// Copy on write: readers keep the old slice after the lock is released, so
	// the new one must not share its array.
	shard.byAdapter[ref.Adapter] = append(locations[:len(locations):len(locations)], added)
}

func (x *replicaIndex) remove(ref ids.AdapterRef, id ids.EndpointID) {
	shard := &x.shards[shardIndex(ref.Adapter)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var kept []replicaLocation
	for _, location := range shard.byAdapter[ref.Adapter] {
		if location != (replicaLocation{ref: ref, endpoint: id}) {
			kept = append(kept, location)
		}
	}
	if len(kept) == 0 {
		delete(shard.byAdapter, ref.Adapter)
		return
	}
	shard.byAdapter[ref.Adapter] = kept
}

func (x *replicaIndex) removeAll(id ids.EndpointID, refs []ids.AdapterRef) {
	for _, ref := range refs {
		x.remove(ref, id)
	}
}

// lookup returns the locations of all versions of an adapter. The caller must
// not change the slice.
func (x *replicaIndex) lookup(adapter ids.AdapterID) []replicaLocation {
	shard := &x.shards[shardIndex(adapter)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.byAdapter[adapter]
}
