package weights

import "time"

// loadTiming computes how long loads take. While at most fullSpeedLoads loads
// are in flight, each takes baseTime; n > fullSpeedLoads loads share the
// capacity of the store, so that each takes baseTime * n/fullSpeedLoads.
// Methods take the current time as an argument.
type loadTiming struct {
	baseTime       time.Duration
	fullSpeedLoads int

	now time.Time
	// remaining holds the remaining time of each load at full speed.
	remaining  map[uint64]time.Duration
	lastNumber uint64
}

func newLoadTiming(baseTime time.Duration, fullSpeed int) *loadTiming {
	return &loadTiming{baseTime: baseTime, fullSpeedLoads: fullSpeed, remaining: make(map[uint64]time.Duration)}
}

// slowdown returns the factor by which loads currently take longer than
// baseTime.
func (t *loadTiming) slowdown() float64 {
	return max(1, float64(len(t.remaining))/float64(t.fullSpeedLoads))
}

// start adds a load and returns its number.
func (t *loadTiming) start(now time.Time) uint64 {
	t.advance(now)
	t.lastNumber++
	t.remaining[t.lastNumber] = t.baseTime
	return t.lastNumber
}

// stop removes a load that finished or was cancelled.
func (t *loadTiming) stop(now time.Time, load uint64) {
	t.advance(now)
	delete(t.remaining, load)
}

// advance subtracts the progress since the last call from the remaining time of
// all loads.
func (t *loadTiming) advance(now time.Time) {
	work := time.Duration(float64(now.Sub(t.now)) / t.slowdown())
	t.now = now
	for load, timeLeft := range t.remaining {
		t.remaining[load] = timeLeft - work
	}
}

// timeLeft returns how long a load will still take if no other load starts or
// ends.
func (t *loadTiming) timeLeft(now time.Time, load uint64) time.Duration {
	t.advance(now)
	return time.Duration(float64(t.remaining[load]) * t.slowdown())
}
