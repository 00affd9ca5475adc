// Package retrybudget limits how many retries a VM sends to one service, so
// that retries do not add load to a service that is already failing. The
// allowance grows with the number of requests and slowly with time. The node
// calls it before each retry.
package retrybudget

import "time"

// Config holds one VM's share of the retry limit that all VMs keep to together.
type Config struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Reserve is the number of retries allowed in Window when there are no
	// requests. It is also the largest number of retries the budget can hold.
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

// New returns a budget filled to its reserve.
func New(config Config, now time.Time) *Budget {
	return &Budget{config: config, retries: config.Reserve, updatedAt: now}
}

// SetReserve sets the reserve, for example after the number of VMs changed.
func (b *Budget) SetReserve(reserve float64) {
	b.config.Reserve = reserve
	b.retries = min(b.retries, reserve)
}

// AddRequest adds the retries that one request earns.
func (b *Budget) AddRequest(now time.Time) {
	b.refill(now)
	b.retries = min(b.retries+b.config.Ratio, b.config.Reserve)
}

// TakeRetry spends one retry and reports whether the budget allowed it.
func (b *Budget) TakeRetry(now time.Time) bool {
	b.refill(now)
	if b.retries < 1 {
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
	b.retries = min(b.retries+now.Sub(b.updatedAt).Seconds()*rate, b.config.Reserve)
	b.updatedAt = now
}
