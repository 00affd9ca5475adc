// Package ownership decides which VM may send orders (loads and evictions) to
// an endpoint and which adapters must not be evicted from it. It decides from
// the VM list of the platform, the list revisions that peers report, and the
// endpoint records. The daemon calls it before it sends an order or a request.
//
// Every VM keeps a Table with its own view. The owner of an endpoint is found
// by rendezvous hashing over the live VMs of the endpoint's data centre. The
// revision of the VM list is the fencing token. An owner may send orders only
// while its authority lease is valid. Any VM may send requests to an adapter
// while it holds a pin on it. A pin is a lease that the owner grants and that
// prevents the eviction of the adapter; PinHolder keeps the pins on the side
// of the VM that sends the requests.
//
// The package has no goroutines, timers or logs. The caller passes the time,
// which must carry a monotonic reading in the daemon.
package ownership

import "time"

// Terms holds the lease durations and time bounds of ownership. All VMs must
// use the same values.
type Terms struct {
	// ListLagBound is the maximum age of the VM list that a platform read
	// returns.
	ListLagBound time.Duration
	// AuthorityTerm is the length of the authority lease: how long a VM may
	// send orders after its VM list was last confirmed.
	AuthorityTerm time.Duration
	// PinTerm is the length of the lease of a pin.
	PinTerm time.Duration
	// PinRenewThreshold is the remaining lease time at or below which a pin that is
	// in use is renewed.
	PinRenewThreshold time.Duration
	// PinIdleTimeout is how long a pin may stay unused before its holder releases
	// it.
	PinIdleTimeout time.Duration
	// MaxOrderDelay bounds the time between the check that allows an order and
	// the effect of the order on the engine. The sender closes the connection
	// before this time has passed.
	MaxOrderDelay time.Duration
}

// DefaultTerms returns the default durations.
func DefaultTerms() Terms {
	return Terms{
		ListLagBound:      10 * time.Second,
		AuthorityTerm:     5 * time.Second,
		PinTerm:           60 * time.Second,
		PinRenewThreshold: 45 * time.Second,
		PinIdleTimeout:    10 * time.Second,
		MaxOrderDelay:     2 * time.Second,
	}
}

// Safety margin for the drift between the monotonic clocks of two VMs, which
// differ by far less than 1 %.
const (
	clockDriftDivisor = 100
	clockDriftFixed   = 50 * time.Millisecond
)

// DriftMargin returns how long the granter of a lease waits beyond the term
// before it treats the lease as expired, because the term is measured on the
// clock of another VM.
func DriftMargin(term time.Duration) time.Duration {
	return term/clockDriftDivisor + clockDriftFixed
}

// handoverOrderWait returns how long after this VM sees a new VM list a former
// owner may still send orders or grant pins.
func (t Terms) handoverOrderWait() time.Duration {
	wait := t.ListLagBound + t.AuthorityTerm
	return wait + DriftMargin(wait) + t.MaxOrderDelay
}

// handoverEvictionWait returns how long after this VM sees a new VM list a pin
// that a former owner granted may still be in use.
func (t Terms) handoverEvictionWait() time.Duration {
	wait := t.ListLagBound + t.AuthorityTerm + t.PinTerm
	return wait + DriftMargin(wait)
}
