package catalog

import (
	"cmp"
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// changeLogEntry is one change of a key. It is outdated once the key has
// changed again.
type changeLogEntry struct {
	revision ids.Revision
	key      string
}

const (
	// logCompactionSlack is the least number of outdated entries in the change
	// log before it is compacted.
	logCompactionSlack = 1024
	// eventOverheadBytes is the estimated size of an event besides its key and
	// value.
	eventOverheadBytes = 64
)

// Delta holds every change whose revision is in (After, Through].
type Delta struct {
	After   ids.Revision
	Through ids.Revision
	// Full reports that Events are all records at revision Through, and that
	// keys which are absent have been withdrawn.
	Full   bool
	Events []platformapi.Event
	// More reports that the delta was cut at the size limit.
	More bool
}

// Delta returns the changes after a revision, up to about maxBytes; it returns
// at least one change whatever its size. If the limit cuts it, its Through is
// the revision of the last change returned. Below deltaFloor it returns all
// records instead, whatever their size.
func (c *Catalog) Delta(after ids.Revision, maxBytes int) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.deltaFloor {
		return c.fullDelta()
	}
	delta := Delta{After: after, Through: max(after, c.CompleteThrough())}
	start, _ := slices.BinarySearchFunc(c.changeLog, after+1, func(l changeLogEntry, r ids.Revision) int { return cmp.Compare(l.revision, r) })
	size := 0
	for i := start; i < len(c.changeLog); i++ {
		if c.changeLog[i].revision > c.CompleteThrough() {
			break
		}
		event, current := c.currentEvent(c.changeLog[i])
		if !current {
			continue
		}
		if size > maxBytes && event.Revision > delta.Events[len(delta.Events)-1].Revision {
			delta.Through = delta.Events[len(delta.Events)-1].Revision
			delta.More = true
			return delta
		}
		size += eventOverheadBytes + len(event.Key) + len(event.Value)
		delta.Events = append(delta.Events, event)
	}
	return delta
}

// fullDelta returns all records, in order of revision.
func (c *Catalog) fullDelta() Delta {
	delta := Delta{Through: c.CompleteThrough(), Full: true}
	for _, l := range c.changeLog {
		event, current := c.currentEvent(l)
		if current && !event.Deleted && event.Revision <= delta.Through {
			delta.Events = append(delta.Events, event)
		}
	}
	return delta
}

// currentEvent returns the change that a log entry stands for, and reports
// whether the entry is not outdated.
func (c *Catalog) currentEvent(l changeLogEntry) (platformapi.Event, bool) {
	e, found := c.lookupEntry(l.key)
	if !found {
		return platformapi.Event{}, false
	}
	if e.refused != nil && e.refused.revision == l.revision {
		return platformapi.Event{Key: l.key, Revision: l.revision, Value: e.refused.value}, true
	}
	if e.revision != l.revision {
		return platformapi.Event{}, false
	}
	return platformapi.Event{Key: l.key, Revision: l.revision, Value: e.value, Deleted: e.record == nil}, true
}

// insertChange adds a change to the log in order of revision, usually at the
// end.
func (c *Catalog) insertChange(revision ids.Revision, key string) {
	change := changeLogEntry{revision: revision, key: key}
	pos := len(c.changeLog)
	for pos > 0 && c.changeLog[pos-1].revision > revision {
		pos--
	}
	c.changeLog = slices.Insert(c.changeLog, pos, change)
}

// compactLog removes outdated entries once there are about as many of them as
// keys, plus logCompactionSlack.
func (c *Catalog) compactLog() {
	if len(c.changeLog) < 2*c.entryCount+logCompactionSlack {
		return
	}
	c.changeLog = slices.DeleteFunc(c.changeLog, func(l changeLogEntry) bool {
		_, current := c.currentEvent(l)
		return !current
	})
}

// dropOldTombstones removes the oldest withdrawals once there are more than
// maxTombstones, down to half of it, so that the cost is spread over many
// changes. This is safe: a late publication of a removed key is at or below the
// revision through which the catalog is complete, so it is recognised as stale.
func (c *Catalog) dropOldTombstones() {
	if c.tombstoneCount <= maxTombstones {
		return
	}
	for _, l := range c.changeLog {
		if c.tombstoneCount <= maxTombstones/2 || l.revision > c.CompleteThrough() {
			break
		}
		e, found := c.lookupEntry(l.key)
		if found && e.revision == l.revision && e.record == nil && e.refused == nil {
			c.deleteEntry(l.key)
			c.tombstoneCount--
			c.deltaFloor = max(c.deltaFloor, l.revision)
		}
	}
}
