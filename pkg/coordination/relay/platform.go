package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

// read is the state of one kind of platform read; one is in flight at a time.
type read struct {
	inFlight  bool
	notBefore time.Time
	failures  int
	// quietUntil is when a VM that does not watch reads by itself.
	quietUntil time.Time
}

// tickPlatform starts the platform reads that are due.
func (r *Relay) tickPlatform(now time.Time) []Action {
	var actions []Action
	if wait, due := r.readDue(now, ReadVMs); due {
		r.reads[ReadVMs].inFlight = true
		actions = append(actions, WatchVMs{After: r.members.List().Revision, Wait: wait})
	}
	if !r.startup.ready {
		return actions
	}
	if r.compact {
		if r.mayRead(now, ReadListing) {
			r.reads[ReadListing].inFlight = true
			actions = append(actions, ListRecords{})
		}
		return actions
	}
	if wait, due := r.readDue(now, ReadRecords); due {
		r.reads[ReadRecords].inFlight = true
		actions = append(actions, WatchRecords{After: r.catalog.Through(), Wait: wait})
	}
	return actions
}

func (r *Relay) mayRead(now time.Time, kind Read) bool {
	return !r.reads[kind].inFlight && !now.Before(r.reads[kind].notBefore)
}

// readDue tells whether a watch is due and how long it may wait at the
// platform. Watchers always watch; other VMs read once when they have heard
// no new confirmation for QuietTerm.
func (r *Relay) readDue(now time.Time, kind Read) (wait time.Duration, due bool) {
	if !r.mayRead(now, kind) {
		return 0, false
	}
	if r.startup.ready && r.members.IsWatcher() {
		return WatchWait, true
	}
	if kind == ReadVMs && r.members.List().Revision == 0 {
		return 0, true
	}
	if !r.rules.quietRead {
		return 0, false
	}
	state := &r.reads[kind]
	heardAt := later(r.quiet[kind], r.start)
	if state.quietUntil.Before(heardAt.Add(QuietTerm)) {
		state.quietUntil = heardAt.Add(QuietTerm + r.jitter(quietJitter))
	}
	return 0, !now.Before(state.quietUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// done ends a read. After a failure the next one waits for a jittered
// exponential backoff.
func (r *Relay) done(now time.Time, kind Read, failed bool) {
	state := &r.reads[kind]
	state.inFlight = false
	if !failed {
		state.failures = 0
		return
	}
	backoff := min(backoffFirst<<min(state.failures, 8), backoffLast)
	state.failures++
	state.notBefore = now.Add(backoff/2 + r.jitter(backoff/2))
}

// OnChanges takes the answer to a watch that was sent at askedAt for the
// changes after a revision.
func (r *Relay) OnChanges(now, askedAt time.Time, after ids.Revision, changes platformapi.Changes) (catalog.Applied, []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.catalog.Through()
	applied := r.catalog.ApplyChanges(after, changes.Revision, changes.Events)
	r.advanced(now, before)
	r.confirmRecords(now, changes.Revision, askedAt)
	r.tookAnswer(now, ReadRecords, changes.Revision)
	return applied, r.tickPlatform(now)
}

// tookAnswer ends a read of records. A platform that answers with less than
// the catalog has is stale; it is not asked again at once.
func (r *Relay) tookAnswer(now time.Time, kind Read, revision ids.Revision) {
	stale := revision < r.catalog.Through()
	if stale {
		r.stale++
	}
	r.done(now, kind, stale)
}

// OnListing takes all records of the platform, asked for at askedAt.
func (r *Relay) OnListing(now, askedAt time.Time, listing platformapi.Listing) (catalog.Applied, []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.catalog.Through()
	applied := r.catalog.ApplyListing(listing)
	r.advanced(now, before)
	r.confirmRecords(now, listing.Revision, askedAt)
	r.tookAnswer(now, ReadListing, listing.Revision)
	if !applied.Outdated {
		r.compact = false
		r.startup.listed = true
	}
	return applied, r.tickStartup(now)
}

// OnVMs takes a VM list of the platform, asked for at askedAt.
func (r *Relay) OnVMs(now, askedAt time.Time, list platformapi.VMList) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	stale := list.Revision < r.members.List().Revision
	before := r.members.ConfirmedAt()
	r.members.ObserveList(now, list, askedAt)
	if r.members.ConfirmedAt().After(before) {
		r.quiet[ReadVMs] = now
	}
	r.done(now, ReadVMs, stale)
	r.refreshLinks(now)
	return append(r.tickHeartbeats(now), r.tickPlatform(now)...)
}

// OnPlatformFailure records that a read failed. compacted tells that the
// platform no longer has the changes after the revision asked for.
func (r *Relay) OnPlatformFailure(now time.Time, kind Read, compacted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done(now, kind, true)
	if compacted && kind == ReadRecords {
		r.compact = true
	}
}
