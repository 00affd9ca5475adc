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
	probeTimeout  = time.Second
	// probeFailures is how many probes in a row must fail before an endpoint
	// that still accepts connections counts as unreachable.
	probeFailures = 2
	// planInterval is how often the planner is asked while demand may wait.
	planInterval = 50 * time.Millisecond
	// interestTerm is how long a VM that told demand is told of the load.
	interestTerm = 30 * time.Second
)

// Reasons to drop an order right before it leaves.
var (
	errFenceChanged = errors.New("the fencing token changed since the order was planned")
	errOrderLate    = errors.New("the order was planned too long ago")
)

// late tells whether an order may no longer leave, as after a pause of the
// process. An order without a bound is sent at once.
func late(order placement.Order, now time.Time) bool {
	return !order.SendBy.IsZero() && now.After(order.SendBy)
}

// owner gives orders to the endpoints that this VM owns, and asks the owners
// of others for pins and loads.
type owner struct {
	daemon *Daemon
	gate   placement.Gate
	woken  chan struct{}

	mu sync.Mutex
	// interested lists the VMs that wait for an adapter version.
	interested map[ids.AdapterRef]map[ids.VMID]time.Time
	// telling holds the VMs to which a work.wait is under way.
	telling  map[ids.VMID]bool
	failures map[ids.EndpointID]int
	probing  map[ids.EndpointID]bool
}

// plannerGate is what the planner may order: by the table, and by the rights
// to the weight store.
type plannerGate struct {
	*ownership.Table
	*loadRights
}

func newOwner(d *Daemon) *owner {
	return &owner{
		daemon:     d,
		gate:       plannerGate{d.table, d.rights},
		woken:      make(chan struct{}, 1),
		interested: make(map[ids.AdapterRef]map[ids.VMID]time.Time),
		telling:    make(map[ids.VMID]bool),
		failures:   make(map[ids.EndpointID]int),
		probing:    make(map[ids.EndpointID]bool),
	}
}

// wake has the planner asked soon.
func (o *owner) wake() {
	select {
	case o.woken <- struct{}{}:
	default:
	}
}

// run probes and plans until the daemon stops.
func (o *owner) run() {
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
		case <-o.woken:
			o.plan()
		}
	}
}

func (o *owner) plan() {
	for _, order := range o.daemon.planner.Plan(time.Now(), o.gate) {
		o.daemon.spawn(func() { o.execute(order) })
	}
}

// execute sends one order and what follows from it.
func (o *owner) execute(order placement.Order) {
	d := o.daemon
	for {
		var result placement.OrderResult
		if order.Kind == placement.OrderLoad {
			result = o.load(order)
		} else {
			result = o.evict(order)
		}
		next := d.planner.CompleteOrder(time.Now(), order.ID, result, o.gate)
		d.reports.ordered(order.Endpoint, order.Ref)
		d.metrics.ordered(order, result)
		if order.Kind == placement.OrderLoad && result == placement.ResultDone {
			d.wakeAdapter(order.Ref)
			o.tellInterested(order)
		}
		if len(next) == 0 {
			o.wake()
			return
		}
		order = next[0]
		for _, further := range next[1:] {
			d.spawn(func() { o.execute(further) })
		}
	}
}

func (o *owner) load(order placement.Order) placement.OrderResult {
	d := o.daemon
	endpoint, published := d.catalog.View().Endpoint(order.Endpoint)
	_, version, state := d.catalog.Resolve(order.Ref.Adapter, order.Ref.Version)
	if !published || state != catalog.ResolveOK {
		return placement.ResultNotSent
	}
	var sentAt time.Time
	failure := d.engines.LoadAdapter(d.ctx, engines.Endpoint{ID: order.Endpoint, Address: endpoint.Address}, order.Fence, order.Ref, version.Source, func() error {
		sentAt = time.Now()
		if late(order, sentAt) {
			return errOrderLate
		}
		fence, err := d.table.MayLoad(sentAt, order.Endpoint)
		if err == nil && fence != order.Fence {
			err = errFenceChanged
		}
		return err
	})
	if failure == nil || failure.ErrorType == engineapi.ErrorAlreadyLoaded {
		d.table.LoadAccepted(time.Now(), sentAt, order.Endpoint, order.Fence, order.Ref)
		return placement.ResultDone
	}
	return o.resultOf(failure)
}

