package peer

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Methods that claim idempotency keys at their home VMs.
const (
	MethodClaim        = "claims.claim"
	MethodClaimCommit  = "claims.commit"
	MethodClaimEnd     = "claims.end"
	MethodClaimRelease = "claims.release"
)

// IdempotencyKey names a non-idempotent call of a caller.
type IdempotencyKey struct {
	Customer ids.CustomerID `json:"customer"`
	Route    ids.RouteID    `json:"route"`
	// Key is the value of the caller's Idempotency-Key header.
	Key string `json:"key"`
}

// ClaimID names one attempt of one entry VM to claim a key.
type ClaimID struct {
	VM       ids.VMID   `json:"vm"`
	Boot     ids.BootID `json:"boot"`
	Sequence uint64     `json:"seq"`
}

// Claim asks a home VM for the right to run the call of a key.
type Claim struct {
	ID  ClaimID        `json:"id"`
	Key IdempotencyKey `json:"key"`
	// BodyDigest is the SHA-256 of method, path and body in hexadecimal.
	BodyDigest string `json:"digest"`
	// ListRevision and Homes are the claimer's VM list and the home set that
	// follows from it.
	ListRevision ids.Revision `json:"list"`
	Homes        []ids.VMID   `json:"homes"`
	// Region is the region of the route.
	Region string `json:"region,omitempty"`
	// WindowMillis is the repeat window of the route.
	WindowMillis int64 `json:"windowMillis"`
}

// ClaimStatus is a home's answer to a claim.
type ClaimStatus string

// The answers of a home.
const (
	// ClaimGranted counts towards the quorum.
	ClaimGranted ClaimStatus = "granted"
	// ClaimHeld: another claim has the key; State tells how far it is.
	ClaimHeld ClaimStatus = "held"
	// ClaimNotCovered: the home's memory does not reach back to the key.
	ClaimNotCovered ClaimStatus = "notCovered"
	// ClaimOtherHomes: the home computes another home set from its list.
	ClaimOtherHomes ClaimStatus = "otherHomes"
	// ClaimListBehind: the home's VM list is older than the claimer's.
	ClaimListBehind ClaimStatus = "listBehind"
	// ClaimKeyReused: the key stands for a call with another body.
	ClaimKeyReused ClaimStatus = "keyReused"
	// ClaimKeyExpired: the key was created before the repeat window.
	ClaimKeyExpired ClaimStatus = "keyExpired"
	// ClaimKeyFromFuture: the key's creation time has not come yet.
	ClaimKeyFromFuture ClaimStatus = "keyFromFuture"
	// ClaimReleased: the claim was released before this request arrived.
	ClaimReleased ClaimStatus = "released"
	// ClaimFull: the home has no memory left for claims.
	ClaimFull ClaimStatus = "full"
)

// ClaimState is how far the call of a key has come.
type ClaimState string

// The states of a claim at a home.
const (
	ClaimStateClaimed   ClaimState = "claimed"
	ClaimStateCommitted ClaimState = "committed"
	ClaimStateEnded     ClaimState = "ended"
)

// StoredAnswer is what the endpoint answered to the call of a key.
type StoredAnswer struct {
	Status int `json:"status"`
	// Header holds the header fields that are part of the answer.
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Dropped tells that the answer was too large to be stored.
	Dropped bool `json:"dropped,omitempty"`
	// Unknown tells that the call ended without a known outcome.
	Unknown bool `json:"unknown,omitempty"`
}

// ClaimReply is a home's answer to a Claim.
type ClaimReply struct {
	Home   ids.VMID    `json:"home"`
	Boot   ids.BootID  `json:"boot"`
	ID     ClaimID     `json:"id"`
	Status ClaimStatus `json:"status"`
	// ListRevision and Homes are the home's own.
	ListRevision ids.Revision `json:"list"`
	Homes        []ids.VMID   `json:"homes,omitempty"`
	// Holder, State and Answer describe the claim that has the key.
	Holder *ClaimID      `json:"holder,omitempty"`
	State  ClaimState    `json:"state,omitempty"`
	Answer *StoredAnswer `json:"answer,omitempty"`
}

// ClaimCommit tells a home that the call is about to be sent.
type ClaimCommit struct {
	ID  ClaimID        `json:"id"`
	Key IdempotencyKey `json:"key"`
}

// ClaimEnd tells a home how the call ended.
type ClaimEnd struct {
	ID     ClaimID        `json:"id"`
	Key    IdempotencyKey `json:"key"`
	Answer StoredAnswer   `json:"answer"`
}

// ClaimRelease gives a claim back. The call did not run and will not run under
// this claim.
type ClaimRelease struct {
	ID  ClaimID        `json:"id"`
	Key IdempotencyKey `json:"key"`
}

// ClaimAck answers commit, end and release. All three may be repeated.
type ClaimAck struct {
	Home ids.VMID `json:"home"`
	// Known is false when the home holds no such claim.
	Known bool `json:"known"`
}
