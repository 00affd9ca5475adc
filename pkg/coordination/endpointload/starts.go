package endpointload

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// maxStartAge is the age up to which an owner's reply is used. An engine begins a
// few requests in that time.
const maxStartAge = 300 * time.Millisecond

// Starts holds when engines could start a request, as their owners last replied or
// published.
type Starts struct {
	known map[ids.EndpointID]expectedStart
	// Published holds what owners published.
	Published *Published
}

type expectedStart struct {
	repliedAt time.Time
	wait      time.Duration
}

// NewStarts returns a Starts that knows no engine.
func NewStarts() *Starts {
	return &Starts{known: make(map[ids.EndpointID]expectedStart), Published: NewPublished()}
}

// RecordWait records that a request could not start earlier than after wait at any
// of the engines.
func (s *Starts) RecordWait(now time.Time, engines []ids.EndpointID, wait time.Duration) {
	for _, id := range engines {
		s.known[id] = expectedStart{repliedAt: now, wait: wait}
	}
}

// RecordGrant records that an engine could start a request at once.
func (s *Starts) RecordGrant(id ids.EndpointID) { delete(s.known, id) }

// Prune removes the engines that exists does not select.
func (s *Starts) Prune(exists func(ids.EndpointID) bool) {
	for id := range s.known {
		if !exists(id) {
			delete(s.known, id)
		}
	}
	s.Published.Prune(exists)
}

// expected returns the time until an engine could start a request. loaded is the time
// that its load stands for.
func (s *Starts) expected(now time.Time, id ids.EndpointID, loaded time.Duration) time.Duration {
	start, known := s.known[id]
	age := now.Sub(start.repliedAt)
	replied := known && age <= maxStartAge
	if summary, fresh := s.Published.Get(now, id); fresh && (!replied || summary.Age < age) {
		// The load spreads requests over the engines that are free. Without it, an engine
		// with a short wait would come before one with none.
		return loaded + max(summary.Wait-summary.Age, 0)
	}
	if !replied {
		return loaded
	}
	return max(start.wait-age, 0)
}
