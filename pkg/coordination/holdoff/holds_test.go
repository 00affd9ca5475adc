package holdoff

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

var t0 = time.Unix(1000, 0)

func after(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against a request within the time that an endpoint has named, and against an
// endpoint that is held longer than that and its spread.
func TestHoldLastsAsLongAsNamed(t *testing.T) {
	for _, length := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 5 * time.Second} {
		for _, draw := range []float64{0, 0.5, 0.999} {
			h := New(DefaultConfig())
			assert.Assert(t, h.Record(t0, "e", 1, length, draw))
			assert.Assert(t, !h.Admit(t0.Add(length-1), "e", 1))
			assert.Assert(t, h.HeldFor(t0, "e", 1) >= length)
			assert.Assert(t, h.HeldFor(t0, "e", 1) < length+length/4+time.Millisecond)
			assert.Assert(t, h.Admit(t0.Add(length+min(length/4, 500*time.Millisecond)), "e", 1))
			assert.Assert(t, h.Admit(t0, "other", 1))
		}
	}
}

// Guards against a hold that a shorter one replaces, or that is counted from an
// earlier answer than the last.
func TestLongestHoldCounts(t *testing.T) {
	h := New(DefaultConfig())
	h.Record(t0, "e", 1, 5*time.Second, 0)
	assert.Assert(t, !h.Record(after(1), "e", 1, time.Second, 0))
	assert.Equal(t, h.HeldFor(after(1), "e", 1), 4*time.Second)
	assert.Assert(t, h.Record(after(2), "e", 1, 5*time.Second, 0))
	assert.Equal(t, h.HeldFor(after(2), "e", 1), 5*time.Second)
	assert.Assert(t, !h.Record(after(2), "e", 1, 0, 0))
	assert.Assert(t, !h.Record(after(2), "e", 1, -time.Second, 0))
	assert.Equal(t, h.HeldFor(after(2), "e", 1), 5*time.Second)
}

// Guards against an endpoint that is lost for good because it named an absurd time,
// and against a time that overflows.
func TestHugeTimeIsBounded(t *testing.T) {
	h := New(DefaultConfig())
	h.Record(t0, "e", 1, math.MaxInt64, 0.999)
	assert.Assert(t, h.HeldFor(t0, "e", 1) > time.Hour-time.Second)
	assert.Assert(t, h.HeldFor(t0, "e", 1) < time.Hour+time.Second)
	// Its next incarnation is not held.
	assert.Equal(t, h.HeldFor(t0, "e", 2), time.Duration(0))
	assert.Assert(t, h.Admit(t0, "e", 2))
}

// Guards against a hold of the next incarnation that a late answer of the one before
// ends or begins.
func TestHoldBelongsToAnIncarnation(t *testing.T) {
	h := New(DefaultConfig())
	h.Record(t0, "e", 2, time.Second, 0)
	assert.Assert(t, !h.Record(t0, "e", 1, time.Minute, 0))
	assert.Equal(t, h.HeldFor(t0, "e", 2), time.Second)
	assert.Equal(t, h.HeldFor(t0, "e", 1), time.Second)
	// A shorter hold of the next incarnation replaces that of the one before.
	assert.Assert(t, h.Record(t0, "e", 3, time.Millisecond, 0))
	assert.Equal(t, h.HeldFor(t0, "e", 3), time.Millisecond)
	// An endpoint without a start is held as well.
	h.Record(t0, "f", 0, time.Second, 0)
	assert.Equal(t, h.HeldFor(t0, "f", 0), time.Second)
	assert.Equal(t, h.HeldFor(t0, "f", 9), time.Second)
}

