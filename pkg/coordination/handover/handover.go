// Package handover decides when a request whose endpoint is silent may go on at
// another endpoint. A sound endpoint may be silent for a while and go on, so its
// answer ends only once another endpoint is sure. Times are arguments; nothing
// here talks to the network.
package handover

import "time"

// Callers abandon a stream after a gap of minPatience, or of these multiples of
// the route's objective and of its objective for pauses, whichever is longest.
const (
	minPatience       = 2 * time.Second
	objectivePatience = 4
	pausePatience     = 8
)

// ResumeBy returns when a stream that broke off must go on at the latest, since
// its caller gives up then. lastEvent is when its last event was sent.
func ResumeBy(lastEvent time.Time, objective, pauseObjective time.Duration) time.Time {
	return lastEvent.Add(max(minPatience, objectivePatience*objective, pausePatience*pauseObjective))
}

// Watch follows one send. It is not safe for concurrent use.
type Watch struct {
	// limit is how long the endpoint may be silent; 0 means that the request must
	// not go on elsewhere.
	limit      time.Duration
	progressAt time.Time
	// held is set while the endpoint's bytes wait for the caller, so that its
	// silence says nothing.
	held  bool
	ended bool
	// postponed is by how much the search was postponed since progressAt was set.
	postponed time.Duration
}

// New returns the watch of a send that begins now.
func New(now time.Time, limit time.Duration) *Watch {
	return &Watch{limit: limit, progressAt: now}
}

// Progress records that the endpoint has sent something that counts, and the
// limit from then on.
func (w *Watch) Progress(now time.Time, limit time.Duration) {
	w.progressAt, w.limit, w.postponed = now, limit, 0
}

// Postpone postpones a search that is due but late, since this process had no turn: what
// the endpoint has sent meanwhile may not have been read yet. The endpoint gets as much
// further time as the process lost, but no more than the limit in all. Postpone reports
// whether the search was postponed.
func (w *Watch) Postpone(now time.Time, late time.Duration) bool {
	by := min(late, w.limit-w.postponed)
	if w.ended || w.held || by <= 0 {
		return false
	}
	w.postponed += by
	w.progressAt = now.Add(by - w.limit)
	return true
}

// Hold stops the watch while the endpoint's bytes are written to the caller, and
// Release starts it anew.
func (w *Watch) Hold() { w.held = true }

// Release ends Hold.
func (w *Watch) Release(now time.Time) { w.progressAt, w.held, w.postponed = now, false, 0 }

// End records that the send has ended or that it is handed over.
func (w *Watch) End() { w.ended = true }

// UntilSearch returns the time until another endpoint is to be looked for, which
// is 0 from then on. It reports whether that may come at all.
func (w *Watch) UntilSearch(now time.Time) (time.Duration, bool) {
	if w.ended || w.limit <= 0 {
		return 0, false
	}
	if w.held {
		return w.limit, true
	}
	return max(w.progressAt.Add(w.limit).Sub(now), 0), true
}

// MayHandOver reports whether the request may go on at an endpoint that was found
// by a search that began at the given time. It may not if the first endpoint has
// gone on since, or if the send has ended.
func (w *Watch) MayHandOver(searchBegan time.Time) bool {
	return !w.ended && !w.held && w.limit > 0 && !w.progressAt.Add(w.limit).After(searchBegan)
}
