package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/ownership"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/engines"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

const (
	// probeInterval is how often the owner reads an endpoint's load report.
	probeInterval = 2 * time.Second
	// probeTimeout bounds the reading of one load report.
	probeTimeout = time.Second
	// probeFailureThreshold is how many consecutive probes must fail before
	// an endpoint that still accepts connections counts as unreachable.
	probeFailureThreshold = 2
	// planInterval is how often the planner is run while demand may be
	// waiting.
	planInterval = 50 * time.Millisecond
	// waitingVMTimeout is how long after a VM reported demand for an adapter
	// version it is still notified when that version is loaded.
	waitingVMTimeout = 30 * time.Second
)

// Reasons to drop an order right before it is sent.
var (
	errFenceChanged = errors.New("the fencing token changed since the order was planned")
	errOrderExpired = errors.New("the order was planned too long ago")
)

// isOrderExpired reports whether it is too late to send an order, for example
// after the process was paused. An order without a SendBy time is sent at
// once and does not expire.
func isOrderExpired(order placement.Order, now time.Time) bool {
	return !order.SendBy.IsZero() && now.After(order.SendBy)
}

// ownershipDriver does the network side of ownership. It probes the endpoints
// that this VM owns and sends them load and evict orders; for all other
// endpoints it asks the owners for pins and loads.
type ownershipDriver struct {
	daemon *Daemon
	// gate tells the planner which orders it may issue.
	gate placement.Gate
	// planRequested holds at most one pending request to run the planner.
	planRequested chan struct{}

	// mu guards the maps below.
	mu sync.Mutex
	// waitingVMs holds the VMs that wait for an adapter version and when each
	// last reported demand for it.
	waitingVMs map[ids.AdapterRef]map[ids.VMID]time.Time
	// demandInFlight holds the VMs to which a work.wait message is in flight.
	demandInFlight map[ids.VMID]bool
	// failedProbes counts consecutive failed probes.
	failedProbes map[ids.EndpointID]int
	// probesInFlight holds the endpoints that are being probed.
	probesInFlight map[ids.EndpointID]bool
}

// plannerGate decides what the planner may order, by the ownership table and
// by the permits to load from the weight store. The planner finds
// AcquireSpareLoadPermit through a type assertion to placement.ReservingGate.
type plannerGate struct {
	*ownership.Table
	*loadPermits
}

func newOwnershipDriver(d *Daemon) *ownershipDriver {
	return &ownershipDriver{
		daemon:         d,
		gate:           plannerGate{d.ownershipTable, d.loadPermits},
		planRequested:  make(chan struct{}, 1),
		waitingVMs:     make(map[ids.AdapterRef]map[ids.VMID]time.Time),
		demandInFlight: make(map[ids.VMID]bool),
		failedProbes:   make(map[ids.EndpointID]int),
		probesInFlight: make(map[ids.EndpointID]bool),
	}
}

// requestPlan makes run call the planner soon. It does not block.
func (o *ownershipDriver) requestPlan() {
	select {
	case o.planRequested <- struct{}{}:
	default:
	}
}

// run probes endpoints and runs the planner until the daemon stops.
func (o *ownershipDriver) run() {
	plan := time.NewTicker(planInterval)
	defer plan.Stop()
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	for {
		select {
		case <-o.daemon.ctx.Done():
			return
		case <-probe.C:
			o.probeAll()
		case <-plan.C:
			o.plan()
		case <-o.planRequested:
			o.plan()
		}
	}
}

// plan executes the orders that the planner returns, each in its own
// goroutine.
func (o *ownershipDriver) plan() {
	for _, order := range o.daemon.planner.Plan(time.Now(), o.gate) {
		o.daemon.spawn(func() { o.executeOrders(order) })
	}
}

