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

// The simulation runs one data centre in steps of simStep. Owners evict
// whatever their Table allows, at random, which is harsher than any planner.
const (
	simStep     = 200 * time.Millisecond
	simDC       = ids.DataCentreID("a")
	simSlots    = 4
	simAdapters = 8
	// maxDelay bounds the network delay of one message.
	maxDelay = 300 * time.Millisecond
)

var simBase = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type simEngine struct {
	id       ids.EndpointID
	fencing  bool
	fence    ids.Fence
	resident map[ids.AdapterRef]bool
	running  map[ids.AdapterRef][]simRun
}

// simRun is a request that runs until end; done tells its VM.
type simRun struct {
	end  time.Duration
	done func()
}

type simVM struct {
	id     ids.VMID
	table  *Table
	holder *Holder
	// rate is the speed of the VM's clock, within the drift margin.
	rate        float64
	killed      bool
	pausedUntil time.Duration
	cutUntil    time.Duration
	lag         time.Duration
	// interest is the adapter that the VM's callers use for a while.
	interest int
	// inHand are orders that were decided but not sent yet.
	inHand []func()
	inbox  []simMessage
}

type simMessage struct {
	at      time.Duration
	deliver func()
}

type simWorld struct {
	random   *rand.Rand
	now      time.Duration
	lists    []platformapi.VMList
	listedAt []time.Duration
	vms      map[ids.VMID]*simVM
	order    []ids.VMID
	engines  []*simEngine
	network  []simMessage
	// platformDownUntil cuts the whole data centre from the platform.
	platformDownUntil time.Duration
	rules             rules
	pinBeforeDispatch bool
	terms             Terms

	nextVM     int
	violations []string
	ran        int
	evicted    int
	loaded     int
}

func newWorld(seed uint64, vms int, fencing []bool, r rules, pinBeforeDispatch bool) *simWorld {
	w := &simWorld{
		random: rand.New(rand.NewPCG(seed, 1)), vms: make(map[ids.VMID]*simVM),
		rules: r, pinBeforeDispatch: pinBeforeDispatch, terms: DefaultTerms(),
	}
	for i, honours := range fencing {
		e := &simEngine{id: ids.EndpointID(fmt.Sprintf("e%d", i)), fencing: honours,
			resident: make(map[ids.AdapterRef]bool), running: make(map[ids.AdapterRef][]simRun)}
		for a := range simSlots {
			e.resident[simRef(a)] = true
		}
		w.engines = append(w.engines, e)
	}
	var first []platformapi.VM
	for range vms {
		first = append(first, w.startVM())
	}
	w.publish(first)
	return w
}

func simRef(n int) ids.AdapterRef {
	return ids.AdapterRef{Adapter: ids.AdapterID("m" + strconv.Itoa(n)), Version: 1}
}

func (w *simWorld) startVM() platformapi.VM {
	w.nextVM++
	id := ids.VMID(fmt.Sprintf("vm%d", w.nextVM))
	v := &simVM{id: id, rate: 1 + (w.random.Float64()-0.5)/120, holder: NewHolder(w.terms)}
	v.holder.pinBeforeDispatch = w.pinBeforeDispatch
	v.table = New(Config{Self: id, DataCentre: simDC, Terms: w.terms}, w.clock(v))
	v.table.rules = w.rules
	for _, e := range w.engines {
		v.table.SetEndpoint(w.clock(v), e.id, records.Endpoint{DataCentre: simDC, Kind: records.EndpointModel, Fencing: e.fencing})
	}
	w.vms[id] = v
	w.order = append(w.order, id)
	return platformapi.VM{ID: id, DataCentre: simDC, State: platformapi.VMLive}
}

func (w *simWorld) clock(v *simVM) time.Time {
	return simBase.Add(time.Duration(float64(w.now) * v.rate))
}

func (w *simWorld) publish(vms []platformapi.VM) {
	revision := ids.Revision(len(w.lists) + 1)
	w.lists = append(w.lists, platformapi.VMList{Revision: revision, VMs: vms})
	w.listedAt = append(w.listedAt, w.now)
}

func (w *simWorld) current() []platformapi.VM {
	return w.lists[len(w.lists)-1].VMs
}

