package authority_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/authority"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

const (
	// reportLag is the age of the values in an engine's report. reportEvery is
	// the number of ticks between two reports that a holder reads, and watchEvery
	// between two reports that other VMs read.
	reportLag   = 500 * time.Millisecond
	reportEvery = 6
	watchEvery  = 2
	// demandEvery is the number of ticks between two orders of a holder.
	demandEvery = 2
	// idleBeforeAlone is how long an engine gets no order before a VM without
	// contact may order it. Another VM that begins within startRace of the first
	// order after such a time cannot have seen it.
	idleBeforeAlone = 2 * lease
	startRace       = 2500 * time.Millisecond
	// maxPauseAlone is the longest time without orders after the loss of all
	// other VMs.
	maxPauseAlone = 6 * lease
	// maxPauseConnected is the longest time without orders of VMs that are
	// connected to a majority.
	maxPauseConnected = 3 * lease
)

// unfencedFleet simulates VMs and one engine that checks no fencing tokens. All
// VMs reach the engine.
type unfencedFleet struct {
	vms []*vm
	// group is the number of the group of each VM. VMs of different groups hear
	// nothing of each other.
	group map[ids.VMID]int
	// lost holds the VMs that do not run, and deaf those that no other VM
	// hears.
	lost, mute map[ids.VMID]bool
	now        time.Time
	step       int
	orders     []order
	boots      map[ids.VMID]int
	// seen is the number of orders that each VM knows the engine to have
	// accepted, of those that others sent; -1 if it reads no reports.
	seen map[ids.VMID]int
	// lastOrderAt is the time of the last order, and idleUntil that of the first
	// order after idleBeforeAlone without one.
	lastOrderAt, idleUntil time.Time
}

func newUnfencedFleet(count int) *unfencedFleet {
	f := &unfencedFleet{group: make(map[ids.VMID]int), lost: make(map[ids.VMID]bool), mute: make(map[ids.VMID]bool), now: start, boots: make(map[ids.VMID]int), seen: make(map[ids.VMID]int), lastOrderAt: start}
	for i := range count {
		f.vms = append(f.vms, newVM(i, start))
		f.seen[f.vms[i].id] = -1
	}
	for _, v := range f.vms {
		f.start(v)
	}
	return f
}

// start starts the process of a VM, which knows the first two VMs as seeds.
func (f *unfencedFleet) start(v *vm) {
	v.restart(f.now)
	v.authority = authority.New(authority.Config{
		Self: v.id, DataCentre: v.dc, FenceSuffix: v.fenceSuffix, Lease: lease, FirstClaimDelay: claimDelay, SuspendTime: 600 * time.Millisecond,
		Boot: v.bootID(), Seeds: []ids.VMID{f.vms[0].id, f.vms[1].id},
	}, f.now)
	f.seen[v.id] = -1
}

func (f *unfencedFleet) down(v *vm) bool { return v.stalled || f.lost[v.id] }

// exchange passes the claims between all VMs that reach each other. What a VM
// sends counts as confirmed only if the other hears it.
func (f *unfencedFleet) exchange() {
	for _, a := range f.vms {
		for _, b := range f.vms {
			if a == b || f.down(a) || f.down(b) || f.group[a.id] != f.group[b.id] || f.mute[b.id] {
				continue
			}
			a.heard[b.id] = f.now
			a.authority.ObserveFence(b.authority.HighestFence())
			a.authority.ApplyClaims(f.now, b.id, b.bootID(), b.authority.Claims())
			a.authority.RefreshHolder(f.now, b.id)
			a.authority.ApplyContactState(f.now, b.authority.ContactState(f.now))
			if !f.mute[a.id] {
				a.authority.Confirm(b.id, f.now)
			}
		}
	}
}

