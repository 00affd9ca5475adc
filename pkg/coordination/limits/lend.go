package limits

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

const (
	// minLenderRetry and maxLenderRetry bound the time after which a lender
	// that could not lend enough is asked again. Requests wait for a second at
	// most, so a longer time causes refusals; a shorter one only causes more
	// messages.
	minLenderRetry = 50 * time.Millisecond
	maxLenderRetry = 100 * time.Millisecond
	// maxBusyLenderRetry is the upper bound for a lender that has waiting
	// requests itself: the longer they have waited, the later it is asked
	// again.
	maxBusyLenderRetry = 2 * time.Second
	// prefetchReserveDivisor sets what a lender keeps when a peer asks for
	// spare tokens: its cap divided by this number.
	prefetchReserveDivisor = 4
	// loanRetention is how long a loan is remembered so that it can be
	// returned. Borrowers return tokens within TransferMaxAge.
	loanRetention = 2 * time.Second
	// retryCapDivisor sets how much a lender that could not lend enough must
	// have earned before it is worth asking again: at most its cap divided by
	// this number.
	retryCapDivisor = 8
	// maxLoans bounds the remembered loans of one bucket.
	maxLoans = 32
)

// Lend answers a peer's borrow request. Granted tokens are already deducted
// when it returns.
func (t *Table) Lend(now time.Time, req peer.LimitsBorrowRequest) peer.LimitsBorrowReply {
	reply := peer.LimitsBorrowReply{LoanID: req.LoanID, From: t.self, Customer: req.Customer}
	sh := t.shard(req.Customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[req.Customer]
	if b == nil {
		reply.RetryMillis = maxRetry.Milliseconds()
		return reply
	}
	at := t.clock(b, now)
	s := t.update(b, at)
	if b.waitedAtLeast(at, req.WaitedMillis) {
		reply.RetryMillis = min(max(time.Duration(at-b.nonEmptySince)/4, minLenderRetry), maxBusyLenderRetry).Milliseconds()
		return reply
	}
	need := min(max(req.Need, 0), maxCostTokens)
	reply.Granted = min(need, b.level/microPerToken)
	surplus := max(b.level-reply.Granted*microPerToken-s.cap/prefetchReserveDivisor, 0) / microPerToken
	if len(b.waiting) == 0 {
		reply.Granted += min(max(req.Extra, 0), surplus)
	}
	t.deductLoan(sh, b, s, at, req, reply.Granted*microPerToken)
	if reply.Granted < need {
		wanted := min((need-reply.Granted)*microPerToken, s.cap/retryCapDivisor)
		reply.RetryMillis = min(max(timeToEarn(s.rate, wanted), minLenderRetry), maxLenderRetry).Milliseconds()
	}
	reply.Left = b.level / microPerToken
	return reply
}

// waitedAtLeast reports whether the first waiting request of this VM has waited
// at least as long as the borrower's. Such a lender keeps its tokens for
// itself; all others lend. Otherwise VMs that borrow at the same time would
// each keep a part that is enough for none of them.
func (b *bucket) waitedAtLeast(now, waitedMillis int64) bool {
	return len(b.waiting) > 0 && (now-b.waiting[0].since)/int64(time.Millisecond) >= waitedMillis
}

// deductLoan deducts a loan and remembers it, so that the borrower can return
// part of it.
func (t *Table) deductLoan(sh *tableShard, b *bucket, s share, now int64, req peer.LimitsBorrowRequest, amount int64) {
	if amount == 0 || !t.safetyRules.deductWhenLending {
		return
	}
	t.dropOldLoans(b, now)
	if len(b.loans) >= maxLoans {
		b.headroomHistory.closeCharge(b.loans[0].seq, 0)
		b.loans = b.loans[1:]
	}
	b.recentlyLent.add(now, t.maxAge(), amount)
	seq := t.deduct(b, s, now, amount, false)
	b.loans = append(b.loans, loan{borrower: req.From, ask: req.LoanID, amount: amount, seq: seq, lentAt: now})
	sh.counters.TokensLent += amount / microPerToken
}

// dropOldLoans forgets loans that can no longer be returned.
func (t *Table) dropOldLoans(b *bucket, now int64) {
	n := 0
	for n < len(b.loans) && now-b.loans[n].lentAt > int64(loanRetention) {
		b.headroomHistory.closeCharge(b.loans[n].seq, 0)
		n++
	}
	b.loans = b.loans[n:]
	if len(b.loans) == 0 {
		b.loans = nil
	}
}

// HandleReturn takes back part of a loan, as if it had not been lent. Unknown
// and repeated returns change nothing.
func (t *Table) HandleReturn(now time.Time, m peer.LimitsReturn) Outcome {
	return t.updateAndProcess(now, m.Customer, func(b *bucket) {
		at := t.clock(b, now)
		t.update(b, at)
		t.dropOldLoans(b, at)
		for i, l := range b.loans {
			if l.borrower != m.From || l.ask != m.LoanID {
				continue
			}
			b.level += b.headroomHistory.closeCharge(l.seq, min(max(m.Amount, 0), maxCostTokens, l.amount/microPerToken)*microPerToken)
			b.loans = append(b.loans[:i], b.loans[i+1:]...)
			return
		}
	})
}
