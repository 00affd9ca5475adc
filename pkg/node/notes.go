package node

import (
	"bytes"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// metrics are the counters and histograms of a VM.
type metrics struct {
	root *observability.Metrics

	storeCalls, reports, orders, peerFailures tally.Counter
	open, dropped                             tally.Gauge
	firstToken, total                         tally.Histogram
}

// latencyBuckets cover answers from a millisecond to the longest time limits.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func newMetrics(n *Node) *metrics {
	root := observability.NewMetrics(func(err error) { n.warn("metric not registered", err, nil) })
	scope := root.Scope
	return &metrics{
		root:         root,
		storeCalls:   scope.Counter("store_calls"),
		reports:      scope.Counter("engine_reports"),
		orders:       scope.Counter("engine_orders"),
		peerFailures: scope.Counter("peer_failures"),
		open:         scope.Gauge("open_requests"),
		dropped:      scope.Gauge("log_lines_dropped"),
		firstToken:   scope.Histogram("first_token_seconds", latencyBuckets),
		total:        scope.Histogram("request_seconds", latencyBuckets),
	}
}

func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.root.Handler)
	return mux
}

func (m *metrics) close() {
	// The last counters of a process that ends are not scraped.
	_ = m.root.Close()
}

// ended counts a request by its outcome and status.
func (m *metrics) ended(outcome, kind string, took time.Duration) {
	m.root.Scope.Tagged(map[string]string{"outcome": outcome, "kind": kind}).Counter("requests").Inc(1)
	m.total.RecordDuration(took)
}

// noteServed writes the line of a request that had its whole answer.
func (n *Node) noteServed(p *progress, result sendResult) {
	n.countPause(p)
	n.end(p, "served", result.status, "", result.bytes)
}

// countPause tells the balancer whether a stream paused for too long. Streams
// during which this process itself stood still say nothing of the engine.
func (n *Node) countPause(p *progress) {
	objective := p.request.Route.PauseObjective
	if objective <= 0 || p.lastPart.IsZero() || p.sends != 1 || p.longestGap > stallGap || n.stoodStill.Load() > p.request.Arrived.UnixNano() {
		return
	}
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.balancer.RecordStream(time.Now(), p.last, p.longestGap > objective)
}

// noteEnd writes the line of a request that had no whole answer.
func (n *Node) noteEnd(p *progress, outcome string, status int, reason string) {
	n.end(p, outcome, status, reason, 0)
}

func (n *Node) end(p *progress, outcome string, status int, reason string, bytes int64) {
	now := time.Now()
	r := p.request
	f := fields{
		"request": r.ID, "outcome": outcome, "status": status, "tookMs": now.Sub(r.Arrived).Milliseconds(),
		"sends": p.sends, "runs": p.runs, "endpoint": p.last,
	}
	kind := ""
	if r.Route != nil {
		kind = r.Route.Kind.String()
		f["route"], f["kind"] = r.Route.ID, kind
	}
	if r.Customer != nil {
		f["customer"], f["cost"], f["rate"] = r.Customer.ID, r.Cost, r.Customer.Rate
	}
	if r.Adapter != "" {
		f["adapter"] = r.AdapterKey().String()
		f["ensures"], f["turnMs"] = p.ensures, p.turnWait.Milliseconds()
		if p.home != "" {
			f["home"], f["owner"] = p.home, p.owner
		}
	}
	if !p.firstByte.IsZero() {
		f["firstMs"] = p.firstByte.Sub(r.Arrived).Milliseconds()
	}
	if p.longestGap > 0 {
		f["gapMs"] = p.longestGap.Milliseconds()
	}
	if reason != "" {
		f["reason"] = reason
	}
	if bytes > 0 {
		f["bytes"] = bytes
	}
	if config := n.directory.View().Config; config != nil {
		f["config"] = config.Version
	}
	if age, proven := n.proofAge(now); proven {
		f["proofMs"] = age.Milliseconds()
	}
	n.metrics.ended(outcome, kind, now.Sub(r.Arrived))
	n.metrics.open.Update(float64(n.open.Load()))
	n.metrics.dropped.Update(float64(n.lines.dropped.Load()))
	n.note("request", f)
}

func (n *Node) countPeerFailure(id ids.VMID, err error) {
	n.metrics.peerFailures.Inc(1)
	n.log.WithError(err).WithField(observability.FieldPeer, string(id)).Debug("peer call failed")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// serverLog takes the lines of net/http's own log. Broken connections reach the
// log through the requests that they end; a handler that panicked does not.
type serverLog struct{ node *Node }

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic serving")) {
		l.node.log.WithFields(fields{observability.FieldStep: "handler failed", "stack": string(line)}).Error("handler failed")
	}
	return len(line), nil
}
