package node

import (
	"context"
	"maps"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/handover"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// handoverInterval is the pause between two searches for another endpoint while
// one is silent.
const handoverInterval = 150 * time.Millisecond

// The pauses between two searches for an endpoint at which a stream that broke off
// can go on grow by resumeInterval up to maxResumeInterval.
const (
	resumeInterval    = 100 * time.Millisecond
	maxResumeInterval = 400 * time.Millisecond
)

// silenceWatch looks for another endpoint while the endpoint of a send is silent.
// The send goes on meanwhile. It is cancelled only when the other endpoint may get
// the request at once: it holds the adapter, its owner and its limit admit the
// request, and the key and the retry budget allow the send.
type silenceWatch struct {
	node     *Node
	request  *requestState
	endpoint ids.EndpointID
	ctx      context.Context
	cancel   context.CancelFunc
	timer    *time.Timer
	searches sync.WaitGroup
	// find looks for another endpoint.
	find func(context.Context, *requestState) (*serving.Endpoint, *refusal)

	// mu guards the fields below.
	mu    sync.Mutex
	watch *handover.Watch
	// due is when the timer is to call search.
	due time.Time
	// stopSearch ends the search that is running; nil if there is none.
	stopSearch  context.CancelFunc
	replacement *replacement
	// recorded is set once the silence was recorded, since no other endpoint was sure
	// when it was noticed.
	recorded bool
}

// replacement is the endpoint at which a request goes on, with the state of the
// search that found it.
type replacement struct {
	endpoint *serving.Endpoint
	search   *requestState
}

// watchSilence starts the watch of a send. ctx and cancel are those of the send. A
// limit of 0 means that the request is not sent again.
func (n *Node) watchSilence(ctx context.Context, cancel context.CancelFunc, p *requestState, e ids.EndpointID, limit time.Duration) *silenceWatch {
	s := &silenceWatch{node: n, request: p, endpoint: e, ctx: ctx, cancel: cancel, watch: handover.New(time.Now(), limit), find: n.findReplacement}
	if limit > 0 {
		s.mu.Lock()
		s.due = time.Now().Add(limit)
		s.timer = time.AfterFunc(limit, s.search)
		s.mu.Unlock()
	}
	return s
}

// progress records that the endpoint has sent something that counts.
func (s *silenceWatch) progress(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Progress(time.Now(), limit)
	if s.stopSearch != nil {
		s.stopSearch()
	}
}

// hold stops the watch while bytes are written to the caller, and release starts
// it anew.
func (s *silenceWatch) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Hold()
}

func (s *silenceWatch) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Release(time.Now())
}

// stop ends the watch with its send. It returns the endpoint at which the request
// goes on, or nil, and reports whether the endpoint of the send was silent at the end
// and whether its silence was recorded.
func (s *silenceWatch) stop() (found *replacement, silent, recorded bool) {
	s.mu.Lock()
	wait, watched := s.watch.UntilSearch(time.Now())
	s.watch.End()
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.stopSearch != nil {
		s.stopSearch()
	}
	s.mu.Unlock()
	s.searches.Wait()
	return s.replacement, s.replacement != nil || watched && wait == 0, s.recorded
}

