package endpointload

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Summary is what the owner of an engine publishes of its load.
type Summary struct {
	// Free is the number of free slots, less the requests that wait at the owner.
	Free int
	// Wait is the time until a request that asks now could start.
	Wait time.Duration
	// Age is the age of both.
	Age time.Duration
}

const (
	// MaxPublishedAge is the age up to which a summary is used. It takes up to 770 ms from
	// an owner to the leaves of another relay.
	MaxPublishedAge = 800 * time.Millisecond
	// maxPublished bounds the engines whose summaries are kept.
	maxPublished = 4096
	// maxPublishedWait bounds the wait that an owner may state.
	maxPublishedWait = time.Minute
)

// Published holds the youngest summary of each engine.
type Published struct {
	known map[ids.EndpointID]publishedSummary
}

type publishedSummary struct {
	at   time.Time
	free int
	wait time.Duration
}

// NewPublished returns a Published that knows no engine.
func NewPublished() *Published {
	return &Published{known: make(map[ids.EndpointID]publishedSummary)}
}

// Record records a summary unless a younger one is known.
func (p *Published) Record(now time.Time, id ids.EndpointID, summary Summary) {
	if summary.Age < 0 || summary.Age > MaxPublishedAge {
		return
	}
	at := now.Add(-summary.Age)
	old, known := p.known[id]
	if known && !at.After(old.at) || !known && len(p.known) >= maxPublished {
		return
	}
	p.known[id] = publishedSummary{at: at, free: min(max(summary.Free, 0), maxRequests), wait: min(max(summary.Wait, 0), maxPublishedWait)}
}

// Get returns the summary of an engine, if there is one that may be used.
func (p *Published) Get(now time.Time, id ids.EndpointID) (Summary, bool) {
	s, known := p.known[id]
	age := now.Sub(s.at)
	if !known || age > MaxPublishedAge {
		return Summary{}, false
	}
	return Summary{Free: s.free, Wait: s.wait, Age: max(age, 0)}, true
}

// Select returns the summaries of the engines that include selects.
func (p *Published) Select(now time.Time, include func(ids.EndpointID) bool) map[ids.EndpointID]Summary {
	selected := make(map[ids.EndpointID]Summary)
	for id := range p.known {
		if summary, fresh := p.Get(now, id); fresh && include(id) {
			selected[id] = summary
		}
	}
	return selected
}

// Forget removes the summary of an engine that has restarted.
func (p *Published) Forget(id ids.EndpointID) { delete(p.known, id) }

// Prune removes the engines that exists does not select.
func (p *Published) Prune(exists func(ids.EndpointID) bool) {
	for id := range p.known {
		if !exists(id) {
			delete(p.known, id)
		}
	}
}
