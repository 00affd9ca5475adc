package limits

import (
	"sync"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// shareDivisor says by which number of VMs a data centre's share is divided,
// from a given time on.
type shareDivisor struct {
	from int64
	// listedVMs is the number of listed VMs of the data centre. If it is 0, the
	// share is divided by the seats of the policy.
	listedVMs int
	// noShare means that this VM earns nothing yet.
	noShare bool
}

// fraction returns the fraction of the customer's limit that a bucket uses.
func (r shareDivisor) fraction(b *bucket, dc ids.DataCentreID) float64 {
	if r.noShare {
		return 0
	}
	seats := b.policy.DataCentres[dc].Seats
	if r.listedVMs == 0 || seats == 0 {
		return b.effectiveFraction
	}
	return b.effectiveFraction * float64(seats) / float64(r.listedVMs)
}

// maxDivisors bounds the remembered divisors. For the time before the oldest
// one a bucket earns nothing, which is the safe side.
const maxDivisors = 64

// divisorLog records by which divisor the share was divided at which time, so
// that a bucket that is updated late accrues by the values that were in force.
type divisorLog struct {
	mu         sync.RWMutex
	enabled    bool
	lag        int64
	settleTime int64
	divisors   []shareDivisor
	sizes      []listSize
}

// listSize is a number of listed VMs and the last time at which a list had it.
type listSize struct {
	size   int
	seenAt int64
}

func newDivisorLog(cfg Config) *divisorLog {
	l := &divisorLog{enabled: cfg.UseUnusedSeats, lag: int64(cfg.ListLagBound), settleTime: int64(cfg.SettleTime())}
	if l.enabled {
		// Until SettleTime has passed, peers may still divide the share by a
		// list without this VM.
		l.divisors = []shareDivisor{{from: 0, noShare: true}, {from: l.settleTime}}
	}
	return l
}

// observe takes the number of listed VMs of the own data centre and the time up
// to which the list is confirmed.
func (l *divisorLog) observe(now, confirmed int64, listedVMs int) {
	if !l.enabled {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSize(now, listedVMs)
	until := confirmed + l.lag
	if until <= now || listedVMs == 0 {
		return
	}
	l.dropFrom(now)
	l.append(shareDivisor{from: now, listedVMs: l.largestSize(now)})
	l.append(shareDivisor{from: until})
}

// recordSize remembers a list size, and forgets those that were not seen for
// SettleTime.
func (l *divisorLog) recordSize(now int64, size int) {
	kept := l.sizes[:0]
	for _, c := range l.sizes {
		if c.size != size && now-c.seenAt < l.settleTime {
			kept = append(kept, c)
		}
	}
	l.sizes = append(kept, listSize{size: size, seenAt: now})
}

// largestSize returns the largest list size of the last SettleTime, or 0 while
// this VM has run for less than that.
func (l *divisorLog) largestSize(now int64) int {
	if now < l.settleTime {
		return 0
	}
	most := 0
	for _, c := range l.sizes {
		most = max(most, c.size)
	}
	return most
}

// dropFrom removes the divisors that take effect at or after now, except those
// up to SettleTime.
func (l *divisorLog) dropFrom(now int64) {
	for n := len(l.divisors); n > 0 && l.divisors[n-1].from >= now && l.divisors[n-1].from > l.settleTime; n = len(l.divisors) {
		l.divisors = l.divisors[:n-1]
	}
}

// append adds a divisor, unless it changes nothing or takes effect before
// SettleTime has passed.
func (l *divisorLog) append(r shareDivisor) {
	n := len(l.divisors)
	if r.from <= l.settleTime || l.divisors[n-1].listedVMs == r.listedVMs && !l.divisors[n-1].noShare {
		return
	}
	l.divisors = append(l.divisors, r)
	if len(l.divisors) > maxDivisors {
		l.divisors = append(l.divisors[:0], l.divisors[1:]...)
	}
}

// at returns the divisor in force at a time.
func (l *divisorLog) at(now int64) shareDivisor {
	if !l.enabled {
		return shareDivisor{}
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for i := len(l.divisors) - 1; i >= 0; i-- {
		if l.divisors[i].from <= now {
			return l.divisors[i]
		}
	}
	return shareDivisor{noShare: true}
}

// visitSpans calls visit for each part of a time span with the divisor in
// force.
func (l *divisorLog) visitSpans(from, to int64, visit func(from, to int64, r shareDivisor)) {
	if !l.enabled {
		visit(from, to, shareDivisor{})
		return
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for i, r := range l.divisors {
		end := to
		if i+1 < len(l.divisors) {
			end = min(to, l.divisors[i+1].from)
		}
		if start := max(from, r.from); start < end {
			visit(start, end, r)
		}
	}
}
