// Package mirror holds a copy of the platform's store. Items are ordered by
// revision, and an older revision never replaces a newer one.
package mirror

import (
	"sort"
	"strings"
	"sync"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Item is one key of the store as of its last change.
type Item struct {
	Key      string       `json:"k"`
	Value    []byte       `json:"v,omitempty"`
	Revision ids.Revision `json:"r"`
	Deleted  bool         `json:"d,omitempty"`
}

// Delta is every change after one revision up to another.
type Delta struct {
	Items   []Item       `json:"items,omitempty"`
	Through ids.Revision `json:"through"`
}

// Mirror is a copy of the store that is complete through one revision.
type Mirror struct {
	mu      sync.RWMutex
	items   map[string]Item
	through ids.Revision
}

// New returns an empty mirror, complete through revision 0.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Through returns the revision through which the mirror is complete.
func (m *Mirror) Through() ids.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.through
}

// Apply takes the changes of a delta that starts at or below Through. It
// returns the items that changed something.
func (m *Mirror) Apply(delta Delta) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.merge(delta.Items)
	m.through = max(m.through, delta.Through)
	return changed
}

// Replace takes a complete listing as of a revision. Held keys that the
// listing lacks are deleted unless they changed after that revision.
func (m *Mirror) Replace(items []Item, at ids.Revision) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
	}
	changed := m.merge(items)
	for key, held := range m.items {
		if listed[key] || held.Deleted || held.Revision > at {
			continue
		}
		gone := Item{Key: key, Revision: at, Deleted: true}
		m.items[key] = gone
		changed = append(changed, gone)
	}
	m.through = max(m.through, at)
	return changed
}

// merge takes items that are newer than what the mirror has. Since it is
// complete through a revision, an item at or below that which it does not hold
// was removed since, as an old listing that arrives late may show.
func (m *Mirror) merge(items []Item) []Item {
	var changed []Item
	for _, item := range items {
		if item.Revision <= m.through {
			continue
		}
		if held, known := m.items[item.Key]; known && held.Revision >= item.Revision {
			continue
		}
		m.items[item.Key] = item
		changed = append(changed, item)
	}
	return changed
}

// Since returns the changes after a revision. Deletions are kept for the life
// of the process, so the delta is complete from any revision.
func (m *Mirror) Since(after ids.Revision) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	delta := Delta{Through: m.through}
	for _, item := range m.items {
		if item.Revision > after {
			delta.Items = append(delta.Items, item)
		}
	}
	sort.Slice(delta.Items, func(i, j int) bool { return delta.Items[i].Revision < delta.Items[j].Revision })
	return delta
}

// WithPrefix returns the items that exist below a prefix.
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
