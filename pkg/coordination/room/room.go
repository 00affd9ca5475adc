// Package room decides when requests may start at an engine, over the requests
// of all VMs. A Ledger counts the slots and the tokens of the key-value cache that
// requests take there. An engine reads new prompts between the tokens of running
// streams, so the prompts that it reads at once make all its streams pause: the
// ledger admits as many at a time as the pause objectives of the streams allow. It
// queues the other requests; the VM that owns the engine keeps it. The package is
// deterministic: time and messages are arguments.
package room

import (
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the limits and timeouts of a Ledger.
type Config struct {
	// MaxPrefills bounds the number of prompts that an engine reads at a time,
	// whatever their length.
	MaxPrefills int
	// InitialPrefills is the number of prompts that an engine reads at a time while
	// its speed is not known.
	InitialPrefills int
	// InitialPrefillTime is the first estimate of the time that a prefill takes.
	InitialPrefillTime time.Duration
	// PrefillTimeout is how long a request counts as being prefilled if its first token
	// is not reported.
	PrefillTimeout time.Duration
	// QueueTimeout is how long a request stays in the queue without being asked for
	// again. After that its VM is assumed to be gone.
	QueueTimeout time.Duration
	// DefaultPause bounds the reading of prompts where no stream has a pause objective,
	// so that urgent requests are not held up by prompts that the engine has queued.
	DefaultPause time.Duration
	// PauseShare is the part of a pause objective that an event with prompts may take.
	// The rest is left for the links and for steps that take longer than expected.
	// LongEventPauseShare replaces it where the prompts of several steps count together,
	// whose errors add up.
	PauseShare, LongEventPauseShare float64
	// LoadAge is how long the load that an engine stated is used.
	LoadAge time.Duration
	// PeakAge is how long the largest slowdown that it stated bounds the prompts read at
	// once. It is longer: at a low load the engine states one every second or less often.
	PeakAge time.Duration
	// ArrivalTime is how long after its grant a request may not have reached the engine
	// yet, and so be missing in the load that it states.
	ArrivalTime time.Duration
	// LateReserve is the share of the slots that stay free of requests that are late
	// when they begin.
	LateReserve float64
	// ReportLag is how old the figures of a report may be when the engine sends it.
	ReportLag time.Duration
	// TokenAge is how long the tokens of a report are used. Reports come every 1.5 s; with
	// a shorter age the count would change between two of them.
	TokenAge time.Duration
	// BlockTime is how long a blocked queue of the engine is assumed to stay blocked
	// without a report.
	BlockTime time.Duration
}

// DefaultConfig returns the limits for engines whose speed is learned. Until then two
// prompts are read at a time: the next one is ready when the first is done.
func DefaultConfig() Config {
	return Config{
		MaxPrefills: 64, InitialPrefills: 2, InitialPrefillTime: 150 * time.Millisecond, PrefillTimeout: 1500 * time.Millisecond, QueueTimeout: 600 * time.Millisecond,
		DefaultPause: 300 * time.Millisecond, PauseShare: 0.85, LongEventPauseShare: 0.7,
		LoadAge: time.Second, PeakAge: 2 * time.Second, ArrivalTime: 150 * time.Millisecond, LateReserve: 0.125,
		ReportLag: 500 * time.Millisecond, TokenAge: 2 * time.Second, BlockTime: time.Second,
	}
}

// Request is a request that asks to begin at the engine.
type Request struct {
	ID ids.RequestID
	// Attempt identifies the search of its VM for an endpoint; 0 if the VM did not state
	// it.
	Attempt uint64
	// Urgency orders the queue; the lowest is admitted first.
	Urgency int
	// Customer orders requests of the same urgency: the one with the fewest recent
	// grants is first.
	Customer ids.CustomerID
	// PromptTokens and OutputTokens are the counts that the caller stated; 0 if it did
	// not.
	PromptTokens, OutputTokens int64
	// PauseObjective is the longest pause between events at which the request's stream
	// is on time; 0 if it has none.
	PauseObjective time.Duration
	// Arrived orders requests of the same customer.
	Arrived time.Time
	// FirstTokenDue is the latest time at which the first token is on time. Requests
	// that can't make it are queued behind those that can.
	FirstTokenDue time.Time
	// StartDeadline is the latest time at which the request may begin.
	StartDeadline time.Time
	// NoQueue is set if the request must not be queued. If it cannot begin at once, it
	// only gets an estimate of the wait.
	NoQueue bool
	// RefusedElsewhere is set if the owner of other engines refused the request just
	// before. That owner counts it among the requests that asked.
	RefusedElsewhere bool
}

// Decision is the answer to a request that asks to begin.
type Decision int

// The decisions.
const (
	// Granted requests begin now.
	Granted Decision = iota
	// Queued requests must ask again later. A request that must not be queued
	// gets this answer too if it would have been queued.
	Queued
	// Refused requests cannot begin before their limit.
	Refused
)

// Estimate is what a request can expect.
type Estimate struct {
	// Wait is the time until it can begin, and FirstEvent the time from then to its
	// first event; 0 if that is not known.
	Wait, FirstEvent time.Duration
	// WaitsFor is what it waits for; empty if it begins at once.
	WaitsFor Shortage
}

// Shortage is what an engine lacks for a request.
type Shortage string

// The shortages.
const (
	// ShortOfRoom means that the engine has no free slot or too few free tokens.
	ShortOfRoom Shortage = "room"
	// ShortOfReading means that the engine reads, or will read, other prompts first.
	ShortOfReading Shortage = "prompts"
)

// retrySpread is the largest random part of a retry time, as a share of the wait: callers
// that were refused together come back over half of the time in which the room does.
const retrySpread = 0.5

// minRetry is the shortest retry time, about the time in which one prompt is read.
const minRetry = 100 * time.Millisecond

// RetryAfter returns when a refused request should come back that would have waited for
// the given time. random is in [0, 1).
func RetryAfter(wait time.Duration, random float64) time.Duration {
	return time.Duration(float64(max(wait, minRetry)) * (1 + retrySpread*random))
}

// queuedRequest is a request in the queue and the time at which its VM last
// asked for it.
type queuedRequest struct {
	Request
	lastAskedAt time.Time
	// wasTimely is set if the request could be on time when it was queued.
	wasTimely bool
}

// Ledger holds the requests and the queue of one engine. It is not safe for
// concurrent use.
type Ledger struct {
	config Config
	speed  *ReadingSpeed
	shares *Shares
	kinds  *Kinds
	// slots and tokens are what the engine has room for; 0 means no bound.
	slots  int
	tokens int64
	// eventSteps is the number of steps in which the engine makes an event.
	eventSteps int
	requests   map[ids.RequestID]*granted
	// firstExpiry is not after the first time at which one of requests expires, so that
	// they need not be looked through before.
	firstExpiry time.Time
	queue       []*queuedRequest
	// meanPrefillTime is the moving average of the time from a grant to the first
	// token, and meanTokens that of the tokens that a request takes.
	meanPrefillTime time.Duration
	meanTokens      float64
	// ratio is the moving average of the time to the first token at this engine, as a
	// multiple of what speed expects.
	ratio float64
	// slowdown is what the engine stated last, and peak the most that it stated lately;
	// 0 if it has not.
	slowdown, peak     float64
	slowdownAt, peakAt time.Time
	// correction is the number of requests that the engine stated at loadAt beyond those
	// in the ledger; it is negative if there were fewer.
	correction int
	loadAt     time.Time
	engineTokens
}

// New returns the ledger of an engine without requests. The engines of a service share
// their speed and kinds, and those of one owner their shares.
func New(config Config, speed *ReadingSpeed, shares *Shares, kinds *Kinds) *Ledger {
	return &Ledger{
		config: config, speed: speed, shares: shares, kinds: kinds, requests: make(map[ids.RequestID]*granted),
		meanPrefillTime: config.InitialPrefillTime, ratio: 1, eventSteps: 1,
	}
}

// SetMaxPrefills changes Config.MaxPrefills. Prefills beyond a lower number go on.
func (l *Ledger) SetMaxPrefills(count int) { l.config.MaxPrefills = max(count, 1) }

// Prefilling reports whether a request has been granted and has no first token yet.
func (l *Ledger) Prefilling(id ids.RequestID) bool {
	g := l.requests[id]
	return g != nil && g.reading()
}

// Superseded reports whether the ledger holds a request for another attempt than the given
// one, so that a message of that attempt is late. Unknown attempts are never late.
func (l *Ledger) Superseded(id ids.RequestID, attempt uint64) bool {
	differs := func(current uint64) bool { return attempt != 0 && current != 0 && attempt != current }
	if g := l.requests[id]; g != nil {
		return differs(g.attempt)
	}
	for _, q := range l.queue {
		if q.ID == id {
			return differs(q.Attempt)
		}
	}
	return false
}

// Queued reports whether a request waits in the queue.
func (l *Ledger) Queued(id ids.RequestID) bool {
	for _, q := range l.queue {
		if q.ID == id {
			return true
		}
	}
	return false
}

// Fits reports whether the engine has room for a request now if no other one goes first. It
// costs much less than Admit.
func (l *Ledger) Fits(now time.Time, request Request) bool {
	if l.slots > 0 && len(l.requests)+l.uncounted(now) >= l.slots {
		return false
	}
	return l.fits(now, request)
}

// Admit admits, queues or refuses a request, and returns an estimate of the time
// until it can begin. A queued request keeps its place when it asks again.
func (l *Ledger) Admit(now time.Time, request Request) (Decision, Estimate) {
	l.removeExpired(now)
	switch g := l.requests[request.ID]; {
	case g == nil:
	case !g.reading():
		// An attempt that had its first event does not ask again: it has ended, and its
		// stream is resumed here.
		l.removeEnded(request.ID, g.startedAt)
	default:
		g.attempt = request.Attempt
		// What is unread contains its own prompt.
		return Granted, Estimate{FirstEvent: l.firstEvent(now, request, max(l.unread(now)-l.cost(request), 0))}
	}
	for _, q := range l.queue {
		if q.ID == request.ID {
			q.lastAskedAt, q.Attempt = now, request.Attempt
			estimate := l.estimate(now, q)
			if now.After(q.StartDeadline) {
				l.refuseQueued(now, q)
				return Refused, estimate
			}
			return Queued, estimate
		}
	}
	entry := &queuedRequest{Request: request, lastAskedAt: now, wasTimely: !l.late(now, request)}
	if l.isFirst(now, entry) && l.fits(now, request) {
		estimate := Estimate{FirstEvent: l.firstEvent(now, request, l.unread(now))}
		l.begin(now, entry)
		return Granted, estimate
	}
	estimate := l.estimate(now, entry)
	if l.neverFits(request) {
		return Refused, estimate
	}
	if now.Add(estimate.Wait).After(request.StartDeadline) {
		l.countRefused(now, request)
		return Refused, estimate
	}
	if !request.NoQueue {
		l.queue = append(l.queue, entry)
	}
	return Queued, estimate
}

// refuseQueued removes a queued request that has passed its limit.
func (l *Ledger) refuseQueued(now time.Time, refused *queuedRequest) {
	l.removeQueued(func(q *queuedRequest) bool { return q == refused })
	if refused.wasTimely {
		l.kinds.recordRefused(now, refused.ID, refused.Urgency, refused.RefusedElsewhere)
	}
}

// isFirst reports whether no queued request starts before the given one.
func (l *Ledger) isFirst(now time.Time, request *queuedRequest) bool {
	for _, q := range l.queue {
		if l.startsBefore(now, q, request) {
			return false
		}
	}
	return true
}

// startsBefore orders the queue: first the requests whose first token can still
// be on time, then by urgency, then by the customers' recent grants, then by arrival.
func (l *Ledger) startsBefore(now time.Time, a, b *queuedRequest) bool {
	aLate, bLate := l.late(now, a.Request), l.late(now, b.Request)
	if aLate != bLate {
		return bLate
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if aShare, bShare := l.shares.recent(now, a.Customer), l.shares.recent(now, b.Customer); aShare != bShare {
		return aShare < bShare
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

// late reports whether the first token of a request would be late even if the engine
// read its prompt now and alone.
func (l *Ledger) late(now time.Time, q Request) bool {
	if l.speed.known() {
		now = now.Add(fromMilliseconds(l.speed.base() + l.pace(now)*l.speed.perToken()*l.cost(q)))
	}
	return now.After(q.FirstTokenDue)
}

// removeQueued removes the queued requests that remove selects.
func (l *Ledger) removeQueued(remove func(*queuedRequest) bool) {
	kept := l.queue[:0]
	for _, q := range l.queue {
		if !remove(q) {
			kept = append(kept, q)
		}
	}
	clear(l.queue[len(kept):])
	l.queue = kept
}

// Dequeue returns the queued requests that begin now, and those that have passed
// their limit.
func (l *Ledger) Dequeue(now time.Time) (granted, refused []ids.RequestID) {
	l.removeExpired(now)
	if len(l.queue) == 0 {
		return nil, nil
	}
	l.removeQueued(func(q *queuedRequest) bool {
		expired := now.After(q.StartDeadline)
		if expired {
			refused = append(refused, q.ID)
			if q.wasTimely {
				l.kinds.recordRefused(now, q.ID, q.Urgency, q.RefusedElsewhere)
			}
		}
		return expired
	})
	sort.Slice(l.queue, func(i, j int) bool { return l.startsBefore(now, l.queue[i], l.queue[j]) })
	// A long prompt at the head of the queue is not overtaken by short ones: it would
	// never begin if they kept arriving.
	for len(l.queue) > 0 && l.fits(now, l.queue[0].Request) {
		q := l.queue[0]
		l.queue = l.queue[1:]
		l.begin(now, q)
		granted = append(granted, q.ID)
	}
	return granted, refused
}

// QueueStatus returns the number of queued requests and the mean prefill time.
func (l *Ledger) QueueStatus() (int, time.Duration) { return len(l.queue), l.meanPrefillTime }
