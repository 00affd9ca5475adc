package node

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/endpoints"
)

// sendResult is the result of one send.
type sendResult struct {
	// done is set if the caller got the complete answer.
	done   bool
	status int
	// shed is set if the endpoint did not run the request.
	shed bool
	// misdirected is set if the endpoint does not have the adapter or is not
	// the addressed one. otherEndpoint is set if a different endpoint answered
	// at its address.
	misdirected, otherEndpoint bool
	// unreachable is set if no connection could be opened.
	unreachable bool
	// connectionLost is set if the connection ended before the answer did, and
	// engineEnded if that was because the engine's process ended under a request
	// whose answer had not begun.
	connectionLost, engineEnded bool
	// silent is set if the endpoint had sent nothing for too long when the send
	// ended, timeOver if the request's time limit was reached, and shutdown if the
	// VM's drain was at its end.
	silent, timeOver, shutdown bool
	// replacement is the endpoint at which the request goes on, with what a search
	// has secured for it; nil if there is none.
	replacement *replacement

	reason string
	bytes  int64
}

// awaitsLoad reports whether the engine shed the request because it does not have
// its adapter, or not yet. Such a send costs the engine nothing, and the next one
// waits for the load's end.
func (r sendResult) awaitsLoad(p *requestState) bool {
	return r.misdirected && !r.otherEndpoint && p.request.Adapter != ""
}

// cutCause says what ended the last send before a caller's connection had to be
// closed inside the answer.
type cutCause string

const (
	// cutEngineBroke means that the engine broke the answer off or shed the
	// resumed request, cutEngineSilent that it was silent at the end, cutTimeLimit
	// that the request's time was over, and cutShutdown that this VM's was.
	cutEngineBroke  cutCause = "engine broke off"
	cutEngineSilent cutCause = "engine silent"
	cutTimeLimit    cutCause = "time limit"
	cutShutdown     cutCause = "shutdown"
)

func (r sendResult) cutCause() cutCause {
	switch {
	case r.shutdown:
		return cutShutdown
	case r.silent:
		return cutEngineSilent
	case r.timeOver:
		return cutTimeLimit
	}
	return cutEngineBroke
}

