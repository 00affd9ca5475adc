package room

import (
	"math"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// granted is a request that was granted and has not ended.
type granted struct {
	// attempt is that of the request that asked last.
	attempt   uint64
	grantedAt time.Time
	// startedAt is when its first event was reported; zero while its prompt is read.
	startedAt time.Time
	// prompt is the cost of its prompt, and ahead the cost of what the engine still had
	// to read when it was granted.
	prompt, ahead float64
	stated        bool
	objective     time.Duration
	outputTokens  int64
	urgency       int
	elsewhere     bool
	// due is when its first event is on time, and wasTimely is set if it could be when it
	// first asked.
	due       time.Time
	wasTimely bool
	// expectedEnd is when it should end, and expires when it leaves the ledger if its
	// end is not reported.
	expectedEnd, expires time.Time
	// excess is the part of its tokens that the engine does not hold by its last report.
	excess float64
}

func (g *granted) reading() bool { return g.startedAt.IsZero() }

const (
	// meanDecay is the weight of the past in the moving averages.
	meanDecay = 0.9
	// minRatio and maxRatio bound what one request adds to the moving average of an
	// engine's pace, against a first token that was held up elsewhere.
	minRatio, maxRatio = 0.5, 3
	// minSlowdown and maxSlowdown bound what an engine may state.
	minSlowdown, maxSlowdown = 0.1, 20
	// maxLoadPerSlot bounds the running and the waiting requests that an engine may state,
	// for each of its slots; more than one is full. maxLoadWithoutSlots bounds them where
	// the slots are not known.
	maxLoadPerSlot      = 2
	maxLoadWithoutSlots = 1 << 16
	// runMargin is how much longer than the longest expected time a request without a
	// reported end stays in the ledger. defaultRun is the time expected for a request
	// of unknown length, and maxRun bounds the time for any.
	runMargin  = 1.5
	defaultRun = 5 * time.Second
	maxRun     = 5 * time.Minute
)

// SetCapacity sets the number of requests that the engine runs at once and the tokens
// that its key-value cache holds; 0 means no bound.
func (l *Ledger) SetCapacity(slots int, tokens int64) { l.slots, l.tokens = slots, tokens }

// SetEventSteps sets in how many steps the engine makes one event of a stream, which
// is the number of tokens that an event holds.
func (l *Ledger) SetEventSteps(steps int) { l.eventSteps = max(steps, 1) }

// Reset empties the ledger, since the engine has restarted. The queue stays.
func (l *Ledger) Reset() {
	clear(l.requests)
	l.slowdown, l.peak, l.correction, l.loadAt, l.ratio = 0, 0, 0, time.Time{}, 1
	l.engineTokens = engineTokens{}
}

// SetSlowdown records how long work takes at the engine, as a multiple of the usual
// time, as the engine reports it.
func (l *Ledger) SetSlowdown(now time.Time, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	l.slowdown, l.slowdownAt = slowdown, now
	if slowdown >= l.peak || now.Sub(l.peakAt) > l.config.PeakAge {
		l.peak, l.peakAt = slowdown, now
	}
}

// SetLoad records how many requests the engine reports to have. It may have some
// that the ledger doesn't know, as after a change of the owner, and the ledger some
// whose ends were not reported.
func (l *Ledger) SetLoad(now time.Time, running, waiting int) {
	l.removeExpired(now)
	bound := maxLoadPerSlot * l.slots
	if l.slots <= 0 {
		bound = maxLoadWithoutSlots
	}
	stated := min(max(running, 0), bound) + min(max(waiting, 0), bound)
	arrived := 0
	for _, g := range l.requests {
		if !g.reading() || now.Sub(g.grantedAt) > l.config.ArrivalTime {
			arrived++
		}
	}
	// Between arrived and all requests of the ledger, its count may be exact.
	l.correction = max(stated-len(l.requests), 0) + min(stated-arrived, 0)
	l.loadAt = now
}

// uncounted returns the number of requests at the engine beyond those in the ledger.
func (l *Ledger) uncounted(now time.Time) int {
	if l.loadAt.IsZero() || now.Sub(l.loadAt) > l.config.LoadAge {
		return 0
	}
	return max(l.correction, -len(l.requests))
}

// InUse returns how many requests are at the engine, and the tokens that they take.
func (l *Ledger) InUse(now time.Time) (slots int, tokens float64) {
	slots = len(l.requests) + l.uncounted(now)
	for _, g := range l.requests {
		tokens += l.expectedTokens(g)
	}
	return slots, max(tokens+l.tokenCorrection(now), 0)
}

// expectedTokens returns the tokens that a request takes until it ends.
func (l *Ledger) expectedTokens(g *granted) float64 {
	return g.prompt + l.expectedOutput(g.outputTokens)
}

// needs returns the tokens that a request takes at the engine.
func (l *Ledger) needs(request Request) float64 {
	return l.cost(request) + l.expectedOutput(request.OutputTokens)
}

// expectedOutput returns how many tokens a request puts out that has stated at most the
// given number. Until that is known of other requests, it is not expected to exceed the
// share of one slot, so that it leaves the other slots to others.
func (l *Ledger) expectedOutput(stated int64) float64 {
	expected := l.speed.expectedOutput(stated)
	if capacity := l.tokenCapacity(); capacity > 0 && l.slots > 0 && !l.speed.knowsOutput() {
		return min(expected, float64(capacity)/float64(l.slots))
	}
	return expected
}

// neverFits reports whether a prompt is longer than the engine's cache.
func (l *Ledger) neverFits(request Request) bool {
	capacity := l.tokenCapacity()
	return capacity > 0 && request.PromptTokens > capacity
}

// hasRoom reports whether the engine has a slot and tokens for one more request. A
// late one gets no slot of the reserve.
func (l *Ledger) hasRoom(now time.Time, request Request) bool {
	slots, tokens := l.InUse(now)
	if slots <= 0 {
		return true
	}
	if l.blockedFor(now) > 0 {
		return false
	}
	if l.slots > 0 {
		free := l.slots - slots
		if free <= l.reserve(now, request) {
			return false
		}
	}
	capacity := l.tokenCapacity()
	return capacity <= 0 || tokens+l.needs(request) <= float64(capacity)
}

// reserve returns the number of slots that have to stay free beside a request: those for
// requests that can be on time, if it is late, and those for more urgent ones that are
// served worse.
func (l *Ledger) reserve(now time.Time, request Request) int {
	share := l.kinds.reserve(now, request.Urgency)
	if l.late(now, request) {
		share = max(share, l.config.LateReserve)
	}
	return int(math.Ceil(share * float64(l.slots)))
}

// countRefused counts a request that is refused as it asks. If it could not be on time
// any more, the engines were not the cause.
func (l *Ledger) countRefused(now time.Time, request Request) {
	switch {
	case l.late(now, request):
	case request.NoQueue:
		l.kinds.recordRefusedProbe(now, request.ID, request.Urgency, request.RefusedElsewhere)
	default:
		l.kinds.recordRefused(now, request.ID, request.Urgency, request.RefusedElsewhere)
	}
}

// untilRoom estimates the time until the engine has room for a request behind queued
// ones that take the given number of slots and tokens.
func (l *Ledger) untilRoom(now time.Time, request Request, slotsAhead int, tokensAhead float64) time.Duration {
	return max(l.untilFree(now, request, slotsAhead, tokensAhead), l.blockedFor(now))
}

// untilFree is untilRoom without regard to the engine's own queue.
func (l *Ledger) untilFree(now time.Time, request Request, slotsAhead int, tokensAhead float64) time.Duration {
	slots, tokens := l.InUse(now)
	slots += slotsAhead + 1
	tokens += tokensAhead + l.needs(request)
	slots += l.reserve(now, request)
	capacity := l.tokenCapacity()
	enough := func() bool {
		return (l.slots <= 0 || slots <= l.slots) && (capacity <= 0 || tokens <= float64(capacity))
	}
	if enough() {
		return 0
	}
	ends := make([]*granted, 0, len(l.requests))
	for _, g := range l.requests {
		ends = append(ends, g)
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].expectedEnd.Before(ends[j].expectedEnd) })
	for _, g := range ends {
		slots--
		tokens -= l.expectedTokens(g) - l.excess(now, g)
		if enough() {
			return max(g.expectedEnd.Sub(now), 0)
		}
	}
	// Room for it comes only from requests that are queued or not known.
	run := l.expectedRun(now, request.OutputTokens)
	if l.slots <= 0 {
		return run
	}
	return run + time.Duration(float64(run)*float64(max(slots-l.slots, 0))/float64(l.slots))
}

