package authority_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/authority"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 43, 150) }

const (
	lease      = 3 * time.Second
	claimDelay = 700 * time.Millisecond
	tick       = 250 * time.Millisecond
	// stableAfter is how long a VM must have been free of faults before the
	// test counts it as stable.
	stableAfter = 3 * time.Second
	dc          = ids.DataCentreID("dc-0")
)

var start = time.Unix(1_800_000_000, 0)

// vm is one simulated VM.
type vm struct {
	id          ids.VMID
	dc          ids.DataCentreID
	fenceSuffix uint64
	boot        int
	started     time.Time
	lastFaultAt time.Time
	stalled     bool
	heard       map[ids.VMID]time.Time
	// enginesCheckFences is a setting of the deployment.
	enginesCheckFences bool
	authority          *authority.Authority
}

func newVM(i int, now time.Time) *vm {
	v := &vm{id: ids.VMID(fmt.Sprintf("vm-%d", i)), dc: ids.DataCentreID(fmt.Sprintf("dc-%d", i%2)), fenceSuffix: uint64(i + 1)}
	v.restart(now)
	return v
}

func (v *vm) restart(now time.Time) {
	v.boot++
	v.started, v.lastFaultAt, v.stalled = now, now, false
	v.heard = make(map[ids.VMID]time.Time)
	v.authority = authority.New(authority.Config{
		Self: v.id, DataCentre: v.dc, FenceSuffix: v.fenceSuffix, Lease: lease, FirstClaimDelay: claimDelay, SuspendTime: 600 * time.Millisecond,
		EnginesCheckFences: v.enginesCheckFences,
	}, now)
}

// order is an order that a VM was allowed to send.
type order struct {
	vm    ids.VMID
	fence ids.FencingToken
	at    time.Time
	// stableVMs holds the VMs that were stable when the order was sent.
	stableVMs map[ids.VMID]bool
}

// Guards against two stable VMs that send orders to the same engine within
// one lease, and against two VMs that use the same fencing token, while VMs
// restart, stall and are disconnected, in sequence and at the same time.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "vms")
		checkFences := rapid.Bool().Draw(t, "engines check fences")
		vms := make([]*vm, count)
		for i := range vms {
			vms[i] = newVM(i, start)
			vms[i].enginesCheckFences = checkFences
			vms[i].restart(start)
		}
		isolated := -1
		var orders []order
		for step := range 160 {
			now := start.Add(time.Duration(step) * tick)
			isolated = injectFault(t, now, vms, isolated)
			exchangeClaims(now, vms, isolated)
			stableVMs := make(map[ids.VMID]bool)
			for _, v := range vms {
				stableVMs[v.id] = now.Sub(v.lastFaultAt) >= stableAfter
			}
			for _, v := range vms {
				if v.stalled {
					continue
				}
				v.authority.Tick(now, now, false, []ids.DataCentreID{"dc-0", "dc-1"}, v.alive(now, vms))
				if fence, allowed := v.authority.Fence(now, dc); allowed {
					orders = append(orders, order{v.id, fence, now, stableVMs})
				}
			}
		}
		checkOrders(t, orders)
	})
}

// injectFault injects a random fault or ends one. isolated is the index of the
// VM that is disconnected from all others, or -1; it returns the new one.
func injectFault(t *rapid.T, now time.Time, vms []*vm, isolated int) int {
	target := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
	// Draws of 0 and above 8 inject no fault, so that rapid shrinks failures
	// to few faults.
	switch rapid.IntRange(0, 40).Draw(t, "disturbance") {
	case 8:
		vms[target].restart(now)
	case 1:
		vms[target].stalled = true
	case 2, 3, 4:
		if vms[target].stalled {
			vms[target].stalled = false
			vms[target].authority.Suspend(now)
		}
	case 5:
		isolated = target
	case 6, 7:
		isolated = -1
	}
	for j, v := range vms {
		if v.stalled || j == isolated {
			v.lastFaultAt = now
		}
	}
	return isolated
}

// exchangeClaims exchanges claims between all VMs that can reach each other.
func exchangeClaims(now time.Time, vms []*vm, isolated int) {
	for i, a := range vms {
		for j, b := range vms {
			if i == j || a.stalled || b.stalled || i == isolated || j == isolated {
				continue
			}
			a.heard[b.id] = now
			a.authority.ApplyClaims(now, b.id, b.bootID(), b.authority.Claims())
			a.authority.RefreshHolder(now, b.id)
			a.authority.Confirm(b.id, now)
		}
	}
}

