package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testRegions = Regions{"a": "r", "b": "r", "c": "r"}

// testVM is one VM with its memory as a home and its claimer.
type testVM struct {
	members *membership.Members
	home    *Home
	claimer *Claimer
}

// newTestVM starts a VM; rules that a test switches off are off everywhere.
func newTestVM(id ids.VMID, boot ids.BootID, start time.Time, off func(*homeRules, *claimerRules)) *testVM {
	members := membership.New(id, ids.DataCentreID(id[:1]))
	vm := &testVM{members: members, home: NewHome(boot, start, members), claimer: NewClaimer(boot, members)}
	vm.home.ObserveRegions(start, testRegions)
	if off != nil {
		off(&vm.home.rules, &vm.claimer.rules)
	}
	return vm
}

func listOf(revision ids.Revision, names ...ids.VMID) platformapi.VMList {
	list := platformapi.VMList{Revision: revision}
	for _, name := range names {
		list.VMs = append(list.VMs, platformapi.VM{ID: name, DataCentre: ids.DataCentreID(name[:1]), State: platformapi.VMLive})
	}
	return list
}

// keyAt returns a UUIDv7 key created at a moment.
func keyAt(t *testing.T, at time.Time, salt byte) string {
	t.Helper()
	millis := at.UnixMilli()
	id := uuid.UUID{byte(millis >> 40), byte(millis >> 32), byte(millis >> 24), byte(millis >> 16), byte(millis >> 8), byte(millis), 0x70, salt, 0x80}
	created, dated := CreatedAt(id.String())
	assert.Assert(t, dated && created.Equal(at.Truncate(time.Millisecond)))
	return id.String()
}

func callOf(key string) Call {
	return Call{
		Key:        peer.IdempotencyKey{Customer: "c", Route: "book", Key: key},
		BodyDigest: "d", Region: "r", Window: 10 * time.Minute,
	}
}

// claimAt claims a call at the reachable homes and returns the attempt.
func claimAt(now time.Time, claimer *testVM, call Call, reachable map[ids.VMID]*testVM) *Attempt {
	attempt := claimer.claimer.Begin(now, call, testRegions)
	for _, home := range attempt.Homes() {
		if vm, up := reachable[home]; up {
			attempt.OnReply(now, vm.home.Claim(now, attempt.Claim()))
			continue
		}
		attempt.OnFailure(now, home)
	}
	return attempt
}

// runs tells whether an attempt would run its call.
func runs(now time.Time, attempt *Attempt) bool {
	_, err := attempt.Commit(now)
	return err == nil
}

// saltWith finds a key created at a moment whose homes under two lists are
// both as wanted.
func saltWith(t *testing.T, at time.Time, fits func(Call) bool) Call {
	t.Helper()
	for salt := range 256 {
		if call := callOf(keyAt(t, at, byte(salt))); fits(call) {
			return call
		}
	}
	t.Fatal("no key with such homes")
	return Call{}
}

func homesUnder(call Call, list platformapi.VMList) []ids.VMID {
	return Homes(call.Key, call.Region, list.VMs, testRegions)
}

func has(homes []ids.VMID, wanted ...ids.VMID) bool {
	return fmt.Sprint(sortedIDs(homes)) == fmt.Sprint(sortedIDs(wanted))
}

func sortedIDs(list []ids.VMID) []ids.VMID {
	sorted := append([]ids.VMID(nil), list...)
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted
}

// A scenario lets two VMs try to run the call of one key and returns how many
// of them would.
type scenario func(t *testing.T, off func(*homeRules, *claimerRules)) int

func count(list ...bool) int {
	total := 0
	for _, ran := range list {
		if ran {
			total++
		}
	}
	return total
}

// restartedHome: the second home of a quorum restarts, the first dies, and the
// call is tried again at the restarted home and the one that was away.
func restartedHome(t *testing.T, off func(*homeRules, *claimerRules)) int {
	list := listOf(1, "a1", "b1", "c1")
	vms := map[ids.VMID]*testVM{}
	for _, vm := range list.VMs {
		vms[vm.ID] = newTestVM(vm.ID, "1", testStart, off)
		vms[vm.ID].members.ObserveList(testStart, list, testStart)
	}
	now := testStart.Add(time.Minute)
	confirm(vms, now, 1)
	call := callOf(keyAt(t, now, 0))
	first := claimAt(now, vms["a1"], call, map[ids.VMID]*testVM{"a1": vms["a1"], "b1": vms["b1"]})
	ran := runs(now, first)

	now = now.Add(30 * time.Second)
	vms["b1"] = newTestVM("b1", "2", now, off)
	vms["b1"].members.ObserveList(now, list, now)
	confirm(vms, now, 1)
	second := claimAt(now, vms["c1"], call, map[ids.VMID]*testVM{"b1": vms["b1"], "c1": vms["c1"]})
	return count(ran, runs(now, second))
}

func confirm(vms map[ids.VMID]*testVM, now time.Time, revision ids.Revision) {
	for _, vm := range vms {
		vm.members.ConfirmList(revision, now)
	}
}

