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
	lease  = 3 * time.Second
	settle = 700 * time.Millisecond
	tick   = 250 * time.Millisecond
	// touch is how long a VM must have been undisturbed to be in touch.
	touch = 3 * time.Second
	dc    = ids.DataCentreID("dc-0")
)

var start = time.Unix(1_800_000_000, 0)

type vm struct {
	id        ids.VMID
	dc        ids.DataCentreID
	unique    uint64
	boot      int
	started   time.Time
	disturbed time.Time
	frozen    bool
	heard     map[ids.VMID]time.Time
	authority *authority.Authority
}

func newVM(i int, now time.Time) *vm {
	v := &vm{id: ids.VMID(fmt.Sprintf("vm-%d", i)), dc: ids.DataCentreID(fmt.Sprintf("dc-%d", i%2)), unique: uint64(i + 1)}
	v.restart(now)
	return v
}

func (v *vm) restart(now time.Time) {
	v.boot++
	v.started, v.disturbed, v.frozen = now, now, false
	v.heard = make(map[ids.VMID]time.Time)
	v.authority = authority.New(authority.Config{
		Self: v.id, DataCentre: v.dc, Unique: v.unique, Lease: lease, Settle: settle, Confirm: 600 * time.Millisecond,
	}, now)
}

type order struct {
	vm    ids.VMID
	fence ids.Fence
	at    time.Time
	// inTouch holds the VMs in touch when the order was given.
	inTouch map[ids.VMID]bool
}

// Guards against two VMs in touch that take turns on an engine within the
// lease, and against two VMs that share a token, while VMs restart, freeze and
// are cut off, one after the other and together.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "vms")
		vms := make([]*vm, count)
		for i := range vms {
			vms[i] = newVM(i, start)
		}
		cut := -1
		var orders []order
		for step := range 160 {
			now := start.Add(time.Duration(step) * tick)
			cut = disturb(t, now, vms, cut)
			exchange(now, vms, cut)
			inTouch := make(map[ids.VMID]bool)
			for _, v := range vms {
				inTouch[v.id] = now.Sub(v.disturbed) >= touch
			}
			for _, v := range vms {
				if v.frozen {
					continue
				}
				v.authority.Tick(now, now, false, []ids.DataCentreID{"dc-0", "dc-1"}, v.alive(now, vms))
				if fence, allowed := v.authority.Fence(now, dc); allowed {
					orders = append(orders, order{v.id, fence, now, inTouch})
				}
			}
		}
		check(t, orders)
	})
}

func disturb(t *rapid.T, now time.Time, vms []*vm, cut int) int {
	i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
	// Draws of 0 and above 8 disturb nothing, so that failures shrink to few
	// disturbances.
	switch rapid.IntRange(0, 40).Draw(t, "disturbance") {
	case 8:
		vms[i].restart(now)
	case 1:
		vms[i].frozen = true
	case 2, 3, 4:
		if vms[i].frozen {
			vms[i].frozen = false
			vms[i].authority.Suspend(now)
		}
	case 5:
		cut = i
	case 6, 7:
		cut = -1
	}
	for j, v := range vms {
		if v.frozen || j == cut {
			v.disturbed = now
		}
	}
	return cut
}

func exchange(now time.Time, vms []*vm, cut int) {
	for i, a := range vms {
		for j, b := range vms {
			if i == j || a.frozen || b.frozen || i == cut || j == cut {
				continue
			}
			a.heard[b.id] = now
			a.authority.Hear(now, b.id, b.bootID(), b.authority.Claims())
			a.authority.HolderHeard(now, b.id)
		}
	}
}

func (v *vm) bootID() ids.BootID { return ids.BootID(fmt.Sprint(v.boot)) }

func (v *vm) alive(now time.Time, vms []*vm) []authority.Candidate {
	var alive []authority.Candidate
	for _, other := range vms {
		if at, heard := v.heard[other.id]; heard && now.Sub(at) <= time.Second {
			alive = append(alive, authority.Candidate{ID: other.id, DataCentre: other.dc, Boot: other.bootID(), Started: other.started})
		}
	}
	return alive
}