// announce shows an engine with fencing the token of its new owner, by an
// order to load what is resident already. From then on the engine refuses the
// former owner, whose rights to order and grant need not be waited for. An
// engine with fencing checks the token before anything else in an order.
func (o *owner) announce(endpoint catalog.Endpoint) {
	d := o.daemon
	report, known := d.reports.get(endpoint.ID)
	_, waits := d.table.MayOrder(time.Now(), endpoint.ID)
	if !known || !endpoint.Fencing || len(report.Resident) == 0 || !errors.Is(waits, ownership.ErrHandoverPending) {
		return
	}
	ref, err := ids.ParseAdapterRef(report.Resident[0])
	if err != nil {
		return
	}
	fence, err := d.table.MayLoad(time.Now(), endpoint.ID)
	if err != nil {
		return
	}
	result := o.load(placement.Order{Kind: placement.OrderLoad, Endpoint: endpoint.ID, Ref: ref, Fence: fence, Boot: report.Boot})
	d.at("announce owner", string(endpoint.ID)).WithField("fence", fence).WithField("done", result == placement.ResultDone).Info("fencing token shown to the engine")
}

func (o *owner) evict(order placement.Order) placement.OrderResult {
	d := o.daemon
	endpoint, published := d.catalog.View().Endpoint(order.Endpoint)
	if !published {
		return placement.ResultNotSent
	}
	// The bar on new pins ends with OrderSettle, so the connection ends first.
	ctx, cancel := context.WithTimeout(d.ctx, d.options.Terms.MaxOrderDelay)
	defer cancel()
	failure := d.engines.UnloadAdapter(ctx, engines.Endpoint{ID: order.Endpoint, Address: endpoint.Address}, order.Fence, order.Ref, func() error {
		now := time.Now()
		if late(order, now) {
			return errOrderLate
		}
		fence, err := d.table.BeginEvict(now, order.Endpoint, order.Ref)
		if err == nil && fence != order.Fence {
			d.table.EndEvict(order.Endpoint, order.Ref)
			err = errFenceChanged
		}
		return err
	})
	switch {
	case failure == nil || failure.Status == statusNotFound:
		d.table.EndEvict(order.Endpoint, order.Ref)
		return placement.ResultDone
	case failure.Cause == engines.CauseErrorStatus:
		d.table.EndEvict(order.Endpoint, order.Ref)
	}
	return o.resultOf(failure)
}

func (o *owner) resultOf(failure *engines.Failure) placement.OrderResult {
	o.daemon.at(failure.Step, string(failure.Endpoint)).WithError(failure).Info("order failed")
	switch {
	case failure.Cause == engines.CauseErrorStatus:
		return placement.ResultFailed
	case failure.Cause == engines.CauseConnect:
		o.daemon.passOver(failure.Endpoint)
		return placement.ResultNotSent
	case !failure.MaybeSent:
		return placement.ResultNotSent
	}
	return placement.ResultUnknown
}

// probeAll reads the load report of every endpoint that this VM owns.
func (o *owner) probeAll() {
	for _, endpoint := range o.daemon.catalog.View().Endpoints() {
		if o.daemon.table.Owns(endpoint.ID) {
			o.daemon.spawn(func() { o.probe(endpoint) })
		}
	}
}

