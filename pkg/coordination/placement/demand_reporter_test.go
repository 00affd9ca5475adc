package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against demand that is reported repeatedly without a change, and
// against demand that stays with an owner after it has ended or moved.
func TestDemandReporterReportsOnlyChanges(t *testing.T) {
	reporter := NewDemandReporter(5 * time.Second)
	w := newDemand("e0", adapterRef(1), "v", "c", 2)
	assert.DeepEqual(t, reporter.Due(startTime, []CustomerDemand{w}), []CustomerDemand{w})
	assert.Equal(t, len(reporter.Due(startTime.Add(time.Second), []CustomerDemand{w})), 0)
	assert.DeepEqual(t, reporter.Due(startTime.Add(3*time.Second), []CustomerDemand{w}), []CustomerDemand{w})
	moved := w
	moved.Endpoint = "e1"
	gone := CustomerDemand{Sender: "v", Endpoint: "e0", Ref: adapterRef(1), Customer: "c"}
	assert.DeepEqual(t, reporter.Due(startTime.Add(3*time.Second), []CustomerDemand{moved}), []CustomerDemand{gone, moved})
	gone = CustomerDemand{Endpoint: "e1", Ref: adapterRef(1), Customer: "c"}
	assert.DeepEqual(t, reporter.Due(startTime.Add(3*time.Second), nil), []CustomerDemand{gone})
}
