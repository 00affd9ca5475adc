package ownership

import "errors"

// Reasons for which an order or a pin is refused. They are compared with errors.Is.
var (
	// ErrNotOwner means that another VM owns the endpoint by the list in force here.
	ErrNotOwner = errors.New("not the owner of the endpoint")
	// ErrSuperseded means that a peer has a higher list revision.
	ErrSuperseded = errors.New("a peer has a higher VM list revision")
	// ErrUnconfirmed means that the list was not confirmed within AuthorityTerm.
	ErrUnconfirmed = errors.New("the VM list is not confirmed")
	// ErrHandover means that rights of a former owner may still run.
	ErrHandover = errors.New("rights of the former owner have not ended")
	// ErrPinned means that a VM holds a pin on the adapter.
	ErrPinned = errors.New("the adapter is pinned")
	// ErrEvicting means that an eviction of the adapter was already ordered.
	ErrEvicting = errors.New("the adapter is being evicted")
)
