package limits

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// maxCostTokens bounds the cost of a request in tokens, so that its millionths
// cannot overflow.
const maxCostTokens = maxLevelMicro / microPerToken

// Charge records what a granted request was charged. It can be refunded once.
type Charge struct {
	Customer ids.CustomerID
	// Cost is in tokens.
	Cost int64
	// chargedBucket is the bucket that the charge was taken from. A customer
	// that was removed and added again has a new bucket, which must not be
	// credited.
	chargedBucket *bucket
	seq           uint64
	closed        bool
}

// waiter is a request that waits for tokens.
type waiter struct {
	ticket   Ticket
	cost     int64
	since    int64
	deadline int64
}

// borrowedTokens are tokens from one lender, kept for the waiting requests.
// They must be used before they expire. ask is the id of the borrow request.
type borrowedTokens struct {
	amount    int64
	expiresAt int64
	lender    ids.VMID
	ask       uint64
}

// pendingBorrow is a borrow request without a reply so far.
type pendingBorrow struct {
	id     uint64
	lender ids.VMID
	sentAt int64
	need   int64
	// answered is used only by tests that switch off the rule against repeated
	// replies.
	answered bool
}

// Admit decides on a request with a cost in tokens. A request that cannot be
// granted at once waits until its deadline or for MaxWait, whichever ends
// sooner.
func (t *Table) Admit(now time.Time, customer ids.CustomerID, cost int64, deadline time.Time) Decision {
	sh := t.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[customer]
	if b == nil {
		return t.refuse(sh, ReasonUnknown, 0)
	}
	at := t.clock(b, now)
	s := t.update(b, at)
	cost = max(cost, 0)
	if cost > maxCostTokens || float64(cost) > t.usableBurst(b) {
		return t.refuse(sh, ReasonTooLarge, 0)
	}
	need := cost * microPerToken
	if len(b.waiting) == 0 && need <= b.level {
		decision := Decision{Verdict: Granted, Charge: t.charge(sh, b, s, at, need)}
		if at-b.lastAdmitAt < int64(prefetchActiveTime) {
			t.prefetch(sh, b, s, at, &decision.Outcome)
		}
		b.lastAdmitAt = at
		return decision
	}
	if len(b.waiting) >= t.cfg.MaxWaiting {
		return t.refuse(sh, ReasonOverRate, t.retryAfter(b, need))
	}
	waitUntil := min(t.nanos(deadline), at+int64(t.cfg.MaxWait))
	if waitUntil <= at {
		return t.refuse(sh, ReasonOverRate, t.retryAfter(b, need))
	}
	b.lastAdmitAt = at
	if len(b.waiting) == 0 {
		b.nonEmptySince = at
	}
	ticket := Ticket(t.lastTicket.Add(1))
	b.waiting = append(b.waiting, waiter{ticket: ticket, cost: need, since: at, deadline: waitUntil})
	sh.counters.Waited++
	decision := Decision{Verdict: Waiting, Ticket: ticket}
	t.process(sh, b, at, &decision.Outcome)
	return decision
}

func (t *Table) refuse(sh *tableShard, reason Reason, retry time.Duration) Decision {
	sh.counters.Refused++
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: retry}
}

// usableBurst returns what all buckets of the customer in the fleet can hold
// together.
func (t *Table) usableBurst(b *bucket) float64 {
	if t.shareFor(b, 1).deductLent {
		return b.policy.Burst
	}
	return b.policy.Burst - b.policy.Rate*t.cfg.TransferMaxAge.Seconds()
}

// retryAfter returns the time in which the fleet earns the cost of a request
// and of all requests that already wait here.
func (t *Table) retryAfter(b *bucket, need int64) time.Duration {
	for _, w := range b.waiting {
		need += w.cost
	}
	return max(timeToEarn(shareMicro(b.policy.Rate, 1), need), time.Millisecond)
}

// charge takes a cost from the borrowed tokens first and then from the level.
func (t *Table) charge(sh *tableShard, b *bucket, s share, now, cost int64) *Charge {
	fromLevel := cost
	for fromLevel > 0 && len(b.borrowed) > 0 {
		part := min(fromLevel, b.borrowed[0].amount)
		fromLevel -= part
		b.borrowed[0].amount -= part
		if b.borrowed[0].amount == 0 {
			b.borrowed = b.borrowed[1:]
		}
	}
	sh.counters.Granted++
	sh.counters.TokensCharged += cost / microPerToken
	return &Charge{
		Customer:      b.customer,
		Cost:          cost / microPerToken,
		chargedBucket: b,
		seq:           t.deduct(b, s, now, fromLevel, fromLevel < cost),
	}
}