// begin records that a request has been granted.
func (l *Ledger) begin(now time.Time, q *queuedRequest) {
	request := q.Request
	run := l.expectedRun(now, request.OutputTokens)
	l.requests[request.ID] = &granted{
		attempt: request.Attempt, grantedAt: now, prompt: l.cost(request), ahead: l.unread(now), stated: request.PromptTokens > 0,
		objective: request.PauseObjective, outputTokens: request.OutputTokens, urgency: request.Urgency, elsewhere: request.RefusedElsewhere, due: request.FirstTokenDue, wasTimely: q.wasTimely,
		expectedEnd: now.Add(l.meanPrefillTime + run), expires: now.Add(l.config.PrefillTimeout),
	}
	if expires := now.Add(l.config.PrefillTimeout); expires.Before(l.firstExpiry) {
		l.firstExpiry = expires
	}
	l.meanTokens += (1 - meanDecay) * (l.needs(request) - l.meanTokens)
	l.shares.granted(now, request.Customer)
	l.kinds.recordGrant(request.ID)
}

// cost returns the number of tokens for which a prompt counts. A prompt whose length
// is not stated counts like the mean one.
func (l *Ledger) cost(request Request) float64 {
	if request.PromptTokens > 0 {
		return float64(request.PromptTokens)
	}
	return l.speed.meanX
}

