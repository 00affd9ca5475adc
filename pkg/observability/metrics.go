package observability

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// MetricPrefix stands before the name of each metric.
const MetricPrefix = "wagtailspoke"

// reportInterval is how often tally hands its counters to the scraped
// registry.
const reportInterval = time.Second

// Metrics is the root of the metrics of one process.
type Metrics struct {
	// Scope is the root scope.
	Scope tally.Scope
	// Handler serves GET /metrics in the Prometheus text format.
	Handler http.Handler

	closer io.Closer
}

// NewMetrics returns a root scope with a registry of its own, so that tests
// may run several VMs in one process. onError is told of metrics that cannot
// be registered.
func NewMetrics(onError func(error)) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		OnRegisterError: onError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 MetricPrefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		closer:  closer,
	}
}

// Close reports the last counters and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
