package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// tiny is a deployment small enough for the race detector.
func tiny() deployment {
	d := isbreen(records.PolicyLatency)
	d.dataCentres, d.adapters = 2, 300
	d.warmUp, d.shiftAt, d.length = 90*time.Second, 100*time.Second, 125*time.Second
	return d
}

// Guards against a model that breaks a rule, serves nothing or does not favour
// customers within their rate over the baseline.
func TestModelKeepsTheRulesAndBeatsTheBaseline(t *testing.T) {
	ours, base := runFleet(tiny(), 1), runBaseline(tiny(), 1)
	assert.Equal(t, ours.Violations, 0)
	assert.Assert(t, ours.InFlight <= storePlaces)
	assert.Assert(t, ours.FloodServed > 0)
	assert.Assert(t, ours.Refused < base.Refused, "refused %.3f, baseline %.3f", ours.Refused, base.Refused)
}

// Guards against results that cannot be repeated.
func TestSameSeedGivesTheSameResult(t *testing.T) {
	d := tiny()
	d.length = 115 * time.Second
	assert.DeepEqual(t, runFleet(d, 2), runFleet(d, 2))
}

// Guards against slopes whose inputs are not measured.
func TestMeasureFillsAllCosts(t *testing.T) {
	c := measure(1, 3, 300)
	assert.Assert(t, c.pick > 0 && c.home > 0 && c.plan > 0 && c.memory > 0 && c.peerBytes > 0, "%+v", c)
}
