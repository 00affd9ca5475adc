package node

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/pace"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/replicas"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/residency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/room"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// Timings of the calls to owned engines.
const (
	ownerStepInterval = 25 * time.Millisecond
	// idleStepInterval is the longest pause between steps while this VM has no
	// claims. A new claim starts the next step at once.
	idleStepInterval = time.Second
	// claimStepInterval is the pause between steps while this VM has claims but
	// may not send orders yet.
	claimStepInterval = 150 * time.Millisecond
	// reportInterval is the pause between reports of an engine whose state is
	// known. They show whether the engine restarted; they are not more frequent
	// because each report has a cost.
	reportInterval = 1500 * time.Millisecond
	// unknownStateReportInterval is the pause between reports of an engine
	// whose state is not known.
	unknownStateReportInterval = 100 * time.Millisecond
	// watchReportInterval is the pause between reports of an engine that this VM
	// may not order but would, to see orders of other VMs soon.
	watchReportInterval = 500 * time.Millisecond
	// changingStateReportInterval is the pause between reports of an engine
	// that is loading a model or unloading an adapter that is still in use.
	changingStateReportInterval = 200 * time.Millisecond
	orderTimeout                = 700 * time.Millisecond
	reportTimeout               = 700 * time.Millisecond
	// modelLoadBurst is how many model loads one owner may start at once.
	modelLoadBurst = 1.0
	// modelLoadAllowance is the number of model loads in a window that
	// operators allow in addition to those from the rate.
	modelLoadAllowance = 3.0
	// maxEnsurePause is the longest pause between checks for an adapter that a
	// request waits for, while it is loading. Before, the next check is due after
	// the owner's next step.
	maxEnsurePause = 60 * time.Millisecond
)

// engine is an owner's state of one engine, guarded by engineOwner.mu.
type engine struct {
	endpoint     *serving.Endpoint
	table        *residency.Table
	limits       residency.Limits
	callInFlight bool
	reportedAt   time.Time
	// publishedVersion is one more than the version of the table that was
	// published last; 0 if none was.
	publishedVersion uint64
	// fence is the token for orders; 0 if this VM only reads the engine's reports.
	fence ids.FencingToken
	// room decides when requests may start, and prefillWaiters holds the
	// channels of the requests that wait for it.
	room           *room.Ledger
	prefillWaiters map[ids.RequestID]chan room.Decision
	// runningSince is the start of the engine's process by its last report; 0 if unknown.
	runningSince int64
	// roomEmptied is set if room was emptied because of a restart that no report has
	// shown yet.
	roomEmptied bool
	// heldByPace is the number of requests that wait for the engine's pace, and paced is
	// set if that limits room.
	heldByPace int
	paced      bool
}

// engineOwner sends orders to the engines of the data centres that this VM has
// claimed.
type engineOwner struct {
	node *Node

	mu      sync.Mutex
	engines map[ids.EndpointID]*engine
	// lastView and fences are the directory view and the fencing tokens of the
	// last step.
	lastView *directory.View
	fences   map[ids.DataCentreID]ids.FencingToken
	// modelLoads is the number of model loads that may start now. It was last
	// refilled at tokensUpdatedAt.
	modelLoads      float64
	tokensUpdatedAt time.Time
	// activeByVM holds the adapters with open requests that each VM reported.
	activeByVM map[ids.VMID]activeAdapters
	// demand counts the uses of adapters at all VMs. It decides which popular
	// adapters are copied.
	demand       *replicas.Demand
	replicatedAt time.Time
	// loadTime is the estimated load time, learned from all engines of this
	// owner.
	loadTime *residency.LoadTimeEstimator
	// shares counts the recent grants of each customer.
	shares *room.Shares
	// roomReportedAt is when the room at engines was logged last.
	roomReportedAt time.Time
	// readingSpeeds holds how fast the engines of each service read prompts.
	readingSpeeds map[string]*room.ReadingSpeed
	// stated is what the engines said of their load.
	stated *statedLoads
	// kinds counts the timely requests of each service by priority.
	kinds map[string]*room.Kinds
	// held are the requests whose start is being decided.
	held heldStarts
	// pace limits the requests to engines that have started or returned.
	pace          *pace.Group
	paceCheckedAt time.Time
}

