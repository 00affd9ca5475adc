package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// loadRight allows one load from the weight store.
type loadRight struct {
	charge *limits.Charge
	use    uint64
}

const (
	// rightWait bounds one wait for the right to load.
	rightWait = 5 * time.Second
	// rightTerm is how long an unused right is kept before it is given back.
	rightTerm = time.Second
	// slotRetry bounds the pause between two tries for a slot.
	slotRetry = 250 * time.Millisecond
)

// loadRights collects rights to load in the background, because the planner
// asks for them without waiting.
type loadRights struct {
	daemon *Daemon
	slots  *limits.Slots

	mu    sync.Mutex
	ready []loadRight
	inUse []loadRight
	// wanted is the number of rights that are being collected.
	wanted int
	// maxWanted bounds it; more at once only wait for each other.
	maxWanted int
}

// AcquireLoadPermit implements part of placement.Gate.
func (r *loadRights) AcquireLoadPermit(time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ready) == 0 {
		if r.wanted < r.maxWanted {
			r.wanted++
			go r.collect()
		}
		return false
	}
	last := len(r.ready) - 1
	r.inUse = append(r.inUse, r.ready[last])
	r.ready = r.ready[:last]
	return true
}

// AcquireSpareLoadPermit implements placement.ReservingGate. The fill of this VM's bucket
// stands for that of the fleet, because VMs lend each other the store's tokens.
func (r *loadRights) AcquireSpareLoadPermit(now time.Time, reserve float64) bool {
	if r.daemon.tokens.table.FillRatio(now, limits.StoreLoadsCustomer) < reserve {
		return false
	}
	return r.AcquireLoadPermit(now)
}

// ReleaseLoadPermit implements part of placement.Gate. Rights are alike, so it ends any
// of those in use.
func (r *loadRights) ReleaseLoadPermit(now time.Time, used, known bool) {
	r.mu.Lock()
	if len(r.inUse) == 0 {
		r.mu.Unlock()
		return
	}
	last := len(r.inUse) - 1
	right := r.inUse[last]
	r.inUse = r.inUse[:last]
	r.mu.Unlock()
	if !used {
		r.daemon.tokens.refund(right.charge, right.charge.Cost)
	}
	if known {
		r.release(right.use)
		return
	}
	time.AfterFunc(limits.DefaultSlotConfig().MaxUse, func() { r.release(right.use) })
}

// collect waits for one load's tokens and slot, and wakes the planner.
func (r *loadRights) collect() {
	ctx, cancel := context.WithTimeout(r.daemon.ctx, rightWait)
	defer cancel()
	right, ok := r.wait(ctx)
	r.mu.Lock()
	r.wanted--
	if ok {
		r.ready = append(r.ready, right)
	}
	r.mu.Unlock()
	if ok {
		r.daemon.owner.wake()
		time.AfterFunc(rightTerm, r.giveBackIdle)
	}
}

func (r *loadRights) wait(ctx context.Context) (loadRight, bool) {
	deadline, _ := ctx.Deadline()
	charge, refusal := r.daemon.tokens.admit(ctx, limits.StoreLoadsCustomer, limits.StoreLoadCost, deadline)
	if refusal != nil {
		return loadRight{}, false
	}
	for ctx.Err() == nil {
		decision := r.slots.Acquire(time.Now())
		r.sendReturns(decision.Returns)
		if decision.Use != 0 {
			return loadRight{charge: charge, use: decision.Use}, true
		}
		r.borrow(decision.BorrowRequests)
		pause := slotRetry
		if until := time.Until(decision.RetryAt); len(decision.BorrowRequests) > 0 {
			pause = 0
		} else if until > 0 {
			pause = min(pause, until)
		}
		sleep(ctx, pause)
	}
	r.daemon.tokens.refund(charge, charge.Cost)
	return loadRight{}, false
}

func (r *loadRights) borrow(asks []limits.SlotBorrowMessage) {
	var replies sync.WaitGroup
	for _, ask := range asks {
		replies.Go(func() {
			reply, err := peers.Call[peer.StoreBorrowReply](r.daemon.ctx, r.daemon.peers, ask.To, peer.MethodStoreBorrow, r.daemon.peerTimeout(ask.To), ask.Request)
			if err == nil {
				r.slots.HandleBorrowReply(time.Now(), reply)
			}
		})
	}
	replies.Wait()
}

func (r *loadRights) release(use uint64) {
	r.sendReturns(r.slots.Release(time.Now(), use))
}

func (r *loadRights) sendReturns(returns []limits.SlotReturnMessage) {
	for _, back := range returns {
		go func() {
			_, _ = peers.Call[struct{}](r.daemon.ctx, r.daemon.peers, back.To, peer.MethodStoreReturn, r.daemon.peerTimeout(back.To), back.Message)
		}()
	}
}

// giveBackIdle gives back rights that no load took.
func (r *loadRights) giveBackIdle() {
	r.mu.Lock()
	idle := r.ready
	r.ready = nil
	r.mu.Unlock()
	for _, right := range idle {
		r.daemon.tokens.refund(right.charge, right.charge.Cost)
		r.release(right.use)
	}
}

// handleStore registers the messages of the weight store's slots.
func (d *Daemon) handleStore(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodStoreBorrow, func(_ context.Context, _ peers.Sender, request peer.StoreBorrowRequest) (peer.StoreBorrowReply, error) {
		return d.rights.slots.Lend(time.Now(), request), nil
	})
	peers.Handle(registry, peer.MethodStoreReturn, func(_ context.Context, _ peers.Sender, message peer.StoreReturn) (struct{}, error) {
		d.rights.slots.HandleReturn(time.Now(), message)
		return struct{}{}, nil
	})
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
