package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// TestMain fixes the seed of rapid, so that every run draws the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 40) }

// fault is one fault that is injected into a simulated run.
type fault struct {
	kind     int
	at       time.Duration
	duration time.Duration
	vm       int
}

const (
	faultKill = iota
	faultPause
	faultPauseAndReplace
	faultCutVMFromPlatform
	faultCutDataCentreFromPlatform
	faultReplaceTwice
	faultKinds
)

const (
	runDuration = 400 * time.Second
	maxPause    = 100 * time.Second
)

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:     rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			at:       time.Duration(rapid.IntRange(0, int(runDuration/simStep)*2/3).Draw(t, "at")) * simStep,
			duration: time.Duration(rapid.IntRange(1, int(maxPause/simStep)).Draw(t, "lasts")) * simStep,
			vm:       rapid.IntRange(0, 9).Draw(t, "vm"),
		}
	}), 0, 5).Draw(t, "faults")
}

func (w *simulation) run(faults []fault) {
	for w.now < runDuration {
		for _, f := range faults {
			if f.at == w.now {
				w.injectFault(f)
			}
		}
		w.step()
	}
}

func (w *simulation) injectFault(f fault) {
	listed := w.currentVMs()
	v := w.vms[listed[f.vm%len(listed)].ID]
	switch f.kind {
	case faultKill:
		v.killed = true
		w.replaceVM(v.id)
	case faultPause:
		v.pausedUntil = w.now + f.duration
	case faultPauseAndReplace:
		v.pausedUntil = w.now + f.duration
		w.replaceVM(v.id)
	case faultCutVMFromPlatform:
		v.platformCutUntil = w.now + f.duration
	case faultCutDataCentreFromPlatform:
		w.platformDownUntil = w.now + f.duration
	case faultReplaceTwice:
		v.killed = true
		w.replaceVM(v.id)
		w.vms[w.currentVMs()[0].ID].killed = true
		w.replaceVM(w.currentVMs()[0].ID)
	}
}

func drawSimulation(t *rapid.T) *simulation {
	return newSimulation(
		rapid.Uint64().Draw(t, "seed"),
		rapid.IntRange(1, 4).Draw(t, "vms"),
		rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(t, "fencing"),
		allRules(), true,
	)
}

// Guards against the eviction of an adapter that is serving requests (R2). The
// drawn runs have VM lists that lag by different times, owners that are
// killed, replaced, or paused with an order planned but not sent, and a data
// centre that is cut off from the platform.
func TestServingAdapterIsNeverEvicted(t *testing.T) {
	requestsRun, evictions := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := drawSimulation(t)
		w.run(drawFaults(t))
		if len(w.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(w.violations), w.violations[0])
		}
		requestsRun += w.requestsRun
		evictions += w.evictions
	})
	// The runs prove nothing if no requests run or nothing is evicted.
	assert.Assert(t, requestsRun > 5_000, "only %d requests ran", requestsRun)
	assert.Assert(t, evictions > 1_000, "only %d evictions", evictions)
}

// ruleScenarioCount is the number of fixed scenarios that are run with each
// rule switched off.
const ruleScenarioCount = 16

// violationsWith runs fixed scenarios under the given rules until one of them
// shows violations, and returns their number. Most faults pause a VM that is
// replaced meanwhile and resumes late.
func violationsWith(r rules, requirePin bool) int {
	random := rand.New(rand.NewPCG(7, 7))
	for seed := range uint64(ruleScenarioCount) {
		w := newSimulation(seed, 3, []bool{false, false, true}, r, requirePin)
		var faults []fault
		for range 4 {
			kind := faultPauseAndReplace
			if random.IntN(2) == 0 {
				kind = random.IntN(faultKinds)
			}
			faults = append(faults, fault{
				kind: kind, vm: random.IntN(3),
				at: time.Duration(400+random.IntN(1000)) * simStep,
				// The longest pauses outlast the handover wait.
				duration: time.Duration(1+random.IntN(700)) * simStep,
			})
		}
		w.run(faults)
		if len(w.violations) > 0 {
			return len(w.violations)
		}
	}
	return 0
}

// Guards against a rule that no longer has an effect: with each rule switched
// off in turn, the same scenarios must show evictions of serving adapters.
func TestEachRulePreventsEvictionOfServingAdapter(t *testing.T) {
	assert.Equal(t, violationsWith(allRules(), true), 0)
	tests := []struct {
		name string
		off  func(*rules, *bool)
	}{
		{"pins", func(r *rules, _ *bool) { r.enforcePins = false }},
		{"authority check before the order", func(r *rules, _ *bool) { r.checkAuthority = false }},
		{"handover wait", func(r *rules, _ *bool) { r.waitForHandover = false }},
		{"pin before dispatch", func(_ *rules, pin *bool) { *pin = false }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, pin := allRules(), true
			test.off(&r, &pin)
			violations := violationsWith(r, pin)
			t.Logf("%d violations without the rule", violations)
			assert.Assert(t, violations > 0)
		})
	}
}

// Guards against orders and pin grants by a VM that resumes after a pause with
// an outdated list in memory.
func TestPausedOwnerMayNotOrderAfterItResumes(t *testing.T) {
	former, next := ownerAndSuccessor()
	table, now := settledOwner(former, next)
	_, err := table.MayOrder(now, "e")
	assert.NilError(t, err)
	now = now.Add(DefaultTerms().AuthorityTerm + time.Millisecond)
	_, err = table.MayOrder(now, "e")
	assert.ErrorIs(t, err, ErrListUnconfirmed)
	table.Tick(now)
	grant := table.GrantPin(now, "z", 1, pinKeyOn("e"), alwaysResident)
	assert.Equal(t, grant.Refusal, peer.PinNoAuthority)
}

func alwaysResident(ids.EndpointID, ids.AdapterRef) (ids.BootID, bool) { return "boot", true }
