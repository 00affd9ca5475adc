package caps_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Guards against a request beyond its customer's limit, such as one without a bound for its
// output, that keeps the customer's other requests from being admitted, at its own VM and at
// the others. The other requests stay at a quarter of the rate.
func TestRequestBeyondTheLimitLeavesOthersAdmitted(t *testing.T) {
	limit := caps.Limit{Rate: 60_000, Burst: 60_000}
	for _, cost := range []int64{180_001, 1 << 31, 1 << 60, math.MaxInt64} {
		random := rand.New(rand.NewPCG(15, uint64(cost)))
		vms := make([]*vm, 3)
		for i := range vms {
			vms[i] = &vm{id: ids.VMID(rune('a' + i)), boot: "1", caps: caps.New(true), startedAt: start}
		}
		for step := range 400 {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			if step%80 == 5 {
				admitted, after := vms[0].caps.Admit(now, customer, limit, caps.Request{Cost: cost, Generation: true, Urgency: 1})
				assert.Assert(t, !admitted, "%d units were admitted", cost)
				assert.Assert(t, after >= time.Second && after <= time.Hour, "a retry after %v", after)
			}
			admitted, after := vms[step%len(vms)].caps.Admit(now, customer, limit, caps.Request{Cost: 1632, Generation: true, Urgency: 1, Draw: random.Float64()})
			assert.Assert(t, admitted, "step %d beside %d units: an ordinary request was refused for %v", step, cost, after)
			if step%3 == 0 {
				exchange(now, vms, false, len(vms))
			}
		}
	}
}

// Guards against a debt that one request leaves and that keeps the customer's other requests
// refused for longer than the use at other VMs may.
func TestDebtOfOneRequestIsBounded(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	for cost := int64(1); cost < 1<<40; cost = cost*3/2 + 1 {
		for _, spent := range []int64{0, 200, 400, 800} {
			c := caps.New(true)
			admitted, _ := c.Admit(start, customer, limit, caps.Request{Cost: spent})
			assert.Assert(t, admitted)
			admitted, _ = c.Admit(start, customer, limit, caps.Request{Cost: cost})
			if !admitted {
				continue
			}
			admitted, after := c.Admit(start.Add(3*time.Second), customer, limit, caps.Request{Cost: 100})
			assert.Assert(t, admitted, "%d units after %d: refused 3 s later, for %v", cost, spent, after)
		}
	}
}

// Guards against a limit below one request a second that admits no request at all.
func TestSingleRequestIsAdmittedAtALowRate(t *testing.T) {
	limit := caps.Limit{Rate: 0.5}
	c := caps.New(true)
	admitted, _ := c.Admit(start, customer, limit, caps.Request{Cost: 1})
	assert.Assert(t, admitted)
	admitted, after := c.Admit(start.Add(100*time.Millisecond), customer, limit, caps.Request{Cost: 1})
	assert.Assert(t, !admitted)
	admitted, _ = c.Admit(start.Add(100*time.Millisecond+after), customer, limit, caps.Request{Cost: 1})
	assert.Assert(t, admitted, "refused after the stated time of %v", after)
}
