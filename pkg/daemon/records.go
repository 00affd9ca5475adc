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

// appliedList is the VM list that the parts were last told of.
type appliedList struct {
	revision    ids.Revision
	confirmedAt time.Time
}

// applyRecords runs a step of the relay that changes the catalog and tells the
// parts what changed. Steps are serialised, so that a revision counts as
// applied only when all parts have all records up to it.
func (d *Daemon) applyRecords(step func() (catalog.ApplyResult, []relay.Action)) {
	d.applyMu.Lock()
	applied, actions := step()
	d.recordsApplied(applied)
	d.applyMu.Unlock()
	d.perform(actions)
	if len(applied.Changed) >= largeListing {
		debug.FreeOSMemory()
	}
}

// largeListing is the number of records from which the garbage of decoding is
// returned to the system at once. A listing of 36,000 records leaves garbage
// of about four times its size, and the runtime keeps it for minutes.
const largeListing = 1000

// recordsApplied is called with applyMu held.
func (d *Daemon) recordsApplied(applied catalog.ApplyResult) {
	for _, refused := range applied.Refused {
		d.at("apply record", refused.Key).WithField("revision", refused.Revision).Warn("record refused: " + refused.Reason)
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
	through := d.catalog.CompleteThrough()
	d.tokens.table.ObserveApplied(now, d.settings.VMID, through)
	d.through.Store(uint64(through))
	if kinds[records.KindEndpoint] {
		d.retainEndpoints()
	}
}

func (d *Daemon) applyEndpoint(now time.Time, id ids.EndpointID) {
	endpoint, published := d.catalog.View().Endpoint(id)
	if !published {
		d.routes.RemoveEndpoint(id)
		d.planner.RemoveEndpoint(id)
		d.owner.changed(d.table.RemoveEndpoint(id))
		d.reports.forget(id)
		return
	}
	d.routes.SetEndpoint(id, *endpoint.Endpoint)
	if d.inRegion(endpoint.DataCentre) {
		d.planner.SetEndpoint(id, *endpoint.Endpoint)
	}
	d.owner.changed(d.table.SetEndpoint(now, id, *endpoint.Endpoint))
}

// applyDataCentres takes new regions into account.
func (d *Daemon) applyDataCentres(now time.Time) {
	view := d.catalog.View()
	regions := view.Regions()
	for id, region := range regions {
		d.routes.SetDataCentre(id, region)
	}
	d.home.SetRegions(now, idempotency.Regions(regions))
	for _, endpoint := range view.Endpoints() {
		if d.inRegion(endpoint.DataCentre) {
			d.planner.SetEndpoint(endpoint.ID, *endpoint.Endpoint)
		}
	}
}

// inRegion tells whether a data centre belongs to this VM's pool of engines.
func (d *Daemon) inRegion(id ids.DataCentreID) bool {
	if id == d.settings.DataCentre {
		return true
	}
	other, known := d.catalog.View().DataCentre(id)
	return known && other.Region == d.settings.Region
}

// applyLimits gives the customers' policies to the limits.
func (d *Daemon) applyLimits(now time.Time, changed []string) {
	view := d.catalog.View()
	shared, revision := d.shares(view)
	for _, id := range view.Customers() {
		customer, _ := view.Customer(id)
		held, _ := d.catalog.KeyRevision(string(records.KindCustomer) + "/" + string(id))
		d.tokens.table.Apply(now, id, limits.Policy{
			Revision:    max(held, revision),
			Rate:        customer.TokensPerSecond,
			Burst:       customer.BurstTokens,
			DataCentres: customerShares(shared, customer),
		})
		d.planner.SetWeight(id, customer.Weight)
		for _, queue := range d.allQueues() {
			queue.queue.SetWeight(id, customer.Weight)
		}
	}
	d.removeCustomers(view, changed)
	for _, key := range changed {
		held, _ := d.catalog.KeyRevision(key)
		revision = max(revision, held)
	}
	d.applyStore(now, view, shared, max(revision, d.catalog.CompleteThrough()))
}

// shares returns the data centres' parts and the highest revision of their
// records.
func (d *Daemon) shares(view *catalog.View) (map[ids.DataCentreID]limits.DataCentre, ids.Revision) {
	shares := make(map[ids.DataCentreID]limits.DataCentre)
	var revision ids.Revision
	for _, id := range view.DataCentres() {
		record, _ := view.DataCentre(id)
		shares[id] = limits.DataCentre{Seats: record.Seats, Weight: record.Weight}
		held, _ := d.catalog.KeyRevision(string(records.KindDataCentre) + "/" + string(id))
		revision = max(revision, held)
	}
	return shares, revision
}

// customerShares replaces the weights of data centres by a customer's own.
func customerShares(shared map[ids.DataCentreID]limits.DataCentre, customer *records.Customer) map[ids.DataCentreID]limits.DataCentre {
	if len(customer.DataCentreWeights) == 0 {
		return shared
	}
	own := make(map[ids.DataCentreID]limits.DataCentre, len(shared))
	for id, part := range shared {
		part.Weight = customer.DataCentreWeights[id]
		own[id] = part
	}
	return own
}

func (d *Daemon) removeCustomers(view *catalog.View, changed []string) {
	for _, key := range changed {
		kind, id, _ := strings.Cut(key, "/")
		if records.Kind(kind) != records.KindCustomer {
			continue
		}
		if _, published := view.Customer(ids.CustomerID(id)); !published {
			d.tokens.remove(ids.CustomerID(id))
		}
	}
}

// applyStore gives the weight store's limits to the limits. revision may be
// above that of the store's record; a raised share then waits a little longer
// for its acknowledgements.
func (d *Daemon) applyStore(now time.Time, view *catalog.View, shares map[ids.DataCentreID]limits.DataCentre, revision ids.Revision) {
	store := view.WeightStore()
	if store == nil {
		return
	}
	d.tokens.table.Apply(now, limits.StoreLoadsCustomer, limits.Policy{
		Revision:    revision,
		Rate:        store.LoadsPerSecond * float64(limits.StoreLoadCost),
		Burst:       float64(store.MaxInFlight) * float64(limits.StoreLoadCost),
		DataCentres: shares,
	})
	d.rights.slots.Apply(revision, store.MaxInFlight, shares)
}

// retainEndpoints closes connections to endpoints that are gone.
func (d *Daemon) retainEndpoints() {
	addresses := make(map[string]bool)
	for _, endpoint := range d.catalog.View().Endpoints() {
		addresses[endpoint.Address] = true
	}
	d.engines.RetainPools(addresses)
}

// listApplied tells the parts of a new or newly confirmed VM list.
func (d *Daemon) listApplied() {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	list, confirmedAt := d.members.List(), d.members.ConfirmedAt()
	if list.Revision == d.listed.revision && confirmedAt.Equal(d.listed.confirmedAt) {
		return
	}
	fresh := list.Revision != d.listed.revision
	d.listed.revision, d.listed.confirmedAt = list.Revision, confirmedAt
	now := time.Now()
	view := limits.VMList{ConfirmedAt: confirmedAt}
	addresses := make(map[ids.VMID]string)
	for _, vm := range list.VMs {
		view.VMs = append(view.VMs, limits.VM{ID: vm.ID, DataCentre: vm.DataCentre})
		addresses[vm.ID] = vm.PeerAddress
	}
	if fresh {
		d.peers.SetPeers(addresses)
		d.at("apply VM list", "").WithField("revision", list.Revision).WithField("vms", len(list.VMs)).Info("VM list in force")
	}
	d.tokens.table.SetVMList(now, view)
	d.owner.changed(d.table.ObserveList(now, platformapi.VMList{Revision: list.Revision, VMs: list.VMs}, confirmedAt))
}

// ownerOf returns the VM that owns an endpoint by this VM's list.
func (d *Daemon) ownerOf(id ids.EndpointID) (ids.VMID, bool) {
	endpoint, published := d.catalog.View().Endpoint(id)
	if !published {
		return "", false
	}
	return ownership.Owner(id, endpoint.DataCentre, d.table.List())
}

// peerTimeout bounds one message to a VM.
func (d *Daemon) peerTimeout(id ids.VMID) time.Duration {
	vm, known := d.members.List().VM(id)
	if known && d.inRegion(vm.DataCentre) {
		return d.settings.Timeouts.PeerRegion.Duration()
	}
	return d.settings.Timeouts.PeerRemote.Duration()
}

// byOwner groups pins by the VMs that own their endpoints.
func (d *Daemon) byOwner(pins []peer.PinKey) map[ids.VMID][]peer.PinKey {
	grouped := make(map[ids.VMID][]peer.PinKey)
	for _, pin := range pins {
		if owner, ok := d.ownerOf(pin.Endpoint); ok && !slices.Contains(grouped[owner], pin) {
			grouped[owner] = append(grouped[owner], pin)
		}
	}
	return grouped
}