// frozenMajority: one side keeps an old list, by which the key has other homes
// than by the new one. Of the old homes b1 and c1 keep the old list too, and
// a1, a home by both lists, knows the new one.
func frozenMajority(t *testing.T, off func(*homeRules, *claimerRules)) int {
	oldList := listOf(1, "a1", "b1", "c1")
	newList := listOf(2, "a1", "b1", "c1", "b2", "c2")
	vms := map[ids.VMID]*testVM{}
	for _, vm := range newList.VMs {
		vms[vm.ID] = newTestVM(vm.ID, "1", testStart, off)
		vms[vm.ID].members.ObserveList(testStart, oldList, testStart)
	}
	moved := testStart.Add(time.Minute)
	for id, vm := range vms {
		if id != "b1" && id != "c1" {
			vm.members.ObserveList(moved, newList, moved)
		}
	}
	now := moved.Add(time.Minute)
	call := saltWith(t, now, func(call Call) bool {
		return has(homesUnder(call, oldList), "a1", "b1", "c1") && has(homesUnder(call, newList), "a1", "b2", "c2")
	})
	frozen := newTestVM("a9", "1", testStart, off)
	frozen.members.ObserveList(testStart, oldList, testStart)
	first := claimAt(now, frozen, call, map[ids.VMID]*testVM{"a1": vms["a1"], "b1": vms["b1"], "c1": vms["c1"]})
	confirm(vms, now, 2)
	second := claimAt(now, vms["b2"], call, map[ids.VMID]*testVM{"b2": vms["b2"], "c2": vms["c2"]})
	return count(runs(now, first), runs(now, second))
}

// sleepingClaimer: a VM pauses between claim and commit until the homes forgot
// the claim of a key without a creation time, and another VM runs the call.
func sleepingClaimer(t *testing.T, off func(*homeRules, *claimerRules)) int {
	list := listOf(1, "a1", "b1", "c1")
	vms := map[ids.VMID]*testVM{}
	for _, vm := range list.VMs {
		vms[vm.ID] = newTestVM(vm.ID, "1", testStart, off)
		vms[vm.ID].members.ObserveList(testStart, list, testStart)
	}
	now := testStart.Add(time.Hour)
	confirm(vms, now, 1)
	first := claimAt(now, vms["a1"], callOf("order-1"), vms)
	assert.Equal(t, first.Verdict(), Granted)
	now = now.Add(time.Hour)
	confirm(vms, now, 1)
	second := claimAt(now, vms["b1"], callOf("order-1"), vms)
	return count(runs(now, second), runs(now, first))
}

// laggingHome: home b1 sleeps through a list under which others were homes,
// and wakes when the list is as before.
func laggingHome(t *testing.T, off func(*homeRules, *claimerRules)) int {
	lists := []platformapi.VMList{listOf(1, "a1", "b1", "c1"), listOf(2, "a1", "b2", "c1"), listOf(3, "a1", "b1", "c1")}
	vms := map[ids.VMID]*testVM{}
	for _, id := range []ids.VMID{"a1", "b1", "b2", "c1"} {
		vms[id] = newTestVM(id, "1", testStart, off)
		vms[id].members.ObserveList(testStart, lists[0], testStart)
	}
	moved := testStart.Add(time.Minute)
	for _, id := range []ids.VMID{"a1", "b2", "c1"} {
		vms[id].members.ObserveList(moved, lists[1], moved)
	}
	now := moved.Add(time.Minute)
	call := saltWith(t, now, func(call Call) bool {
		return has(homesUnder(call, lists[1]), "a1", "b2", "c1")
	})
	confirm(vms, now, 2)
	first := claimAt(now, vms["a1"], call, map[ids.VMID]*testVM{"a1": vms["a1"], "b2": vms["b2"]})
	ran := runs(now, first)
	now = now.Add(time.Minute)
	for _, id := range []ids.VMID{"a1", "c1"} {
		vms[id].members.ObserveList(now, lists[2], now)
	}
	confirm(vms, now, 3)
	second := claimAt(now, vms["c1"], call, map[ids.VMID]*testVM{"b1": vms["b1"], "c1": vms["c1"]})
	return count(ran, runs(now, second))
}

// raisedWindow: a call runs under a short window, the homes forget it, and a
// longer window makes its key acceptable again.
func raisedWindow(t *testing.T, off func(*homeRules, *claimerRules)) int {
	list := listOf(1, "a1", "b1", "c1")
	vms := map[ids.VMID]*testVM{}
	for _, vm := range list.VMs {
		vms[vm.ID] = newTestVM(vm.ID, "1", testStart, off)
		vms[vm.ID].members.ObserveList(testStart, list, testStart)
	}
	now := testStart.Add(time.Hour)
	confirm(vms, now, 1)
	call := callOf(keyAt(t, now, 0))
	call.Window = time.Second
	first := claimAt(now, vms["a1"], call, vms)
	ran := runs(now, first)
	now = now.Add(time.Minute)
	confirm(vms, now, 1)
	vms["a1"].home.Expire(now)
	call.Window = 10 * time.Minute
	second := claimAt(now, vms["b1"], call, vms)
	return count(ran, runs(now, second))
}

// Guards against a second run of one key. Each scenario shows with one rule
// off the doubled run that the rule prevents.
func TestEachRulePreventsADoubledRun(t *testing.T) {
	tests := []struct {
		name string
		run  scenario
		off  func(*homeRules, *claimerRules)
	}{
		{"memory coverage", restartedHome, func(h *homeRules, _ *claimerRules) { h.coverage = false }},
		{"home set comparison", frozenMajority, func(h *homeRules, c *claimerRules) { h.sameHomes, c.sameHomes = false, false }},
		{"three of three when unconfirmed", frozenMajority, func(_ *homeRules, c *claimerRules) { c.allWhenUnconfirmed = false }},
		{"commit term", sleepingClaimer, func(_ *homeRules, c *claimerRules) { c.commitTerm = false }},
		{"forgotten mark", raisedWindow, func(h *homeRules, _ *claimerRules) { h.forgottenMark = false }},
		{"list not behind", laggingHome, func(h *homeRules, _ *claimerRules) { h.listNotBehind = false }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Assert(t, test.run(t, nil) <= 1, "the call ran twice with all rules on")
			assert.Equal(t, test.run(t, test.off), 2, "the scenario shows no doubled run with the rule off")
		})
	}
}