// statedSlowdown returns the slowdown that the engine stated, or 1 if it is too old.
func (l *Ledger) statedSlowdown(now time.Time) float64 {
	if l.slowdown <= 0 || now.Sub(l.slowdownAt) > l.config.LoadAge {
		return 1
	}
	return l.slowdown
}

// pace is how long work takes now at this engine, as a multiple of the usual time.
func (l *Ledger) pace(now time.Time) float64 { return l.statedSlowdown(now) * l.ratio }

// slowestPace is the pace that is assumed for pauses: the most that the engine stated
// lately, since the slowdown changes several times while a prompt is read. The ratio
// stands for it if the engine stated none, but not below the usual one, since a few prompts
// read early don't show that the engine is faster. Otherwise the ratio is left out: it also
// grows with the way of the messages, which makes no stream pause.
func (l *Ledger) slowestPace(now time.Time) float64 {
	if l.peak > 0 && now.Sub(l.peakAt) <= l.config.PeakAge {
		return max(l.peak, l.statedSlowdown(now))
	}
	return max(l.ratio, 1)
}

// prefills returns the number of prompts that the engine reads between the same two
// events of a stream as one that begins now, and their cost. A prompt counts in full
// until its first event is reported: from the time alone it isn't known in which step
// the engine reads it. Where an event takes several steps, the prompts of the steps
// before make the same pause longer.
func (l *Ledger) prefills(now time.Time) (count int, tokens float64) {
	var before time.Duration
	if l.longEvents() && l.speed.known() {
		before = fromMilliseconds(l.eventTime() * l.statedSlowdown(now))
	}
	for _, g := range l.requests {
		if g.reading() || now.Sub(g.startedAt) < before {
			count++
			tokens += g.prompt
		}
	}
	return count, tokens
}

// longEventSteps is the number of steps from which the prompts of all steps of an event
// count together. A shorter event is over by the time that the owner hears that a prompt
// has been read and the next one arrives.
const longEventSteps = 3

func (l *Ledger) longEvents() bool { return l.eventSteps >= longEventSteps }

// eventTime returns the milliseconds in which the engine makes an event while it reads
// no prompts.
func (l *Ledger) eventTime() float64 {
	return float64(l.eventSteps) * l.speed.stepTime(l.eventSteps)
}

// unread estimates how many tokens the engine still has to read of the prompts that
// were granted, from the time that has passed.
func (l *Ledger) unread(now time.Time) float64 {
	if !l.speed.known() {
		return 0
	}
	unread := 0.0
	perToken, base := l.speed.perToken()*l.pace(now), l.speed.base()
	for _, g := range l.requests {
		if g.reading() {
			read := max(milliseconds(now.Sub(g.grantedAt))-base, 0) / perToken
			unread += min(max(g.ahead+g.prompt-read, 0), g.prompt)
		}
	}
	return unread
}

// fits reports whether a request may begin now: if the engine has room, and its prompt
// is read alone or beside others as long as no stream pauses for too long.
func (l *Ledger) fits(now time.Time, request Request) bool {
	if !l.hasRoom(now, request) {
		return false
	}
	count, tokens := l.prefills(now)
	switch {
	case count == 0:
		return true
	case count >= l.config.MaxPrefills:
		return false
	case !l.speed.known():
		return count < l.config.InitialPrefills
	}
	return tokens+l.cost(request) <= l.tokensAtOnce(now, request)
}

