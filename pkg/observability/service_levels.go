package observability

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability/burn"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
)

// Result tells how a request counts towards availability.
type Result string

// The results of a request.
const (
	// ResultAnswered is a whole answer.
	ResultAnswered Result = "answered"
	// ResultCaller is an error that the caller can mend: a malformed request, a
	// wrong key, an exceeded rate. It does not count towards availability.
	ResultCaller Result = "caller"
	// ResultService is an error of the system or its endpoints.
	ResultService Result = "service"
)

// The names of the metrics that ServiceLevels writes, without MetricPrefix.
const (
	MetricRequests     = "requests"
	MetricFirstToken   = "first_token"
	MetricTokenGap     = "token_gap"
	MetricWindowEvents = "service_level_window_events"
	MetricWindowBad    = "service_level_window_bad"
	MetricWindowSpan   = "service_level_window_seconds"
	MetricTarget       = "service_level_target"

	TagResult    = "result"
	TagReason    = "reason"
	TagObjective = "objective"
	TagWindow    = "window"
)

// SampleInterval is how often the service-level counters are sampled. At 10 s
// the windows of up to 6 h hold 2,160 samples.
const SampleInterval = 10 * time.Second

// baseBounds are histogram bounds around the objectives.
var baseBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// count holds the events of one objective.
type count struct {
	events, bad atomic.Uint64
}

// ServiceLevels counts requests, first tokens and token gaps against the
// objectives, and shows their windows as metrics for the burn report. Its
// methods are called by any number of requests at once.
type ServiceLevels struct {
	scope      tally.Scope
	objectives settings.Objectives
	firstToken tally.Histogram
	tokenGap   tally.Histogram

	counts map[burn.Objective]*count

	mu      sync.Mutex
	history burn.History
}

// NewServiceLevels returns service levels that are written below the scope.
// The caller has Sample called every SampleInterval.
func NewServiceLevels(scope tally.Scope, objectives settings.Objectives, start time.Time) *ServiceLevels {
	s := &ServiceLevels{
		scope:      scope,
		objectives: objectives,
		firstToken: scope.Histogram(MetricFirstToken, bounds(objectives.FirstTokenMillis)),
		tokenGap:   scope.Histogram(MetricTokenGap, bounds(objectives.TokenGapMillis)),
		counts:     make(map[burn.Objective]*count),
	}
	for _, objective := range burn.Objectives {
		s.counts[objective] = &count{}
	}
	for objective, target := range s.targets() {
		scope.Tagged(map[string]string{TagObjective: string(objective)}).Gauge(MetricTarget).Update(target)
	}
	s.Sample(start)
	return s
}

func (s *ServiceLevels) targets() map[burn.Objective]float64 {
	return map[burn.Objective]float64{
		burn.Availability: s.objectives.Availability,
		burn.FirstToken:   s.objectives.FirstTokenShare,
		burn.TokenGap:     s.objectives.TokenGapShare,
	}
}

// bounds returns histogram bounds that have the objective among them.
func bounds(objective settings.Millis) tally.DurationBuckets {
	list := append(tally.DurationBuckets{objective.Duration()}, baseBounds...)
	slices.Sort(list)
	return slices.Compact(list)
}

// Request counts the end of one request. The reason is one of a fixed set,
// such as the names of inferencev1.Reason; it is empty for an answer.
func (s *ServiceLevels) Request(result Result, reason string) {
	s.scope.Tagged(map[string]string{TagResult: string(result), TagReason: reason}).Counter(MetricRequests).Inc(1)
	if result != ResultCaller {
		s.add(burn.Availability, result == ResultService)
	}
}

// FirstToken counts the time from the arrival of a request to its first token.
func (s *ServiceLevels) FirstToken(d time.Duration) {
	s.firstToken.RecordDuration(d)
	s.add(burn.FirstToken, d > s.objectives.FirstTokenMillis.Duration())
}

// TokenGap counts the time between two tokens of a stream.
func (s *ServiceLevels) TokenGap(d time.Duration) {
	s.tokenGap.RecordDuration(d)
	s.add(burn.TokenGap, d > s.objectives.TokenGapMillis.Duration())
}

func (s *ServiceLevels) add(objective burn.Objective, bad bool) {
	c := s.counts[objective]
	if bad {
		c.bad.Add(1)
	}
	c.events.Add(1)
}

// Sample takes the counters into the windows and updates their gauges.
func (s *ServiceLevels) Sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := burn.Sample{At: now, Counts: make(map[burn.Objective]burn.Count)}
	for objective, c := range s.counts {
		// The bad ones are read first, so that they never exceed the events.
		bad := c.bad.Load()
		sample.Counts[objective] = burn.Count{Events: c.events.Load(), Bad: bad}
	}
	s.history.Add(sample)
	for _, window := range burn.Windows {
		s.show(window)
	}
}

func (s *ServiceLevels) show(window time.Duration) {
	counts, span := s.history.Over(window)
	name := WindowName(window)
	s.scope.Tagged(map[string]string{TagWindow: name}).Gauge(MetricWindowSpan).Update(span.Seconds())
	for objective, c := range counts {
		scope := s.scope.Tagged(map[string]string{TagWindow: name, TagObjective: string(objective)})
		scope.Gauge(MetricWindowEvents).Update(float64(c.Events))
		scope.Gauge(MetricWindowBad).Update(float64(c.Bad))
	}
}

// WindowName returns the tag value of a window, its length in seconds.
func WindowName(window time.Duration) string {
	return strconv.FormatInt(int64(window/time.Second), 10)
}
