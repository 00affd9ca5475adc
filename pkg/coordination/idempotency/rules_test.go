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

// testVM is one VM, with its Home and its Claimer.
type testVM struct {
	members *membership.Members
	home    *Home
	claimer *Claimer
}

// newTestVM starts a VM and lets disable switch off rules in its Home and its
// Claimer.
func newTestVM(id ids.VMID, boot ids.BootID, start time.Time, disable func(*homeRules, *claimerRules)) *testVM {
	members := membership.New(id, ids.DataCentreID(id[:1]))
	vm := &testVM{members: members, home: NewHome(boot, start, members), claimer: NewClaimer(boot, members)}
	vm.home.SetRegions(start, testRegions)
	if disable != nil {
		disable(&vm.home.rules, &vm.claimer.rules)
	}
	return vm
}

func vmList(revision ids.Revision, names ...ids.VMID) platformapi.VMList {
	list := platformapi.VMList{Revision: revision}
	for _, name := range names {
		list.VMs = append(list.VMs, platformapi.VM{ID: name, DataCentre: ids.DataCentreID(name[:1]), State: platformapi.VMLive})
	}
	return list
}

// keyAt returns a UUIDv7 key created at the given time. Different salts give
// different keys.
func keyAt(t *testing.T, at time.Time, salt byte) string {
	t.Helper()
	millis := at.UnixMilli()
	id := uuid.UUID{byte(millis >> 40), byte(millis >> 32), byte(millis >> 24), byte(millis >> 16), byte(millis >> 8), byte(millis), 0x70, salt, 0x80}
	created, dated := CreatedAt(id.String())
	assert.Assert(t, dated && created.Equal(at.Truncate(time.Millisecond)))
	return id.String()
}

