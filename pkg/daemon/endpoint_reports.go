package daemon

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

const (
	// sequenceShift leaves room between the sequence numbers of two reports
	// of an engine for changes by orders, which the owner knows before the
	// engine reports them.
	sequenceShift = 20
	// fullReportInterval is how often a peer is sent all reports again,
	// because the reply to a heartbeat may be lost without its sender
	// noticing.
	fullReportInterval = 15 * time.Second
	// loadChangeDivisor determines when a report is sent again because of
	// load: when the load has changed by at least the engine's batch size
	// divided by it.
	loadChangeDivisor = 4
)

// reportEntry is the newest report of one endpoint.
type reportEntry struct {
	report peer.EndpointReport
	// version is the version of the store when this report last changed. Peers
	// are sent only reports that changed since their last one.
	version uint64
}

// sentReports records up to which version of the store a peer was sent
// reports, and when it was last sent all of them.
type sentReports struct {
	version uint64
	fullAt  time.Time
}

// reportStore holds the newest report of each endpoint of the region and
// distributes the reports with heartbeats: an owner sends them to the VMs it
// exchanges heartbeats with, and a watcher forwards those of other data
// centres inside its own.
type reportStore struct {
	daemon *Daemon

	mu      sync.Mutex
	entries map[ids.EndpointID]*reportEntry
	version uint64
	sent    map[ids.VMID]sentReports
}

func newReportStore(d *Daemon) *reportStore {
	return &reportStore{
		daemon:  d,
		entries: make(map[ids.EndpointID]*reportEntry),
		sent:    make(map[ids.VMID]sentReports),
	}
}

// applyProbe applies the load report that this VM, as the owner, read from an
// endpoint.
func (b *reportStore) applyProbe(now time.Time, id ids.EndpointID, report engineapi.LoadReport) {
	sequence := report.Sequence << sequenceShift
	models := make([]string, 0, len(report.Resident))
	for _, adapter := range report.Resident {
		models = append(models, adapter.Model)
	}
	fresh := peer.EndpointReport{
		Endpoint: id, Boot: report.BootID, Sequence: sequence, Resident: models,
		Running: report.Running, Waiting: report.Waiting,
	}
	if b.applyReport(now, fresh) == placement.ReportIgnored && b.isModel(id) {
		b.setReachable(id, true)
		return
	}
	b.updateOwned(id, fresh, nil)
}

// isModel reports whether an endpoint is an engine.
func (b *reportStore) isModel(id ids.EndpointID) bool {
	endpoint, published := b.daemon.catalog.View().Endpoint(id)
	return published && endpoint.Kind == records.EndpointModel
}

// applyReport passes a report on to routing and placement.
func (b *reportStore) applyReport(now time.Time, report peer.EndpointReport) placement.ReportEffect {
	d := b.daemon
	var refs []ids.AdapterRef
	for _, model := range report.Resident {
		if ref, err := ids.ParseAdapterRef(model); err == nil {
			refs = append(refs, ref)
		}
	}
	effect := d.planner.Observe(now, placement.Report{
		Endpoint: report.Endpoint, Boot: report.Boot, Sequence: report.Sequence,
		Resident: refs, Running: report.Running, Waiting: report.Waiting,
	})
	d.planner.SetReachable(report.Endpoint, !report.Unreachable)
	d.routes.SetReachable(report.Endpoint, !report.Unreachable)
	if effect == placement.ReportIgnored && b.isModel(report.Endpoint) {
		return effect
	}
	d.routes.SetReportedLoad(report.Endpoint, report.Running, report.Waiting)
	if effect == placement.ReportNewRun {
		d.pinHolder.ObserveBoot(report.Endpoint, report.Boot)
	}
	for _, ref := range refs {
		d.wakeQueued(ref)
	}
	return effect
}

// applyOrder updates the report of an endpoint after an order for an adapter
// version.
func (b *reportStore) applyOrder(id ids.EndpointID, ref ids.AdapterRef) {
	b.mu.Lock()
	entry, known := b.entries[id]
	b.mu.Unlock()
	if !known {
		return
	}
	next := entry.report
	next.Sequence++
	b.updateOwned(id, next, []string{ref.String()})
}

// updateOwned stores the report of an owned endpoint. Its adapter versions
// are those that the engine listed and that orders added, as far as the
// planner considers them resident.
func (b *reportStore) updateOwned(id ids.EndpointID, next peer.EndpointReport, added []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	models := append(slices.Clone(next.Resident), added...)
	entry := b.entries[id]
	if entry != nil && entry.report.Boot == next.Boot {
		models = append(models, entry.report.Resident...)
	}
	slices.Sort(models)
	next.Resident = slices.DeleteFunc(slices.Compact(models), func(model string) bool {
		ref, err := ids.ParseAdapterRef(model)
		if err != nil {
			return true
		}
		_, resident := b.daemon.planner.Resident(id, ref)
		return !resident
	})
	b.storeLocked(next)
}

