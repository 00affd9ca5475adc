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

func pinKeyOn(id ids.EndpointID) peer.PinKey {
	return peer.PinKey{Endpoint: id, Ref: adapterRef(0)}
}

func vmList(revision ids.Revision, vms ...ids.VMID) platformapi.VMList {
	list := platformapi.VMList{Revision: revision}
	for _, id := range vms {
		list.VMs = append(list.VMs, platformapi.VM{ID: id, DataCentre: simDataCentre, State: platformapi.VMLive})
	}
	return list
}

func newTestTable(self ids.VMID, fencing bool) *Table {
	table := New(Config{Self: self, DataCentre: simDataCentre, Terms: DefaultTerms()}, simStart)
	table.SetEndpoint(simStart, "e", records.Endpoint{DataCentre: simDataCentre, Fencing: fencing})
	return table
}

// ownerAndSuccessor returns the owner of endpoint e under a list of two VMs,
// and the VM that owns it when the owner is removed from the list.
func ownerAndSuccessor() (former, next ids.VMID) {
	former, _ = Owner("e", simDataCentre, vmList(1, "x", "y"))
	next = "x"
	if former == "x" {
		next = "y"
	}
	return former, next
}

// settledOwner returns a table of the VM owner that owns endpoint e, at a time
// when its first handover wait is over.
func settledOwner(former, next ids.VMID) (*Table, time.Time) {
	table := newTestTable(former, false)
	table.ObserveList(simStart, vmList(1, former, next), simStart)
	now := simStart.Add(DefaultTerms().handoverEvictionWait())
	table.ObserveList(now, vmList(1, former, next), now)
	return table, now
}

// Guards against a new owner that keeps waiting although the former owner has
// answered, and against one that drops the pins it took over.
func TestHandoverEndsWaitAndTransfersPins(t *testing.T) {
	former, next := ownerAndSuccessor()
	formerTable, now := settledOwner(former, next)
	assert.Equal(t, formerTable.GrantPin(now, "z", 1, pinKeyOn("e"), alwaysResident).Refusal, peer.PinRefusal(""))

	nextTable := newTestTable(next, false)
	nextTable.ObserveList(now, vmList(1, former, next), now)
	changes := nextTable.ObserveList(now, vmList(2, next), now)
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, changes[0], Change{Kind: Gained, Endpoint: "e", Revision: 2, HandoverCandidates: []ids.VMID{former}})
	_, err := nextTable.MayOrder(now, "e")
	assert.ErrorIs(t, err, ErrHandoverPending)

	reply := formerTable.AnswerHandover(now, peer.HandoverRequest{Sender: next, Revision: 2, Endpoints: []ids.EndpointID{"e"}})
	_, err = formerTable.MayOrder(now, "e")
	assert.ErrorIs(t, err, ErrListSuperseded)
	assert.Equal(t, formerTable.GrantPin(now, "z", 2, pinKeyOn("e"), alwaysResident).Refusal, peer.PinNoAuthority)

	nextTable.ApplyHandover(now, reply)
	_, err = nextTable.MayOrder(now, "e")
	assert.NilError(t, err)
	assert.ErrorIs(t, nextTable.MayEvict(now, "e", adapterRef(0)), ErrPinned)
	assert.NilError(t, nextTable.MayEvict(now, "e", adapterRef(1)))
}

// Guards against accepting the handover answer of a VM that missed a list
// revision in which another VM was the owner.
func TestHandoverFromEarlierOwnerIsIgnored(t *testing.T) {
	former, next := ownerAndSuccessor()
	formerTable, now := settledOwner(former, next)
	nextTable := newTestTable(next, false)
	nextTable.ObserveList(now, vmList(3, next), now)
	reply := formerTable.AnswerHandover(now, peer.HandoverRequest{Sender: next, Revision: 3, Endpoints: []ids.EndpointID{"e"}})
	nextTable.ApplyHandover(now, reply)
	_, err := nextTable.MayOrder(now, "e")
	assert.ErrorIs(t, err, ErrHandoverPending)
}

// Guards against a new VM that never learns which VM to ask for a handover,
// because it did not see the previous list.
func TestNewVMLearnsFormerOwnerFromAnotherVM(t *testing.T) {
	original, next := ownerAndSuccessor()
	old, now := settledOwner(original, next)
	newTable := newTestTable("new", false)
	changes := newTable.ObserveList(now, vmList(2, "new", next), now)
	if len(changes) == 0 {
		changes = newTable.ObserveList(now, vmList(3, "new"), now)
	}
	_ = old
	otherTable := newTestTable(next, false)
	otherTable.ObserveList(now, vmList(changes[0].Revision-1, original, next), now)
	reply := otherTable.AnswerHandover(now, peer.HandoverRequest{Sender: "new", Revision: changes[0].Revision, Endpoints: []ids.EndpointID{"e"}})
	further := newTable.ApplyHandover(now, reply)
	assert.Equal(t, len(further), 1)
	assert.DeepEqual(t, further[0].HandoverCandidates, []ids.VMID{original})
}