func check(t *rapid.T, orders []order) {
	owners := make(map[ids.Fence]ids.VMID)
	var last order
	for _, o := range orders {
		if owner, used := owners[o.fence]; used && owner != o.vm {
			t.Fatalf("%s and %s share token %d", owner, o.vm, o.fence)
		}
		owners[o.fence] = o.vm
		if !o.inTouch[o.vm] {
			continue
		}
		// A holder that was killed or cut off meanwhile is not in touch any
		// more, so the turn does not count.
		if last.vm != "" && last.vm != o.vm && o.inTouch[last.vm] && o.at.Sub(last.at) < lease {
			t.Fatalf("%s orders at %v, %v after %s", o.vm, o.at.Sub(start), o.at.Sub(last.at), last.vm)
		}
		last = o
	}
}

// Guards against engines that nobody orders after the loss of their owner.
func TestLostHolderIsReplaced(t *testing.T) {
	a, b := newVM(0, start), newVM(2, start)
	vms := []*vm{a, b}
	step := func(from, to int, cut int) {
		for i := from; i < to; i++ {
			now := start.Add(time.Duration(i) * tick)
			exchange(now, vms, cut)
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

// Guards against a holder that goes on with a token that an engine refused,
// and against a next token that is refused again since another VM's time of
// day is ahead.
func TestRefusedTokenIsNeverUsedAgain(t *testing.T) {
	v := newVM(0, start)
	now := start.Add(settle + lease)
	v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, nil)
	first, allowed := v.authority.Fence(now, dc)
	assert.Assert(t, allowed)
	v.authority.Refused(dc)
	_, allowed = v.authority.Fence(now, dc)
	assert.Assert(t, !allowed)
	v.authority.Tick(now, now.Add(-time.Hour), false, []ids.DataCentreID{dc}, nil)
	second, allowed := v.authority.Fence(now, dc)
	assert.Assert(t, allowed)
	assert.Assert(t, second > first)
	assert.Assert(t, second < 1<<53, "the token does not fit a JSON number")
}

// Guards against an order from a VM whose process stood still and has not yet
// heard who took over.
func TestNoOrderRightAfterAStandstill(t *testing.T) {
	v := newVM(0, start)
	now := start.Add(settle + lease)
	v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, nil)
	v.authority.Suspend(now)
	_, allowed := v.authority.Fence(now.Add(100*time.Millisecond), dc)
	assert.Assert(t, !allowed)
	v.authority.Hear(now.Add(200*time.Millisecond), "other", "1", []authority.Claim{{DataCentre: dc, Fence: 1 << 52}})
	_, allowed = v.authority.Fence(now.Add(time.Second), dc)
	assert.Assert(t, !allowed)
}

// Guards against a small VM that goes on ordering all engines of its data
// centre, since it claimed them before it met the larger ones.
func TestClaimGoesToAMuchLargerVM(t *testing.T) {
	small, large := newVM(0, start), newVM(2, start)
	small.authority = authority.New(authority.Config{Self: small.id, DataCentre: dc, Size: 0.2, Unique: 1, Lease: lease, Settle: settle}, start)
	large.authority = authority.New(authority.Config{Self: large.id, DataCentre: dc, Size: 0.8, Unique: 2, Lease: lease, Settle: settle}, start)
	sizes := map[ids.VMID]float64{small.id: 0.2, large.id: 0.8}
	vms := []*vm{small, large}
	for i := range 60 {
		now := start.Add(time.Duration(i) * tick)
		cut := -1
		if i < 20 {
			cut = 1
		}
		exchange(now, vms, cut)
		for j, v := range vms {
			if j == cut {
				continue
			}
			alive := v.alive(now, vms)
			for k := range alive {
				alive[k].Size = sizes[alive[k].ID]
			}
			v.authority.Tick(now, now, false, []ids.DataCentreID{dc}, alive)
		}
	}
	holder, known := small.authority.Holder(dc)
	assert.Assert(t, known)
	assert.Equal(t, holder, large.id)
}
