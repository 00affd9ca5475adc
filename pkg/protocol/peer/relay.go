package peer

import (
	"encoding/json"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// Methods that spread records and VM lists.
const (
	MethodHeartbeat = "peer.heartbeat"
	MethodDelta     = "peer.delta"
	MethodVMList    = "peer.vmList"
)

// Digest tells what a VM holds and how fresh it is. An age counts from the
// moment a platform read that confirmed the revision as the newest was sent.
// Field names are short because digests are most of the control traffic.
type Digest struct {
	// Records is the revision through which the sender's catalog is complete.
	Records ids.Revision `json:"r"`
	// RecordsAgeMillis is negative when Records was never confirmed.
	RecordsAgeMillis int64 `json:"ra"`
	// List is the revision of the sender's VM list.
	List ids.Revision `json:"l"`
	// ListAgeMillis is negative when List was never confirmed.
	ListAgeMillis int64 `json:"la"`
}

// Heartbeat is both the request and the reply of peer.heartbeat. Of each pair
// of VMs only one calls, so that a pair costs one exchange per interval.
type Heartbeat struct {
	From ids.VMID   `json:"f"`
	Boot ids.BootID `json:"b"`
	// Sequence numbers the sender's heartbeats to this receiver in this boot.
	Sequence uint64 `json:"s"`
	// Echo is the highest Sequence received from the receiver's present boot,
	// zero for none. It proves that this message was written after that
	// heartbeat was sent, which bounds the age of what the message says.
	Echo uint64 `json:"e,omitempty"`
	// Ready is false while the sender has no complete view yet.
	Ready  bool   `json:"y,omitempty"`
	Digest Digest `json:"d"`
	// Load is the number of requests that the sender holds.
	Load uint32 `json:"q,omitempty"`
	// Limits and Endpoints carry the parts that those packages add.
	Limits    json.RawMessage `json:"lim,omitempty"`
	Endpoints json.RawMessage `json:"ep,omitempty"`
}

// DeltaRequest asks for the changes above a revision.
type DeltaRequest struct {
	From  ids.VMID     `json:"from"`
	Boot  ids.BootID   `json:"boot"`
	After ids.Revision `json:"after"`
}

// DeltaReply carries every change in (After, Through]. With Full set it
// carries all records instead, and keys that are absent were withdrawn.
type DeltaReply struct {
	From    ids.VMID            `json:"from"`
	Boot    ids.BootID          `json:"boot"`
	After   ids.Revision        `json:"after"`
	Through ids.Revision        `json:"through"`
	Full    bool                `json:"full,omitempty"`
	Events  []platformapi.Event `json:"events"`
	// More tells that the reply was cut to the size limit at Through.
	More bool `json:"more,omitempty"`
}

// VMListRequest asks for the VM lists above a revision.
type VMListRequest struct {
	From  ids.VMID     `json:"from"`
	Boot  ids.BootID   `json:"boot"`
	After ids.Revision `json:"after"`
}

// VMListReply carries the lists above the revision that was asked for, in
// order, as far as the sender still has them; the last one is its newest.
type VMListReply struct {
	From  ids.VMID             `json:"from"`
	Boot  ids.BootID           `json:"boot"`
	Lists []platformapi.VMList `json:"lists"`
}
