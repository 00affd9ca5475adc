package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// waitResult is the result of a wait for tokens: a charge, or a refusal if
// charge is nil.
type waitResult struct {
	charge  *limits.Charge
	refusal limits.Refusal
}

// tokenLimiter connects limits.Table to the network and to requests: it sends
// the table's messages, runs its timers and wakes the requests that wait for
// tokens.
type tokenLimiter struct {
	table *limits.Table
	// sendBorrow sends one borrow request and returns the reply.
	sendBorrow func(limits.BorrowMessage) (peer.LimitsBorrowReply, error)
	// sendReturn sends one return of borrowed tokens; the message may be
	// lost.
	sendReturn func(limits.ReturnMessage)

	mu      sync.Mutex
	waiting map[limits.Ticket]chan waitResult
	// earlyResults holds results that arrived before their wait was
	// registered.
	earlyResults map[limits.Ticket]waitResult
	// wakeTimers wake the table for customers whose requests wait.
	wakeTimers map[ids.CustomerID]*time.Timer
}

func newTokenLimiter(table *limits.Table) *tokenLimiter {
	return &tokenLimiter{
		table:        table,
		waiting:      make(map[limits.Ticket]chan waitResult),
		earlyResults: make(map[limits.Ticket]waitResult),
		wakeTimers:   make(map[ids.CustomerID]*time.Timer),
	}
}

// admit charges a request to its customer, after a wait for tokens if
// necessary.
func (t *tokenLimiter) admit(ctx context.Context, customer ids.CustomerID, cost int64, deadline time.Time) (*limits.Charge, *callers.Refusal) {
	decision := t.table.Admit(time.Now(), customer, cost, deadline)
	t.applyOutcome(customer, decision.Outcome)
	switch decision.Verdict {
	case limits.Granted:
		return decision.Charge, nil
	case limits.Refused:
		return nil, limitsRefusal(decision.Reason, decision.RetryAfter)
	}
	wait := t.registerWait(decision.Ticket)
	select {
	case result := <-wait:
		if result.charge != nil {
			return result.charge, nil
		}
		return nil, limitsRefusal(result.refusal.Reason, result.refusal.RetryAfter)
	case <-ctx.Done():
		t.cancelWait(customer, decision.Ticket, wait)
		return nil, waitRefusal(ctx)
	}
}

// waitRefusal returns the refusal of a request whose wait for tokens was cut
// short. If the deadline passed during the wait, the reason is the customer's
// rate, not a failure of the service.
func waitRefusal(ctx context.Context) *callers.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return callers.NotRun(inferencev1.Reason_REASON_RATE_EXCEEDED, "the customer's tokens did not suffice before the deadline")
	}
	return callers.NotRun(inferencev1.Reason_REASON_DEADLINE, "the caller left while its request waited for tokens")
}

