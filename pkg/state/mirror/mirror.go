// Package mirror holds an in-memory copy of the platform's key-value store on
// one VM. It merges listings, watches and deltas of peers, which may arrive
// late and out of order, and never replaces a newer revision of a key by an
// older one. A store that comes back from a copy begins a new era, in which
// revisions are given out again; records that the copy lacks stay in effect
// until they are written again. Package node reads it and updates it.
package mirror

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Item is the last known change of one key.
type Item struct {
	Key      string       `json:"k"`
	Value    []byte       `json:"v,omitempty"`
	Revision ids.Revision `json:"r"`
	Deleted  bool         `json:"d,omitempty"`
	// Before is the value that a deletion removed, if that is known.
	Before []byte `json:"b,omitempty"`
	// Retained is set for a record of an earlier era that is in effect instead of
	// the store's.
	Retained bool `json:"-"`

	// rank is set if Retained is. changedAt is when this mirror got the change.
	rank      Rank
	changedAt time.Time
	// digest is the item's part of the mirror's digest.
	digest uint64
	// effectiveAt is the revision of the last change of the content.
	effectiveAt ids.Revision
}

// Delta holds the changes after some revision, up to and including Through. That of
// a peer leaves out the changes without effect.
type Delta struct {
	Items   []Item       `json:"items,omitempty"`
	Through ids.Revision `json:"through"`
	// Digest is that of the peer's records; nil in an answer of the store.
	Digest *uint64 `json:"digest,omitempty"`
	// Listing is set if Items are all items instead.
	Listing bool `json:"listing,omitempty"`
	// Era is that of all revisions in the delta.
	Era ids.Era `json:"era,omitempty"`
	// Retained are the records of earlier eras that the sender keeps in effect.
	Retained []Retained `json:"retained,omitempty"`
	// EraAgeMs is the age of the era, as far as the sender knows; nil if it does not
	// know when the era began.
	EraAgeMs *int64 `json:"eraAge,omitempty"`
}

// ContentFunc returns a hash of what a record says, or 0 for one that says nothing.
// Records of a key with the same hash have the same effect.
type ContentFunc func(key string, value []byte) uint64

// Mirror is a copy of the store that has every change up to one revision. Its
// methods are safe for concurrent use.
type Mirror struct {
	mu    sync.RWMutex
	items map[string]Item
	// completeThrough is the revision up to which every change is applied.
	completeThrough ids.Revision
	// digest identifies the records of all keys by their content. Mirrors with the
	// same digest have the same records, by whatever changes they got them.
	digest uint64
	// content may be nil; a record then says what its bytes are.
	content ContentFunc

	// era is that of the store's records; see eras.go. eraBegan is when it began,
	// as far as this VM knows, which eraBeginKnown reports.
	era           ids.Era
	eraBegan      time.Time
	eraBeginKnown bool
	rankRecord    RankFunc
	retention     RetentionConfig
	retained      map[string]Retained
	retainedHash  uint64
	// now is the time of the last call of Merge.
	now time.Time
}

// New returns an empty mirror, complete through revision 0.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// CompleteThrough returns the revision through which the mirror is complete:
// every change with this or a lower revision has been applied.
func (m *Mirror) CompleteThrough() ids.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.completeThrough
}

// SkipTo completes the mirror through the position of a peer without a delta, and
// reports whether that was possible: whether both have the same records in the same
// era. Changes that led to the same records are of no consequence.
func (m *Mirror) SkipTo(peer Status) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer.Era != m.era || peer.Digest != m.digest || peer.RetainedHash != m.retainedHash {
		return false
	}
	m.completeThrough = max(m.completeThrough, peer.Revision)
	return true
}

// digestOf returns the part of an item in the digest. The caller holds m.mu.
func (m *Mirror) digestOf(item Item) uint64 {
	if item.Deleted {
		return 0
	}
	var content uint64
	if m.content == nil {
		content = xxh3.Hash(item.Value)
	} else if content = m.content(item.Key, item.Value); content == 0 {
		return 0
	}
	return xxh3.HashStringSeed(item.Key, content)
}

// set stores an item. The caller holds m.mu.
func (m *Mirror) set(item Item) {
	before := m.items[item.Key]
	item.digest, item.changedAt, item.effectiveAt = m.digestOf(item), m.now, item.Revision
	if item.digest == before.digest {
		item.effectiveAt = before.effectiveAt
	}
	switch {
	case item.Deleted && before.Deleted && len(before.Before) > 0:
		item.Before = before.Before
	case item.Deleted && !before.Deleted && len(before.Value) > 0:
		item.Before = before.Value
	}
	m.items[item.Key] = item
	m.digest ^= before.digest ^ item.digest
}

