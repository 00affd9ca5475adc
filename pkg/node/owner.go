package node

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/prompts"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/replicas"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/residency"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// Timings of the orders to engines.
const (
	ownerInterval = 25 * time.Millisecond
	// idleInterval is the pause between looks for claims at a VM without any.
	idleInterval = 150 * time.Millisecond
	// reportInterval is the pause between reports of an engine whose state is
	// known, which show that it restarted; each report has a price.
	reportInterval = 1500 * time.Millisecond
	// doubtInterval is that of an engine whose state is not known.
	doubtInterval = 100 * time.Millisecond
	// changeInterval is that of an engine that loads a model or unloads an
	// adapter that is in use.
	changeInterval = 200 * time.Millisecond
	orderTimeout   = 700 * time.Millisecond
	reportTimeout  = 700 * time.Millisecond
	// modelLoadReserve is how many model loads one owner may start at once.
	modelLoadReserve = 1.0
	// modelLoadSlack is what the operators allow beyond the rate in a window.
	modelLoadSlack = 3.0
	// ensurePoll is the pause between looks at an adapter that is awaited.
	ensurePoll = 10 * time.Millisecond
)

// engine is the owner's state of one engine.
type engine struct {
	endpoint *serving.Endpoint
	table    *residency.Table
	limits   residency.Limits
	busy     bool
	reported time.Time
	// published is the table's version that was published.
	published uint64
	fence     ids.Fence
	// gate decides when requests begin; turns are those that wait for it.
	gate  *prompts.Gate
	turns map[ids.RequestID]chan prompts.Decision
}

// owner orders the engines of the data centres that this VM has claimed.
type owner struct {
	node *Node

	mu      sync.Mutex
	engines map[ids.EndpointID]*engine
	// followed and fences are the view and the tokens of the last step.
	followed *directory.View
	fences   map[ids.DataCentreID]ids.Fence
	loads    float64
	loadedAt time.Time
	// active holds the adapters with open requests at each VM.
	active map[ids.VMID]activeAdapters
	// demand counts the uses of adapters at all VMs, by which popular ones
	// are copied.
	demand   *replicas.Demand
	copiedAt time.Time
	// loadTime is learned from all engines of this owner.
	loadTime *residency.LoadTimeEstimator
}

// activeAdapters are the adapters with open requests at one VM.
type activeAdapters struct {
	at   time.Time
	keys []string
}

// activeAge is how long a VM's word on its open requests counts.
const activeAge = 2 * time.Second

func newOwner(n *Node) *owner {
	return &owner{node: n, engines: make(map[ids.EndpointID]*engine), loads: modelLoadReserve, active: make(map[ids.VMID]activeAdapters), demand: replicas.New(replicas.DefaultConfig()), loadTime: residency.NewLoadTimeEstimator(residency.DefaultConfig().LoadTime)}
}

// run gives orders until the VM stops.
func (o *owner) run(ctx context.Context) {
	for ctx.Err() == nil {
		if o.step(ctx, time.Now()) {
			sleep(ctx, ownerInterval)
		} else {
			sleep(ctx, idleInterval)
		}
	}
}

