package limits_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// slotVM is a VM that uses slots; the test carries its messages.
type slotVM struct {
	vm    limits.VM
	slots *limits.Slots
	uses  map[uint64]time.Time
}

func startSlotVM(vm limits.VM, now time.Time, list []limits.VM, total int, dcs map[ids.DataCentreID]limits.DataCentre) *slotVM {
	table := limits.New(limits.DefaultConfig(), vm, now)
	table.SetVMList(now, limits.VMList{VMs: list, ConfirmedAt: now})
	s := &slotVM{vm: vm, slots: limits.NewSlots(limits.DefaultSlotConfig(), table), uses: map[uint64]time.Time{}}
	s.slots.Apply(1, total, dcs)
	for _, other := range list {
		table.ObserveApplied(now, other.ID, 1)
	}
	return s
}

// The number of loads in flight must stay within the store's limit: with lost
// messages, lost returns and replaced VMs, never more than 8 slots are in use,
// where the uses of killed VMs count until they end. All 8 slots must be
// reachable.
func TestSlotsNeverExceedTotal(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(1_700_000_000, 0)
	dcs := dataCentres(3, 2)
	var list []limits.VM
	for i := range 6 {
		list = append(list, limits.VM{ID: ids.VMID(fmt.Sprintf("vm%d", i)), DataCentre: dataCentreID(i / 2)})
	}
	vms := make([]*slotVM, 6)
	byID := map[ids.VMID]*slotVM{}
	for i, vm := range list {
		vms[i] = startSlotVM(vm, now, list, 8, dcs)
		byID[vm.ID] = vms[i]
	}
	var usesOfKilledVMs []time.Time
	maxInUse := 0
	faults := true
	lost := func() bool { return faults && rng.Float64() < 0.1 }
	for step := range 20_000 {
		faults = step < 15_000
		now = now.Add(10 * time.Millisecond)
		for _, v := range vms {
			for use, end := range v.uses {
				if now.Before(end) {
					continue
				}
				delete(v.uses, use)
				for _, r := range v.slots.Release(now, use) {
					if !lost() {
						byID[r.To].slots.HandleReturn(now, r.Message)
					}
				}
			}
		}
		v := vms[rng.IntN(6)]
		if faults && rng.IntN(500) == 0 {
			for _, end := range v.uses {
				usesOfKilledVMs = append(usesOfKilledVMs, end)
			}
			i := int(v.vm.ID[2] - '0')
			vms[i] = startSlotVM(v.vm, now, list, 8, dcs)
			byID[v.vm.ID] = vms[i]
			continue
		}
		d := v.slots.Acquire(now)
		for len(d.BorrowRequests) > 0 {
			for _, ask := range d.BorrowRequests {
				if reply := byID[ask.To].slots.Lend(now, ask.Request); !lost() {
					v.slots.HandleBorrowReply(now, reply)
				}
			}
			d = v.slots.Acquire(now)
		}
		for _, r := range d.Returns {
			byID[r.To].slots.HandleReturn(now, r.Message)
		}
		if d.Use != 0 {
			v.uses[d.Use] = now.Add(time.Duration(1 + rng.Int64N(int64(3*time.Second-1))))
		}
		inUse := 0
		for _, other := range vms {
			inUse += len(other.uses)
		}
		for _, end := range usesOfKilledVMs {
			if now.Before(end) {
				inUse++
			}
		}
		maxInUse = max(maxInUse, inUse)
		assert.Assert(t, inUse <= 8, "%d slots in use", inUse)
	}
	assert.Equal(t, maxInUse, 8)
}

// If a return is lost, a lent slot must stay unavailable to the lender until
// the term and the drift margin have passed. If the return arrives, the slot is
// available at once.
func TestLentSlotIsUnavailableUntilItsTermEnds(t *testing.T) {
	cfg := limits.DefaultSlotConfig()
	now := time.Unix(1_700_000_000, 0)
	dcs := map[ids.DataCentreID]limits.DataCentre{"dc0": {Seats: 1, Weight: 1}, "dc1": {Seats: 1, Weight: 1}}
	list := []limits.VM{vmA, vmB}
	a, b := startSlotVM(vmA, now, list, 2, dcs), startSlotVM(vmB, now, list, 2, dcs)
	now = now.Add(time.Minute)
	assert.Assert(t, b.slots.Acquire(now).Use != 0)
	asks := b.slots.Acquire(now).BorrowRequests
	assert.Equal(t, len(asks), 1)
	b.slots.HandleBorrowReply(now, a.slots.Lend(now, asks[0].Request))
	use := b.slots.Acquire(now).Use
	assert.Assert(t, use != 0)
	assert.Equal(t, a.slots.Acquire(now.Add(cfg.Term)).Use, uint64(0))
	returns := b.slots.Release(now.Add(cfg.Term), use)
	assert.Equal(t, len(returns), 1)
	assert.Assert(t, a.slots.Acquire(now.Add(cfg.Term+cfg.DriftMargin)).Use != 0)
}
