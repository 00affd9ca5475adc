package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listOf(revision ids.Revision, names ...ids.VMID) platformapi.VMList {
	list := platformapi.VMList{Revision: revision}
	for _, name := range names {
		list.VMs = append(list.VMs, platformapi.VM{ID: name, DataCentre: ids.DataCentreID(name[:1]), State: platformapi.VMLive})
	}
	return list
}

func idsOf(vms []platformapi.VM) []ids.VMID {
	found := []ids.VMID{}
	for _, vm := range vms {
		found = append(found, vm.ID)
	}
	return found
}

// Guards against a lagging list that brings back VMs that have left; with the
// rule off it does.
func TestListRevisionOnlyRises(t *testing.T) {
	for _, on := range []bool{true, false} {
		m := New("a1", "a")
		m.rules.upwardOnly = on
		m.ObserveList(start, listOf(2, "a1", "b1"), start)
		observed := m.ObserveList(start, listOf(1, "a1", "b0"), start)
		assert.Equal(t, observed.Stale, on)
		_, back := m.List().VM("b0")
		assert.Equal(t, back, !on)
	}
}

// Guards against an authority that rests on an old confirmation, or on one
// that a peer's newer list has overtaken.
func TestConfirmation(t *testing.T) {
	m := New("a1", "a")
	assert.Assert(t, !m.Confirmed(start, AuthorityTerm))
	m.ObserveList(start, listOf(1, "a1", "a2"), start.Add(-2*time.Second))
	assert.Assert(t, m.Confirmed(start, AuthorityTerm))
	assert.Assert(t, !m.Confirmed(start.Add(3*time.Second), AuthorityTerm))
	m.ConfirmList(1, start.Add(time.Second))
	assert.Assert(t, m.Confirmed(start.Add(3*time.Second), AuthorityTerm))
	m.ConfirmList(1, start)
	assert.Equal(t, m.ConfirmedAt(), start.Add(time.Second))
	m.Hear(start.Add(2*time.Second), peer.Heartbeat{From: "a2", Digest: peer.Digest{List: 2}})
	assert.Assert(t, !m.Confirmed(start.Add(2*time.Second), AuthorityTerm))
	m.ObserveList(start.Add(2*time.Second), listOf(2, "a1"), time.Time{})
	assert.Assert(t, m.Confirmed(start.Add(2*time.Second), AuthorityTerm))
}

// Guards against VMs that count as reachable long after they fell silent.
func TestReachability(t *testing.T) {
	m := New("a1", "a")
	m.ObserveList(start, listOf(1, "a1", "a2", "b1"), start)
	assert.Assert(t, m.Reachable(start, "a1") && !m.Reachable(start, "a2"))
	m.Hear(start, peer.Heartbeat{From: "a2"})
	m.Hear(start, peer.Heartbeat{From: "b1"})
	later := start.Add(ReachableTerm)
	assert.Assert(t, !m.Reachable(later, "a2") && m.Reachable(later, "b1"))
	m.ObserveList(later, listOf(2, "a1", "a2"), later)
	_, known := m.Peer("b1")
	assert.Assert(t, !known)
}

// Guards against data centres without a watcher, or with one that is leaving.
func TestWatchers(t *testing.T) {
	list := listOf(1, "a1", "a2", "a3", "b1")
	list.VMs[1].State = platformapi.VMLeaving
	m := New("b1", "b")
	m.ObserveList(start, list, start)
	assert.Equal(t, len(m.List().Watchers("a")), 2)
	for _, vm := range m.List().Watchers("a") {
		assert.Assert(t, vm.ID != "a2")
	}
	assert.Assert(t, m.IsWatcher())
	assert.DeepEqual(t, m.List().DataCentres(), []ids.DataCentreID{"a", "b"})
	assert.Equal(t, len(m.LivePeers("b")), 0)
}

// Guards against homes that count on lists which they never saw.
func TestHistory(t *testing.T) {
	m := New("a1", "a")
	m.ObserveList(start, listOf(5, "a1", "a2"), start)
	assert.Equal(t, m.HistoryStart(), start)
	left := start.Add(time.Minute)
	m.ObserveList(left, listOf(6, "a1", "a3"), left)
	assert.DeepEqual(t, idsOf(m.LiveSince(start)), []ids.VMID{"a1", "a2", "a3"})
	assert.DeepEqual(t, idsOf(m.LiveSince(left.Add(time.Second))), []ids.VMID{"a1", "a3"})
	since, live := m.SelfLiveSince()
	assert.Assert(t, live && since.Equal(start))

	away := left.Add(time.Minute)
	m.ObserveList(away, listOf(7, "a3"), away)
	_, live = m.SelfLiveSince()
	assert.Assert(t, !live)
	back := away.Add(time.Minute)
	m.ObserveList(back, listOf(8, "a1", "a3"), back)
	since, live = m.SelfLiveSince()
	assert.Assert(t, live && since.Equal(back))
	assert.Equal(t, m.HistoryStart(), start)

	jump := back.Add(time.Minute)
	m.ObserveList(jump, listOf(10, "a1", "a3"), jump)
	since, _ = m.SelfLiveSince()
	assert.Assert(t, m.HistoryStart().Equal(jump) && since.Equal(jump))
	assert.Equal(t, len(m.ListsAbove(6)), 3)
	assert.Equal(t, len(m.ListsAbove(10)), 0)
}