func (v *vm) bootID() ids.BootID { return ids.BootID(fmt.Sprint(v.boot)) }

// alive returns the other VMs that v heard within the last second.
func (v *vm) alive(now time.Time, vms []*vm) []authority.Candidate {
	var alive []authority.Candidate
	for _, other := range vms {
		if at, heard := v.heard[other.id]; heard && now.Sub(at) <= time.Second {
			alive = append(alive, authority.Candidate{ID: other.id, DataCentre: other.dc, Boot: other.bootID(), Started: other.started})
		}
	}
	return alive
}

// checkOrders fails the test if two VMs used the same fencing token, or if two
// stable VMs sent orders within one lease.
func checkOrders(t *rapid.T, orders []order) {
	owners := make(map[ids.FencingToken]ids.VMID)
	var last order
	for _, o := range orders {
		if owner, used := owners[o.fence]; used && owner != o.vm {
			t.Fatalf("%s and %s share token %d", owner, o.vm, o.fence)
		}
		owners[o.fence] = o.vm
		if !o.stableVMs[o.vm] {
			continue
		}
		// The previous holder must be stable as well: one that was killed or
		// disconnected in the meantime does not count.
		if last.vm != "" && last.vm != o.vm && o.stableVMs[last.vm] && o.at.Sub(last.at) < lease {
			t.Fatalf("%s orders at %v, %v after %s", o.vm, o.at.Sub(start), o.at.Sub(last.at), last.vm)
		}
		last = o
	}
}

// Guards against engines that no VM orders after their holder is lost.
func TestLostHolderIsReplaced(t *testing.T) {
	t.Run("engines check fences", func(t *testing.T) { testLostHolderIsReplaced(t, true) })
	t.Run("engines check no fences", func(t *testing.T) { testLostHolderIsReplaced(t, false) })
}

func testLostHolderIsReplaced(t *testing.T, enginesCheckFences bool) {
	a, b := newVM(0, start), newVM(2, start)
	vms := []*vm{a, b}
	for _, v := range vms {
		v.enginesCheckFences = enginesCheckFences
		v.restart(start)
	}
	step := func(from, to int, cut int) {
		for i := from; i < to; i++ {
			now := start.Add(time.Duration(i) * tick)
			exchangeClaims(now, vms, cut)
			for _, v := range vms {
				v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, v.alive(now, vms))
			}
		}
	}
	step(0, 8, -1)
	holder, known := b.authority.Holder(dc)
	assert.Assert(t, known)
	assert.Equal(t, holder, a.id)
	step(8, 8+int((lease+2*time.Second)/tick), 0)
	holder, known = b.authority.Holder(dc)
	assert.Assert(t, known)
	assert.Equal(t, holder, b.id)
}

// Guards against a holder that keeps using a token that an engine refused,
// and against a next token that is refused again because another VM's clock
// is ahead.
func TestRefusedTokenIsNeverUsedAgain(t *testing.T) {
	v := newVM(0, start)
	v.enginesCheckFences = true
	v.restart(start)
	now := start.Add(claimDelay + lease)
	v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, nil)
	first, allowed := v.authority.Fence(now, dc)
	assert.Assert(t, allowed)
	v.authority.DropRefusedClaim(now, dc)
	_, allowed = v.authority.Fence(now, dc)
	assert.Assert(t, !allowed)
	v.authority.Tick(now, now.Add(-time.Hour), false, []ids.DataCentreID{dc}, nil)
	_, allowed = v.authority.Fence(now, dc)
	assert.Assert(t, !allowed, "claimed again within the lease")
	now = now.Add(lease)
	v.authority.Tick(now, now.Add(-time.Hour), false, []ids.DataCentreID{dc}, nil)
	second, allowed := v.authority.Fence(now, dc)
	assert.Assert(t, allowed)
	assert.Assert(t, second > first)
	assert.Assert(t, second < 1<<53, "the token does not fit a JSON number")
}

// Guards against an order from a VM whose process stalled and that has not
// yet heard that another VM took over.
func TestNoOrderRightAfterProcessStall(t *testing.T) {
	v := newVM(0, start)
	now := start.Add(claimDelay + lease)
	v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, nil)
	v.authority.Suspend(now)
	_, allowed := v.authority.Fence(now.Add(100*time.Millisecond), dc)
	assert.Assert(t, !allowed)
	v.authority.ApplyClaims(now.Add(200*time.Millisecond), "other", "1", []authority.Claim{{DataCentre: dc, Fence: 1 << 52}})
	_, allowed = v.authority.Fence(now.Add(time.Second), dc)
	assert.Assert(t, !allowed)
}

