package daemon

import (
	"net/http"
	"strings"
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
}

func newMetrics(d *Daemon, now time.Time) *metrics {
	root := observability.NewMetrics(func(err error) {
		d.at("register metric", "").WithError(err).Warn("metric refused")
	})
	return &metrics{
		root:   root,
		levels: observability.NewServiceLevels(root.Scope, d.settings.Objectives, now),
		daemon: d,
	}
}

func (m *metrics) close() { _ = m.root.Close() }

// handler serves GET /metrics with gauges that are read when it is asked.
func (m *metrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.root.Handler.ServeHTTP(w, r)
	})
}

func (m *metrics) tagged(tags map[string]string) tally.Scope { return m.root.Scope.Tagged(tags) }

// attemptFailed counts a failed attempt by cause, crossed answers among them.
func (m *metrics) attemptFailed(failure *engines.Failure) {
	m.tagged(map[string]string{"cause": string(failure.Cause)}).Counter("attempts_failed").Inc(1)
}

// ordered counts an order to an engine.
func (m *metrics) ordered(order placement.Order, result placement.Result) {
	kinds := map[placement.OrderKind]string{placement.OrderLoad: "load", placement.OrderEvict: "evict"}
	results := map[placement.Result]string{
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
		d.metrics.levels.Request(observability.ResultAnswered, "")
	case callerReasons[refusal.Reason]:
		d.metrics.levels.Request(observability.ResultCaller, reasonTag(refusal.Reason))
	default:
		d.metrics.levels.Request(observability.ResultService, reasonTag(refusal.Reason))
	}
}

func reasonTag(reason inferencev1.Reason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "REASON_"))
}
