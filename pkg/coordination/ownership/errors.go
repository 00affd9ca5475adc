package ownership

import "errors"

// Reasons for refusing an order or a pin. Callers compare them with errors.Is.
var (
	// ErrNotOwner means that another VM owns the endpoint according to this
	// VM's current list.
	ErrNotOwner = errors.New("not the owner of the endpoint")
	// ErrListSuperseded means that a peer has reported a higher VM list
	// revision.
	ErrListSuperseded = errors.New("a peer has a higher VM list revision")
	// ErrListUnconfirmed means that the VM list was not confirmed within
	// AuthorityTerm.
	ErrListUnconfirmed = errors.New("the VM list is not confirmed")
	// ErrHandoverPending means that a former owner may still send orders,
	// grant pins or have granted pins that are in use.
	ErrHandoverPending = errors.New("orders or pins of the former owner may still be in effect")
	// ErrPinned means that a VM holds a pin on the adapter.
	ErrPinned = errors.New("the adapter is pinned")
	// ErrEvicting means that an eviction of the adapter has already been
	// ordered.
	ErrEvicting = errors.New("the adapter is being evicted")
)