// probe reads one load report, once at a time.
func (o *owner) probe(endpoint catalog.Endpoint) {
	if !o.enter(endpoint.ID) {
		return
	}
	defer o.leave(endpoint.ID)
	ctx, cancel := context.WithTimeout(o.daemon.ctx, probeTimeout)
	defer cancel()
	report, failure := o.daemon.engines.FetchLoadReport(ctx, engines.Endpoint{ID: endpoint.ID, Address: endpoint.Address})
	if failure == nil {
		o.setFailures(endpoint.ID, 0)
		o.daemon.reports.probed(time.Now(), endpoint.ID, report)
		o.announce(endpoint)
		return
	}
	failures := o.setFailures(endpoint.ID, 1)
	if failure.Cause == engines.CauseConnect || failures >= probeFailures {
		o.daemon.reports.setReachable(endpoint.ID, false)
	}
}

func (o *owner) enter(id ids.EndpointID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.probing[id] {
		return false
	}
	o.probing[id] = true
	return true
}

func (o *owner) leave(id ids.EndpointID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.probing, id)
}

// setFailures resets the failed probes in a row, or adds to them.
func (o *owner) setFailures(id ids.EndpointID, add int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if add == 0 {
		delete(o.failures, id)
		return 0
	}
	o.failures[id] += add
	return o.failures[id]
}

// changed acts on changes of ownership.
func (o *owner) changed(changes []ownership.Change) {
	for _, change := range changes {
		if change.Kind != ownership.Gained {
			continue
		}
		if endpoint, published := o.daemon.catalog.View().Endpoint(change.Endpoint); published {
			o.daemon.spawn(func() { o.probe(endpoint) })
		}
	}
	o.askFormerOwners(changes)
}

// askFormerOwners asks for the rights that may still run on gained endpoints.
// It is called with new changes at once, and each second with those whose
// answers are missing, because questions and answers may be lost.
func (o *owner) askFormerOwners(changes []ownership.Change) {
	asked := make(map[handoverAsk][]ids.EndpointID)
	for _, change := range changes {
		if change.Kind != ownership.Gained {
			continue
		}
		for _, vm := range change.HandoverCandidates {
			ask := handoverAsk{vm: vm, revision: change.Revision}
			asked[ask] = append(asked[ask], change.Endpoint)
		}
	}
	for ask, endpoints := range asked {
		o.daemon.spawn(func() { o.askHandover(ask, endpoints) })
	}
}

// handoverAsk is a former owner with the list revision at which this VM gained
// the endpoints that it is asked for.
type handoverAsk struct {
	vm       ids.VMID
	revision ids.Revision
}

// askHandover asks a former owner for its rights.
func (o *owner) askHandover(ask handoverAsk, endpoints []ids.EndpointID) {
	d := o.daemon
	request := peer.HandoverRequest{Sender: d.settings.VMID, Boot: d.boot, Revision: ask.revision, Endpoints: endpoints}
	reply, err := peers.Call[peer.HandoverReply](d.ctx, d.peers, ask.vm, peer.MethodOwnerHandover, d.peerTimeout(ask.vm), request)
	if err != nil {
		d.at("ask for handover", string(ask.vm)).WithError(err).Debug("no answer")
		return
	}
	o.changed(d.table.ApplyHandover(time.Now(), reply))
	o.wake()
}

// acquirePins asks the owners of endpoints for pins.
func (o *owner) acquirePins(pins []peer.PinKey) {
	var asks sync.WaitGroup
	for vm, keys := range o.daemon.byOwner(pins) {
		asks.Go(func() { o.acquireFrom(vm, keys) })
	}
	asks.Wait()
}

