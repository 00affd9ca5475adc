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

// metrics holds the metrics of one VM.
type metrics struct {
	root          *observability.Metrics
	serviceLevels *observability.ServiceLevels
	daemon        *Daemon

	mu sync.Mutex
	// failedByCause counts failed attempts by cause, for the status.
	failedByCause map[string]int64
}

func newMetrics(d *Daemon, now time.Time) *metrics {
	root := observability.NewMetrics(func(err error) {
		d.logAt("register metric", "").WithError(err).Warn("metric could not be registered")
	})
	return &metrics{
		root:          root,
		serviceLevels: observability.NewServiceLevels(root.Scope, d.settings.Objectives, now),
		daemon:        d,
		failedByCause: make(map[string]int64),
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
	scope.Gauge("requests_open").Update(float64(d.requestGate.openRequests()))
	scope.Gauge("requests_queued").Update(float64(queued))
	scope.Gauge("peers_reachable").Update(float64(reachable))
	scope.Gauge("pins_granted").Update(float64(d.ownershipTable.PinCount(now)))
	for method, count := range d.peers.Traffic().ByMethod {
		tagged := m.tagged(map[string]string{"method": method})
		tagged.Gauge("peer_body_bytes_out").Update(float64(count.BytesOut))
		tagged.Gauge("peer_body_bytes_in").Update(float64(count.BytesIn))
		tagged.Gauge("peer_requests").Update(float64(count.RequestsSent))
	}
}

// failedAttempts returns the number of failed attempts by cause.
func (m *metrics) failedAttempts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.failedByCause)
}

func (m *metrics) tagged(tags map[string]string) tally.Scope { return m.root.Scope.Tagged(tags) }

// countFailedAttempt counts a failed attempt by cause. Attempts that got the
// answer to another request are among them.
func (m *metrics) countFailedAttempt(failure *engines.Failure) {
	m.tagged(map[string]string{"cause": string(failure.Cause)}).Counter("attempts_failed").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failedByCause[string(failure.Cause)]++
}

// countOrder counts an order to an engine by kind and result.
func (m *metrics) countOrder(order placement.Order, result placement.OrderResult) {
	kinds := map[placement.OrderKind]string{placement.OrderLoad: "load", placement.OrderEvict: "evict"}
	results := map[placement.OrderResult]string{
		placement.ResultDone: "done", placement.ResultFailed: "failed",
		placement.ResultNotSent: "not_sent", placement.ResultUnknown: "unknown",
	}
	m.tagged(map[string]string{"order": kinds[order.Kind], "result": results[result]}).Counter("orders").Inc(1)
}

// callerReasons are the refusal reasons that the caller can fix itself.
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

// countRequest counts the result of a request towards the service level
// objectives.
func (d *Daemon) countRequest(refusal *callers.Refusal) {
	switch {
	case refusal == nil:
		d.metrics.serviceLevels.RecordRequest(observability.ResultAnswered, "")
	case callerReasons[refusal.Reason]:
		d.metrics.serviceLevels.RecordRequest(observability.ResultCallerError, reasonTag(refusal.Reason))
	default:
		d.metrics.serviceLevels.RecordRequest(observability.ResultServiceError, reasonTag(refusal.Reason))
	}
}

// reasonTag returns the metric tag of a reason.
func reasonTag(reason inferencev1.Reason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "REASON_"))
}
