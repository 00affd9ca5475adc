package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// Guards against load targets that concentrate on a few engines, and against
// targets that differ between VMs without a reason.
func TestLoadTargetsAreSpreadWithinBound(t *testing.T) {
	p, other := newTestPlanner(12, 8, records.PolicyLatency), newTestPlanner(12, 8, records.PolicyLatency)
	count := make(map[ids.EndpointID]int)
	for i := range 240 {
		id, ok := p.LoadTarget(startTime, adapterRef(i), "b")
		assert.Assert(t, ok)
		count[id]++
		same, _ := other.LoadTarget(startTime, adapterRef(i), "b")
		assert.Equal(t, same, id)
	}
	for id, n := range count {
		assert.Assert(t, float64(n) <= loadBoundFactor*20+1, fmt.Sprintf("%s has %d of 240", id, n))
	}
}