// executeOrders sends an order, reports its result to the planner, and
// executes the orders that the planner returns as a consequence.
func (o *ownershipDriver) executeOrders(order placement.Order) {
	d := o.daemon
	for {
		var result placement.OrderResult
		if order.Kind == placement.OrderLoad {
			result = o.load(order)
		} else {
			result = o.evict(order)
		}
		followUps := d.planner.CompleteOrder(time.Now(), order.ID, result, o.gate)
		d.reports.applyOrder(order.Endpoint, order.Ref)
		d.metrics.countOrder(order, result)
		if order.Kind == placement.OrderLoad && result == placement.ResultDone {
			d.wakeQueued(order.Ref)
			o.notifyWaitingVMs(order)
		}
		if len(followUps) == 0 {
			o.requestPlan()
			return
		}
		order = followUps[0]
		for _, followUp := range followUps[1:] {
			d.spawn(func() { o.executeOrders(followUp) })
		}
	}
}

// load sends an order to load an adapter version. Right before it is sent,
// the order's SendBy time and fencing token are checked again.
func (o *ownershipDriver) load(order placement.Order) placement.OrderResult {
	d := o.daemon
	endpoint, published := d.catalog.View().Endpoint(order.Endpoint)
	_, version, state := d.catalog.Resolve(order.Ref.Adapter, order.Ref.Version)
	if !published || state != catalog.ResolveOK {
		return placement.ResultNotSent
	}
	var sentAt time.Time
	failure := d.engines.LoadAdapter(d.ctx, engines.Endpoint{ID: order.Endpoint, Address: endpoint.Address}, order.Fence, order.Ref, version.Source, func() error {
		sentAt = time.Now()
		if isOrderExpired(order, sentAt) {
			return errOrderExpired
		}
		fence, err := d.ownershipTable.MayLoad(sentAt, order.Endpoint)
		if err == nil && fence != order.Fence {
			err = errFenceChanged
		}
		return err
	})
	if failure == nil || failure.ErrorType == engineapi.ErrorAlreadyLoaded {
		d.ownershipTable.LoadAccepted(time.Now(), sentAt, order.Endpoint, order.Fence, order.Ref)
		return placement.ResultDone
	}
	return o.orderResult(failure)
}

// announceFencingToken sends the new owner's fencing token to an engine with
// fencing, by an order to load an adapter version that is already resident.
// From then on the engine refuses the former owner, so this VM need not wait
// until the former owner's rights to send orders and grant pins have expired.
// It relies on engines with fencing checking the token before anything else
// in an order.
func (o *ownershipDriver) announceFencingToken(endpoint catalog.Endpoint) {
	d := o.daemon
	report, known := d.reports.get(endpoint.ID)
	_, orderErr := d.ownershipTable.MayOrder(time.Now(), endpoint.ID)
	if !known || !endpoint.Fencing || len(report.Resident) == 0 || !errors.Is(orderErr, ownership.ErrHandoverPending) {
		return
	}
	ref, err := ids.ParseAdapterRef(report.Resident[0])
	if err != nil {
		return
	}
	fence, err := d.ownershipTable.MayLoad(time.Now(), endpoint.ID)
	if err != nil {
		return
	}
	result := o.load(placement.Order{Kind: placement.OrderLoad, Endpoint: endpoint.ID, Ref: ref, Fence: fence, Boot: report.Boot})
	d.logAt("announce owner", string(endpoint.ID)).WithField("fence", fence).WithField("done", result == placement.ResultDone).Info("fencing token sent to the engine")
}

