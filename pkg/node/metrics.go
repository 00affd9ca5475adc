package node

import (
	"bytes"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/callermemory"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// metrics holds the counters, gauges and histograms of a VM.
type metrics struct {
	root *observability.Metrics

	storeCalls, reports, orders, peerFailures       tally.Counter
	engineCrashes, quarantineRefusals, limitDenials tally.Counter
	departures, holds, coldDenials                  tally.Counter
	adapterDenials, unusedGrants, movedStarts       tally.Counter
	paceWaits                                       tally.Counter
	coldEndpoints, statedLoads, pacedEndpoints      tally.Gauge
	publishedLoads                                  tally.Gauge
	openRequests, droppedLogLines, quarantinedParts tally.Gauge
	bodyMemory                                      tally.Gauge
	evacuatedDataCentres, evacuatedOpenRequests     tally.Gauge
	roomSlots, roomInUse, roomTokens, roomQueued    tally.Gauge
	roomTokenCapacity, roomTokenCorrection          tally.Gauge
	roomBlocked                                     tally.Gauge
	callerConnections, callerConnectionMemory       tally.Gauge
	callersNotAdmitted                              tally.Counter
	callerReadsWaiting                              tally.Gauge
	firstToken, total                               tally.Histogram
	roomDecisions                                   roomDecisions
}

// latencyBuckets cover latencies from one millisecond up to the longest time
// limits.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func newMetrics(n *Node) *metrics {
	root := observability.NewMetrics(func(err error) { n.logWarning("metric not registered", err, nil) })
	scope := root.Scope
	return &metrics{
		root:         root,
		storeCalls:   scope.Counter("store_calls"),
		reports:      scope.Counter("engine_reports"),
		orders:       scope.Counter("engine_orders"),
		peerFailures: scope.Counter("peer_failures"),

		engineCrashes:      scope.Counter("engine_crashes"),
		quarantineRefusals: scope.Counter("quarantine_refusals"),
		limitDenials:       scope.Counter("endpoint_limit_denials"),
		departures:         scope.Counter("endpoint_departures"),
		holds:              scope.Counter("endpoint_holds"),
		coldDenials:        scope.Counter("cold_endpoint_denials"),
		coldEndpoints:      scope.Gauge("cold_endpoints"),
		adapterDenials:     scope.Counter("adapter_denials"),
		unusedGrants:       scope.Counter("unused_grants"),
		movedStarts:        scope.Counter("moved_starts"),
		statedLoads:        scope.Gauge("endpoints_with_stated_load"),
		publishedLoads:     scope.Gauge("engines_with_published_load"),
		paceWaits:          scope.Counter("pace_waits"),
		pacedEndpoints:     scope.Gauge("paced_endpoints"),
		openRequests:       scope.Gauge("open_requests"),
		droppedLogLines:    scope.Gauge("log_lines_dropped"),
		bodyMemory:         scope.Gauge("request_body_bytes"),
		roomSlots:          scope.Gauge("room_slots"),
		roomInUse:          scope.Gauge("room_slots_in_use"),
		roomTokens:         scope.Gauge("room_tokens_in_use"),
		roomQueued:         scope.Gauge("room_requests_queued"),

		roomTokenCapacity:   scope.Gauge("room_token_capacity"),
		roomTokenCorrection: scope.Gauge("room_token_correction"),
		roomBlocked:         scope.Gauge("room_engines_blocked"),

		evacuatedDataCentres:  scope.Gauge("evacuated_data_centres"),
		evacuatedOpenRequests: scope.Gauge("evacuated_open_requests"),

		firstToken: scope.Histogram("first_token_seconds", latencyBuckets),
		total:      scope.Histogram("request_seconds", latencyBuckets),

		callerConnections:      scope.Gauge("caller_connections"),
		callerConnectionMemory: scope.Gauge("caller_connection_bytes"),
		callersNotAdmitted:     scope.Counter("callers_not_admitted"),
		callerReadsWaiting:     scope.Gauge("caller_reads_waiting"),

		quarantinedParts: scope.Gauge("quarantined_prompt_parts"),

		roomDecisions: roomDecisions{counters: make(map[roomDecision]tally.Counter)},
	}
}

func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.root.Handler)
	return mux
}

