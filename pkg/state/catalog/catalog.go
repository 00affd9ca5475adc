// Package catalog holds the configuration records in force on one VM. Package
// relay applies the messages of the platform and of peers to it; the daemon's
// request handlers read from it.
//
// Records may arrive late, repeatedly and out of order. The catalog applies a
// change only if its revision is higher than the one stored for its key, so a
// late message never restores an older state. It keeps a log of changes from
// which peers that are behind get every change after a given revision. Request
// handlers read the current View, an immutable snapshot, and look up adapters
// with Catalog.Adapter, which takes the read lock of one shard.
package catalog

import (
	"encoding/json"
	"iter"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/shard"
)

const (
	// adapterShards is the number of independently locked parts of the adapter
	// map. More shards make it rarer that two request handlers wait for the
	// same lock.
	adapterShards = 64
	// maxTombstones bounds the withdrawals that are remembered individually. A
	// VM that is further behind is sent all records instead of the changes. At
	// 25,000 changes a day the bound covers hours even if half of the changes
	// are withdrawals.
	maxTombstones = 10_000
)

// consistencyRules are the checks against records that revert to an older
// state. All are on in production; tests switch off one at a time to show what
// it prevents.
type consistencyRules struct {
	// rejectStale ignores a change whose revision is not higher than the one
	// stored for its key.
	rejectStale bool
	// rejectOutdatedListing ignores a listing older than the catalog, and keeps
	// keys that changed after the listing's revision.
	rejectOutdatedListing bool
	// raiseFloorAtListing raises deltaFloor to the revision of an applied
	// listing, so peers that are behind that revision get all records.
	raiseFloorAtListing bool
}

// Catalog is the set of records in force on one VM. Its methods are safe for
// concurrent use.
type Catalog struct {
	rules consistencyRules

	// mu serialises writers and guards the fields up to the next blank line.
	mu sync.Mutex
	// entries holds the entry of each key by kind, so that the index of a kind
	// with few records is rebuilt without visiting the others.
	entries map[records.Kind]map[string]*entry
	// entryCount is the number of entries over all kinds.
	entryCount int
	// changeLog is sorted by revision.
	changeLog []changeLogEntry
	// tombstoneCount is the number of entries that are withdrawals.
	tombstoneCount int
	// deltaFloor is the lowest revision from which an incremental delta is
	// complete. Withdrawals up to it may be missing here, because their
	// tombstones were dropped or because a listing did not show them.
	deltaFloor ids.Revision

	// completeThrough, adapters and view are read without mu, so that request
	// handlers do not wait for writers.
	completeThrough atomic.Uint64
	adapters        *shard.Map[ids.AdapterID, *records.Adapter]
	view            atomic.Pointer[View]
}

// entry is the known state of one key.
type entry struct {
	// revision is the revision of the record in force, or of its withdrawal.
	revision ids.Revision
	// value is the published JSON; nil for a withdrawal.
	value json.RawMessage
	// record is the decoded value; nil for a withdrawal.
	record *records.Record
	// withdrawnKey is the last spec of a withdrawn API key record, so that the
	// key is recognised as withdrawn.
	withdrawnKey *records.Key
	// refused is a newer value that failed validation, or nil.
	refused *refusedValue
}

// refusedValue is a published value that failed validation.
type refusedValue struct {
	revision ids.Revision
	value    json.RawMessage
	reason   string
}

// newestRevision returns the highest revision known for the key, refused values
// included.
func (e *entry) newestRevision() ids.Revision {
	if e.refused != nil && e.refused.revision > e.revision {
		return e.refused.revision
	}
	return e.revision
}

// RefusedRecord describes a published record that failed validation. The
// previous record of the key stays in force.
type RefusedRecord struct {
	Key      string       `json:"key"`
	Revision ids.Revision `json:"revision"`
	Reason   string       `json:"reason"`
}

// New returns an empty catalog, complete through revision 0.
func New() *Catalog {
	c := &Catalog{
		rules:    consistencyRules{rejectStale: true, rejectOutdatedListing: true, raiseFloorAtListing: true},
		entries:  make(map[records.Kind]map[string]*entry),
		adapters: shard.New[ids.AdapterID, *records.Adapter](adapterShards),
	}
	c.view.Store(newView())
	return c
}

// CompleteThrough returns the revision through which the catalog is complete:
// every change with this or a lower revision has been applied.
func (c *Catalog) CompleteThrough() ids.Revision {
	return ids.Revision(c.completeThrough.Load())
}

// View returns the current snapshot of all kinds except adapters.
func (c *Catalog) View() *View {
	return c.view.Load()
}

// RefusedRecords lists the records that failed validation and have not been
// replaced since.
func (c *Catalog) RefusedRecords() []RefusedRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []RefusedRecord
	for key, e := range c.allEntries() {
		if e.refused != nil {
			list = append(list, RefusedRecord{Key: key, Revision: e.refused.revision, Reason: e.refused.reason})
		}
	}
	return list
}

// KeyRevision returns the revision of the last change applied to a key, and
// reports whether a record is in force for it. The revision is 0 for an unknown
// key.
func (c *Catalog) KeyRevision(key string) (ids.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.lookupEntry(key)
	if !found {
		return 0, false
	}
	return e.revision, e.record != nil
}

// Counts returns the number of records in force by kind.
func (c *Catalog) Counts() map[records.Kind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[records.Kind]int)
	for _, e := range c.allEntries() {
		if e.record != nil {
			counts[e.record.Kind]++
		}
	}
	return counts
}

// lookupEntry returns the entry of a key.
func (c *Catalog) lookupEntry(key string) (*entry, bool) {
	e, found := c.entries[kindOf(key)][key]
	return e, found
}

// addEntry adds an empty entry for a key.
func (c *Catalog) addEntry(key string) *entry {
	kind := kindOf(key)
	if c.entries[kind] == nil {
		c.entries[kind] = make(map[string]*entry)
	}
	e := &entry{}
	c.entries[kind][key] = e
	c.entryCount++
	return e
}

// deleteEntry removes the entry of a key.
func (c *Catalog) deleteEntry(key string) {
	delete(c.entries[kindOf(key)], key)
	c.entryCount--
}

// allEntries iterates over the entries of all kinds, in no fixed order.
func (c *Catalog) allEntries() iter.Seq2[string, *entry] {
	return func(visit func(string, *entry) bool) {
		for _, entries := range c.entries {
			for key, e := range entries {
				if !visit(key, e) {
					return
				}
			}
		}
	}
}

// kindOf returns the kind in a key of the form kind/id.
func kindOf(key string) records.Kind {
	kind, _, _ := strings.Cut(key, "/")
	return records.Kind(kind)
}
