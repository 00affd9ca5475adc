package weights

import "time"

// law computes when loads end. While at most fullSpeed loads are in flight,
// each takes baseTime; n > fullSpeed loads share the store, so that each takes
// baseTime * n/fullSpeed. Time is an argument.
type law struct {
	baseTime  time.Duration
	fullSpeed int

	now time.Time
	// remaining holds the work left of each load, in time at full speed.
	remaining map[uint64]time.Duration
	next      uint64
}

func newLaw(baseTime time.Duration, fullSpeed int) *law {
	return &law{baseTime: baseTime, fullSpeed: fullSpeed, remaining: make(map[uint64]time.Duration)}
}

// slowdown returns how much longer than baseTime loads take now.
func (l *law) slowdown() float64 {
	return max(1, float64(len(l.remaining))/float64(l.fullSpeed))
}

// start adds a load and returns its number.
func (l *law) start(now time.Time) uint64 {
	l.advance(now)
	l.next++
	l.remaining[l.next] = l.baseTime
	return l.next
}

// stop removes a load that ended or was given up.
func (l *law) stop(now time.Time, load uint64) {
	l.advance(now)
	delete(l.remaining, load)
}

// advance does the work of the time since the last call.
func (l *law) advance(now time.Time) {
	work := time.Duration(float64(now.Sub(l.now)) / l.slowdown())
	l.now = now
	for load, left := range l.remaining {
		l.remaining[load] = left - work
	}
}

// left returns how long a load will still take if no other starts or ends.
func (l *law) left(now time.Time, load uint64) time.Duration {
	l.advance(now)
	return time.Duration(float64(l.remaining[load]) * l.slowdown())
}
