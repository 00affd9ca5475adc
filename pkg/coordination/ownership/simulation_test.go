package ownership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// The simulation runs one data centre in steps of simStep. Owners evict at
// random whatever their Table allows, which is harsher than any planner.
const (
	simStep       = 200 * time.Millisecond
	simDataCentre = ids.DataCentreID("a")
	simSlots      = 4
	simAdapters   = 8
	// maxNetworkDelay bounds the network delay of one message.
	maxNetworkDelay = 300 * time.Millisecond
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type simEngine struct {
	id       ids.EndpointID
	fencing  bool
	fence    ids.FencingToken
	resident map[ids.AdapterRef]bool
	running  map[ids.AdapterRef][]simRequest
}

// simRequest is a request that runs on an engine until end; done reports the
// end to the VM that sent it.
type simRequest struct {
	end  time.Duration
	done func()
}

type simVM struct {
	id     ids.VMID
	table  *Table
	holder *PinHolder
	// clockRate is the speed of the VM's clock relative to simulated time. Its
	// deviation stays within DriftMargin.
	clockRate        float64
	killed           bool
	pausedUntil      time.Duration
	platformCutUntil time.Duration
	listLag          time.Duration
	// adapter is the number of the adapter that the VM's callers currently
	// request.
	adapter int
	// plannedOrders holds orders that were decided on but not sent yet.
	plannedOrders []func()
	inbox         []simMessage
}

type simMessage struct {
	at      time.Duration
	deliver func()
}

type simulation struct {
	random         *rand.Rand
	now            time.Duration
	lists          []platformapi.VMList
	publishedAt    []time.Duration
	vms            map[ids.VMID]*simVM
	vmOrder        []ids.VMID
	engines        []*simEngine
	engineMessages []simMessage
	// platformDownUntil is when the whole data centre can reach the platform
	// again.
	platformDownUntil time.Duration
	rules             rules
	requirePin        bool
	terms             Terms

	lastVMNumber int
	violations   []string
	requestsRun  int
	evictions    int
	loads        int
}

func newSimulation(seed uint64, vms int, fencing []bool, r rules, requirePin bool) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), vms: make(map[ids.VMID]*simVM),
		rules: r, requirePin: requirePin, terms: DefaultTerms(),
	}
	for i, enforcesFencing := range fencing {
		e := &simEngine{id: ids.EndpointID(fmt.Sprintf("e%d", i)), fencing: enforcesFencing,
			resident: make(map[ids.AdapterRef]bool), running: make(map[ids.AdapterRef][]simRequest)}
		for a := range simSlots {
			e.resident[adapterRef(a)] = true
		}
		w.engines = append(w.engines, e)
	}
	var initialVMs []platformapi.VM
	for range vms {
		initialVMs = append(initialVMs, w.startVM())
	}
	w.publish(initialVMs)
	return w
}

func adapterRef(n int) ids.AdapterRef {
	return ids.AdapterRef{Adapter: ids.AdapterID("m" + strconv.Itoa(n)), Version: 1}
}

func (w *simulation) startVM() platformapi.VM {
	w.lastVMNumber++
	id := ids.VMID(fmt.Sprintf("vm%d", w.lastVMNumber))
	v := &simVM{id: id, clockRate: 1 + (w.random.Float64()-0.5)/120, holder: NewPinHolder(w.terms)}
	v.holder.requirePin = w.requirePin
	v.table = New(Config{Self: id, DataCentre: simDataCentre, Terms: w.terms}, w.clockOf(v))
	v.table.rules = w.rules
	for _, e := range w.engines {
		v.table.SetEndpoint(w.clockOf(v), e.id, records.Endpoint{DataCentre: simDataCentre, Kind: records.EndpointModel, Fencing: e.fencing})
	}
	w.vms[id] = v
	w.vmOrder = append(w.vmOrder, id)
	return platformapi.VM{ID: id, DataCentre: simDataCentre, State: platformapi.VMLive}
}

func (w *simulation) clockOf(v *simVM) time.Time {
	return simStart.Add(time.Duration(float64(w.now) * v.clockRate))
}

func (w *simulation) publish(vms []platformapi.VM) {
	revision := ids.Revision(len(w.lists) + 1)
	w.lists = append(w.lists, platformapi.VMList{Revision: revision, VMs: vms})
	w.publishedAt = append(w.publishedAt, w.now)
}

func (w *simulation) currentVMs() []platformapi.VM {
	return w.lists[len(w.lists)-1].VMs
}

// replaceVM publishes a list in which a new VM replaces the given one.
func (w *simulation) replaceVM(id ids.VMID) {
	next := []platformapi.VM{w.startVM()}
	for _, vm := range w.currentVMs() {
		if vm.ID != id {
			next = append(next, vm)
		}
	}
	w.publish(next)
}

