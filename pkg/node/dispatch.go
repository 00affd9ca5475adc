package node

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Parameters for sending and resending requests.
const (
	// maxSheds is how often endpoints may shed a request before it is refused.
	maxSheds = 12
	// maxLoadDenials is how often engines may deny having the adapter of a request,
	// which has waited for its load each time, before it is refused. The time for
	// which a request waits for its adapter ends sooner.
	maxLoadDenials = 40
	// shedRetryDelay is the pause after an engine shed a request for an adapter
	// that was loaded only recently.
	shedRetryDelay = 40 * time.Millisecond
	// silenceTimeoutFactor is the multiple of the route's objective after which
	// another endpoint is looked for if a request that may be repeated, or a
	// resumable stream, is not answered. The timeout is at least
	// minSilenceTimeout and at most silenceTimeoutShare of the time left.
	silenceTimeoutFactor = 4
	minSilenceTimeout    = 300 * time.Millisecond
	silenceTimeoutShare  = 0.45
	// streamSilenceLimit is how long a resumable stream may complete no event
	// before another endpoint is looked for, or pauseToleranceFactor times the
	// objective for its pauses if that is longer. Callers give up after two
	// seconds, or eight such pauses.
	streamSilenceLimit   = time.Second
	pauseToleranceFactor = 3
)

// ServeHTTP implements http.Handler for callers' requests.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	p := n.newRequestState(r, arrived)
	defer func() { p.body.release() }()
	defer func() {
		if cause := recover(); cause != nil {
			n.endAfterPanic(w, p, cause)
		}
	}()
	if refused := n.admit(w, r, p); refused != nil {
		n.refuseUnread(w, r, p, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), p.request.Deadline)
	defer cancel()
	p.outlastDrainAnswers = context.AfterFunc(n.requestsCtx, cancel)
	defer p.outlastDrainAnswers()
	defer context.AfterFunc(n.answersCtx, cancel)()
	n.dispatch(ctx, w, r, p)
}

// dispatch sends a request to endpoints until one answers it, or it is refused
// or fails.
func (n *Node) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request, p *requestState) {
	n.recordRequest(p)
	if p.request.Adapter != "" {
		key := p.request.AdapterKey()
		n.adapterIndex.beginRequest(key)
		defer n.adapterIndex.endRequest(key)
	}
	var secured *serving.Endpoint
	for shed, loading, denied := 0, 0, 0; ; {
		endpoint := secured
		secured = nil
		if endpoint != nil && !n.inUse(endpoint) {
			n.releaseGrant(&p.prefillGrant, false)
			endpoint = nil
		}
		if endpoint == nil {
			var refused *refusal
			endpoint, refused = n.chooseEndpoint(ctx, p)
			if refused == nil {
				refused = n.checkKey(p)
			}
			if refused == nil {
				refused = n.checkQuarantine(p)
			}
			if refused != nil {
				n.releaseGrant(&p.prefillGrant, false)
				if n.awaitNextSearch(ctx, p, refused) {
					continue
				}
				n.endNotRun(r, w, p, refused)
				return
			}
			if !n.admitToPace(p, endpoint) || !n.admitToEndpoint(ctx, endpoint) || !n.beginSend(endpoint) {
				n.releaseGrant(&p.prefillGrant, false)
				if denied++; denied > maxDenials {
					refused = n.refuseUnplaced(p, refuseNoEndpoint())
					if !n.awaitNextSearch(ctx, p, refused) {
						n.endNotRun(r, w, p, refused)
						return
					}
				}
				continue
			}
		}
		result := n.send(ctx, w, p, endpoint)
		if result.replacement != nil && (ctx.Err() != nil || result.engineEnded && !n.mayRepeatAfterCrash(p)) {
			n.releaseGrant(&result.replacement.search.prefillGrant, false)
			result.replacement = nil
		}
		switch {
		case result.done:
			n.logServed(p, result)
			return
		case r.Context().Err() != nil:
			n.endCallerLeft(p, result.reason)
			return
		case result.replacement != nil:
			p.excluded[endpoint.ID] = true
			secured = p.continueAt(result.replacement)
			n.logResend(p, endpoint, result)
		case result.shed:
			awaitsLoad := result.awaitsLoad(p)
			if awaitsLoad {
				loading++
			} else {
				shed++
			}
			// A request that never left this VM doesn't count as a repeat. How often a
			// stream that broke off is shed is limited by its caller's patience.
			if !p.body.held() {
				n.endNotRun(r, w, p, refuseBusy(retryNoEndpoint, errBodyReleased.Error()+": "+result.reason))
				return
			}
			awaitBudget := n.awaitRetryBudget
			if awaitsLoad && !p.responseStarted {
				awaitBudget = n.awaitRetryBudgetForLoad
			}
			if (shed > maxSheds || loading > maxLoadDenials) && !p.responseStarted || !result.unreachable && !awaitBudget(ctx, p) {
				n.endNotRun(r, w, p, refuseBusy(retryNoEndpoint, "endpoints shed the request: "+result.reason))
				return
			}
			if p.responseStarted {
				p.searchBegan = time.Now()
			}
			n.prepareAfterShed(ctx, p, endpoint, result)
		case ctx.Err() != nil:
			n.fail(w, p, failTimeout())
			return
		case result.engineEnded && !n.mayRepeatAfterCrash(p):
			n.fail(w, p, failMayHaveRun(result.reason))
			return
		case !p.request.Route.MayRepeat() || p.possibleRuns >= p.request.Route.Attempts || !p.body.held() || !n.awaitRetryBudget(ctx, p):
			n.endMayHaveRun(r, w, p, failMayHaveRun(result.reason))
			return
		default:
			p.excluded[endpoint.ID] = true
			if p.responseStarted {
				p.searchBegan = time.Now()
			}
			n.logResend(p, endpoint, result)
		}
	}
}

