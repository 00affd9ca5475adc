package residency

import (
	"math"
	"time"
)

// Figures of the estimate of a load's time.
const (
	// extraHalfLife is that of what was learned, so that it also falls while
	// no loads are given.
	extraHalfLife = 2 * time.Second
	maxLoadTime   = 1500 * time.Millisecond
)

// LoadTime estimates how long the load of an adapter takes. Engines share the
// bandwidth of the weight store, so loads take longer while many are on their
// way anywhere; engines that are asked too early show by how much.
type LoadTime struct {
	usual time.Duration
	// extra is what loads took beyond the usual time, learned at a moment.
	extra   time.Duration
	extraAt time.Time
}

// NewLoadTime returns an estimate that starts from the usual time.
func NewLoadTime(usual time.Duration) *LoadTime { return &LoadTime{usual: usual} }

// Estimate returns how long a load takes now.
func (l *LoadTime) Estimate(now time.Time) time.Duration {
	age := now.Sub(l.extraAt).Seconds() / extraHalfLife.Seconds()
	return l.usual + time.Duration(float64(l.extra)*math.Exp2(-age))
}

func (l *LoadTime) learn(now time.Time, took time.Duration) {
	l.extra, l.extraAt = min(took, maxLoadTime)-l.usual, now
}
