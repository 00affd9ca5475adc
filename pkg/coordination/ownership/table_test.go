package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

func pinOn(id ids.EndpointID) peer.PinKey {
	return peer.PinKey{Endpoint: id, Ref: simRef(0)}
}

func listOf(revision ids.Revision, vms ...ids.VMID) platformapi.VMList {
	list := platformapi.VMList{Revision: revision}
	for _, id := range vms {
		list.VMs = append(list.VMs, platformapi.VM{ID: id, DataCentre: simDC, State: platformapi.VMLive})
	}
	return list
}

func tableOf(self ids.VMID, fencing bool) *Table {
	table := New(Config{Self: self, DataCentre: simDC, Terms: DefaultTerms()}, simBase)
	table.SetEndpoint(simBase, "e", records.Endpoint{DataCentre: simDC, Fencing: fencing})
	return table
}

// movedTo returns the owner of endpoint e in a list of two and the VM that
// owns it when that one is gone.
func movedTo() (former, next ids.VMID) {
	former, _ = Owner("e", simDC, listOf(1, "x", "y"))
	next = "x"
	if former == "x" {
		next = "y"
	}
	return former, next
}

// settled returns a table that owns endpoint e, after its first wait.
func settled(former, next ids.VMID) (*Table, time.Time) {
	table := tableOf(former, false)
	table.ObserveList(simBase, listOf(1, former, next), simBase)
	now := simBase.Add(DefaultTerms().evictionsWait())
	table.ObserveList(now, listOf(1, former, next), now)
	return table, now
}

// Guards against a new owner that waits although the former one answered, and
// against one that forgets the pins it took over.
func TestHandoverAnswerEndsTheWaitAndBringsPins(t *testing.T) {
	former, next := movedTo()
	old, now := settled(former, next)
	assert.Equal(t, old.GrantPin(now, "z", 1, pinOn("e"), alwaysResident).Refusal, peer.PinRefusal(""))

	heir := tableOf(next, false)
	heir.ObserveList(now, listOf(1, former, next), now)
	changes := heir.ObserveList(now, listOf(2, next), now)
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, changes[0], Change{Kind: Gained, Endpoint: "e", Revision: 2, Ask: []ids.VMID{former}})
	_, err := heir.MayOrder(now, "e")
	assert.ErrorIs(t, err, ErrHandover)

	reply := old.Handover(now, peer.HandoverRequest{Sender: next, Revision: 2, Endpoints: []ids.EndpointID{"e"}})
	_, err = old.MayOrder(now, "e")
	assert.ErrorIs(t, err, ErrSuperseded)
	assert.Equal(t, old.GrantPin(now, "z", 2, pinOn("e"), alwaysResident).Refusal, peer.PinNoAuthority)

	heir.ReceiveHandover(now, reply)
	_, err = heir.MayOrder(now, "e")
	assert.NilError(t, err)
	assert.ErrorIs(t, heir.MayEvict(now, "e", simRef(0)), ErrPinned)
	assert.NilError(t, heir.MayEvict(now, "e", simRef(1)))
}

// Guards against a takeover by the answer of a VM that missed the list in
// which another VM was the owner.
func TestHandoverAnswerOfAnEarlierOwnerDoesNotCount(t *testing.T) {
	former, next := movedTo()
	old, now := settled(former, next)
	heir := tableOf(next, false)
	heir.ObserveList(now, listOf(3, next), now)
	reply := old.Handover(now, peer.HandoverRequest{Sender: next, Revision: 3, Endpoints: []ids.EndpointID{"e"}})
	heir.ReceiveHandover(now, reply)
	_, err := heir.MayOrder(now, "e")
	assert.ErrorIs(t, err, ErrHandover)
}

// Guards against a new VM that never learns whom to ask, because it did not
// see the list before.
func TestNewVMLearnsTheFormerOwnerFromAnotherVM(t *testing.T) {
	former, next := movedTo()
	old, now := settled(former, next)
	heir := tableOf("new", false)
	changes := heir.ObserveList(now, listOf(2, "new", next), now)
	if len(changes) == 0 {
		changes = heir.ObserveList(now, listOf(3, "new"), now)
	}
	_ = old
	third := tableOf(next, false)
	third.ObserveList(now, listOf(changes[0].Revision-1, former, next), now)
	reply := third.Handover(now, peer.HandoverRequest{Sender: "new", Revision: changes[0].Revision, Endpoints: []ids.EndpointID{"e"}})
	further := heir.ReceiveHandover(now, reply)
	assert.Equal(t, len(further), 1)
	assert.DeepEqual(t, further[0].Ask, []ids.VMID{former})
}

