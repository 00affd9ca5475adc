// Package ownership decides which VM gives orders to an endpoint and which
// adapters must stay on it.
//
// Every VM keeps a Table with its own view. The owner of an endpoint is found
// by rendezvous hashing over the live VMs of the endpoint's data centre, and
// the revision of the VM list is the fencing token. An owner may order only
// while its authority lease runs. Any VM sends requests under pins, which are
// leases granted by the owner; the VM's side of them is the Holder.
//
// The package has no goroutines, timers or logs. The caller passes the time,
// which must carry a monotonic reading in the daemon.
package ownership

import "time"

// Terms are the durations on which all VMs agree.
type Terms struct {
	// ListLagBound bounds how old the VM list of a platform read may be.
	ListLagBound time.Duration
	// AuthorityTerm is how long a confirmed list allows orders.
	AuthorityTerm time.Duration
	// PinTerm is the term of a pin.
	PinTerm time.Duration
	// RenewBelow is the remaining term from which a used pin is renewed.
	RenewBelow time.Duration
	// IdleRelease is how long a pin may stay unused before it is given back.
	IdleRelease time.Duration
	// OrderSettle bounds the time between the check of an order and its
	// effect on the engine. The sender closes the connection before it ends.
	OrderSettle time.Duration
}

// DefaultTerms returns the terms of the design.
func DefaultTerms() Terms {
	return Terms{
		ListLagBound:  10 * time.Second,
		AuthorityTerm: 5 * time.Second,
		PinTerm:       60 * time.Second,
		RenewBelow:    45 * time.Second,
		IdleRelease:   10 * time.Second,
		OrderSettle:   2 * time.Second,
	}
}

// Drift of monotonic clocks: VMs differ by far less than one part in a hundred.
const (
	driftDivisor = 100
	driftFixed   = 50 * time.Millisecond
)

// DriftMargin is what a granter waits beyond a term that runs on another clock.
func DriftMargin(term time.Duration) time.Duration {
	return term/driftDivisor + driftFixed
}

// ordersWait is how long after seeing a new list a former owner may still
// order or grant pins.
func (t Terms) ordersWait() time.Duration {
	wait := t.ListLagBound + t.AuthorityTerm
	return wait + DriftMargin(wait) + t.OrderSettle
}

// evictionsWait is how long after seeing a new list a pin of a former owner
// may still be in use.
func (t Terms) evictionsWait() time.Duration {
	wait := t.ListLagBound + t.AuthorityTerm + t.PinTerm
	return wait + DriftMargin(wait)
}