// evict sends an order to unload an adapter version, with the same checks as
// load.
func (o *ownershipDriver) evict(order placement.Order) placement.OrderResult {
	d := o.daemon
	endpoint, published := d.catalog.View().Endpoint(order.Endpoint)
	if !published {
		return placement.ResultNotSent
	}
	// New pins are refused only for MaxOrderDelay, so the connection must end
	// before that.
	ctx, cancel := context.WithTimeout(d.ctx, d.options.Terms.MaxOrderDelay)
	defer cancel()
	failure := d.engines.UnloadAdapter(ctx, engines.Endpoint{ID: order.Endpoint, Address: endpoint.Address}, order.Fence, order.Ref, func() error {
		now := time.Now()
		if isOrderExpired(order, now) {
			return errOrderExpired
		}
		fence, err := d.ownershipTable.BeginEvict(now, order.Endpoint, order.Ref)
		if err == nil && fence != order.Fence {
			d.ownershipTable.EndEvict(order.Endpoint, order.Ref)
			err = errFenceChanged
		}
		return err
	})
	switch {
	case failure == nil || failure.Status == statusNotFound:
		d.ownershipTable.EndEvict(order.Endpoint, order.Ref)
		return placement.ResultDone
	case failure.Cause == engines.CauseErrorStatus:
		d.ownershipTable.EndEvict(order.Endpoint, order.Ref)
	}
	return o.orderResult(failure)
}

// orderResult logs the failure of an order and translates it for the planner.
func (o *ownershipDriver) orderResult(failure *engines.Failure) placement.OrderResult {
	o.daemon.logAt(failure.Step, string(failure.Endpoint)).WithError(failure).Info("order failed")
	switch {
	case failure.Cause == engines.CauseErrorStatus:
		return placement.ResultFailed
	case failure.Cause == engines.CauseConnect:
		o.daemon.excludeTemporarily(failure.Endpoint)
		return placement.ResultNotSent
	case !failure.MaybeSent:
		return placement.ResultNotSent
	}
	return placement.ResultUnknown
}

// probeAll reads the load report of every endpoint that this VM owns.
func (o *ownershipDriver) probeAll() {
	for _, endpoint := range o.daemon.catalog.View().Endpoints() {
		if o.daemon.ownershipTable.Owns(endpoint.ID) {
			o.daemon.spawn(func() { o.probe(endpoint) })
		}
	}
}

// probe reads the load report of one endpoint, unless a probe of it is in
// flight.
func (o *ownershipDriver) probe(endpoint catalog.Endpoint) {
	if !o.beginProbe(endpoint.ID) {
		return
	}
	defer o.endProbe(endpoint.ID)
	ctx, cancel := context.WithTimeout(o.daemon.ctx, probeTimeout)
	defer cancel()
	report, failure := o.daemon.engines.FetchLoadReport(ctx, engines.Endpoint{ID: endpoint.ID, Address: endpoint.Address})
	if failure == nil {
		o.countFailedProbes(endpoint.ID, 0)
		o.daemon.reports.applyProbe(time.Now(), endpoint.ID, report)
		o.announceFencingToken(endpoint)
		return
	}
	failures := o.countFailedProbes(endpoint.ID, 1)
	if failure.Cause == engines.CauseConnect || failures >= probeFailureThreshold {
		o.daemon.reports.setReachable(endpoint.ID, false)
	}
}

// beginProbe marks an endpoint as being probed. It reports false if a probe
// of it is in flight.
func (o *ownershipDriver) beginProbe(id ids.EndpointID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.probesInFlight[id] {
		return false
	}
	o.probesInFlight[id] = true
	return true
}

func (o *ownershipDriver) endProbe(id ids.EndpointID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.probesInFlight, id)
}

// countFailedProbes adds to the count of an endpoint's consecutive failed
// probes and returns it; adding 0 resets the count.
func (o *ownershipDriver) countFailedProbes(id ids.EndpointID, add int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if add == 0 {
		delete(o.failedProbes, id)
		return 0
	}
	o.failedProbes[id] += add
	return o.failedProbes[id]
}

// handleChanges probes the endpoints that this VM has gained and asks their
// former owners for handover.
func (o *ownershipDriver) handleChanges(changes []ownership.Change) {
	for _, change := range changes {
		if change.Kind != ownership.Gained {
			continue
		}
		if endpoint, published := o.daemon.catalog.View().Endpoint(change.Endpoint); published {
			o.daemon.spawn(func() { o.probe(endpoint) })
		}
	}
	o.requestHandovers(changes)
}