// requestKinds returns the counts that the engines of a service share. The caller holds
// mu.
func (o *engineOwner) requestKinds(service string) *room.Kinds {
	if o.kinds[service] == nil {
		o.kinds[service] = room.NewKinds()
	}
	return o.kinds[service]
}

// readingSpeed returns the estimate that the engines of a service share. The caller
// holds mu.
func (o *engineOwner) readingSpeed(service string) *room.ReadingSpeed {
	if o.readingSpeeds[service] == nil {
		o.readingSpeeds[service] = &room.ReadingSpeed{}
	}
	return o.readingSpeeds[service]
}

// activeAdapters lists the adapters with open requests that one VM reported.
type activeAdapters struct {
	receivedAt time.Time
	keys       []string
}

// activeAdaptersTTL is how long a VM's report of its open requests is used.
const activeAdaptersTTL = 2 * time.Second

func newOwner(n *Node) *engineOwner {
	return &engineOwner{node: n, engines: make(map[ids.EndpointID]*engine), modelLoads: modelLoadBurst, activeByVM: make(map[ids.VMID]activeAdapters), demand: replicas.New(replicas.DefaultConfig()), loadTime: residency.NewLoadTimeEstimator(residency.DefaultConfig().LoadTime), readingSpeeds: make(map[string]*room.ReadingSpeed), shares: room.NewShares(), kinds: make(map[string]*room.Kinds), stated: newStatedLoads(), pace: pace.New(pace.DefaultConfig())}
}

// run sends orders until ctx ends.
func (o *engineOwner) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case o.step(ctx, time.Now()):
			o.node.wakeOwner.wait(ctx, ownerStepInterval)
		case o.node.hasClaims():
			sleep(ctx, claimStepInterval)
		default:
			o.node.wakeOwner.wait(ctx, idleStepInterval)
		}
	}
}