// replace publishes a list in which a new VM stands for another.
func (w *simWorld) replace(id ids.VMID) {
	next := []platformapi.VM{w.startVM()}
	for _, vm := range w.current() {
		if vm.ID != id {
			next = append(next, vm)
		}
	}
	w.publish(next)
}

func (w *simWorld) live(v *simVM) bool {
	return !v.killed && w.now >= v.pausedUntil
}

// send delivers a message to a VM after a random delay, or loses it. A paused
// VM handles it when it wakes.
func (w *simWorld) send(to ids.VMID, deliver func(v *simVM)) {
	v, ok := w.vms[to]
	if !ok || v.killed || w.random.IntN(50) == 0 {
		return
	}
	delay := time.Duration(w.random.Int64N(int64(maxDelay)))
	v.inbox = append(v.inbox, simMessage{at: w.now + delay, deliver: func() { deliver(v) }})
}

func (w *simWorld) toEngine(deliver func()) {
	delay := time.Duration(w.random.Int64N(int64(maxDelay)))
	w.network = append(w.network, simMessage{at: w.now + delay, deliver: deliver})
}

func (w *simWorld) step() {
	w.now += simStep
	w.network = w.due(w.network)
	for _, e := range w.engines {
		e.finish(w.now)
	}
	for _, id := range w.order {
		v := w.vms[id]
		if !w.live(v) {
			continue
		}
		hand := v.inHand
		v.inHand = nil
		for _, act := range hand {
			act()
		}
		v.inbox = w.due(v.inbox)
		w.act(v)
	}
}

func (w *simWorld) due(messages []simMessage) []simMessage {
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

func (e *simEngine) finish(now time.Duration) {
	for n := range simAdapters {
		ref := simRef(n)
		ends := e.running[ref]
		if len(ends) == 0 {
			continue
		}
		var kept []simRun
		for _, run := range ends {
			if run.end > now {
				kept = append(kept, run)
				continue
			}
			run.done()
		}
		e.running[ref] = kept
	}
}

// act is one step of a VM.
func (w *simWorld) act(v *simVM) {
	v.table.Tick(w.clock(v))
	chance := func(n int) bool { return w.random.IntN(n) == 0 }
	if chance(5) {
		w.readPlatform(v)
	}
	if chance(5) {
		w.heartbeat(v)
	}
	if chance(5) {
		w.askHandovers(v)
		w.upkeep(v)
		v.table.Sweep(w.clock(v))
	}
	if chance(2) {
		w.request(v)
	}
	if chance(3) {
		w.planEviction(v)
	}
	if chance(2) {
		w.load(v)
	}
}

func (w *simWorld) readPlatform(v *simVM) {
	if w.now < w.platformDownUntil || w.now < v.cutUntil {
		return
	}
	if w.random.IntN(20) == 0 {
		v.lag = time.Duration(w.random.Int64N(int64(w.terms.ListLagBound)))
	}
	seen := 0
	for i, at := range w.listedAt {
		if at <= w.now-v.lag {
			seen = i
		}
	}
	v.table.ObserveList(w.clock(v), w.lists[seen], w.clock(v))
}

func (w *simWorld) heartbeat(v *simVM) {
	sentAt := w.clock(v)
	revision := v.table.List().Revision
	for _, vm := range v.table.List().VMs {
		if vm.ID == v.id {
			continue
		}
		from := v.id
		w.send(vm.ID, func(to *simVM) {
			to.table.ObservePeer(w.clock(to), from, revision, time.Time{})
			said := to.table.List().Revision
			w.send(from, func(back *simVM) { back.table.ObservePeer(w.clock(back), to.id, said, sentAt) })
		})
	}
}

func (w *simWorld) askHandovers(v *simVM) {
	for _, change := range v.table.PendingHandovers(w.clock(v)) {
		request := peer.HandoverRequest{Sender: v.id, Revision: change.Revision, Endpoints: []ids.EndpointID{change.Endpoint}}
		for _, asked := range change.Ask {
			w.send(asked, func(to *simVM) {
				reply := to.table.Handover(w.clock(to), request)
				w.send(request.Sender, func(back *simVM) { back.table.ReceiveHandover(w.clock(back), reply) })
			})
		}
	}
}

func (w *simWorld) upkeep(v *simVM) {
	up := v.holder.Upkeep(w.clock(v))
	for _, key := range up.Renew {
		w.acquire(v, key)
	}
	for _, key := range up.Release {
		if owner, ok := Owner(key.Endpoint, simDC, v.table.List()); ok {
			request := peer.PinsReleaseRequest{Sender: v.id, Sequence: up.ReleaseSequence, Pins: []peer.PinKey{key}}
			w.send(owner, func(to *simVM) { to.table.Release(request) })
		}
	}
}

func (w *simWorld) engine(id ids.EndpointID) *simEngine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *simWorld) acquire(v *simVM, key peer.PinKey) {
	owner, ok := Owner(key.Endpoint, simDC, v.table.List())
	if !ok {
		return
	}
	askedAt := w.clock(v)
	request := peer.PinsAcquireRequest{Sender: v.id, Sequence: v.holder.NextSequence(), Revision: v.table.List().Revision, Pins: []peer.PinKey{key}}
	w.send(owner, func(to *simVM) {
		reply := to.table.Grant(w.clock(to), request, func(id ids.EndpointID, ref ids.AdapterRef) (ids.BootID, bool) {
			return "boot", w.engine(id).resident[ref]
		})
		w.send(request.Sender, func(back *simVM) {
			back.holder.Granted(w.clock(back), askedAt, request.Sequence, reply.Grants)
		})
	})
}