// Guards against an engine with fencing that stays unused for the whole
// handover wait, and against the eviction of adapters that the former owner
// may have pinned.
func TestFencingShortensWaitForPinsButNotForEvictions(t *testing.T) {
	former, next := ownerAndSuccessor()
	nextTable := newTestTable(next, true)
	nextTable.ObserveList(simStart, vmList(1, former, next), simStart)
	nextTable.ObserveList(simStart, vmList(2, next), simStart)
	assert.Equal(t, nextTable.GrantPin(simStart, "z", 1, pinKeyOn("e"), alwaysResident).Refusal, peer.PinHandover)
	fence, err := nextTable.MayLoad(simStart, "e")
	assert.NilError(t, err)
	nextTable.LoadAccepted(simStart, simStart, "e", fence, adapterRef(3))
	assert.Equal(t, nextTable.GrantPin(simStart, "z", 1, pinKeyOn("e"), alwaysResident).Refusal, peer.PinRefusal(""))
	assert.ErrorIs(t, nextTable.MayEvict(simStart, "e", adapterRef(1)), ErrHandoverPending)
	assert.ErrorIs(t, nextTable.MayEvict(simStart, "e", adapterRef(3)), ErrHandoverPending)
}

// Guards against a data centre that stops serving when the platform is
// unreachable, and against evictions in that state.
func TestCutOffVMGrantsPinsAndLoadsButDoesNotEvict(t *testing.T) {
	former, next := ownerAndSuccessor()
	table, now := settledOwner(former, next)
	for range 60 {
		now = now.Add(time.Second)
		table.Tick(now)
	}
	assert.Equal(t, table.GrantPin(now, "z", 1, pinKeyOn("e"), alwaysResident).Refusal, peer.PinRefusal(""))
	_, err := table.MayLoad(now, "e")
	assert.NilError(t, err)
	assert.ErrorIs(t, table.MayEvict(now, "e", adapterRef(1)), ErrListUnconfirmed)
	table.ObservePeer(now, next, 1, now)
	assert.NilError(t, table.MayEvict(now, "e", adapterRef(1)))
	table.ObservePeer(now, "far", 2, time.Time{})
	assert.ErrorIs(t, table.MayEvict(now, "e", adapterRef(1)), ErrListSuperseded)
}

// Guards against a VM that resumes after a pause and treats its own request,
// or a request that was delivered late, as a confirmation of its list.
func TestUnsolicitedMessagesDoNotConfirmList(t *testing.T) {
	former, next := ownerAndSuccessor()
	table, now := settledOwner(former, next)
	now = now.Add(time.Minute)
	for _, sender := range []ids.VMID{former, next} {
		request := peer.PinsAcquireRequest{Sender: sender, Sequence: 1, Revision: 1, Pins: []peer.PinKey{pinKeyOn("e")}}
		reply := table.GrantPins(now, request, alwaysResident)
		assert.Equal(t, reply.Grants[0].Refusal, peer.PinNoAuthority)
	}
	table.ObservePeer(now, next, 1, now)
	assert.Equal(t, table.GrantPin(now, "z", 1, pinKeyOn("e"), alwaysResident).Refusal, peer.PinRefusal(""))
}

// Guards against a late release that ends a pin acquired after it, and against
// a late grant that restores a pin already released.
func TestOutOfOrderPinMessages(t *testing.T) {
	former, next := ownerAndSuccessor()
	table, now := settledOwner(former, next)
	key := pinKeyOn("e")
	table.GrantPin(now, "z", 5, key, alwaysResident)
	table.Release(peer.PinsReleaseRequest{Sender: "z", Sequence: 4, Pins: []peer.PinKey{key}})
	assert.ErrorIs(t, table.MayEvict(now, "e", key.Ref), ErrPinned)
	table.Release(peer.PinsReleaseRequest{Sender: "z", Sequence: 6, Pins: []peer.PinKey{key}})
	assert.NilError(t, table.MayEvict(now, "e", key.Ref))

	holder := NewPinHolder(DefaultTerms())
	grant := peer.PinGrant{Pin: key, TermMillis: 60_000, EndpointBoot: "b"}
	earlySequence := holder.NextSequence()
	holder.ApplyGrants(now, now, earlySequence, []peer.PinGrant{grant})
	now = now.Add(DefaultTerms().PinIdleTimeout)
	upkeep := holder.Maintain(now)
	assert.DeepEqual(t, upkeep.Release, []peer.PinKey{key})
	holder.ApplyGrants(now, now, earlySequence, []peer.PinGrant{grant})
	assert.Assert(t, !holder.Begin(now, key, now.Add(time.Second)))
}

// Guards against a request that outlives its pin, and against a request sent
// under a pin that was granted for an earlier run of the engine.
func TestPinsCoverOnlyTheirLeaseAndEngineRun(t *testing.T) {
	holder := NewPinHolder(DefaultTerms())
	key := pinKeyOn("e")
	holder.ApplyGrants(simStart, simStart, holder.NextSequence(), []peer.PinGrant{{Pin: key, TermMillis: 60_000, EndpointBoot: "b"}})
	assert.Assert(t, holder.Begin(simStart, key, simStart.Add(time.Minute)))
	assert.Assert(t, !holder.Begin(simStart, key, simStart.Add(time.Minute+1)))
	holder.ObserveBoot("e", "c")
	assert.Assert(t, !holder.Begin(simStart, key, simStart.Add(time.Second)))
}