// Refund credits the unused part of a charge when its request ends, or all of
// it if the request did not run. The credit is limited so that the level would
// not have exceeded the cap at any time since the charge. Refund returns the
// credited tokens; the outcome may grant waiting requests. The driver must call
// it for every charge, with 0 if everything was used, because the charge is
// tracked until then.
func (t *Table) Refund(now time.Time, c *Charge, unused int64) (int64, Outcome) {
	var out Outcome
	if c == nil {
		return 0, out
	}
	sh := t.shard(c.Customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[c.Customer]
	if b == nil || b != c.chargedBucket || c.closed {
		return 0, out
	}
	c.closed = true
	at := t.clock(b, now)
	t.update(b, at)
	want := min(max(unused, 0), c.Cost) * microPerToken
	credit := b.headroomHistory.closeCharge(c.seq, want)
	if !t.safetyRules.limitRefunds {
		credit = want
	}
	b.level += credit
	sh.counters.Refunded += credit / microPerToken
	if len(b.waiting) > 0 {
		t.process(sh, b, at, &out)
	}
	return credit / microPerToken, out
}

// Cancel ends the wait of a request whose caller has disconnected.
func (t *Table) Cancel(now time.Time, customer ids.CustomerID, ticket Ticket) Outcome {
	return t.updateAndProcess(now, customer, func(b *bucket) {
		for i, w := range b.waiting {
			if w.ticket == ticket {
				b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
				return
			}
		}
	})
}

// Wake decides again on the waiting requests of a customer. The driver calls it
// at Outcome.WakeAt.
func (t *Table) Wake(now time.Time, customer ids.CustomerID) Outcome {
	return t.updateAndProcess(now, customer, func(*bucket) {})
}

// updateAndProcess changes a bucket and then decides on its waiting requests.
func (t *Table) updateAndProcess(now time.Time, customer ids.CustomerID, change func(b *bucket)) Outcome {
	var out Outcome
	sh := t.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if b := sh.buckets[customer]; b != nil {
		change(b)
		t.process(sh, b, t.clock(b, now), &out)
	}
	return out
}

// HandleBorrowReply takes the reply to a borrow request. It drops repeated
// replies, and replies that arrive more than TransferMaxAge, less a margin,
// after the request: their tokens are lost.
func (t *Table) HandleBorrowReply(now time.Time, reply peer.LimitsBorrowReply) Outcome {
	var out Outcome
	sh := t.shard(reply.Customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[reply.Customer]
	if b == nil {
		return out
	}
	at := t.clock(b, now)
	if !t.acceptsReply(sh, b, at, reply) {
		return out
	}
	t.recordReply(b, at, reply)
	if reply.Granted > 0 {
		sh.counters.TokensBorrowed += reply.Granted
		b.borrowed = append(b.borrowed, borrowedTokens{
			amount:    min(reply.Granted, maxCostTokens) * microPerToken,
			expiresAt: t.borrowedExpiry(b, reply.LoanID),
			lender:    reply.From,
			ask:       reply.LoanID,
		})
	}
	t.dropPending(b, reply.LoanID)
	t.process(sh, b, at, &out)
	return out
}

// maxUseAge returns the time after a borrow request until which the borrower
// uses the tokens.
func (t *Table) maxUseAge() int64 { return t.maxAge() - t.maxAge()/clockDriftDivisor }

// acceptsReply reports whether a reply matches a pending borrow request and is
// in time.
func (t *Table) acceptsReply(sh *tableShard, b *bucket, now int64, reply peer.LimitsBorrowReply) bool {
	for _, a := range b.pendingBorrows {
		if a.id != reply.LoanID || a.lender != reply.From {
			continue
		}
		if now-a.sentAt > t.maxUseAge() && t.safetyRules.dropLateReplies {
			sh.counters.LateDropped++
			sh.counters.TokensLost += reply.Granted
			return false
		}
		sh.counters.AsksAnswered++
		return true
	}
	sh.counters.RepeatDropped++
	return false
}

// borrowedExpiry returns the time after which tokens of a borrow request must
// not be used.
func (t *Table) borrowedExpiry(b *bucket, ask uint64) int64 {
	for _, a := range b.pendingBorrows {
		if a.id == ask && t.safetyRules.dropLateReplies {
			return a.sentAt + t.maxUseAge()
		}
	}
	return int64(1) << 62
}

// dropPending forgets an answered borrow request, so that a repeated reply
// matches none.
func (t *Table) dropPending(b *bucket, id uint64) {
	for i := range b.pendingBorrows {
		if b.pendingBorrows[i].id != id {
			continue
		}
		if !t.safetyRules.dropRepeatedReplies {
			b.pendingBorrows[i].answered = true
			return
		}
		b.pendingBorrows = append(b.pendingBorrows[:i], b.pendingBorrows[i+1:]...)
		return
	}
}
