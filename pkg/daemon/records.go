package daemon

import (
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/idempotency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/ownership"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/relay"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

// appliedVMList identifies the VM list that the components were last told
// about.
type appliedVMList struct {
	revision    ids.Revision
	confirmedAt time.Time
}

// applyRecords runs a step of the relay that changes the catalog and tells
// the components what changed. Steps are serialised, so that a revision
// counts as applied only when all components have all records up to it.
func (d *Daemon) applyRecords(step func() (catalog.ApplyResult, []relay.Action)) {
	d.applyMu.Lock()
	applied, actions := step()
	d.applyChangedRecords(applied)
	d.applyMu.Unlock()
	d.performActions(actions)
	if len(applied.Changed) >= freeMemoryThreshold {
		debug.FreeOSMemory()
	}
}

// freeMemoryThreshold is the number of changed records from which the garbage
// of decoding is returned to the operating system at once. A listing of
// 36,000 records leaves garbage of about four times its size, and the Go
// runtime keeps it for minutes.
const freeMemoryThreshold = 1000

// applyChangedRecords passes changed records on to the components. The caller
// holds applyMu.
func (d *Daemon) applyChangedRecords(applied catalog.ApplyResult) {
	for _, refused := range applied.Refused {
		d.logAt("apply record", refused.Key).WithField("revision", refused.Revision).Warn("record refused: " + refused.Reason)
	}
	now := time.Now()
	kinds := make(map[records.Kind]bool)
	for _, key := range applied.Changed {
		kind, id, _ := strings.Cut(key, "/")
		kinds[records.Kind(kind)] = true
		if records.Kind(kind) == records.KindEndpoint {
			d.applyEndpoint(now, ids.EndpointID(id))
		}
	}
	if kinds[records.KindDataCentre] {
		d.applyDataCentres(now)
	}
	if kinds[records.KindDataCentre] || kinds[records.KindCustomer] || kinds[records.KindWeightStore] {
		d.applyLimits(now, applied.Changed)
	}
	if kinds[records.KindRoute] {
		_, route := d.modelRoute()
		d.planner.SetPolicy(route.Policy)
	}
	appliedThrough := d.catalog.CompleteThrough()
	d.limiter.table.ObserveApplied(now, d.settings.VMID, appliedThrough)
	d.appliedThrough.Store(uint64(appliedThrough))
	if kinds[records.KindEndpoint] {
		d.closeUnusedConnections()
	}
}

// applyEndpoint passes a changed or deleted endpoint record on to the
// components.
func (d *Daemon) applyEndpoint(now time.Time, id ids.EndpointID) {
	endpoint, published := d.catalog.View().Endpoint(id)
	if !published {
		d.routes.RemoveEndpoint(id)
		d.planner.RemoveEndpoint(id)
		d.ownershipDriver.handleChanges(d.ownershipTable.RemoveEndpoint(id))
		d.reports.remove(id)
		return
	}
	d.routes.SetEndpoint(id, *endpoint.Endpoint)
	if d.inOwnRegion(endpoint.DataCentre) {
		d.planner.SetEndpoint(id, *endpoint.Endpoint)
	}
	d.ownershipDriver.handleChanges(d.ownershipTable.SetEndpoint(now, id, *endpoint.Endpoint))
}

// applyDataCentres passes the regions of all data centres on to the
// components.
func (d *Daemon) applyDataCentres(now time.Time) {
	view := d.catalog.View()
	regions := view.Regions()
	for id, region := range regions {
		d.routes.SetDataCentre(id, region)
	}
	d.idempotencyHome.SetRegions(now, idempotency.Regions(regions))
	for _, endpoint := range view.Endpoints() {
		if d.inOwnRegion(endpoint.DataCentre) {
			d.planner.SetEndpoint(endpoint.ID, *endpoint.Endpoint)
		}
	}
}

// inOwnRegion reports whether a data centre is in this VM's region, whose
// engines this VM uses as one pool.
func (d *Daemon) inOwnRegion(id ids.DataCentreID) bool {
	if id == d.settings.DataCentre {
		return true
	}
	other, known := d.catalog.View().DataCentre(id)
	return known && other.Region == d.settings.Region
}

// applyLimits applies the policies of customers and the weight store's
// limits.
func (d *Daemon) applyLimits(now time.Time, changed []string) {
	view := d.catalog.View()
	shares, revision := d.sharesByDataCentre(view)
	for _, id := range view.Customers() {
		customer, _ := view.Customer(id)
		recordRevision, _ := d.catalog.KeyRevision(string(records.KindCustomer) + "/" + string(id))
		d.limiter.table.Apply(now, id, limits.Policy{
			Revision:    max(recordRevision, revision),
			Rate:        customer.TokensPerSecond,
			Burst:       customer.BurstTokens,
			DataCentres: customerShares(shares, customer),
		})
		d.planner.SetWeight(id, customer.Weight)
		for _, queue := range d.allQueues() {
			queue.queue.SetWeight(id, customer.Weight)
		}
	}
	d.removeCustomers(view, changed)
	for _, key := range changed {
		recordRevision, _ := d.catalog.KeyRevision(key)
		revision = max(revision, recordRevision)
	}
	d.applyWeightStore(now, view, shares, max(revision, d.catalog.CompleteThrough()))
}

// sharesByDataCentre returns the seats and weights of the data centres and
// the highest revision of their records.
func (d *Daemon) sharesByDataCentre(view *catalog.View) (map[ids.DataCentreID]limits.DataCentre, ids.Revision) {
	sharesByDataCentre := make(map[ids.DataCentreID]limits.DataCentre)
	var revision ids.Revision
	for _, id := range view.DataCentres() {
		record, _ := view.DataCentre(id)
		sharesByDataCentre[id] = limits.DataCentre{Seats: record.Seats, Weight: record.Weight}
		recordRevision, _ := d.catalog.KeyRevision(string(records.KindDataCentre) + "/" + string(id))
		revision = max(revision, recordRevision)
	}
	return sharesByDataCentre, revision
}

// customerShares replaces the weights of data centres by a customer's own
// weights, if it has any.
func customerShares(defaults map[ids.DataCentreID]limits.DataCentre, customer *records.Customer) map[ids.DataCentreID]limits.DataCentre {
	if len(customer.DataCentreWeights) == 0 {
		return defaults
	}
	shares := make(map[ids.DataCentreID]limits.DataCentre, len(defaults))
	for id, part := range defaults {
		part.Weight = customer.DataCentreWeights[id]
		shares[id] = part
	}
	return shares
}

// removeCustomers removes the customers whose records were deleted.
func (d *Daemon) removeCustomers(view *catalog.View, changed []string) {
	for _, key := range changed {
		kind, id, _ := strings.Cut(key, "/")
		if records.Kind(kind) != records.KindCustomer {
			continue
		}
		if _, published := view.Customer(ids.CustomerID(id)); !published {
			d.limiter.removeCustomer(ids.CustomerID(id))
		}
	}
}

// applyWeightStore applies the weight store's limits. revision may be above
// that of the store's record; a raised share then waits a little longer until
// all VMs have acknowledged it.
func (d *Daemon) applyWeightStore(now time.Time, view *catalog.View, shares map[ids.DataCentreID]limits.DataCentre, revision ids.Revision) {
	store := view.WeightStore()
	if store == nil {
		return
	}
	d.limiter.table.Apply(now, limits.StoreLoadsCustomer, limits.Policy{
		Revision:    revision,
		Rate:        store.LoadsPerSecond * float64(limits.StoreLoadCost),
		Burst:       float64(store.MaxInFlight) * float64(limits.StoreLoadCost),
		DataCentres: shares,
	})
	d.loadPermits.slots.Apply(revision, store.MaxInFlight, shares)
}

// closeUnusedConnections closes connections to addresses that no endpoint
// record names any more.
func (d *Daemon) closeUnusedConnections() {
	addresses := make(map[string]bool)
	for _, endpoint := range d.catalog.View().Endpoints() {
		addresses[endpoint.Address] = true
	}
	d.engines.RetainPools(addresses)
}

// applyVMList tells the components about a new or newly confirmed VM list.
func (d *Daemon) applyVMList() {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	list, confirmedAt := d.members.List(), d.members.ConfirmedAt()
	if list.Revision == d.appliedList.revision && confirmedAt.Equal(d.appliedList.confirmedAt) {
		return
	}
	changed := list.Revision != d.appliedList.revision
	d.appliedList.revision, d.appliedList.confirmedAt = list.Revision, confirmedAt
	now := time.Now()
	vmList := limits.VMList{ConfirmedAt: confirmedAt}
	addresses := make(map[ids.VMID]string)
	for _, vm := range list.VMs {
		vmList.VMs = append(vmList.VMs, limits.VM{ID: vm.ID, DataCentre: vm.DataCentre})
		addresses[vm.ID] = vm.PeerAddress
	}
	if changed {
		d.peers.SetPeers(addresses)
		d.logAt("apply VM list", "").WithField("revision", list.Revision).WithField("vms", len(list.VMs)).Info("VM list applied")
	}
	d.limiter.table.SetVMList(now, vmList)
	d.ownershipDriver.handleChanges(d.ownershipTable.ObserveList(now, platformapi.VMList{Revision: list.Revision, VMs: list.VMs}, confirmedAt))
}

// ownerOf returns the VM that owns an endpoint according to this VM's list.
func (d *Daemon) ownerOf(id ids.EndpointID) (ids.VMID, bool) {
	endpoint, published := d.catalog.View().Endpoint(id)
	if !published {
		return "", false
	}
	return ownership.Owner(id, endpoint.DataCentre, d.ownershipTable.List())
}

// peerTimeout returns the timeout for one message to a VM.
func (d *Daemon) peerTimeout(id ids.VMID) time.Duration {
	vm, known := d.members.List().VM(id)
	if known && d.inOwnRegion(vm.DataCentre) {
		return d.settings.Timeouts.PeerRegion.Duration()
	}
	return d.settings.Timeouts.PeerRemote.Duration()
}

// groupByOwner groups pins by the VMs that own their endpoints.
func (d *Daemon) groupByOwner(pins []peer.PinKey) map[ids.VMID][]peer.PinKey {
	grouped := make(map[ids.VMID][]peer.PinKey)
	for _, pin := range pins {
		if owner, ok := d.ownerOf(pin.Endpoint); ok && !slices.Contains(grouped[owner], pin) {
			grouped[owner] = append(grouped[owner], pin)
		}
	}
	return grouped
}
