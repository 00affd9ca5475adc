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
	for _, step := range []struct{ delay, end time.Duration }{
		{0, 7700 * time.Millisecond},
		{turnInterval, 7800 * time.Millisecond},
		{600 * time.Millisecond, 7300 * time.Millisecond},
		{1100 * time.Millisecond, 6840 * time.Millisecond},
		{3100 * time.Millisecond, 6840 * time.Millisecond},
		{-time.Second, 6700 * time.Millisecond},
	} {
		began := asked.Add(step.delay)
		schedule := scheduleDrain(asked, began, grace)
		assert.Equal(t, schedule.end.Sub(asked), step.end, "delay %v", step.delay)
		assert.Equal(t, schedule.end.Sub(schedule.answerBy), 200*time.Millisecond)
		assert.Equal(t, schedule.stopListening.Sub(began), drainListenTime)
		assert.Assert(t, schedule.answerBy.After(schedule.stopListening))
		assert.Assert(t, step.delay < 0 || schedule.end.Sub(asked) > grace*5/6, "answers that have begun are cut too early")
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