func (n *Node) logResend(p *requestState, left *serving.Endpoint, result sendResult) {
	n.logInfo("sending the request to another endpoint", fields{
		"request": p.request.ID, "endpoint": left.ID, "reason": result.reason, "runs": p.possibleRuns, "engineSilenceMs": p.engineSilence.Milliseconds(),
	})
}

// chooseEndpoint returns the endpoint for the next send.
func (n *Node) chooseEndpoint(ctx context.Context, p *requestState) (*serving.Endpoint, *refusal) {
	if p.request.Service.Engine != nil && p.request.Adapter != "" {
		return n.chooseEngine(ctx, p)
	}
	now := time.Now()
	endpoints := n.eligible(n.directory.View(), p)
	if p.besideSend {
		endpoints = n.available(now, endpoints)
	} else if len(endpoints) == 0 && len(p.excluded) > 0 {
		if p.shedByEndpoint {
			// Each endpoint was asked; another round would only add load.
			return nil, n.refuseUnplaced(p, refuseBusy(retryNoEndpoint, "all endpoints shed the request"))
		}
		clear(p.excluded)
		endpoints = n.eligible(n.directory.View(), p)
	}
	pick := n.pickPlain
	if p.request.Service.Engine != nil {
		pick = n.pickWithoutAdapter
	}
	e := pick(now, p, endpoints)
	if e == nil {
		return nil, n.refuseUnplaced(p, refuseNoEndpoint())
	}
	return e, nil
}

// prepareAfterShed prepares the next send of a request that an endpoint shed
// without running it.
func (n *Node) prepareAfterShed(ctx context.Context, p *requestState, endpoint *serving.Endpoint, result sendResult) {
	key := p.request.AdapterKey()
	if result.misdirected {
		if !result.awaitsLoad(p) {
			p.excluded[endpoint.ID] = true
			return
		}
		n.metrics.adapterDenials.Inc(1)
		p.denials++
		n.adapterIndex.recordDenied(time.Now(), endpoint.ID, key)
		p.deniedBy = endpoint
		return
	}
	held, found := n.adapterIndex.find(endpoint.ID, key, 0)
	if p.request.Adapter != "" && found && time.Since(held.Ready) < recentLoadAge && !p.responseStarted {
		sleep(ctx, shedRetryDelay)
		return
	}
	p.excluded[endpoint.ID] = true
	p.shedByEndpoint = true
}

// recentLoadAge is the age of a load up to which a shed request means that the
// engine has not finished the load yet.
const recentLoadAge = 2 * time.Second

// endNotRun ends a request that was not run by the last endpoint it was sent
// to, or not sent at all. If an earlier endpoint may have run it, the response
// does not promise that it did not run.
func (n *Node) endNotRun(r *http.Request, w http.ResponseWriter, p *requestState, refused *refusal) {
	if r.Context().Err() != nil {
		n.endCallerLeft(p, refused.reason)
		return
	}
	n.releaseGrant(&p.prefillGrant, false)
	if p.possibleRuns > 0 && (refused.status == http.StatusServiceUnavailable || refused.status == http.StatusTooManyRequests) {
		n.fail(w, p, failMayHaveRun(refused.reason))
		return
	}
	n.refuse(w, p, refused)
}

// endCallerLeft ends a request whose caller's connection is closed: by the caller,
// or by this VM at the end of its drain. It does not return.
func (n *Node) endCallerLeft(p *requestState, reason string) {
	if n.requestsCtx.Err() != nil && p.responseStarted {
		n.logCut(p, reason)
	} else {
		n.logIncomplete(p, "caller left", 0, reason)
	}
	abortConnection()
}

// endMayHaveRun ends a request that may have run and can't be sent again.
func (n *Node) endMayHaveRun(r *http.Request, w http.ResponseWriter, p *requestState, failed *refusal) {
	if r.Context().Err() != nil {
		n.endCallerLeft(p, failed.reason)
		return
	}
	n.fail(w, p, failed)
}

