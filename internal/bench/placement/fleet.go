package placement

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fairqueue"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/ownership"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/routing"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// The rhythm of a VM.
const (
	tickEvery   = 50 * time.Millisecond
	upkeepEvery = time.Second
	probeEvery  = 2 * time.Second
	// reportLag is how old an engine's report is when it is read.
	reportLag = 100 * time.Millisecond
	// requestTerm is the longest time that a request may run.
	requestTerm = 30 * time.Second
	baseModel   = "base"
	region      = "region"
)

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func dataCentreID(n int) ids.DataCentreID { return ids.DataCentreID(fmt.Sprint("dc", n)) }

func endpointID(dataCentre, n int) ids.EndpointID {
	return ids.EndpointID(fmt.Sprintf("engine-%d-%03d", dataCentre, n))
}

// fleet is the modelled set of entry VMs.
type fleet struct {
	world   *world
	list    platformapi.VMList
	vms     []*vm
	byID    map[ids.VMID]*vm
	engines map[ids.EndpointID]*engine
}

// vm is one modelled entry VM. Everything it decides with is the real code.
type vm struct {
	fleet   *fleet
	id      ids.VMID
	table   *ownership.Table
	holder  *ownership.PinHolder
	planner *placement.Planner
	state   *routing.State
	queue   *fairqueue.Queue
	profile routing.Profile
	random  *rand.Rand
	budget  *placement.LoadBudget

	choice   routing.Candidate
	asking   map[peer.PinKey]bool
	reporter *placement.DemandReporter
	arrivals map[ids.RequestID]arrival
}

func (f *fleet) now() time.Time { return modelStart.Add(f.world.now) }

func runFleet(d deployment, seed uint64) result {
	f := newFleet(d, seed)
	for i, a := range d.arrivals(seed) {
		v := f.vms[i*7%len(f.vms)]
		f.world.after(a.at, func() { v.arrive(a) })
	}
	f.world.run()
	name := "wagtailspoke, " + string(d.policy)
	return f.world.meter.result(name, f.world.store)
}

func newFleet(d deployment, seed uint64) *fleet {
	f := &fleet{world: newWorld(d), byID: make(map[ids.VMID]*vm), engines: make(map[ids.EndpointID]*engine)}
	f.list.Revision = 1
	for _, e := range f.world.engines {
		f.engines[e.id] = e
	}
	if d.fill {
		f.fill(seed)
	}
	count := d.dataCentres * d.vms
	shared := placement.NewLoadBudget(f.now(), storePerSecond, storePerSecond, storePlaces, 30*time.Second)
	for dc := range d.dataCentres {
		for n := range d.vms {
			id := ids.VMID(fmt.Sprintf("vm-%d-%d", dc, n))
			f.list.VMs = append(f.list.VMs, platformapi.VM{ID: id, DataCentre: dataCentreID(dc), State: platformapi.VMLive})
			budget := shared
			if d.shareRights {
				budget = placement.NewLoadBudget(f.now(), float64(storePerSecond)/float64(count), 1, storePlaces/count, 30*time.Second)
			}
			f.add(id, dc, budget, seed+uint64(len(f.vms)))
		}
	}
	for i, v := range f.vms {
		offset := time.Duration(i) * time.Millisecond
		f.world.after(offset, v.tick)
		f.world.after(offset, v.upkeep)
		f.world.after(offset, v.probeAll)
	}
	return f
}

// fill puts the most popular adapters on the engines.
func (f *fleet) fill(seed uint64) {
	d := f.world.deployment
	popular := rand.New(rand.NewPCG(seed, 11)).Perm(d.adapters)
	for i := range min(d.adapters, len(f.world.engines)*d.slots) {
		f.world.engines[i%len(f.world.engines)].resident[refOf(popular[i], 1)] = true
	}
}

