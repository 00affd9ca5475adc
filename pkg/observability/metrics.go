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

// MetricPrefix is the prefix of all metric names.
const MetricPrefix = "wagtailspoke"

// reportInterval is how often tally passes its values on to the Prometheus
// registry, which scrapes read.
const reportInterval = time.Second

// Metrics holds the metrics of one process.
type Metrics struct {
	// Scope is the root scope, under which all metrics are created.
	Scope tally.Scope
	// Handler serves GET /metrics in the Prometheus text format.
	Handler http.Handler

	closer io.Closer
}

// NewMetrics returns metrics with a separate registry, so that tests may run
// several VMs in one process. It calls onError for each metric that cannot be
// registered.
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

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