// fail answers a request that may have run. If the response has already
// started, it aborts the connection instead.
func (n *Node) fail(w http.ResponseWriter, p *requestState, failed *refusal) {
	if p.responseStarted {
		n.logCut(p, failed.reason)
		abortConnection()
		return
	}
	n.refuse(w, p, failed)
}

// endAfterPanic answers a request whose handler panicked; net/http would close
// the caller's connection without an answer. A panic of abortConnection goes on.
func (n *Node) endAfterPanic(w http.ResponseWriter, p *requestState, cause any) {
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	n.log.WithFields(fields{
		observability.FieldStep: "handler failed", "request": p.request.ID, "endpoint": p.lastEndpoint, "sends": p.sends,
		"error": fmt.Sprint(cause), "stack": string(debug.Stack()),
	}).Error("handler failed")
	n.releaseGrant(&p.prefillGrant, false)
	failed := refuseBusy(retryNoEndpoint, "internal error")
	if p.possibleRuns > 0 {
		failed = failMayHaveRun("internal error")
	}
	if !p.responseStarted {
		// The header may hold a part of an endpoint's answer.
		clear(w.Header())
		w.Header().Set("Connection", "close")
	}
	n.fail(w, p, failed)
}

// abortConnection closes the caller's connection, so that an incomplete answer
// never looks complete. It does not return.
func abortConnection() { panic(http.ErrAbortHandler) }

// refuse answers a request with a status generated by this VM.
func (n *Node) refuse(w http.ResponseWriter, p *requestState, refused *refusal) {
	if p.responseStarted {
		n.fail(w, p, refused)
		return
	}
	if p.possibleRuns == 0 {
		n.refundCustomer(time.Now(), p)
	}
	n.logIncomplete(p, "refused", refused.status, refused.reason)
	header := w.Header()
	n.headerCodec.SetRefusal(header, p.request.ID, refused.retryAfter)
	header["Content-Type"] = nil
	header.Set("Content-Length", "0")
	w.WriteHeader(refused.status)
}

// silenceTimeout returns how long a send may stay unanswered before another
// endpoint is looked for; 0 means that the request is not sent again.
func (p *requestState) silenceTimeout(left time.Duration) time.Duration {
	route := p.request.Route
	if !route.MayRepeat() || p.possibleRuns >= route.Attempts {
		return 0
	}
	return min(max(silenceTimeoutFactor*route.Objective, minSilenceTimeout), time.Duration(silenceTimeoutShare*float64(left)))
}

// takeRetryBudget spends one repeated send from the service's retry budget, and
// reports whether the budget allowed it.
func (n *Node) takeRetryBudget(p *requestState) bool {
	n.retryBudgetsMu.Lock()
	defer n.retryBudgetsMu.Unlock()
	return n.retryBudget(p.request.Service.Name, time.Now()).TakeRetry(time.Now())
}

// retryBudgetLeft reports whether takeRetryBudget would allow a send now.
func (n *Node) retryBudgetLeft(p *requestState) bool {
	n.retryBudgetsMu.Lock()
	defer n.retryBudgetsMu.Unlock()
	return n.retryBudget(p.request.Service.Name, time.Now()).HasRetry(time.Now())
}

func (n *Node) recordRequest(p *requestState) {
	n.retryBudgetsMu.Lock()
	n.retryBudget(p.request.Service.Name, time.Now()).AddRequest(time.Now())
	n.retryBudgetsMu.Unlock()
	if p.request.Adapter == "" {
		return
	}
	n.membersMu.Lock()
	recipients := n.authority.Holders()
	if plan := n.fleet.Plan(time.Now()); !plan.Relay {
		recipients = []ids.VMID{plan.HomeRelay}
	}
	n.membersMu.Unlock()
	uses := map[string]float64{p.request.AdapterKey().String(): 1}
	n.adapterIndex.addUses(uses, recipients)
	n.engineOwner.recordUses(time.Now(), uses)
}

// refuseIfOverloaded refuses a request if even the least loaded engine that
// holds its adapter would not process its prompt in time.
func (n *Node) refuseIfOverloaded(now time.Time, p *requestState, e *serving.Endpoint) *refusal {
	n.balanceMu.Lock()
	starting := n.balancer.TotalLoad(now, e.ID).Starting
	n.balanceMu.Unlock()
	expected := n.firstByteEstimator.estimate(starting)
	if objective := p.request.Route.Objective; objective <= 0 || expected <= time.Duration(overloadFactor*float64(objective)) {
		return nil
	}
	return refuseBusy(expected/2, "engines overloaded")
}

// overloadFactor is the multiple of the objective above which a request is
// refused: its answer would be late and would delay the requests behind it.
const overloadFactor = 1.3

// balancerOutcome returns the result of a send in the balancer's terms.
func balancerOutcome(result sendResult, callerLeft bool) balance.Outcome {
	switch {
	case result.done:
		return balance.Served
	case result.unreachable && !callerLeft:
		return balance.Unreachable
	case result.shed && !result.unreachable:
		return balance.Shed
	case callerLeft:
		return balance.Abandoned
	}
	return balance.Failed
}
