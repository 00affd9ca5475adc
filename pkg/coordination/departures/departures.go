// Package departures remembers which endpoints have said that they leave. An
// endpoint is named by its id and by the start of its process, its incarnation: the
// next incarnation under the same id does not leave. What an endpoint has said holds
// whatever the store lists, which may be behind, come back from an older copy, or lose
// entries. Package node records what endpoints say, asks before each send, and passes
// the departures on to the other VMs. The package is deterministic: time and messages
// are arguments.
package departures

import (
	"slices"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the bounds of a Departures.
type Config struct {
	// Retention is how long the departure of an endpoint that is not listed is
	// remembered. Entries that were lost come back within seconds or minutes.
	Retention time.Duration
	// MaxUnlisted bounds the departures of endpoints that are not listed. Those of
	// listed endpoints are bounded by the number of endpoints.
	MaxUnlisted int
}

// DefaultConfig returns bounds for some thousand endpoints.
func DefaultConfig() Config {
	return Config{Retention: 10 * time.Minute, MaxUnlisted: 1024}
}

// departure is what is known of an endpoint that leaves.
type departure struct {
	// started is the start of the newest incarnation that is known to leave; 0 if
	// only the id is known.
	started int64
	// learnedAt is when this VM learned of it.
	learnedAt time.Time
	// unlistedSince is since when the endpoint is not listed; zero if it is.
	unlistedSince time.Time
}

// Departures is one VM's knowledge of the endpoints that leave. It is not safe for
// concurrent use.
type Departures struct {
	config     Config
	departures map[ids.EndpointID]departure
}

// New returns a Departures without endpoints.
func New(config Config) *Departures {
	return &Departures{config: config, departures: make(map[ids.EndpointID]departure)}
}

// RecordLeaving records that the incarnation of an endpoint that started at the given
// time leaves. A start of 0 is not known; the record then holds for the incarnation
// that is listed next. It reports whether that is new.
func (d *Departures) RecordLeaving(now time.Time, id ids.EndpointID, started int64) (changed bool) {
	known, found := d.departures[id]
	if found && (known.started >= started) {
		return false
	}
	d.departures[id] = departure{started: started, learnedAt: now, unlistedSince: now}
	return true
}

// Leaving reports whether an incarnation of an endpoint is known to leave. One of
// which no start is known is taken for the one that leaves, and an incarnation before
// that one is gone.
func (d *Departures) Leaving(id ids.EndpointID, started int64) bool {
	known, found := d.departures[id]
	return found && (known.started == 0 || started <= known.started)
}

// Report returns the departures to tell a peer: those learned since a time, or those
// of all listed endpoints for the zero time. The values are starts.
func (d *Departures) Report(since time.Time) map[ids.EndpointID]int64 {
	var report map[ids.EndpointID]int64
	for id, known := range d.departures {
		if known.learnedAt.Before(since) || since.IsZero() && !known.unlistedSince.IsZero() {
			continue
		}
		if report == nil {
			report = make(map[ids.EndpointID]int64)
		}
		report[id] = known.started
	}
	return report
}

// Apply merges what a peer reported and returns the endpoints whose departure is new,
// in order of id.
func (d *Departures) Apply(now time.Time, report map[ids.EndpointID]int64) []ids.EndpointID {
	var learned []ids.EndpointID
	for id, started := range report {
		if started >= 0 && d.RecordLeaving(now, id, started) {
			learned = append(learned, id)
		}
	}
	slices.Sort(learned)
	return learned
}

// Prune forgets departures of endpoints that are not listed, after Retention or when
// there are more than MaxUnlisted of them. listed returns the start of an endpoint
// that is listed, or 0 if it is not known. A departure without a start is bound to
// the incarnation that is listed.
func (d *Departures) Prune(now time.Time, listed func(ids.EndpointID) (started int64, isListed bool)) {
	var unlisted []ids.EndpointID
	for id, known := range d.departures {
		started, isListed := listed(id)
		switch {
		case isListed:
			known.unlistedSince = time.Time{}
			if known.started == 0 {
				known.started = started
			}
		case known.unlistedSince.IsZero():
			known.unlistedSince = now
		}
		if !isListed && now.Sub(known.unlistedSince) > d.config.Retention {
			delete(d.departures, id)
			continue
		}
		if !isListed {
			unlisted = append(unlisted, id)
		}
		d.departures[id] = known
	}
	if len(unlisted) <= d.config.MaxUnlisted {
		return
	}
	slices.SortFunc(unlisted, func(a, b ids.EndpointID) int {
		if order := d.departures[a].unlistedSince.Compare(d.departures[b].unlistedSince); order != 0 {
			return order
		}
		return strings.Compare(string(a), string(b))
	})
	for _, id := range unlisted[:len(unlisted)-d.config.MaxUnlisted] {
		delete(d.departures, id)
	}
}
