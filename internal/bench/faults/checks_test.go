package faults

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// goodRun is a history without a violation: one answered generation, one
// answered service call.
func goodRun() *Observations {
	model := ids.AdapterRef{Adapter: "a", Version: 2}.String()
	return &Observations{
		Events: []Event{
			{ID: "g", VM: "vm1", Customer: tightCustomer, Key: spareKey, Start: at(0), End: at(1), Result: ResultAnswer,
				Adapter: "a", Version: 2, Answered: 2, Prompt: "p", MaxTokens: 4, Tokens: 4, Text: engine.GeneratedText(model, "p", 4)},
			{ID: "s", VM: "vm1", Start: at(0), End: at(1), Result: ResultAnswer, Order: "o", AnsweredOrder: "o"},
		},
		EngineRuns:  map[ids.EndpointID][]engine.Run{"e": {{RequestID: "g", Model: model, Prompt: "p", At: at(0.5)}}},
		ServiceRuns: map[ids.EndpointID][]service.Run{"s": {{RequestID: "s", Body: "o", At: at(0.5)}}},
		Violations:  map[ids.EndpointID][]engine.Violation{},
		Isolated:    map[ids.VMID]bool{},
		Fencing:     map[ids.EndpointID]bool{},
		Pages:       map[ids.VMID]string{},
	}
}

// Guards against checks that find fault with a correct history.
func TestCorrectHistoryHasNoViolation(t *testing.T) {
	assert.DeepEqual(t, Check(goodRun()), []Violation(nil))
}

// Guards against a check that cannot fail: each history breaks one promise.
func TestEachCheckFindsItsViolation(t *testing.T) {
	tests := []struct {
		promise Promise
		name    string
		spoil   func(*Observations)
	}{
		{PromiseVersion, "run on another version", func(o *Observations) { o.EngineRuns["e"][0].Model = "a@1" }},
		{PromiseVersion, "answer of another version", func(o *Observations) {
			o.Events[0].Answered = 1
			o.Events[0].Text = engine.GeneratedText("a@1", "p", 4)
		}},
		{PromiseNoEvict, "eviction", func(o *Observations) {
			o.Violations["e"] = []engine.Violation{{Kind: engine.ViolationEvictedServing}}
		}},
		{PromiseCustomer, "run without a caller", func(o *Observations) { o.EngineRuns["e"][0].Prompt = "x" }},
		{PromiseCustomer, "run with the key of nobody", func(o *Observations) { o.Events[0].Key = wrongKey }},
		{PromiseKeyHidden, "key in a header", func(o *Observations) {
			o.EngineRuns["e"][0].Header = http.Header{"X": {"Bearer " + spareKey}}
		}},
		{PromiseKeyHidden, "key in a log", func(o *Observations) { o.Pages["vm1"] = "key " + keyOf(wideCustomer) }},
		{PromiseKeyHidden, "key in an error", func(o *Observations) { o.Events[1].Detail = spareKey }},
		{PromiseWithdrawn, "run after withdrawal", func(o *Observations) {
			o.Withdrawals = []Withdrawal{{At: at(-10), Key: spareKey}}
		}},
		{PromiseRate, "tokens above the burst", func(o *Observations) { o.Events[0].Tokens = tightBurst + tightRate }},
		{PromiseWhole, "partial text", func(o *Observations) { o.Events[0].Text = "x" }},
		{PromiseWhole, "answer to another call", func(o *Observations) { o.Events[1].AnsweredOrder = "other" }},
		{PromiseNotRun, "run reported as not run", func(o *Observations) { o.Events[0].Result = ResultNotRun }},
		{PromiseNotRun, "call reported as not run", func(o *Observations) { o.Events[1].Result = ResultNotRun }},
		{PromiseOnce, "call that ran twice", func(o *Observations) {
			o.ServiceRuns["other"] = []service.Run{{RequestID: "s2", Body: "o"}}
		}},
		{PromiseLeaving, "run on a leaving endpoint", func(o *Observations) {
			o.Withdrawals = []Withdrawal{{At: at(-10), Endpoint: "e"}}
		}},
		{PromiseDrain, "request cut by a drain", func(o *Observations) {
			o.Drains = []Drain{{VM: "vm1", At: at(0.5)}}
			o.Events[1].Result = ResultBroken
		}},
		{PromiseForce, "revision that went back", func(o *Observations) {
			o.Samples = []Sample{{At: at(0), VM: "vm1", Revision: 5}, {At: at(1), VM: "vm1", Revision: 4}}
		}},
		{PromiseForce, "record not in force in time", func(o *Observations) {
			o.Publications = []Publication{{At: at(0), Revision: 9}}
			o.Samples = []Sample{{At: at(13), VM: "vm1", Ready: true, Revision: 8}}
		}},
		{PromiseForce, "restart with an old view", func(o *Observations) {
			o.Samples = []Sample{{At: at(0), VM: "vm1", Ready: true, Revision: 9}, {At: at(20), VM: "vm2", Ready: true, Revision: 3}}
		}},
		{PromiseStoreLimit, "loads above the rate", func(o *Observations) { o.Store.OverRate = 1 }},
		{PromiseStoreLimit, "loads above the limit in flight", func(o *Observations) { o.Store.OverInFlight = 1 }},
		{PromiseStoreLimit, "old order carried out", func(o *Observations) {
			o.Violations["e"] = []engine.Violation{{Kind: engine.ViolationStaleOrder}}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			observed := goodRun()
			test.spoil(observed)
			found := Check(observed)
			assert.Assert(t, len(found) > 0, "the violation was not found")
			for _, violation := range found {
				assert.Equal(t, violation.Promise, test.promise, violation.Detail)
			}
		})
	}
}

// Guards against findings on changes that no VM could read, and against
// passing over changes that VMs could read again after an outage.
func TestOutageMovesTheBoundOfAWithdrawal(t *testing.T) {
	observed := goodRun()
	observed.Withdrawals = []Withdrawal{{At: at(-10), Key: spareKey}}
	observed.Outages = []Outage{{From: at(-11), Until: at(-4)}}
	assert.Equal(t, len(Check(observed)), 0)
	observed.Outages = []Outage{{From: at(-11), Until: at(-6)}}
	assert.Equal(t, len(Check(observed)), 1)
}

// Guards against a window check that misses excess inside a long history.
func TestLargestExcessFindsTheWorstWindow(t *testing.T) {
	spent := []spend{{at(0), 10}, {at(100), 10}, {at(100.5), 10}, {at(200), 5}}
	excess, when := largestExcess(spent, 1, 15, 0)
	assert.Equal(t, excess, 4.5)
	assert.Equal(t, when, at(100.5))
	excess, _ = largestExcess(spent, 1, 15, 5*time.Second)
	assert.Equal(t, excess, 0.0)
}
