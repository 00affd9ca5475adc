package engine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// admitted reports whether the request has entered the batch.
func admitted(w *waiter) bool {
	select {
	case <-w.admitted:
		return true
	default:
		return false
	}
}

// Guards against a batch that exceeds its limit, ignores priorities, or loses a
// place when a waiting request gives up.
func TestBatchLimitAndPriority(t *testing.T) {
	b := batch{limit: 1}
	first, low, high, gone := b.enter(0), b.enter(9), b.enter(1), b.enter(0)
	assert.Assert(t, admitted(first) && !admitted(low) && !admitted(high) && !admitted(gone))
	b.leave(gone)
	b.leave(first)
	assert.Assert(t, admitted(high) && !admitted(low))
	b.leave(high)
	assert.Assert(t, admitted(low))
	b.leave(low)
	assert.Equal(t, b.running, 0)
}
