package catalog

import (
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// Applied tells what an answer of the platform or of a peer changed.
type Applied struct {
	// Changed lists the keys whose record in force changed.
	Changed []string
	// Refused lists the new records that were not valid.
	Refused []Refused
	// Stale counts the changes that were not above what was held.
	Stale int
	// Gap tells that changes between the catalog and the answer are missing,
	// so that the catalog did not become complete through its revision.
	Gap bool
	// Outdated tells that a listing was older than the catalog.
	Outdated bool
	// Through is the revision through which the catalog is now complete.
	Through ids.Revision
}

// ApplyChanges applies the changes in (after, through], as a watch of the
// platform or a delta of a peer answers them.
func (c *Catalog) ApplyChanges(after, through ids.Revision, events []platformapi.Event) Applied {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied Applied
	for _, event := range events {
		c.apply(event, &applied)
	}
	applied.Gap = after > c.Through()
	if !applied.Gap {
		c.raise(through)
	}
	c.finish(&applied)
	return applied
}

// ApplyListing applies all records as of one revision. Keys that the listing
// lacks were withdrawn, provided that the listing is not older than the
// catalog; an older listing changes nothing.
func (c *Catalog) ApplyListing(listing platformapi.Listing) Applied {
	events := make([]platformapi.Event, 0, len(listing.Items))
	for _, item := range listing.Items {
		events = append(events, platformapi.Event{Key: item.Key, Revision: item.Revision, Value: item.Value})
	}
	return c.ApplySnapshot(listing.Revision, events)
}

// ApplySnapshot is ApplyListing for a full delta of a peer, which may hold the
// record in force and a newer refused one of the same key.
func (c *Catalog) ApplySnapshot(revision ids.Revision, events []platformapi.Event) Applied {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied Applied
	if revision < c.Through() && c.rules.completeListing {
		applied.Outdated = true
		applied.Stale = len(events)
		applied.Through = c.Through()
		return applied
	}
	present := make(map[string]bool, len(events))
	for _, event := range events {
		present[event.Key] = true
		c.apply(event, &applied)
	}
	c.withdrawAbsent(present, revision, &applied)
	if revision > c.Through() && c.rules.floorAtListing {
		// A listing does not show what was published and withdrawn since the
		// catalog's revision, so deltas from below it would leave that out.
		c.floor = max(c.floor, revision)
	}
	c.raise(revision)
	c.finish(&applied)
	return applied
}

// withdrawAbsent withdraws the keys that a listing at a revision lacks.
func (c *Catalog) withdrawAbsent(present map[string]bool, revision ids.Revision, applied *Applied) {
	var absent []string
	for key, e := range c.all() {
		newerThanListing := e.newest() > revision && c.rules.completeListing
		withdrawn := e.record == nil && e.refused == nil
		if !present[key] && !newerThanListing && !withdrawn {
			absent = append(absent, key)
		}
	}
	slices.Sort(absent)
	for _, key := range absent {
		e, _ := c.entry(key)
		// The true revision of the withdrawal is unknown but not above the
		// listing's, and later publications are above it.
		revision := max(revision, e.newest())
		e.refused = nil
		c.put(key, e, revision, platformapi.Event{Key: key, Deleted: true}, nil)
		applied.Changed = append(applied.Changed, key)
	}
}

// apply applies one change if it is above what is held.
func (c *Catalog) apply(event platformapi.Event, applied *Applied) {
	e, found := c.entry(event.Key)
	if c.isStale(e, found, event.Revision) {
		applied.Stale++
		return
	}
	if !found {
		e = c.addEntry(event.Key)
	}
	if event.Deleted {
		c.dropRefusal(e, event.Revision)
		c.put(event.Key, e, event.Revision, event, nil)
		applied.Changed = append(applied.Changed, event.Key)
		return
	}
	record, err := records.Decode(event.Key, event.Value)
	if err != nil {
		c.refuse(event, e, err, applied)
		return
	}
	c.dropRefusal(e, event.Revision)
	c.put(event.Key, e, event.Revision, event, &record)
	applied.Changed = append(applied.Changed, event.Key)
}

// isStale tells whether a change is not above what is held. A catalog that is
// complete through the change's revision has seen it or a later one of its key,
// even if the key is not held or its tombstone is older: a listing shows that a
// key is withdrawn, not when.
func (c *Catalog) isStale(e *entry, found bool, revision ids.Revision) bool {
	if !c.rules.upwardOnly {
		return false
	}
	if revision <= c.Through() {
		return true
	}
	if !found {
		return false
	}
	if e.refused != nil && e.refused.revision == revision {
		return true
	}
	return revision <= e.revision
}

// refuse keeps the reason and the value of a record that is not valid. The
// value is handed on to peers, which may know a schema that this VM does not.
func (c *Catalog) refuse(event platformapi.Event, e *entry, err error, applied *Applied) {
	if e.refused != nil && e.refused.revision > event.Revision {
		applied.Stale++
		return
	}
	e.refused = &refusal{revision: event.Revision, value: slices.Clone(event.Value), reason: err.Error()}
	c.logChange(event.Revision, event.Key)
	applied.Refused = append(applied.Refused, Refused{Key: event.Key, Revision: event.Revision, Reason: err.Error()})
}

// dropRefusal forgets a refused value that a newer change replaces.
func (c *Catalog) dropRefusal(e *entry, revision ids.Revision) {
	if e.refused != nil && e.refused.revision < revision {
		e.refused = nil
	}
}

// put stores a record or, when record is nil, a withdrawal.
func (c *Catalog) put(key string, e *entry, revision ids.Revision, event platformapi.Event, record *records.Record) {
	wasTombstone := e.revision > 0 && e.record == nil
	if record == nil && e.record != nil && e.record.Key != nil {
		e.withdrawnKey = e.record.Key
	}
	if record != nil {
		e.withdrawnKey = nil
	}
	e.revision = revision
	e.value = slices.Clone(event.Value)
	e.record = record
	if record == nil {
		e.value = nil
	}
	isTombstone := record == nil
	c.tombstones += asInt(isTombstone) - asInt(wasTombstone)
	c.logChange(revision, key)
	if kindOf(key) == records.KindAdapter {
		c.putAdapter(key, record)
	}
}

func (c *Catalog) putAdapter(key string, record *records.Record) {
	id := ids.AdapterID(key[len(records.KindAdapter)+1:])
	if record == nil {
		c.adapters.Delete(id)
		return
	}
	c.adapters.Set(id, record.Adapter)
}

func (c *Catalog) raise(through ids.Revision) {
	if through > c.Through() {
		c.through.Store(uint64(through))
	}
}

// finish rebuilds what the changed keys belong to.
func (c *Catalog) finish(applied *Applied) {
	applied.Through = c.Through()
	c.forgetTombstones()
	c.compactLog()
	c.rebuildView(applied.Changed)
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
