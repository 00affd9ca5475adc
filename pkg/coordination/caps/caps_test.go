package caps_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/caps"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 42, 60) }

const customer ids.CustomerID = "c"

var start = time.Unix(1000, 0)

// exchangeInterval is the interval at which VMs exchange their totals in
// production.
const exchangeInterval = 250 * time.Millisecond

type vm struct {
	id        ids.VMID
	boot      ids.BootID
	caps      *caps.Limiter
	startedAt time.Time
}

// A customer that is busiest at one VM must not get more than its rate and
// burst over all VMs, apart from what one exchange can hide. Meanwhile a VM
// restarts with empty memory and a partition splits the fleet.
func TestTotalStaysWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := caps.Limit{Rate: 10000, Burst: 10000}
		count := rapid.IntRange(2, 8).Draw(t, "vms")
		vms := make([]*vm, count)
		for i := range vms {
			vms[i] = &vm{id: ids.VMID(rune('a' + i)), boot: "1", caps: caps.New(false), startedAt: start}
		}
		partitionFrom := rapid.IntRange(0, 100).Draw(t, "cutFrom")
		partitionTo := partitionFrom + rapid.IntRange(0, 30).Draw(t, "cutLength")
		firstSideSize := rapid.IntRange(1, count-1).Draw(t, "side")
		restartAt := rapid.IntRange(0, 120).Draw(t, "restartAt")
		busiest := rapid.IntRange(0, count-1).Draw(t, "hot")
		var admitted []int64
		for step := range 120 {
			now := start.Add(time.Duration(step) * exchangeInterval)
			if step == restartAt {
				vms[busiest].caps, vms[busiest].boot, vms[busiest].startedAt = caps.New(false), "2", now
			}
			partitioned := step >= partitionFrom && step < partitionTo
			admitted = append(admitted, offerSkewedLoad(t, now, vms, limit, busiest))
			exchange(now, vms, partitioned, firstSideSize)
		}
		checkWindows(t, admitted, limit, count)
	})
}

// offerSkewedLoad offers about four times the rate, half of it at one VM, and
// returns the admitted units.
func offerSkewedLoad(t *rapid.T, now time.Time, vms []*vm, limit caps.Limit, busiest int) int64 {
	var admitted int64
	for range 8 {
		at := busiest
		if rapid.Bool().Draw(t, "elsewhere") {
			at = rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
		}
		cost := rapid.Int64Range(200, 2400).Draw(t, "cost")
		if ok, _ := vms[at].caps.Admit(now, customer, limit, caps.Request{Cost: cost, Generation: true, Urgency: 1, Draw: rapid.Float64Range(0, 0.999).Draw(t, "draw")}); ok {
			admitted += cost
		}
	}
	return admitted
}

func exchange(now time.Time, vms []*vm, partitioned bool, firstSideSize int) {
	for i, a := range vms {
		alive := 1
		for j, b := range vms {
			if i == j {
				continue
			}
			if partitioned && (i < firstSideSize) != (j < firstSideSize) {
				continue
			}
			alive++
			a.caps.ApplyReport(now, b.id, caps.Report{Boot: b.boot, Uptime: now.Sub(b.startedAt), Totals: b.caps.LocalTotals()})
		}
		a.caps.SetReachable(alive, len(vms)-alive)
	}
}

// windowSteps is 8 s, the window of the limit that operators state.
const windowSteps = 32

// checkWindows fails if a window exceeds the limit by more than the slack that
// operators state: a quarter, plus 11,000 units.
func checkWindows(t *rapid.T, admitted []int64, limit caps.Limit, vms int) {
	window := float64(windowSteps) * exchangeInterval.Seconds()
	bound := int64((limit.Rate*window+limit.Burst)*1.25 + 11000)
	for from := range admitted {
		var sum int64
		for _, units := range admitted[from:min(from+windowSteps, len(admitted))] {
			sum += units
		}
		if sum > bound {
			t.Fatalf("%d units admitted in the window from step %d by %d VMs, bound %d", sum, from, vms, bound)
		}
	}
}

// Near the limit, less urgent generations must not take what is left while
// plain and urgent requests of the same customer are refused.
func TestUrgentRequestsAreAdmittedFirstNearTheLimit(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	c := caps.New(true)
	for {
		if ok, _ := c.Admit(start, customer, limit, caps.Request{Cost: 50, Generation: true, Urgency: 2}); !ok {
			break
		}
	}
	ok, after := c.Admit(start, customer, limit, caps.Request{Cost: 50, Generation: true, Urgency: 2})
	assert.Assert(t, !ok)
	assert.Assert(t, after > 0 && after < time.Second, "retry after %v", after)
	ok, _ = c.Admit(start, customer, limit, caps.Request{Cost: 50, Generation: true})
	assert.Assert(t, ok, "a more urgent generation was refused")
	ok, _ = c.Admit(start, customer, limit, caps.Request{Cost: 50})
	assert.Assert(t, ok, "a plain request was refused")
}

// A refused caller that retries after the stated time must not be refused again
// if nobody else used the tokens.
func TestRetryAfterStatedTimeIsAdmitted(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	demand := caps.Request{Cost: 50, Generation: true, Urgency: 2}
	c := caps.New(true)
	for {
		ok, after := c.Admit(start, customer, limit, demand)
		if ok {
			continue
		}
		ok, _ = c.Admit(start.Add(after+time.Millisecond), customer, limit, demand)
		assert.Assert(t, ok)
		return
	}
}

// A request that costs more than the burst must still be able to run.
func TestRequestLargerThanTheBurstRuns(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	c := caps.New(true)
	ok, _ := c.Admit(start, customer, limit, caps.Request{Cost: 3000, Generation: true, Urgency: 2})
	assert.Assert(t, ok)
	ok, after := c.Admit(start, customer, limit, caps.Request{Cost: 3000, Generation: true, Urgency: 2})
	assert.Assert(t, !ok)
	assert.Assert(t, after >= 2*time.Second, "the retry time of %v does not cover the debt", after)
}

// When a partition heals, all use on the other side is reported at once. That
// must not cause a customer far below its rate to be refused for seconds.
func TestNoRefusalWithinTheRateAfterAPartition(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	demand := caps.Request{Cost: 50, Generation: true, Urgency: 2}
	c := caps.New(true)
	ok, _ := c.Admit(start, customer, limit, demand)
	assert.Assert(t, ok)
	c.ApplyReport(start, "peer", caps.Report{Boot: "1", Uptime: time.Minute, Totals: caps.Totals{customer: {Admitted: 100}}})
	healed := start.Add(5 * time.Second)
	c.ApplyReport(healed, "peer", caps.Report{Boot: "1", Uptime: time.Minute, Totals: caps.Totals{customer: {Admitted: 100 + 5*500}}})
	ok, _ = c.Admit(healed.Add(time.Second), customer, limit, demand)
	assert.Assert(t, ok)
}
