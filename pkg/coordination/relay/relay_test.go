package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/config/fleet"
	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// TestMain fixes the seed of rapid, so that every run gives the same result
// unless the command line sets another seed.
func TestMain(m *testing.M) { rapidtest.Main(m, 20260101, 20) }

// recordID is the record that the tests publish and withdraw.
const recordID = "customer/c"

func customerRecord(burst int) string {
	return fmt.Sprintf(`{"kind":"customer","schema":2,"id":"c","spec":{"tokensPerSecond":10,"burstTokens":%d}}`, burst)
}

func sites() []fleet.Site {
	return []fleet.Site{{ID: "a", Region: "r", VMs: 2}, {ID: "b", Region: "r", VMs: 2}, {ID: "c", Region: "r", VMs: 2}, {ID: "d", Region: "r", VMs: 2}}
}

// startFleet starts a fleet and runs it until all VMs are ready.
func startFleet(t *testing.T, config fleet.Config) *fleet.Fleet {
	t.Helper()
	f := fleet.New(config)
	f.Platform.Publish(recordID, customerRecord(1))
	f.StartAll(100 * time.Millisecond)
	f.Run(15 * time.Second)
	for _, node := range f.All() {
		assert.Assert(t, node.Ready(), "%s is not ready", node.VM.ID)
	}
	return f
}

// heldRevision returns the revision of the tests' record on a VM.
func heldRevision(node *fleet.Node) ids.Revision {
	revision, _ := node.Catalog.KeyRevision(recordID)
	return revision
}

// Guards against a record that takes effect late or never on a VM that is
// connected to an up-to-date peer or to the platform.
func TestRecordTakesEffectWithin12Seconds(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*fleet.Fleet)
	}{
		{"no fault", func(*fleet.Fleet) {}},
		{"a data centre is cut off the platform", func(f *fleet.Fleet) {
			f.CutPlatform = func(dataCentre ids.DataCentreID) bool { return dataCentre == "a" }
		}},
		{"only one data centre reaches the platform", func(f *fleet.Fleet) {
			f.CutPlatform = func(dataCentre ids.DataCentreID) bool { return dataCentre != "a" }
		}},
		{"a data centre is cut off its peers", func(f *fleet.Fleet) {
			f.Cut = func(a, b ids.DataCentreID) bool { return a == "a" || b == "a" }
		}},
		{"both watchers of a data centre die", func(f *fleet.Fleet) {
			for _, vm := range f.All()[0].Members.List().Watchers("a") {
				f.Nodes[vm.ID].Kill()
			}
		}},
		{"watchers pause and messages are lost", func(f *fleet.Fleet) {
			f.Config.Loss = 0.2
			for _, vm := range f.All()[0].Members.List().Watchers("a")[:1] {
				f.Nodes[vm.ID].Pause(20 * time.Second)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFleet(t, fleet.Config{Seed: 1, Sites: append(sites()[1:], fleet.Site{ID: "a", Region: "r", VMs: 4})})
			test.fault(f)
			f.Run(5 * time.Second)
			revision := f.Platform.Publish(recordID, customerRecord(2))
			f.Run(12 * time.Second)
			for _, node := range f.All() {
				if node.Awake() {
					assert.Equal(t, heldRevision(node), revision, "%s", node.VM.ID)
				}
			}
		})
	}
}

// Validates the test above: without pulls and fallback reads some VMs stay
// behind.
func TestWithoutPullsAndFallbackReadsVMsStayBehind(t *testing.T) {
	sites := append(sites()[1:], fleet.Site{ID: "a", Region: "r", VMs: 4})
	f := startFleet(t, fleet.Config{Seed: 1, Sites: sites})
	for _, node := range f.All() {
		node.Relay.DisablePullsAndFallbackReads()
	}
	revision := f.Platform.Publish(recordID, customerRecord(2))
	f.Run(12 * time.Second)
	behind := 0
	for _, node := range f.All() {
		if heldRevision(node) < revision {
			behind++
		}
	}
	assert.Equal(t, behind, 2)
}

