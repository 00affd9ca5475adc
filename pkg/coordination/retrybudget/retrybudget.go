// Package retrybudget bounds the sends of requests beyond their first, so that
// retries do not add load to a service that is failing.
package retrybudget

import "time"

// Config holds the part of one VM in the bound that all VMs share.
type Config struct {
	// Ratio is the repeats a request earns.
	Ratio float64
	// Reserve is the repeats that are allowed without requests in Window.
	Reserve float64
	Window  time.Duration
}

// Budget is the budget of one service.
type Budget struct {
	config Config
	tokens float64
	at     time.Time
}

// New returns a full budget.
func New(config Config, now time.Time) *Budget {
	return &Budget{config: config, tokens: config.Reserve, at: now}
}

// SetReserve changes the reserve, as when the number of VMs changes.
func (b *Budget) SetReserve(reserve float64) {
	b.config.Reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// Request adds what one request earns.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Reserve)
}

// Take spends one repeat, if there is any.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill restores the reserve over two windows, so that no window sees more
// than the reserve that was left and half of a new one.
func (b *Budget) refill(now time.Time) {
	rate := b.config.Reserve / (2 * b.config.Window.Seconds())
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, b.config.Reserve)
	b.at = now
}
