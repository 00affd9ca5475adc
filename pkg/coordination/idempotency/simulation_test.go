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

// TestMain fixes the seed of rapid, so that every run gives the same verdict,
// unless the command line gives another one.
func TestMain(m *testing.M) { rapidtest.Main(m, 20260102, 12) }

// keyState is what the model knows of one key.
type keyState struct{ ran bool }

// runAtMostOnce is a key as an object whose call runs once: a fresh answer
// needs that it has not run, a stored one that it has, "unknown" may be
// either, "not run" changes nothing.
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

// caller sends the call of one key, again to another VM until it knows the
// outcome or gives up.
type caller struct {
	f       *fleet.Fleet
	service *fleet.Service
	call    idempotency.Call
	history *[]porcupine.Operation
	notRun  *[]peer.ClaimID
}

// forever is the end of an operation whose caller heard nothing: it may take
// effect at any time.
const forever = int64(1) << 60

func (c *caller) try(tries int) {
	ready := readyNodes(c.f)
	if tries == 0 || len(ready) == 0 {
		return
	}
	node := ready[c.f.Rand.IntN(len(ready))]
	at := len(*c.history)
	*c.history = append(*c.history, porcupine.Operation{
		Input: c.call.Key.Key, Call: c.f.Elapsed().Nanoseconds(), Return: forever,
		Output: fleet.Result{Outcome: lifecycle.OutcomeUnknown},
	})
	heard := false
	node.RunKeyed(c.call, c.service, 2*time.Second, func(result fleet.Result) {
		if result.Outcome == lifecycle.OutcomeNotRun {
			*c.notRun = append(*c.notRun, result.Claim)
		}
		if heard {
			return
		}
		heard = true
		operation := &(*c.history)[at]
		operation.Output = result
		if result.Outcome != lifecycle.OutcomeUnknown {
			operation.Return = c.f.Elapsed().Nanoseconds() + 1
		}
		if result.Outcome != lifecycle.OutcomeAnswer {
			c.f.After(c.f.Uniform(2*time.Second), func() { c.try(tries - 1) })
		}
	})
	c.f.After(3*time.Second, func() {
		if !heard {
			heard = true
			c.try(tries - 1)
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

// newKey returns a key: most carry their creation time, some do not.
func newKey(f *fleet.Fleet, number int) string {
	if number%4 == 0 {
		return fmt.Sprintf("order-%d", number)
	}
	millis := f.Now().UnixMilli()
	id := uuid.UUID{byte(millis >> 40), byte(millis >> 32), byte(millis >> 24), byte(millis >> 16), byte(millis >> 8), byte(millis), 0x70, 0, 0x80}
	id[14], id[15] = byte(number>>8), byte(number)
	return id.String()
}

// oneFault starts a fault and returns what ends it.
func oneFault(f *fleet.Fleet, kind string) func() {
	up := f.All()
	node := up[f.Rand.IntN(len(up))]
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

// faultPair is two faults that overlap.
type faultPair struct{ first, second string }

// finding is what a run of the fleet showed.
type finding struct {
	ran     int
	problem string
}

// runFleet sends keyed calls while pairs of faults come and go.
func runFleet(seed uint64, pairs []faultPair, prepare func(*fleet.Node)) finding {
	f := fleet.New(fleet.Config{
		Seed: seed, Loss: 0.02, Repeat: 0.1, Prepare: prepare,
		Sites: []fleet.Site{{ID: "a", Region: "r", VMs: 2}, {ID: "b", Region: "r", VMs: 2}, {ID: "c", Region: "r", VMs: 2}, {ID: "d", Region: "r", VMs: 2}},
	})
	service := fleet.NewService()
	service.Refuse, service.LoseAnswer = 0.1, 0.1
	var history []porcupine.Operation
	var notRun []peer.ClaimID
	f.StartAll(100 * time.Millisecond)
	f.Run(40 * time.Second)
	number := 0
	f.Every(200*time.Millisecond, func() bool {
		number++
		key := peer.IdempotencyKey{Customer: "c", Route: "book", Key: newKey(f, number)}
		call := idempotency.Call{Key: key, BodyDigest: "d", Region: "r", Window: 20 * time.Second}
		(&caller{f: f, service: service, call: call, history: &history, notRun: &notRun}).try(4)
		return f.Elapsed() < 80*time.Second
	})
	for _, pair := range pairs {
		endFirst := oneFault(f, pair.first)
		f.Run(f.Uniform(5 * time.Second))
		endSecond := oneFault(f, pair.second)
		f.Run(f.Uniform(20 * time.Second))
		endFirst()
		endSecond()
		f.Run(f.Uniform(10 * time.Second))
	}
	f.Run(40 * time.Second)
	return finding{ran: len(service.Runs), problem: judge(service, notRun, history)}
}

// judge returns what is wrong with the outcome of a run, or nothing.
func judge(service *fleet.Service, notRun []peer.ClaimID, history []porcupine.Operation) string {
	ran := make(map[peer.ClaimID]bool)
	for key, claims := range service.Runs {
		if len(claims) > 1 {
			return fmt.Sprintf("key %s ran under %v", key, claims)
		}
		ran[claims[0]] = true
	}
	for _, claim := range notRun {
		if ran[claim] {
			return fmt.Sprintf("claim %v ran and its caller was told that it did not", claim)
		}
	}
	if !porcupine.CheckOperations(runAtMostOnce.ToModel(), history) {
		return "the callers' history does not fit a key that runs once"
	}
	return ""
}

// Guards against a doubled run of a keyed call, and against "not run" said of
// a call that ran, under two faults at once, lost and repeated messages.
func TestKeyedCallsRunAtMostOnceUnderTwoFaults(t *testing.T) {
	ran := 0
	kind := rapid.SampledFrom(faultKinds)
	pair := rapid.Custom(func(t *rapid.T) faultPair {
		return faultPair{first: kind.Draw(t, "first"), second: kind.Draw(t, "second")}
	})
	rapid.Check(t, func(t *rapid.T) {
		found := runFleet(rapid.Uint64().Draw(t, "seed"), rapid.SliceOfN(pair, 1, 3).Draw(t, "faults"), nil)
		if found.problem != "" {
			t.Fatal(found.problem)
		}
		ran += found.ran
	})
	assert.Assert(t, ran > 1000, "only %d calls ran, the test shows little", ran)
}

// Guards the test above: with the coverage of homes switched off, restarts
// within the same simulation double a run.
func TestTheFleetShowsDoubledRunsWithoutCoverage(t *testing.T) {
	off := func(node *fleet.Node) {
		node.Home.SwitchOffCoverage()
		node.Claimer.SwitchOffConfirmation()
	}
	pairs := []faultPair{{"restart", "restart"}, {"replace", "restart"}, {"restart", "restart"}}
	for seed := range uint64(20) {
		if found := runFleet(seed, pairs, off); found.problem != "" {
			t.Logf("seed %d: %s", seed, found.problem)
			return
		}
	}
	t.Fatal("no doubled run in 20 simulations with the rule off")
}

// Guards the tests above: histories of a key that ran twice, or whose stored
// answer comes from nowhere, are found.
func TestTheModelFindsUntrueHistories(t *testing.T) {
	answer := func(at int64, stored bool) porcupine.Operation {
		return porcupine.Operation{Input: "k", Call: at, Return: at + 1, Output: fleet.Result{Outcome: lifecycle.OutcomeAnswer, Stored: stored}}
	}
	unknown := porcupine.Operation{Input: "k", Call: 0, Return: forever, Output: fleet.Result{Outcome: lifecycle.OutcomeUnknown}}
	fits := func(history ...porcupine.Operation) bool {
		return porcupine.CheckOperations(runAtMostOnce.ToModel(), history)
	}
	assert.Assert(t, fits(answer(1, false), answer(3, true)))
	assert.Assert(t, fits(unknown, answer(3, true)))
	assert.Assert(t, !fits(answer(1, false), answer(3, false)))
	assert.Assert(t, !fits(answer(1, true), answer(3, false)))
}