// Guards against a pair in which both VMs wait for the other's heartbeats or
// both send them, and against a link that only one of the two VMs keeps.
func TestOneVMOfEachPairInitiates(t *testing.T) {
	var layout []fleet.Site
	for i := range 7 {
		layout = append(layout, fleet.Site{ID: ids.DataCentreID(fmt.Sprint("dc", i)), Region: fmt.Sprint("r", i%3), VMs: 1 + 2*i})
	}
	f := startFleet(t, fleet.Config{Seed: 5, Sites: layout})
	for _, node := range f.All() {
		for _, vm := range node.Relay.Links() {
			there, back := node.Relay.InitiatesHeartbeats(vm.ID), f.Nodes[vm.ID].Relay.InitiatesHeartbeats(node.VM.ID)
			assert.Assert(t, there != back, "%s and %s: call %v and %v", node.VM.ID, vm.ID, there, back)
		}
	}
}

// restartUnderStalePlatform withdraws a record, makes the platform answer
// with the state before the withdrawal, restarts a VM and reports whether the
// VM has the record again.
func restartUnderStalePlatform(t *testing.T, prepare func(*fleet.Node)) bool {
	f := startFleet(t, fleet.Config{Seed: 3, Sites: sites(), Prepare: prepare})
	before := f.Platform.Revision()
	f.Platform.Withdraw(recordID)
	f.Run(5 * time.Second)
	f.Platform.FrozenAt = before
	node := f.All()[0]
	node.Kill()
	f.Run(time.Second)
	node.Start()
	f.Run(20 * time.Second)
	assert.Assert(t, node.Ready())
	_, published := node.Catalog.KeyRevision(recordID)
	return published
}

// Guards against a restart that brings back a withdrawn record because the
// platform is stale.
func TestRestartUnderStalePlatformDoesNotRevert(t *testing.T) {
	assert.Assert(t, !restartUnderStalePlatform(t, nil))
}

// Shows what the bootstrap from peers prevents. Pulls are disabled too, so
// that the peers do not correct the VM after it has become ready.
func TestWithoutBootstrapRestartReverts(t *testing.T) {
	disable := func(node *fleet.Node) {
		node.Relay.DisableBootstrap()
		node.Relay.DisablePullsAndFallbackReads()
	}
	assert.Assert(t, restartUnderStalePlatform(t, disable))
}

// Guards against a stale platform that is not detected, and against answers
// that are counted as stale only because a peer was faster.
func TestStaleAnswersAreCounted(t *testing.T) {
	f := startFleet(t, fleet.Config{Seed: 7, Sites: sites()})
	for burst := range 40 {
		f.Platform.Publish(recordID, customerRecord(burst+2))
		f.Run(f.Uniform(300 * time.Millisecond))
	}
	f.Run(3 * time.Second)
	for _, node := range f.All() {
		assert.Equal(t, node.Relay.Status(f.Now()).StaleAnswers, uint64(0))
	}
	f.Platform.FrozenAt = f.Platform.Revision() - 1
	f.Run(10 * time.Second)
	for _, node := range f.All() {
		status := node.Relay.Status(f.Now())
		assert.Assert(t, status.StaleAnswers > 0 && status.RecordsAge > 8*time.Second, "%+v", status)
	}
}

