package peer

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Methods with which an entry VM claims idempotency keys at their home VMs, the
// VMs that remember a key.
const (
	// MethodClaim asks a home for a claim on a key.
	MethodClaim = "claims.claim"
	// MethodClaimCommit announces that the request is about to be sent.
	MethodClaimCommit = "claims.commit"
	// MethodClaimEnd reports how the request ended.
	MethodClaimEnd = "claims.end"
	// MethodClaimRelease gives a claim back unused.
	MethodClaimRelease = "claims.release"
)

// IdempotencyKey identifies a request that must run at most once, however often
// the caller repeats it.
type IdempotencyKey struct {
	Customer ids.CustomerID `json:"customer"`
	Route    ids.RouteID    `json:"route"`
	// Key is the value of the caller's Idempotency-Key header.
	Key string `json:"key"`
}

// ClaimID identifies one attempt of an entry VM to claim a key.
type ClaimID struct {
	VM       ids.VMID   `json:"vm"`
	Boot     ids.BootID `json:"boot"`
	Sequence uint64     `json:"seq"`
}

// Claim asks a home VM for the right to run the request of a key.
type Claim struct {
	ID  ClaimID        `json:"id"`
	Key IdempotencyKey `json:"key"`
	// BodyDigest is the SHA-256 of method, path and body in hexadecimal.
	BodyDigest string `json:"digest"`
	// ListRevision is the revision of the claimer's VM list. Homes is the set
	// of home VMs that the claimer computes from the list.
	ListRevision ids.Revision `json:"list"`
	Homes        []ids.VMID   `json:"homes"`
	// Region is the region of the route.
	Region string `json:"region,omitempty"`
	// WindowMillis is the route's repeat window: how long a key is remembered.
	WindowMillis int64 `json:"windowMillis"`
}

// ClaimStatus is a home's decision on a claim.
type ClaimStatus string

// The decisions of a home.
const (
	// ClaimGranted counts towards the quorum of homes.
	ClaimGranted ClaimStatus = "granted"
	// ClaimHeld says that another claim has the key. ClaimReply.State says how
	// far its request has come.
	ClaimHeld ClaimStatus = "held"
	// ClaimNotCovered says that the home's memory does not go back to the key's
	// creation, so that it cannot tell whether the key was used.
	ClaimNotCovered ClaimStatus = "notCovered"
	// ClaimOtherHomes says that the home computes another set of homes from its
	// VM list.
	ClaimOtherHomes ClaimStatus = "otherHomes"
	// ClaimListBehind says that the home's VM list is older than the claimer's.
	ClaimListBehind ClaimStatus = "listBehind"
	// ClaimKeyReused says that the key was used for a request with another
	// method, path or body.
	ClaimKeyReused ClaimStatus = "keyReused"
	// ClaimKeyExpired says that the key was created before the repeat window.
	ClaimKeyExpired ClaimStatus = "keyExpired"
	// ClaimKeyFromFuture says that the creation time in the key is in the
	// future.
	ClaimKeyFromFuture ClaimStatus = "keyFromFuture"
	// ClaimReleased says that the claim was released before this request
	// arrived.
	ClaimReleased ClaimStatus = "released"
	// ClaimFull says that the home has no memory left for claims.
	ClaimFull ClaimStatus = "full"
)

// ClaimState says how far the request of a claimed key has come.
type ClaimState string

// The states of a claim at a home.
const (
	// ClaimStateClaimed: the claim is granted and the request has not been
	// sent.
	ClaimStateClaimed ClaimState = "claimed"
	// ClaimStateCommitted: the request is about to be sent or has been sent.
	ClaimStateCommitted ClaimState = "committed"
	// ClaimStateEnded: the request has ended and its StoredAnswer is known.
	ClaimStateEnded ClaimState = "ended"
)

// StoredAnswer is the endpoint's answer to the request of a key, kept for
// repeats of the request.
type StoredAnswer struct {
	Status int `json:"status"`
	// Header holds the header fields that belong to the answer.
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Dropped says that the answer was too large to be stored.
	Dropped bool `json:"dropped,omitempty"`
	// Unknown says that the request ended without a known outcome.
	Unknown bool `json:"unknown,omitempty"`
}

// ClaimReply is a home's answer to a Claim.
type ClaimReply struct {
	Home   ids.VMID    `json:"home"`
	Boot   ids.BootID  `json:"boot"`
	ID     ClaimID     `json:"id"`
	Status ClaimStatus `json:"status"`
	// ListRevision is the revision of the home's VM list, and Homes the set of
	// homes that it computes from the list.
	ListRevision ids.Revision `json:"list"`
	Homes        []ids.VMID   `json:"homes,omitempty"`
	// Holder, State and Answer describe the claim that has the key.
	Holder *ClaimID      `json:"holder,omitempty"`
	State  ClaimState    `json:"state,omitempty"`
	Answer *StoredAnswer `json:"answer,omitempty"`
}

// ClaimCommit tells a home that the request is about to be sent.
type ClaimCommit struct {
	ID  ClaimID        `json:"id"`
	Key IdempotencyKey `json:"key"`
}

// ClaimEnd tells a home how the request ended.
type ClaimEnd struct {
	ID     ClaimID        `json:"id"`
	Key    IdempotencyKey `json:"key"`
	Answer StoredAnswer   `json:"answer"`
}

// ClaimRelease gives a claim back. The request has not run and will not run
// under this claim.
type ClaimRelease struct {
	ID  ClaimID        `json:"id"`
	Key IdempotencyKey `json:"key"`
}

// ClaimAck acknowledges ClaimCommit, ClaimEnd and ClaimRelease. All three are
// idempotent and may be sent again.
type ClaimAck struct {
	Home ids.VMID `json:"home"`
	// Known is false if the home has no such claim.
	Known bool `json:"known"`
}
