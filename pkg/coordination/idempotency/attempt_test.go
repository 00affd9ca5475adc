package idempotency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/lifecycle"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// newTestFleet returns VMs that have been running for an hour and whose VM
// list is confirmed.
func newTestFleet(names ...ids.VMID) (map[ids.VMID]*testVM, time.Time) {
	list := vmList(1, names...)
	vms := map[ids.VMID]*testVM{}
	for _, name := range names {
		vms[name] = newTestVM(name, "1", testStart, nil)
		vms[name].members.ObserveList(testStart, list, testStart)
	}
	now := testStart.Add(time.Hour)
	confirmLists(vms, now, 1)
	return vms, now
}

// Guards against losing the answer of an earlier call, returning it for
// another body, and running the call again instead.
func TestRepeatedCallsGetStoredAnswer(t *testing.T) {
	vms, now := newTestFleet("a1", "b1", "c1")
	call := newCall(keyAt(t, now, 0))
	first := claimAt(now, vms["a1"], call, vms)
	commit, err := first.Commit(now)
	assert.NilError(t, err)
	for _, vm := range vms {
		assert.Assert(t, vm.home.Commit(commit).Known)
	}
	assert.Equal(t, claimAt(now, vms["b1"], call, vms).Verdict(), InProgress)
	end := first.End(peer.StoredAnswer{Status: 201, Body: []byte("booked")})
	for _, vm := range vms {
		vm.home.End(end)
		assert.Assert(t, vm.home.End(end).Known)
	}
	second := claimAt(now, vms["b1"], call, vms)
	assert.Equal(t, second.Verdict(), AlreadyAnswered)
	assert.Equal(t, string(second.Answer().Body), "booked")
	assert.Assert(t, !commits(now, second))
	call.BodyDigest = "other"
	assert.Equal(t, claimAt(now, vms["b1"], call, vms).Verdict(), KeyReused)
	late := now.Add(call.Window + time.Second)
	assert.Equal(t, claimAt(late, vms["b1"], call, vms).Verdict(), KeyExpired)
	vms["a1"].home.Expire(late.Add(time.Minute))
	assert.Equal(t, vms["a1"].home.Stats(), HomeStats{})
}

// Guards against stored answers that fill the memory of a home.
func TestLargeAnswersAreDropped(t *testing.T) {
	vms, now := newTestFleet("a1", "b1", "c1")
	call := newCall(keyAt(t, now, 0))
	first := claimAt(now, vms["a1"], call, vms)
	assert.Assert(t, commits(now, first))
	end := first.End(peer.StoredAnswer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)})
	assert.Assert(t, end.Answer.Dropped && len(end.Answer.Body) == 0)
	vms["b1"].home.End(end)
	second := claimAt(now, vms["b1"], call, map[ids.VMID]*testVM{"b1": vms["b1"]})
	assert.Assert(t, second.Verdict() == AlreadyAnswered && second.Answer().Dropped)
	assert.Equal(t, vms["b1"].home.Stats().StoredBytes, int64(0))
}

// Guards against a key that stays blocked by a released claim, and against
// committing a released claim.
func TestReleasedClaimFreesKey(t *testing.T) {
	vms, now := newTestFleet("a1", "b1", "c1")
	call := newCall(keyAt(t, now, 0))
	first := claimAt(now, vms["a1"], call, map[ids.VMID]*testVM{"a1": vms["a1"]})
	assert.Equal(t, first.Verdict(), NoQuorum)
	release, ok := first.Release(false)
	assert.Assert(t, ok && !commits(now, first))
	for _, vm := range vms {
		vm.home.Release(now, release)
	}
	assert.Equal(t, vms["b1"].home.Claim(now, first.Claim()).Status, peer.ClaimReleased)
	second := claimAt(now, vms["b1"], call, vms)
	assert.Assert(t, commits(now, second))
	assert.Equal(t, vms["a1"].home.Claim(now, second.Claim()).Status, peer.ClaimGranted)
	_, ok = second.Release(false)
	assert.Assert(t, !ok, "a committed claim was released without proof")
	_, ok = second.Release(true)
	assert.Assert(t, ok && !commits(now, second))
}

// Guards against a quorum among too few VMs, where the loss of one VM is the
// loss of the majority.
func TestQuorumWithFewerThanThreeVMs(t *testing.T) {
	vms, now := newTestFleet("a1", "b1")
	call := newCall(keyAt(t, now, 0))
	assert.Assert(t, commits(now, claimAt(now, vms["a1"], call, vms)))
	other := newCall(keyAt(t, now, 1))
	assert.Equal(t, claimAt(now, vms["a1"], other, map[ids.VMID]*testVM{"a1": vms["a1"]}).Verdict(), NoQuorum)
	later := now.Add(time.Minute)
	stale := newCall(keyAt(t, later, 2))
	assert.Equal(t, claimAt(later, vms["a1"], stale, vms).Verdict(), NoQuorum, "the list is not confirmed")
}

