package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/handover"
)

// Guards against a search for another endpoint that a timer starts late, after a time in
// which the process read nothing from the endpoint.
func TestLateTimerStartsNoSearch(t *testing.T) {
	const limit = time.Second
	silentSince := time.Now().Add(-limit - 500*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Without a node and a request, a search would panic.
	s := &silenceWatch{ctx: ctx, cancel: cancel, watch: handover.New(silentSince, limit), due: silentSince.Add(limit), timer: time.NewTimer(time.Hour)}
	s.search()
	wait, watched := s.watch.UntilSearch(time.Now())
	assert.Assert(t, watched && wait > 400*time.Millisecond, "searched again in %v", wait)
	assert.NilError(t, ctx.Err())
}
