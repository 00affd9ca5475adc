package daemon

import (
	"encoding/hex"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
)

// Authenticate implements callers.Backend.
func (d *Daemon) Authenticate(hash callers.KeyHash) (ids.CustomerID, inferencev1.Reason) {
	customer, state := d.catalog.View().CustomerByKey(catalog.KeyHash(hash))
	switch state {
	case catalog.KeyActive:
		return customer, inferencev1.Reason_REASON_UNSPECIFIED
	case catalog.KeyWithdrawn:
		return "", inferencev1.Reason_REASON_KEY_WITHDRAWN
	}
	return "", inferencev1.Reason_REASON_KEY_UNKNOWN
}

// isCallerKeyHash reports to the log's redactor whether a hash is the hash of
// a caller's key.
func (d *Daemon) isCallerKeyHash(sha256Hex string) bool {
	raw, err := hex.DecodeString(sha256Hex)
	if err != nil || len(raw) != len(catalog.KeyHash{}) {
		return false
	}
	_, state := d.catalog.View().CustomerByKey(catalog.KeyHash(raw))
	return state != catalog.KeyUnknown
}

// Route implements callers.Backend.
func (d *Daemon) Route(path string) (ids.RouteID, *records.Route, bool) {
	route, ok := d.catalog.View().Route(path)
	return route.ID, route.Route, ok
}

// ViewAge implements callers.Backend. A view that was never confirmed counts
// as being as old as the process.
func (d *Daemon) ViewAge() time.Duration {
	now := time.Now()
	if age, ok := d.relay.ViewAge(now); ok {
		return age
	}
	return now.Sub(d.started)
}

// ageUnknown is the age of something that has not happened yet.
const ageUnknown = -1

// Status implements admin.Source.
func (d *Daemon) Status() admin.Status {
	now := time.Now()
	ready, reason := d.Ready()
	status := admin.Status{
		VM:             d.settings.VMID,
		Boot:           d.bootID,
		DataCentre:     d.settings.DataCentre,
		Region:         d.settings.Region,
		Version:        d.options.Version,
		UptimeMillis:   now.Sub(d.started).Milliseconds(),
		Ready:          ready,
		NotReadyReason: reason,
		Drain:          d.drainStatus(),
		Catalog:        d.catalogStatus(now),
		VMList:         d.listStatus(now),
		Customers:      d.customerStatus(now),
		Endpoints:      d.endpointStatus(now),
		Peers:          d.peerStatus(now),
		Requests:       admin.RequestStatus{InFlight: int(d.attemptsInFlight.Load()), FailedAttempts: d.metrics.failedAttempts()},
	}
	for _, queue := range d.allQueues() {
		lengths := make(map[string]int)
		for _, demand := range queue.queue.Demands(now) {
			lengths[demand.Ref.String()] += demand.Requests
		}
		for model, length := range lengths {
			status.Queues = append(status.Queues, admin.QueueStatus{Model: model, Length: length})
			status.Requests.Queued += length
		}
	}
	return status
}

func (d *Daemon) catalogStatus(now time.Time) admin.CatalogStatus {
	view := d.relay.Status(now)
	status := admin.CatalogStatus{Revision: view.Records, AgeMillis: ageUnknown, Watching: view.Watcher}
	if view.RecordsConfirmed {
		status.AgeMillis = view.RecordsAge.Milliseconds()
	}
	for _, count := range d.catalog.Counts() {
		status.Records += count
	}
	for _, refused := range d.catalog.RefusedRecords() {
		status.RefusedRecords = append(status.RefusedRecords, refused.Key+": "+refused.Reason)
	}
	return status
}

func (d *Daemon) listStatus(now time.Time) admin.VMListStatus {
	list := d.members.List()
	status := admin.VMListStatus{Revision: list.Revision, VMs: len(list.VMs), AgeMillis: ageUnknown}
	if at := d.members.ConfirmedAt(); !at.IsZero() {
		status.AgeMillis = now.Sub(at).Milliseconds()
	}
	return status
}

func (d *Daemon) customerStatus(now time.Time) []admin.CustomerStatus {
	var list []admin.CustomerStatus
	for _, state := range d.limiter.table.Snapshot(now).Customers {
		status := admin.CustomerStatus{Customer: state.Customer, Level: state.Level, Cap: state.Cap, Rate: state.Rate}
		for _, vm := range state.PendingOn {
			status.WaitingFor = append(status.WaitingFor, string(vm))
		}
		list = append(list, status)
	}
	return list
}

func (d *Daemon) endpointStatus(now time.Time) []admin.EndpointStatus {
	var list []admin.EndpointStatus
	pins := d.pinTracker.status(now)
	for _, endpoint := range d.catalog.View().Endpoints() {
		owner, _ := d.ownerOf(endpoint.ID)
		status := admin.EndpointStatus{
			Endpoint:   endpoint.ID,
			DataCentre: endpoint.DataCentre,
			Kind:       string(endpoint.Kind),
			State:      string(endpoint.State),
			Owner:      owner,
			Owned:      d.ownershipTable.Owns(endpoint.ID),
			Reachable:  d.reports.reachable(endpoint.ID),
			Pins:       pins[endpoint.ID],
		}
		if report, known := d.reports.get(endpoint.ID); known {
			status.Boot, status.Resident = report.Boot, report.Resident
			status.Running, status.Waiting = report.Running, report.Waiting
		}
		if status.Owned {
			fence, err := d.ownershipTable.MayOrder(now, endpoint.ID)
			status.Fence, status.MayIssueOrders = fence, err == nil
			if err != nil {
				status.NoOrdersReason = err.Error()
			}
		}
		list = append(list, status)
	}
	return list
}

func (d *Daemon) peerStatus(now time.Time) []admin.PeerStatus {
	traffic := d.peers.Traffic()
	var list []admin.PeerStatus
	for _, vm := range d.members.List().VMs {
		if vm.ID == d.settings.VMID {
			continue
		}
		status := admin.PeerStatus{
			VM:         vm.ID,
			DataCentre: vm.DataCentre,
			Reachable:  d.members.Reachable(now, vm.ID),
			AgeMillis:  ageUnknown,
			BytesIn:    traffic.ByPeer[vm.ID].BytesIn,
			BytesOut:   traffic.ByPeer[vm.ID].BytesOut,
		}
		if state, heard := d.members.Peer(vm.ID); heard {
			status.Boot = state.Boot
			status.Revision = state.Digest.RecordsRevision
			status.AgeMillis = now.Sub(state.HeardAt).Milliseconds()
		}
		list = append(list, status)
	}
	return list
}