func (f *fleet) add(id ids.VMID, dc int, budget *placement.LoadBudget, seed uint64) {
	d := f.world.deployment
	v := &vm{
		fleet: f, id: id, budget: budget,
		table:    ownership.New(ownership.Config{Self: id, DataCentre: dataCentreID(dc), Terms: ownership.DefaultTerms()}, f.now()),
		holder:   ownership.NewPinHolder(ownership.DefaultTerms()),
		planner:  placement.NewPlanner(placement.DefaultConfig(d.policy)),
		queue:    fairqueue.New(fairqueue.DefaultConfig(d.policy)),
		profile:  routing.ModelProfile(d.policy),
		random:   rand.New(rand.NewPCG(seed, 13)),
		asking:   make(map[peer.PinKey]bool),
		reporter: placement.NewDemandReporter(placement.DefaultConfig(d.policy).DemandTerm),
		arrivals: make(map[ids.RequestID]arrival),
	}
	v.state = routing.NewState(routing.DefaultStateConfig(dataCentreID(dc), region), v.planner, v)
	for _, load := range d.customers {
		v.queue.SetWeight(load.id, load.rate)
		v.planner.SetWeight(load.id, load.rate)
	}
	for n := range d.dataCentres {
		v.state.SetDataCentre(dataCentreID(n), region)
	}
	for _, e := range f.world.engines {
		record := records.Endpoint{
			DataCentre: dataCentreID(e.dataCentre), Kind: records.EndpointModel, Address: "127.0.0.1:1", BaseModel: baseModel,
			Slots: d.slots, MaxBatch: d.maxBatch, Fencing: true, State: records.EndpointServing,
		}
		v.table.SetEndpoint(f.now(), e.id, record)
		v.planner.SetEndpoint(e.id, record)
		v.state.SetEndpoint(e.id, record)
	}
	f.vms = append(f.vms, v)
	f.byID[id] = v
}

// send counts a message and delivers it one hop later; a message to itself
// costs nothing.
func (v *vm) send(to ids.VMID, method string, body any, deliver func(*vm)) {
	f := v.fleet
	other, ok := f.byID[to]
	if !ok {
		return
	}
	if other == v {
		deliver(v)
		return
	}
	data, err := json.Marshal(body)
	if err == nil && f.world.now >= f.world.deployment.warmUp {
		f.world.meter.bytes[method] += len(data)
		f.world.meter.messages[method]++
	}
	f.world.after(hop, func() { deliver(other) })
}

// Covers implements routing.Pins.
func (v *vm) Covers(now time.Time, endpoint ids.EndpointID, ref ids.AdapterRef, deadline time.Time) bool {
	return v.holder.Covers(now, peer.PinKey{Endpoint: endpoint, Ref: ref}, deadline)
}

// vm implements placement.Gate by its table and budget.

func (v *vm) MayLoad(now time.Time, id ids.EndpointID) (ids.FencingToken, error) {
	return v.table.MayLoad(now, id)
}

func (v *vm) MayOrder(now time.Time, id ids.EndpointID) (ids.FencingToken, error) {
	return v.table.MayOrder(now, id)
}

func (v *vm) MayEvict(now time.Time, id ids.EndpointID, ref ids.AdapterRef) error {
	return v.table.MayEvict(now, id, ref)
}

func (v *vm) AcquireLoadPermit(now time.Time) bool { return v.budget.AcquireLoadPermit(now) }

func (v *vm) AcquireSpareLoadPermit(now time.Time, reserve float64) bool {
	return v.budget.AcquireSpareLoadPermit(now, reserve)
}

func (v *vm) ReleaseLoadPermit(now time.Time, used, known bool) {
	v.budget.ReleaseLoadPermit(now, used, known)
}

func (v *vm) arrive(a arrival) {
	w := v.fleet.world
	w.meter.arrived(a, w.resident(a.ref))
	now := v.fleet.now()
	item := fairqueue.Item{
		ID: a.id, Customer: w.deployment.customers[a.customer].id, Ref: a.ref, Cost: a.cost(), Deadline: now.Add(deadlineAfter),
	}
	if v.queue.Push(now, item) != nil {
		w.meter.refuse(a)
		return
	}
	w.meter.waiting++
	v.arrivals[a.id] = a
	v.dispatch()
}