// request sends one request under a pin, or asks for the pin.
func (w *simWorld) request(v *simVM) {
	if w.random.IntN(40) == 0 {
		v.interest = w.random.IntN(simAdapters)
	}
	e := w.engines[w.random.IntN(len(w.engines))]
	key := peer.PinKey{Endpoint: e.id, Ref: simRef(v.interest)}
	if !e.resident[key.Ref] {
		return
	}
	run := time.Duration(w.random.Int64N(int64(29 * time.Second)))
	if !v.holder.Begin(w.clock(v), key, w.clock(v).Add(30*time.Second)) {
		w.acquire(v, key)
		return
	}
	w.toEngine(func() {
		done := func() { w.send(v.id, func(back *simVM) { back.holder.End(key) }) }
		if !e.resident[key.Ref] {
			done()
			return
		}
		e.running[key.Ref] = append(e.running[key.Ref], simRun{end: w.now + run, done: done})
		w.ran++
	})
}

// planEviction decides on an eviction now and sends it one step later, or when
// the VM wakes if it is paused in between.
func (w *simWorld) planEviction(v *simVM) {
	e := w.engines[w.random.IntN(len(w.engines))]
	ref := simRef(w.random.IntN(simAdapters))
	if !e.resident[ref] || v.table.MayEvict(w.clock(v), e.id, ref) != nil {
		return
	}
	v.inHand = append(v.inHand, func() {
		fence, err := v.table.BeginEvict(w.clock(v), e.id, ref)
		if err != nil {
			return
		}
		w.toEngine(func() { w.evict(v, e, ref, fence) })
	})
}

func (w *simWorld) evict(v *simVM, e *simEngine, ref ids.AdapterRef, fence ids.Fence) {
	if !e.accepts(fence) || !e.resident[ref] {
		return
	}
	if len(e.running[ref]) > 0 {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s evicted %s from %s with %d running", w.now, v.id, ref, e.id, len(e.running[ref])))
	}
	delete(e.resident, ref)
	w.evicted++
	w.send(v.id, func(back *simVM) { back.table.EndEvict(e.id, ref) })
}

func (e *simEngine) accepts(fence ids.Fence) bool {
	if !e.fencing {
		return true
	}
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

func (w *simWorld) load(v *simVM) {
	e := w.engines[w.random.IntN(len(w.engines))]
	ref := simRef(w.random.IntN(simAdapters))
	sentAt := w.clock(v)
	fence, err := v.table.MayLoad(sentAt, e.id)
	if err != nil || e.resident[ref] || len(e.resident) >= simSlots {
		return
	}
	w.toEngine(func() {
		if !e.accepts(fence) || e.resident[ref] || len(e.resident) >= simSlots {
			return
		}
		e.resident[ref] = true
		w.loaded++
		w.send(v.id, func(back *simVM) { back.table.OrderAccepted(w.clock(back), sentAt, e.id, fence, ref) })
	})
}