// tokensAtOnce returns how many prompt tokens the engine may read between two events
// of its streams, the given request's included.
func (l *Ledger) tokensAtOnce(now time.Time, request Request) float64 {
	objective := request.PauseObjective
	for _, g := range l.requests {
		if g.objective > 0 && (objective <= 0 || g.objective < objective) {
			objective = g.objective
		}
	}
	if objective <= 0 {
		objective = l.config.DefaultPause
	}
	share := l.config.PauseShare
	if l.longEvents() {
		share = l.config.LongEventPauseShare
	}
	return max(share*milliseconds(objective)/l.slowestPace(now)-l.eventTime(), 0) / l.speed.slowPerToken()
}

// firstEvent estimates the time from a grant to the first event, behind the given
// number of unread tokens; 0 if it is not known.
func (l *Ledger) firstEvent(now time.Time, request Request, unread float64) time.Duration {
	if !l.speed.known() {
		return 0
	}
	return fromMilliseconds(l.speed.base() + l.pace(now)*l.speed.perToken()*(l.cost(request)+unread))
}

// estimate estimates what a request can expect that is not admitted at once.
func (l *Ledger) estimate(now time.Time, request *queuedRequest) Estimate {
	ahead, prompts, tokens := 0, 0.0, 0.0
	for _, q := range l.queue {
		if q != request && l.startsBefore(now, q, request) {
			ahead++
			prompts += l.cost(q.Request)
			tokens += l.needs(q.Request)
		}
	}
	room := l.untilRoom(now, request.Request, ahead, tokens)
	atOnce := l.prefillsAtOnce(now, request.Request)
	if !l.speed.known() {
		return waitFor(room, time.Duration(float64(l.meanPrefillTime)*float64(ahead+1)/float64(atOnce)))
	}
	// The prompts ahead are read in groups that fit together, each with the base time
	// of its first one.
	groups := 1 + float64(ahead)/float64(atOnce)
	reading := fromMilliseconds(l.speed.base()*groups + l.pace(now)*l.speed.perToken()*(l.unread(now)+prompts))
	estimate := waitFor(room, reading)
	estimate.FirstEvent = l.firstEvent(now, request.Request, 0)
	return estimate
}

func waitFor(room, reading time.Duration) Estimate {
	if room > reading {
		return Estimate{Wait: room, WaitsFor: ShortOfRoom}
	}
	return Estimate{Wait: reading, WaitsFor: ShortOfReading}
}

// prefillsAtOnce returns how many prompts of mean length the engine reads at a time.
func (l *Ledger) prefillsAtOnce(now time.Time, request Request) int {
	count := l.config.InitialPrefills
	if l.speed.known() {
		count = int(l.tokensAtOnce(now, request) / l.speed.meanX)
	}
	return max(min(count, l.config.MaxPrefills), 1)
}

// EndPrefill ends the prefill of a request, because its first token was sent or
// it will not get one. In the second case it has ended. If the request is still queued,
// it is removed from the queue.
func (l *Ledger) EndPrefill(now time.Time, id ids.RequestID, gotFirstToken bool) {
	g := l.requests[id]
	switch {
	case g != nil && !gotFirstToken:
		delete(l.requests, id)
	case g != nil && g.reading():
		l.learn(now, g)
		if g.wasTimely {
			l.kinds.record(now, g.urgency, g.elsewhere, !now.After(g.due))
		}
		g.startedAt, g.expectedEnd, g.expires = now, now.Add(l.expectedRun(now, g.outputTokens)), now.Add(l.longestRun(now, g.outputTokens))
	}
	if g != nil && g.expires.Before(l.firstExpiry) {
		l.firstExpiry = g.expires
	}
	l.removeQueued(func(q *queuedRequest) bool { return q.ID == id })
}

// Run is what the VM of a request saw of it at the engine.
type Run struct {
	// EndedAt is when it ended. A request that was granted later is another attempt,
	// which goes on.
	EndedAt time.Time
	// Complete is set if the answer was complete; Events is the number of events and
	// Duration the time from the first to the last.
	Complete bool
	Events   int
	Duration time.Duration
}