// tick is the work that a VM does while requests wait.
func (v *vm) tick() {
	f := v.fleet
	now := f.now()
	v.table.Tick(now)
	for _, item := range v.queue.Expire(now) {
		f.world.meter.waiting--
		f.world.meter.refuse(v.arrivals[item.ID])
		delete(v.arrivals, item.ID)
	}
	v.tellDemand(now)
	for _, order := range v.planner.Plan(now, v) {
		v.execute(order)
	}
	v.dispatch()
	f.world.after(tickEvery, v.tick)
}

// dispatch sends all requests that can run.
func (v *vm) dispatch() {
	f := v.fleet
	for {
		item, ok := v.queue.Pop(f.now(), v.canRun)
		if !ok {
			return
		}
		v.start(item, v.choice)
	}
}

// canRun chooses an endpoint with a pin, or asks for a pin.
func (v *vm) canRun(ref ids.AdapterRef) bool {
	now := v.fleet.now()
	request := routing.Request{Kind: records.EndpointModel, Ref: ref, BaseModel: baseModel, Deadline: now.Add(requestTerm)}
	candidates := v.state.Candidates(now, &request)
	choice, err := v.profile.WithFilter(routing.Pinned{}).Pick(&request, candidates, v.random)
	if err == nil {
		v.choice = choice
		return true
	}
	if choice, err = v.profile.Pick(&request, candidates, v.random); err == nil {
		v.askPins([]peer.PinKey{{Endpoint: choice.Endpoint, Ref: ref}})
	}
	return false
}

func (v *vm) start(item fairqueue.Item, choice routing.Candidate) {
	f := v.fleet
	w := f.world
	key := peer.PinKey{Endpoint: choice.Endpoint, Ref: choice.Resident}
	if !v.holder.Begin(f.now(), key, f.now().Add(requestTerm)) {
		v.queue.Requeue(item)
		return
	}
	a := v.arrivals[item.ID]
	w.meter.waiting--
	request := routing.Request{Ref: item.Ref}
	v.state.Begin(f.now(), choice.Endpoint, &request)
	end := func() {
		v.state.End(choice.Endpoint)
		v.holder.End(key)
		v.dispatch()
	}
	w.after(hop, func() {
		ok := f.engines[choice.Endpoint].run(job{
			arrival: a, ref: choice.Resident,
			firstToken: func() { w.meter.firstToken(a, w.now) },
			done: func() {
				delete(v.arrivals, a.id)
				w.after(hop, end)
			},
		})
		if ok {
			v.planner.RecordUse(f.now(), choice.Endpoint, choice.Resident, 1)
			return
		}
		v.planner.MarkNotResident(choice.Endpoint, choice.Boot, choice.Resident)
		w.meter.waiting++
		v.queue.Requeue(item)
		end()
	})
}

// askPins asks the owners of endpoints for pins, with one message to each owner
// and one ask at a time for each pin.
func (v *vm) askPins(keys []peer.PinKey) {
	f := v.fleet
	byOwner := make(map[ids.VMID][]peer.PinKey)
	for _, key := range keys {
		owner, ok := f.ownerOf(key.Endpoint)
		if !ok || v.asking[key] {
			continue
		}
		v.asking[key] = true
		byOwner[owner] = append(byOwner[owner], key)
	}
	if len(byOwner) == 0 {
		return
	}
	for _, other := range f.vms {
		if len(byOwner[other.id]) > 0 {
			v.askOwner(other.id, byOwner[other.id])
		}
	}
}

