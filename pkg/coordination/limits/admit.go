package limits

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// maxCost bounds costs below the overflow of millionths.
const maxCost = maxMicro / micro

// Charge is what a granted request was charged. It is refunded at most once.
type Charge struct {
	Customer ids.CustomerID
	// Cost is in tokens.
	Cost int64
	// from is the bucket charged; a customer that was removed and came back
	// has another one, in which the charge has no place.
	from    *bucket
	seq     uint64
	settled bool
}

// waiter is a request that waits for tokens.
type waiter struct {
	ticket   Ticket
	cost     int64
	since    int64
	deadline int64
}

// reserved are borrowed tokens kept for the waiting requests. They must be used
// before they expire.
type reserved struct {
	amount  int64
	expires int64
	lender  ids.VMID
	ask     uint64
}

// openAsk is an ask without a reply.
type openAsk struct {
	id   uint64
	to   ids.VMID
	sent int64
	need int64
	// answered is set only when the rule that drops repeats is off.
	answered bool
}

// Admit decides on a request of a cost in tokens. A request that cannot be
// granted at once waits until the deadline or MaxWait, whichever is sooner.
func (t *Table) Admit(now time.Time, customer ids.CustomerID, cost int64, deadline time.Time) Decision {
	sh := t.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[customer]
	if b == nil {
		return t.refuse(sh, ReasonUnknown, 0)
	}
	at := t.clock(b, now)
	s := t.touch(b, at)
	cost = max(cost, 0)
	if cost > maxCost || float64(cost) > t.usableBurst(b) {
		return t.refuse(sh, ReasonTooLarge, 0)
	}
	need := cost * micro
	if len(b.waiting) == 0 && need <= b.level {
		decision := Decision{Verdict: Granted, Charge: t.charge(sh, b, s, at, need)}
		if at-b.lastAdmit < int64(aheadWithin) {
			t.askAhead(sh, b, s, at, &decision.Outcome)
		}
		b.lastAdmit = at
		return decision
	}
	if len(b.waiting) >= t.cfg.MaxWaiting {
		return t.refuse(sh, ReasonOverRate, t.retryAfter(b, need))
	}
	end := min(t.nanos(deadline), at+int64(t.cfg.MaxWait))
	if end <= at {
		return t.refuse(sh, ReasonOverRate, t.retryAfter(b, need))
	}
	b.lastAdmit = at
	if len(b.waiting) == 0 {
		b.busySince = at
	}
	ticket := Ticket(t.tickets.Add(1))
	b.waiting = append(b.waiting, waiter{ticket: ticket, cost: need, since: at, deadline: end})
	sh.counters.Waited++
	decision := Decision{Verdict: Waiting, Ticket: ticket}
	t.process(sh, b, at, &decision.Outcome)
	return decision
}

func (t *Table) refuse(sh *tableShard, reason Reason, retry time.Duration) Decision {
	sh.counters.Refused++
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: retry}
}

// usableBurst returns what all buckets of the customer can hold together.
func (t *Table) usableBurst(b *bucket) float64 {
	if t.shareAt(b, 1).window {
		return b.policy.Burst
	}
	return b.policy.Burst - b.policy.Rate*t.cfg.TransferMaxAge.Seconds()
}

// retryAfter returns the time in which the fleet earns what is waited for.
func (t *Table) retryAfter(b *bucket, need int64) time.Duration {
	for _, w := range b.waiting {
		need += w.cost
	}
	return max(earnTime(shareMicro(b.policy.Rate, 1), need), time.Millisecond)
}

// charge takes a cost from the reserve and the own level.
func (t *Table) charge(sh *tableShard, b *bucket, s share, now, cost int64) *Charge {
	own := cost
	for own > 0 && len(b.reserve) > 0 {
		part := min(own, b.reserve[0].amount)
		own -= part
		b.reserve[0].amount -= part
		if b.reserve[0].amount == 0 {
			b.reserve = b.reserve[1:]
		}
	}
	sh.counters.Granted++
	sh.counters.TokensCharged += cost / micro
	return &Charge{
		Customer: b.customer,
		Cost:     cost / micro,
		from:     b,
		seq:      t.deduct(b, s, now, own, own < cost),
	}
}

