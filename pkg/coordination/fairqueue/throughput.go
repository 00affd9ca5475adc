package fairqueue

import "time"

// The service rate is measured over windows. It is known after the first window
// during which requests waited all the time.
const (
	rateWindow      = 2 * time.Second
	smoothingFactor = 0.5
	// maxEstimateAge is how long an estimate is used without a new measurement.
	maxEstimateAge = time.Minute
)

// throughput estimates the tokens served per second while requests wait. The
// lock of the Queue guards it.
type throughput struct {
	windowStart      time.Time
	tokens           float64
	windowBacklogged bool
	estimate         float64
	known            bool
	estimatedAt      time.Time
}

// add counts dispatched tokens. backlogged says that requests are still
// waiting; a window in which the queue ran empty says nothing about the
// capacity and is not used.
func (t *throughput) add(now time.Time, tokens float64, backlogged bool) {
	if t.windowStart.IsZero() || now.Sub(t.windowStart) > 2*rateWindow {
		t.windowStart, t.tokens, t.windowBacklogged = now, 0, true
	}
	t.tokens += tokens
	t.windowBacklogged = t.windowBacklogged && backlogged
	elapsed := now.Sub(t.windowStart)
	if elapsed < rateWindow {
		return
	}
	if t.windowBacklogged {
		t.updateEstimate(now, t.tokens/elapsed.Seconds())
	}
	t.windowStart, t.tokens, t.windowBacklogged = now, 0, true
}

// updateEstimate adds the measurement of one window to the smoothed estimate.
func (t *throughput) updateEstimate(now time.Time, measured float64) {
	if !t.known {
		t.estimate = measured
	} else {
		t.estimate += smoothingFactor * (measured - t.estimate)
	}
	t.known, t.estimatedAt = true, now
}

// tokensPerSecond returns the estimate, and reports whether there is a recent
// one.
func (t *throughput) tokensPerSecond(now time.Time) (float64, bool) {
	if !t.known || now.Sub(t.estimatedAt) > maxEstimateAge {
		return 0, false
	}
	return t.estimate, true
}
