package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// startup is the state of a VM until it becomes ready.
type startup struct {
	ready bool
	// listingApplied reports that the platform's listing was applied.
	listingApplied bool
	// listingNotBefore is the earliest time of the listing. It is random so
	// that VMs that start together do not all list at the same time.
	listingNotBefore time.Time
	// pullNotBefore is when the VM stops waiting for more peers and pulls the
	// newest view reported so far; zero until a peer that is ready has
	// answered.
	pullNotBefore time.Time
}

// mayPull reports whether a starting VM has heard from enough peers to pull
// from the one with the newest view.
func (s *startup) mayPull(now time.Time) bool {
	return !s.pullNotBefore.IsZero() && !now.Before(s.pullNotBefore)
}

// tickStartup advances the startup: the VM waits for its peers' heartbeats,
// pulls the newest view, and becomes ready once it has that view. If no peer
// is ready it uses the platform's listing.
func (r *Relay) tickStartup(now time.Time) []Action {
	s := &r.startup
	if s.ready {
		return nil
	}
	counts := r.countPeers()
	if counts.ready > 0 && s.pullNotBefore.IsZero() {
		s.pullNotBefore = now.Add(bootstrapPeerWait)
	}
	if counts.ready > 0 && counts.waiting == 0 {
		s.pullNotBefore = now
	}
	if r.caughtUpWithPeers(now, counts) {
		return r.becomeReady(now, false)
	}
	if s.listingApplied && counts.ready == 0 {
		return r.becomeReady(now, true)
	}
	if r.listingDue(now, counts) {
		r.beginRead(ReadListing)
		return []Action{ListRecords{}}
	}
	return nil
}

// peerCounts counts the linked peers of a starting VM by their state.
type peerCounts struct {
	// ready counts the peers that have a complete view; highestRevision is
	// the highest revision of the records among them.
	ready           int
	highestRevision ids.Revision
	// waiting counts the peers that have neither answered nor failed yet.
	waiting int
	total   int
}

const (
	// maxStartupTries is how often a peer is asked before it counts as
	// failed.
	maxStartupTries = 2
	// maxStartupFailures is the number of consecutive failures after which a
	// peer that answered before no longer delays the startup.
	maxStartupFailures = 5
)

// countPeers counts the linked peers by their state. It counts none if the
// bootstrap from peers is disabled.
func (r *Relay) countPeers() peerCounts {
	var counts peerCounts
	if !r.rules.bootstrapFromPeers {
		return counts
	}
	for _, l := range r.links {
		counts.total++
		switch {
		case l.answered && l.ready && l.failures < maxStartupFailures:
			counts.ready++
			counts.highestRevision = max(counts.highestRevision, l.records)
		case !l.answered && l.failures < maxStartupTries:
			counts.waiting++
		}
	}
	return counts
}

// caughtUpWithPeers reports whether the newest view of the peers is applied.
func (r *Relay) caughtUpWithPeers(now time.Time, counts peerCounts) bool {
	return counts.ready > 0 && r.startup.mayPull(now) && r.catalog.CompleteThrough() >= counts.highestRevision
}

// listingDue reports whether a starting VM should use the platform's listing:
// no peer has a complete view, and either all peers have said so or the
// bootstrap timeout has passed.
func (r *Relay) listingDue(now time.Time, counts peerCounts) bool {
	if now.Before(r.startup.listingNotBefore) || !r.mayRead(now, ReadListing) {
		return false
	}
	if !r.rules.bootstrapFromPeers {
		return true
	}
	timedOut := now.Sub(r.start) >= BootstrapTimeout
	if counts.ready > 0 {
		// Peers are ready, but pulling from them has not succeeded.
		return timedOut && !r.delta.inFlight
	}
	listKnown := r.members.List().Revision > 0
	return timedOut || (listKnown && counts.waiting == 0)
}

// becomeReady marks the VM as ready and restarts the heartbeat schedule of
// its links.
func (r *Relay) becomeReady(now time.Time, fromPlatform bool) []Action {
	r.startup.ready = true
	r.lastConfirmedAt[ReadRecords] = now
	r.lastConfirmedAt[ReadVMs] = now
	r.refreshLinks(now)
	for _, id := range r.sortedLinkIDs() {
		r.links[id].lastSentAt = r.initialSentAt(now, r.links[id].interval)
	}
	return []Action{BecameReady{FromPlatform: fromPlatform}}
}
