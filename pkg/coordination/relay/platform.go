package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

// readState is the state of one kind of platform read. At most one read of a
// kind is in flight.
type readState struct {
	inFlight bool
	// revisionAtStart is the revision that the VM had when the read was sent.
	// An answer below it is stale; an answer that is only below what a peer
	// has delivered since then is just late.
	revisionAtStart ids.Revision
	// notBefore is the end of the backoff after failed reads.
	notBefore time.Time
	failures  int
	// fallbackAt is when a VM that is not a watcher reads the platform
	// itself.
	fallbackAt time.Time
}

// tickPlatform starts the platform reads that are due.
func (r *Relay) tickPlatform(now time.Time) []Action {
	var actions []Action
	if wait, due := r.readDue(now, ReadVMs); due {
		after := r.beginRead(ReadVMs)
		actions = append(actions, WatchVMs{After: after, Wait: wait})
	}
	if !r.startup.ready {
		return actions
	}
	if r.needListing {
		if r.mayRead(now, ReadListing) {
			r.beginRead(ReadListing)
			actions = append(actions, ListRecords{})
		}
		return actions
	}
	if wait, due := r.readDue(now, ReadRecords); due {
		after := r.beginRead(ReadRecords)
		actions = append(actions, WatchRecords{After: after, Wait: wait})
	}
	return actions
}

// beginRead marks a read as sent and returns the revision that the VM has.
func (r *Relay) beginRead(kind ReadKind) ids.Revision {
	state := &r.reads[kind]
	state.inFlight = true
	state.revisionAtStart = r.catalog.CompleteThrough()
	if kind == ReadVMs {
		state.revisionAtStart = r.members.List().Revision
	}
	return state.revisionAtStart
}

// mayRead reports whether no read of the kind is in flight and its backoff is
// over.
func (r *Relay) mayRead(now time.Time, kind ReadKind) bool {
	return !r.reads[kind].inFlight && !now.Before(r.reads[kind].notBefore)
}

// readDue reports whether a read is due and how long it may wait at the
// platform. Watchers always read. A VM without a VM list reads one at once.
// Other VMs read once when no new confirmation has arrived for
// FallbackReadDelay.
func (r *Relay) readDue(now time.Time, kind ReadKind) (wait time.Duration, due bool) {
	if !r.mayRead(now, kind) {
		return 0, false
	}
	if r.startup.ready && r.members.IsWatcher() {
		return WatchWait, true
	}
	if kind == ReadVMs && r.members.List().Revision == 0 {
		return 0, true
	}
	if !r.rules.fallbackRead {
		return 0, false
	}
	state := &r.reads[kind]
	confirmedAt := laterOf(r.lastConfirmedAt[kind], r.start)
	if state.fallbackAt.Before(confirmedAt.Add(FallbackReadDelay)) {
		state.fallbackAt = confirmedAt.Add(FallbackReadDelay + r.jitter(fallbackReadJitter))
	}
	return 0, !now.Before(state.fallbackAt)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// finishRead ends a read. After a failure the next read waits for a jittered
// exponential backoff.
func (r *Relay) finishRead(now time.Time, kind ReadKind, failed bool) {
	state := &r.reads[kind]
	state.inFlight = false
	if !failed {
		state.failures = 0
		return
	}
	backoff := min(minReadBackoff<<min(state.failures, 8), maxReadBackoff)
	state.failures++
	state.notBefore = now.Add(backoff/2 + r.jitter(backoff/2))
}

// OnChanges applies the answer to a watch for the changes after a revision,
// sent at askedAt.
func (r *Relay) OnChanges(now, askedAt time.Time, after ids.Revision, changes platformapi.Changes) (catalog.ApplyResult, []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.catalog.CompleteThrough()
	applied := r.catalog.ApplyChanges(after, changes.Revision, changes.Events)
	r.onCatalogAdvanced(now, before)
	r.confirmRecords(now, changes.Revision, askedAt)
	r.recordAnswer(now, ReadRecords, changes.Revision)
	return applied, r.tickPlatform(now)
}

// recordAnswer ends a read that was answered. A platform that answers with a
// lower revision than the VM had when it asked is stale, and the next read
// waits as after a failure.
func (r *Relay) recordAnswer(now time.Time, kind ReadKind, revision ids.Revision) {
	stale := revision < r.reads[kind].revisionAtStart
	if stale {
		r.stale++
	}
	r.finishRead(now, kind, stale)
}

// OnListing applies all records of the platform, requested at askedAt.
func (r *Relay) OnListing(now, askedAt time.Time, listing platformapi.Listing) (catalog.ApplyResult, []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.catalog.CompleteThrough()
	applied := r.catalog.ApplyListing(listing)
	r.onCatalogAdvanced(now, before)
	r.confirmRecords(now, listing.Revision, askedAt)
	r.recordAnswer(now, ReadListing, listing.Revision)
	if !applied.Outdated {
		r.needListing = false
		r.startup.listingApplied = true
	}
	return applied, r.tickStartup(now)
}

// OnVMs applies a VM list of the platform, requested at askedAt.
func (r *Relay) OnVMs(now, askedAt time.Time, list platformapi.VMList) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.members.ConfirmedAt()
	r.members.ObserveList(now, list, askedAt)
	if r.members.ConfirmedAt().After(before) {
		r.lastConfirmedAt[ReadVMs] = now
	}
	r.recordAnswer(now, ReadVMs, list.Revision)
	r.refreshLinks(now)
	return append(r.tickHeartbeats(now), r.tickPlatform(now)...)
}

// OnPlatformFailure records that a read failed. compacted reports that the
// platform no longer has the changes after the requested revision.
func (r *Relay) OnPlatformFailure(now time.Time, kind ReadKind, compacted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishRead(now, kind, true)
	if compacted && kind == ReadRecords {
		r.needListing = true
	}
}
