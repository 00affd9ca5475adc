package engine

import (
	"context"
	"slices"
	"time"
)

// batch admits requests to the running batch by priority.
type batch struct {
	limit   int
	running int
	waiting []*waiter
	order   uint64
	// since is when the batch was last accounted for.
	since time.Time
}

// waiter is a request that waits for a place in the batch.
type waiter struct {
	priority int32
	order    uint64
	admitted chan struct{}
}

// enter takes a place in the batch, or returns a waiter that gets one later.
func (b *batch) enter(priority int32) *waiter {
	b.order++
	w := &waiter{priority: priority, order: b.order, admitted: make(chan struct{})}
	if b.running < b.limit {
		b.running++
		close(w.admitted)
		return w
	}
	at, _ := slices.BinarySearchFunc(b.waiting, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return int(a.priority) - int(b.priority)
		}
		return int(a.order) - int(b.order)
	})
	b.waiting = slices.Insert(b.waiting, at, w)
	return w
}

// leave gives up a place in the batch or in the queue.
func (b *batch) leave(w *waiter) {
	if at := slices.Index(b.waiting, w); at >= 0 {
		b.waiting = slices.Delete(b.waiting, at, at+1)
		return
	}
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(b.waiting[0].admitted)
	b.waiting = b.waiting[1:]
}

// admission is the hold of one request on its adapter and on the batch.
type admission struct {
	waiter  *waiter
	adapter *adapter
	life    context.Context
}