// search looks for another endpoint once the endpoint has been silent for the
// limit, and again later if there is none. The timer calls it.
func (s *silenceWatch) search() {
	s.mu.Lock()
	began := time.Now()
	wait, watched := s.watch.UntilSearch(began)
	if late := began.Sub(s.due); watched && wait == 0 && late > maxTimerDelay && s.watch.Postpone(began, late) {
		wait, watched = s.watch.UntilSearch(began)
	}
	if !watched || wait > 0 {
		if watched {
			s.searchIn(wait)
		}
		s.mu.Unlock()
		return
	}
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	s.stopSearch = stop
	s.searches.Add(1)
	defer s.searches.Done()
	s.mu.Unlock()

	search := s.request.newSearch(s.endpoint)
	var endpoint *serving.Endpoint
	var refused *refusal
	if err := protect("look for another endpoint", func() error {
		endpoint, refused = s.find(ctx, search)
		return nil
	}); err != nil {
		refused = refuseNoEndpoint()
		s.node.logWarning("search for another endpoint failed", err, fields{"request": s.request.request.ID, "endpoint": s.endpoint})
	}

	if refused == nil {
		awaitTurns()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopSearch = nil
	if refused == nil && s.watch.MayHandOver(began) && s.node.takeRetryBudget(s.request) {
		s.replacement = &replacement{endpoint: endpoint, search: search}
		s.watch.End()
		s.cancel()
		return
	}
	s.node.releaseGrant(&search.prefillGrant, false)
	if refused != nil && !s.recorded && ctx.Err() == nil {
		s.recorded = true
		s.node.recordSilence(s.endpoint)
		s.node.logInfo("endpoint silent, no other can go on", fields{"request": s.request.request.ID, "endpoint": s.endpoint, "reason": refused.reason})
	}
	if _, watched := s.watch.UntilSearch(time.Now()); watched {
		s.searchIn(handoverInterval)
	}
}

// networkPollTime is the time in which the Go runtime looks for bytes that have arrived,
// also while all processors are busy.
const networkPollTime = 10 * time.Millisecond

// awaitTurns returns once goroutines that are ready had a turn, those included whose
// connections have bytes to read.
func awaitTurns() {
	time.Sleep(networkPollTime)
	runtime.Gosched()
}

// maxTimerDelay is how late a timer may be in a process that gets its turns.
const maxTimerDelay = 100 * time.Millisecond

// searchIn has search called after the given time. The caller holds mu.
func (s *silenceWatch) searchIn(wait time.Duration) {
	s.due = time.Now().Add(wait)
	s.timer.Reset(wait)
}

// recordSilence counts an endpoint's silence as a failure at once: requests that could
// go elsewhere, or load their adapter there, would otherwise join those that wait.
func (n *Node) recordSilence(id ids.EndpointID) {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.balancer.RecordSilence(time.Now(), id)
}

// newSearch returns the state of a search for an endpoint that continues the
// request in place of a silent one. It shares nothing with p that changes.
func (p *requestState) newSearch(silent ids.EndpointID) *requestState {
	search := &requestState{
		request: p.request, key: p.key, body: p.body, pickSalt: p.pickSalt, quarantineTrial: p.quarantineTrial,
		excluded: maps.Clone(p.excluded), fullEngines: make(map[ids.EndpointID]bool), searchBegan: time.Now(), besideSend: true,
	}
	search.excluded[silent] = true
	return search
}

// findReplacement returns an endpoint that may get the request at once.
func (n *Node) findReplacement(ctx context.Context, search *requestState) (*serving.Endpoint, *refusal) {
	if !search.body.held() {
		return nil, refuseBusy(retryNoEndpoint, errBodyReleased.Error())
	}
	if !n.retryBudgetLeft(search) {
		return nil, refuseBusy(retryNoEndpoint, "no retry budget")
	}
	if refused := n.checkKey(search); refused != nil {
		return nil, refused
	}
	endpoint, refused := n.chooseEndpoint(ctx, search)
	if refused == nil {
		refused = n.checkKey(search)
	}
	if refused == nil {
		refused = n.checkQuarantine(search)
	}
	if refused == nil && (!n.admitToPace(search, endpoint) || !n.admitToEndpoint(ctx, endpoint) || !n.beginSend(endpoint)) {
		refused = n.refuseUnplaced(search, refuseNoEndpoint())
	}
	return endpoint, refused
}

// continueAt takes over what the search for a replacement has secured.
func (p *requestState) continueAt(found *replacement) *serving.Endpoint {
	p.prefillGrant, p.quarantineTrial = found.search.prefillGrant, found.search.quarantineTrial
	p.prefillWait += found.search.prefillWait
	p.ownersAsked = found.search.ownersAsked
	return found.endpoint
}

// awaitNextSearch waits before the next search for an endpoint at which a stream
// that broke off can go on, and reports whether there may be one. A request
// whose answer has not begun is refused instead.
func (n *Node) awaitNextSearch(ctx context.Context, p *requestState, refused *refusal) bool {
	if !p.responseStarted || refused.status != http.StatusServiceUnavailable || ctx.Err() != nil {
		return false
	}
	route := p.request.Route
	p.resumeSearches++
	pause := min(time.Duration(p.resumeSearches)*resumeInterval, maxResumeInterval)
	if time.Now().Add(pause).After(handover.ResumeBy(p.lastChunkAt, route.Objective, route.PauseObjective)) {
		return false
	}
	sleep(ctx, pause)
	clear(p.excluded)
	clear(p.fullEngines)
	p.shedByEndpoint, p.searchBegan = false, time.Now()
	return ctx.Err() == nil
}

// awaitRetryBudget spends one repeated send, for which a stream that broke off
// waits, and reports whether the budget allowed it.
func (n *Node) awaitRetryBudget(ctx context.Context, p *requestState) bool {
	for !n.takeRetryBudget(p) {
		if !n.awaitNextSearch(ctx, p, refuseBusy(0, "no retry budget")) {
			return false
		}
	}
	return true
}

// available returns the endpoints that are not ejected.
func (n *Node) available(now time.Time, endpoints []*serving.Endpoint) []*serving.Endpoint {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	var available []*serving.Endpoint
	for _, e := range endpoints {
		if n.balancer.Available(now, e.ID) {
			available = append(available, e)
		}
	}
	return available
}
