package limits

import (
	"math"
	"math/bits"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Levels are kept in millionths of a token, so that accrual and conservation
// are exact integer arithmetic.
const micro = int64(1_000_000)

// maxMicro bounds levels far below the overflow of sums.
const maxMicro = int64(1) << 60

// shareRounding keeps the sum of rounded shares at or below the whole: it is
// far above the rounding of a few float64 operations.
const shareRounding = 1e-12

// bucket is one customer's share on this VM. All times are nanoseconds since
// the start of the Table.
type bucket struct {
	customer ids.CustomerID
	policy   Policy
	// weights is the sum of the policy's weights.
	weights float64
	// inForce is the fraction of rate and burst that this VM uses, target the
	// one that the policy gives it. Target is above inForce only while a raise
	// waits for acknowledgements.
	inForce, target float64

	level   int64
	last    int64
	history history
	lent    lentWindow
	loans   []loan

	waiting []waiter
	reserve []reserved
	asks    []openAsk
	hints   map[ids.VMID]hint
	// busySince is the time of the oldest wait since the queue was empty.
	busySince int64
	// lastAdmit is the time of the last admission.
	lastAdmit int64
	// nextAhead is the earliest time of the next ask ahead of need.
	nextAhead int64
	// cursor rotates the first peer that is asked.
	cursor int
}

// loan is a deduction for a borrower that may still return part of it.
type loan struct {
	borrower ids.VMID
	ask      uint64
	amount   int64
	seq      uint64
	at       int64
}

// shareMicro returns a fraction of an amount in millionths, rounded down.
func shareMicro(amount, fraction float64) int64 {
	share := math.Floor(amount * fraction * float64(micro) * (1 - shareRounding))
	return int64(min(max(share, 0), float64(maxMicro)))
}

// accrual returns what a rate earns in a time, rounded down.
func accrual(ratePerSecond, nanos int64) int64 {
	if ratePerSecond <= 0 || nanos <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(ratePerSecond), uint64(nanos))
	if hi >= uint64(time.Second) {
		return maxMicro
	}
	earned, _ := bits.Div64(hi, lo, uint64(time.Second))
	return int64(min(earned, uint64(maxMicro)))
}

// earnTime returns the time in which a rate earns an amount, rounded up.
func earnTime(ratePerSecond, amount int64) time.Duration {
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

// share is what the bucket may use under one divisor of its data centre.
type share struct {
	rate, cap int64
	// window is set where rate * TransferMaxAge is too large a part of the
	// burst to give up; then the cap is lowered by what was lent instead.
	window bool
}

// windowPart is the part of the burst above which rate * TransferMaxAge is not
// given up for good.
const windowPart = 4

// shareAt returns the share for a fraction of the customer's limit.
func (t *Table) shareAt(b *bucket, fraction float64) share {
	rate := shareMicro(b.policy.Rate, fraction)
	burst := shareMicro(b.policy.Burst, fraction)
	transit := accrual(rate, int64(t.cfg.TransferMaxAge)) + 1
	switch {
	case !t.rules.lowerCap:
		return share{rate: rate, cap: burst}
	case transit > burst/windowPart:
		return share{rate: rate, cap: burst, window: true}
	}
	return share{rate: rate, cap: burst - transit}
}

// peerShare returns the share that the policy gives a VM of a data centre.
func (t *Table) peerShare(b *bucket, dc ids.DataCentreID) share {
	return t.shareAt(b, b.policy.fractionOf(dc, b.weights))
}

// capNow returns the cap on the own level at a time.
func (s share) capNow(b *bucket, now int64, age int64) int64 {
	if s.window {
		return max(s.cap-b.lent.sum(now, age), 0)
	}
	return s.cap
}

// touch brings a bucket up to a time: it accrues with the shares that were in
// force, clips, and puts an acknowledged raise into force from the time of the
// last acknowledgement. It returns the share now in force.
func (t *Table) touch(b *bucket, now int64) share {
	if b.target > b.inForce {
		if at, settled := t.acks.settled(b.policy.Revision); settled {
			t.earn(b, min(at, now))
			b.inForce = b.target
		} else if !t.rules.raiseAfterAck {
			b.inForce = b.target
		}
	}
	t.earn(b, now)
	s := t.shareAt(b, t.seats.at(now).fraction(b, t.dc))
	ceiling := s.capNow(b, now, t.maxAge())
	b.level = min(b.level, ceiling)
	b.history.note(ceiling - b.level)
	return s
}

// earn accrues up to a time and clips the level.
func (t *Table) earn(b *bucket, until int64) {
	if until <= b.last {
		return
	}
	t.seats.steps(b.last, until, func(from, to int64, seats seatRule) {
		s := t.shareAt(b, seats.fraction(b, t.dc))
		b.level = min(b.level+accrual(s.rate, to-from), s.capNow(b, to, t.maxAge()))
	})
	b.last = until
}

func (t *Table) maxAge() int64 { return int64(t.cfg.TransferMaxAge) }

// deduct takes an amount from the own level and opens a mark for a later
// credit. With borrowed tokens in the charge the credit counts as a deposit at
// the time of the charge.
func (t *Table) deduct(b *bucket, s share, now, amount int64, borrowed bool) uint64 {
	b.level -= amount
	if borrowed {
		return b.history.open(t.room(b, s, now))
	}
	return b.history.open(s.capNow(b, now, t.maxAge()) - b.level)
}

// room returns how much a deposit may add: what was lent in the last
// TransferMaxAge may still be in flight and counts as if it were here.
func (t *Table) room(b *bucket, s share, now int64) int64 {
	return s.cap - b.level - b.lent.sum(now, t.maxAge())
}

// deposit adds borrowed tokens to the level as far as there is room and returns
// what was added.
func (t *Table) deposit(b *bucket, s share, now, amount int64) int64 {
	added := max(min(amount, t.room(b, s, now)), 0)
	b.level += added
	b.history.note(t.room(b, s, now))
	return added
}

// lentWindow bounds from above what was lent in the last TransferMaxAge, with
// two sums in place of a list.
type lentWindow struct {
	current, previous int64
	// epoch is the start of the current sum.
	epoch int64
}

// roll moves the sums on, so that current covers less than one age.
func (l *lentWindow) roll(now, age int64) {
	switch elapsed := now - l.epoch; {
	case elapsed > 2*age:
		l.current, l.previous, l.epoch = 0, 0, now
	case elapsed > age:
		l.current, l.previous, l.epoch = 0, l.current, l.epoch+age
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