// readReports shows the VMs that read the engine's reports the orders of others.
func (f *unfencedFleet) readReports(v *vm) {
	_, allowed := v.authority.Fence(f.now, dc)
	if !allowed && !slices.Contains(v.authority.Watched(f.now), dc) {
		f.seen[v.id] = -1
		return
	}
	every := watchEvery
	if allowed {
		every = reportEvery
	}
	if f.step%every != int(v.fenceSuffix)%every {
		return
	}
	foreign := 0
	for _, o := range f.orders {
		if o.vm != v.id && f.now.Sub(o.at) >= reportLag {
			foreign++
		}
	}
	if known := f.seen[v.id]; known >= 0 && foreign > known {
		v.authority.ForeignOrderSeen(f.now, dc)
	}
	f.seen[v.id] = foreign
}

// run lets time pass. check is called with each order.
func (f *unfencedFleet) run(ticks int, check func(order)) {
	for range ticks {
		f.step++
		f.now = f.now.Add(tick)
		f.exchange()
		for _, v := range f.vms {
			if f.down(v) {
				continue
			}
			v.authority.Tick(f.now, f.now, false, []ids.DataCentreID{"dc-0", "dc-1"}, v.alive(f.now, f.vms))
			f.readReports(v)
			fence, allowed := v.authority.Fence(f.now, dc)
			if !allowed || f.step%demandEvery != 0 {
				continue
			}
			o := order{vm: v.id, fence: fence, at: f.now}
			if f.now.Sub(f.lastOrderAt) >= idleBeforeAlone {
				f.idleUntil = f.now
			}
			check(o)
			f.orders = append(f.orders, o)
			f.boots[v.id], f.lastOrderAt = v.boot, f.now
		}
	}
}

// failure is a *testing.T or a *rapid.T.
type failure interface {
	Helper()
	Fatalf(format string, args ...any)
}

// oneHolder returns a check that fails if two VMs order the engine within one
// lease, or if a lower token follows a higher one. The orders of a process that
// has ended do not count.
func (f *unfencedFleet) oneHolder(t failure) func(order) {
	return func(o order) {
		t.Helper()
		if len(f.orders) == 0 {
			return
		}
		last := f.orders[len(f.orders)-1]
		if o.at.Sub(f.idleUntil) <= startRace {
			return
		}
		for _, v := range f.vms {
			if v.id == last.vm && v.boot != f.boots[v.id] {
				return
			}
		}
		if last.vm != o.vm && o.at.Sub(last.at) < lease {
			t.Fatalf("%s orders at %v, %v after %s", o.vm, o.at.Sub(start), o.at.Sub(last.at), last.vm)
		}
		if o.fence < last.fence {
			t.Fatalf("%s orders at %v with token %d after %d of %s", o.vm, o.at.Sub(start), o.fence, last.fence, last.vm)
		}
	}
}

// Load: up to seven VMs of two data centres order an engine that checks no
// fencing tokens, several times a second. Single VMs are cut off from all
// others, the fleet is split into two halves, VMs stall, restart, and are heard
// by nobody, in sequence and at the same time; all reach the engine. Guards
// against two VMs that order it within one lease, and against an engine that
// nobody orders long after the last fault.
func TestOneHolderWithoutFencesWhileVMsAreCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newUnfencedFleet(rapid.IntRange(2, 7).Draw(t, "vms"))
		check := f.oneHolder(t)
		f.run(16, check)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			f.injectFault(t)
			f.run(rapid.IntRange(1, 40).Draw(t, "ticks"), check)
		}
		clear(f.group)
		clear(f.mute)
		for _, v := range f.vms {
			if v.stalled {
				v.stalled = false
				v.authority.Suspend(f.now)
			}
		}
		healedAt := f.now
		f.run(int(maxPauseConnected/tick), check)
		if !f.lastOrderAt.After(healedAt) {
			t.Fatalf("no order in %v after the faults", maxPauseConnected)
		}
	})
}

