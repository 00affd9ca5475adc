package endpointload

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// linkWindow is half of the time from which the shortest delay is taken. Most
// delays contain other work; within some ten seconds one of them has little.
const linkWindow = 10 * time.Second

// Links learns how much longer than the closest data centre the others are away.
type Links struct {
	own      ids.DataCentreID
	shortest map[ids.DataCentreID]*shortestDelay
}

// shortestDelay holds the shortest delays of this and the previous window; 0 if
// there was none.
type shortestDelay struct {
	since             time.Time
	current, previous time.Duration
}

// NewLinks returns the links of a VM in a data centre.
func NewLinks(own ids.DataCentreID) *Links {
	return &Links{own: own, shortest: make(map[ids.DataCentreID]*shortestDelay)}
}

// maxLinks bounds the number of data centres that are remembered.
const maxLinks = 64

// Observe records the delay of a call to a data centre.
func (l *Links) Observe(now time.Time, dc ids.DataCentreID, delay time.Duration) {
	s := l.shortest[dc]
	if s == nil {
		if len(l.shortest) >= maxLinks {
			return
		}
		s = &shortestDelay{since: now}
		l.shortest[dc] = s
	}
	s.advance(now)
	if s.current == 0 || delay < s.current {
		s.current = max(delay, 1)
	}
}

func (s *shortestDelay) advance(now time.Time) {
	switch age := now.Sub(s.since); {
	case age >= 2*linkWindow:
		s.previous, s.current, s.since = 0, 0, now
	case age >= linkWindow:
		s.previous, s.current, s.since = s.current, 0, s.since.Add(linkWindow)
	}
}

func (l *Links) delay(now time.Time, dc ids.DataCentreID) (time.Duration, bool) {
	s := l.shortest[dc]
	if s == nil {
		return 0, false
	}
	s.advance(now)
	switch {
	case s.current == 0:
		return s.previous, s.previous > 0
	case s.previous == 0:
		return s.current, true
	}
	return min(s.current, s.previous), true
}

// Extra returns how much longer a call to a data centre takes than to the closest
// one. It returns unknown if that is not known, and 0 for the own data centre.
func (l *Links) Extra(now time.Time, dc ids.DataCentreID, unknown time.Duration) time.Duration {
	there, known := l.delay(now, dc)
	switch {
	case known:
	case dc == l.own:
		return 0
	default:
		return unknown
	}
	closest := there
	for other := range l.shortest {
		if delay, known := l.delay(now, other); known {
			closest = min(closest, delay)
		}
	}
	return there - closest
}
