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
	// fencedTick is the time between two steps, and fencedReportTicks the steps between two
	// reports that a VM without a claim reads.
	fencedTick        = 50 * time.Millisecond
	fencedReportTicks = 10
	// fenceEpoch and fenceSuffixBits are those of the tokens.
	fenceEpoch      = 1_577_836_800
	fenceSuffixBits = 24
)

// isolatedVMs simulates VMs that never hear of each other, and one engine that refuses
// orders with a lower fencing token than it has seen. All VMs reach the engine.
type isolatedVMs struct {
	vms     []*vm
	now     time.Time
	step    int
	highest ids.FencingToken
	orders  []order
	// foreign is the number of orders of others that each VM has read of; absent while it
	// reads no reports.
	foreign map[ids.VMID]int
}

func newIsolatedVMs() *isolatedVMs {
	return &isolatedVMs{now: start, foreign: make(map[ids.VMID]int)}
}

// start starts a VM, whose clock may be ahead or behind.
func (f *isolatedVMs) start() *vm {
	v := newVM(len(f.vms), f.now)
	v.enginesCheckFences = true
	v.restart(f.now)
	f.vms = append(f.vms, v)
	return v
}

func (f *isolatedVMs) readReports(v *vm) {
	if !slices.Contains(v.authority.Watched(f.now), dc) {
		delete(f.foreign, v.id)
		return
	}
	if (f.step+int(v.fenceSuffix))%fencedReportTicks != 0 {
		return
	}
	foreign := 0
	for _, o := range f.orders {
		if o.vm != v.id {
			foreign++
		}
	}
	if known, read := f.foreign[v.id]; read && foreign > known {
		v.authority.ForeignOrderSeen(f.now, dc)
	}
	f.foreign[v.id] = foreign
}

// run lets time pass. mayOrder says which VMs have an order for the engine in a step.
func (f *isolatedVMs) run(duration time.Duration, mayOrder func(*vm) bool) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(fencedTick)
		f.step++
		for _, v := range f.vms {
			if v.stalled {
				continue
			}
			v.authority.Tick(f.now, f.now, false, []ids.DataCentreID{dc}, nil)
			f.readReports(v)
			fence, allowed := v.authority.Fence(f.now, dc)
			switch {
			case !allowed || !mayOrder(v):
			case fence < f.highest:
				v.authority.DropRefusedClaim(f.now, dc)
			default:
				f.highest = fence
				f.orders = append(f.orders, order{vm: v.id, fence: fence, at: f.now})
			}
		}
	}
}

// turnsWithinLease returns how often a VM's order followed that of another one, which
// had followed one of the first VM at most one lease before.
func (f *isolatedVMs) turnsWithinLease() int {
	var turns []order
	count := 0
	for _, o := range f.orders {
		if n := len(turns); n > 0 && turns[n-1].vm == o.vm {
			turns[n-1] = o
			continue
		}
		turns = append(turns, o)
		if n := len(turns); n >= 3 && turns[n-3].vm == o.vm && o.at.Sub(turns[n-3].at) <= lease {
			count++
		}
	}
	return count
}

// Load: two to four VMs that never hear of each other start within seconds, and each has
// orders for the same engine in a part of the steps. Guards against VMs that take turns
// as its holder within one lease, and against an engine that nobody orders.
func TestIsolatedVMsTakeNoTurnsAsHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newIsolatedVMs()
		for range rapid.IntRange(2, 4).Draw(t, "vms") {
			f.start()
			f.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "gapMs"))*time.Millisecond, func(*vm) bool { return true })
		}
		f.run(claimDelay+lease, func(*vm) bool { return true })
		for range 8 {
			share := make(map[ids.VMID]int)
			for _, v := range f.vms {
				share[v.id] = rapid.IntRange(1, 60).Draw(t, "everySteps")
			}
			f.run(4*time.Second, func(v *vm) bool { return f.step%share[v.id] == 0 })
		}
		if turns := f.turnsWithinLease(); turns > 0 {
			t.Fatalf("%d turns within one lease in %d orders", turns, len(f.orders))
		}
		resumed := f.now
		f.run(3*lease, func(*vm) bool { return true })
		if !f.orders[len(f.orders)-1].at.After(resumed) {
			t.Fatalf("no order in %v", 3*lease)
		}
	})
}

// Guards against a VM that starts while it reaches no seed and takes the engine from the
// holder of a sound fleet, which it cannot hear.
func TestIsolatedVMLeavesTheEngineToItsHolder(t *testing.T) {
	f := newIsolatedVMs()
	holder := f.start()
	f.run(claimDelay+2*lease, func(*vm) bool { return true })
	f.start()
	began := len(f.orders)
	f.run(10*lease, func(*vm) bool { return f.step%20 == 0 })
	assert.Assert(t, len(f.orders) > began)
	for _, o := range f.orders[began:] {
		assert.Equal(t, o.vm, holder.id)
	}
}

// Guards against an engine that nobody orders after its holder is gone, which only a VM
// that never heard of it can replace.
func TestIsolatedVMReplacesALostHolder(t *testing.T) {
	f := newIsolatedVMs()
	holder := f.start()
	f.run(claimDelay+2*lease, func(*vm) bool { return true })
	other := f.start()
	f.run(3*lease, func(*vm) bool { return true })
	f.run(3*lease, func(v *vm) bool { return v != holder })
	assert.Equal(t, f.orders[len(f.orders)-1].vm, other.id)
}

