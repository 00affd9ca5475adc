package daemon

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/engines"
)

// metrics are the metrics of one VM.
type metrics struct {
	root   *observability.Metrics
	levels *observability.ServiceLevels
	daemon *Daemon

	mu sync.Mutex
	// failed counts failed attempts by cause, for the status.
	failed map[string]int64
}

func newMetrics(d *Daemon, now time.Time) *metrics {
	root := observability.NewMetrics(func(err error) {
		d.at("register metric", "").WithError(err).Warn("metric refused")
	})
	return &metrics{
		root:   root,
		levels: observability.NewServiceLevels(root.Scope, d.settings.Objectives, now),
		daemon: d,
		failed: make(map[string]int64),
	}
}

func (m *metrics) close() { _ = m.root.Close() }

// handler serves GET /metrics.
func (m *metrics) handler() http.Handler { return m.root.Handler }

// update sets the gauges. It is called each second.
func (m *metrics) update(now time.Time) {
	d := m.daemon
	scope := m.root.Scope
	queued := 0
	for _, queue := range d.allQueues() {
		queued += queue.queue.Len()
	}
	reachable := 0
	for _, vm := range d.members.List().VMs {
		if vm.ID != d.settings.VMID && d.members.Reachable(now, vm.ID) {
			reachable++
		}
	}
	scope.Gauge("view_age_seconds").Update(d.ViewAge().Seconds())
	scope.Gauge("catalog_revision").Update(float64(d.catalog.CompleteThrough()))
	scope.Gauge("list_revision").Update(float64(d.members.List().Revision))
	scope.Gauge("requests_open").Update(float64(d.gate.open()))
	scope.Gauge("requests_queued").Update(float64(queued))
	scope.Gauge("peers_reachable").Update(float64(reachable))
	scope.Gauge("pins_granted").Update(float64(d.table.PinCount(now)))
	for method, count := range d.peers.Traffic().ByMethod {
		tagged := m.tagged(map[string]string{"method": method})
		tagged.Gauge("peer_body_bytes_out").Update(float64(count.BytesOut))
		tagged.Gauge("peer_body_bytes_in").Update(float64(count.BytesIn))
		tagged.Gauge("peer_requests").Update(float64(count.RequestsSent))
	}
}

// failedAttempts returns the failed attempts by cause.
func (m *metrics) failedAttempts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.failed)
}

func (m *metrics) tagged(tags map[string]string) tally.Scope { return m.root.Scope.Tagged(tags) }

// attemptFailed counts a failed attempt by cause, crossed answers among them.
func (m *metrics) attemptFailed(failure *engines.Failure) {
	m.tagged(map[string]string{"cause": string(failure.Cause)}).Counter("attempts_failed").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed[string(failure.Cause)]++
}

// ordered counts an order to an engine.
func (m *metrics) ordered(order placement.Order, result placement.OrderResult) {
	kinds := map[placement.OrderKind]string{placement.OrderLoad: "load", placement.OrderEvict: "evict"}
	results := map[placement.OrderResult]string{
		placement.ResultDone: "done", placement.ResultFailed: "failed",
		placement.ResultNotSent: "not_sent", placement.ResultUnknown: "unknown",
	}
	m.tagged(map[string]string{"order": kinds[order.Kind], "result": results[result]}).Counter("orders").Inc(1)
}

// callerReasons are the reasons that a caller can mend itself.
var callerReasons = map[inferencev1.Reason]bool{
	inferencev1.Reason_REASON_MALFORMED:               true,
	inferencev1.Reason_REASON_BODY_TOO_LARGE:          true,
	inferencev1.Reason_REASON_KEY_MISSING:             true,
	inferencev1.Reason_REASON_KEY_UNKNOWN:             true,
	inferencev1.Reason_REASON_KEY_WITHDRAWN:           true,
	inferencev1.Reason_REASON_ADAPTER_UNKNOWN:         true,
	inferencev1.Reason_REASON_VERSION_UNKNOWN:         true,
	inferencev1.Reason_REASON_VERSION_WITHDRAWN:       true,
	inferencev1.Reason_REASON_ROUTE_UNKNOWN:           true,
	inferencev1.Reason_REASON_COST_ABOVE_LIMIT:        true,
	inferencev1.Reason_REASON_RATE_EXCEEDED:           true,
	inferencev1.Reason_REASON_IDEMPOTENCY_KEY_REUSED:  true,
	inferencev1.Reason_REASON_IDEMPOTENCY_KEY_EXPIRED: true,
}

// countRequest counts the end of a request towards the objectives.
func (d *Daemon) countRequest(refusal *callers.Refusal) {
	switch {
	case refusal == nil:
		d.metrics.levels.RecordRequest(observability.ResultAnswered, "")
	case callerReasons[refusal.Reason]:
		d.metrics.levels.RecordRequest(observability.ResultCallerError, reasonTag(refusal.Reason))
	default:
		d.metrics.levels.RecordRequest(observability.ResultServiceError, reasonTag(refusal.Reason))
	}
}

func reasonTag(reason inferencev1.Reason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "REASON_"))
}