// injectFault injects a random fault or ends one.
func (f *unfencedFleet) injectFault(t *rapid.T) {
	target := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		clear(f.group)
	case 1:
		clear(f.group)
		f.group[target.id] = 1
	case 2:
		clear(f.group)
		for _, v := range f.vms {
			f.group[v.id] = rapid.IntRange(0, 1).Draw(t, "half")
		}
	case 3:
		target.stalled = true
	case 4:
		if target.stalled {
			target.stalled = false
			target.authority.Suspend(f.now)
		}
	case 5:
		f.start(target)
	case 6:
		f.mute[target.id] = !f.mute[target.id]
	}
}

// Load: all VMs but one are lost at once, in fleets of up to seven VMs, whichever
// one remains. Guards against a last VM that orders no engine because it takes
// the loss for a cut.
func TestLastVMOrdersEnginesWithoutFences(t *testing.T) {
	for count := 2; count <= 7; count++ {
		for remaining := range count {
			f := newUnfencedFleet(count)
			f.run(16, f.oneHolder(t))
			for i, v := range f.vms {
				f.lost[v.id] = i != remaining
			}
			lostAt := f.now
			f.run(int(maxPauseAlone/tick), f.oneHolder(t))
			assert.Assert(t, f.lastOrderAt.After(lostAt.Add(lease)), "VM %d of %d sends no orders", remaining, count)
			resumedAt := f.now
			f.run(int(lease/tick), f.oneHolder(t))
			assert.Assert(t, f.lastOrderAt.After(resumedAt), "VM %d of %d stopped again", remaining, count)
		}
	}
}

// Guards against a fleet that sends no orders after a start, after the kill of
// all VMs, and if it has one VM only.
func TestOrdersWithoutFencesAfterStarts(t *testing.T) {
	for count := 1; count <= 7; count++ {
		f := &unfencedFleet{}
		if count == 1 {
			f = newUnfencedFleet(2)
			f.vms = f.vms[:1]
			f.vms[0].authority = authority.New(authority.Config{Self: f.vms[0].id, DataCentre: dc, Lease: lease, FirstClaimDelay: claimDelay, Seeds: []ids.VMID{f.vms[0].id}}, start)
		} else {
			f = newUnfencedFleet(count)
		}
		f.run(int(2*lease/tick), f.oneHolder(t))
		assert.Assert(t, f.lastOrderAt.After(start), "%d VMs send no orders after the start", count)
		if count == 1 {
			continue
		}
		f.run(20, f.oneHolder(t))
		for _, v := range f.vms {
			f.start(v)
		}
		killedAt := f.now
		f.run(int(lease/tick), f.oneHolder(t))
		assert.Assert(t, f.lastOrderAt.After(killedAt), "%d VMs send no orders after a kill of all", count)
	}
}

// Guards against a VM that starts while it is cut off, hears nobody, and takes
// itself for the only one.
func TestVMThatStartsCutOffOrdersNothingBesideTheHolder(t *testing.T) {
	f := newUnfencedFleet(4)
	check := f.oneHolder(t)
	f.run(16, check)
	f.group[f.vms[0].id] = 1
	f.start(f.vms[0])
	f.run(160, check)
}

// Guards against a holder that keeps its claim although an engine has accepted
// another VM's order, and claims again while that VM sends more.
func TestHolderStopsAtAForeignOrder(t *testing.T) {
	f := newUnfencedFleet(2)
	f.run(16, f.oneHolder(t))
	holder, known := f.vms[0].authority.Holder(dc)
	assert.Assert(t, known)
	assert.Equal(t, holder, f.vms[0].id)
	foreign := order{vm: "other", at: f.now}
	f.orders = append(f.orders, foreign)
	f.run(2*reportEvery, func(order) {})
	_, allowed := f.vms[0].authority.Fence(f.now, dc)
	assert.Assert(t, !allowed)
}

