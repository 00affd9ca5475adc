// Package platformapi defines the HTTP paths and bodies of the configuration
// service. VMs list and watch its records and VM lists and never write them.
package platformapi

import (
	"encoding/json"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Paths of the configuration service.
const (
	PathRecords = "/v1/records"
	PathWatch   = "/v1/watch"
	PathVMs     = "/v1/vms"
)

// Listing is the response to GET /v1/records: all records at one revision.
type Listing struct {
	Revision ids.Revision `json:"revision"`
	Items    []Item       `json:"items"`
}

// Item is one published record.
type Item struct {
	// Key is the kind and id of the record, in the form kind/id.
	Key      string          `json:"key"`
	Revision ids.Revision    `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Changes is the response to GET /v1/watch: all changes after the requested
// revision, in order of revision. Revision is the one through which the changes
// are complete.
type Changes struct {
	Revision ids.Revision `json:"revision"`
	Events   []Event      `json:"events"`
}

// Event is one publication or withdrawal of a record.
type Event struct {
	Key      string          `json:"key"`
	Revision ids.Revision    `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	// Deleted says that the record was withdrawn; Value is then empty.
	Deleted bool `json:"deleted,omitempty"`
}

// VMState says whether a VM in the list takes part or is about to leave.
type VMState string

// The states of a VM in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry VM in the VM list.
type VM struct {
	ID         ids.VMID         `json:"id"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	// PeerAddress is the IP address and port at which the VM accepts calls of
	// its peers.
	PeerAddress string  `json:"peerAddress"`
	State       VMState `json:"state"`
}

// VMList is the response to GET /v1/vms. Its revisions are a sequence separate
// from that of the records.
type VMList struct {
	Revision ids.Revision `json:"revision"`
	VMs      []VM         `json:"vms"`
}