// Apply merges a delta that starts at or below the revision through which the
// mirror is complete, or the listing that replaces one. It returns the items
// that changed the mirror.
func (m *Mirror) Apply(delta Delta) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apply(delta)
}

// apply is Apply for callers that hold m.mu.
func (m *Mirror) apply(delta Delta) []Item {
	if delta.Listing {
		return m.replace(delta.Items, delta.Through)
	}
	changed := m.merge(delta.Items)
	m.completeThrough = max(m.completeThrough, delta.Through)
	return changed
}

// applyFromPeer is apply for the delta of a peer, and reports whether the mirror then
// has all records of the peer. The delta of a peer that got several changes of a key
// as one may lack some that this mirror needs; nothing is applied then. The caller
// holds m.mu.
func (m *Mirror) applyFromPeer(delta Delta) (changed []Item, complete bool) {
	if !delta.Listing && delta.Through > m.completeThrough {
		digest := m.digest
		for _, item := range delta.Items {
			if current := m.items[item.Key]; m.isNewer(item) {
				digest ^= current.digest ^ m.digestOf(item)
			}
		}
		if delta.Digest == nil || *delta.Digest != digest {
			return nil, false
		}
	}
	return m.apply(delta), true
}

// Replace merges a listing: all items of the store at a revision. Keys that the
// listing lacks are marked as deleted, unless they changed after that revision.
// It returns the items that changed the mirror, deletions included.
func (m *Mirror) Replace(items []Item, revision ids.Revision) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replace(items, revision)
}

// replace is Replace for callers that hold m.mu. The listing decides by its content:
// that of a peer may have older revisions for the same records.
func (m *Mirror) replace(items []Item, revision ids.Revision) []Item {
	if revision < m.completeThrough {
		return nil
	}
	var changed []Item
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = !item.Deleted
		current, known := m.items[item.Key]
		if known && current.Revision > revision {
			continue
		}
		if known && item.Revision <= current.Revision {
			if item.Deleted || m.digestOf(item) == current.digest {
				continue
			}
			item.Revision = revision
		}
		m.set(item)
		changed = append(changed, item)
	}
	for key, current := range m.items {
		if listed[key] || current.Deleted || current.Revision > revision {
			continue
		}
		tombstone := Item{Key: key, Revision: revision, Deleted: true}
		m.set(tombstone)
		changed = append(changed, tombstone)
	}
	m.completeThrough = revision
	return changed
}

// merge stores the items that are newer than those of the mirror and returns them.
// The caller holds m.mu.
func (m *Mirror) merge(items []Item) []Item {
	var changed []Item
	for _, item := range items {
		if m.isNewer(item) {
			m.set(item)
			changed = append(changed, item)
		}
	}
	return changed
}

// isNewer reports whether an item is newer than that of the mirror. One at or below
// the revision through which the mirror is complete is not, even of an unknown key:
// that has been deleted since. The caller holds m.mu.
func (m *Mirror) isNewer(item Item) bool {
	current, known := m.items[item.Key]
	return item.Revision > m.completeThrough && (!known || current.Revision < item.Revision)
}

// Since returns the changes after a revision that had an effect on this mirror, in
// order of revision. The mirror keeps the deletions that it learns of for the life of
// the process.
func (m *Mirror) Since(after ids.Revision) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.since(after)
}

// since is Since for callers that hold m.mu.
func (m *Mirror) since(after ids.Revision) Delta {
	digest := m.digest
	delta := Delta{Through: m.completeThrough, Digest: &digest}
	for _, item := range m.items {
		if item.effectiveAt > after {
			delta.Items = append(delta.Items, item)
		}
	}
	sort.Slice(delta.Items, func(i, j int) bool { return delta.Items[i].Revision < delta.Items[j].Revision })
	return delta
}

// listing returns all items that are not deleted. The caller holds m.mu.
func (m *Mirror) listing() Delta {
	digest := m.digest
	delta := Delta{Through: m.completeThrough, Digest: &digest, Listing: true}
	for _, item := range m.items {
		if !item.Deleted {
			delta.Items = append(delta.Items, item)
		}
	}
	sort.Slice(delta.Items, func(i, j int) bool { return delta.Items[i].Key < delta.Items[j].Key })
	return delta
}

// WithPrefix returns the items that are not deleted and whose key starts with a
// prefix, in no fixed order.
func (m *Mirror) WithPrefix(prefix string) []Item {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var found []Item
	for key, item := range m.items {
		if !item.Deleted && strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	return found
}