// registerWait returns the channel that receives a ticket's result.
func (t *tokenLimiter) registerWait(ticket limits.Ticket) chan waitResult {
	wait := make(chan waitResult, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if result, ok := t.earlyResults[ticket]; ok {
		delete(t.earlyResults, ticket)
		wait <- result
		return wait
	}
	t.waiting[ticket] = wait
	return wait
}

// lateGrantWindow is how long after a cancellation a grant made at the same
// time may still arrive from another goroutine.
const lateGrantWindow = time.Second

// cancelWait ends a wait. A grant made at the same time is refunded.
func (t *tokenLimiter) cancelWait(customer ids.CustomerID, ticket limits.Ticket, wait chan waitResult) {
	t.applyOutcome(customer, t.table.Cancel(time.Now(), customer, ticket))
	time.AfterFunc(lateGrantWindow, func() {
		t.mu.Lock()
		delete(t.waiting, ticket)
		t.mu.Unlock()
		select {
		case result := <-wait:
			if result.charge != nil {
				t.refund(result.charge, result.charge.Cost)
			}
		default:
		}
	})
}

// refund ends a charge and gives back its unused part, which may be zero. It
// must be called for each charge, because the table keeps an entry for it
// until then.
func (t *tokenLimiter) refund(charge *limits.Charge, unused int64) {
	if charge == nil {
		return
	}
	_, outcome := t.table.Refund(time.Now(), charge, unused)
	t.applyOutcome(charge.Customer, outcome)
}

// applyOutcome carries out what a decision of the table requires.
func (t *tokenLimiter) applyOutcome(customer ids.CustomerID, outcome limits.Outcome) {
	t.mu.Lock()
	for _, grant := range outcome.Granted {
		t.deliver(grant.Ticket, waitResult{charge: grant.Charge})
	}
	for _, refusal := range outcome.Refused {
		t.deliver(refusal.Ticket, waitResult{refusal: refusal})
	}
	if !outcome.WakeAt.IsZero() {
		t.scheduleWake(customer, outcome.WakeAt)
	}
	t.mu.Unlock()
	for _, message := range outcome.BorrowRequests {
		go t.borrow(customer, message)
	}
	for _, r := range outcome.Returns {
		go t.sendReturn(r)
	}
}

// deliver passes a result to the request that waits for it. The caller holds
// mu.
func (t *tokenLimiter) deliver(ticket limits.Ticket, result waitResult) {
	if wait, ok := t.waiting[ticket]; ok {
		delete(t.waiting, ticket)
		wait <- result
		return
	}
	t.earlyResults[ticket] = result
}

// scheduleWake sets a customer's wake timer. The caller holds mu.
func (t *tokenLimiter) scheduleWake(customer ids.CustomerID, at time.Time) {
	if timer := t.wakeTimers[customer]; timer != nil {
		timer.Reset(time.Until(at))
		return
	}
	t.wakeTimers[customer] = time.AfterFunc(time.Until(at), func() {
		t.applyOutcome(customer, t.table.Wake(time.Now(), customer))
	})
}

// borrow sends a borrow request and applies the reply. Errors are ignored.
func (t *tokenLimiter) borrow(customer ids.CustomerID, message limits.BorrowMessage) {
	reply, err := t.sendBorrow(message)
	if err != nil {
		return
	}
	t.applyOutcome(customer, t.table.HandleBorrowReply(time.Now(), reply))
}

// removeCustomer removes a customer whose record was deleted.
func (t *tokenLimiter) removeCustomer(customer ids.CustomerID) {
	t.applyOutcome(customer, t.table.Remove(time.Now(), customer))
}

// stopTimers stops the wake timers.
func (t *tokenLimiter) stopTimers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, timer := range t.wakeTimers {
		timer.Stop()
	}
}

// limitsRefusal translates a refusal by the limits into one for the caller.
func limitsRefusal(reason limits.Reason, retryAfter time.Duration) *callers.Refusal {
	var refusal *callers.Refusal
	switch reason {
	case limits.ReasonTooLarge:
		return callers.NotRun(inferencev1.Reason_REASON_COST_ABOVE_LIMIT, "the request costs more tokens than its customer can ever have at once")
	case limits.ReasonUnknown:
		refusal = callers.NotRun(inferencev1.Reason_REASON_NOT_READY, "this VM has no limits of the customer yet")
	default:
		refusal = callers.NotRun(inferencev1.Reason_REASON_RATE_EXCEEDED, "the customer is over its rate")
	}
	refusal.RetryAfter = retryAfter
	return refusal
}

// handleLimits registers the handlers of messages about customers' limits.
func (d *Daemon) handleLimits(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodLimitsBorrow, func(_ context.Context, _ peers.Sender, request peer.LimitsBorrowRequest) (peer.LimitsBorrowReply, error) {
		return d.limiter.table.Lend(time.Now(), request), nil
	})
	peers.Handle(registry, peer.MethodLimitsReturn, func(_ context.Context, _ peers.Sender, message peer.LimitsReturn) (struct{}, error) {
		d.limiter.applyOutcome(message.Customer, d.limiter.table.HandleReturn(time.Now(), message))
		return struct{}{}, nil
	})
}

// connectLimiter lets the limiter send messages to other VMs.
func (d *Daemon) connectLimiter() {
	d.limiter.sendBorrow = func(message limits.BorrowMessage) (peer.LimitsBorrowReply, error) {
		return peers.Call[peer.LimitsBorrowReply](d.ctx, d.peers, message.To, peer.MethodLimitsBorrow, d.peerTimeout(message.To), message.Request)
	}
	d.limiter.sendReturn = func(r limits.ReturnMessage) {
		_, _ = peers.Call[struct{}](d.ctx, d.peers, r.To, peer.MethodLimitsReturn, d.peerTimeout(r.To), r.Message)
	}
}
