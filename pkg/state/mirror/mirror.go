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
	// MustRelay is set for a change that other mirrors need even if it leaves the
	// record in effect as it is: they may have another one in effect.
	MustRelay bool `json:"-"`

	// rank is set if Retained is. changedAt is when this mirror got the change.
	rank      Rank
	changedAt time.Time
	// effectiveAt is the revision of the last change that had an effect, and
	// previousEffect that of the one before the change at Revision.
	effectiveAt, previousEffect ids.Revision
}

// Delta holds every change after some revision, up to and including Through.
type Delta struct {
	Items   []Item       `json:"items,omitempty"`
	Through ids.Revision `json:"through"`
	// Listing is set if Items are all items instead: the sender may not know of
	// every deletion since the revision that was asked for.
	Listing bool `json:"listing,omitempty"`
	// Era is that of all revisions in the delta.
	Era ids.Era `json:"era,omitempty"`
	// Retained are the records of earlier eras that the sender keeps in effect.
	Retained []Retained `json:"retained,omitempty"`
	// EraAgeMs is the age of the era, as far as the sender knows; nil if it does not
	// know when the era began.
	EraAgeMs *int64 `json:"eraAge,omitempty"`
}

// gap is a range of revisions within which deletions may be unknown: a listing at
// listedAt followed a state that was complete through completeThrough.
type gap struct{ completeThrough, listedAt ids.Revision }

// Mirror is a copy of the store that has every change up to one revision. Its
// methods are safe for concurrent use.
type Mirror struct {
	mu    sync.RWMutex
	items map[string]Item
	// completeThrough is the revision up to which every change is applied.
	completeThrough ids.Revision
	// lastEffect is the highest revision of a change that had an effect, or of a
	// listing, behind which deletions may be hidden.
	lastEffect ids.Revision
	// gaps are the ranges that were filled by listings, in order of revision.
	gaps []gap

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

// LastEffect returns the highest revision of a change that had an effect. A
// mirror that is complete through it differs from this one only in changes
// without effect.
func (m *Mirror) LastEffect() ids.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lastEffect
}

// SkipTo completes the mirror through the position of another mirror without a
// delta, and reports whether that was possible: whether this mirror is in the same
// era and already has the other one's last change that had an effect, which must
// not be 0.
func (m *Mirror) SkipTo(position Position, lastEffect ids.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if position.Era != m.era || lastEffect == 0 || m.completeThrough < lastEffect {
		return false
	}
	m.completeThrough = max(m.completeThrough, position.Revision)
	return true
}

// MarkWithoutEffect records that the change of an item, which Merge has just
// returned without Retained or MustRelay, decodes to the same record as the item's
// previous value. Other mirrors don't need such a change, so deltas leave it out.
func (m *Mirror) MarkWithoutEffect(key string, revision ids.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, known := m.items[key]
	if !known || item.Revision != revision {
		return
	}
	item.effectiveAt = item.previousEffect
	m.items[key] = item
	m.lastEffect = 0
	if len(m.gaps) > 0 {
		m.lastEffect = m.gaps[len(m.gaps)-1].listedAt
	}
	for _, item := range m.items {
		m.lastEffect = max(m.lastEffect, item.effectiveAt)
	}
}

// set stores an item as a change that has an effect. The caller holds m.mu.
func (m *Mirror) set(item Item) {
	before := m.items[item.Key]
	item.effectiveAt, item.previousEffect, item.changedAt = item.Revision, before.effectiveAt, m.now
	switch {
	case item.Deleted && before.Deleted && len(before.Before) > 0:
		item.Before = before.Before
	case item.Deleted && !before.Deleted && len(before.Value) > 0:
		item.Before = before.Value
	}
	m.items[item.Key] = item
	m.lastEffect = max(m.lastEffect, item.Revision)
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

// Replace merges a listing: all items of the store at a revision. Keys that the
// listing lacks are marked as deleted, unless they changed after that revision.
// It returns the items that changed the mirror, deletions included.
func (m *Mirror) Replace(items []Item, revision ids.Revision) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replace(items, revision)
}

// replace is Replace for callers that hold m.mu.
func (m *Mirror) replace(items []Item, revision ids.Revision) []Item {
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = !item.Deleted
	}
	changed := m.merge(items)
	for key, current := range m.items {
		if listed[key] || current.Deleted || current.Revision > revision {
			continue
		}
		tombstone := Item{Key: key, Revision: revision, Deleted: true}
		m.set(tombstone)
		changed = append(changed, tombstone)
	}
	if revision > m.completeThrough {
		m.gaps = append(m.gaps, gap{m.completeThrough, revision})
		m.completeThrough = revision
	}
	m.lastEffect = max(m.lastEffect, revision)
	return changed
}

// merge stores the items that are newer than those of the mirror and returns
// them. It skips items at or below the revision through which the mirror is
// complete, even of unknown keys: such a key has been deleted since, and the
// item comes from an old listing or delta that arrived late. The caller holds
// m.mu.
func (m *Mirror) merge(items []Item) []Item {
	var changed []Item
	for _, item := range items {
		if item.Revision <= m.completeThrough {
			continue
		}
		if current, known := m.items[item.Key]; known && current.Revision >= item.Revision {
			continue
		}
		m.set(item)
		changed = append(changed, item)
	}
	return changed
}

// Since returns the changes after a revision that had an effect, in order of
// revision, or all items if deletions after that revision may be unknown. The
// mirror keeps the deletions that it learns of for the life of the process.
func (m *Mirror) Since(after ids.Revision) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.since(after)
}

// since is Since for callers that hold m.mu.
func (m *Mirror) since(after ids.Revision) Delta {
	for _, g := range m.gaps {
		// A mirror that is empty needs no deletions.
		if after > g.completeThrough && after < g.listedAt {
			return m.listing()
		}
	}
	delta := Delta{Through: m.completeThrough}
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
	delta := Delta{Through: m.completeThrough, Listing: true}
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
