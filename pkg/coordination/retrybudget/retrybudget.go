// Package retrybudget limits how many retries a VM sends to one service, so
// that retries do not add load to a service that is already failing. The
// allowance grows with the number of requests and slowly with time. The node
// calls it before each retry.
//
// A budget starts with a single retry and gets its share of the reserve once the
// number of VMs is known. Otherwise each of many VMs that restart together would
// get the whole reserve.
package retrybudget

import "time"

// Config holds one VM's share of the retry limit that all VMs keep to together.
type Config struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Reserve is the largest number of retries that the budget holds, but for
	// the one that every budget can hold. Half of it is earned in a Window
	// without requests.
	Reserve float64
	Window  time.Duration
}

// Budget is the retry budget of one service. It is not safe for concurrent use;
// the caller holds a lock.
type Budget struct {
	config    Config
	retries   float64
	updatedAt time.Time
}

// New returns a full budget. A reserve of 0 stands for one that is not known
// yet.
func New(config Config, now time.Time) *Budget {
	b := &Budget{config: config, updatedAt: now}
	b.retries = b.capacity()
	return b
}

// SetReserve sets the reserve, for example after the number of VMs changed. A
// reserve that was not known before is filled at once.
func (b *Budget) SetReserve(reserve float64) {
	if b.config.Reserve == 0 {
		b.retries = max(b.retries, reserve)
	}
	b.config.Reserve = reserve
	b.retries = min(b.retries, b.capacity())
}

// capacity returns the largest number of retries that the budget holds. It is at
// least one, so that VMs with a small share of the reserve can retry at all.
func (b *Budget) capacity() float64 { return max(b.config.Reserve, 1) }

// AddRequest adds the retries that one request earns.
func (b *Budget) AddRequest(now time.Time) {
	b.refill(now)
	b.retries = min(b.retries+b.config.Ratio, b.capacity())
}

// HasRetry reports whether the budget allows a retry now, without spending it.
func (b *Budget) HasRetry(now time.Time) bool {
	b.refill(now)
	return b.retries >= 1
}

// TakeRetry spends one retry and reports whether the budget allowed it.
func (b *Budget) TakeRetry(now time.Time) bool {
	if !b.HasRetry(now) {
		return false
	}
	b.retries--
	return true
}

// refill adds the retries earned by time alone. A full reserve takes two
// windows to earn, so that no window allows more than the reserve that was left
// plus half of a new one.
func (b *Budget) refill(now time.Time) {
	rate := b.config.Reserve / (2 * b.config.Window.Seconds())
	b.retries = min(b.retries+now.Sub(b.updatedAt).Seconds()*rate, b.capacity())
	b.updatedAt = now
}