func newCall(key string) Call {
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

// commits reports whether an attempt may commit its call.
func commits(now time.Time, attempt *Attempt) bool {
	_, err := attempt.Commit(now)
	return err == nil
}

// callWith returns a call that fits, with a key created at the given time.
func callWith(t *testing.T, at time.Time, fits func(Call) bool) Call {
	t.Helper()
	for salt := range 256 {
		if call := newCall(keyAt(t, at, byte(salt))); fits(call) {
			return call
		}
	}
	t.Fatal("no key with suitable homes")
	return Call{}
}

func homesUnder(call Call, list platformapi.VMList) []ids.VMID {
	return Homes(call.Key, call.Region, list.VMs, testRegions)
}

func sameVMs(homes []ids.VMID, wanted ...ids.VMID) bool {
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

// scenario lets two VMs try to run the call of one key and returns how many
// of them may run it.
type scenario func(t *testing.T, off func(*homeRules, *claimerRules)) int

func countTrue(list ...bool) int {
	total := 0
	for _, ran := range list {
		if ran {
			total++
		}
	}
	return total
}

// restartedHome: one of two homes that granted a claim restarts and the other
// fails. Then the call is tried again at the restarted home and at the home
// that did not get the first claim.
func restartedHome(t *testing.T, disable func(*homeRules, *claimerRules)) int {
	list := vmList(1, "a1", "b1", "c1")
	vms := map[ids.VMID]*testVM{}
	for _, vm := range list.VMs {
		vms[vm.ID] = newTestVM(vm.ID, "1", testStart, disable)
		vms[vm.ID].members.ObserveList(testStart, list, testStart)
	}
	now := testStart.Add(time.Minute)
	confirmLists(vms, now, 1)
	call := newCall(keyAt(t, now, 0))
	first := claimAt(now, vms["a1"], call, map[ids.VMID]*testVM{"a1": vms["a1"], "b1": vms["b1"]})
	ran := commits(now, first)

	now = now.Add(30 * time.Second)
	vms["b1"] = newTestVM("b1", "2", now, disable)
	vms["b1"].members.ObserveList(now, list, now)
	confirmLists(vms, now, 1)
	second := claimAt(now, vms["c1"], call, map[ids.VMID]*testVM{"b1": vms["b1"], "c1": vms["c1"]})
	return countTrue(ran, commits(now, second))
}

func confirmLists(vms map[ids.VMID]*testVM, now time.Time, revision ids.Revision) {
	for _, vm := range vms {
		vm.members.ConfirmList(revision, now)
	}
}

// outdatedListMajority: some VMs keep an old list, under which the key has
// other homes than under the new list. Of the old homes, b1 and c1 keep the
// old list, and a1, a home under both lists, has the new one.
func outdatedListMajority(t *testing.T, disable func(*homeRules, *claimerRules)) int {
	oldList := vmList(1, "a1", "b1", "c1")
	newList := vmList(2, "a1", "b1", "c1", "b2", "c2")
	vms := map[ids.VMID]*testVM{}
	for _, vm := range newList.VMs {
		vms[vm.ID] = newTestVM(vm.ID, "1", testStart, disable)
		vms[vm.ID].members.ObserveList(testStart, oldList, testStart)
	}
	changedAt := testStart.Add(time.Minute)
	for id, vm := range vms {
		if id != "b1" && id != "c1" {
			vm.members.ObserveList(changedAt, newList, changedAt)
		}
	}
	now := changedAt.Add(time.Minute)
	call := callWith(t, now, func(call Call) bool {
		return sameVMs(homesUnder(call, oldList), "a1", "b1", "c1") && sameVMs(homesUnder(call, newList), "a1", "b2", "c2")
	})
	outdatedVM := newTestVM("a9", "1", testStart, disable)
	outdatedVM.members.ObserveList(testStart, oldList, testStart)
	first := claimAt(now, outdatedVM, call, map[ids.VMID]*testVM{"a1": vms["a1"], "b1": vms["b1"], "c1": vms["c1"]})
	confirmLists(vms, now, 2)
	second := claimAt(now, vms["b2"], call, map[ids.VMID]*testVM{"b2": vms["b2"], "c2": vms["c2"]})
	return countTrue(commits(now, first), commits(now, second))
}

// pausedClaimer: a VM pauses between claim and commit until the homes have
// forgotten the claim on a key without a creation time, and another VM runs
// the call.
func pausedClaimer(t *testing.T, disable func(*homeRules, *claimerRules)) int {
	list := vmList(1, "a1", "b1", "c1")
	vms := map[ids.VMID]*testVM{}
	for _, vm := range list.VMs {
		vms[vm.ID] = newTestVM(vm.ID, "1", testStart, disable)
		vms[vm.ID].members.ObserveList(testStart, list, testStart)
	}
	now := testStart.Add(time.Hour)
	confirmLists(vms, now, 1)
	first := claimAt(now, vms["a1"], newCall("order-1"), vms)
	assert.Equal(t, first.Verdict(), Granted)
	now = now.Add(time.Hour)
	confirmLists(vms, now, 1)
	second := claimAt(now, vms["b1"], newCall("order-1"), vms)
	return countTrue(commits(now, second), commits(now, first))
}

// laggingHome: home b1 is paused while a list is in force under which other VMs
// are homes, and resumes when the list is as before.
func laggingHome(t *testing.T, disable func(*homeRules, *claimerRules)) int {
	lists := []platformapi.VMList{vmList(1, "a1", "b1", "c1"), vmList(2, "a1", "b2", "c1"), vmList(3, "a1", "b1", "c1")}
	vms := map[ids.VMID]*testVM{}
	for _, id := range []ids.VMID{"a1", "b1", "b2", "c1"} {
		vms[id] = newTestVM(id, "1", testStart, disable)
		vms[id].members.ObserveList(testStart, lists[0], testStart)
	}
	changedAt := testStart.Add(time.Minute)
	for _, id := range []ids.VMID{"a1", "b2", "c1"} {
		vms[id].members.ObserveList(changedAt, lists[1], changedAt)
	}
	now := changedAt.Add(time.Minute)
	call := callWith(t, now, func(call Call) bool {
		return sameVMs(homesUnder(call, lists[1]), "a1", "b2", "c1")
	})
	confirmLists(vms, now, 2)
	first := claimAt(now, vms["a1"], call, map[ids.VMID]*testVM{"a1": vms["a1"], "b2": vms["b2"]})
	ran := commits(now, first)
	now = now.Add(time.Minute)
	for _, id := range []ids.VMID{"a1", "c1"} {
		vms[id].members.ObserveList(now, lists[2], now)
	}
	confirmLists(vms, now, 3)
	second := claimAt(now, vms["c1"], call, map[ids.VMID]*testVM{"b1": vms["b1"], "c1": vms["c1"]})
	return countTrue(ran, commits(now, second))
}

// raisedWindow: a call runs under a short window, the homes forget its claim,
// and a longer window makes its key acceptable again.
func raisedWindow(t *testing.T, disable func(*homeRules, *claimerRules)) int {
	list := vmList(1, "a1", "b1", "c1")
	vms := map[ids.VMID]*testVM{}
	for _, vm := range list.VMs {
		vms[vm.ID] = newTestVM(vm.ID, "1", testStart, disable)
		vms[vm.ID].members.ObserveList(testStart, list, testStart)
	}
	now := testStart.Add(time.Hour)
	confirmLists(vms, now, 1)
	call := newCall(keyAt(t, now, 0))
	call.Window = time.Second
	first := claimAt(now, vms["a1"], call, vms)
	ran := commits(now, first)
	now = now.Add(time.Minute)
	confirmLists(vms, now, 1)
	vms["a1"].home.Expire(now)
	call.Window = 10 * time.Minute
	second := claimAt(now, vms["b1"], call, vms)
	return countTrue(ran, commits(now, second))
}

// Guards against running the call of one key twice. With the named rule
// switched off, each scenario must show the double run that the rule prevents.
func TestEachRulePreventsDoubleRun(t *testing.T) {
	tests := []struct {
		name string
		run  scenario
		off  func(*homeRules, *claimerRules)
	}{
		{"memory coverage", restartedHome, func(h *homeRules, _ *claimerRules) { h.coverage = false }},
		{"home set comparison", outdatedListMajority, func(h *homeRules, c *claimerRules) { h.sameHomes, c.sameHomes = false, false }},
		{"all homes when unconfirmed", outdatedListMajority, func(_ *homeRules, c *claimerRules) { c.allWhenUnconfirmed = false }},
		{"commit timeout", pausedClaimer, func(_ *homeRules, c *claimerRules) { c.commitTimeout = false }},
		{"check of forgotten claims", raisedWindow, func(h *homeRules, _ *claimerRules) { h.forgottenCheck = false }},
		{"list not behind", laggingHome, func(h *homeRules, _ *claimerRules) { h.listNotBehind = false }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Assert(t, test.run(t, nil) <= 1, "the call ran twice with all rules on")
			assert.Equal(t, test.run(t, test.off), 2, "the call did not run twice with the rule off")
		})
	}
}