// Refund credits the unused part of a charge at the end of its request, and all
// of it if the request did not run. The credit is clipped so that the level
// since the charge would not have passed the cap. It returns the tokens
// credited; the outcome may grant waiting requests. The driver calls it for
// every charge, with 0 if all was used, which ends the memory of the charge.
func (t *Table) Refund(now time.Time, c *Charge, unused int64) (int64, Outcome) {
	var out Outcome
	if c == nil {
		return 0, out
	}
	sh := t.shard(c.Customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[c.Customer]
	if b == nil || b != c.from || c.settled {
		return 0, out
	}
	c.settled = true
	at := t.clock(b, now)
	t.touch(b, at)
	want := min(max(unused, 0), c.Cost) * micro
	credit := b.history.settle(c.seq, want)
	if !t.rules.clipRefund {
		credit = want
	}
	b.level += credit
	sh.counters.Refunded += credit / micro
	if len(b.waiting) > 0 {
		t.process(sh, b, at, &out)
	}
	return credit / micro, out
}

// Cancel ends the wait of a request whose caller is gone.
func (t *Table) Cancel(now time.Time, customer ids.CustomerID, ticket Ticket) Outcome {
	return t.with(now, customer, func(b *bucket) {
		for i, w := range b.waiting {
			if w.ticket == ticket {
				b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
				return
			}
		}
	})
}

// Wake decides anew on the waiting requests of a customer. The driver calls it
// at Outcome.WakeAt.
func (t *Table) Wake(now time.Time, customer ids.CustomerID) Outcome {
	return t.with(now, customer, func(*bucket) {})
}

// with changes a bucket and then decides on its waiting requests.
func (t *Table) with(now time.Time, customer ids.CustomerID, change func(b *bucket)) Outcome {
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

// Receive takes the reply to an ask. It drops repeats and replies that are
// older than TransferMaxAge counted from the ask: their tokens are lost.
func (t *Table) Receive(now time.Time, reply peer.LimitsBorrowReply) Outcome {
	var out Outcome
	sh := t.shard(reply.Customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[reply.Customer]
	if b == nil {
		return out
	}
	at := t.clock(b, now)
	if !t.accept(sh, b, at, reply) {
		return out
	}
	t.learn(b, at, reply)
	if reply.Granted > 0 {
		sh.counters.TokensBorrowed += reply.Granted
		b.reserve = append(b.reserve, reserved{
			amount:  min(reply.Granted, maxCost) * micro,
			expires: t.expiry(b, reply.Ask),
			lender:  reply.From,
			ask:     reply.Ask,
		})
	}
	t.dropAsk(b, reply.Ask)
	t.process(sh, b, at, &out)
	return out
}

// acceptAge is the age up to which a borrower uses tokens.
func (t *Table) acceptAge() int64 { return t.maxAge() - t.maxAge()/driftPart }

// accept tells whether a reply answers an open ask in time.
func (t *Table) accept(sh *tableShard, b *bucket, now int64, reply peer.LimitsBorrowReply) bool {
	for _, a := range b.asks {
		if a.id != reply.Ask || a.to != reply.From {
			continue
		}
		if now-a.sent > t.acceptAge() && t.rules.dropLate {
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

// expiry returns when tokens of an ask may no longer be used.
func (t *Table) expiry(b *bucket, ask uint64) int64 {
	for _, a := range b.asks {
		if a.id == ask && t.rules.dropLate {
			return a.sent + t.acceptAge()
		}
	}
	return int64(1) << 62
}

// dropAsk forgets an answered ask, so that a repeated reply finds none.
func (t *Table) dropAsk(b *bucket, id uint64) {
	for i := range b.asks {
		if b.asks[i].id != id {
			continue
		}
		if !t.rules.dropRepeats {
			b.asks[i].answered = true
			return
		}
		b.asks = append(b.asks[:i], b.asks[i+1:]...)
		return
	}
}
