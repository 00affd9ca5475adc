package peer

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// AppliedParts is the limits part of a heartbeat: up to which revision whole
// groups of VMs have applied all records. VMs that exchange no heartbeats
// learn of each other's acknowledgements through it.
type AppliedParts struct {
	// List is the VM list revision that the groups are taken from.
	List ids.Revision `json:"l"`
	// DataCentres holds the least revision among the VMs of each data centre.
	// Watchers send it to watchers of other data centres.
	DataCentres map[ids.DataCentreID]ids.Revision `json:"d,omitempty"`
	// All is the least revision among all VMs. Watchers send it inside their
	// data centre.
	All ids.Revision `json:"a,omitempty"`
}
