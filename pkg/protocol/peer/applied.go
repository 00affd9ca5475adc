package peer

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// AppliedRevisions is the Limits payload of a heartbeat. It says up to which
// revision whole groups of VMs have applied all records, so that VMs which
// exchange no heartbeats learn of each other's progress: only watchers exchange
// heartbeats across data centres.
type AppliedRevisions struct {
	// ListRevision is the revision of the VM list from which the groups are
	// taken.
	ListRevision ids.Revision `json:"l"`
	// DataCentres holds, for each data centre, the revision up to which every
	// VM there has applied all records. Watchers send it to the watchers of
	// other data centres.
	DataCentres map[ids.DataCentreID]ids.Revision `json:"d,omitempty"`
	// All is the revision up to which every VM has applied all records.
	// Watchers send it to the VMs of their data centre.
	All ids.Revision `json:"a,omitempty"`
}