// End removes a request that has ended at the engine. Unknown requests are ignored, so
// that the message may arrive twice or late.
func (l *Ledger) End(now time.Time, id ids.RequestID, run Run) {
	g := l.requests[id]
	if g == nil || g.grantedAt.After(run.EndedAt) {
		return
	}
	l.removeEnded(id, run.EndedAt)
	if run.Complete {
		l.speed.observeRun(run.Events, l.eventSteps, time.Duration(float64(run.Duration)/l.pace(now)), g.outputTokens)
	}
}

// removeEnded removes a request that ended at the given time. If the load
// that the engine reported last is younger, that did not count it any more.
func (l *Ledger) removeEnded(id ids.RequestID, endedAt time.Time) {
	l.keepEnded(endedAt, l.requests[id])
	delete(l.requests, id)
	if l.correction < 0 && endedAt.Before(l.loadAt) {
		l.correction++
	}
}

// learn adds the time to the first token of one request to the estimates.
func (l *Ledger) learn(now time.Time, g *granted) {
	took := now.Sub(g.grantedAt)
	l.meanPrefillTime = time.Duration(meanDecay*float64(l.meanPrefillTime) + (1-meanDecay)*float64(took))
	if !g.stated {
		return
	}
	tokens := l.statedSlowdown(now) * (g.ahead + g.prompt)
	if l.speed.known() {
		seen := min(max(milliseconds(took)/l.speed.expected(tokens), minRatio), maxRatio)
		l.ratio = meanDecay*l.ratio + (1-meanDecay)*seen
	}
	l.speed.observe(tokens, took)
}

// expectedRun returns how long a request should run from its first token on.
func (l *Ledger) expectedRun(now time.Time, outputTokens int64) time.Duration {
	return l.run(now, outputTokens, l.expectedOutput(outputTokens))
}

// longestRun returns how long a request may run from its first token on until its end
// is assumed to be lost.
func (l *Ledger) longestRun(now time.Time, outputTokens int64) time.Duration {
	return time.Duration(runMargin * float64(l.run(now, outputTokens, float64(outputTokens))))
}

func (l *Ledger) run(now time.Time, stated int64, output float64) time.Duration {
	if stated <= 0 || !l.speed.known() {
		return defaultRun
	}
	return fromMilliseconds(min(l.pace(now)*l.speed.betweenEvents(l.eventSteps)*output/float64(l.eventSteps), milliseconds(maxRun)))
}

// removeExpired forgets requests that were not reported for too long.
func (l *Ledger) removeExpired(now time.Time) {
	if now.After(l.firstExpiry) {
		l.removeExpiredRequests(now)
	}
	if len(l.queue) == 0 {
		return
	}
	l.removeQueued(func(q *queuedRequest) bool { return now.Sub(q.lastAskedAt) > l.config.QueueTimeout })
}

func (l *Ledger) removeExpiredRequests(now time.Time) {
	l.firstExpiry = now.Add(l.config.PrefillTimeout)
	for id, g := range l.requests {
		if now.After(g.expires) {
			// It probably ended some time ago without a message.
			l.removeEnded(id, g.grantedAt)
		} else if g.expires.Before(l.firstExpiry) {
			l.firstExpiry = g.expires
		}
	}
}

// Status is the state of a ledger for metrics and logs.
type Status struct {
	// Slots is the number of requests that the engine runs at once, InUse the number of
	// those at the engine, Reading that of their prompts that are read, and Queued that of
	// the requests that wait.
	Slots, InUse, Reading, Queued int
	// Tokens are those of the key-value cache that requests take, and TokenCorrection the
	// part of them that is known from the engine only; negative if it holds fewer.
	Tokens, TokenCorrection float64
	// TokenCapacity is the number of tokens that the cache holds; 0 means no bound.
	TokenCapacity int64
	// Blocked is set if nothing is granted because the engine's own queue is blocked.
	Blocked bool
}

// Status returns the state of the ledger.
func (l *Ledger) Status(now time.Time) Status {
	l.removeExpired(now)
	inUse, tokens := l.InUse(now)
	reading := 0
	for _, g := range l.requests {
		if g.reading() {
			reading++
		}
	}
	return Status{
		Slots: l.slots, InUse: inUse, Reading: reading, Queued: len(l.queue),
		Tokens: tokens, TokenCorrection: l.tokenCorrection(now), TokenCapacity: l.tokenCapacity(), Blocked: l.blockedFor(now) > 0,
	}
}