// updateCallers sets the gauges of what callers hold.
func (m *metrics) updateCallers(usage callermemory.Usage) {
	m.bodyMemory.Update(float64(usage.BodyBytes))
	m.callerConnections.Update(float64(usage.Connections))
	m.callerConnectionMemory.Update(float64(usage.ConnectionBytes))
}

func (m *metrics) close() {
	// Nobody scrapes the last counters of a process that exits, so errors don't
	// matter.
	_ = m.root.Close()
}

// countRequest counts a finished request by outcome and kind, and records how
// long it took.
func (m *metrics) countRequest(outcome, kind string, took time.Duration) {
	m.root.Scope.Tagged(map[string]string{"outcome": outcome, "kind": kind}).Counter("requests").Inc(1)
	m.total.RecordDuration(took)
}

// logServed logs a request whose caller got the complete answer.
func (n *Node) logServed(p *requestState, result sendResult) {
	n.recordStreamPause(p)
	n.logRequest(p, "served", result.status, "", result.bytes)
}

// recordStreamPause tells the balancer whether a stream paused for too long. A
// stream during which this process itself was stalled is ignored, since it says
// nothing about the engine.
func (n *Node) recordStreamPause(p *requestState) {
	objective := p.request.Route.PauseObjective
	if objective <= 0 || p.lastChunkAt.IsZero() || p.sends != 1 || p.longestGap > stallThreshold || n.lastStallEnd.Load() > p.request.Arrived.UnixNano() {
		return
	}
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	n.balancer.RecordStream(time.Now(), p.lastEndpoint, p.longestGap > objective)
}

// logIncomplete logs a request whose caller did not get a complete answer.
func (n *Node) logIncomplete(p *requestState, outcome string, status int, reason string) {
	n.logRequest(p, outcome, status, reason, p.bodyBytes)
}

// logCut logs a request whose caller's connection is closed before the answer is
// complete, and counts it by what the engine did last.
func (n *Node) logCut(p *requestState, reason string) {
	cause := p.lastSend.cutCause()
	n.metrics.root.Scope.Tagged(map[string]string{"cause": string(cause)}).Counter("answers_cut").Inc(1)
	n.logInfo("answer cut", fields{
		"request": p.request.ID, "endpoint": p.lastEndpoint, "cause": cause, "reason": reason, "lastSend": p.lastSend.reason,
		"engineSilenceMs": p.engineSilence.Milliseconds(), "bytes": p.bodyBytes, "lastEvent": p.lastEventID, "sends": p.sends, "runs": p.possibleRuns,
	})
	n.logIncomplete(p, "cut", 0, reason)
}

func (n *Node) logRequest(p *requestState, outcome string, status int, reason string, bytes int64) {
	now := time.Now()
	r := p.request
	f := fields{
		"request": r.ID, "outcome": outcome, "status": status, "tookMs": now.Sub(r.Arrived).Milliseconds(),
		"sends": p.sends, "runs": p.possibleRuns, "endpoint": p.lastEndpoint,
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
		f["ensures"], f["turnMs"] = p.ensureCalls, p.prefillWait.Milliseconds()
		if p.denials > 0 {
			f["denials"] = p.denials
		}
		if p.ownersAsked > 0 {
			f["owners"] = p.ownersAsked
		}
		if p.askedEngine != "" {
			f["home"], f["owner"] = p.askedEngine, p.askedOwner
		}
	}
	if !p.firstByteAt.IsZero() {
		f["firstMs"] = p.firstByteAt.Sub(r.Arrived).Milliseconds()
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
	if age, proven := n.proofAge(); proven {
		f["proofMs"] = age.Milliseconds()
	}
	n.metrics.countRequest(outcome, kind, now.Sub(r.Arrived))
	n.metrics.openRequests.Update(float64(n.openRequests.Load()))
	n.metrics.statedLoads.Update(float64(n.plainLoads.freshCount(now) + n.engineOwner.stated.freshCount(now)))
	n.metrics.droppedLogLines.Update(float64(n.logWriter.droppedLogLines.Load()))
	n.logInfo("request", f)
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

// serverErrorLog receives the error log of net/http and keeps only the panics
// of handlers. Broken connections are dropped here, since the requests that
// they end are logged anyway.
type serverErrorLog struct{ node *Node }

// Write implements io.Writer.
func (l serverErrorLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic serving")) {
		l.node.log.WithFields(fields{observability.FieldStep: "handler failed", "stack": string(line)}).Error("handler failed")
	}
	return len(line), nil
}
