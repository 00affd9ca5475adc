package node

import (
	"context"
	"net/http"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Figures of sending and sending again.
const (
	// maxShed is how often a request may be shed by endpoints before it is
	// refused.
	maxShed = 12
	// shedPause is the pause after an engine shed a request for an adapter
	// that has just been loaded.
	shedPause = 40 * time.Millisecond
	// quietFactor is the multiple of a route's objective after which a safe
	// request, or a resumable stream, without an answer is sent elsewhere.
	quietFactor = 4
	quietMin    = 300 * time.Millisecond
	quietShare  = 0.45
	// streamQuiet is the silence within a resumable stream after which it is
	// resumed elsewhere. Callers leave after two seconds.
	streamQuiet = time.Second
)

// ServeHTTP implements http.Handler for callers' requests.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	n.open.Add(1)
	defer n.open.Add(-1)
	p, refused := n.admit(w, r, arrived)
	if refused != nil {
		n.refuse(w, p, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), p.request.Deadline)
	defer cancel()
	n.dispatch(ctx, w, r, p)
}

// dispatch sends a request until it has an answer or is refused.
func (n *Node) dispatch(ctx context.Context, w http.ResponseWriter, r *http.Request, p *progress) {
	n.countRequest(p)
	if p.request.Adapter != "" {
		key := p.request.AdapterKey()
		n.residents.begin(key)
		defer n.residents.end(key)
	}
	for shed := 0; ; {
		endpoint, refused := n.choose(ctx, p)
		if refused == nil {
			refused = n.checkKey(time.Now(), p)
		}
		if refused != nil {
			n.endUnsent(r, w, p, refused)
			return
		}
		result := n.send(ctx, w, p, endpoint)
		switch {
		case result.done:
			n.noteServed(p, result)
			return
		case r.Context().Err() != nil:
			n.noteEnd(p, "caller left", 0, result.reason)
			abortConnection()
			return
		case result.shed:
			shed++
			// A request that did not leave this VM is no repeat at the service.
			if shed > maxShed || !result.unreachable && !n.mayRepeat(p) {
				n.endUnsent(r, w, p, refuseBusy(retryNoEndpoint, "endpoints shed the request: "+result.reason))
				return
			}
			n.afterShed(ctx, p, endpoint, result)
		case ctx.Err() != nil:
			n.fail(w, p, failTimeout())
			return
		case !p.request.Route.MayRepeat() || p.runs >= p.request.Route.Attempts || !n.mayRepeat(p):
			n.fail(w, p, failUnknown(result.reason))
			return
		default:
			p.avoid[endpoint.ID] = true
			n.note("send again", fields{"request": p.request.ID, "endpoint": endpoint.ID, "reason": result.reason, "runs": p.runs})
		}
	}
}

// choose returns the endpoint for the next send.
func (n *Node) choose(ctx context.Context, p *progress) (*serving.Endpoint, *refusal) {
	if p.request.Service.Engine != nil && p.request.Adapter != "" {
		return n.placeEngine(ctx, p)
	}
	now := time.Now()
	endpoints := n.usable(n.directory.View(), p)
	if len(endpoints) == 0 && len(p.avoid) > 0 {
		clear(p.avoid)
		endpoints = n.usable(n.directory.View(), p)
	}
	e := n.pick(now, endpoints, p.salt)
	if e == nil {
		return nil, refuseNoEndpoint()
	}
	return e, nil
}

// afterShed prepares the next send of a request that an endpoint refused
// without running it.
func (n *Node) afterShed(ctx context.Context, p *progress, endpoint *serving.Endpoint, result sendResult) {
	key := p.request.AdapterKey()
	if result.misdirected {
		if result.other || p.request.Adapter == "" {
			p.avoid[endpoint.ID] = true
			return
		}
		n.residents.deny(time.Now(), endpoint.ID, key)
		p.denied = endpoint
		return
	}
	held, found := n.residents.find(endpoint.ID, key, 0)
	if p.request.Adapter != "" && found && time.Since(held.Ready) < recentLoad {
		sleep(ctx, shedPause)
		return
	}
	p.avoid[endpoint.ID] = true
}

