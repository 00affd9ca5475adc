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

// Result says how a request counts towards availability.
type Result string

// The results of a request.
const (
	// ResultAnswered is a complete answer.
	ResultAnswered Result = "answered"
	// ResultCallerError is an error that the caller can correct, such as a
	// malformed request, a wrong key or an exceeded rate. It does not count
	// towards availability.
	ResultCallerError Result = "caller"
	// ResultServiceError is an error of the system or its endpoints.
	ResultServiceError Result = "service"
)

// The names of the metrics and tags that ServiceLevels writes, without
// MetricPrefix.
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

// SampleInterval is how often the event counters are sampled. At 10 s the
// longest window, 6 h, holds 2,160 samples.
const SampleInterval = 10 * time.Second

// commonBounds are the histogram bounds to which the bound of an objective is
// added.
var commonBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// eventCounter counts the events of one objective since the start of the
// process.
type eventCounter struct {
	events, bad atomic.Uint64
}

// ServiceLevels counts requests, first tokens and gaps between tokens, compares
// them with the objectives and exports the counts of each window as metrics for
// the burn report. Its methods are safe for concurrent use.
type ServiceLevels struct {
	scope      tally.Scope
	objectives settings.Objectives
	firstToken tally.Histogram
	tokenGap   tally.Histogram

	counters map[burn.Objective]*eventCounter

	// mu guards history.
	mu      sync.Mutex
	history burn.History
}

// NewServiceLevels returns service levels whose metrics are created under the
// scope. The caller must call Sample every SampleInterval.
func NewServiceLevels(scope tally.Scope, objectives settings.Objectives, start time.Time) *ServiceLevels {
	s := &ServiceLevels{
		scope:      scope,
		objectives: objectives,
		firstToken: scope.Histogram(MetricFirstToken, histogramBounds(objectives.FirstTokenMillis)),
		tokenGap:   scope.Histogram(MetricTokenGap, histogramBounds(objectives.TokenGapMillis)),
		counters:   make(map[burn.Objective]*eventCounter),
	}
	for _, objective := range burn.Objectives {
		s.counters[objective] = &eventCounter{}
	}
	for objective, target := range s.targets() {
		scope.Tagged(map[string]string{TagObjective: string(objective)}).Gauge(MetricTarget).Update(target)
	}
	s.Sample(start)
	return s
}

// targets returns the target share of good events by objective.
func (s *ServiceLevels) targets() map[burn.Objective]float64 {
	return map[burn.Objective]float64{
		burn.Availability: s.objectives.Availability,
		burn.FirstToken:   s.objectives.FirstTokenShare,
		burn.TokenGap:     s.objectives.TokenGapShare,
	}
}

// histogramBounds returns commonBounds with the bound of an objective added.
func histogramBounds(objective settings.Millis) tally.DurationBuckets {
	list := append(tally.DurationBuckets{objective.Duration()}, commonBounds...)
	slices.Sort(list)
	return slices.Compact(list)
}

// RecordRequest counts a request that has ended. The reason is one of a fixed
// set, such as the names of inferencev1.Reason, and empty for an answered
// request.
func (s *ServiceLevels) RecordRequest(result Result, reason string) {
	s.scope.Tagged(map[string]string{TagResult: string(result), TagReason: reason}).Counter(MetricRequests).Inc(1)
	if result != ResultCallerError {
		s.countEvent(burn.Availability, result == ResultServiceError)
	}
}

// RecordFirstToken counts the time from the arrival of a request to its first
// token.
func (s *ServiceLevels) RecordFirstToken(d time.Duration) {
	s.firstToken.RecordDuration(d)
	s.countEvent(burn.FirstToken, d > s.objectives.FirstTokenMillis.Duration())
}

// RecordTokenGap counts the time between two tokens of a stream.
func (s *ServiceLevels) RecordTokenGap(d time.Duration) {
	s.tokenGap.RecordDuration(d)
	s.countEvent(burn.TokenGap, d > s.objectives.TokenGapMillis.Duration())
}

// countEvent counts one event of an objective.
func (s *ServiceLevels) countEvent(objective burn.Objective, bad bool) {
	c := s.counters[objective]
	if bad {
		c.bad.Add(1)
	}
	c.events.Add(1)
}

// Sample adds the current counters to the history and updates the gauges of all
// windows.
func (s *ServiceLevels) Sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := burn.Sample{At: now, Counts: make(map[burn.Objective]burn.Count)}
	for objective, c := range s.counters {
		// countEvent increments bad before events. Reading bad first ensures
		// that it never exceeds the events read.
		bad := c.bad.Load()
		sample.Counts[objective] = burn.Count{Events: c.events.Load(), Bad: bad}
	}
	s.history.Add(sample)
	for _, window := range burn.Windows {
		s.updateGauges(window)
	}
}

// updateGauges exports the counts of one window. The caller holds s.mu.
func (s *ServiceLevels) updateGauges(window time.Duration) {
	counts, span := s.history.Over(window)
	name := WindowName(window)
	s.scope.Tagged(map[string]string{TagWindow: name}).Gauge(MetricWindowSpan).Update(span.Seconds())
	for objective, c := range counts {
		scope := s.scope.Tagged(map[string]string{TagWindow: name, TagObjective: string(objective)})
		scope.Gauge(MetricWindowEvents).Update(float64(c.Events))
		scope.Gauge(MetricWindowBad).Update(float64(c.Bad))
	}
}

// WindowName returns the tag value of a window: its length in seconds.
func WindowName(window time.Duration) string {
	return strconv.FormatInt(int64(window/time.Second), 10)
}