// requestHandovers asks the former owners of gained endpoints for their
// rights that may still be valid. It is called at once for new changes, and
// each second for changes whose replies are missing, because requests and
// replies may be lost.
func (o *ownershipDriver) requestHandovers(changes []ownership.Change) {
	endpointsByTarget := make(map[handoverTarget][]ids.EndpointID)
	for _, change := range changes {
		if change.Kind != ownership.Gained {
			continue
		}
		for _, vm := range change.HandoverCandidates {
			target := handoverTarget{vm: vm, revision: change.Revision}
			endpointsByTarget[target] = append(endpointsByTarget[target], change.Endpoint)
		}
	}
	for target, endpoints := range endpointsByTarget {
		o.daemon.spawn(func() { o.requestHandover(target, endpoints) })
	}
}

// handoverTarget identifies a handover request: a former owner, and the
// revision of the VM list at which this VM gained the endpoints.
type handoverTarget struct {
	vm       ids.VMID
	revision ids.Revision
}

// requestHandover asks a former owner for its rights and applies the reply.
func (o *ownershipDriver) requestHandover(target handoverTarget, endpoints []ids.EndpointID) {
	d := o.daemon
	request := peer.HandoverRequest{Sender: d.settings.VMID, Boot: d.bootID, Revision: target.revision, Endpoints: endpoints}
	reply, err := peers.Call[peer.HandoverReply](d.ctx, d.peers, target.vm, peer.MethodOwnerHandover, d.peerTimeout(target.vm), request)
	if err != nil {
		d.logAt("ask for handover", string(target.vm)).WithError(err).Debug("no reply")
		return
	}
	o.handleChanges(d.ownershipTable.ApplyHandover(time.Now(), reply))
	o.requestPlan()
}

// acquirePins asks the owners of endpoints for pins and waits for their
// replies.
func (o *ownershipDriver) acquirePins(pins []peer.PinKey) {
	var requests sync.WaitGroup
	for vm, keys := range o.daemon.groupByOwner(pins) {
		requests.Go(func() { o.acquirePinsFrom(vm, keys) })
	}
	requests.Wait()
}

// acquirePinsFrom asks one owner, which may be this VM, for pins.
func (o *ownershipDriver) acquirePinsFrom(vm ids.VMID, keys []peer.PinKey) {
	d := o.daemon
	request := peer.PinsAcquireRequest{
		Sender:   d.settings.VMID,
		Boot:     d.bootID,
		Sequence: d.pinHolder.NextSequence(),
		Revision: d.members.List().Revision,
		Pins:     keys,
	}
	askedAt := time.Now()
	reply, err := o.requestGrants(vm, request)
	if err != nil {
		d.logAt("acquire pins", string(vm)).WithError(err).Debug("no reply")
		return
	}
	now := time.Now()
	if vm != d.settings.VMID {
		d.ownershipTable.ObservePeer(now, vm, reply.Revision, askedAt)
	}
	d.pinHolder.ApplyGrants(now, askedAt, request.Sequence, reply.Grants)
	d.pinTracker.addGranted(d.settings.VMID, askedAt, reply.Grants)
	for _, grant := range reply.Grants {
		o.handlePinRefusal(grant)
	}
}

// requestGrants returns the owner's reply. If this VM is the owner, no
// message is sent.
func (o *ownershipDriver) requestGrants(vm ids.VMID, request peer.PinsAcquireRequest) (peer.PinsAcquireReply, error) {
	d := o.daemon
	if vm == d.settings.VMID {
		return d.ownershipTable.GrantPins(time.Now(), request, d.planner.Resident), nil
	}
	return peers.Call[peer.PinsAcquireReply](d.ctx, d.peers, vm, peer.MethodPinsAcquire, d.peerTimeout(vm), request)
}