// send sends a request to one endpoint and relays its answer to the caller.
func (n *Node) send(ctx context.Context, w http.ResponseWriter, p *requestState, e *serving.Endpoint) sendResult {
	now := time.Now()
	left := p.request.Deadline.Sub(now)
	if left <= 0 {
		return sendResult{reason: "time limit reached"}
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.sends++
	p.possibleRuns++
	silence := n.watchSilence(sendCtx, cancel, p, e.ID, p.silenceTimeout(left))
	defer silence.stop()
	n.balanceMu.Lock()
	n.balancer.Begin(now, e.ID)
	n.balanceMu.Unlock()
	if p.request.Service.Engine == nil {
		n.plainLoads.sent(now, e.ID)
	}
	p.lastEndpoint = e.ID
	defer n.trackSend(e.DataCentre)()
	tracker := &sendTracker{node: n, endpoint: e, sent: now, lastBytes: now, prefillGrant: &p.prefillGrant, grant: p.prefillGrant, objective: p.request.Route.Objective, paced: n.recordPaceStart(now, e)}
	ended := false
	defer func() {
		// After a panic, the endpoint no longer works on this send.
		if !ended {
			tracker.recordEnd(balance.Abandoned, "handler failed")
		}
	}()
	result := n.roundTrip(sendCtx, w, p, e, left, silence, tracker)
	ended = true
	replacement, silent, recorded := silence.stop()
	if result.shed {
		p.possibleRuns--
	}
	result.silent = silent && !result.done && !result.connectionLost
	switch {
	case replacement != nil && result.done:
		n.releaseGrant(&replacement.search.prefillGrant, false)
	case replacement != nil:
		result.reason, result.silent, result.replacement = "endpoint silent", true, replacement
	}
	result.shutdown = !result.done && n.requestsCtx.Err() != nil
	result.timeOver = !result.done && !time.Now().Before(p.request.Deadline)
	p.lastSend, p.engineSilence = result, time.Since(tracker.lastBytes)
	outcome := balancerOutcome(result, ctx.Err() != nil && !silent)
	if recorded && outcome == balance.Failed {
		outcome = balance.Abandoned
	}
	tracker.recordEnd(outcome, result.reason)
	if result.connectionLost && !tracker.answerBegan && sendCtx.Err() == nil {
		result.engineEnded = n.examineBrokenSend(p, e, now, result.reason)
	}
	return result
}

// sendTracker reports the progress of one send to the balancer, to the
// first-byte estimate and to the owner that granted it.
type sendTracker struct {
	node          *Node
	endpoint      *serving.Endpoint
	sent          time.Time
	firstByteSeen bool
	// answerBegan is set once a whole event of a stream, or another answer, has
	// arrived.
	answerBegan  bool
	prefillGrant *prefillGrant
	// grant is the one that the send began with.
	grant       prefillGrant
	firstByteAt time.Time
	events      int
	// objective is that of the request's route, and paced is set if this VM keeps the
	// endpoint's pace.
	objective time.Duration
	paced     bool
	// lastBytes is when the endpoint last sent a part of the answer's body; at
	// first it is the time of the send.
	lastBytes time.Time
}

// recordAnswerBegan is called when a whole event of a stream, or another answer,
// has arrived: the engine has begun to answer and has not crashed.
func (t *sendTracker) recordAnswerBegan(p *requestState) {
	if t.answerBegan {
		return
	}
	t.answerBegan = true
	t.node.recordGoodStart(p)
}

// recordFirstByte is called for each chunk of the answer's body and acts on the
// first one. If streamed is set, the time since the send also goes into the
// first-byte estimate and the first-token metric.
func (t *sendTracker) recordFirstByte(streamed bool) {
	if t.firstByteSeen {
		return
	}
	t.firstByteSeen = true
	t.node.releaseGrant(t.prefillGrant, true)
	now := time.Now()
	t.firstByteAt = now
	if t.paced {
		t.node.recordPaceEnd(now, t.endpoint.ID, now.Sub(t.sent), t.objective, true)
	}
	t.node.balanceMu.Lock()
	starting := t.node.balancer.TotalLoad(now, t.endpoint.ID).Starting
	t.node.balancer.Started(t.endpoint.ID)
	t.node.balanceMu.Unlock()
	if streamed {
		t.node.firstByteEstimator.observe(now.Sub(t.sent), starting)
		t.node.metrics.firstToken.RecordDuration(now.Sub(t.sent))
	}
}

func (t *sendTracker) recordEnd(outcome balance.Outcome, reason string) {
	t.node.releaseGrant(t.prefillGrant, false)
	t.node.recordRequestEnd(t, outcome == balance.Served)
	if t.paced && !t.firstByteSeen {
		t.node.recordPaceEnd(time.Now(), t.endpoint.ID, time.Since(t.sent), t.objective, false)
	}
	t.node.balanceMu.Lock()
	ejected := t.node.balancer.End(time.Now(), t.endpoint.ID, t.firstByteSeen, outcome)
	t.node.balanceMu.Unlock()
	if ejected {
		t.node.logInfo("endpoint ejected", fields{"endpoint": t.endpoint.ID, "reason": reason})
	}
}

func (n *Node) roundTrip(ctx context.Context, w http.ResponseWriter, p *requestState, e *serving.Endpoint, left time.Duration, silence *silenceWatch, tracker *sendTracker) sendResult {
	response, err := n.client.Do(n.buildRequest(ctx, p, e, left), string(p.request.ID))
	if err != nil {
		neverSent := endpoints.NeverSent(err)
		return sendResult{reason: err.Error(), shed: neverSent, unreachable: neverSent, connectionLost: !neverSent}
	}
	defer func() { _ = response.Body.Close() }()
	answer := n.headerCodec.ParseAnswer(response.StatusCode, response.Header)
	if answer.RequestID != p.request.ID {
		response.Discard()
		return sendResult{reason: "the answer belongs to another request"}
	}
	n.recordLimit(e, answer)
	n.recordCold(e, answer)
	n.recordDeparture(e, answer)
	n.recordHold(e, response.StatusCode, answer)
	if answeredBy(e, answer) {
		n.recordLoad(p, e, answer)
	}
	if answer.NotRun && validStatus(response.StatusCode) {
		return sendResult{
			shed:          true,
			misdirected:   response.StatusCode == http.StatusMisdirectedRequest,
			otherEndpoint: answer.Endpoint != "" && answer.Endpoint != e.ID,
			reason:        "not run, status " + strconv.Itoa(response.StatusCode),
			status:        response.StatusCode,
		}
	}
	if reason := unusableReason(response.StatusCode, answer); reason != "" {
		return sendResult{reason: reason, status: response.StatusCode}
	}
	if p.request.Service.Engine == nil {
		now := time.Now()
		n.plainLoads.observe(now, e, now.Sub(tracker.sent))
	}
	if response.StatusCode >= http.StatusInternalServerError && p.request.Route.MayRepeat() && p.possibleRuns < p.request.Route.Attempts {
		return sendResult{reason: "status " + strconv.Itoa(response.StatusCode), status: response.StatusCode}
	}
	if p.request.Route.Kind == serving.Streaming && response.StatusCode < http.StatusMultipleChoices {
		return n.relayStream(w, p, response.Response, answer, silence, tracker)
	}
	return n.relayBuffered(w, p, response.Response, answer, silence, tracker)
}

// recordLoad records what an endpoint said of its load. That of an engine goes to
// the owner that granted the request.
func (n *Node) recordLoad(p *requestState, e *serving.Endpoint, answer Answer) {
	switch {
	case p.request.Service.Engine == nil:
		n.plainLoads.record(time.Now(), e.ID, answer.Load)
		n.liftPace(e, answer.Load)
	case p.prefillGrant.engineOwner != "":
		p.prefillGrant.load = answer.Load
	}
}

// answeredBy reports whether the addressed endpoint gave the answer, as far as the
// answer names one.
func answeredBy(e *serving.Endpoint, answer Answer) bool {
	return answer.Endpoint == "" || answer.Endpoint == e.ID
}

// unusableReason returns why an answer must not be sent to the caller, or "" if
// it may be.
func unusableReason(status int, answer Answer) string {
	switch {
	case !validStatus(status):
		// net/http sends no status below 200 as the final one of an answer, and panics
		// if it is below 100.
		return "status " + strconv.Itoa(status) + " does not end an answer"
	case !answer.Signed:
		return "the answer is not signed"
	case answer.Encoded:
		return "the answer is encoded"
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		// If sent to the caller, this status would promise that the request did
		// not run.
		return "status " + strconv.Itoa(status) + " without proof that the request did not run"
	}
	return ""
}

// validStatus reports whether HTTP allows a status for a final answer. One of three
// digits that it does not allow comes from an endpoint in trouble, whose headers prove
// nothing either; http.ReadResponse rejects all others.
func validStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// maxStatus is the highest status that HTTP allows.
const maxStatus = 599

// buildRequest builds the HTTP request for an endpoint. The request target is
// left exactly as the caller sent it.
func (n *Node) buildRequest(ctx context.Context, p *requestState, e *serving.Endpoint, left time.Duration) *http.Request {
	send := Send{Endpoint: e, TimeLeft: left, ResumeAfter: p.lastEventID}
	if p.request.Customer != nil {
		send.Customer = p.request.Customer.ID
	}
	if p.request.Service.Engine != nil {
		send.HasUrgency, send.Urgency = true, p.request.Urgency
	}
	request := (&http.Request{
		Method: p.method, URL: targetURL(e.Address, p.target), Host: p.host, Header: n.headerCodec.EndpointHeader(p.header, send),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	// Where memory is short, a body that could be sent again makes room for others.
	p.body.setOn(request, !p.request.Route.MayRepeat() || n.bodyMemory.scarce())
	return request
}

// targetURL returns the URL of a request target at an address. net/http writes it as
// it came if its RequestURI is the target.
func targetURL(address, target string) *url.URL {
	path, query, _ := strings.Cut(target, "?")
	result := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(target, "?")}
	if strings.HasPrefix(path, "//") {
		// net/http takes an opaque path with two slashes for an authority.
		if plain, err := url.PathUnescape(path); err == nil {
			result.Opaque, result.Path, result.RawPath = "", plain, path
		}
	}
	return result
}

// relayBuffered reads the complete answer before it sends any of it to the
// caller, so that the request can still be sent to another endpoint if the
// answer is incomplete.
func (n *Node) relayBuffered(w http.ResponseWriter, p *requestState, response *http.Response, answer Answer, silence *silenceWatch, tracker *sendTracker) sendResult {
	body, release, err := n.answerMemory.readAll(response.Body)
	defer release()
	if err != nil {
		return sendResult{reason: "answer incomplete: " + err.Error(), status: response.StatusCode, connectionLost: true}
	}
	silence.stop()
	if response.StatusCode >= http.StatusMultipleChoices {
		// The engine need not have read the prompt, so the time says nothing of its speed.
		n.releaseGrant(tracker.prefillGrant, false)
	}
	tracker.recordFirstByte(false)
	if response.StatusCode < http.StatusMultipleChoices {
		tracker.recordAnswerBegan(p)
	}
	if p.responseStarted {
		return sendResult{reason: "a resumed stream was answered with status " + strconv.Itoa(response.StatusCode)}
	}
	p.firstByteAt = time.Now()
	n.copyHeader(w, answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.StatusCode)
	p.startResponse()
	count, err := w.Write(body)
	p.bodyBytes += int64(count)
	if err != nil {
		return sendResult{reason: "caller left: " + err.Error()}
	}
	return sendResult{done: true, status: response.StatusCode, bytes: int64(len(body))}
}

// startResponse records that the response has started.
func (p *requestState) startResponse() {
	p.responseStarted = true
	p.outlastDrainAnswers()
}

func (n *Node) copyHeader(w http.ResponseWriter, answer Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	// Only the caller of this function knows whether the body will have the length
	// that the endpoint states: another one may continue a stream.
	header.Del("Content-Length")
	if n.draining.Load() {
		header.Set("Connection", "close")
	}
	if len(answer.Header["Content-Type"]) == 0 {
		// An explicit nil keeps net/http from guessing a content type.
		header["Content-Type"] = nil
	}
}
