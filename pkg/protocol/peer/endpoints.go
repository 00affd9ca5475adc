package peer

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// Methods about endpoints.
const (
	// MethodPinsAcquire asks the owner of endpoints for pins, or renews them.
	MethodPinsAcquire = "pins.acquire"
	// MethodPinsRelease gives pins back before their term ends.
	MethodPinsRelease = "pins.release"
	// MethodOwnerHandover asks a former owner for its pins and holds.
	MethodOwnerHandover = "owner.handover"
	// MethodWorkWait tells the owner of an endpoint about waiting requests.
	MethodWorkWait = "work.wait"
)

// PinKey names what a pin protects: one adapter version on one endpoint.
type PinKey struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	Ref      ids.AdapterRef `json:"ref"`
}

// PinsAcquireRequest asks for pins. Asking again for a held pin renews it, so
// repeats are harmless.
type PinsAcquireRequest struct {
	Sender ids.VMID   `json:"sender"`
	Boot   ids.BootID `json:"boot"`
	// Sequence orders the acquire and release messages of one sender, so that
	// a late release does not end a pin that was acquired after it.
	Sequence uint64 `json:"sequence"`
	// Revision is the VM list revision of the sender.
	Revision ids.Revision `json:"revision"`
	Pins     []PinKey     `json:"pins"`
}

// PinRefusal tells why a pin was not granted.
type PinRefusal string

// The reasons for refusing a pin.
const (
	// PinNotOwner means that the asked VM does not own the endpoint by its list.
	PinNotOwner PinRefusal = "notOwner"
	// PinNoAuthority means that the asked VM cannot confirm its list.
	PinNoAuthority PinRefusal = "noAuthority"
	// PinHandover means that a former owner may still order evictions.
	PinHandover PinRefusal = "handover"
	// PinEvicting means that an eviction of the adapter has been ordered.
	PinEvicting PinRefusal = "evicting"
	// PinNotResident means that the endpoint does not hold the adapter version.
	PinNotResident PinRefusal = "notResident"
)

// PinGrant is the answer for one pin. An empty Refusal means that it is granted.
type PinGrant struct {
	Pin     PinKey     `json:"pin"`
	Refusal PinRefusal `json:"refusal,omitempty"`
	// TermMillis counts from the time at which the holder sent its request.
	TermMillis int64 `json:"termMillis,omitempty"`
	// EndpointBoot is the run of the engine in which the adapter is resident.
	EndpointBoot ids.BootID `json:"endpointBoot,omitempty"`
}

// PinsAcquireReply answers PinsAcquireRequest pin by pin.
type PinsAcquireReply struct {
	Sender   ids.VMID     `json:"sender"`
	Boot     ids.BootID   `json:"boot"`
	Revision ids.Revision `json:"revision"`
	Grants   []PinGrant   `json:"grants"`
}

// PinsReleaseRequest gives pins back. The sender must have no request in
// flight under them.
type PinsReleaseRequest struct {
	Sender   ids.VMID   `json:"sender"`
	Boot     ids.BootID `json:"boot"`
	Sequence uint64     `json:"sequence"`
	Pins     []PinKey   `json:"pins"`
}

// PinsReleaseReply acknowledges PinsReleaseRequest.
type PinsReleaseReply struct {
	Sender   ids.VMID     `json:"sender"`
	Boot     ids.BootID   `json:"boot"`
	Revision ids.Revision `json:"revision"`
}

// HandoverRequest is sent by the new owner of endpoints. By receiving it the
// former owner learns of Revision and stops ordering and granting.
type HandoverRequest struct {
	Sender ids.VMID   `json:"sender"`
	Boot   ids.BootID `json:"boot"`
	// Revision is the VM list revision under which the sender gained the endpoints.
	Revision  ids.Revision     `json:"revision"`
	Endpoints []ids.EndpointID `json:"endpoints"`
}

// HeldPin is a pin that the former owner granted.
type HeldPin struct {
	Ref             ids.AdapterRef `json:"ref"`
	Holder          ids.VMID       `json:"holder"`
	Sequence        uint64         `json:"sequence"`
	RemainingMillis int64          `json:"remainingMillis"`
}

// PendingEviction is an eviction whose order may still reach the engine.
type PendingEviction struct {
	Ref             ids.AdapterRef `json:"ref"`
	RemainingMillis int64          `json:"remainingMillis"`
}

// EndpointHandover is what the former owner knows about one endpoint.
type EndpointHandover struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	// OwnedThrough is the last list revision under which the sender was the
	// owner without a gap, or zero if it never was.
	OwnedThrough ids.Revision `json:"ownedThrough"`
	// OrdersHeldMillis, GrantsHeldMillis and EvictionsHeldMillis are what
	// remains of the waits that the sender had to keep after its own
	// predecessor.
	OrdersHeldMillis    int64             `json:"ordersHeldMillis,omitempty"`
	GrantsHeldMillis    int64             `json:"grantsHeldMillis,omitempty"`
	EvictionsHeldMillis int64             `json:"evictionsHeldMillis,omitempty"`
	Pins                []HeldPin         `json:"pins,omitempty"`
	Evictions           []PendingEviction `json:"evictions,omitempty"`
}

// HandoverReply answers HandoverRequest.
type HandoverReply struct {
	Sender    ids.VMID           `json:"sender"`
	Boot      ids.BootID         `json:"boot"`
	Revision  ids.Revision       `json:"revision"`
	Endpoints []EndpointHandover `json:"endpoints"`
	// Previous is the list before the one of the request as the sender saw it,
	// cut down to the data centre. A VM that has just started learns from it
	// whom to ask.
	Previous *platformapi.VMList `json:"previous,omitempty"`
}

// WaitingWork is the demand of one customer for one adapter version that waits
// at the sender.
type WaitingWork struct {
	// Endpoint is where the sender expects the adapter to be loaded.
	Endpoint ids.EndpointID `json:"endpoint"`
	Ref      ids.AdapterRef `json:"ref"`
	Customer ids.CustomerID `json:"customer"`
	// Requests is the number that waits now; it replaces the number of an
	// earlier message, so that repeats count once.
	Requests int `json:"requests"`
	// OldestMillis is how long the oldest of them has waited.
	OldestMillis int64 `json:"oldestMillis"`
}

// WorkWaitRequest tells the owner of endpoints about demand.
type WorkWaitRequest struct {
	Sender   ids.VMID      `json:"sender"`
	Boot     ids.BootID    `json:"boot"`
	Revision ids.Revision  `json:"revision"`
	Work     []WaitingWork `json:"work"`
}

// WorkWaitReply acknowledges WorkWaitRequest.
type WorkWaitReply struct {
	Sender   ids.VMID     `json:"sender"`
	Boot     ids.BootID   `json:"boot"`
	Revision ids.Revision `json:"revision"`
	// NotOwner lists endpoints that the asked VM does not own by its list.
	NotOwner []ids.EndpointID `json:"notOwner,omitempty"`
	// Crowded lists endpoints on which nothing can be evicted now.
	Crowded []ids.EndpointID `json:"crowded,omitempty"`
}
