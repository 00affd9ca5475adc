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

// verdict is the end of a wait for tokens.
type verdict struct {
	charge  *limits.Charge
	refusal limits.Refusal
}

// tokens drives limits.Table: it sends its messages, keeps its timers and
// wakes the requests that wait for tokens.
type tokens struct {
	table *limits.Table
	// ask sends one borrow request and returns the reply.
	ask func(limits.BorrowMessage) (peer.LimitsBorrowReply, error)
	// giveBack sends one return; it may be lost.
	giveBack func(limits.ReturnMessage)

	mu    sync.Mutex
	waits map[limits.Ticket]chan verdict
	// early holds verdicts that came before their wait was registered.
	early map[limits.Ticket]verdict
	wakes map[ids.CustomerID]*time.Timer
}

func newTokens(table *limits.Table) *tokens {
	return &tokens{
		table: table,
		waits: make(map[limits.Ticket]chan verdict),
		early: make(map[limits.Ticket]verdict),
		wakes: make(map[ids.CustomerID]*time.Timer),
	}
}

// admit charges a request, waiting for tokens if need be.
func (t *tokens) admit(ctx context.Context, customer ids.CustomerID, cost int64, deadline time.Time) (*limits.Charge, *callers.Refusal) {
	decision := t.table.Admit(time.Now(), customer, cost, deadline)
	t.carryOut(customer, decision.Outcome)
	switch decision.Verdict {
	case limits.Granted:
		return decision.Charge, nil
	case limits.Refused:
		return nil, refusalOfLimits(decision.Reason, decision.RetryAfter)
	}
	wait := t.register(decision.Ticket)
	select {
	case end := <-wait:
		if end.charge != nil {
			return end.charge, nil
		}
		return nil, refusalOfLimits(end.refusal.Reason, end.refusal.RetryAfter)
	case <-ctx.Done():
		t.cancel(customer, decision.Ticket, wait)
		return nil, refusalWhileWaiting(ctx)
	}
}

// refusalWhileWaiting tells why a request that waited for tokens does not run.
// A deadline that passed meanwhile is the customer's rate at work, not a
// failure of the service.
func refusalWhileWaiting(ctx context.Context) *callers.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return callers.NotRun(inferencev1.Reason_REASON_RATE_EXCEEDED, "the customer's tokens did not suffice before the deadline")
	}
	return callers.NotRun(inferencev1.Reason_REASON_DEADLINE, "the caller left while its request waited for tokens")
}

func (t *tokens) register(ticket limits.Ticket) chan verdict {
	wait := make(chan verdict, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if end, ok := t.early[ticket]; ok {
		delete(t.early, ticket)
		wait <- end
		return wait
	}
	t.waits[ticket] = wait
	return wait
}

// crossingTerm is how long after a cancellation a grant that crossed it may
// still be on its way from another goroutine.
const crossingTerm = time.Second

// cancel ends a wait. A grant that crossed the cancellation is refunded.
func (t *tokens) cancel(customer ids.CustomerID, ticket limits.Ticket, wait chan verdict) {
	t.carryOut(customer, t.table.Cancel(time.Now(), customer, ticket))
	time.AfterFunc(crossingTerm, func() {
		t.mu.Lock()
		delete(t.waits, ticket)
		t.mu.Unlock()
		select {
		case end := <-wait:
			if end.charge != nil {
				t.refund(end.charge, end.charge.Cost)
			}
		default:
		}
	})
}

// refund ends a charge and gives back its unused part, which may be zero. The
// table keeps a mark for each charge until then.
func (t *tokens) refund(charge *limits.Charge, unused int64) {
	if charge == nil {
		return
	}
	_, outcome := t.table.Refund(time.Now(), charge, unused)
	t.carryOut(charge.Customer, outcome)
}

// carryOut does what a decision asks for.
func (t *tokens) carryOut(customer ids.CustomerID, outcome limits.Outcome) {
	t.mu.Lock()
	for _, grant := range outcome.Granted {
		t.deliver(grant.Ticket, verdict{charge: grant.Charge})
	}
	for _, refusal := range outcome.Refused {
		t.deliver(refusal.Ticket, verdict{refusal: refusal})
	}
	if !outcome.WakeAt.IsZero() {
		t.wakeAt(customer, outcome.WakeAt)
	}
	t.mu.Unlock()
	for _, ask := range outcome.BorrowRequests {
		go t.borrow(customer, ask)
	}
	for _, r := range outcome.Returns {
		go t.giveBack(r)
	}
}

// deliver is called with the lock held.
func (t *tokens) deliver(ticket limits.Ticket, end verdict) {
	if wait, ok := t.waits[ticket]; ok {
		delete(t.waits, ticket)
		wait <- end
		return
	}
	t.early[ticket] = end
}

// wakeAt is called with the lock held.
func (t *tokens) wakeAt(customer ids.CustomerID, at time.Time) {
	if timer := t.wakes[customer]; timer != nil {
		timer.Reset(time.Until(at))
		return
	}
	t.wakes[customer] = time.AfterFunc(time.Until(at), func() {
		t.carryOut(customer, t.table.Wake(time.Now(), customer))
	})
}

func (t *tokens) borrow(customer ids.CustomerID, ask limits.BorrowMessage) {
	reply, err := t.ask(ask)
	if err != nil {
		return
	}
	t.carryOut(customer, t.table.HandleBorrowReply(time.Now(), reply))
}

// remove forgets a customer whose record was withdrawn.
func (t *tokens) remove(customer ids.CustomerID) {
	t.carryOut(customer, t.table.Remove(time.Now(), customer))
}

// stop ends the timers.
func (t *tokens) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, timer := range t.wakes {
		timer.Stop()
	}
}

func refusalOfLimits(reason limits.Reason, retryAfter time.Duration) *callers.Refusal {
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

// handleLimits registers the messages of customer limits.
func (d *Daemon) handleLimits(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodLimitsBorrow, func(_ context.Context, _ peers.Sender, request peer.LimitsBorrowRequest) (peer.LimitsBorrowReply, error) {
		return d.tokens.table.Lend(time.Now(), request), nil
	})
	peers.Handle(registry, peer.MethodLimitsReturn, func(_ context.Context, _ peers.Sender, message peer.LimitsReturn) (struct{}, error) {
		d.tokens.carryOut(message.Customer, d.tokens.table.HandleReturn(time.Now(), message))
		return struct{}{}, nil
	})
}

// connectLimits lets the limits send their messages.
func (d *Daemon) connectLimits() {
	d.tokens.ask = func(ask limits.BorrowMessage) (peer.LimitsBorrowReply, error) {
		return peers.Call[peer.LimitsBorrowReply](d.ctx, d.peers, ask.To, peer.MethodLimitsBorrow, d.peerTimeout(ask.To), ask.Request)
	}
	d.tokens.giveBack = func(r limits.ReturnMessage) {
		_, _ = peers.Call[struct{}](d.ctx, d.peers, r.To, peer.MethodLimitsReturn, d.peerTimeout(r.To), r.Message)
	}
}