func (v *vm) askOwner(owner ids.VMID, keys []peer.PinKey) {
	f := v.fleet
	askedAt := f.now()
	request := peer.PinsAcquireRequest{Sender: v.id, Sequence: v.holder.NextSequence(), Revision: f.list.Revision, Pins: keys}
	v.send(owner, peer.MethodPinsAcquire, request, func(to *vm) {
		reply := to.table.GrantPins(f.now(), request, to.planner.Resident)
		to.send(v.id, peer.MethodPinsAcquire, reply, func(*vm) {
			v.holder.ApplyGrants(f.now(), askedAt, request.Sequence, reply.Grants)
			v.tookGrants(owner, reply.Grants)
		})
	})
}

// tookGrants notes refusals and wakes what waited for the pins. The answer may
// come within a Pop, so waking waits for an event of its own.
func (v *vm) tookGrants(owner ids.VMID, grants []peer.PinGrant) {
	for _, grant := range grants {
		delete(v.asking, grant.Pin)
		if grant.Refusal == peer.PinNotResident && owner != v.id {
			v.planner.MarkNotResident(grant.Pin.Endpoint, "boot", grant.Pin.Ref)
		}
	}
	v.fleet.world.after(0, func() {
		for _, grant := range grants {
			v.queue.Unpark(grant.Pin.Ref)
		}
		v.dispatch()
	})
}

func (f *fleet) ownerOf(id ids.EndpointID) (ids.VMID, bool) {
	e, ok := f.engines[id]
	if !ok {
		return "", false
	}
	return ownership.Owner(id, dataCentreID(e.dataCentre), f.list)
}

// tellDemand tells the owners of endpoints where waiting requests need loads.
func (v *vm) tellDemand(now time.Time) {
	type wanted struct {
		requests int
		parts    []fairqueue.Demand
	}
	byRef := make(map[ids.AdapterRef]*wanted)
	var order []ids.AdapterRef
	for _, demand := range v.queue.Demands(now) {
		if byRef[demand.Ref] == nil {
			byRef[demand.Ref] = &wanted{}
			order = append(order, demand.Ref)
		}
		byRef[demand.Ref].requests += demand.Requests
		byRef[demand.Ref].parts = append(byRef[demand.Ref].parts, demand)
	}
	var all []placement.CustomerDemand
	for _, ref := range order {
		home, ok := v.planner.TargetIfLoadNeeded(now, placement.VersionDemand{Ref: ref, BaseModel: baseModel, Requests: byRef[ref].requests})
		if !ok {
			continue
		}
		for _, part := range byRef[ref].parts {
			all = append(all, placement.CustomerDemand{
				Sender: v.id, Endpoint: home, Ref: ref, Customer: part.Customer, Requests: part.Requests, Oldest: part.Oldest,
			})
		}
	}
	work := make(map[ids.VMID][]peer.WaitingDemand)
	for _, part := range v.reporter.Due(now, all) {
		owner, _ := v.fleet.ownerOf(part.Endpoint)
		work[owner] = append(work[owner], peer.WaitingDemand{
			Endpoint: part.Endpoint, Ref: part.Ref, Customer: part.Customer, Requests: part.Requests, OldestMillis: part.Oldest.Milliseconds(),
		})
	}
	for _, other := range v.fleet.vms {
		if len(work[other.id]) > 0 {
			v.tellWork(other.id, work[other.id])
		}
	}
}

func (v *vm) tellWork(owner ids.VMID, work []peer.WaitingDemand) {
	request := peer.DemandReport{Sender: v.id, Revision: v.fleet.list.Revision, Demand: work}
	v.send(owner, peer.MethodReportDemand, request, func(to *vm) {
		reply := peer.DemandReportReply{Sender: to.id, Revision: v.fleet.list.Revision}
		now := v.fleet.now()
		for _, part := range work {
			to.planner.UpdateDemand(now, placement.CustomerDemand{
				Sender: v.id, Endpoint: part.Endpoint, Ref: part.Ref, Customer: part.Customer, Requests: part.Requests,
				Oldest: time.Duration(part.OldestMillis) * time.Millisecond,
			})
			if part.Requests > 0 && to.planner.Crowded(now, part.Endpoint) {
				reply.Crowded = append(reply.Crowded, part.Endpoint)
			}
		}
		to.send(v.id, peer.MethodReportDemand, reply, func(*vm) {
			for _, id := range reply.Crowded {
				v.planner.MarkCrowded(v.fleet.now(), id)
			}
		})
	})
}