// Guards against wrong clocks of callers, and against a home that started
// recently and treats an old key without a creation time as new.
func TestKeyCreationTimes(t *testing.T) {
	vms, now := newTestFleet("a1", "b1", "c1")
	future := claimAt(now, vms["a1"], newCall(keyAt(t, now.Add(time.Minute), 0)), vms)
	assert.Equal(t, future.Verdict(), KeyFromFuture)
	assert.Equal(t, claimAt(now, vms["a1"], newCall("order-1"), vms).Verdict(), Granted)
	shortlyAfterStart := testStart.Add(5 * time.Minute)
	confirmLists(vms, shortlyAfterStart, 1)
	assert.Equal(t, claimAt(shortlyAfterStart, vms["a1"], newCall("order-2"), vms).Verdict(), NoQuorum)
	assert.Equal(t, claimAt(shortlyAfterStart, vms["a1"], newCall(keyAt(t, shortlyAfterStart, 1)), vms).Verdict(), Granted)
	_, dated := CreatedAt("5f3a1e3c-6c1d-4b8e-9f55-0c6f0f8c7a11")
	assert.Assert(t, !dated, "a random UUID carries no time")
}

// Guards against a VM that waits for the end of a call whose VM has left or
// restarted.
func TestHolderHasRestarted(t *testing.T) {
	vms, now := newTestFleet("a1", "b1", "c1")
	call := newCall(keyAt(t, now, 0))
	assert.Assert(t, commits(now, claimAt(now, vms["a1"], call, vms)))
	vms["b1"].members.ObserveHeartbeat(now, peer.Heartbeat{From: "a1", Boot: "2"})
	second := claimAt(now, vms["b1"], call, vms)
	assert.Equal(t, second.Verdict(), EndedUnknown)
	assert.Equal(t, second.Verdict().Outcome(), lifecycle.OutcomeUnknown)
}

// Guards against refusals without a reason, and against the outcome "not run"
// for calls that may have run.
func TestVerdictsHaveReasons(t *testing.T) {
	for verdict := AlreadyAnswered; verdict <= NoQuorum; verdict++ {
		hasReason := verdict.Reason() != inferencev1.Reason_REASON_UNSPECIFIED
		assert.Equal(t, hasReason, verdict != AlreadyAnswered, "verdict %d", verdict)
	}
	for _, verdict := range []Verdict{InProgress, EndedUnknown, KeyExpired} {
		assert.Equal(t, verdict.Outcome(), lifecycle.OutcomeUnknown)
	}
}

// Guards against a selection of homes by which a VM is a home among all VMs of
// a history of lists but not under one of the lists that contain it. Coverage
// is checked against the union of the lists only.
func TestHomesOfUnionAreHomesOfEachList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var union []platformapi.VM
		for i := range rapid.IntRange(1, 9).Draw(t, "vms") {
			dataCentre := rapid.SampledFrom([]ids.DataCentreID{"a", "b", "c", "d"}).Draw(t, "dc")
			union = append(union, platformapi.VM{ID: ids.VMID(string(rune('p' + i))), DataCentre: dataCentre})
		}
		key := peer.IdempotencyKey{Customer: "c", Route: "r", Key: rapid.String().Draw(t, "key")}
		var list []platformapi.VM
		for _, vm := range union {
			if rapid.Bool().Draw(t, "listed") {
				list = append(list, vm)
			}
		}
		homes := Homes(key, "", list, nil)
		dataCentres := make(map[ids.DataCentreID]bool)
		for _, vm := range list {
			dataCentres[vm.DataCentre] = true
		}
		if len(homes) != min(len(list), HomeCount) {
			t.Fatalf("%d homes of %d VMs", len(homes), len(list))
		}
		for _, vm := range list {
			if contains(Homes(key, "", union, nil), vm.ID) && !contains(homes, vm.ID) {
				t.Fatalf("%s is a home of the union and not of the list", vm.ID)
			}
		}
		homeDataCentres := make(map[ids.DataCentreID]bool)
		for _, vm := range list {
			if contains(homes, vm.ID) {
				homeDataCentres[vm.DataCentre] = true
			}
		}
		if len(homeDataCentres) < min(len(dataCentres), HomeCount) {
			t.Fatalf("homes %v are in %d of %d data centres", homes, len(homeDataCentres), len(dataCentres))
		}
	})
}

func contains(list []ids.VMID, id ids.VMID) bool {
	for _, member := range list {
		if member == id {
			return true
		}
	}
	return false
}