// step starts at most one call to each engine that is owned. It reports whether
// there are any.
func (o *owner) step(ctx context.Context, now time.Time) bool {
	view := o.node.directory.View()
	fences := o.node.fences(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.follow(now, view, fences)
	o.replicate(now, view)
	active := sync.OnceValue(func() map[serving.AdapterKey]bool { return o.activeKeys(now) })
	for _, e := range o.engines {
		e.nextTurns(now)
		if e.busy {
			continue
		}
		if o.reportDue(now, e) {
			e.busy = true
			e.reported = now
			go o.report(ctx, e)
			continue
		}
		if order, due := e.table.NextOrder(now, e.limits, o.mayLoadModel(now, view, e), active); due {
			if order.Kind == residency.LoadModel {
				o.loads--
			}
			e.busy = true
			go o.order(ctx, e, order)
		}
	}
	o.publish(now)
	return len(o.engines) > 0
}

// replicateInterval is the pause between looks at the adapters that need more
// copies; a load takes about half of it.
const replicateInterval = 500 * time.Millisecond

// copyUrgency ranks copies behind the loads that requests wait for.
const copyUrgency = 100

// replicate orders copies of popular adapters at owned engines. All owners see
// the same demand and the same order of engines for an adapter, so each takes
// its part without asking the others.
func (o *owner) replicate(now time.Time, view *directory.View) {
	if len(o.engines) == 0 || now.Sub(o.copiedAt) < replicateInterval || view.Config == nil {
		return
	}
	o.copiedAt = now
	for name, service := range view.Config.Services {
		if service.Engine == nil {
			continue
		}
		var engines []*serving.Endpoint
		for _, e := range view.Service(name) {
			if !e.Leaving {
				engines = append(engines, e)
			}
		}
		for _, replica := range o.demand.Targets(now, len(engines)) {
			o.copyAdapter(now, replica, engines)
		}
	}
}

// copyAdapter orders the copies of one adapter that are missing at owned
// engines.
func (o *owner) copyAdapter(now time.Time, replica replicas.Target, engines []*serving.Endpoint) {
	missing := replica.Count
	var without []*serving.Endpoint
	for _, e := range engines {
		_, held := o.node.residents.find(e.ID, replica.Key, 0)
		_, hasModel := o.node.residents.free(e.ID, replica.Key.Model)
		switch {
		case held:
			missing--
		case hasModel:
			without = append(without, e)
		}
	}
	if missing <= 0 {
		return
	}
	for _, e := range balance.Rank(replica.Key.String(), without)[:min(missing, len(without))] {
		owned := o.engines[e.ID]
		if owned == nil || owned.table.PendingDemands() > 0 {
			continue
		}
		owned.table.Demand(residency.Demand{Key: replica.Key, Version: o.node.declared.newest(replica.Key), Urgency: copyUrgency, Since: now})
		o.node.note("copy ordered", fields{"adapter": replica.Key.String(), "endpoint": e.ID, "rate": replica.Rate, "copies": replica.Count, "missing": missing})
	}
}

// follow takes up the engines that are owned now and drops the others.
func (o *owner) follow(now time.Time, view *directory.View, fences map[ids.DataCentreID]ids.Fence) {
	if view == o.followed && maps.Equal(fences, o.fences) {
		return
	}
	o.followed, o.fences = view, fences
	for id, e := range o.engines {
		endpoint := view.Endpoints[id]
		if endpoint == nil || fences[endpoint.DataCentre] == 0 {
			delete(o.engines, id)
			continue
		}
		if endpoint.Started != e.endpoint.Started || endpoint.Address != e.endpoint.Address {
			e.table.Reset(now)
		}
		e.endpoint, e.fence = endpoint, fences[endpoint.DataCentre]
	}
	if view.Config == nil {
		return
	}
	for id, endpoint := range view.Endpoints {
		service := view.Config.Services[endpoint.Service]
		fence := fences[endpoint.DataCentre]
		if fence == 0 || service == nil || service.Engine == nil {
			continue
		}
		if o.engines[id] == nil {
			o.engines[id] = &engine{
				endpoint: endpoint, table: residency.NewTable(residency.DefaultConfig(), o.loadTime), fence: fence,
				gate: prompts.New(prompts.DefaultConfig()), turns: make(map[ids.RequestID]chan prompts.Decision),
			}
		}
		o.engines[id].limits = residency.Limits{
			AdapterSlots: service.Engine.AdapterSlots,
			WeightsMB:    service.Engine.WeightsMB,
			Models:       service.Engine.Models,
		}
	}
}

func (o *owner) reportDue(now time.Time, e *engine) bool {
	age := now.Sub(e.reported)
	switch {
	case e.table.NeedsReport(now):
		return age >= doubtInterval
	case !e.table.Known():
		return false
	case e.table.Contradicted():
		return age >= doubtInterval
	case e.table.Leaving() || e.table.ModelBusy():
		return age >= changeInterval
	}
	return age >= reportInterval
}

// mayLoadModel reports whether this owner's part of the weight store's rate
// allows a load. The loads that the operators allow in their window are divided
// over the data centres; one of them may come at once, the others at the rate
// that is left.
func (o *owner) mayLoadModel(now time.Time, view *directory.View, e *engine) bool {
	defer func() { o.loadedAt = now }()
	service := view.Config.Services[e.endpoint.Service]
	if service == nil || service.Engine == nil || service.Engine.LoadsPerSecond <= 0 {
		return true
	}
	bounds := o.node.settings.Bounds
	window := max(bounds.ModelLoadWindow, time.Second).Seconds()
	allowed := service.Engine.LoadsPerSecond*window*max(bounds.ModelLoadOverrate, 1) + modelLoadSlack
	share := allowed / float64(max(len(o.node.settings.DataCentres), 1))
	rate := max(share-modelLoadReserve, 0) / window
	o.loads = min(o.loads+now.Sub(o.loadedAt).Seconds()*rate, modelLoadReserve)
	return o.loads >= 1
}

func (o *owner) report(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := o.node.engines.Report(ctx, e.endpoint)
	now := time.Now()
	o.node.metrics.reports.Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	e.busy = false
	if err != nil {
		o.node.warn("engine report failed", err, fields{"endpoint": e.endpoint.ID})
		return
	}
	known := e.table.Known()
	e.table.ApplyReport(asked, now, report)
	if !known && e.table.Known() {
		used, capacity := e.table.Slots(e.limits)
		o.node.note("engine known", fields{"endpoint": e.endpoint.ID, "sequence": report.Sequence, "adapters": used, "slots": capacity, "started": report.Started})
	}
	o.publish(now)
}

func (o *owner) order(ctx context.Context, e *engine, order residency.Order) {
	fence, allowed := o.node.fence(time.Now(), e.endpoint.DataCentre)
	result, err := residency.Refused, error(nil)
	started := time.Now()
	if allowed {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		result, err = o.node.engines.Order(ctx, e.endpoint, string(o.node.settings.Self()), fence, order)
		cancel()
		o.node.metrics.orders.Inc(1)
	}
	now := time.Now()
	o.node.note("engine order", fields{
		"endpoint": e.endpoint.ID, "kind": order.Kind.String(), "adapter": order.Model + "/" + string(order.Adapter), "version": order.Version,
		"sequence": order.Sequence, "fence": fence, "allowed": allowed, "result": result.String(), "error": errorText(err), "tookMs": now.Sub(started).Milliseconds(),
	})
	if errors.Is(err, ErrFenced) {
		o.node.fencedBy(e.endpoint.DataCentre)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	e.busy = false
	e.table.FinishOrder(now, order, result)
	o.publish(now)
}

// publish gives the tables that changed to the VM's own view, from which the
// peers get them. The caller holds mu.
func (o *owner) publish(now time.Time) {
	for id, e := range o.engines {
		if !e.table.Known() || e.published == e.table.ChangeCount()+1 {
			continue
		}
		e.published = e.table.ChangeCount() + 1
		used, capacity := e.table.Slots(e.limits)
		o.node.residents.put(id, &engineView{fence: e.fence, free: capacity - used, models: e.table.Models(), held: e.table.Snapshot(now)})
	}
}

// owns reports whether this VM orders an engine.
func (o *owner) owns() func(ids.EndpointID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := make(map[ids.EndpointID]bool, len(o.engines))
	for id := range o.engines {
		owned[id] = true
	}
	return func(id ids.EndpointID) bool { return owned[id] }
}

// used counts uses of adapters that a peer told.
func (o *owner) used(now time.Time, uses map[string]float64) {
	if len(uses) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, times := range uses {
		key, valid := splitKey(name)
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

// hearActive takes the adapters with open requests at a VM.
func (o *owner) hearActive(now time.Time, vm ids.VMID, keys []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active[vm] = activeAdapters{at: now, keys: keys}
}

// activeNames returns the adapters with open requests at this VM and chosen
// others.
func (o *owner) activeNames(now time.Time, choose func(ids.VMID) bool) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.activeNamesOf(now, choose)
}

// activeNamesOf is activeNames for a caller that holds mu.
func (o *owner) activeNamesOf(now time.Time, choose func(ids.VMID) bool) []string {
	names := o.node.residents.activeNames()
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		seen[name] = true
	}
	for vm, told := range o.active {
		if now.Sub(told.at) > activeAge {
			delete(o.active, vm)
			continue
		}
		if !choose(vm) {
			continue
		}
		for _, name := range told.keys {
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
func (o *owner) activeKeys(now time.Time) map[serving.AdapterKey]bool {
	active := make(map[serving.AdapterKey]bool)
	for _, name := range o.activeNamesOf(now, func(ids.VMID) bool { return true }) {
		if key, valid := splitKey(name); valid {
			active[key] = true
		}
	}
	return active
}

// ensureRequest asks the owner of an engine for an adapter.
type ensureRequest struct {
	Endpoint ids.EndpointID     `json:"endpoint"`
	Key      serving.AdapterKey `json:"key"`
	Version  ids.AdapterVersion `json:"version,omitempty"`
	Urgency  int                `json:"urgency"`
	// WaitMs is how long the caller can wait.
	WaitMs int64 `json:"wait"`
	// Missing is set where the engine denied that it has the adapter.
	Missing bool `json:"missing,omitempty"`
}

type ensureStatus string

const (
	ensureResident ensureStatus = "resident"
	ensureNotOwner ensureStatus = "not owner"
	// ensureBusy means that the adapter cannot be there in time.
	ensureBusy ensureStatus = "busy"
)

type ensureReply struct {
	Status  ensureStatus       `json:"status"`
	Version ids.AdapterVersion `json:"version,omitempty"`
	// RetryMs is when a busy engine may have room.
	RetryMs int64 `json:"retry,omitempty"`
}

func (n *Node) handleEnsure(ctx context.Context, _ peers.From, request ensureRequest) (ensureReply, error) {
	return n.owner.ensure(ctx, request), nil
}

// ensure loads an adapter and returns when it is there, or when it is known
// that it will not be in time.
func (o *owner) ensure(ctx context.Context, request ensureRequest) ensureReply {
	deadline := time.Now().Add(time.Duration(request.WaitMs) * time.Millisecond)
	for first := true; ; first = false {
		now := time.Now()
		reply, wait := o.ensureStep(now, request, first, deadline)
		if !wait {
			return reply
		}
		if ctx.Err() != nil || !now.Before(deadline) {
			o.giveUp(now, request)
			return ensureReply{Status: ensureBusy, RetryMs: retryAfterBusy.Milliseconds()}
		}
		sleep(ctx, ensurePoll)
	}
}

// giveUp drops the demand for an adapter that did not come in time, and logs
// what held it up.
func (o *owner) giveUp(now time.Time, request ensureRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.engines[request.Endpoint]
	if e == nil {
		return
	}
	e.table.DropDemand(request.Key)
	used, capacity := e.table.Slots(e.limits)
	o.node.note("adapter wait ended", fields{
		"endpoint": request.Endpoint, "adapter": request.Key.String(), "waitedMs": request.WaitMs, "known": e.table.Known(),
		"reportAgeMs": now.Sub(e.reported).Milliseconds(), "wants": e.table.PendingDemands(), "adapters": used, "slots": capacity, "backlogMs": e.table.EstimateWait(now, e.table.PendingDemands()).Milliseconds(),
	})
}

// retryAfterBusy is told to callers whose adapter had no slot in time: about
// the time in which an engine turns over a fifth of its slots.
const retryAfterBusy = 800 * time.Millisecond

// hasRoom reports whether an engine can take one more adapter soon. One without
// the base model cannot: a model takes seconds to load. The caller holds mu.
func (o *owner) hasRoom(now time.Time, e *engine, model string) bool {
	active := func() map[serving.AdapterKey]bool { return o.activeKeys(now) }
	return e.table.HasModel(model) && e.table.AvailableSlots(now, e.limits, active) > 0
}

func (o *owner) ensureStep(now time.Time, request ensureRequest, first bool, deadline time.Time) (ensureReply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.engines[request.Endpoint]
	if e == nil {
		return ensureReply{Status: ensureNotOwner}, false
	}
	if first && request.Missing {
		e.table.AdapterMissing(now, request.Key)
	}
	if held, found := e.table.Find(request.Key, request.Version); found && e.table.Known() {
		return ensureReply{Status: ensureResident, Version: held.Version}, held.Ready.After(now)
	}
	if first {
		ahead := e.table.PendingDemands()
		wait := e.table.EstimateWait(now, ahead)
		if now.Add(wait).After(deadline) {
			return ensureReply{Status: ensureBusy, RetryMs: wait.Milliseconds()}, false
		}
		// A newer version of a held adapter takes the place of the older one.
		if _, held := e.table.Find(request.Key, 0); e.table.Known() && !held && !o.hasRoom(now, e, request.Key.Model) {
			return ensureReply{Status: ensureBusy, RetryMs: retryAfterBusy.Milliseconds()}, false
		}
	}
	e.table.Demand(residency.Demand{Key: request.Key, Version: request.Version, Urgency: request.Urgency, Since: now})
	return ensureReply{}, true
}
