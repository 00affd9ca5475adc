package node

import (
	"context"
	"time"
)

// wakeSignal starts the next round of a loop before its pause is over.
type wakeSignal chan struct{}

func newWakeSignal() wakeSignal { return make(wakeSignal, 1) }

// wake starts the next round at once. It never blocks.
func (s wakeSignal) wake() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// wait returns after a pause, or earlier if the loop is woken or ctx ends.
func (s wakeSignal) wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s:
	}
}
