// Package prompts decides when the requests of all VMs may begin at one engine.
// An engine reads new prompts between the tokens of the streams that run, so
// several prompts at once make all its streams pause. A Gate lets a few prompts
// be read at a time and queues the others. It is deterministic: time and
// messages are arguments.
package prompts

import (
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the figures of a gate.
type Config struct {
	// Reading is the number of prompts that an engine reads at a time.
	Reading int
	// FirstTime is the first estimate of the time that a prompt takes to read.
	FirstTime time.Duration
	// Expire is how long a request without word of its first token counts as
	// being read.
	Expire time.Duration
	// AskAgain is how long a queued request waits without being asked for
	// again before it is dropped, as its VM may be gone.
	AskAgain time.Duration
}

// DefaultConfig returns the figures for engines that read a prompt in some tens
// of milliseconds. With two prompts at a time the next one is there when the
// first is read, and streams pause for less than the usual 300 ms.
func DefaultConfig() Config {
	return Config{Reading: 2, FirstTime: 150 * time.Millisecond, Expire: 1500 * time.Millisecond, AskAgain: 600 * time.Millisecond}
}

// Request is a request that wants to begin.
type Request struct {
	ID      ids.RequestID
	Urgency int
	// Arrived orders requests of the same urgency.
	Arrived time.Time
	// OnTime is until when the first token is on time. Requests that are late
	// go after those that are not.
	OnTime time.Time
	// Limit is the latest time at which the request may begin.
	Limit time.Time
	// Now is set if the request is not to be queued.
	Now bool
}

// Decision is what became of a request that asked.
type Decision int

// The decisions.
const (
	// Granted requests begin now.
	Granted Decision = iota
	// Queued requests ask again, or would have been queued.
	Queued
	// Refused requests cannot begin before their limit.
	Refused
)

type queued struct {
	Request
	asked time.Time
}

// Gate is the state of one engine.
type Gate struct {
	config  Config
	reading map[ids.RequestID]time.Time
	queue   []*queued
	// each is the mean time from a grant to the first token.
	each time.Duration
}

// New returns a gate of an engine that reads nothing.
func New(config Config) *Gate {
	return &Gate{config: config, reading: make(map[ids.RequestID]time.Time), each: config.FirstTime}
}

// Ask lets a request begin, or queues it, or refuses it, and returns the time
// after which it can begin. A queued request keeps its place when it asks again.
func (g *Gate) Ask(now time.Time, request Request) (Decision, time.Duration) {
	g.advance(now)
	if _, reads := g.reading[request.ID]; reads {
		return Granted, 0
	}
	for _, q := range g.queue {
		if q.ID == request.ID {
			q.asked = now
			return Queued, g.wait(0)
		}
	}
	entry := &queued{Request: request, asked: now}
	if len(g.queue) == 0 && len(g.reading) < g.config.Reading {
		g.reading[request.ID] = now
		return Granted, 0
	}
	ahead := 0
	for _, q := range g.queue {
		if before(now, q, entry) {
			ahead++
		}
	}
	wait := g.wait(ahead)
	if now.Add(wait).After(request.Limit) {
		return Refused, wait
	}
	if !request.Now {
		g.queue = append(g.queue, entry)
	}
	return Queued, wait
}

// wait estimates how long a request waits behind others in the queue.
func (g *Gate) wait(ahead int) time.Duration {
	return time.Duration(float64(g.each) * float64(ahead+1) / float64(g.config.Reading))
}

// before orders the queue: requests that can still be on time, then by urgency,
// then by arrival.
func before(now time.Time, a, b *queued) bool {
	lateA, lateB := now.After(a.OnTime), now.After(b.OnTime)
	if lateA != lateB {
		return lateB
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

// Done ends the reading of a request: it has its first token, or it will not
// get one. A queued request leaves the queue.
func (g *Gate) Done(now time.Time, id ids.RequestID, started bool) {
	if since, reads := g.reading[id]; reads {
		delete(g.reading, id)
		if started {
			g.each = time.Duration(eachKeep*float64(g.each) + (1-eachKeep)*float64(now.Sub(since)))
		}
	}
	g.drop(func(q *queued) bool { return q.ID == id })
}

// eachKeep is the weight of the past in the mean time of reading.
const eachKeep = 0.9

func (g *Gate) drop(gone func(*queued) bool) {
	kept := g.queue[:0]
	for _, q := range g.queue {
		if !gone(q) {
			kept = append(kept, q)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// Next returns the queued requests that begin now and those that have reached
// their limit.
func (g *Gate) Next(now time.Time) (granted, refused []ids.RequestID) {
	g.advance(now)
	g.drop(func(q *queued) bool {
		late := now.After(q.Limit)
		if late {
			refused = append(refused, q.ID)
		}
		return late
	})
	sort.Slice(g.queue, func(i, j int) bool { return before(now, g.queue[i], g.queue[j]) })
	for len(g.queue) > 0 && len(g.reading) < g.config.Reading {
		q := g.queue[0]
		g.queue = g.queue[1:]
		g.reading[q.ID] = now
		granted = append(granted, q.ID)
	}
	return granted, refused
}

// advance forgets requests of which nothing was heard for too long.
func (g *Gate) advance(now time.Time) {
	for id, since := range g.reading {
		if now.Sub(since) > g.config.Expire {
			delete(g.reading, id)
		}
	}
	g.drop(func(q *queued) bool { return now.Sub(q.asked) > g.config.AskAgain })
}

// Waiting returns the number of queued requests and the mean time of reading.
func (g *Gate) Waiting() (int, time.Duration) { return len(g.queue), g.each }
