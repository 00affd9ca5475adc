package limits

import (
	"math"
	"math/bits"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// microPerToken is the number of millionths in a token. Levels are kept in
// millionths of a token, so that accrual and conservation are exact integer
// arithmetic.
const microPerToken = int64(1_000_000)

// maxLevelMicro bounds levels, in millionths of a token, so that sums of them
// are far from overflow.
const maxLevelMicro = int64(1) << 60

// shareRoundingMargin is the relative amount by which each share is reduced, so
// that the sum of the rounded shares stays at or below the whole. It is far
// larger than the rounding error of a few float64 operations.
const shareRoundingMargin = 1e-12

// bucket holds one customer's tokens on this VM. Amounts are in millionths of a
// token, and times are nanoseconds since the start of the Table. The lock of
// the shard guards it.
type bucket struct {
	customer ids.CustomerID
	policy   Policy
	// totalWeight caches policy.totalWeight().
	totalWeight float64
	// effectiveFraction is the fraction of rate and burst that this VM uses
	// now. policyFraction is the one that the policy gives it. It is larger
	// than effectiveFraction only while a raise waits for acknowledgements.
	effectiveFraction, policyFraction float64

	// level is what the bucket holds, with accrual up to accruedUntil.
	level           int64
	accruedUntil    int64
	headroomHistory headroomHistory
	recentlyLent    lentWindow
	loans           []loan

	waiting []waiter
	// borrowed holds tokens from peers, which are kept for the waiting requests
	// only and are not part of level.
	borrowed       []borrowedTokens
	pendingBorrows []pendingBorrow
	peerEstimates  map[ids.VMID]peerEstimate
	// nonEmptySince is the time at which the first request began to wait since
	// the queue of waiting requests was last empty.
	nonEmptySince int64
	// lastAdmitAt is the time of the latest admission.
	lastAdmitAt int64
	// nextPrefetchAt is the earliest time of the next prefetch.
	nextPrefetchAt int64
	// remoteCursor is the position among the peers of other data centres at
	// which the next search for lenders starts, so that each of them gets its
	// turn.
	remoteCursor int
}

// loan is a deduction for a borrower that may still return part of it.
type loan struct {
	borrower ids.VMID
	// ask is the borrower's id of the borrow request; seq identifies the loan's
	// headroom mark.
	ask    uint64
	amount int64
	seq    uint64
	lentAt int64
}

// shareMicro returns a fraction of an amount in millionths, rounded down.
func shareMicro(amount, fraction float64) int64 {
	share := math.Floor(amount * fraction * float64(microPerToken) * (1 - shareRoundingMargin))
	return int64(min(max(share, 0), float64(maxLevelMicro)))
}

// accrual returns what a rate earns in a time, rounded down.
func accrual(ratePerSecond, nanos int64) int64 {
	if ratePerSecond <= 0 || nanos <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(ratePerSecond), uint64(nanos))
	if hi >= uint64(time.Second) {
		return maxLevelMicro
	}
	earned, _ := bits.Div64(hi, lo, uint64(time.Second))
	return int64(min(earned, uint64(maxLevelMicro)))
}

// timeToEarn returns the time in which a rate earns an amount, rounded up and
// at most maxRetry.
func timeToEarn(ratePerSecond, amount int64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if ratePerSecond <= 0 {
		return maxRetry
	}
	seconds := float64(amount) / float64(ratePerSecond)
	if seconds > maxRetry.Seconds() {
		return maxRetry
	}
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond
}

// share is the rate and cap of a bucket for one fraction of the customer's
// limit.
type share struct {
	rate, cap int64
	// deductLent is set if rate * TransferMaxAge is too large a part of the
	// burst to be given up permanently. The cap is then lowered only by what
	// was lent recently.
	deductLent bool
}

// maxCapCutDivisor limits the permanent lowering of the cap: it applies only if
// rate * TransferMaxAge is at most the burst divided by maxCapCutDivisor.
const maxCapCutDivisor = 4

// shareFor returns the share for a fraction of the customer's limit.
func (t *Table) shareFor(b *bucket, fraction float64) share {
	rate := shareMicro(b.policy.Rate, fraction)
	burst := shareMicro(b.policy.Burst, fraction)
	inFlight := accrual(rate, int64(t.cfg.TransferMaxAge)) + 1
	switch {
	case !t.safetyRules.lowerCapForTransfers:
		return share{rate: rate, cap: burst}
	case inFlight > burst/maxCapCutDivisor:
		return share{rate: rate, cap: burst, deductLent: true}
	}
	return share{rate: rate, cap: burst - inFlight}
}

