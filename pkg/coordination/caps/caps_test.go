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

// exchangeEvery is that of the VMs.
const exchangeEvery = 250 * time.Millisecond

type vm struct {
	id   ids.VMID
	boot ids.BootID
	caps *caps.Caps
	up   time.Time
}

// Guards against a customer that gets more than its rate and burst over all
// VMs, within what one exchange can hide, while VMs restart and a partition
// splits them: hot customers, uneven entry, restarts with empty memory.
func TestTotalStaysWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := caps.Limit{Rate: 10000, Burst: 10000}
		count := rapid.IntRange(2, 8).Draw(t, "vms")
		vms := make([]*vm, count)
		for i := range vms {
			vms[i] = &vm{id: ids.VMID(rune('a' + i)), boot: "1", caps: caps.New(false), up: start}
		}
		cutFrom := rapid.IntRange(0, 100).Draw(t, "cutFrom")
		cutTo := cutFrom + rapid.IntRange(0, 30).Draw(t, "cutLength")
		side := rapid.IntRange(1, count-1).Draw(t, "side")
		restartAt := rapid.IntRange(0, 120).Draw(t, "restartAt")
		hot := rapid.IntRange(0, count-1).Draw(t, "hot")
		var admitted []int64
		for step := range 120 {
			now := start.Add(time.Duration(step) * exchangeEvery)
			if step == restartAt {
				vms[hot].caps, vms[hot].boot, vms[hot].up = caps.New(false), "2", now
			}
			cut := step >= cutFrom && step < cutTo
			admitted = append(admitted, load(t, now, vms, limit, hot))
			exchange(now, vms, cut, side)
		}
		checkWindows(t, admitted, limit, count)
	})
}

// load offers about four times the rate, half of it at one VM.
func load(t *rapid.T, now time.Time, vms []*vm, limit caps.Limit, hot int) int64 {
	var admitted int64
	for range 8 {
		at := hot
		if rapid.Bool().Draw(t, "elsewhere") {
			at = rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
		}
		cost := rapid.Int64Range(200, 2400).Draw(t, "cost")
		if ok, _ := vms[at].caps.Admit(now, customer, limit, caps.Demand{Cost: cost, Generation: true, Urgency: 1, Draw: rapid.Float64Range(0, 0.999).Draw(t, "draw")}); ok {
			admitted += cost
		}
	}
	return admitted
}

func exchange(now time.Time, vms []*vm, cut bool, side int) {
	for i, a := range vms {
		alive := 1
		for j, b := range vms {
			if i == j {
				continue
			}
			if cut && (i < side) != (j < side) {
				continue
			}
			alive++
			a.caps.Hear(now, b.id, caps.Report{Boot: b.boot, Uptime: now.Sub(b.up), Totals: b.caps.Told()})
		}
		a.caps.SetSides(alive, len(vms)-alive)
	}
}

// windowSteps is 8 s, the window of the operators' bound.
const windowSteps = 32

// checkWindows allows a quarter above the rate and 11,000 units, which is the
// operators' stated slack.
func checkWindows(t *rapid.T, admitted []int64, limit caps.Limit, vms int) {
	window := float64(windowSteps) * exchangeEvery.Seconds()
	bound := int64((limit.Rate*window+limit.Burst)*1.25 + 11000)
	for from := range admitted {
		var sum int64
		for _, units := range admitted[from:min(from+windowSteps, len(admitted))] {
			sum += units
		}
		if sum > bound {
			t.Fatalf("%d units in the window from step %d over %d VMs, bound %d", sum, from, vms, bound)
		}
	}
}

// Guards against a customer at its cap whose plain and urgent requests are
// refused while its less urgent generations take what is left.
func TestUrgentRequestsGoFirstAtTheCap(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	c := caps.New(true)
	for {
		if ok, _ := c.Admit(start, customer, limit, caps.Demand{Cost: 50, Generation: true, Urgency: 2}); !ok {
			break
		}
	}
	ok, after := c.Admit(start, customer, limit, caps.Demand{Cost: 50, Generation: true, Urgency: 2})
	assert.Assert(t, !ok)
	assert.Assert(t, after > 0 && after < time.Second, "retry after %v", after)
	ok, _ = c.Admit(start, customer, limit, caps.Demand{Cost: 50, Generation: true})
	assert.Assert(t, ok, "a more urgent generation was refused")
	ok, _ = c.Admit(start, customer, limit, caps.Demand{Cost: 50})
	assert.Assert(t, ok, "a plain request was refused")
}

// Guards against a refused caller that comes back at the stated time and is
// refused again although nobody else used the room.
func TestRetryTimeIsTrue(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	demand := caps.Demand{Cost: 50, Generation: true, Urgency: 2}
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

// Guards against a request that can never run since it costs more than the
// burst.
func TestRequestLargerThanTheBurstRuns(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	c := caps.New(true)
	ok, _ := c.Admit(start, customer, limit, caps.Demand{Cost: 3000, Generation: true, Urgency: 2})
	assert.Assert(t, ok)
	ok, after := c.Admit(start, customer, limit, caps.Demand{Cost: 3000, Generation: true, Urgency: 2})
	assert.Assert(t, !ok)
	assert.Assert(t, after >= 2*time.Second, "the debt is not repaid: %v", after)
}

// Guards against a customer far below its rate that is refused for seconds
// after a partition has healed, when the use of the other side is told at once.
func TestNoRefusalWithinTheRateAfterAPartition(t *testing.T) {
	limit := caps.Limit{Rate: 1000, Burst: 1000}
	demand := caps.Demand{Cost: 50, Generation: true, Urgency: 2}
	c := caps.New(true)
	ok, _ := c.Admit(start, customer, limit, demand)
	assert.Assert(t, ok)
	c.Hear(start, "peer", caps.Report{Boot: "1", Uptime: time.Minute, Totals: caps.Totals{customer: {Admitted: 100}}})
	healed := start.Add(5 * time.Second)
	c.Hear(healed, "peer", caps.Report{Boot: "1", Uptime: time.Minute, Totals: caps.Totals{customer: {Admitted: 100 + 5*500}}})
	ok, _ = c.Admit(healed.Add(time.Second), customer, limit, demand)
	assert.Assert(t, ok)
}
