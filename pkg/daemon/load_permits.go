package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// loadPermit allows one load from the weight store: it holds the load's
// tokens and a slot.
type loadPermit struct {
	charge *limits.Charge
	// slotUse identifies the use of the slot to limits.Slots.
	slotUse uint64
}

const (
	// permitWaitTimeout bounds the wait for one permit.
	permitWaitTimeout = 5 * time.Second
	// idlePermitTimeout is how long an unused permit is kept before it is
	// returned.
	idlePermitTimeout = time.Second
	// slotRetryDelay bounds the pause between two attempts to acquire a slot.
	slotRetryDelay = 250 * time.Millisecond
)

// loadPermits collects permits to load in the background, because the planner
// asks for them without waiting.
type loadPermits struct {
	daemon *Daemon
	slots  *limits.Slots

	mu        sync.Mutex
	available []loadPermit
	inUse     []loadPermit
	// collecting is the number of permits that are being collected.
	collecting int
	// maxCollecting bounds collecting; more at once would only wait for each
	// other.
	maxCollecting int
}

// AcquireLoadPermit implements part of placement.Gate.
func (r *loadPermits) AcquireLoadPermit(time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.available) == 0 {
		if r.collecting < r.maxCollecting {
			r.collecting++
			go r.collect()
		}
		return false
	}
	last := len(r.available) - 1
	r.inUse = append(r.inUse, r.available[last])
	r.available = r.available[:last]
	return true
}

// AcquireSpareLoadPermit implements placement.ReservingGate. It compares the
// reserve with the fill level of this VM's bucket, which approximates the
// fleet's, because VMs lend each other the store's tokens.
func (r *loadPermits) AcquireSpareLoadPermit(now time.Time, reserve float64) bool {
	if r.daemon.limiter.table.FillRatio(now, limits.StoreLoadsCustomer) < reserve {
		return false
	}
	return r.AcquireLoadPermit(now)
}

// ReleaseLoadPermit implements part of placement.Gate. All permits are
// equivalent, so it ends any of those in use.
func (r *loadPermits) ReleaseLoadPermit(now time.Time, used, ended bool) {
	r.mu.Lock()
	if len(r.inUse) == 0 {
		r.mu.Unlock()
		return
	}
	last := len(r.inUse) - 1
	permit := r.inUse[last]
	r.inUse = r.inUse[:last]
	r.mu.Unlock()
	if !used {
		r.daemon.limiter.refund(permit.charge, permit.charge.Cost)
	}
	if ended {
		r.releaseSlot(permit.slotUse)
		return
	}
	time.AfterFunc(limits.DefaultSlotConfig().MaxUse, func() { r.releaseSlot(permit.slotUse) })
}

// collect waits for one load's tokens and slot, and then requests a run of
// the planner.
func (r *loadPermits) collect() {
	ctx, cancel := context.WithTimeout(r.daemon.ctx, permitWaitTimeout)
	defer cancel()
	permit, ok := r.acquire(ctx)
	r.mu.Lock()
	r.collecting--
	if ok {
		r.available = append(r.available, permit)
	}
	r.mu.Unlock()
	if ok {
		r.daemon.ownershipDriver.requestPlan()
		time.AfterFunc(idlePermitTimeout, r.returnIdle)
	}
}

// acquire waits for a load's tokens and then for a slot. The tokens are
// refunded if no slot becomes free before ctx ends.
func (r *loadPermits) acquire(ctx context.Context) (loadPermit, bool) {
	deadline, _ := ctx.Deadline()
	charge, refusal := r.daemon.limiter.admit(ctx, limits.StoreLoadsCustomer, limits.StoreLoadCost, deadline)
	if refusal != nil {
		return loadPermit{}, false
	}
	for ctx.Err() == nil {
		decision := r.slots.Acquire(time.Now())
		r.sendReturns(decision.Returns)
		if decision.Use != 0 {
			return loadPermit{charge: charge, slotUse: decision.Use}, true
		}
		r.borrowSlots(decision.BorrowRequests)
		pause := slotRetryDelay
		if until := time.Until(decision.RetryAt); len(decision.BorrowRequests) > 0 {
			pause = 0
		} else if until > 0 {
			pause = min(pause, until)
		}
		sleep(ctx, pause)
	}
	r.daemon.limiter.refund(charge, charge.Cost)
	return loadPermit{}, false
}

// borrowSlots asks other VMs for slots and waits for their replies.
func (r *loadPermits) borrowSlots(messages []limits.SlotBorrowMessage) {
	var replies sync.WaitGroup
	for _, message := range messages {
		replies.Go(func() {
			reply, err := peers.Call[peer.StoreBorrowReply](r.daemon.ctx, r.daemon.peers, message.To, peer.MethodStoreBorrow, r.daemon.peerTimeout(message.To), message.Request)
			if err == nil {
				r.slots.HandleBorrowReply(time.Now(), reply)
			}
		})
	}
	replies.Wait()
}

// releaseSlot ends the use of a slot and returns borrowed slots that are due.
func (r *loadPermits) releaseSlot(use uint64) {
	r.sendReturns(r.slots.Release(time.Now(), use))
}

func (r *loadPermits) sendReturns(returns []limits.SlotReturnMessage) {
	for _, slotReturn := range returns {
		go func() {
			_, _ = peers.Call[struct{}](r.daemon.ctx, r.daemon.peers, slotReturn.To, peer.MethodStoreReturn, r.daemon.peerTimeout(slotReturn.To), slotReturn.Message)
		}()
	}
}

// returnIdle gives up the permits that no load has used.
func (r *loadPermits) returnIdle() {
	r.mu.Lock()
	idle := r.available
	r.available = nil
	r.mu.Unlock()
	for _, permit := range idle {
		r.daemon.limiter.refund(permit.charge, permit.charge.Cost)
		r.releaseSlot(permit.slotUse)
	}
}

// handleWeightStore registers the handlers of messages about the weight store's
// slots.
func (d *Daemon) handleWeightStore(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodStoreBorrow, func(_ context.Context, _ peers.Sender, request peer.StoreBorrowRequest) (peer.StoreBorrowReply, error) {
		return d.loadPermits.slots.Lend(time.Now(), request), nil
	})
	peers.Handle(registry, peer.MethodStoreReturn, func(_ context.Context, _ peers.Sender, message peer.StoreReturn) (struct{}, error) {
		d.loadPermits.slots.HandleReturn(time.Now(), message)
		return struct{}{}, nil
	})
}

// sleep waits for a duration or until ctx ends.
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
