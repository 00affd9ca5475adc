package residency

import (
	"math"
	"time"
)

// Parameters of the load time estimate.
const (
	// extraHalfLife is the half-life of the observed extra time. The extra
	// time decays so that the estimate also falls while no loads are ordered.
	extraHalfLife = 2 * time.Second
	// maxLearnedLoadTime bounds the load time that one observation can set.
	maxLearnedLoadTime = 1500 * time.Millisecond
)

// LoadTimeEstimator estimates how long an engine takes to load an adapter.
// Engines share the bandwidth of the weight store, so a load takes longer
// while other engines load too. An engine that receives a request before its
// load has finished shows how far the estimate was too short. The caller
// synchronizes access.
type LoadTimeEstimator struct {
	initial time.Duration
	// extra is by how much loads exceeded the initial estimate, as observed at
	// extraAt.
	extra   time.Duration
	extraAt time.Time
}

// NewLoadTimeEstimator returns an estimator that starts at the given
// duration.
func NewLoadTimeEstimator(initial time.Duration) *LoadTimeEstimator {
	return &LoadTimeEstimator{initial: initial}
}

// Estimate returns how long a load that starts now is expected to take.
func (l *LoadTimeEstimator) Estimate(now time.Time) time.Duration {
	age := now.Sub(l.extraAt).Seconds() / extraHalfLife.Seconds()
	return l.initial + time.Duration(float64(l.extra)*math.Exp2(-age))
}

// observation is what an observed load time replaced in the estimate.
type observation struct {
	extra   time.Duration
	extraAt time.Time
	// observedAt is when the load time was observed.
	observedAt time.Time
}

// observe records that a load took, or will take, the given time.
func (l *LoadTimeEstimator) observe(now time.Time, duration time.Duration) observation {
	replaced := observation{extra: l.extra, extraAt: l.extraAt, observedAt: now}
	l.extra, l.extraAt = min(duration, maxLearnedLoadTime)-l.initial, now
	return replaced
}

// withdraw undoes an observation that turned out to be none of a load, unless
// another one has followed.
func (l *LoadTimeEstimator) withdraw(o observation) {
	if !o.observedAt.IsZero() && l.extraAt.Equal(o.observedAt) {
		l.extra, l.extraAt = o.extra, o.extraAt
	}
}