// Guards against a small VM that keeps the claim on its data centre because
// it made the claim before it found the larger VMs.
func TestClaimMovesToMuchLargerVM(t *testing.T) {
	small, large := newVM(0, start), newVM(2, start)
	small.authority = authority.New(authority.Config{Self: small.id, DataCentre: dc, Cores: 0.2, FenceSuffix: 1, Lease: lease, FirstClaimDelay: claimDelay}, start)
	large.authority = authority.New(authority.Config{Self: large.id, DataCentre: dc, Cores: 0.8, FenceSuffix: 2, Lease: lease, FirstClaimDelay: claimDelay}, start)
	sizes := map[ids.VMID]float64{small.id: 0.2, large.id: 0.8}
	vms := []*vm{small, large}
	for i := range 60 {
		now := start.Add(time.Duration(i) * tick)
		isolated := -1
		if i < 20 {
			isolated = 1
		}
		exchangeClaims(now, vms, isolated)
		for j, v := range vms {
			if j == isolated {
				continue
			}
			alive := v.alive(now, vms)
			for k := range alive {
				alive[k].Cores = sizes[alive[k].ID]
			}
			v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, alive)
		}
	}
	holder, known := small.authority.Holder(dc)
	assert.Assert(t, known)
	assert.Equal(t, holder, large.id)
}

// Pattern: all VMs are stopped in turn, and the last one holds the claims on all
// data centres when it releases them. Guards against a VM that starts then and
// takes a lower fencing token: claiming several data centres at once puts tokens
// ahead of the clock, and a released claim is no longer reported.
func TestTokenOfANewVMIsAboveReleasedOnes(t *testing.T) {
	dataCentres := []ids.DataCentreID{"dc-0", "dc-1", "dc-2", "dc-3"}
	newAuthority := func(id ids.VMID, suffix uint64, now time.Time) *authority.Authority {
		return authority.New(authority.Config{Self: id, DataCentre: dc, FenceSuffix: suffix, Lease: lease, FirstClaimDelay: claimDelay}, now)
	}
	last := newAuthority("last", 9, start)
	claimedAt := start.Add(2 * lease)
	last.Tick(claimedAt, claimedAt, false, []ids.DataCentreID{"dc-3", "dc-2", "dc-1", "dc-0"}, nil)
	used := last.Claims()
	assert.Equal(t, len(used), len(dataCentres))
	last.Release()

	started := claimedAt.Add(100 * time.Millisecond)
	next := newAuthority("next", 1, started)
	now := started.Add(claimDelay + tick)
	next.ObserveFence(last.HighestFence())
	next.ApplyClaims(now, "last", "boot", last.Claims())
	next.Tick(now, now, false, dataCentres, []authority.Candidate{{ID: "last", DataCentre: dc, Boot: "boot", Started: start, Leaving: true}})
	claims := next.Claims()
	assert.Equal(t, len(claims), len(dataCentres))
	for i, claim := range claims {
		assert.Assert(t, claim.Fence > used[i].Fence, "%s: token %d after %d", claim.DataCentre, claim.Fence, used[i].Fence)
	}
}

// Guards against two VMs that order an engine by turns within one lease, where the
// engine checks no fencing tokens: a holder that is cut off from all other VMs still
// reaches the engines, and another VM takes over after the lease.
func TestIsolatedHolderOrdersNoEngineBesideItsSuccessor(t *testing.T) {
	holder, successor, third := newVM(0, start), newVM(2, start), newVM(4, start)
	vms := []*vm{holder, successor, third}
	var last order
	for i := range 60 {
		now := start.Add(time.Duration(i) * tick)
		isolated := -1
		if i >= 8 {
			isolated = 0
		}
		exchangeClaims(now, vms, isolated)
		for _, v := range vms {
			v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, v.alive(now, vms))
			if fence, allowed := v.authority.Fence(now, dc); allowed {
				assert.Assert(t, last.vm == "" || last.vm == v.id || now.Sub(last.at) >= lease, "%s orders %v after %s", v.id, now.Sub(last.at), last.vm)
				last = order{vm: v.id, fence: fence, at: now}
			}
		}
	}
}
