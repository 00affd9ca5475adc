package node

import (
	"context"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a drain that counts the whole grace time from when it begins, although the
// signal was seen late, and against one that ends before it has answered.
func TestScheduleOfALateDrain(t *testing.T) {
	const grace = 8 * time.Second
	asked := time.Unix(1000, 0)
	for _, step := range []struct{ delay, answerBy, cutAt, end time.Duration }{
		{0, 7500 * time.Millisecond, 7700 * time.Millisecond, 7850 * time.Millisecond},
		{turnInterval, 7600 * time.Millisecond, 7800 * time.Millisecond, 7950 * time.Millisecond},
		{600 * time.Millisecond, 7100 * time.Millisecond, 7400 * time.Millisecond, 7950 * time.Millisecond},
		{1100 * time.Millisecond, 6640 * time.Millisecond, 7900 * time.Millisecond, 7950 * time.Millisecond},
		{3100 * time.Millisecond, 6640 * time.Millisecond, 9900 * time.Millisecond, 9900 * time.Millisecond},
		{-time.Second, 6500 * time.Millisecond, 6700 * time.Millisecond, 6850 * time.Millisecond},
	} {
		began := asked.Add(step.delay)
		schedule := scheduleDrain(asked, began, grace)
		assert.Equal(t, schedule.answerBy.Sub(asked), step.answerBy, "delay %v", step.delay)
		assert.Equal(t, schedule.cutAt.Sub(asked), step.cutAt, "delay %v", step.delay)
		assert.Equal(t, schedule.end.Sub(asked), step.end, "delay %v", step.delay)
		assert.Equal(t, schedule.stopListening.Sub(began), drainListenTime)
		// A signal that arrived as late as the drain began has the same grace time.
		assert.Assert(t, step.delay < 0 || schedule.cutAt.Sub(began) > grace*5/6, "answers that have begun are cut too early")
	}
}

// Guards against requests that a late drain still admits 3 s after the signal or later, and
// that are killed with the process at the end of the grace time.
func TestLateDrainRefusesLongRequestsFromTheSignalOn(t *testing.T) {
	const grace = 8 * time.Second
	asked := time.Unix(1000, 0)
	var none *drainSchedule
	assert.Assert(t, !none.refuses(asked, asked.Add(time.Hour)))
	for _, delay := range []time.Duration{0, turnInterval, 600 * time.Millisecond, 1600 * time.Millisecond, 3100 * time.Millisecond} {
		schedule := scheduleDrain(asked, asked.Add(delay), grace)
		for after := delay; after < grace; after += 50 * time.Millisecond {
			arrived := asked.Add(after)
			refused := schedule.refuses(arrived, arrived.Add(grace))
			assert.Assert(t, refused || after < drainListenTime+turnInterval, "delay %v: admitted %v after the signal", delay, after)
			assert.Assert(t, !schedule.refuses(arrived, schedule.answerBy), "delay %v: a request that ends in time is refused", delay)
		}
	}
}

// Guards against a signal that counts as recent although it waited for a turn of this
// process, which many ready goroutines share.
func TestEndThatWaitsForATurnIsSeenAsLate(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(context.Background())
	seen := make(chan time.Time, 1)
	go func() { seen <- awaitEnd(ctx) }()
	time.Sleep(3 * turnInterval)
	busyUntil := time.Now().Add(time.Second)
	for range 30 {
		go func() {
			for time.Now().Before(busyUntil) {
			}
		}()
	}
	ended := time.Now()
	cancel()
	assert.Assert(t, !(<-seen).After(ended))
}
