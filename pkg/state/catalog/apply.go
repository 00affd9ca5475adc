package catalog

import (
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// ApplyResult describes what the records in a message from the platform or a
// peer changed.
type ApplyResult struct {
	// Changed lists the keys whose record was replaced or withdrawn.
	Changed []string
	// Refused lists the new records that failed validation.
	Refused []RefusedRecord
	// Stale counts the changes that were ignored because the catalog already
	// had them or a newer change of their key.
	Stale int
	// Gap reports that changes between the catalog's revision and the start of
	// the message are missing. Its changes were applied, but the catalog did
	// not become complete through the message's revision.
	Gap bool
	// Outdated reports that a listing was older than the catalog and was
	// ignored.
	Outdated bool
	// Through is the revision through which the catalog is now complete.
	Through ids.Revision
}

// ApplyChanges applies all changes whose revisions are in (after, through], as
// a watch of the platform or an incremental delta of a peer returns them.
func (c *Catalog) ApplyChanges(after, through ids.Revision, events []platformapi.Event) ApplyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied ApplyResult
	for _, event := range events {
		c.applyEvent(event, &applied)
	}
	applied.Gap = after > c.CompleteThrough()
	if !applied.Gap {
		c.advanceTo(through)
	}
	c.finishApply(&applied)
	return applied
}

// ApplyListing applies a listing: all records at one revision. A key that is
// not listed has been withdrawn. A listing older than the catalog is ignored.
func (c *Catalog) ApplyListing(listing platformapi.Listing) ApplyResult {
	events := make([]platformapi.Event, 0, len(listing.Items))
	for _, item := range listing.Items {
		events = append(events, platformapi.Event{Key: item.Key, Revision: item.Revision, Value: item.Value})
	}
	return c.ApplySnapshot(listing.Revision, events)
}

// ApplySnapshot is like ApplyListing for a full delta of a peer, which may hold
// two values of one key: the record in force and a newer refused one.
func (c *Catalog) ApplySnapshot(revision ids.Revision, events []platformapi.Event) ApplyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied ApplyResult
	if revision < c.CompleteThrough() && c.rules.rejectOutdatedListing {
		applied.Outdated = true
		applied.Stale = len(events)
		applied.Through = c.CompleteThrough()
		return applied
	}
	present := make(map[string]bool, len(events))
	for _, event := range events {
		present[event.Key] = true
		c.applyEvent(event, &applied)
	}
	c.withdrawAbsent(present, revision, &applied)
	if revision > c.CompleteThrough() && c.rules.raiseFloorAtListing {
		// A listing does not show records that were published and withdrawn
		// after the catalog's previous revision, so an incremental delta from a
		// lower revision would lack those withdrawals.
		c.deltaFloor = max(c.deltaFloor, revision)
	}
	c.advanceTo(revision)
	c.finishApply(&applied)
	return applied
}

// withdrawAbsent withdraws the keys that are not in a listing at a revision.
func (c *Catalog) withdrawAbsent(present map[string]bool, revision ids.Revision, applied *ApplyResult) {
	var absent []string
	for key, e := range c.allEntries() {
		newerThanListing := e.newestRevision() > revision && c.rules.rejectOutdatedListing
		alreadyWithdrawn := e.record == nil && e.refused == nil
		if !present[key] && !newerThanListing && !alreadyWithdrawn {
			absent = append(absent, key)
		}
	}
	slices.Sort(absent)
	for _, key := range absent {
		e, _ := c.lookupEntry(key)
		// The exact revision of the withdrawal is unknown. It is not above the
		// listing's, and any later publication has a higher revision.
		withdrawalRevision := max(revision, e.newestRevision())
		e.refused = nil
		c.setRecord(key, e, withdrawalRevision, platformapi.Event{Key: key, Deleted: true}, nil)
		applied.Changed = append(applied.Changed, key)
	}
}

// applyEvent applies one change unless it is stale.
func (c *Catalog) applyEvent(event platformapi.Event, applied *ApplyResult) {
	e, found := c.lookupEntry(event.Key)
	if c.isStale(e, found, event.Revision) {
		applied.Stale++
		return
	}
	if !found {
		e = c.addEntry(event.Key)
	}
	if event.Deleted {
		c.clearOlderRefusal(e, event.Revision)
		c.setRecord(event.Key, e, event.Revision, event, nil)
		applied.Changed = append(applied.Changed, event.Key)
		return
	}
	record, err := records.Decode(event.Key, event.Value)
	if err != nil {
		c.recordRefusal(event, e, err, applied)
		return
	}
	c.clearOlderRefusal(e, event.Revision)
	c.setRecord(event.Key, e, event.Revision, event, &record)
	applied.Changed = append(applied.Changed, event.Key)
}

// isStale reports whether the catalog already has a change or a newer one of
// the same key. A catalog that is complete through the change's revision has
// seen it, even if it has no entry for the key or only an older tombstone: a
// listing shows that a key is withdrawn, but not since which revision.
func (c *Catalog) isStale(e *entry, found bool, revision ids.Revision) bool {
	if !c.rules.rejectStale {
		return false
	}
	if revision <= c.CompleteThrough() {
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

// recordRefusal stores a value that failed validation, with the reason. The
// value is still sent to peers, which may run a version that knows its schema.
func (c *Catalog) recordRefusal(event platformapi.Event, e *entry, err error, applied *ApplyResult) {
	if e.refused != nil && e.refused.revision > event.Revision {
		applied.Stale++
		return
	}
	e.refused = &refusedValue{revision: event.Revision, value: slices.Clone(event.Value), reason: err.Error()}
	c.insertChange(event.Revision, event.Key)
	applied.Refused = append(applied.Refused, RefusedRecord{Key: event.Key, Revision: event.Revision, Reason: err.Error()})
}

// clearOlderRefusal forgets a refused value that a change at a higher revision
// replaces.
func (c *Catalog) clearOlderRefusal(e *entry, revision ids.Revision) {
	if e.refused != nil && e.refused.revision < revision {
		e.refused = nil
	}
}

// setRecord stores a record, or a withdrawal if record is nil.
func (c *Catalog) setRecord(key string, e *entry, revision ids.Revision, event platformapi.Event, record *records.Record) {
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
	c.tombstoneCount += boolToInt(isTombstone) - boolToInt(wasTombstone)
	c.insertChange(revision, key)
	if kindOf(key) == records.KindAdapter {
		c.setAdapter(key, record)
	}
}

// setAdapter stores or deletes the adapter record of a key.
func (c *Catalog) setAdapter(key string, record *records.Record) {
	id := ids.AdapterID(key[len(records.KindAdapter)+1:])
	if record == nil {
		c.adapters.Delete(id)
		return
	}
	c.adapters.Set(id, record.Adapter)
}

// advanceTo marks the catalog complete through a revision, unless it already
// is.
func (c *Catalog) advanceTo(through ids.Revision) {
	if through > c.CompleteThrough() {
		c.completeThrough.Store(uint64(through))
	}
}

// finishApply bounds the tombstones and the change log, and rebuilds the parts
// of the view that depend on the changed keys.
func (c *Catalog) finishApply(applied *ApplyResult) {
	applied.Through = c.CompleteThrough()
	c.dropOldTombstones()
	c.compactLog()
	c.rebuildView(applied.Changed)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
