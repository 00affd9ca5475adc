package peer

import (
	"encoding/json"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// Methods that spread records and VM lists between VMs.
const (
	// MethodHeartbeat exchanges Heartbeats.
	MethodHeartbeat = "peer.heartbeat"
	// MethodDelta asks for records that changed.
	MethodDelta = "peer.delta"
	// MethodVMList asks for newer VM lists.
	MethodVMList = "peer.vmList"
)

// Digest summarises which records and VM list a VM has and how fresh they are.
// An age is counted from when the platform read was sent that confirmed the
// revision as the newest. The names on the wire are short because digests are
// most of the control traffic.
type Digest struct {
	// RecordsRevision is the revision through which the sender's catalog is
	// complete.
	RecordsRevision ids.Revision `json:"r"`
	// RecordsAgeMillis is negative if RecordsRevision was never confirmed.
	RecordsAgeMillis int64 `json:"ra"`
	// ListRevision is the revision of the sender's VM list.
	ListRevision ids.Revision `json:"l"`
	// ListAgeMillis is negative if ListRevision was never confirmed.
	ListAgeMillis int64 `json:"la"`
}

// Heartbeat is both the request and the reply of peer.heartbeat. Only one VM of
// each pair calls the other, so that a pair costs one exchange per interval.
type Heartbeat struct {
	From ids.VMID   `json:"f"`
	Boot ids.BootID `json:"b"`
	// Sequence numbers the sender's heartbeats to this receiver within one
	// boot.
	Sequence uint64 `json:"s"`
	// Echo is the highest Sequence that the sender received from the receiver's
	// current boot; zero if none. It proves that this message was written after
	// that heartbeat was sent, which bounds the age of the information in the
	// message.
	Echo uint64 `json:"e,omitempty"`
	// Ready is false until the sender has a complete view of the configuration.
	Ready  bool   `json:"y,omitempty"`
	Digest Digest `json:"d"`
	// Load is the number of requests that the sender holds now, waiting or
	// running.
	Load uint32 `json:"q,omitempty"`
	// Limits and Endpoints are payloads of other parts of the system that
	// travel with heartbeats: AppliedRevisions and EndpointReports.
	Limits    json.RawMessage `json:"lim,omitempty"`
	Endpoints json.RawMessage `json:"ep,omitempty"`
}

// DeltaRequest asks for the records that changed after a revision.
type DeltaRequest struct {
	From  ids.VMID     `json:"from"`
	Boot  ids.BootID   `json:"boot"`
	After ids.Revision `json:"after"`
}

// DeltaReply carries every change whose revision is in (After, Through]. If
// Full is set, it carries all records instead, and keys that are absent have
// been withdrawn.
type DeltaReply struct {
	From    ids.VMID            `json:"from"`
	Boot    ids.BootID          `json:"boot"`
	After   ids.Revision        `json:"after"`
	Through ids.Revision        `json:"through"`
	Full    bool                `json:"full,omitempty"`
	Events  []platformapi.Event `json:"events"`
	// More says that the reply was cut at the size limit, at revision Through.
	More bool `json:"more,omitempty"`
}

// VMListRequest asks for the VM lists after a revision.
type VMListRequest struct {
	From  ids.VMID     `json:"from"`
	Boot  ids.BootID   `json:"boot"`
	After ids.Revision `json:"after"`
}

// VMListReply carries the VM lists after the requested revision, in order of
// revision, as far as the sender still has them. The last one is the sender's
// newest.
type VMListReply struct {
	From  ids.VMID             `json:"from"`
	Boot  ids.BootID           `json:"boot"`
	Lists []platformapi.VMList `json:"lists"`
}