// handlePinRefusal logs a refused pin. If the adapter version is not resident
// where this VM thought it was, the planner is corrected.
func (o *ownershipDriver) handlePinRefusal(grant peer.PinGrant) {
	d := o.daemon
	if grant.Refusal == "" {
		return
	}
	d.logAt("acquire pins", string(grant.Pin.Endpoint)).WithField("model", grant.Pin.Ref.String()).Debug("pin refused: " + string(grant.Refusal))
	if grant.Refusal != peer.PinNotResident || d.ownershipTable.Owns(grant.Pin.Endpoint) {
		return
	}
	if boot, resident := d.planner.Resident(grant.Pin.Endpoint, grant.Pin.Ref); resident {
		d.planner.MarkNotResident(grant.Pin.Endpoint, boot, grant.Pin.Ref)
	}
}

// maintainPins renews and releases the pins that are due. It is called each
// second.
func (o *ownershipDriver) maintainPins(now time.Time) {
	d := o.daemon
	due := d.pinHolder.Maintain(now)
	if len(due.Renew) > 0 {
		d.spawn(func() { o.acquirePins(due.Renew) })
	}
	d.pinTracker.remove(d.settings.VMID, due.Release)
	for vm, keys := range d.groupByOwner(due.Release) {
		d.spawn(func() { o.releasePinsTo(vm, due.ReleaseSequence, keys) })
	}
}

// releasePinsTo releases pins at one owner, which may be this VM.
func (o *ownershipDriver) releasePinsTo(vm ids.VMID, sequence uint64, keys []peer.PinKey) {
	d := o.daemon
	request := peer.PinsReleaseRequest{Sender: d.settings.VMID, Boot: d.bootID, Sequence: sequence, Pins: keys}
	if vm == d.settings.VMID {
		d.ownershipTable.Release(request)
		return
	}
	_, _ = peers.Call[peer.PinsReleaseReply](d.ctx, d.peers, vm, peer.MethodPinsRelease, d.peerTimeout(vm), request)
}

// releaseAllPins releases all pins at the end of a drain, when no request is
// running and no new one can begin.
func (o *ownershipDriver) releaseAllPins() {
	d := o.daemon
	keys := d.pinTracker.heldBy(time.Now(), d.settings.VMID)
	sequence := d.pinHolder.NextSequence()
	var releases sync.WaitGroup
	for vm, ownedKeys := range d.groupByOwner(keys) {
		releases.Go(func() { o.releasePinsTo(vm, sequence, ownedKeys) })
	}
	releases.Wait()
	d.pinTracker.remove(d.settings.VMID, keys)
}

// sendDemand reports waiting requests to the owner of their endpoints, unless
// a report to that VM is in flight.
func (o *ownershipDriver) sendDemand(vm ids.VMID, work []peer.WaitingDemand) {
	d := o.daemon
	if vm == d.settings.VMID {
		o.recordDemand(time.Now(), vm, work)
		return
	}
	o.mu.Lock()
	busy := o.demandInFlight[vm]
	o.demandInFlight[vm] = true
	o.mu.Unlock()
	if busy {
		return
	}
	d.spawn(func() {
		defer func() {
			o.mu.Lock()
			delete(o.demandInFlight, vm)
			o.mu.Unlock()
		}()
		request := peer.DemandReport{Sender: d.settings.VMID, Boot: d.bootID, Revision: d.members.List().Revision, Demand: work}
		reply, err := peers.Call[peer.DemandReportReply](d.ctx, d.peers, vm, peer.MethodReportDemand, d.peerTimeout(vm), request)
		if err != nil || len(reply.NotOwner) > 0 {
			for _, waiting := range work {
				d.planner.ForgetLoadTarget(waiting.Ref)
			}
		}
	})
}