// connectedVM returns a VM in contact with two others, which holds the claim,
// and the time of its last tick. step lets a tick pass in which it hears the
// given ones, of which the first reports claims.
func connectedVM(t *testing.T) (v *authority.Authority, now time.Time, step func(heard []ids.VMID, claims ...authority.Claim)) {
	t.Helper()
	v = authority.New(authority.Config{Self: "vm-0", DataCentre: dc, FenceSuffix: 1, Lease: lease, FirstClaimDelay: claimDelay, SuspendTime: 600 * time.Millisecond}, start)
	now = start
	heardAt := make(map[ids.VMID]time.Time)
	step = func(heard []ids.VMID, claims ...authority.Claim) {
		now = now.Add(tick)
		for i, id := range heard {
			heardAt[id] = now
			if i > 0 {
				claims = nil
			}
			v.ApplyClaims(now, id, "1", claims)
			v.RefreshHolder(now, id)
			v.Confirm(id, now)
		}
		var alive []authority.Candidate
		for _, id := range []ids.VMID{"vm-1", "vm-2"} {
			if at, known := heardAt[id]; known && now.Sub(at) <= time.Second {
				alive = append(alive, authority.Candidate{ID: id, DataCentre: "dc-1", Boot: "1", Started: start})
			}
		}
		v.Tick(now, now, false, []ids.DataCentreID{dc}, alive)
	}
	for range 16 {
		step([]ids.VMID{"vm-1", "vm-2"})
	}
	_, allowed := v.Fence(now, dc)
	assert.Assert(t, allowed)
	return v, now, step
}

// Guards against an order of a process that was stopped, before it has looked at
// the messages of its peers.
func TestNoOrderWithoutARecentTick(t *testing.T) {
	v, now, _ := connectedVM(t)
	_, allowed := v.Fence(now.Add(lease/2), dc)
	assert.Assert(t, !allowed)
}

// Guards against a VM that orders at once when it is connected again, before it
// has heard of the claim that another VM made meanwhile, and against one that
// still has its old claim then.
func TestVMThatIsConnectedAgainListensFirst(t *testing.T) {
	v, now, step := connectedVM(t)
	ticks := int(lease / tick)
	for range ticks {
		step(nil)
	}
	assert.Equal(t, len(v.Claims()), 0)
	for i := range 4 {
		step([]ids.VMID{"vm-1", "vm-2"})
		_, allowed := v.Fence(now.Add(time.Duration(ticks+i+1)*tick), dc)
		assert.Assert(t, !allowed, "an order %d ticks after the cut", i+1)
	}
}

// Guards against a VM that takes over at once from a holder that orders without
// contact, which goes on when it is cut off.
func TestSilentHolderWithoutContactIsWatched(t *testing.T) {
	v, now, step := connectedVM(t)
	v.Release()
	claim := authority.Claim{DataCentre: dc, Fence: 1 << 50, Alone: true}
	for range 8 {
		step([]ids.VMID{"vm-1", "vm-2"}, claim)
	}
	ticks := int(2 * lease / tick)
	for range ticks {
		step([]ids.VMID{"vm-2"})
	}
	now = now.Add(time.Duration(8+ticks) * tick)
	assert.Equal(t, len(v.Claims()), 0)
	assert.Assert(t, slices.Contains(v.Watched(now), dc))
}

// Guards against a VM that waits before it claims, because a peer that was cut
// off noticed the orders of a holder that this VM hears.
func TestOrdersOfAKnownHolderDelayNoClaim(t *testing.T) {
	v, now, step := connectedVM(t)
	v.Release()
	claim := authority.Claim{DataCentre: dc, Fence: 1 << 50}
	for range 4 {
		now = now.Add(tick)
		v.ApplyContactState(now, &authority.ContactState{ForeignOrders: map[ids.DataCentreID]int64{dc: 300}})
		step([]ids.VMID{"vm-1", "vm-2"}, claim)
	}
	assert.Equal(t, len(v.ContactState(now).ForeignOrders), 0)
	for range int(lease/tick) + 2 {
		step([]ids.VMID{"vm-1", "vm-2"})
	}
	assert.Equal(t, len(v.Claims()), 1)
}