func (o *owner) acquireFrom(vm ids.VMID, keys []peer.PinKey) {
	d := o.daemon
	request := peer.PinsAcquireRequest{
		Sender:   d.settings.VMID,
		Boot:     d.boot,
		Sequence: d.holder.NextSequence(),
		Revision: d.members.List().Revision,
		Pins:     keys,
	}
	askedAt := time.Now()
	reply, err := o.grant(vm, request)
	if err != nil {
		d.at("acquire pins", string(vm)).WithError(err).Debug("no answer")
		return
	}
	now := time.Now()
	if vm != d.settings.VMID {
		d.table.ObservePeer(now, vm, reply.Revision, askedAt)
	}
	d.holder.ApplyGrants(now, askedAt, request.Sequence, reply.Grants)
	d.pins.granted(d.settings.VMID, askedAt, reply.Grants)
	for _, grant := range reply.Grants {
		o.refusedPin(grant)
	}
}

func (o *owner) grant(vm ids.VMID, request peer.PinsAcquireRequest) (peer.PinsAcquireReply, error) {
	d := o.daemon
	if vm == d.settings.VMID {
		return d.table.GrantPins(time.Now(), request, d.planner.Resident), nil
	}
	return peers.Call[peer.PinsAcquireReply](d.ctx, d.peers, vm, peer.MethodPinsAcquire, d.peerTimeout(vm), request)
}

// refusedPin learns from a refusal that the adapter is not where this VM took
// it to be.
func (o *owner) refusedPin(grant peer.PinGrant) {
	d := o.daemon
	if grant.Refusal == "" {
		return
	}
	d.at("acquire pins", string(grant.Pin.Endpoint)).WithField("model", grant.Pin.Ref.String()).Debug("pin refused: " + string(grant.Refusal))
	if grant.Refusal != peer.PinNotResident || d.table.Owns(grant.Pin.Endpoint) {
		return
	}
	if boot, resident := d.planner.Resident(grant.Pin.Endpoint, grant.Pin.Ref); resident {
		d.planner.MarkNotResident(grant.Pin.Endpoint, boot, grant.Pin.Ref)
	}
}

// upkeep renews and gives back pins. It is called each second.
func (o *owner) upkeep(now time.Time) {
	d := o.daemon
	due := d.holder.Maintain(now)
	if len(due.Renew) > 0 {
		d.spawn(func() { o.acquirePins(due.Renew) })
	}
	d.pins.released(d.settings.VMID, due.Release)
	for vm, keys := range d.byOwner(due.Release) {
		d.spawn(func() { o.releaseTo(vm, due.ReleaseSequence, keys) })
	}
}

func (o *owner) releaseTo(vm ids.VMID, sequence uint64, keys []peer.PinKey) {
	d := o.daemon
	request := peer.PinsReleaseRequest{Sender: d.settings.VMID, Boot: d.boot, Sequence: sequence, Pins: keys}
	if vm == d.settings.VMID {
		d.table.Release(request)
		return
	}
	_, _ = peers.Call[peer.PinsReleaseReply](d.ctx, d.peers, vm, peer.MethodPinsRelease, d.peerTimeout(vm), request)
}

// releaseAll gives all pins back at the end of a drain, when no request runs
// and none begins any more.
func (o *owner) releaseAll() {
	d := o.daemon
	keys := d.pins.held(time.Now(), d.settings.VMID)
	sequence := d.holder.NextSequence()
	var releases sync.WaitGroup
	for vm, part := range d.byOwner(keys) {
		releases.Go(func() { o.releaseTo(vm, sequence, part) })
	}
	releases.Wait()
	d.pins.released(d.settings.VMID, keys)
}

// tellWork tells the owner of endpoints about waiting requests.
func (o *owner) tellWork(vm ids.VMID, work []peer.WaitingDemand) {
	d := o.daemon
	if vm == d.settings.VMID {
		o.takeWork(time.Now(), vm, work)
		return
	}
	o.mu.Lock()
	busy := o.telling[vm]
	o.telling[vm] = true
	o.mu.Unlock()
	if busy {
		return
	}
	d.spawn(func() {
		defer func() {
			o.mu.Lock()
			delete(o.telling, vm)
			o.mu.Unlock()
		}()
		request := peer.DemandReport{Sender: d.settings.VMID, Boot: d.boot, Revision: d.members.List().Revision, Demand: work}
		reply, err := peers.Call[peer.DemandReportReply](d.ctx, d.peers, vm, peer.MethodReportDemand, d.peerTimeout(vm), request)
		if err != nil || len(reply.NotOwner) > 0 {
			for _, waiting := range work {
				d.planner.ForgetLoadTarget(waiting.Ref)
			}
		}
	})
}