// recordDemand passes demand for owned endpoints to the planner and returns
// the endpoints that this VM does not own.
func (o *ownershipDriver) recordDemand(now time.Time, from ids.VMID, work []peer.WaitingDemand) []ids.EndpointID {
	d := o.daemon
	var notOwned []ids.EndpointID
	for _, waiting := range work {
		if !d.ownershipTable.Owns(waiting.Endpoint) {
			notOwned = append(notOwned, waiting.Endpoint)
			continue
		}
		d.planner.UpdateDemand(now, placement.CustomerDemand{
			Sender:   from,
			Endpoint: waiting.Endpoint,
			Ref:      waiting.Ref,
			Customer: waiting.Customer,
			Requests: waiting.Requests,
			Oldest:   time.Duration(waiting.OldestMillis) * time.Millisecond,
		})
		o.addWaitingVM(now, from, waiting.Ref)
	}
	o.requestPlan()
	return notOwned
}

// addWaitingVM records that another VM waits for an adapter version.
func (o *ownershipDriver) addWaitingVM(now time.Time, from ids.VMID, ref ids.AdapterRef) {
	if from == o.daemon.settings.VMID {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waitingVMs[ref] == nil {
		o.waitingVMs[ref] = make(map[ids.VMID]time.Time)
	}
	o.waitingVMs[ref][from] = now
}

// notifyWaitingVMs sends the report of an endpoint to the VMs that waited for
// the adapter version it has just loaded.
func (o *ownershipDriver) notifyWaitingVMs(order placement.Order) {
	d := o.daemon
	report, known := d.reports.get(order.Endpoint)
	o.mu.Lock()
	waiting := o.waitingVMs[order.Ref]
	delete(o.waitingVMs, order.Ref)
	o.mu.Unlock()
	if !known {
		return
	}
	now := time.Now()
	for vm, at := range waiting {
		if now.Sub(at) > waitingVMTimeout {
			continue
		}
		d.spawn(func() {
			body := peer.EndpointReports{Reports: []peer.EndpointReport{report}}
			_, _ = peers.Call[peer.EndpointReportsAck](d.ctx, d.peers, vm, peer.MethodEndpointReports, d.peerTimeout(vm), body)
		})
	}
}

// handleOwnership registers the handlers of messages about pins, handovers,
// demand and endpoint reports.
func (d *Daemon) handleOwnership(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodPinsAcquire, func(_ context.Context, _ peers.Sender, request peer.PinsAcquireRequest) (peer.PinsAcquireReply, error) {
		now := time.Now()
		reply := d.ownershipTable.GrantPins(now, request, d.planner.Resident)
		reply.Boot = d.bootID
		d.pinTracker.addGranted(request.Sender, now, reply.Grants)
		return reply, nil
	})
	peers.Handle(registry, peer.MethodPinsRelease, func(_ context.Context, _ peers.Sender, request peer.PinsReleaseRequest) (peer.PinsReleaseReply, error) {
		d.ownershipTable.Release(request)
		d.pinTracker.remove(request.Sender, request.Pins)
		return peer.PinsReleaseReply{Sender: d.settings.VMID, Boot: d.bootID, Revision: d.members.List().Revision}, nil
	})
	peers.Handle(registry, peer.MethodOwnerHandover, func(_ context.Context, _ peers.Sender, request peer.HandoverRequest) (peer.HandoverReply, error) {
		reply := d.ownershipTable.AnswerHandover(time.Now(), request)
		reply.Boot = d.bootID
		return reply, nil
	})
	peers.Handle(registry, peer.MethodReportDemand, func(_ context.Context, _ peers.Sender, request peer.DemandReport) (peer.DemandReportReply, error) {
		notOwner := d.ownershipDriver.recordDemand(time.Now(), request.Sender, request.Demand)
		return peer.DemandReportReply{Sender: d.settings.VMID, Boot: d.bootID, Revision: d.members.List().Revision, NotOwner: notOwner}, nil
	})
	peers.Handle(registry, peer.MethodEndpointReports, func(_ context.Context, _ peers.Sender, message peer.EndpointReports) (peer.EndpointReportsAck, error) {
		d.reports.applyPeerReports(time.Now(), message.Reports)
		return peer.EndpointReportsAck{}, nil
	})
}
