package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// startup is the state of a VM that is not ready yet.
type startup struct {
	ready bool
	// listed tells that the platform's listing was applied.
	listed bool
	// listingAt is the earliest time of the listing; it is random so that VMs
	// that start together do not list together.
	listingAt time.Time
	// settleAt is when the highest view heard so far is taken.
	settleAt time.Time
}

// mayPull tells whether a starting VM has heard enough peers to pull from the
// one with the highest view.
func (s *startup) mayPull(now time.Time) bool {
	return !s.settleAt.IsZero() && !now.Before(s.settleAt)
}

// tickStartup moves a starting VM on: it hears its peers, pulls the highest
// view, and becomes ready when it holds that view. Without a ready peer it
// takes the platform's listing.
func (r *Relay) tickStartup(now time.Time) []Action {
	s := &r.startup
	if s.ready {
		return nil
	}
	heard := r.hearPeers()
	if heard.ready > 0 && s.settleAt.IsZero() {
		s.settleAt = now.Add(bootstrapSettle)
	}
	if heard.ready > 0 && heard.waiting == 0 {
		s.settleAt = now
	}
	if r.takenFromPeers(now, heard) {
		return r.becomeReady(now, false)
	}
	if s.listed && heard.ready == 0 {
		return r.becomeReady(now, true)
	}
	if r.listingDue(now, heard) {
		r.reads[ReadListing].inFlight = true
		return []Action{ListRecords{}}
	}
	return nil
}

// heardPeers counts the peers of a starting VM.
type heardPeers struct {
	// ready peers have a complete view, of which highest is the highest.
	ready   int
	highest ids.Revision
	// waiting peers have not answered and not failed yet.
	waiting int
	total   int
}

const (
	// startupTries is how often a peer is asked before it counts as failed.
	startupTries = 2
	// startupLost is after how many failures in a row a peer that answered
	// once does not hold up a start any more.
	startupLost = 5
)

func (r *Relay) hearPeers() heardPeers {
	var heard heardPeers
	if !r.rules.bootstrapFromPeers {
		return heard
	}
	for _, l := range r.links {
		heard.total++
		switch {
		case l.answered && l.ready && l.failures < startupLost:
			heard.ready++
			heard.highest = max(heard.highest, l.records)
		case !l.answered && l.failures < startupTries:
			heard.waiting++
		}
	}
	return heard
}

// takenFromPeers tells whether the highest view of the peers is applied.
func (r *Relay) takenFromPeers(now time.Time, heard heardPeers) bool {
	return heard.ready > 0 && r.startup.mayPull(now) && r.catalog.Through() >= heard.highest
}

// listingDue tells whether a starting VM should take the platform's view: no
// peer has a view, and all have said so or the time for asking is over.
func (r *Relay) listingDue(now time.Time, heard heardPeers) bool {
	if now.Before(r.startup.listingAt) || !r.mayRead(now, ReadListing) {
		return false
	}
	if !r.rules.bootstrapFromPeers {
		return true
	}
	late := now.Sub(r.start) >= BootstrapTimeout
	if heard.ready > 0 {
		// The peers are ahead but the pulls fail.
		return late && !r.delta.inFlight
	}
	known := r.members.List().Revision > 0
	return late || (known && heard.waiting == 0)
}

func (r *Relay) becomeReady(now time.Time, fromPlatform bool) []Action {
	r.startup.ready = true
	r.quiet[ReadRecords] = now
	r.quiet[ReadVMs] = now
	r.refreshLinks(now)
	for _, id := range r.linkOrder() {
		r.links[id].sentAt = r.firstBeat(now, r.links[id].interval)
	}
	return []Action{BecameReady{FromPlatform: fromPlatform}}
}
