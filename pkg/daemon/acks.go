package daemon

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// appliedBook knows up to which revision the VMs have applied all records. A
// raised share waits for every listed VM, while only watchers exchange
// heartbeats across data centres, so watchers pass on the least revision of
// each data centre.
type appliedBook struct {
	daemon *Daemon

	mu sync.Mutex
	// list is the list revision that all of the book belongs to. A new list
	// may name VMs that no group counted, so it empties the book.
	list        ids.Revision
	vms         map[ids.VMID]ids.Revision
	dataCentres map[ids.DataCentreID]ids.Revision
}

func newAppliedBook(d *Daemon) *appliedBook {
	b := &appliedBook{daemon: d}
	b.reset(0)
	return b
}

// reset is called with the lock held.
func (b *appliedBook) reset(list ids.Revision) {
	b.list = list
	b.vms = make(map[ids.VMID]ids.Revision)
	b.dataCentres = make(map[ids.DataCentreID]ids.Revision)
}

// heard takes a VM's own revision and the limits part of its heartbeat.
func (b *appliedBook) heard(now time.Time, beat peer.Heartbeat) {
	limits := b.daemon.tokens.table
	limits.ObserveApplied(now, beat.From, beat.Digest.RecordsRevision)
	list := b.daemon.members.List()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.list != list.Revision {
		b.reset(list.Revision)
	}
	b.vms[beat.From] = max(b.vms[beat.From], beat.Digest.RecordsRevision)
	parts, ok := decodeApplied(beat.Limits)
	if !ok || parts.ListRevision != list.Revision {
		return
	}
	for id, revision := range parts.DataCentres {
		if id != b.daemon.settings.DataCentre {
			b.dataCentres[id] = max(b.dataCentres[id], revision)
		}
	}
	for _, vm := range list.VMs {
		if revision := max(parts.All, b.dataCentres[vm.DataCentre]); revision > 0 && vm.ID != b.daemon.settings.VMID {
			limits.ObserveApplied(now, vm.ID, revision)
		}
	}
}

// part writes the limits part of a heartbeat to a VM.
func (b *appliedBook) part(to ids.VMID) json.RawMessage {
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
	b.dataCentres[b.daemon.settings.DataCentre] = b.leastHere(list)
	parts := peer.AppliedRevisions{ListRevision: list.Revision}
	if vm.DataCentre == b.daemon.settings.DataCentre {
		parts.All = b.leastOfAll(list)
	} else {
		parts.DataCentres = b.dataCentres
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

// leastHere returns the least revision among the VMs of the own data centre,
// leaving ones included.
func (b *appliedBook) leastHere(list *membership.List) ids.Revision {
	least := ids.Revision(b.daemon.through.Load())
	for _, vm := range list.VMs {
		if vm.DataCentre == b.daemon.settings.DataCentre && vm.ID != b.daemon.settings.VMID {
			least = min(least, b.vms[vm.ID])
		}
	}
	return least
}

func (b *appliedBook) leastOfAll(list *membership.List) ids.Revision {
	least := ids.Revision(b.daemon.through.Load())
	for _, vm := range list.VMs {
		least = min(least, b.dataCentres[vm.DataCentre])
	}
	return least
}

func decodeApplied(raw json.RawMessage) (peer.AppliedRevisions, bool) {
	var parts peer.AppliedRevisions
	if len(raw) == 0 || json.Unmarshal(raw, &parts) != nil {
		return peer.AppliedRevisions{}, false
	}
	return parts, true
}

// addParts puts the daemon's parts into a heartbeat. Peers take the records
// revision for an acknowledgement, so it must not run ahead of the parts; the
// age that belongs to a higher revision is then left out.
func (d *Daemon) addParts(now time.Time, to ids.VMID, beat *peer.Heartbeat) {
	if through := ids.Revision(d.through.Load()); through < beat.Digest.RecordsRevision {
		beat.Digest.RecordsRevision = through
		beat.Digest.RecordsAgeMillis = never
	}
	beat.Endpoints = d.reports.due(now, to)
	beat.Limits = d.applied.part(to)
}
