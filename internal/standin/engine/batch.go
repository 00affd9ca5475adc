package engine

import (
	"context"
	"slices"
	"time"
)

// batch admits requests to the continuous batch in order of priority, lowest
// value first, and of arrival within a priority. Engine.mu guards it.
type batch struct {
	limit        int
	running      int
	waiting      []*waiter
	lastSequence uint64
	// accountedUntil is the time up to which the counters include the use of
	// the batch.
	accountedUntil time.Time
}

// waiter is a request in the batch or in its queue. admitted is closed when the
// request enters the batch.
type waiter struct {
	priority int32
	sequence uint64
	admitted chan struct{}
}

// enter adds a request to the batch or, if the batch is full, to the queue.
func (b *batch) enter(priority int32) *waiter {
	b.lastSequence++
	w := &waiter{priority: priority, sequence: b.lastSequence, admitted: make(chan struct{})}
	if b.running < b.limit {
		b.running++
		close(w.admitted)
		return w
	}
	index, _ := slices.BinarySearchFunc(b.waiting, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return int(a.priority) - int(b.priority)
		}
		return int(a.sequence) - int(b.sequence)
	})
	b.waiting = slices.Insert(b.waiting, index, w)
	return w
}

// leave removes a request from the batch or from the queue. If it leaves the
// batch, the first request of the queue takes its place.
func (b *batch) leave(w *waiter) {
	if index := slices.Index(b.waiting, w); index >= 0 {
		b.waiting = slices.Delete(b.waiting, index, index+1)
		return
	}
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(b.waiting[0].admitted)
	b.waiting = b.waiting[1:]
}

// reservation is the claim of one request on its adapter and on a place in the
// batch or its queue. bootCtx is the boot in which it was made.
type reservation struct {
	waiter  *waiter
	adapter *adapter
	bootCtx context.Context
}