func (w *simulation) isRunning(v *simVM) bool {
	return !v.killed && w.now >= v.pausedUntil
}

// send delivers a message to a VM after a random delay, or loses it. A paused
// VM handles the message when it resumes.
func (w *simulation) send(to ids.VMID, deliver func(v *simVM)) {
	v, ok := w.vms[to]
	if !ok || v.killed || w.random.IntN(50) == 0 {
		return
	}
	delay := time.Duration(w.random.Int64N(int64(maxNetworkDelay)))
	v.inbox = append(v.inbox, simMessage{at: w.now + delay, deliver: func() { deliver(v) }})
}

func (w *simulation) sendToEngine(deliver func()) {
	delay := time.Duration(w.random.Int64N(int64(maxNetworkDelay)))
	w.engineMessages = append(w.engineMessages, simMessage{at: w.now + delay, deliver: deliver})
}

func (w *simulation) step() {
	w.now += simStep
	w.engineMessages = w.deliverDue(w.engineMessages)
	for _, e := range w.engines {
		e.endRequests(w.now)
	}
	for _, id := range w.vmOrder {
		v := w.vms[id]
		if !w.isRunning(v) {
			continue
		}
		orders := v.plannedOrders
		v.plannedOrders = nil
		for _, act := range orders {
			act()
		}
		v.inbox = w.deliverDue(v.inbox)
		w.act(v)
	}
}

func (w *simulation) deliverDue(messages []simMessage) []simMessage {
	if len(messages) == 0 {
		return nil
	}
	slices.SortStableFunc(messages, func(a, b simMessage) int { return cmp.Compare(a.at, b.at) })
	var kept []simMessage
	for _, m := range messages {
		if m.at > w.now {
			kept = append(kept, m)
			continue
		}
		m.deliver()
	}
	return kept
}

func (e *simEngine) endRequests(now time.Duration) {
	for n := range simAdapters {
		ref := adapterRef(n)
		requests := e.running[ref]
		if len(requests) == 0 {
			continue
		}
		var kept []simRequest
		for _, request := range requests {
			if request.end > now {
				kept = append(kept, request)
				continue
			}
			request.done()
		}
		e.running[ref] = kept
	}
}

// act runs one simulation step of a VM.
func (w *simulation) act(v *simVM) {
	v.table.Tick(w.clockOf(v))
	chance := func(n int) bool { return w.random.IntN(n) == 0 }
	if chance(5) {
		w.readPlatform(v)
	}
	if chance(5) {
		w.heartbeat(v)
	}
	if chance(5) {
		w.requestHandovers(v)
		w.maintainPins(v)
		v.table.Sweep(w.clockOf(v))
	}
	if chance(2) {
		w.sendRequest(v)
	}
	if chance(3) {
		w.planEviction(v)
	}
	if chance(2) {
		w.sendLoad(v)
	}
}

func (w *simulation) readPlatform(v *simVM) {
	if w.now < w.platformDownUntil || w.now < v.platformCutUntil {
		return
	}
	if w.random.IntN(20) == 0 {
		v.listLag = time.Duration(w.random.Int64N(int64(w.terms.ListLagBound)))
	}
	visible := 0
	for i, at := range w.publishedAt {
		if at <= w.now-v.listLag {
			visible = i
		}
	}
	v.table.ObserveList(w.clockOf(v), w.lists[visible], w.clockOf(v))
}

func (w *simulation) heartbeat(v *simVM) {
	sentAt := w.clockOf(v)
	revision := v.table.List().Revision
	for _, vm := range v.table.List().VMs {
		if vm.ID == v.id {
			continue
		}
		from := v.id
		w.send(vm.ID, func(to *simVM) {
			to.table.ObservePeer(w.clockOf(to), from, revision, time.Time{})
			revisionOfPeer := to.table.List().Revision
			w.send(from, func(back *simVM) { back.table.ObservePeer(w.clockOf(back), to.id, revisionOfPeer, sentAt) })
		})
	}
}

func (w *simulation) requestHandovers(v *simVM) {
	for _, change := range v.table.PendingHandovers(w.clockOf(v)) {
		request := peer.HandoverRequest{Sender: v.id, Revision: change.Revision, Endpoints: []ids.EndpointID{change.Endpoint}}
		for _, asked := range change.HandoverCandidates {
			w.send(asked, func(to *simVM) {
				reply := to.table.AnswerHandover(w.clockOf(to), request)
				w.send(request.Sender, func(back *simVM) { back.table.ApplyHandover(w.clockOf(back), reply) })
			})
		}
	}
}

