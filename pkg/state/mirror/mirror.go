// Package mirror holds an in-memory copy of the platform's key-value store on
// one VM. It merges listings, watches and deltas of peers, which may arrive
// late and out of order, and never replaces a newer revision of a key by an
// older one. Package node reads it and updates it.
package mirror

import (
	"sort"
	"strings"
	"sync"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Item is the last known change of one key.
type Item struct {
	Key      string       `json:"k"`
	Value    []byte       `json:"v,omitempty"`
	Revision ids.Revision `json:"r"`
	Deleted  bool         `json:"d,omitempty"`
}

// Delta holds every change after some revision, up to and including Through.
type Delta struct {
	Items   []Item       `json:"items,omitempty"`
	Through ids.Revision `json:"through"`
}

// Mirror is a copy of the store that has every change up to one revision. Its
// methods are safe for concurrent use.
type Mirror struct {
	mu    sync.RWMutex
	items map[string]Item
	// completeThrough is the revision up to which every change is applied.
	completeThrough ids.Revision
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

// Apply merges a delta that starts at or below the revision through which the
// mirror is complete. It returns the items that changed the mirror.
func (m *Mirror) Apply(delta Delta) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
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
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
	}
	changed := m.merge(items)
	for key, current := range m.items {
		if listed[key] || current.Deleted || current.Revision > revision {
			continue
		}
		tombstone := Item{Key: key, Revision: revision, Deleted: true}
		m.items[key] = tombstone
		changed = append(changed, tombstone)
	}
	m.completeThrough = max(m.completeThrough, revision)
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
		m.items[item.Key] = item
		changed = append(changed, item)
	}
	return changed
}

// Since returns the changes after a revision, in order of revision. The mirror
// keeps deletions for the life of the process, so the delta is complete from
// any revision.
func (m *Mirror) Since(after ids.Revision) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	delta := Delta{Through: m.completeThrough}
	for _, item := range m.items {
		if item.Revision > after {
			delta.Items = append(delta.Items, item)
		}
	}
	sort.Slice(delta.Items, func(i, j int) bool { return delta.Items[i].Revision < delta.Items[j].Revision })
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