// Guards against a VM with peers that claims again at once after a refusal, while the VM
// that uses the higher token is one that none of them hears.
func TestRefusedHolderWithPeersWaitsForALease(t *testing.T) {
	v := newVM(0, start)
	v.enginesCheckFences = true
	v.restart(start)
	now := start.Add(claimDelay)
	step := func() {
		now = now.Add(fencedTick)
		v.authority.ApplyClaims(now, "peer", "boot", nil)
		v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, []authority.Candidate{{ID: "peer", DataCentre: "dc-1", Boot: "boot", Started: start}})
	}
	step()
	_, allowed := v.authority.Fence(now, dc)
	assert.Assert(t, allowed)
	v.authority.DropRefusedClaim(now, dc)
	refused := now
	for now.Before(refused.Add(2 * time.Second)) {
		step()
	}
	v.authority.ForeignOrderSeen(now, dc)
	seen := now
	for now.Add(fencedTick).Before(seen.Add(lease)) {
		step()
		_, allowed := v.authority.Fence(now, dc)
		assert.Assert(t, !allowed, "claimed %v after an order of another VM", now.Sub(seen))
		assert.DeepEqual(t, v.authority.Watched(now), []ids.DataCentreID{dc})
	}
	step()
	step()
	_, allowed = v.authority.Fence(now, dc)
	assert.Assert(t, allowed)
}

// Guards against a VM that no longer hears the others, of which one still orders the
// engine, and takes it from that one: the others may be as many as they were.
func TestVMThatLosesItsPeersLeavesTheEngineToItsHolder(t *testing.T) {
	v := newVM(0, start)
	v.enginesCheckFences = true
	v.restart(start)
	now := start.Add(claimDelay)
	claim := []authority.Claim{{DataCentre: dc, Fence: 1 << 40}}
	peer := []authority.Candidate{{ID: "peer", DataCentre: dc, Boot: "boot", Started: start}}
	for range 20 {
		now = now.Add(fencedTick)
		v.authority.ApplyClaims(now, "peer", "boot", claim)
		v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, peer)
	}
	// The engine's reports show the peer's orders for a while.
	lost, seenAt := now, now
	for step := 0; now.Add(fencedTick).Before(seenAt.Add(lease)); step++ {
		now = now.Add(fencedTick)
		v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, nil)
		_, allowed := v.authority.Fence(now, dc)
		assert.Assert(t, !allowed, "claimed %v after the peer was heard", now.Sub(lost))
		if step%fencedReportTicks == 0 && now.Sub(lost) < 4*lease && slices.Contains(v.authority.Watched(now), dc) {
			v.authority.ForeignOrderSeen(now, dc)
			seenAt = now
		}
	}
	assert.Assert(t, now.Sub(lost) > 4*lease)
	now = now.Add(lease)
	v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, nil)
	_, allowed := v.authority.Fence(now, dc)
	assert.Assert(t, allowed)
}

// Load: the only VM that is left starts with a clock that is behind the tokens that the
// engines know from an earlier holder, by hours. Guards against engines that nobody orders
// for longer than the platform allows for a recovery.
func TestLoneSurvivorOrdersBesideOldTokens(t *testing.T) {
	const recovery = 12 * time.Second
	for _, ahead := range []time.Duration{0, time.Minute, time.Hour, 8 * time.Hour} {
		f := newIsolatedVMs()
		f.highest = ids.FencingToken(start.Add(ahead).Unix()-fenceEpoch)<<fenceSuffixBits | 0xffffff
		f.start()
		f.run(recovery, func(*vm) bool { return true })
		assert.Assert(t, len(f.orders) > 0, "no order %v after the start, with tokens that are %v ahead", recovery, ahead)
		first := f.orders[0].at.Sub(start)
		t.Logf("first order after %v with tokens that are %v ahead", first, ahead)
		if ahead == 0 {
			assert.Assert(t, first <= claimDelay+2*lease+2*fencedTick, "%v", first)
		}
	}
}

// Load: VMs that never hear of each other and are paused for up to three leases, each of
// which has orders. Guards against a holder that orders once more after it was paused while
// another VM took over, and takes turns with it.
func TestPausedIsolatedHoldersTakeNoTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newIsolatedVMs()
		for range rapid.IntRange(2, 3).Draw(t, "vms") {
			f.start()
		}
		f.run(claimDelay+2*lease, func(*vm) bool { return true })
		for range 6 {
			paused := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "paused")]
			paused.stalled = true
			f.run(time.Duration(rapid.IntRange(100, 9000).Draw(t, "pauseMs"))*time.Millisecond, func(*vm) bool { return true })
			paused.stalled = false
			paused.authority.Suspend(f.now)
			f.run(time.Duration(rapid.IntRange(100, 9000).Draw(t, "runMs"))*time.Millisecond, func(*vm) bool { return true })
		}
		if turns := f.turnsWithinLease(); turns > 0 {
			t.Fatalf("%d turns within one lease in %d orders", turns, len(f.orders))
		}
	})
}
