package fairqueue

import "time"

// The service rate is measured over windows, and known after the first one
// that was busy throughout.
const (
	rateWindow = 2 * time.Second
	rateBlend  = 0.5
	// rateMemory is how long a measured rate is believed without a new one.
	rateMemory = time.Minute
)

// throughput estimates the tokens served per second while requests wait.
type throughput struct {
	startedAt time.Time
	tokens    float64
	busy      bool
	estimate  float64
	known     bool
	knownAt   time.Time
}

// add counts tokens handed out. waiting tells that requests still wait; a
// window in which the queue ran empty says nothing about the capacity.
func (t *throughput) add(now time.Time, tokens float64, waiting bool) {
	if t.startedAt.IsZero() || now.Sub(t.startedAt) > 2*rateWindow {
		t.startedAt, t.tokens, t.busy = now, 0, true
	}
	t.tokens += tokens
	t.busy = t.busy && waiting
	elapsed := now.Sub(t.startedAt)
	if elapsed < rateWindow {
		return
	}
	if t.busy {
		t.blend(now, t.tokens/elapsed.Seconds())
	}
	t.startedAt, t.tokens, t.busy = now, 0, true
}

func (t *throughput) blend(now time.Time, measured float64) {
	if !t.known {
		t.estimate = measured
	} else {
		t.estimate += rateBlend * (measured - t.estimate)
	}
	t.known, t.knownAt = true, now
}

func (t *throughput) perSecond(now time.Time) (float64, bool) {
	if !t.known || now.Sub(t.knownAt) > rateMemory {
		return 0, false
	}
	return t.estimate, true
}
