package peer

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// Methods between the VMs that use an endpoint and its owner, the VM that
// decides on loads and evictions there.
const (
	// MethodPinsAcquire asks the owner of endpoints for pins, or renews them.
	MethodPinsAcquire = "pins.acquire"
	// MethodPinsRelease gives pins back before they expire.
	MethodPinsRelease = "pins.release"
	// MethodOwnerHandover asks the former owner of endpoints for the pins it
	// granted and the waits it still has to keep.
	MethodOwnerHandover = "owner.handover"
	// MethodReportDemand tells the owner of an endpoint which requests wait for
	// adapters.
	MethodReportDemand = "work.wait"
)

// PinKey identifies what a pin protects from eviction: an adapter version on an
// endpoint.
type PinKey struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	Ref      ids.AdapterRef `json:"ref"`
}

// PinsAcquireRequest asks for pins. A request for a pin that the sender already
// holds renews it, so the message may be sent again.
type PinsAcquireRequest struct {
	Sender ids.VMID   `json:"sender"`
	Boot   ids.BootID `json:"boot"`
	// Sequence orders the acquire and release messages of one sender, so that a
	// delayed release does not end a pin that was acquired after it.
	Sequence uint64 `json:"sequence"`
	// Revision is the revision of the sender's VM list.
	Revision ids.Revision `json:"revision"`
	Pins     []PinKey     `json:"pins"`
}

// PinRefusal says why a pin was not granted.
type PinRefusal string

// The reasons for refusing a pin.
const (
	// PinNotOwner means that the receiver does not own the endpoint according
	// to its VM list.
	PinNotOwner PinRefusal = "notOwner"
	// PinNoAuthority means that the receiver cannot confirm that its VM list is
	// current.
	PinNoAuthority PinRefusal = "noAuthority"
	// PinHandover means that a former owner may still order evictions on the
	// endpoint.
	PinHandover PinRefusal = "handover"
	// PinEvicting means that an eviction of the adapter version has been
	// ordered.
	PinEvicting PinRefusal = "evicting"
	// PinNotResident means that the adapter version is not resident on the
	// endpoint.
	PinNotResident PinRefusal = "notResident"
)

// PinGrant is the answer for one pin, which is granted if Refusal is empty.
type PinGrant struct {
	Pin     PinKey     `json:"pin"`
	Refusal PinRefusal `json:"refusal,omitempty"`
	// TermMillis is how long the pin is valid, counted from when the holder
	// sent its request.
	TermMillis int64 `json:"termMillis,omitempty"`
	// EndpointBoot is the boot id of the engine in which the adapter is
	// resident.
	EndpointBoot ids.BootID `json:"endpointBoot,omitempty"`
}

// PinsAcquireReply answers each pin of a PinsAcquireRequest.
type PinsAcquireReply struct {
	Sender   ids.VMID     `json:"sender"`
	Boot     ids.BootID   `json:"boot"`
	Revision ids.Revision `json:"revision"`
	Grants   []PinGrant   `json:"grants"`
}

// PinsReleaseRequest gives pins back. The sender must have no requests in
// flight that rely on them.
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

// HandoverRequest is sent by the new owner of endpoints to the former owner,
// which thereby learns of Revision and stops ordering evictions and granting
// pins.
type HandoverRequest struct {
	Sender ids.VMID   `json:"sender"`
	Boot   ids.BootID `json:"boot"`
	// Revision is the VM list revision under which the sender became the owner.
	Revision  ids.Revision     `json:"revision"`
	Endpoints []ids.EndpointID `json:"endpoints"`
}

// HeldPin is a pin that the former owner granted and that is still valid.
type HeldPin struct {
	Ref             ids.AdapterRef `json:"ref"`
	Holder          ids.VMID       `json:"holder"`
	Sequence        uint64         `json:"sequence"`
	RemainingMillis int64          `json:"remainingMillis"`
}

// PendingEviction is an eviction whose order may still reach the engine, for at
// most RemainingMillis.
type PendingEviction struct {
	Ref             ids.AdapterRef `json:"ref"`
	RemainingMillis int64          `json:"remainingMillis"`
}

// EndpointHandover is what the former owner knows about one endpoint.
type EndpointHandover struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	// OwnedThrough is the last VM list revision of an unbroken sequence under
	// which the sender was the owner, or zero if it never was.
	OwnedThrough ids.Revision `json:"ownedThrough"`
	// OrdersHeldMillis, GrantsHeldMillis and EvictionsHeldMillis are the
	// remaining times for which the sender itself had to hold back orders, pin
	// grants and evictions because of the owner before it.
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
	// Previous is the VM list before the one of the request, as the sender knew
	// it, with only the VMs of the data centre. From it, a VM that has just
	// started learns which VM was the former owner.
	Previous *platformapi.VMList `json:"previous,omitempty"`
}

// WaitingDemand is the number of requests of one customer that wait at the
// sender for one adapter version.
type WaitingDemand struct {
	// Endpoint is where the sender expects the adapter to be loaded.
	Endpoint ids.EndpointID `json:"endpoint"`
	Ref      ids.AdapterRef `json:"ref"`
	Customer ids.CustomerID `json:"customer"`
	// Requests is the number of requests that wait now. It replaces the number
	// of an earlier message, so that repeats do not add up.
	Requests int `json:"requests"`
	// OldestMillis is how long the oldest of these requests has waited.
	OldestMillis int64 `json:"oldestMillis"`
}

// DemandReport tells the owner of endpoints which requests wait for adapters.
type DemandReport struct {
	Sender ids.VMID   `json:"sender"`
	Boot   ids.BootID `json:"boot"`
	// Revision is the revision of the sender's VM list.
	Revision ids.Revision    `json:"revision"`
	Demand   []WaitingDemand `json:"work"`
}

// DemandReportReply acknowledges DemandReport.
type DemandReportReply struct {
	Sender   ids.VMID     `json:"sender"`
	Boot     ids.BootID   `json:"boot"`
	Revision ids.Revision `json:"revision"`
	// NotOwner lists endpoints that the receiver does not own according to its
	// VM list.
	NotOwner []ids.EndpointID `json:"notOwner,omitempty"`
	// Crowded lists endpoints on which no adapter can be evicted now.
	Crowded []ids.EndpointID `json:"crowded,omitempty"`
}