// Guards against a fenced engine that stays out of use for the whole wait, and
// against evicting what the former owner may have pinned.
func TestFencingShortensTheWaitForPinsButNotForEvictions(t *testing.T) {
	former, next := movedTo()
	heir := tableOf(next, true)
	heir.ObserveList(simBase, listOf(1, former, next), simBase)
	heir.ObserveList(simBase, listOf(2, next), simBase)
	assert.Equal(t, heir.GrantPin(simBase, "z", 1, pinOn("e"), alwaysResident).Refusal, peer.PinHandover)
	fence, err := heir.MayLoad(simBase, "e")
	assert.NilError(t, err)
	heir.OrderAccepted(simBase, simBase, "e", fence, simRef(3))
	assert.Equal(t, heir.GrantPin(simBase, "z", 1, pinOn("e"), alwaysResident).Refusal, peer.PinRefusal(""))
	assert.ErrorIs(t, heir.MayEvict(simBase, "e", simRef(1)), ErrHandover)
	assert.ErrorIs(t, heir.MayEvict(simBase, "e", simRef(3)), ErrHandover)
}

// Guards against a data centre that stops serving when the platform is gone,
// and against evictions in that state.
func TestCutOffVMGrantsPinsAndLoadsButDoesNotEvict(t *testing.T) {
	former, next := movedTo()
	table, now := settled(former, next)
	for range 60 {
		now = now.Add(time.Second)
		table.Tick(now)
	}
	assert.Equal(t, table.GrantPin(now, "z", 1, pinOn("e"), alwaysResident).Refusal, peer.PinRefusal(""))
	_, err := table.MayLoad(now, "e")
	assert.NilError(t, err)
	assert.ErrorIs(t, table.MayEvict(now, "e", simRef(1)), ErrUnconfirmed)
	table.ObservePeer(now, next, 1, now)
	assert.NilError(t, table.MayEvict(now, "e", simRef(1)))
	table.ObservePeer(now, "far", 2, time.Time{})
	assert.ErrorIs(t, table.MayEvict(now, "e", simRef(1)), ErrSuperseded)
}

// Guards against a VM that wakes after a pause and takes its own request, or a
// request that waited for it, as a confirmation of its list.
func TestOneWayMessagesConfirmNothing(t *testing.T) {
	former, next := movedTo()
	table, now := settled(former, next)
	now = now.Add(time.Minute)
	for _, sender := range []ids.VMID{former, next} {
		request := peer.PinsAcquireRequest{Sender: sender, Sequence: 1, Revision: 1, Pins: []peer.PinKey{pinOn("e")}}
		reply := table.Grant(now, request, alwaysResident)
		assert.Equal(t, reply.Grants[0].Refusal, peer.PinNoAuthority)
	}
	table.ObservePeer(now, next, 1, now)
	assert.Equal(t, table.GrantPin(now, "z", 1, pinOn("e"), alwaysResident).Refusal, peer.PinRefusal(""))
}

// Guards against a late release that ends a pin which was acquired after it,
// and against a late grant for a pin that was given back.
func TestCrossedPinMessages(t *testing.T) {
	former, next := movedTo()
	table, now := settled(former, next)
	key := pinOn("e")
	table.GrantPin(now, "z", 5, key, alwaysResident)
	table.Release(peer.PinsReleaseRequest{Sender: "z", Sequence: 4, Pins: []peer.PinKey{key}})
	assert.ErrorIs(t, table.MayEvict(now, "e", key.Ref), ErrPinned)
	table.Release(peer.PinsReleaseRequest{Sender: "z", Sequence: 6, Pins: []peer.PinKey{key}})
	assert.NilError(t, table.MayEvict(now, "e", key.Ref))

	holder := NewHolder(DefaultTerms())
	grant := peer.PinGrant{Pin: key, TermMillis: 60_000, EndpointBoot: "b"}
	early := holder.NextSequence()
	holder.Granted(now, now, early, []peer.PinGrant{grant})
	now = now.Add(DefaultTerms().IdleRelease)
	up := holder.Upkeep(now)
	assert.DeepEqual(t, up.Release, []peer.PinKey{key})
	holder.Granted(now, now, early, []peer.PinGrant{grant})
	assert.Assert(t, !holder.Begin(now, key, now.Add(time.Second)))
}

// Guards against a request that outlives its pin, and against one sent under
// the pin of an earlier run of the engine.
func TestHolderCoversOnlyTheTermAndTheRun(t *testing.T) {
	holder := NewHolder(DefaultTerms())
	key := pinOn("e")
	holder.Granted(simBase, simBase, holder.NextSequence(), []peer.PinGrant{{Pin: key, TermMillis: 60_000, EndpointBoot: "b"}})
	assert.Assert(t, holder.Begin(simBase, key, simBase.Add(time.Minute)))
	assert.Assert(t, !holder.Begin(simBase, key, simBase.Add(time.Minute+1)))
	holder.ObserveBoot("e", "c")
	assert.Assert(t, !holder.Begin(simBase, key, simBase.Add(time.Second)))
}