// step starts at most one call to each owned engine that has none in flight. It
// reports whether this VM owns any engines.
func (o *engineOwner) step(ctx context.Context, now time.Time) bool {
	view := o.node.directory.View()
	fences := o.node.fences(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateOwnedEngines(now, view, fences)
	o.updatePace(now)
	o.updateFleetKinds(now)
	o.replicate(now, view)
	active := sync.OnceValue(func() map[serving.AdapterKey]bool { return o.activeKeys(now) })
	for _, e := range o.engines {
		o.notifyWaiters(now, e)
		if e.callInFlight || o.node.leaving(e.endpoint) {
			continue
		}
		if o.reportDue(now, e) {
			e.callInFlight = true
			e.reportedAt = now
			go o.report(ctx, e)
			continue
		}
		if e.fence == 0 {
			continue
		}
		if order, due := e.table.NextOrder(now, e.limits, o.mayLoadModel(now, view, e), active); due {
			if order.Kind == residency.LoadModel {
				o.modelLoads--
			}
			e.callInFlight = true
			go o.order(ctx, e, order)
		}
	}
	o.publish(now)
	o.reportRoom(now)
	return len(o.engines) > 0
}

// replicateInterval is the pause between checks for adapters that need more
// copies. Loading an adapter takes about half of it.
const replicateInterval = 500 * time.Millisecond

// copyUrgency ranks copies behind the loads that requests wait for.
const copyUrgency = 100

// replicate orders copies of popular adapters at owned engines. All owners see
// the same demand and rank the engines for an adapter in the same order, so
// each orders its part of the copies without asking the others.
func (o *engineOwner) replicate(now time.Time, view *directory.View) {
	if len(o.engines) == 0 || now.Sub(o.replicatedAt) < replicateInterval || view.Config == nil {
		return
	}
	o.replicatedAt = now
	for name, service := range view.Config.Services {
		if service.Engine == nil {
			continue
		}
		engines := o.node.staying(view.ServiceEndpoints(name))
		for _, replica := range o.demand.Targets(now, len(engines)) {
			o.orderCopies(now, replica, engines, func(e *engine) bool { return e.table.PendingDemands() == 0 })
		}
		if len(engines) < len(view.ServiceEndpoints(name)) {
			o.copyFromLeaving(now, view.ServiceEndpoints(name), engines)
		}
	}
}

// maxMovesPending is the number of adapters that may wait for their load at an engine
// that gets copies from leaving ones: as many as it loads at a time.
const maxMovesPending = 4

// copyFromLeaving orders copies of the adapters in use that are held by engines that
// leave, at other engines that have room for them.
func (o *engineOwner) copyFromLeaving(now time.Time, all, staying []*serving.Endpoint) {
	var held []serving.AdapterKey
	for _, e := range all {
		if o.node.leaving(e) {
			held = append(held, o.node.adapterIndex.heldBy(e.ID)...)
		}
	}
	active := sync.OnceValue(func() map[serving.AdapterKey]bool { return o.activeKeys(now) })
	for _, move := range o.demand.Moves(now, held) {
		o.orderCopies(now, move, staying, func(e *engine) bool {
			return e.table.PendingDemands() < maxMovesPending && e.table.RoomForCopy(now, e.limits, move.Key, active)
		})
	}
}

// orderCopies orders the missing copies of one adapter at those of the chosen
// engines that this VM owns and that mayOrder selects.
func (o *engineOwner) orderCopies(now time.Time, replica replicas.Target, engines []*serving.Endpoint, mayOrder func(*engine) bool) {
	missing := replica.Count
	var lacking []*serving.Endpoint
	for _, e := range engines {
		_, held := o.node.adapterIndex.find(e.ID, replica.Key, 0)
		_, hasModel := o.node.adapterIndex.freeSlots(e.ID, replica.Key.Model)
		switch {
		case held:
			missing--
		case hasModel:
			lacking = append(lacking, e)
		}
	}
	if missing <= 0 {
		return
	}
	for _, e := range balance.Rank(replica.Key.String(), lacking)[:min(missing, len(lacking))] {
		owned := o.engines[e.ID]
		if owned == nil || owned.fence == 0 || !mayOrder(owned) {
			continue
		}
		owned.table.Demand(residency.Demand{Key: replica.Key, Version: o.node.declared.newest(replica.Key), Urgency: copyUrgency, Since: now})
		o.node.logInfo("adapter copy ordered", fields{"adapter": replica.Key.String(), "endpoint": e.ID, "rate": replica.Rate, "copies": replica.Count, "missing": missing})
	}
}

// updateOwnedEngines adds the engines that this VM owns now and removes the
// others.
func (o *engineOwner) updateOwnedEngines(now time.Time, view *directory.View, fences map[ids.DataCentreID]ids.FencingToken) {
	if view == o.lastView && maps.Equal(fences, o.fences) {
		return
	}
	before := o.lastView
	o.lastView, o.fences = view, fences
	for id, e := range o.engines {
		endpoint := view.Endpoints[id]
		if endpoint == nil {
			delete(o.engines, id)
			continue
		}
		fence, included := fences[endpoint.DataCentre]
		if !included {
			delete(o.engines, id)
			continue
		}
		returned := before != nil && before.Evacuated[endpoint.DataCentre] && !view.Evacuated[endpoint.DataCentre]
		restarted := endpoint.Started != e.endpoint.Started || endpoint.Address != e.endpoint.Address
		if returned || restarted {
			e.table.Reset(now)
			e.room.Reset()
			e.roomEmptied = endpoint.Started > e.runningSince
			o.stated.forget(id)
			o.node.forgetPublishedLoad(id)
			reason := paceReturned
			if restarted {
				reason = paceRestarted
			}
			o.node.beginPaceIn(now, o.pace, id, reason)
		}
		if fence != e.fence {
			e.publishedVersion = 0
		}
		e.endpoint, e.fence = endpoint, fence
	}
	o.stated.prune(func(id ids.EndpointID) bool { return o.engines[id] != nil })
	if view.Config == nil {
		return
	}
	for id, endpoint := range view.Endpoints {
		service := view.Config.Services[endpoint.Service]
		fence, included := fences[endpoint.DataCentre]
		if !included || service == nil || service.Engine == nil {
			continue
		}
		if o.engines[id] == nil {
			o.engines[id] = &engine{
				endpoint: endpoint, table: residency.NewTable(residency.DefaultConfig(), o.loadTime), fence: fence,
				room: room.New(room.DefaultConfig(), o.readingSpeed(endpoint.Service), o.shares, o.requestKinds(endpoint.Service)), prefillWaiters: make(map[ids.RequestID]chan room.Decision),
			}
			o.paceEngine(now, id)
		}
		o.engines[id].room.SetCapacity(service.Engine.Batch, service.Engine.KVTokens)
		o.engines[id].room.SetEventSteps(service.Engine.EventTokens)
		o.engines[id].limits = residency.Limits{
			AdapterSlots: service.Engine.AdapterSlots,
			WeightsMB:    service.Engine.WeightsMB,
			Models:       service.Engine.Models,
		}
	}
}

func (o *engineOwner) reportDue(now time.Time, e *engine) bool {
	age := now.Sub(e.reportedAt)
	switch {
	case e.fence == 0:
		return age >= watchReportInterval
	case e.table.NeedsReport(now):
		return age >= unknownStateReportInterval
	case !e.table.Known():
		return false
	case e.table.Contradicted():
		return age >= unknownStateReportInterval
	case e.table.Leaving() || e.table.ModelBusy():
		return age >= changingStateReportInterval
	}
	return age >= reportInterval && o.node.heldFor(now, e.endpoint) == 0
}

// mayLoadModel reports whether this owner's share of the weight store's rate
// allows another model load. The loads that operators allow in a window are
// divided evenly among the data centres. Of its share, an owner may start
// modelLoadBurst loads at once, and the others at the remaining rate.
func (o *engineOwner) mayLoadModel(now time.Time, view *directory.View, e *engine) bool {
	defer func() { o.tokensUpdatedAt = now }()
	service := view.Config.Services[e.endpoint.Service]
	if service == nil || service.Engine == nil || service.Engine.LoadsPerSecond <= 0 {
		return true
	}
	bounds := o.node.settings.Bounds
	window := max(bounds.ModelLoadWindow, time.Second).Seconds()
	allowed := service.Engine.LoadsPerSecond*window*max(bounds.ModelLoadRateFactor, 1) + modelLoadAllowance
	share := allowed / float64(max(len(o.node.settings.DataCentres), 1))
	rate := max(share-modelLoadBurst, 0) / window
	o.modelLoads = min(o.modelLoads+now.Sub(o.tokensUpdatedAt).Seconds()*rate, modelLoadBurst)
	return o.modelLoads >= 1
}

func (o *engineOwner) report(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	var report residency.Report
	err := protect("engine report", func() (err error) {
		report, err = o.node.engines.Report(ctx, e.endpoint)
		return err
	})
	now := time.Now()
	o.node.metrics.reports.Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	e.callInFlight = false
	defer func() {
		if e.table.TakeForeignOrders() {
			o.node.recordForeignOrder(now, e.endpoint)
		}
	}()
	if err != nil {
		o.node.logWarning("engine report failed", err, fields{"endpoint": e.endpoint.ID})
		return
	}
	if report.Leaving {
		started := report.Started
		if started == 0 {
			started = e.endpoint.Started
		}
		o.node.recordLeaving(e.endpoint.ID, started)
	}
	known := e.table.Known()
	e.table.ApplyReport(asked, now, report)
	// The report of an earlier run may be late.
	if report.Started == 0 || report.Started >= e.runningSince {
		if report.Started > e.runningSince {
			if e.runningSince != 0 && !e.roomEmptied {
				e.room.Reset()
			}
			e.roomEmptied = false
		}
		e.runningSince = max(e.runningSince, report.Started)
		e.room.SetLoad(now, report.Running, report.Waiting)
		o.recordTokens(asked, now, e, report)
	}
	if !known && e.table.Known() {
		used, capacity := e.table.Slots(e.limits)
		o.node.logInfo("engine state known", fields{"endpoint": e.endpoint.ID, "sequence": report.Sequence, "adapters": used, "slots": capacity, "started": report.Started})
	}
	o.publish(now)
}

func (o *engineOwner) order(ctx context.Context, e *engine, order residency.Order) {
	fence, allowed := o.node.fence(time.Now(), e.endpoint.DataCentre)
	result, err := residency.Refused, error(nil)
	started := time.Now()
	if allowed {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		result = residency.Unknown
		err = protect("engine order", func() (err error) {
			result, err = o.node.engines.Order(ctx, e.endpoint, string(o.node.settings.Self()), fence, order)
			return err
		})
		cancel()
		o.node.metrics.orders.Inc(1)
	}
	now := time.Now()
	o.node.logInfo("engine order", fields{
		"endpoint": e.endpoint.ID, "kind": order.Kind.String(), "adapter": order.Model + "/" + string(order.Adapter), "version": order.Version,
		"sequence": order.Sequence, "fence": fence, "allowed": allowed, "result": result.String(), "error": errorText(err), "tookMs": now.Sub(started).Milliseconds(),
	})
	if errors.Is(err, ErrFenced) {
		o.node.dropFencedClaim(e.endpoint.DataCentre)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	e.callInFlight = false
	e.table.FinishOrder(now, order, result)
	if result == residency.Done && e.table.PendingDemands() > 0 {
		// The eviction has made room for a load that a request waits for.
		o.node.wakeOwner.wake()
	}
	o.publish(now)
}

// publish copies the changed tables into the VM's adapter index, from which
// peers receive those of owned engines. The caller holds mu.
func (o *engineOwner) publish(now time.Time) {
	for id, e := range o.engines {
		if !e.table.Known() || e.publishedVersion == e.table.ChangeCount()+1 || e.fence == 0 && !o.node.orderedByUnheardVM(now, e.endpoint.DataCentre) {
			continue
		}
		e.publishedVersion = e.table.ChangeCount() + 1
		used, capacity := e.table.Slots(e.limits)
		view := &engineView{fence: e.fence, freeSlots: capacity - used, models: e.table.Models(), held: e.table.Snapshot(now)}
		if e.fence == 0 {
			o.node.adapterIndex.setObservedTable(id, view)
		} else {
			o.node.adapterIndex.setOwnTable(id, view)
		}
	}
}

// ownedEngines returns a function that reports whether this VM owned an engine
// at the time of the call.
func (o *engineOwner) ownedEngines() func(ids.EndpointID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := make(map[ids.EndpointID]bool, len(o.engines))
	for id, e := range o.engines {
		owned[id] = e.fence != 0
	}
	return func(id ids.EndpointID) bool { return owned[id] }
}

// recordUses counts uses of adapters, by this VM's requests or as reported by a
// peer.
func (o *engineOwner) recordUses(now time.Time, uses map[string]float64) {
	if len(uses) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, times := range uses {
		key, valid := parseAdapterKey(name)
		if !valid {
			continue
		}
		if len(o.engines) > 0 {
			o.demand.Used(now, key, times)
		}
		for _, e := range o.engines {
			e.table.Used(now, key, times)
		}
	}
}

// setActiveAdapters records the adapters with open requests that a VM reported.
func (o *engineOwner) setActiveAdapters(now time.Time, vm ids.VMID, keys []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.activeByVM[vm] = activeAdapters{receivedAt: now, keys: keys}
}

// activeNames returns the adapters with open requests at this VM and at the VMs
// that include selects.
func (o *engineOwner) activeNames(now time.Time, include func(ids.VMID) bool) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.activeNamesLocked(now, include)
}

// activeNamesLocked is activeNames for callers that hold mu.
func (o *engineOwner) activeNamesLocked(now time.Time, include func(ids.VMID) bool) []string {
	names := o.node.adapterIndex.activeNames()
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		seen[name] = true
	}
	for vm, reported := range o.activeByVM {
		if now.Sub(reported.receivedAt) > activeAdaptersTTL {
			delete(o.activeByVM, vm)
			continue
		}
		if !include(vm) {
			continue
		}
		for _, name := range reported.keys {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// activeKeys returns the adapters with open requests at any VM. The caller
// holds mu.
func (o *engineOwner) activeKeys(now time.Time) map[serving.AdapterKey]bool {
	active := make(map[serving.AdapterKey]bool)
	for _, name := range o.activeNamesLocked(now, func(ids.VMID) bool { return true }) {
		if key, valid := parseAdapterKey(name); valid {
			active[key] = true
		}
	}
	return active
}

// ensureRequest asks the owner of an engine to load an adapter there.
type ensureRequest struct {
	Endpoint ids.EndpointID     `json:"endpoint"`
	Key      serving.AdapterKey `json:"key"`
	Version  ids.AdapterVersion `json:"version,omitempty"`
	Urgency  int                `json:"urgency"`
	// WaitMs is how long the caller can wait.
	WaitMs int64 `json:"wait"`
	// Missing is set if the engine denied having the adapter.
	Missing bool `json:"missing,omitempty"`
}

type ensureStatus string

const (
	ensureResident ensureStatus = "resident"
	ensureNotOwner ensureStatus = "not owner"
	// ensureBusy means that the adapter cannot be loaded in time.
	ensureBusy ensureStatus = "busy"
)

type ensureReply struct {
	Status  ensureStatus       `json:"status"`
	Version ids.AdapterVersion `json:"version,omitempty"`
	// RetryMs is the time after which a busy engine may have a slot.
	RetryMs int64 `json:"retry,omitempty"`
}

func (n *Node) handleEnsure(ctx context.Context, _ peers.Sender, request ensureRequest) (ensureReply, error) {
	return n.engineOwner.ensure(ctx, request), nil
}

// ensure has an adapter loaded. It returns when the adapter is ready, or as
// soon as it is known that it will not be ready in time.
func (o *engineOwner) ensure(ctx context.Context, request ensureRequest) ensureReply {
	deadline := time.Now().Add(time.Duration(request.WaitMs) * time.Millisecond)
	for first := true; ; first = false {
		now := time.Now()
		reply, pause := o.ensureStep(now, request, first, deadline)
		if pause == 0 {
			return reply
		}
		if ctx.Err() != nil || !now.Before(deadline) {
			o.abandonEnsure(now, request)
			return ensureReply{Status: ensureBusy, RetryMs: retryAfterBusy.Milliseconds()}
		}
		sleep(ctx, min(pause, max(time.Until(deadline), time.Millisecond)))
	}
}

// abandonEnsure removes the demand for an adapter that was not loaded in time,
// and logs the state of the engine.
func (o *engineOwner) abandonEnsure(now time.Time, request ensureRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.engines[request.Endpoint]
	if e == nil {
		return
	}
	e.table.DropDemand(request.Key)
	used, capacity := e.table.Slots(e.limits)
	o.node.logInfo("adapter wait timed out", fields{
		"endpoint": request.Endpoint, "adapter": request.Key.String(), "waitedMs": request.WaitMs, "known": e.table.Known(),
		"reportAgeMs": now.Sub(e.reportedAt).Milliseconds(), "wants": e.table.PendingDemands(), "adapters": used, "slots": capacity, "backlogMs": e.table.EstimateWait(now, e.table.PendingDemands()).Milliseconds(),
	})
}

// retryAfterBusy is the retry time for callers whose adapter got no slot in
// time. In about this time an engine replaces a fifth of its adapters.
const retryAfterBusy = 800 * time.Millisecond

// hasRoom reports whether an engine can take one more adapter soon. An engine
// without the base model cannot, because a model takes seconds to load. The
// caller holds mu.
func (o *engineOwner) hasRoom(now time.Time, e *engine, model string) bool {
	active := func() map[serving.AdapterKey]bool { return o.activeKeys(now) }
	return e.table.HasModel(model) && e.table.AvailableSlots(now, e.limits, active) > 0
}

// ensureStep checks for the adapter of a request and demands it. It returns the
// time until the next check, or 0 if the reply is final.
func (o *engineOwner) ensureStep(now time.Time, request ensureRequest, first bool, deadline time.Time) (ensureReply, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.engines[request.Endpoint]
	if e == nil || e.fence == 0 {
		return ensureReply{Status: ensureNotOwner}, 0
	}
	if o.node.leaving(e.endpoint) {
		e.table.DropDemand(request.Key)
		return ensureReply{Status: ensureBusy, RetryMs: retryAfterBusy.Milliseconds()}, 0
	}
	if first && request.Missing {
		e.table.AdapterMissing(now, request.Key)
	}
	if held, found := e.table.Find(request.Key, request.Version); found && e.table.Known() {
		return ensureReply{Status: ensureResident, Version: held.Version}, min(max(held.Ready.Sub(now), 0), maxEnsurePause)
	}
	if first {
		ahead := e.table.PendingDemands()
		wait := e.table.EstimateWait(now, ahead)
		if now.Add(wait).After(deadline) {
			return ensureReply{Status: ensureBusy, RetryMs: wait.Milliseconds()}, 0
		}
		// A newer version replaces the older one and needs no additional slot.
		if _, held := e.table.Find(request.Key, 0); e.table.Known() && !held && !o.hasRoom(now, e, request.Key.Model) {
			return ensureReply{Status: ensureBusy, RetryMs: retryAfterBusy.Milliseconds()}, 0
		}
	}
	e.table.Demand(residency.Demand{Key: request.Key, Version: request.Version, Urgency: request.Urgency, Since: now})
	if first {
		o.node.wakeOwner.wake()
	}
	return ensureReply{}, ownerStepInterval
}
