package catalog

import (
	"cmp"
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// logEntry is one change in order of revision. It is outdated when its key has
// changed again since.
type logEntry struct {
	revision ids.Revision
	key      string
}

const (
	// logSlack is how many outdated log entries are kept at least before the
	// log is compacted.
	logSlack = 1024
	// eventOverheadBytes is the size of an event beside key and value.
	eventOverheadBytes = 64
)

// Delta is every change in (After, Through].
type Delta struct {
	After   ids.Revision
	Through ids.Revision
	// Full tells that Events are all records at Through and that absent keys
	// were withdrawn.
	Full   bool
	Events []platformapi.Event
	// More tells that the delta was cut to the size limit.
	More bool
}

// Delta returns the changes above a revision, up to about maxBytes; at least
// one change is returned whatever its size. Through is then the revision of
// the last change returned.
func (c *Catalog) Delta(after ids.Revision, maxBytes int) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.floor {
		return c.snapshot()
	}
	delta := Delta{After: after, Through: max(after, c.Through())}
	start, _ := slices.BinarySearchFunc(c.log, after+1, func(l logEntry, r ids.Revision) int { return cmp.Compare(l.revision, r) })
	size := 0
	for i := start; i < len(c.log); i++ {
		if c.log[i].revision > c.Through() {
			break
		}
		event, current := c.event(c.log[i])
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

// snapshot returns all records, in order of revision.
func (c *Catalog) snapshot() Delta {
	delta := Delta{Through: c.Through(), Full: true}
	for _, l := range c.log {
		event, current := c.event(l)
		if current && !event.Deleted && event.Revision <= delta.Through {
			delta.Events = append(delta.Events, event)
		}
	}
	return delta
}

// event returns the change that a log entry stands for, if it is not outdated.
func (c *Catalog) event(l logEntry) (platformapi.Event, bool) {
	e, found := c.entry(l.key)
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

// logChange adds a change to the log, mostly at its end.
func (c *Catalog) logChange(revision ids.Revision, key string) {
	change := logEntry{revision: revision, key: key}
	at := len(c.log)
	for at > 0 && c.log[at-1].revision > revision {
		at--
	}
	c.log = slices.Insert(c.log, at, change)
}

// compactLog drops outdated entries once they are more than half.
func (c *Catalog) compactLog() {
	if len(c.log) < 2*c.known+logSlack {
		return
	}
	c.log = slices.DeleteFunc(c.log, func(l logEntry) bool {
		_, current := c.event(l)
		return !current
	})
}

// forgetTombstones drops the oldest withdrawals above the limit, down to half
// of it so that the cost is spread over many changes. This is safe: a stale
// publication of a forgotten key is at or below Through and is recognised.
func (c *Catalog) forgetTombstones() {
	if c.tombstones <= maxTombstones {
		return
	}
	for _, l := range c.log {
		if c.tombstones <= maxTombstones/2 || l.revision > c.Through() {
			break
		}
		e, found := c.entry(l.key)
		if found && e.revision == l.revision && e.record == nil && e.refused == nil {
			c.dropEntry(l.key)
			c.tombstones--
			c.floor = max(c.floor, l.revision)
		}
	}
}
