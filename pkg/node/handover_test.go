package node

import (
	"context"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/handover"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
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

// Guards against a stream that is taken from a sound endpoint whose bytes have arrived, but
// whose reader had no turn since.
func TestReaderHasATurnBeforeTheHandover(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const limit = time.Second
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Without a node, a handover would panic.
	s := &silenceWatch{
		ctx: ctx, cancel: cancel, watch: handover.New(now.Add(-limit), limit), due: now, timer: time.NewTimer(time.Hour),
		request: &requestState{excluded: make(map[ids.EndpointID]bool)},
	}
	s.find = func(context.Context, *requestState) (*serving.Endpoint, *refusal) {
		go s.progress(limit)
		return &serving.Endpoint{}, nil
	}
	s.search()
	assert.Assert(t, s.replacement == nil)
	assert.NilError(t, ctx.Err())
}