// recentLoad is the age of a load up to which an engine's refusal means that
// the load is not done yet.
const recentLoad = 2 * time.Second

// endUnsent answers a request that did not run. If it may have run at an
// endpoint before, nothing is promised.
func (n *Node) endUnsent(r *http.Request, w http.ResponseWriter, p *progress, refused *refusal) {
	if r.Context().Err() != nil {
		n.noteEnd(p, "caller left", 0, refused.reason)
		abortConnection()
		return
	}
	n.endGrant(&p.grant, false)
	if p.runs > 0 && (refused.status == http.StatusServiceUnavailable || refused.status == http.StatusTooManyRequests) {
		n.fail(w, p, failUnknown(refused.reason))
		return
	}
	n.refuse(w, p, refused)
}

// fail answers a request that may have run, or breaks its answer off where
// that has begun.
func (n *Node) fail(w http.ResponseWriter, p *progress, failed *refusal) {
	if p.committed {
		n.noteEnd(p, "cut", 0, failed.reason)
		abortConnection()
		return
	}
	n.refuse(w, p, failed)
}

// abortConnection closes the caller's connection, so that an incomplete answer
// never looks complete. It does not return.
func abortConnection() { panic(http.ErrAbortHandler) }

// refuse answers a request with a status of this VM's own.
func (n *Node) refuse(w http.ResponseWriter, p *progress, refused *refusal) {
	if p.committed {
		n.fail(w, p, refused)
		return
	}
	if p.runs == 0 {
		n.refund(time.Now(), p)
	}
	n.noteEnd(p, "refused", refused.status, refused.reason)
	header := w.Header()
	n.wire.Refuse(header, p.request.ID, refused.retryAfter)
	header["Content-Type"] = nil
	header.Set("Content-Length", "0")
	w.WriteHeader(refused.status)
}

// quietLimit is the time without an answer after which a request that may be
// repeated is sent elsewhere; 0 for never.
func (p *progress) quietLimit(left time.Duration) time.Duration {
	route := p.request.Route
	if !route.MayRepeat() || p.runs >= route.Attempts {
		return 0
	}
	return min(max(quietFactor*route.Objective, quietMin), time.Duration(quietShare*float64(left)))
}

// mayRepeat spends one send of the service's repeat budget.
func (n *Node) mayRepeat(p *progress) bool {
	n.budgetsMu.Lock()
	defer n.budgetsMu.Unlock()
	return n.budget(p.request.Service.Name, time.Now()).TakeRetry(time.Now())
}

func (n *Node) countRequest(p *progress) {
	n.budgetsMu.Lock()
	n.budget(p.request.Service.Name, time.Now()).AddRequest(time.Now())
	n.budgetsMu.Unlock()
	if p.request.Adapter == "" {
		return
	}
	n.membersMu.Lock()
	told := n.authority.Holders()
	if plan := n.fleet.Plan(time.Now()); !plan.Relay {
		told = []ids.VMID{plan.Home}
	}
	n.membersMu.Unlock()
	uses := map[string]float64{p.request.AdapterKey().String(): 1}
	n.residents.use(uses, told)
	n.owner.used(time.Now(), uses)
}

// overload refuses a request whose prompt would not be read in time at the
// least loaded engine that has its adapter.
func (n *Node) overload(now time.Time, p *progress, e *serving.Endpoint) *refusal {
	n.balanceMu.Lock()
	starting := n.balancer.TotalLoad(now, e.ID).Starting
	n.balanceMu.Unlock()
	expected := n.pace.expect(starting)
	if expected <= time.Duration(overloadFactor*float64(p.request.Route.Objective)) {
		return nil
	}
	return refuseBusy(expected/2, "engines overloaded")
}

// overloadFactor is the multiple of the objective at which a request is
// refused: beyond it the answer is late and delays those behind it.
const overloadFactor = 1.3

// outcomeOf tells the balancer how a send ended.
func outcomeOf(result sendResult, callerLeft bool) balance.Outcome {
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