// Guards against requests that all reach an endpoint when its hold ends: ten a
// millisecond ask, and an answer takes 100 ms.
func TestRequestsComeBackGradually(t *testing.T) {
	h := New(DefaultConfig())
	h.Record(t0, "e", 1, time.Second, 0)
	var answers []time.Time
	sent := make(map[int]int)
	for ms := range 4000 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		for len(answers) > 0 && !answers[0].After(now) {
			h.RecordAnswer("e")
			answers = answers[1:]
		}
		for range 10 {
			held := h.HeldFor(now, "e", 1)
			admitted := h.Admit(now, "e", 1)
			assert.Equal(t, admitted, held == 0)
			if admitted {
				sent[ms/100]++
				answers = append(answers, now.Add(100*time.Millisecond))
			}
		}
	}
	for round := range 10 {
		assert.Equal(t, sent[round], 0)
	}
	assert.Equal(t, sent[10], 1)
	assert.Equal(t, sent[11], 2)
	assert.Equal(t, sent[12], 4)
	assert.Assert(t, sent[20] == 1000, "%d", sent[20])
	assert.Equal(t, len(h.holds), 0)
}

// Guards against an endpoint that gets no requests any more because the first one
// after the hold was lost.
func TestLostTrialDoesNotHoldRequestsBack(t *testing.T) {
	h := New(DefaultConfig())
	h.Record(t0, "e", 1, time.Second, 0)
	assert.Assert(t, h.Admit(after(5), "e", 1))
	assert.Assert(t, !h.Admit(after(6.9), "e", 1))
	wait := h.HeldFor(after(6.9), "e", 1)
	assert.Assert(t, wait > 0 && wait <= 100*time.Millisecond, "%v", wait)
	assert.Assert(t, h.Admit(after(7), "e", 1))
	assert.Assert(t, h.Admit(after(7), "e", 1))
}

// Guards against an endpoint that turns the first request after a hold away and gets
// others all the same.
func TestTrialThatIsTurnedAwayBeginsTheNextHold(t *testing.T) {
	h := New(DefaultConfig())
	h.Record(t0, "e", 1, time.Second, 0)
	assert.Assert(t, h.Admit(after(1), "e", 1))
	h.Record(after(1.1), "e", 1, time.Second, 0)
	assert.Assert(t, !h.Admit(after(2), "e", 1))
	assert.Assert(t, h.Admit(after(2.1), "e", 1))
	assert.Assert(t, !h.Admit(after(2.1), "e", 1))
}

// Guards against VMs that an overloaded endpoint turned away together and that come
// back in the same instant: 70 VMs, a hold of 2 s.
func TestVMsComeBackApart(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	perSlot := make(map[int]int)
	for range 70 {
		h := New(DefaultConfig())
		h.Record(t0, "e", 1, 2*time.Second, rng.Float64())
		perSlot[int(h.HeldFor(t0, "e", 1)/(50*time.Millisecond))]++
	}
	for slot, count := range perSlot {
		assert.Assert(t, slot >= 40 && slot < 50, "slot %d", slot)
		assert.Assert(t, count < 20, "%d VMs within 50 ms", count)
	}
}

// Guards against a hold that ends with a lost entry, and against holds that use up
// memory.
func TestHoldsAreBounded(t *testing.T) {
	config := DefaultConfig()
	config.MaxUnlisted = 10
	h := New(config)
	listed := func(starts map[ids.EndpointID]int64) func(ids.EndpointID) (int64, bool) {
		return func(id ids.EndpointID) (int64, bool) {
			started, found := starts[id]
			return started, found
		}
	}
	h.Record(t0, "e", 1, 3*time.Second, 0)
	h.Prune(after(1), listed(nil))
	assert.Assert(t, h.HeldFor(after(1), "e", 1) > 0)
	h.Prune(after(2), listed(map[ids.EndpointID]int64{"e": 2}))
	assert.Equal(t, len(h.holds), 0)
	for i := range 1000 {
		h.Record(after(float64(i)), ids.EndpointID(fmt.Sprint(i)), 1, time.Hour, 0)
		h.Prune(after(float64(i)), listed(nil))
		assert.Assert(t, len(h.holds) <= config.MaxUnlisted)
	}
	assert.Assert(t, h.HeldFor(after(1000), "999", 1) > 0)
	h.Prune(after(2*3600), listed(nil))
	assert.Equal(t, len(h.holds), 0)
}
