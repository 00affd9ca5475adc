package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/config/fleet"
	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/idempotency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/lifecycle"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// TestMain fixes the seed of rapid, so that every run gives the same result,
// unless the command line sets another seed.
func TestMain(m *testing.M) { rapidtest.Main(m, 20260102, 12) }

// keyState is the state of one key in the porcupine model.
type keyState struct{ ran bool }

// runAtMostOnce models a key whose call runs at most once. A fresh answer
// requires that the call has not run before, a stored answer that it has.
// After the outcome "unknown" it may or may not have run; "not run" changes
// nothing.
var runAtMostOnce = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[any][]porcupine.Operation)
		for _, operation := range history {
			byKey[operation.Input] = append(byKey[operation.Input], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, _, output any) []any {
		key, result := state.(keyState), output.(fleet.Result)
		switch {
		case result.Outcome == lifecycle.OutcomeNotRun:
			return []any{key}
		case result.Outcome == lifecycle.OutcomeUnknown && !key.ran:
			return []any{key, keyState{ran: true}}
		case result.Outcome == lifecycle.OutcomeUnknown:
			return []any{key}
		case result.Stored == key.ran:
			return []any{keyState{ran: true}}
		}
		return nil
	},
}

// caller sends the call of one key, and repeats it at another VM until the
// outcome is known or its tries are used up.
type caller struct {
	simFleet *fleet.Fleet
	service  *fleet.Service
	call     idempotency.Call
	history  *[]porcupine.Operation
	notRun   *[]peer.ClaimID
}

// neverReturned is the return time of an operation whose caller got no
// definite answer: it may take effect at any time.
const neverReturned = int64(1) << 60

func (c *caller) tryCall(tries int) {
	ready := readyNodes(c.simFleet)
	if tries == 0 || len(ready) == 0 {
		return
	}
	node := ready[c.simFleet.Rand.IntN(len(ready))]
	at := len(*c.history)
	*c.history = append(*c.history, porcupine.Operation{
		Input: c.call.Key.Key, Call: c.simFleet.Elapsed().Nanoseconds(), Return: neverReturned,
		Output: fleet.Result{Outcome: lifecycle.OutcomeUnknown},
	})
	returned := false
	node.RunKeyed(c.call, c.service, 2*time.Second, func(result fleet.Result) {
		if result.Outcome == lifecycle.OutcomeNotRun {
			*c.notRun = append(*c.notRun, result.Claim)
		}
		if returned {
			return
		}
		returned = true
		operation := &(*c.history)[at]
		operation.Output = result
		if result.Outcome != lifecycle.OutcomeUnknown {
			operation.Return = c.simFleet.Elapsed().Nanoseconds() + 1
		}
		if result.Outcome != lifecycle.OutcomeAnswer {
			c.simFleet.After(c.simFleet.Uniform(2*time.Second), func() { c.tryCall(tries - 1) })
		}
	})
	c.simFleet.After(3*time.Second, func() {
		if !returned {
			returned = true
			c.tryCall(tries - 1)
		}
	})
}

func readyNodes(f *fleet.Fleet) []*fleet.Node {
	var ready []*fleet.Node
	for _, node := range f.All() {
		if node.Ready() {
			ready = append(ready, node)
		}
	}
	return ready
}

// newKey returns a new key. Every fourth key carries no creation time.
func newKey(f *fleet.Fleet, number int) string {
	if number%4 == 0 {
		return fmt.Sprintf("order-%d", number)
	}
	millis := f.Now().UnixMilli()
	id := uuid.UUID{byte(millis >> 40), byte(millis >> 32), byte(millis >> 24), byte(millis >> 16), byte(millis >> 8), byte(millis), 0x70, 0, 0x80}
	id[14], id[15] = byte(number>>8), byte(number)
	return id.String()
}

// injectFault starts a fault of the given kind and returns the function that
// ends it.
func injectFault(f *fleet.Fleet, kind string) func() {
	nodes := f.All()
	node := nodes[f.Rand.IntN(len(nodes))]
	switch kind {
	case "restart":
		node.Kill()
		f.After(f.Uniform(time.Second), func() {
			if !node.Up {
				node.Start()
			}
		})
	case "replace":
		f.Replace(node)
	case "pause":
		node.Pause(f.Uniform(30 * time.Second))
	case "cut":
		f.Cut = func(a, b ids.DataCentreID) bool { return a == node.VM.DataCentre || b == node.VM.DataCentre }
	case "cut platform":
		f.CutPlatform = func(id ids.DataCentreID) bool { return id == node.VM.DataCentre }
	case "lag":
		f.Platform.ListLag = func() time.Duration { return f.Uniform(10 * time.Second) }
	case "frozen list":
		f.Platform.FrozenList = max(1, node.Members.List().Revision)
	}
	return func() {
		f.Cut = func(a, b ids.DataCentreID) bool { return false }
		f.CutPlatform = func(ids.DataCentreID) bool { return false }
		f.Platform.ListLag = func() time.Duration { return 0 }
		f.Platform.FrozenList = 0
	}
}

var faultKinds = []string{"restart", "replace", "pause", "cut", "cut platform", "lag", "frozen list"}

// faultPair is two faults that overlap in time.
type faultPair struct{ first, second string }

// runResult is the result of a simulated run of the fleet: the number of calls
// that ran and the first violation, if any.
type runResult struct {
	callsRun  int
	violation string
}

