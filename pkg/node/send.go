package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/endpoints"
)

// sendResult is what became of one send.
type sendResult struct {
	// done is set when the caller has the whole answer.
	done   bool
	status int
	// shed is set when the endpoint did not run the request.
	shed bool
	// misdirected is set when the endpoint lacks the adapter, and other when
	// another endpoint has its address.
	misdirected, other bool
	// unreachable is set when no connection could be opened.
	unreachable bool
	reason      string
	bytes       int64
}

// maxWholeBody bounds an answer that is read whole before it is passed on.
const maxWholeBody = 8 << 20

// watchdog cancels a send that stays silent for too long.
type watchdog struct {
	timer *time.Timer
	fired atomic.Bool
}

func startWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	d := &watchdog{}
	if limit > 0 {
		d.timer = time.AfterFunc(limit, func() {
			d.fired.Store(true)
			cancel()
		})
	}
	return d
}

func (d *watchdog) reset(limit time.Duration) {
	if d.timer == nil {
		return
	}
	if limit <= 0 {
		d.timer.Stop()
		return
	}
	d.timer.Reset(limit)
}

func (d *watchdog) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

// send sends a request to one endpoint and passes its answer on.
func (n *Node) send(ctx context.Context, w http.ResponseWriter, p *progress, e *serving.Endpoint) sendResult {
	now := time.Now()
	left := p.request.Deadline.Sub(now)
	if left <= 0 {
		return sendResult{reason: "time limit reached"}
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.sends++
	p.runs++
	dog := startWatchdog(p.quietLimit(left), cancel)
	defer dog.stop()
	n.balanceMu.Lock()
	n.balancer.Begin(now, e.ID)
	n.balanceMu.Unlock()
	p.last = e.ID
	track := &sendTrack{node: n, endpoint: e, sent: now, grant: &p.grant}
	result := n.exchangeAnswer(sendCtx, w, p, e, left, dog, track)
	if result.shed {
		p.runs--
	}
	if dog.fired.Load() && !result.done {
		result.reason = "endpoint silent"
	}
	track.end(outcomeOf(result, ctx.Err() != nil && !dog.fired.Load()), result.reason)
	return result
}

// sendTrack tells the balancer and the pace of one send.
type sendTrack struct {
	node     *Node
	endpoint *serving.Endpoint
	sent     time.Time
	begun    bool
	grant    *grant
}

// first is called with the first byte of the answer's body.
func (t *sendTrack) first(engine bool) {
	if t.begun {
		return
	}
	t.begun = true
	t.node.endGrant(t.grant, true)
	now := time.Now()
	t.node.balanceMu.Lock()
	starting := t.node.balancer.TotalLoad(now, t.endpoint.ID).Starting
	t.node.balancer.Started(t.endpoint.ID)
	t.node.balanceMu.Unlock()
	if engine {
		t.node.pace.observe(now.Sub(t.sent), starting)
		t.node.metrics.firstToken.RecordDuration(now.Sub(t.sent))
	}
}

func (t *sendTrack) end(outcome balance.Outcome, reason string) {
	t.node.endGrant(t.grant, false)
	t.node.balanceMu.Lock()
	ejected := t.node.balancer.End(time.Now(), t.endpoint.ID, t.begun, outcome)
	t.node.balanceMu.Unlock()
	if ejected {
		t.node.note("endpoint set aside", fields{"endpoint": t.endpoint.ID, "reason": reason})
	}
}

func (n *Node) exchangeAnswer(ctx context.Context, w http.ResponseWriter, p *progress, e *serving.Endpoint, left time.Duration, dog *watchdog, track *sendTrack) sendResult {
	response, err := n.client.Do(n.outgoing(ctx, p, e, left))
	if err != nil {
		return sendResult{reason: err.Error(), shed: endpoints.NeverSent(err), unreachable: endpoints.NeverSent(err)}
	}
	defer func() { _ = response.Body.Close() }()
	answer := n.wire.Read(response.StatusCode, response.Header)
	if answer.Request != p.request.ID {
		return sendResult{reason: "the answer belongs to another request"}
	}
	if answer.NotRun {
		return sendResult{
			shed:        true,
			misdirected: response.StatusCode == http.StatusMisdirectedRequest,
			other:       answer.Endpoint != "" && answer.Endpoint != e.ID,
			reason:      "not run, status " + strconv.Itoa(response.StatusCode),
			status:      response.StatusCode,
		}
	}
	if reason := unusable(response.StatusCode, answer); reason != "" {
		return sendResult{reason: reason, status: response.StatusCode}
	}
	if response.StatusCode >= http.StatusInternalServerError && p.request.Route.MayRepeat() && p.runs < p.request.Route.Attempts {
		return sendResult{reason: "status " + strconv.Itoa(response.StatusCode), status: response.StatusCode}
	}
	if p.request.Route.Kind == serving.Streaming && response.StatusCode < http.StatusMultipleChoices {
		return n.relayStream(w, p, response, answer, dog, track)
	}
	return n.relayWhole(w, p, response, answer, dog, track)
}

// unusable returns why an answer cannot be passed on, or nothing.
func unusable(status int, answer Answer) string {
	switch {
	case !answer.Signed:
		return "the answer is not signed"
	case answer.Encoded:
		return "the answer is encoded"
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		// Passed on, the status would promise that the request did not run.
		return "status " + strconv.Itoa(status) + " without proof that the request did not run"
	}
	return ""
}

// outgoing builds the request for an endpoint. The target stands exactly as
// the caller sent it.
func (n *Node) outgoing(ctx context.Context, p *progress, e *serving.Endpoint, left time.Duration) *http.Request {
	send := Send{Endpoint: e, TimeLeft: left, ResumeAfter: p.lastEvent}
	if p.request.Customer != nil {
		send.Customer = p.request.Customer.ID
	}
	if p.request.Service.Engine != nil {
		send.Urgent, send.Urgency = true, p.request.Urgency
	}
	path, query, _ := strings.Cut(p.target, "?")
	target := &url.URL{Scheme: "http", Host: e.Address, Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(p.target, "?")}
	request := (&http.Request{
		Method: p.method, URL: target, Host: p.host, Header: n.wire.Forward(p.header, send),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if len(p.body) > 0 {
		// Without GetBody the HTTP library cannot send the body again.
		request.Body = io.NopCloser(bytes.NewReader(p.body))
		request.ContentLength = int64(len(p.body))
	}
	return request
}

// relayWhole reads an answer to its end before it passes it on, so that an
// incomplete one can still be replaced.
func (n *Node) relayWhole(w http.ResponseWriter, p *progress, response *http.Response, answer Answer, dog *watchdog, track *sendTrack) sendResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWholeBody+1))
	if err != nil {
		return sendResult{reason: "answer incomplete: " + err.Error(), status: response.StatusCode}
	}
	if len(body) > maxWholeBody {
		return sendResult{reason: "answer too large", status: response.StatusCode}
	}
	dog.stop()
	track.first(false)
	if p.committed {
		return sendResult{reason: "a resumed stream was answered with status " + strconv.Itoa(response.StatusCode)}
	}
	p.firstByte = time.Now()
	n.copyHeader(w, answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.StatusCode)
	p.committed = true
	if _, err := w.Write(body); err != nil {
		return sendResult{reason: "caller left: " + err.Error()}
	}
	return sendResult{done: true, status: response.StatusCode, bytes: int64(len(body))}
}

func (n *Node) copyHeader(w http.ResponseWriter, answer Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if n.leaving.Load() {
		header.Set("Connection", "close")
	}
	if len(answer.Header["Content-Type"]) == 0 {
		// An explicit nil keeps the HTTP library from guessing a type.
		header["Content-Type"] = nil
	}
}