// storeLocked stores a report. A report that changes little keeps its
// version, so that it is not sent again. The caller holds mu.
func (b *reportStore) storeLocked(next peer.EndpointReport) {
	entry := b.entries[next.Endpoint]
	if entry == nil {
		entry = &reportEntry{}
		b.entries[next.Endpoint] = entry
	}
	last := entry.report
	changed := last.Boot != next.Boot || last.Unreachable != next.Unreachable || !slices.Equal(last.Resident, next.Resident)
	if changed || b.loadChanged(last, next) {
		b.version++
		entry.version = b.version
		entry.report = next
		return
	}
	running, waiting := last.Running, last.Waiting
	entry.report = next
	entry.report.Running, entry.report.Waiting = running, waiting
}

// loadChanged reports whether the load has changed enough to send the report
// again.
func (b *reportStore) loadChanged(last, next peer.EndpointReport) bool {
	endpoint, published := b.daemon.catalog.View().Endpoint(next.Endpoint)
	if !published {
		return false
	}
	change := next.Running + next.Waiting - last.Running - last.Waiting
	return max(change, -change)*loadChangeDivisor >= max(endpoint.MaxBatch, loadChangeDivisor)
}

// setReachable records whether an owned endpoint responds.
func (b *reportStore) setReachable(id ids.EndpointID, reachable bool) {
	b.daemon.planner.SetReachable(id, reachable)
	b.daemon.routes.SetReachable(id, reachable)
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, known := b.entries[id]
	if !known {
		return
	}
	next := entry.report
	next.Sequence++
	next.Unreachable = !reachable
	if next.Unreachable != entry.report.Unreachable {
		b.storeLocked(next)
	}
}

// reachable reports whether the newest report shows an endpoint as reachable.
// An endpoint without a report counts as reachable.
func (b *reportStore) reachable(id ids.EndpointID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, known := b.entries[id]
	return !known || !entry.report.Unreachable
}

// applyPeerReports applies reports from a peer, except for endpoints that
// this VM owns, about which it knows more.
func (b *reportStore) applyPeerReports(now time.Time, reports []peer.EndpointReport) {
	for _, report := range reports {
		if b.daemon.ownershipTable.Owns(report.Endpoint) || !b.isNewer(report) {
			continue
		}
		if b.applyReport(now, report) == placement.ReportIgnored && b.isModel(report.Endpoint) {
			continue
		}
		b.mu.Lock()
		b.storeLocked(report)
		b.mu.Unlock()
	}
}

// isNewer reports whether a report is newer than the stored one.
func (b *reportStore) isNewer(report peer.EndpointReport) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, known := b.entries[report.Endpoint]
	return !known || entry.report.Boot != report.Boot || report.Sequence > entry.report.Sequence
}

// encodeDue returns the encoded reports that a peer should get with the next
// heartbeat, or nil if there are none.
func (b *reportStore) encodeDue(now time.Time, to ids.VMID) json.RawMessage {
	vm, known := b.daemon.members.List().VM(to)
	if !known || !b.daemon.inOwnRegion(vm.DataCentre) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.sent[to]
	if now.Sub(sent.fullAt) >= fullReportInterval {
		sent = sentReports{fullAt: now}
	}
	var body peer.EndpointReports
	for id, entry := range b.entries {
		if entry.version > sent.version && b.shouldSend(id, vm.DataCentre) {
			body.Reports = append(body.Reports, entry.report)
		}
	}
	sent.version = b.version
	b.sent[to] = sent
	if len(body.Reports) == 0 {
		return nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	return encoded
}

// shouldSend reports whether this VM sends the report of an endpoint to a
// data centre. It keeps VMs of a data centre from sending each other what the
// owner sends to all of them.
func (b *reportStore) shouldSend(id ids.EndpointID, to ids.DataCentreID) bool {
	if b.daemon.ownershipTable.Owns(id) {
		return true
	}
	endpoint, published := b.daemon.catalog.View().Endpoint(id)
	return published && endpoint.DataCentre != to && b.daemon.members.IsWatcher()
}

// resendAll makes the next heartbeat send a peer all reports, after a
// heartbeat to it was lost.
func (b *reportStore) resendAll(to ids.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sent, to)
}

// get returns the newest report of an endpoint.
func (b *reportStore) get(id ids.EndpointID) (peer.EndpointReport, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, known := b.entries[id]
	if !known {
		return peer.EndpointReport{}, false
	}
	return entry.report, true
}

func (b *reportStore) remove(id ids.EndpointID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, id)
}

// decodeReports decodes the endpoints part of a heartbeat.
func decodeReports(raw json.RawMessage) []peer.EndpointReport {
	if len(raw) == 0 {
		return nil
	}
	var body peer.EndpointReports
	if json.Unmarshal(raw, &body) != nil {
		return nil
	}
	return body.Reports
}
