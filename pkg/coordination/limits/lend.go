package limits

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

const (
	// minRetry and shortRetry bound the time after which a lender that fell
	// short is asked again. Requests wait a second at most, so a longer time
	// costs refusals; a shorter one only adds messages.
	minRetry   = 50 * time.Millisecond
	shortRetry = 100 * time.Millisecond
	// busyRetry bounds the same for a lender whose own requests wait: the
	// longer they have waited already, the later it is asked again.
	busyRetry = 2 * time.Second
	// keepPart is the part of the cap that a lender keeps from asks ahead of
	// need.
	keepPart = 4
	// loanMemory is how long a loan may be returned; borrowers return within
	// TransferMaxAge.
	loanMemory = 2 * time.Second
	// retryPart is the part of the cap after which a lender that fell short is
	// worth asking again.
	retryPart = 8
	// maxLoans bounds the remembered loans of one bucket.
	maxLoans = 32
)

// Lend answers a peer's ask. What it grants is deducted already.
func (t *Table) Lend(now time.Time, req peer.LimitsBorrowRequest) peer.LimitsBorrowReply {
	reply := peer.LimitsBorrowReply{Ask: req.Ask, From: t.self, Customer: req.Customer}
	sh := t.shard(req.Customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[req.Customer]
	if b == nil {
		reply.RetryMillis = maxRetry.Milliseconds()
		return reply
	}
	at := t.clock(b, now)
	s := t.touch(b, at)
	if b.waitedLonger(at, req.WaitedMillis) {
		reply.RetryMillis = min(max(time.Duration(at-b.busySince)/4, minRetry), busyRetry).Milliseconds()
		return reply
	}
	need := min(max(req.Need, 0), maxCost)
	reply.Granted = min(need, b.level/micro)
	surplus := max(b.level-reply.Granted*micro-s.cap/keepPart, 0) / micro
	if len(b.waiting) == 0 {
		reply.Granted += min(max(req.Spare, 0), surplus)
	}
	t.lend(sh, b, s, at, req, reply.Granted*micro)
	if reply.Granted < need {
		wanted := min((need-reply.Granted)*micro, s.cap/retryPart)
		reply.RetryMillis = min(max(earnTime(s.rate, wanted), minRetry), shortRetry).Milliseconds()
	}
	reply.Left = b.level / micro
	return reply
}

// waitedLonger tells whether an own request waits at least as long as the
// asker's. Otherwise VMs that gather at the same time would each keep a part
// that suffices for none.
func (b *bucket) waitedLonger(now, waitedMillis int64) bool {
	return len(b.waiting) > 0 && (now-b.waiting[0].since)/int64(time.Millisecond) >= waitedMillis
}

// lend deducts a loan and remembers it for a return.
func (t *Table) lend(sh *tableShard, b *bucket, s share, now int64, req peer.LimitsBorrowRequest, amount int64) {
	if amount == 0 || !t.rules.lenderDeducts {
		return
	}
	t.forgetLoans(b, now)
	if len(b.loans) >= maxLoans {
		b.history.settle(b.loans[0].seq, 0)
		b.loans = b.loans[1:]
	}
	b.lent.add(now, t.maxAge(), amount)
	seq := t.deduct(b, s, now, amount, false)
	b.loans = append(b.loans, loan{borrower: req.From, ask: req.Ask, amount: amount, seq: seq, at: now})
	sh.counters.TokensLent += amount / micro
}

// forgetLoans ends the memory of loans that can no longer be returned.
func (t *Table) forgetLoans(b *bucket, now int64) {
	n := 0
	for n < len(b.loans) && now-b.loans[n].at > int64(loanMemory) {
		b.history.settle(b.loans[n].seq, 0)
		n++
	}
	b.loans = b.loans[n:]
	if len(b.loans) == 0 {
		b.loans = nil
	}
}

// Return takes back part of a loan, as if it had not been lent. Unknown and
// repeated returns change nothing.
func (t *Table) Return(now time.Time, m peer.LimitsReturn) Outcome {
	return t.with(now, m.Customer, func(b *bucket) {
		at := t.clock(b, now)
		t.touch(b, at)
		t.forgetLoans(b, at)
		for i, l := range b.loans {
			if l.borrower != m.From || l.ask != m.Ask {
				continue
			}
			b.level += b.history.settle(l.seq, min(max(m.Amount, 0), maxCost, l.amount/micro)*micro)
			b.loans = append(b.loans[:i], b.loans[i+1:]...)
			return
		}
	})
}
