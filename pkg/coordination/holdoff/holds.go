// Package holdoff keeps the requests of one VM from endpoints that have turned a
// request away and named a time for which they want no other from this VM. Package
// node records such answers, asks which endpoints may get requests, and asks again
// immediately before each send. The package is deterministic: time and random draws
// are arguments.
//
// When the time is over, the requests come back gradually: first one, then twice as
// many with each round of answers, so that the requests that callers sent meanwhile
// do not all reach an endpoint that has just become ready.
package holdoff

import (
	"slices"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the times of a Holds.
type Config struct {
	// MaxHold bounds the time that an endpoint may name. With it, an endpoint that
	// names an absurd time gets one request an hour; its next incarnation is not held.
	MaxHold time.Duration
	// SpreadShare and MaxSpread bound the time that is added at random to a hold, as a
	// share of it and absolutely, so that VMs that were turned away together do not
	// come back together.
	SpreadShare float64
	MaxSpread   time.Duration
	// RampAnswers is the number of answers after a hold, and RampTime the time from
	// the first request after it, from which requests are not restricted any more.
	RampAnswers int
	RampTime    time.Duration
	// MaxUnlisted bounds the holds of endpoints that are not listed. Those of listed
	// endpoints are bounded by the number of endpoints.
	MaxUnlisted int
}

// DefaultConfig returns times for endpoints that answer within some hundred
// milliseconds.
func DefaultConfig() Config {
	return Config{
		MaxHold:     time.Hour,
		SpreadShare: 0.25,
		MaxSpread:   500 * time.Millisecond,
		RampAnswers: 8,
		RampTime:    2 * time.Second,
		MaxUnlisted: 1024,
	}
}

// hold is the state of an endpoint that wants, or lately wanted, no requests.
type hold struct {
	// started is the start of the incarnation that asked for it; 0 if not known.
	started int64
	until   time.Time
	// firstSentAt is when the first request after the hold was sent. sent and
	// answered count the requests since then.
	firstSentAt    time.Time
	sent, answered int
}

// Holds is one VM's view of the endpoints that want no requests from it. It is not
// safe for concurrent use.
type Holds struct {
	config Config
	holds  map[ids.EndpointID]*hold
}

// New returns a Holds without holds.
func New(config Config) *Holds {
	return &Holds{config: config, holds: make(map[ids.EndpointID]*hold)}
}

// Record records that an endpoint wants no requests for a time from now on. draw is a
// random number in [0, 1). It reports whether a hold begins or is extended.
func (h *Holds) Record(now time.Time, id ids.EndpointID, started int64, length time.Duration, draw float64) (changed bool) {
	if length <= 0 {
		return false
	}
	length = min(length, h.config.MaxHold)
	spread := min(time.Duration(h.config.SpreadShare*float64(length)), h.config.MaxSpread)
	until := now.Add(length + time.Duration(draw*float64(spread)))
	if known := h.holds[id]; known != nil && (started != 0 && known.started > started || !known.ended(started) && known.until.After(until)) {
		return false
	}
	h.holds[id] = &hold{started: started, until: until}
	return true
}

// ended reports whether a hold does not hold for the given incarnation since that is
// a later one.
func (h *hold) ended(started int64) bool { return h.started != 0 && started > h.started }

// HeldFor returns how long no request may be sent to an incarnation of an endpoint; 0
// if one may be sent now.
func (h *Holds) HeldFor(now time.Time, id ids.EndpointID, started int64) time.Duration {
	known := h.holds[id]
	switch {
	case known == nil || known.ended(started):
		return 0
	case now.Before(known.until):
		return known.until.Sub(now)
	case h.rampOver(now, known) || known.sent-known.answered <= known.answered:
		return 0
	}
	return min(known.firstSentAt.Add(h.config.RampTime).Sub(now), h.config.RampTime/time.Duration(h.config.RampAnswers))
}

// rampOver reports whether requests to an endpoint are not restricted any more.
func (h *Holds) rampOver(now time.Time, known *hold) bool {
	return known.answered >= h.config.RampAnswers || known.sent > 0 && now.Sub(known.firstSentAt) >= h.config.RampTime
}

// Admit reports whether a request may be sent to an incarnation of an endpoint now,
// and counts it if so.
func (h *Holds) Admit(now time.Time, id ids.EndpointID, started int64) bool {
	known := h.holds[id]
	switch {
	case known == nil:
		return true
	case h.HeldFor(now, id, started) > 0:
		return false
	case known.ended(started) || h.rampOver(now, known):
		delete(h.holds, id)
		return true
	}
	if known.sent == 0 {
		known.firstSentAt = now
	}
	known.sent++
	return true
}

// RecordAnswer records that an endpoint has run a request.
func (h *Holds) RecordAnswer(id ids.EndpointID) {
	if known := h.holds[id]; known != nil && known.sent > known.answered {
		known.answered++
	}
}

// Prune forgets the holds of earlier incarnations, and those of endpoints that are not
// listed once they are over or when there are more than MaxUnlisted. An entry that is
// lost for some seconds does not end a hold. listed returns the start of an endpoint
// that is listed, or 0 if it is not known.
func (h *Holds) Prune(now time.Time, listed func(ids.EndpointID) (started int64, isListed bool)) {
	var unlisted []ids.EndpointID
	for id, known := range h.holds {
		started, isListed := listed(id)
		switch {
		case isListed && known.ended(started), !isListed && !now.Before(known.until):
			delete(h.holds, id)
		case !isListed:
			unlisted = append(unlisted, id)
		}
	}
	if len(unlisted) <= h.config.MaxUnlisted {
		return
	}
	slices.SortFunc(unlisted, func(a, b ids.EndpointID) int {
		if order := h.holds[a].until.Compare(h.holds[b].until); order != 0 {
			return order
		}
		return strings.Compare(string(a), string(b))
	})
	for _, id := range unlisted[:len(unlisted)-h.config.MaxUnlisted] {
		delete(h.holds, id)
	}
}