// peerShare returns the share that the policy gives to a VM of a data centre.
func (t *Table) peerShare(b *bucket, dc ids.DataCentreID) share {
	return t.shareFor(b, b.policy.seatFractionOf(dc, b.totalWeight))
}

// effectiveCap returns the cap on the bucket's level at a time.
func (s share) effectiveCap(b *bucket, now int64, age int64) int64 {
	if s.deductLent {
		return max(s.cap-b.recentlyLent.sum(now, age), 0)
	}
	return s.cap
}

// update brings a bucket up to the given time: it accrues tokens by the shares
// that were in force, limits the level to the cap, and applies an acknowledged
// raise from the time of the last acknowledgement. It returns the share that is
// now in force.
func (t *Table) update(b *bucket, now int64) share {
	if b.policyFraction > b.effectiveFraction {
		if at, allAppliedSince := t.acks.allAppliedSince(b.policy.Revision); allAppliedSince {
			t.accrue(b, min(at, now))
			b.effectiveFraction = b.policyFraction
		} else if !t.safetyRules.raiseAfterAcks {
			b.effectiveFraction = b.policyFraction
		}
	}
	t.accrue(b, now)
	s := t.shareFor(b, t.divisors.at(now).fraction(b, t.dataCentre))
	ceiling := s.effectiveCap(b, now, t.maxAge())
	b.level = min(b.level, ceiling)
	b.headroomHistory.record(ceiling - b.level)
	return s
}

// accrue adds what was earned up to a time and limits the level to the cap.
func (t *Table) accrue(b *bucket, until int64) {
	if until <= b.accruedUntil {
		return
	}
	t.divisors.visitSpans(b.accruedUntil, until, func(from, to int64, divisors shareDivisor) {
		s := t.shareFor(b, divisors.fraction(b, t.dataCentre))
		b.level = min(b.level+accrual(s.rate, to-from), s.effectiveCap(b, to, t.maxAge()))
	})
	b.accruedUntil = until
}

func (t *Table) maxAge() int64 { return int64(t.cfg.TransferMaxAge) }

// deduct takes an amount from the level and opens a headroom mark for a later
// refund; it returns the mark's sequence number. If the charge also uses
// borrowed tokens, the refund counts as a deposit at the time of the charge.
func (t *Table) deduct(b *bucket, s share, now, amount int64, usesBorrowed bool) uint64 {
	b.level -= amount
	if usesBorrowed {
		return b.headroomHistory.open(t.depositRoom(b, s, now))
	}
	return b.headroomHistory.open(s.effectiveCap(b, now, t.maxAge()) - b.level)
}

// depositRoom returns how much a deposit may add. What was lent in the last
// TransferMaxAge may still be in flight, so it counts as if it were still in
// the bucket.
func (t *Table) depositRoom(b *bucket, s share, now int64) int64 {
	return s.cap - b.level - b.recentlyLent.sum(now, t.maxAge())
}

// deposit adds borrowed tokens to the level, as far as there is room, and
// returns the amount that it added.
func (t *Table) deposit(b *bucket, s share, now, amount int64) int64 {
	added := max(min(amount, t.depositRoom(b, s, now)), 0)
	b.level += added
	b.headroomHistory.record(t.depositRoom(b, s, now))
	return added
}

// lentWindow is an upper bound of what was lent in the last TransferMaxAge. It
// needs two sums instead of a list of loans.
type lentWindow struct {
	current, previous int64
	// currentStart is the start of the time that current covers.
	currentStart int64
}

// roll starts a new period if needed, so that current covers less than one age.
func (l *lentWindow) roll(now, age int64) {
	switch elapsed := now - l.currentStart; {
	case elapsed > 2*age:
		l.current, l.previous, l.currentStart = 0, 0, now
	case elapsed > age:
		l.current, l.previous, l.currentStart = 0, l.current, l.currentStart+age
	}
}

func (l *lentWindow) add(now, age, amount int64) {
	l.roll(now, age)
	l.current += amount
}

func (l *lentWindow) sum(now, age int64) int64 {
	l.roll(now, age)
	return l.current + l.previous
}
