// Package platformapi defines the HTTP bodies of the configuration service,
// which the system only reads and watches.
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

// Listing is the answer to GET /v1/records: all records at one revision.
type Listing struct {
	Revision ids.Revision `json:"revision"`
	Items    []Item       `json:"items"`
}

// Item is one published record.
type Item struct {
	// Key is the kind and id of the record, as kind/id.
	Key      string          `json:"key"`
	Revision ids.Revision    `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Changes is the answer to GET /v1/watch: the changes after the revision that
// was asked for, in order of revision.
type Changes struct {
	Revision ids.Revision `json:"revision"`
	Events   []Event      `json:"events"`
}

// Event is one publication or withdrawal.
type Event struct {
	Key      string          `json:"key"`
	Revision ids.Revision    `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// VMState tells whether a VM takes part.
type VMState string

// The states of a VM in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry VM of the list.
type VM struct {
	ID         ids.VMID         `json:"id"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	// PeerAddress is the IP number and port of the VM's peer listener.
	PeerAddress string  `json:"peerAddress"`
	State       VMState `json:"state"`
}

// VMList is the answer to GET /v1/vms. It has a revision sequence of its own.
type VMList struct {
	Revision ids.Revision `json:"revision"`
	VMs      []VM         `json:"vms"`
}