// takeWork gives demand for owned endpoints to the planner and returns the
// endpoints that this VM does not own.
func (o *owner) takeWork(now time.Time, from ids.VMID, work []peer.WaitingDemand) []ids.EndpointID {
	d := o.daemon
	var notOwned []ids.EndpointID
	for _, waiting := range work {
		if !d.table.Owns(waiting.Endpoint) {
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
		o.note(now, from, waiting.Ref)
	}
	o.wake()
	return notOwned
}

func (o *owner) note(now time.Time, from ids.VMID, ref ids.AdapterRef) {
	if from == o.daemon.settings.VMID {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.interested[ref] == nil {
		o.interested[ref] = make(map[ids.VMID]time.Time)
	}
	o.interested[ref][from] = now
}

// tellInterested sends the report of an endpoint to the VMs that waited for
// the adapter version it has just loaded.
func (o *owner) tellInterested(order placement.Order) {
	d := o.daemon
	report, known := d.reports.get(order.Endpoint)
	o.mu.Lock()
	waiting := o.interested[order.Ref]
	delete(o.interested, order.Ref)
	o.mu.Unlock()
	if !known {
		return
	}
	now := time.Now()
	for vm, at := range waiting {
		if now.Sub(at) > interestTerm {
			continue
		}
		d.spawn(func() {
			body := peer.EndpointReports{Reports: []peer.EndpointReport{report}}
			_, _ = peers.Call[peer.EndpointReportsAck](d.ctx, d.peers, vm, peer.MethodEndpointReports, d.peerTimeout(vm), body)
		})
	}
}

// handleOwnership registers the messages about endpoints.
func (d *Daemon) handleOwnership(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodPinsAcquire, func(_ context.Context, _ peers.Sender, request peer.PinsAcquireRequest) (peer.PinsAcquireReply, error) {
		now := time.Now()
		reply := d.table.GrantPins(now, request, d.planner.Resident)
		reply.Boot = d.boot
		d.pins.granted(request.Sender, now, reply.Grants)
		return reply, nil
	})
	peers.Handle(registry, peer.MethodPinsRelease, func(_ context.Context, _ peers.Sender, request peer.PinsReleaseRequest) (peer.PinsReleaseReply, error) {
		d.table.Release(request)
		d.pins.released(request.Sender, request.Pins)
		return peer.PinsReleaseReply{Sender: d.settings.VMID, Boot: d.boot, Revision: d.members.List().Revision}, nil
	})
	peers.Handle(registry, peer.MethodOwnerHandover, func(_ context.Context, _ peers.Sender, request peer.HandoverRequest) (peer.HandoverReply, error) {
		reply := d.table.AnswerHandover(time.Now(), request)
		reply.Boot = d.boot
		return reply, nil
	})
	peers.Handle(registry, peer.MethodReportDemand, func(_ context.Context, _ peers.Sender, request peer.DemandReport) (peer.DemandReportReply, error) {
		notOwner := d.owner.takeWork(time.Now(), request.Sender, request.Demand)
		return peer.DemandReportReply{Sender: d.settings.VMID, Boot: d.boot, Revision: d.members.List().Revision, NotOwner: notOwner}, nil
	})
	peers.Handle(registry, peer.MethodEndpointReports, func(_ context.Context, _ peers.Sender, message peer.EndpointReports) (peer.EndpointReportsAck, error) {
		d.reports.take(time.Now(), message.Reports)
		return peer.EndpointReportsAck{}, nil
	})
}
