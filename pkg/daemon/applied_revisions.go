package daemon

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// appliedRevisions tracks the revision up to which each VM has applied all
// records. A raised share of a limit takes effect only after every listed VM
// has applied the record, while only watchers exchange heartbeats across data
// centres, so watchers pass on the lowest revision of each data centre.
type appliedRevisions struct {
	daemon *Daemon

	mu sync.Mutex
	// list is the revision of the VM list that the maps belong to. A new list
	// may name VMs that no data centre's lowest revision includes, so it
	// clears the maps.
	list         ids.Revision
	byVM         map[ids.VMID]ids.Revision
	byDataCentre map[ids.DataCentreID]ids.Revision
}

func newAppliedRevisions(d *Daemon) *appliedRevisions {
	b := &appliedRevisions{daemon: d}
	b.reset(0)
	return b
}

// reset clears the maps for a new VM list. The caller holds mu.
func (b *appliedRevisions) reset(list ids.Revision) {
	b.list = list
	b.byVM = make(map[ids.VMID]ids.Revision)
	b.byDataCentre = make(map[ids.DataCentreID]ids.Revision)
}

// observeHeartbeat records a VM's own revision and those in the limits part
// of its heartbeat.
func (b *appliedRevisions) observeHeartbeat(now time.Time, heartbeat peer.Heartbeat) {
	limits := b.daemon.limiter.table
	limits.ObserveApplied(now, heartbeat.From, heartbeat.Digest.RecordsRevision)
	list := b.daemon.members.List()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.list != list.Revision {
		b.reset(list.Revision)
	}
	b.byVM[heartbeat.From] = max(b.byVM[heartbeat.From], heartbeat.Digest.RecordsRevision)
	parts, ok := decodeAppliedParts(heartbeat.Limits)
	if !ok || parts.ListRevision != list.Revision {
		return
	}
	for id, revision := range parts.DataCentres {
		if id != b.daemon.settings.DataCentre {
			b.byDataCentre[id] = max(b.byDataCentre[id], revision)
		}
	}
	for _, vm := range list.VMs {
		if revision := max(parts.All, b.byDataCentre[vm.DataCentre]); revision > 0 && vm.ID != b.daemon.settings.VMID {
			limits.ObserveApplied(now, vm.ID, revision)
		}
	}
}

// encodeFor returns the limits part of a heartbeat to a VM, or nil if there
// is nothing to pass on.
func (b *appliedRevisions) encodeFor(to ids.VMID) json.RawMessage {
	list := b.daemon.members.List()
	vm, known := list.VM(to)
	if !known || !b.daemon.members.IsWatcher() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.list != list.Revision {
		b.reset(list.Revision)
	}
	b.byDataCentre[b.daemon.settings.DataCentre] = b.minInDataCentre(list)
	parts := peer.AppliedRevisions{ListRevision: list.Revision}
	if vm.DataCentre == b.daemon.settings.DataCentre {
		parts.All = b.minOfAllDataCentres(list)
	} else {
		parts.DataCentres = b.byDataCentre
	}
	if parts.All == 0 && len(parts.DataCentres) == 0 {
		return nil
	}
	encoded, err := json.Marshal(parts)
	if err != nil {
		return nil
	}
	return encoded
}

// minInDataCentre returns the lowest revision among the VMs of this data
// centre, leaving ones included.
func (b *appliedRevisions) minInDataCentre(list *membership.List) ids.Revision {
	lowest := ids.Revision(b.daemon.appliedThrough.Load())
	for _, vm := range list.VMs {
		if vm.DataCentre == b.daemon.settings.DataCentre && vm.ID != b.daemon.settings.VMID {
			lowest = min(lowest, b.byVM[vm.ID])
		}
	}
	return lowest
}

// minOfAllDataCentres returns the lowest revision among the data centres of
// all listed VMs.
func (b *appliedRevisions) minOfAllDataCentres(list *membership.List) ids.Revision {
	lowest := ids.Revision(b.daemon.appliedThrough.Load())
	for _, vm := range list.VMs {
		lowest = min(lowest, b.byDataCentre[vm.DataCentre])
	}
	return lowest
}

// decodeAppliedParts decodes the limits part of a heartbeat.
func decodeAppliedParts(raw json.RawMessage) (peer.AppliedRevisions, bool) {
	var parts peer.AppliedRevisions
	if len(raw) == 0 || json.Unmarshal(raw, &parts) != nil {
		return peer.AppliedRevisions{}, false
	}
	return parts, true
}

// addHeartbeatParts adds endpoint reports and applied revisions to a
// heartbeat. Peers take the records revision as an acknowledgement, so it
// must not be ahead of what the components have applied; the age, which
// belongs to the higher revision, is then left out.
func (d *Daemon) addHeartbeatParts(now time.Time, to ids.VMID, heartbeat *peer.Heartbeat) {
	if appliedThrough := ids.Revision(d.appliedThrough.Load()); appliedThrough < heartbeat.Digest.RecordsRevision {
		heartbeat.Digest.RecordsRevision = appliedThrough
		heartbeat.Digest.RecordsAgeMillis = ageUnknown
	}
	heartbeat.Endpoints = d.reports.encodeDue(now, to)
	heartbeat.Limits = d.appliedRevisions.encodeFor(to)
}