// monotonicRevisionModel checks, separately for each VM, that the revisions
// it reads never decrease, including across restarts of the VM.
var monotonicRevisionModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byVM := make(map[any][]porcupine.Operation)
		for _, operation := range history {
			byVM[operation.Input] = append(byVM[operation.Input], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byVM {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return ids.Revision(0) },
	Step: func(state, _, output any) (bool, any) {
		return output.(ids.Revision) >= state.(ids.Revision), output
	},
}

// injectFaultPair starts two faults and returns a function that ends them.
func injectFaultPair(t *rapid.T, f *fleet.Fleet) func() {
	kinds := rapid.SampledFrom([][2]string{
		{"restart", "stale"}, {"restart", "pause"}, {"restart", "cut"}, {"pause", "stale"}, {"replace", "stale"},
		{"cut", "stale"}, {"down", "restart"}, {"restart", "restart"}, {"replace", "cut"}, {"lag", "replace"},
	}).Draw(t, "faults")
	var ends []func()
	for _, kind := range kinds {
		up := f.All()
		node := up[rapid.IntRange(0, len(up)-1).Draw(t, "vm")]
		ends = append(ends, injectFault(f, node, kind))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// injectFault starts one fault and returns a function that ends it.
func injectFault(f *fleet.Fleet, node *fleet.Node, kind string) func() {
	switch kind {
	case "restart":
		node.Kill()
		f.After(f.Uniform(2*time.Second), func() {
			if !node.Up {
				node.Start()
			}
		})
	case "replace":
		f.Replace(node)
	case "pause":
		node.Pause(f.Uniform(20 * time.Second))
	case "cut":
		f.Cut = func(a, b ids.DataCentreID) bool { return a == node.VM.DataCentre || b == node.VM.DataCentre }
	case "stale":
		f.Platform.FrozenAt = max(1, f.Platform.Revision()-ids.Revision(f.Rand.IntN(3)))
	case "down":
		f.Platform.Down = true
	case "lag":
		f.Platform.ListLag = func() time.Duration { return f.Uniform(10 * time.Second) }
	}
	return func() {
		f.Platform.FrozenAt, f.Platform.Down = 0, false
		f.Platform.ListLag = func() time.Duration { return 0 }
		f.Cut = func(a, b ids.DataCentreID) bool { return false }
	}
}

// Guards against a record that reverts on some VM while two faults are
// active, and against VMs that stay behind after the faults have ended.
func TestRecordsNeverRevertUnderTwoFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet.New(fleet.Config{Seed: rapid.Uint64().Draw(t, "seed"), Sites: sites(), Loss: 0.02, Repeat: 0.05})
		f.Platform.Publish(recordID, customerRecord(1))
		var history []porcupine.Operation
		f.Applied = func(node *fleet.Node) {
			if node.Ready() {
				at := f.Elapsed().Nanoseconds()
				history = append(history, porcupine.Operation{Input: node.VM.ID, Call: at, Output: heldRevision(node), Return: at})
			}
		}
		f.StartAll(100 * time.Millisecond)
		f.Run(8 * time.Second)
		for round := range rapid.IntRange(1, 3).Draw(t, "rounds") {
			f.Platform.Publish(recordID, customerRecord(round+2))
			f.Run(6 * time.Second)
			end := injectFaultPair(t, f)
			f.Run(f.Uniform(15 * time.Second))
			f.Platform.Publish(recordID, customerRecord(round+20))
			f.Run(f.Uniform(5 * time.Second))
			end()
			f.Run(25 * time.Second)
		}
		last, _ := heldRevision(f.All()[0]), 0
		for _, node := range f.All() {
			if !node.Ready() || heldRevision(node) != last || last != f.Platform.Revision() {
				t.Fatalf("%s: ready %v, holds %d, the platform has %d", node.VM.ID, node.Ready(), heldRevision(node), f.Platform.Revision())
			}
		}
		if !porcupine.CheckOperations(monotonicRevisionModel, withoutRepeats(history)) {
			t.Fatalf("a record reverted: %v", history)
		}
	})
}

// withoutRepeats drops reads that return the same revision as the previous
// read on the same VM.
func withoutRepeats(history []porcupine.Operation) []porcupine.Operation {
	last := make(map[any]any)
	var kept []porcupine.Operation
	for _, operation := range history {
		if last[operation.Input] != operation.Output {
			last[operation.Input] = operation.Output
			kept = append(kept, operation)
		}
	}
	return kept
}

// Validates the test above: a decrease on one VM is detected, and a
// difference between VMs is allowed.
func TestModelDetectsDecreasingRevision(t *testing.T) {
	read := func(vm ids.VMID, at int64, revision ids.Revision) porcupine.Operation {
		return porcupine.Operation{Input: vm, Call: at, Output: revision, Return: at}
	}
	assert.Assert(t, porcupine.CheckOperations(monotonicRevisionModel, []porcupine.Operation{read("a", 1, 2), read("b", 2, 1), read("a", 3, 3)}))
	assert.Assert(t, !porcupine.CheckOperations(monotonicRevisionModel, []porcupine.Operation{read("a", 1, 2), read("a", 2, 1)}))
}