// execute carries out an order, with the checks that the daemon makes.
func (v *vm) execute(order placement.Order) {
	f := v.fleet
	e := f.engines[order.Endpoint]
	done := func(result placement.OrderResult) {
		for _, next := range v.planner.CompleteOrder(f.now(), order.ID, result, v) {
			v.execute(next)
		}
		f.world.after(reportLag, func() { v.probe(e) })
	}
	if order.Kind == placement.OrderEvict {
		if _, err := v.table.BeginEvict(f.now(), order.Endpoint, order.Ref); err != nil {
			done(placement.ResultNotSent)
			return
		}
		f.world.after(hop, func() {
			e.evict(order.Ref)
			f.world.after(hop, func() {
				v.table.EndEvict(order.Endpoint, order.Ref)
				done(placement.ResultDone)
			})
		})
		return
	}
	sentAt := f.now()
	if _, err := v.table.MayLoad(sentAt, order.Endpoint); err != nil {
		done(placement.ResultNotSent)
		return
	}
	e.load(order.Ref, func(ok bool) {
		if !ok {
			done(placement.ResultFailed)
			return
		}
		v.table.LoadAccepted(f.now(), sentAt, order.Endpoint, order.Fence, order.Ref)
		done(placement.ResultDone)
		v.queue.Unpark(order.Ref)
		v.dispatch()
	})
}

// probeAll reads the reports of the engines that this VM owns.
func (v *vm) probeAll() {
	for _, e := range v.fleet.world.engines {
		if v.table.Owns(e.id) {
			v.probe(e)
		}
	}
	v.fleet.world.after(probeEvery, v.probeAll)
}

// probe reads one report and tells it to all VMs of the region.
func (v *vm) probe(e *engine) {
	f := v.fleet
	e.sequence++
	report := placement.Report{Endpoint: e.id, Boot: "boot", Sequence: e.sequence, Running: e.active, Waiting: len(e.waiting)}
	for ref := range e.resident {
		report.Resident = append(report.Resident, ref)
	}
	sortRefs(report.Resident)
	f.world.after(reportLag, func() {
		for _, other := range f.vms {
			f.world.after(hop, func() { other.observe(report) })
		}
	})
}

func (v *vm) observe(report placement.Report) {
	if v.planner.Observe(v.fleet.now(), report) == placement.ReportIgnored {
		return
	}
	v.state.SetReportedLoad(report.Endpoint, report.Running, report.Waiting)
	for _, ref := range report.Resident {
		v.queue.Unpark(ref)
	}
	v.dispatch()
}

// upkeep confirms the list and renews and releases pins.
func (v *vm) upkeep() {
	f := v.fleet
	now := f.now()
	v.table.ObserveList(now, f.list, now)
	v.table.Sweep(now)
	v.planner.Sweep(now)
	up := v.holder.Maintain(now)
	v.askPins(up.Renew)
	byOwner := make(map[ids.VMID][]peer.PinKey)
	for _, key := range up.Release {
		if owner, ok := f.ownerOf(key.Endpoint); ok {
			byOwner[owner] = append(byOwner[owner], key)
		}
	}
	for _, other := range f.vms {
		if len(byOwner[other.id]) == 0 {
			continue
		}
		request := peer.PinsReleaseRequest{Sender: v.id, Sequence: up.ReleaseSequence, Pins: byOwner[other.id]}
		v.send(other.id, peer.MethodPinsRelease, request, func(to *vm) { to.table.Release(request) })
	}
	f.world.after(upkeepEvery, v.upkeep)
}
