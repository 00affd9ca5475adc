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

// Guards against an old list that brings back VMs that have left. Shows that
// this happens when the rule is disabled.
func TestOlderListIsRejected(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		m := New("a1", "a")
		m.rules.rejectOlder = enabled
		m.ObserveList(start, listOf(2, "a1", "b1"), start)
		observed := m.ObserveList(start, listOf(1, "a1", "b0"), start)
		assert.Equal(t, observed.Stale, enabled)
		_, reappeared := m.List().VM("b0")
		assert.Equal(t, reappeared, !enabled)
	}
}

// Guards against treating the list as confirmed when the confirmation is too
// old or when a peer has reported a newer list.
func TestConfirmation(t *testing.T) {
	m := New("a1", "a")
	assert.Assert(t, !m.ConfirmedWithin(start, ConfirmationTTL))
	m.ObserveList(start, listOf(1, "a1", "a2"), start.Add(-2*time.Second))
	assert.Assert(t, m.ConfirmedWithin(start, ConfirmationTTL))
	assert.Assert(t, !m.ConfirmedWithin(start.Add(3*time.Second), ConfirmationTTL))
	m.ConfirmList(1, start.Add(time.Second))
	assert.Assert(t, m.ConfirmedWithin(start.Add(3*time.Second), ConfirmationTTL))
	m.ConfirmList(1, start)
	assert.Equal(t, m.ConfirmedAt(), start.Add(time.Second))
	m.ObserveHeartbeat(start.Add(2*time.Second), peer.Heartbeat{From: "a2", Digest: peer.Digest{ListRevision: 2}})
	assert.Assert(t, !m.ConfirmedWithin(start.Add(2*time.Second), ConfirmationTTL))
	m.ObserveList(start.Add(2*time.Second), listOf(2, "a1"), time.Time{})
	assert.Assert(t, m.ConfirmedWithin(start.Add(2*time.Second), ConfirmationTTL))
}

// Guards against VMs that still count as reachable long after their last
// heartbeat.
func TestReachability(t *testing.T) {
	m := New("a1", "a")
	m.ObserveList(start, listOf(1, "a1", "a2", "b1"), start)
	assert.Assert(t, m.Reachable(start, "a1") && !m.Reachable(start, "a2"))
	m.ObserveHeartbeat(start, peer.Heartbeat{From: "a2"})
	m.ObserveHeartbeat(start, peer.Heartbeat{From: "b1"})
	later := start.Add(ReachableTimeout)
	assert.Assert(t, !m.Reachable(later, "a2") && m.Reachable(later, "b1"))
	m.ObserveList(later, listOf(2, "a1", "a2"), later)
	_, known := m.Peer("b1")
	assert.Assert(t, !known)
}

// Guards against a data centre without a watcher, or with a watcher that is
// leaving.
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

// Guards against VMs that act as the home of idempotency keys on the basis of
// a history with missing lists.
func TestHistory(t *testing.T) {
	m := New("a1", "a")
	m.ObserveList(start, listOf(5, "a1", "a2"), start)
	assert.Equal(t, m.HistoryCompleteSince(), start)
	leftAt := start.Add(time.Minute)
	m.ObserveList(leftAt, listOf(6, "a1", "a3"), leftAt)
	assert.DeepEqual(t, idsOf(m.LiveSince(start)), []ids.VMID{"a1", "a2", "a3"})
	assert.DeepEqual(t, idsOf(m.LiveSince(leftAt.Add(time.Second))), []ids.VMID{"a1", "a3"})
	since, live := m.SelfLiveSince()
	assert.Assert(t, live && since.Equal(start))

	selfLeftAt := leftAt.Add(time.Minute)
	m.ObserveList(selfLeftAt, listOf(7, "a3"), selfLeftAt)
	_, live = m.SelfLiveSince()
	assert.Assert(t, !live)
	selfReturnedAt := selfLeftAt.Add(time.Minute)
	m.ObserveList(selfReturnedAt, listOf(8, "a1", "a3"), selfReturnedAt)
	since, live = m.SelfLiveSince()
	assert.Assert(t, live && since.Equal(selfReturnedAt))
	assert.Equal(t, m.HistoryCompleteSince(), start)

	gapAt := selfReturnedAt.Add(time.Minute)
	m.ObserveList(gapAt, listOf(10, "a1", "a3"), gapAt)
	since, _ = m.SelfLiveSince()
	assert.Assert(t, m.HistoryCompleteSince().Equal(gapAt) && since.Equal(gapAt))
	assert.Equal(t, len(m.ListsAfter(6)), 3)
	assert.Equal(t, len(m.ListsAfter(10)), 0)
}
