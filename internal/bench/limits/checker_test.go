package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bruteExcess considers every window with a plain reading of the bound.
func bruteExcess(grants []Grant, limits []Limit) float64 {
	worst := 0.0
	for i := range grants {
		sum := int64(0)
		for j := i; j < len(grants); j++ {
			sum += grants[j].Tokens
			from, to := grants[i].At, grants[j].At
			earned, burst := 0.0, int64(0)
			for k, l := range limits {
				end := to
				if k+1 < len(limits) {
					end = min(to, limits[k+1].From)
				}
				if start := max(from, l.From); start < end {
					earned += float64(l.Rate) * (end - start).Seconds()
				}
				if l.From <= to && (k+1 == len(limits) || limits[k+1].From > from) {
					burst = max(burst, l.Burst)
				}
			}
			worst = max(worst, float64(sum)-float64(burst)-earned)
		}
	}
	return worst
}

// Guards against a checker that misses windows or counts too much: it must
// agree with the plain reading of the bound on random histories.
func TestExcessAgreesWithPlainReading(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 300 {
		limits := []Limit{{Rate: 1 + rng.Int64N(200), Burst: 1 + rng.Int64N(300)}}
		for at := time.Duration(0); len(limits) < 1+rng.IntN(4); {
			at += time.Duration(rng.Int64N(int64(2 * time.Second)))
			limits = append(limits, Limit{From: at, Rate: 1 + rng.Int64N(200), Burst: 1 + rng.Int64N(300)})
		}
		var grants []Grant
		at := time.Duration(0)
		for range rng.IntN(40) {
			at += time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
			grants = append(grants, Grant{At: at, Tokens: rng.Int64N(80)})
		}
		want, got := bruteExcess(grants, limits), Excess(grants, limits)
		assert.Assert(t, want-got < 1e-6 && got-want < 1e-6, "want %v, got %v", want, got)
	}
}

// Guards against a checker that is off by one token at the bound, or that takes
// the order of the record for the order of time.
func TestExcessAtTheBound(t *testing.T) {
	limits := []Limit{{Rate: 100, Burst: 50}}
	full := []Grant{{At: time.Second, Tokens: 50}, {At: 500 * time.Millisecond, Tokens: 50}, {At: 0, Tokens: 50}}
	assert.Equal(t, Excess(full, limits), 0.0)
	full[1].Tokens++
	assert.Equal(t, Excess(full, limits), 1.0)
	assert.Equal(t, Excess([]Grant{{At: time.Hour, Tokens: 50}, {At: time.Hour, Tokens: 1}}, limits), 1.0)
	assert.Equal(t, Excess(nil, limits), 0.0)
}
