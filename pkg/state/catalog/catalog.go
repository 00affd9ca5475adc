// Package catalog holds the configuration records that are in force on one VM.
//
// Records come from the platform and from peers, late, repeated and out of
// order. The catalog applies a change only if its revision is above the one
// held for its key, so that whatever arrives afterwards never brings an older
// state back. It keeps enough of the past to hand out every change above a
// revision. Request handlers read through View, an immutable snapshot, and
// through Adapter, which locks one shard for reading.
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
	// adapterShards bounds how often two request handlers meet on one lock.
	adapterShards = 64
	// maxTombstones is how many withdrawals are remembered one by one. A VM
	// that is further behind gets all records in place of the changes. At
	// 25,000 changes a day it covers hours even if half are withdrawals.
	maxTombstones = 10_000
)

// rules can be switched off by tests to show what each of them prevents.
type rules struct {
	// upwardOnly refuses a change that is not above the revision held.
	upwardOnly bool
	// completeListing lets a listing imply removals only when its revision is
	// at least the catalog's.
	completeListing bool
	// floorAtListing sends all records to peers that are behind the revision
	// of a listing that this catalog started from.
	floorAtListing bool
}

// Catalog is the set of records in force. Its methods may be called from any
// goroutine.
type Catalog struct {
	rules rules

	// mu serialises writers and guards the fields up to the next blank line.
	mu sync.Mutex
	// entries holds what is known of each key, by kind and key, so that the
	// index of a small kind is rebuilt without visiting the others.
	entries    map[records.Kind]map[string]*entry
	known      int
	log        []logEntry
	tombstones int
	// floor is the revision up to which withdrawals may be missing here,
	// because their tombstones were forgotten or a listing did not show them.
	floor ids.Revision

	through  atomic.Uint64
	adapters *shard.Map[ids.AdapterID, *records.Adapter]
	view     atomic.Pointer[View]
}

// entry is what the catalog knows of one key.
type entry struct {
	// revision is that of the record in force or of its withdrawal.
	revision ids.Revision
	// value is nil for a withdrawal.
	value json.RawMessage
	// record is the decoded value; nil for a withdrawal.
	record *records.Record
	// withdrawnKey keeps the caller's key hash of a withdrawn key record.
	withdrawnKey *records.Key
	// refused is a newer value that was not valid, or nil.
	refused *refusal
}

type refusal struct {
	revision ids.Revision
	value    json.RawMessage
	reason   string
}

// newest returns the highest revision known for the key.
func (e *entry) newest() ids.Revision {
	if e.refused != nil && e.refused.revision > e.revision {
		return e.refused.revision
	}
	return e.revision
}

// Refused is a record that was not valid; the one before stays in force.
type Refused struct {
	Key      string       `json:"key"`
	Revision ids.Revision `json:"revision"`
	Reason   string       `json:"reason"`
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{
		rules:    rules{upwardOnly: true, completeListing: true, floorAtListing: true},
		entries:  make(map[records.Kind]map[string]*entry),
		adapters: shard.New[ids.AdapterID, *records.Adapter](adapterShards),
	}
	c.view.Store(newView())
	return c
}

// Through returns the revision through which the catalog is complete: every
// change up to it is applied.
func (c *Catalog) Through() ids.Revision {
	return ids.Revision(c.through.Load())
}

// View returns the current snapshot of all kinds but adapters.
func (c *Catalog) View() *View {
	return c.view.Load()
}

// Refused lists the records that were refused and not replaced since.
func (c *Catalog) Refused() []Refused {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Refused
	for key, e := range c.all() {
		if e.refused != nil {
			list = append(list, Refused{Key: key, Revision: e.refused.revision, Reason: e.refused.reason})
		}
	}
	return list
}

// Held returns the revision of the record in force for a key, and whether the
// key is published.
func (c *Catalog) Held(key string) (ids.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.entry(key)
	if !found {
		return 0, false
	}
	return e.revision, e.record != nil
}

// Counts tells how many records of each kind are in force.
func (c *Catalog) Counts() map[records.Kind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[records.Kind]int)
	for _, e := range c.all() {
		if e.record != nil {
			counts[e.record.Kind]++
		}
	}
	return counts
}

// entry returns what is known of a key.
func (c *Catalog) entry(key string) (*entry, bool) {
	e, found := c.entries[kindOf(key)][key]
	return e, found
}

// addEntry returns the new entry of a key.
func (c *Catalog) addEntry(key string) *entry {
	kind := kindOf(key)
	if c.entries[kind] == nil {
		c.entries[kind] = make(map[string]*entry)
	}
	e := &entry{}
	c.entries[kind][key] = e
	c.known++
	return e
}

func (c *Catalog) dropEntry(key string) {
	delete(c.entries[kindOf(key)], key)
	c.known--
}

// all visits every entry.
func (c *Catalog) all() iter.Seq2[string, *entry] {
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

func kindOf(key string) records.Kind {
	kind, _, _ := strings.Cut(key, "/")
	return records.Kind(kind)
}
