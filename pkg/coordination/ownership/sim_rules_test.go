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

// TestMain fixes the seed of rapid, so that each run draws the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 40) }

// fault is one thing that goes wrong in a simulated run.
type fault struct {
	kind  int
	at    time.Duration
	lasts time.Duration
	vm    int
}

const (
	faultKill = iota
	faultPause
	faultPauseAndReplace
	faultCutVM
	faultCutDataCentre
	faultReplaceTwice
	faultKinds
)

const (
	runLength = 400 * time.Second
	maxPause  = 100 * time.Second
)

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:  rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			at:    time.Duration(rapid.IntRange(0, int(runLength/simStep)*2/3).Draw(t, "at")) * simStep,
			lasts: time.Duration(rapid.IntRange(1, int(maxPause/simStep)).Draw(t, "lasts")) * simStep,
			vm:    rapid.IntRange(0, 9).Draw(t, "vm"),
		}
	}), 0, 5).Draw(t, "faults")
}

func (w *simWorld) run(faults []fault) {
	for w.now < runLength {
		for _, f := range faults {
			if f.at == w.now {
				w.apply(f)
			}
		}
		w.step()
	}
}

func (w *simWorld) apply(f fault) {
	listed := w.current()
	v := w.vms[listed[f.vm%len(listed)].ID]
	switch f.kind {
	case faultKill:
		v.killed = true
		w.replace(v.id)
	case faultPause:
		v.pausedUntil = w.now + f.lasts
	case faultPauseAndReplace:
		v.pausedUntil = w.now + f.lasts
		w.replace(v.id)
	case faultCutVM:
		v.cutUntil = w.now + f.lasts
	case faultCutDataCentre:
		w.platformDownUntil = w.now + f.lasts
	case faultReplaceTwice:
		v.killed = true
		w.replace(v.id)
		w.vms[w.current()[0].ID].killed = true
		w.replace(w.current()[0].ID)
	}
}

func drawWorld(t *rapid.T) *simWorld {
	return newWorld(
		rapid.Uint64().Draw(t, "seed"),
		rapid.IntRange(1, 4).Draw(t, "vms"),
		rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(t, "fencing"),
		allRules(), true,
	)
}

// Guards against the eviction of an adapter that serves (R2), with lists that
// lag differently, owners that are killed, replaced or paused with an order in
// hand, and a data centre cut from the platform.
func TestServingAdapterIsNeverEvicted(t *testing.T) {
	ran, evicted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.run(drawFaults(t))
		if len(w.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(w.violations), w.violations[0])
		}
		ran += w.ran
		evicted += w.evicted
	})
	// The runs prove nothing if nothing runs or nothing is evicted.
	assert.Assert(t, ran > 5_000, "only %d requests ran", ran)
	assert.Assert(t, evicted > 1_000, "only %d evictions", evicted)
}

// ruleScenarios is the number of fixed scenarios in which each rule is tried.
const ruleScenarios = 16

// violationsWith runs fixed scenarios with the given rules, until one of them
// shows violations. Most faults are VMs that are taken for dead and wake late.
func violationsWith(r rules, pinBeforeDispatch bool) int {
	random := rand.New(rand.NewPCG(7, 7))
	for seed := range uint64(ruleScenarios) {
		w := newWorld(seed, 3, []bool{false, false, true}, r, pinBeforeDispatch)
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
				lasts: time.Duration(1+random.IntN(700)) * simStep,
			})
		}
		w.run(faults)
		if len(w.violations) > 0 {
			return len(w.violations)
		}
	}
	return 0
}

// Guards against a rule that no longer does anything: with each rule switched
// off the same scenarios show evictions of serving adapters.
func TestEachRulePreventsEvictionOfServingAdapters(t *testing.T) {
	assert.Equal(t, violationsWith(allRules(), true), 0)
	tests := []struct {
		name string
		off  func(*rules, *bool)
	}{
		{"pins", func(r *rules, _ *bool) { r.pins = false }},
		{"authority check before the order", func(r *rules, _ *bool) { r.authorityCheck = false }},
		{"handover wait", func(r *rules, _ *bool) { r.handoverWait = false }},
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

// Guards against orders by a VM that woke with an old list in its memory.
func TestPausedOwnerMayNotOrderAfterItWakes(t *testing.T) {
	former, next := movedTo()
	table, now := settled(former, next)
	_, err := table.MayOrder(now, "e")
	assert.NilError(t, err)
	now = now.Add(DefaultTerms().AuthorityTerm + time.Millisecond)
	_, err = table.MayOrder(now, "e")
	assert.ErrorIs(t, err, ErrUnconfirmed)
	table.Tick(now)
	grant := table.GrantPin(now, "z", 1, pinOn("e"), alwaysResident)
	assert.Equal(t, grant.Refusal, peer.PinNoAuthority)
}

func alwaysResident(ids.EndpointID, ids.AdapterRef) (ids.BootID, bool) { return "boot", true }