// runFleet sends calls with keys while pairs of faults start and end.
func runFleet(seed uint64, pairs []faultPair, prepare func(*fleet.Node)) runResult {
	simFleet := fleet.New(fleet.Config{
		Seed: seed, Loss: 0.02, Repeat: 0.1, Prepare: prepare,
		Sites: []fleet.Site{{ID: "a", Region: "r", VMs: 2}, {ID: "b", Region: "r", VMs: 2}, {ID: "c", Region: "r", VMs: 2}, {ID: "d", Region: "r", VMs: 2}},
	})
	service := fleet.NewService()
	service.Refuse, service.LoseAnswer = 0.1, 0.1
	var history []porcupine.Operation
	var notRun []peer.ClaimID
	simFleet.StartAll(100 * time.Millisecond)
	simFleet.Run(40 * time.Second)
	keyNumber := 0
	simFleet.Every(200*time.Millisecond, func() bool {
		keyNumber++
		key := peer.IdempotencyKey{Customer: "c", Route: "book", Key: newKey(simFleet, keyNumber)}
		call := idempotency.Call{Key: key, BodyDigest: "d", Region: "r", Window: 20 * time.Second}
		(&caller{simFleet: simFleet, service: service, call: call, history: &history, notRun: &notRun}).tryCall(4)
		return simFleet.Elapsed() < 80*time.Second
	})
	for _, pair := range pairs {
		endFirst := injectFault(simFleet, pair.first)
		simFleet.Run(simFleet.Uniform(5 * time.Second))
		endSecond := injectFault(simFleet, pair.second)
		simFleet.Run(simFleet.Uniform(20 * time.Second))
		endFirst()
		endSecond()
		simFleet.Run(simFleet.Uniform(10 * time.Second))
	}
	simFleet.Run(40 * time.Second)
	return runResult{callsRun: len(service.Runs), violation: findViolation(service, notRun, history)}
}

// findViolation returns a description of the first violation in a run, or an
// empty string.
func findViolation(service *fleet.Service, notRun []peer.ClaimID, history []porcupine.Operation) string {
	ran := make(map[peer.ClaimID]bool)
	for key, claims := range service.Runs {
		if len(claims) > 1 {
			return fmt.Sprintf("key %s ran under %v", key, claims)
		}
		ran[claims[0]] = true
	}
	for _, claim := range notRun {
		if ran[claim] {
			return fmt.Sprintf("claim %v ran, but its caller was told that it did not", claim)
		}
	}
	if !porcupine.CheckOperations(runAtMostOnce.ToModel(), history) {
		return "the callers' history does not fit a key that runs once"
	}
	return ""
}

// Guards against running a call with a key twice, and against the outcome "not
// run" for a call that ran, under two faults at once and with lost and
// repeated messages.
func TestKeyedCallsRunAtMostOnceUnderTwoFaults(t *testing.T) {
	callsRun := 0
	kind := rapid.SampledFrom(faultKinds)
	pair := rapid.Custom(func(t *rapid.T) faultPair {
		return faultPair{first: kind.Draw(t, "first"), second: kind.Draw(t, "second")}
	})
	rapid.Check(t, func(t *rapid.T) {
		result := runFleet(rapid.Uint64().Draw(t, "seed"), rapid.SliceOfN(pair, 1, 3).Draw(t, "faults"), nil)
		if result.violation != "" {
			t.Fatal(result.violation)
		}
		callsRun += result.callsRun
	})
	assert.Assert(t, callsRun > 1000, "only %d calls ran, too few for the test to be meaningful", callsRun)
}

// Checks that the test above can fail: with the coverage rule of homes and the
// confirmation rule of claimers switched off, restarts in the same simulation
// make a call run twice.
func TestSimulationFindsDoubleRunsWithoutCoverage(t *testing.T) {
	disableRules := func(node *fleet.Node) {
		node.Home.SwitchOffCoverage()
		node.Claimer.SwitchOffConfirmation()
	}
	pairs := []faultPair{{"restart", "restart"}, {"replace", "restart"}, {"restart", "restart"}}
	for seed := range uint64(20) {
		if result := runFleet(seed, pairs, disableRules); result.violation != "" {
			t.Logf("seed %d: %s", seed, result.violation)
			return
		}
	}
	t.Fatal("no double run in 20 simulations with the rule off")
}

// Checks that the tests above can fail: the model rejects histories of a key
// whose call ran twice, or whose stored answer precedes every run.
func TestModelRejectsInvalidHistories(t *testing.T) {
	answer := func(at int64, stored bool) porcupine.Operation {
		return porcupine.Operation{Input: "k", Call: at, Return: at + 1, Output: fleet.Result{Outcome: lifecycle.OutcomeAnswer, Stored: stored}}
	}
	unknown := porcupine.Operation{Input: "k", Call: 0, Return: neverReturned, Output: fleet.Result{Outcome: lifecycle.OutcomeUnknown}}
	accepts := func(history ...porcupine.Operation) bool {
		return porcupine.CheckOperations(runAtMostOnce.ToModel(), history)
	}
	assert.Assert(t, accepts(answer(1, false), answer(3, true)))
	assert.Assert(t, accepts(unknown, answer(3, true)))
	assert.Assert(t, !accepts(answer(1, false), answer(3, false)))
	assert.Assert(t, !accepts(answer(1, true), answer(3, false)))
}
