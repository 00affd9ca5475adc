package handover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/handover"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an answer that ends although its endpoint has gone on while
// another one was looked for.
func TestEndpointThatGoesOnKeepsItsRequest(t *testing.T) {
	w := handover.New(at(0), time.Second)
	wait, watched := w.UntilSearch(at(400))
	assert.Assert(t, watched)
	assert.Equal(t, wait, 600*time.Millisecond)
	assert.Assert(t, !w.MayHandOver(at(999)))
	wait, _ = w.UntilSearch(at(1000))
	assert.Equal(t, wait, time.Duration(0))
	assert.Assert(t, w.MayHandOver(at(1000)))
	w.Progress(at(1200), time.Second)
	assert.Assert(t, !w.MayHandOver(at(1000)), "the endpoint has gone on since the search began")
	wait, _ = w.UntilSearch(at(1300))
	assert.Equal(t, wait, 900*time.Millisecond)
	assert.Assert(t, w.MayHandOver(at(2200)))
}

// Guards against a request that goes on at two endpoints: it has ended, or has
// been sent to as many as it may.
func TestNoHandOverAfterTheEndOrTheLastAttempt(t *testing.T) {
	w := handover.New(at(0), time.Second)
	w.End()
	_, watched := w.UntilSearch(at(2000))
	assert.Assert(t, !watched)
	assert.Assert(t, !w.MayHandOver(at(2000)))

	w = handover.New(at(0), time.Second)
	w.Progress(at(100), 0)
	_, watched = w.UntilSearch(at(2000))
	assert.Assert(t, !watched)
	assert.Assert(t, !w.MayHandOver(at(2000)))
}

// Guards against a slow caller whose stream is taken from a sound endpoint: the
// endpoint isn't silent while its bytes wait for the caller.
func TestWaitForTheCallerIsNoSilence(t *testing.T) {
	w := handover.New(at(0), time.Second)
	w.Hold()
	wait, watched := w.UntilSearch(at(5000))
	assert.Assert(t, watched && wait > 0)
	assert.Assert(t, !w.MayHandOver(at(5000)))
	w.Release(at(5000))
	wait, _ = w.UntilSearch(at(5000))
	assert.Equal(t, wait, time.Second)
	assert.Assert(t, !w.MayHandOver(at(5500)))
	assert.Assert(t, w.MayHandOver(at(6000)))
}

// Guards against a stream that is cut while its caller still waits, or that goes
// on when the caller has given up.
func TestBrokenStreamMayGoOnWhileItsCallerWaits(t *testing.T) {
	for _, c := range []struct{ objective, pause, patience time.Duration }{
		{200 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second},
		{time.Second, 300 * time.Millisecond, 4 * time.Second},
		{200 * time.Millisecond, 300 * time.Millisecond, 2400 * time.Millisecond},
	} {
		assert.Equal(t, handover.ResumeBy(at(0), c.objective, c.pause).Sub(at(0)), c.patience)
	}
}

// Guards against a stream that is taken from a sound endpoint, since the process had no turn
// to read what the endpoint sent: a late search gives it as much further time.
func TestLateSearchIsPostponed(t *testing.T) {
	w := handover.New(at(0), time.Second)
	assert.Assert(t, w.MayHandOver(at(1600)))
	assert.Assert(t, w.Postpone(at(1600), 600*time.Millisecond))
	assert.Assert(t, !w.MayHandOver(at(2100)))
	wait, watched := w.UntilSearch(at(1600))
	assert.Assert(t, watched)
	assert.Equal(t, wait, 600*time.Millisecond)
	assert.Assert(t, w.MayHandOver(at(2200)))
}

// Guards against an endpoint that is never given up by a process whose timers are always
// late.
func TestSearchIsPostponedByItsLimitAtMost(t *testing.T) {
	w := handover.New(at(0), time.Second)
	now, postponed := at(1000), 0
	for ; w.Postpone(now, 300*time.Millisecond); postponed++ {
		wait, _ := w.UntilSearch(now)
		now = now.Add(wait)
	}
	assert.Equal(t, postponed, 4)
	assert.Equal(t, now.Sub(at(0)), 2*time.Second)
	assert.Assert(t, w.MayHandOver(now))
	w.Progress(now, time.Second)
	assert.Assert(t, w.Postpone(now.Add(2*time.Second), time.Second))
	w.End()
	assert.Assert(t, !w.Postpone(now.Add(time.Hour), time.Second))
}
