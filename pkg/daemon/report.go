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
	// sequenceShift leaves room between two reports of an engine for the
	// changes by orders that the owner knows before the engine reports them.
	sequenceShift = 20
	// fullReportsEvery is how often a peer gets all reports again, because a
	// heartbeat's reply may be lost without its sender noticing.
	fullReportsEvery = 15 * time.Second
	// loadStep is the part of an engine's batch by which its load must change
	// before its report is sent again.
	loadStep = 4
)

// reportEntry is the newest report of one endpoint.
type reportEntry struct {
	report peer.EndpointReport
	// version orders the changes of the book, for the peers' sake.
	version uint64
}

// sentReports is what a peer was last sent.
type sentReports struct {
	version uint64
	fullAt  time.Time
}

// reportBook keeps the newest report of each endpoint of the region and
// spreads them with heartbeats: the owner sends them to its links, and a
// watcher hands those of other data centres on inside its own.
type reportBook struct {
	daemon *Daemon

	mu      sync.Mutex
	entries map[ids.EndpointID]*reportEntry
	version uint64
	sent    map[ids.VMID]sentReports
}

func newReportBook(d *Daemon) *reportBook {
	return &reportBook{
		daemon:  d,
		entries: make(map[ids.EndpointID]*reportEntry),
		sent:    make(map[ids.VMID]sentReports),
	}
}

// probed takes the load report that this VM, the owner, read from an endpoint.
func (b *reportBook) probed(now time.Time, id ids.EndpointID, report engineapi.LoadReport) {
	sequence := report.Sequence << sequenceShift
	models := make([]string, 0, len(report.Resident))
	for _, adapter := range report.Resident {
		models = append(models, adapter.Model)
	}
	fresh := peer.EndpointReport{
		Endpoint: id, Boot: report.BootID, Sequence: sequence, Resident: models,
		Running: report.Running, Waiting: report.Waiting,
	}
	if b.observe(now, fresh) == placement.ReportIgnored && b.isModel(id) {
		b.setReachable(id, true)
		return
	}
	b.refresh(id, fresh, nil)
}

func (b *reportBook) isModel(id ids.EndpointID) bool {
	endpoint, published := b.daemon.catalog.View().Endpoint(id)
	return published && endpoint.Kind == records.EndpointModel
}

// observe gives a report to the parts that route and place.
func (b *reportBook) observe(now time.Time, report peer.EndpointReport) placement.ReportEffect {
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
		d.holder.ObserveBoot(report.Endpoint, report.Boot)
	}
	for _, ref := range refs {
		d.wakeAdapter(ref)
	}
	return effect
}

// ordered takes the effect of an order on an adapter version into the report
// of its endpoint.
func (b *reportBook) ordered(id ids.EndpointID, ref ids.AdapterRef) {
	b.mu.Lock()
	entry, known := b.entries[id]
	b.mu.Unlock()
	if !known {
		return
	}
	next := entry.report
	next.Sequence++
	b.refresh(id, next, []string{ref.String()})
}

// refresh stores the report of an owned endpoint: what the engine listed and
// what orders added, as far as the planner holds it to be resident.
func (b *reportBook) refresh(id ids.EndpointID, next peer.EndpointReport, added []string) {
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
	b.store(next)
}

// store is called with the lock held. A report that changes little keeps its
// version, so that it is not sent again.
func (b *reportBook) store(next peer.EndpointReport) {
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

func (b *reportBook) loadChanged(last, next peer.EndpointReport) bool {
	endpoint, published := b.daemon.catalog.View().Endpoint(next.Endpoint)
	if !published {
		return false
	}
	change := next.Running + next.Waiting - last.Running - last.Waiting
	return max(change, -change)*loadStep >= max(endpoint.MaxBatch, loadStep)
}

// setReachable notes whether an owned endpoint answers.
func (b *reportBook) setReachable(id ids.EndpointID, reachable bool) {
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
		b.store(next)
	}
}

// reachable tells what the owner last said of an endpoint.
func (b *reportBook) reachable(id ids.EndpointID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, known := b.entries[id]
	return !known || !entry.report.Unreachable
}

// take takes reports of a peer. Own endpoints are known better here.
func (b *reportBook) take(now time.Time, reports []peer.EndpointReport) {
	for _, report := range reports {
		if b.daemon.table.Owns(report.Endpoint) || !b.isNewer(report) {
			continue
		}
		if b.observe(now, report) == placement.ReportIgnored && b.isModel(report.Endpoint) {
			continue
		}
		b.mu.Lock()
		b.store(report)
		b.mu.Unlock()
	}
}

func (b *reportBook) isNewer(report peer.EndpointReport) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, known := b.entries[report.Endpoint]
	return !known || entry.report.Boot != report.Boot || report.Sequence > entry.report.Sequence
}

// due lists the reports that a peer should get with the next heartbeat.
func (b *reportBook) due(now time.Time, to ids.VMID) json.RawMessage {
	vm, known := b.daemon.members.List().VM(to)
	if !known || !b.daemon.inRegion(vm.DataCentre) {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.sent[to]
	if now.Sub(sent.fullAt) >= fullReportsEvery {
		sent = sentReports{fullAt: now}
	}
	var body peer.EndpointReports
	for id, entry := range b.entries {
		if entry.version > sent.version && b.mayTell(id, vm.DataCentre) {
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

// mayTell keeps the VMs of a data centre from telling each other what the
// owner tells all of them.
func (b *reportBook) mayTell(id ids.EndpointID, to ids.DataCentreID) bool {
	if b.daemon.table.Owns(id) {
		return true
	}
	endpoint, published := b.daemon.catalog.View().Endpoint(id)
	return published && endpoint.DataCentre != to && b.daemon.members.IsWatcher()
}

// resend has a peer get all reports again, after a heartbeat to it was lost.
func (b *reportBook) resend(to ids.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sent, to)
}

// get returns the newest report of an endpoint.
func (b *reportBook) get(id ids.EndpointID) (peer.EndpointReport, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, known := b.entries[id]
	if !known {
		return peer.EndpointReport{}, false
	}
	return entry.report, true
}

func (b *reportBook) forget(id ids.EndpointID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, id)
}

// decodeReports reads the endpoints part of a heartbeat.
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