func (w *simulation) maintainPins(v *simVM) {
	upkeep := v.holder.Maintain(w.clockOf(v))
	for _, key := range upkeep.Renew {
		w.acquirePin(v, key)
	}
	for _, key := range upkeep.Release {
		if owner, ok := Owner(key.Endpoint, simDataCentre, v.table.List()); ok {
			request := peer.PinsReleaseRequest{Sender: v.id, Sequence: upkeep.ReleaseSequence, Pins: []peer.PinKey{key}}
			w.send(owner, func(to *simVM) { to.table.Release(request) })
		}
	}
}

func (w *simulation) engineByID(id ids.EndpointID) *simEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *simulation) acquirePin(v *simVM, key peer.PinKey) {
	owner, ok := Owner(key.Endpoint, simDataCentre, v.table.List())
	if !ok {
		return
	}
	askedAt := w.clockOf(v)
	request := peer.PinsAcquireRequest{Sender: v.id, Sequence: v.holder.NextSequence(), Revision: v.table.List().Revision, Pins: []peer.PinKey{key}}
	w.send(owner, func(to *simVM) {
		reply := to.table.GrantPins(w.clockOf(to), request, func(id ids.EndpointID, ref ids.AdapterRef) (ids.BootID, bool) {
			return "boot", w.engineByID(id).resident[ref]
		})
		w.send(request.Sender, func(back *simVM) {
			back.holder.ApplyGrants(w.clockOf(back), askedAt, request.Sequence, reply.Grants)
		})
	})
}

// sendRequest sends one request under a pin. If no pin covers it, it asks the
// owner for the pin instead.
func (w *simulation) sendRequest(v *simVM) {
	if w.random.IntN(40) == 0 {
		v.adapter = w.random.IntN(simAdapters)
	}
	e := w.engines[w.random.IntN(len(w.engines))]
	key := peer.PinKey{Endpoint: e.id, Ref: adapterRef(v.adapter)}
	if !e.resident[key.Ref] {
		return
	}
	duration := time.Duration(w.random.Int64N(int64(29 * time.Second)))
	if !v.holder.Begin(w.clockOf(v), key, w.clockOf(v).Add(30*time.Second)) {
		w.acquirePin(v, key)
		return
	}
	w.sendToEngine(func() {
		done := func() { w.send(v.id, func(back *simVM) { back.holder.End(key) }) }
		if !e.resident[key.Ref] {
			done()
			return
		}
		e.running[key.Ref] = append(e.running[key.Ref], simRequest{end: w.now + duration, done: done})
		w.requestsRun++
	})
}

// planEviction decides on an eviction and sends the order one step later, or
// when the VM resumes if it is paused in between.
func (w *simulation) planEviction(v *simVM) {
	e := w.engines[w.random.IntN(len(w.engines))]
	ref := adapterRef(w.random.IntN(simAdapters))
	if !e.resident[ref] || v.table.MayEvict(w.clockOf(v), e.id, ref) != nil {
		return
	}
	v.plannedOrders = append(v.plannedOrders, func() {
		fence, err := v.table.BeginEvict(w.clockOf(v), e.id, ref)
		if err != nil {
			return
		}
		w.sendToEngine(func() { w.applyEviction(v, e, ref, fence) })
	})
}

func (w *simulation) applyEviction(v *simVM, e *simEngine, ref ids.AdapterRef, fence ids.FencingToken) {
	if !e.acceptsFence(fence) || !e.resident[ref] {
		return
	}
	if len(e.running[ref]) > 0 {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s evicted %s from %s with %d running", w.now, v.id, ref, e.id, len(e.running[ref])))
	}
	delete(e.resident, ref)
	w.evictions++
	w.send(v.id, func(back *simVM) { back.table.EndEvict(e.id, ref) })
}

func (e *simEngine) acceptsFence(fence ids.FencingToken) bool {
	if !e.fencing {
		return true
	}
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

func (w *simulation) sendLoad(v *simVM) {
	e := w.engines[w.random.IntN(len(w.engines))]
	ref := adapterRef(w.random.IntN(simAdapters))
	sentAt := w.clockOf(v)
	fence, err := v.table.MayLoad(sentAt, e.id)
	if err != nil || e.resident[ref] || len(e.resident) >= simSlots {
		return
	}
	w.sendToEngine(func() {
		if !e.acceptsFence(fence) || e.resident[ref] || len(e.resident) >= simSlots {
			return
		}
		e.resident[ref] = true
		w.loads++
		w.send(v.id, func(back *simVM) { back.table.LoadAccepted(w.clockOf(back), sentAt, e.id, fence, ref) })
	})
}
