package lifecycle

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// TestMain fixes the seed of rapid, so that every run gives the same result.
func TestMain(m *testing.M) { rapidtest.Main(m, 20260104, 100) }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRequest(idempotent bool) *Request {
	return New(Config{Idempotent: idempotent, Deadline: start.Add(time.Minute), MaxAttempts: 3})
}

// fakeEndpoint runs the requests that reach it and reports truthfully which
// ones did not run.
type fakeEndpoint struct{ runs int }

// handle serves one attempt with the given fault, numbered 0 to 4, and
// returns what the VM learns. 4 is no fault.
func (e *fakeEndpoint) handle(fault int) (Result, Evidence) {
	switch fault {
	case 0:
		return Failed, ConnectRefused
	case 1:
		return Failed, ReportedNotRun
	case 2:
		// The connection is lost before the endpoint reads the request.
		return Failed, NoEvidence
	}
	e.runs++
	if fault == 3 {
		// The connection is lost after the request ran.
		return Failed, NoEvidence
	}
	return Answered, NoEvidence
}

// runToEnd sends a request to an endpoint until the request has ended.
func runToEnd(r *Request, e *fakeEndpoint, faults []int) (Outcome, inferencev1.Reason) {
	for i := 0; r.State() != Ended; i++ {
		attempt, err := r.Commit(start, "e")
		if err != nil {
			break
		}
		result, evidence := e.handle(faults[i%len(faults)])
		if _, err := r.Finish(start, attempt, result, evidence); err != nil {
			break
		}
	}
	outcome, reason, _ := r.FinalOutcome()
	return outcome, reason
}

// outcomeIsTrue reports whether an outcome is correct for the number of runs.
func outcomeIsTrue(idempotent bool, outcome Outcome, runs int) bool {
	switch {
	case !idempotent && runs > 1:
		return false
	case outcome == OutcomeNotRun:
		return runs == 0
	case outcome == OutcomeAnswer:
		return runs >= 1
	}
	return outcome == OutcomeUnknown
}

// Guards against a request that runs twice although it is not idempotent, and
// against a false outcome, for any faults of the attempts.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		faults := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 5).Draw(t, "faults")
		e := &fakeEndpoint{}
		outcome, reason := runToEnd(newRequest(idempotent), e, faults)
		if !outcomeIsTrue(idempotent, outcome, e.runs) {
			t.Fatalf("outcome %d after %d runs", outcome, e.runs)
		}
		if (reason == inferencev1.Reason_REASON_UNSPECIFIED) != (outcome == OutcomeAnswer) {
			t.Fatalf("outcome %d with reason %v", outcome, reason)
		}
	})
}

// Shows for each rule which false outcome or second run it prevents.
func TestEachRulePreventsFalseOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		disable func(*rules)
		faults  []int
	}{
		{"proof for a retry", func(r *rules) { r.requireProofForRetry = false }, []int{3, 4}},
		{"proof for not run", func(r *rules) { r.requireProofForNotRun = false }, []int{3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, disable := range []bool{false, true} {
				r, e := newRequest(false), &fakeEndpoint{}
				if disable {
					test.disable(&r.rules)
				}
				outcome, _ := runToEnd(r, e, test.faults)
				assert.Equal(t, outcomeIsTrue(false, outcome, e.runs), !disable)
			}
		})
	}
}

// Guards against bytes that leave before the commit: a request that is
// dropped from the queue would be reported as not run although its bytes
// left. With the rule disabled they may leave.
func TestNoByteBeforeCommit(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		r := newRequest(false)
		r.rules.requireCommit = enabled
		sent := r.MaySend(start, 1)
		decision, err := r.Refuse(inferencev1.Reason_REASON_DEADLINE, time.Second)
		assert.NilError(t, err)
		truthful := decision.Outcome == OutcomeNotRun && !sent
		assert.Equal(t, truthful, enabled)
	}
	r := newRequest(false)
	attempt, err := r.Commit(start, "e")
	assert.NilError(t, err)
	assert.Assert(t, r.MaySend(start, attempt))
	assert.Assert(t, !r.MaySend(start.Add(time.Hour), attempt))
}

// Guards against an answer to an earlier attempt that ends a later one, and
// against calls in the wrong order.
func TestLateAndOutOfOrderCalls(t *testing.T) {
	r := newRequest(true)
	first, err := r.Commit(start, "e")
	assert.NilError(t, err)
	_, err = r.Commit(start, "e")
	assert.Assert(t, errors.As(err, new(*StateError)))
	decision, err := r.Finish(start, first, Failed, NoEvidence)
	assert.NilError(t, err)
	assert.Assert(t, decision.Retry && decision.AvoidEndpoint == "e")
	second, err := r.Commit(start, "f")
	assert.NilError(t, err)
	_, err = r.Finish(start, first, Answered, NoEvidence)
	assert.Assert(t, err != nil && !r.MaySend(start, first))
	r.MarkAnswerStarted()
	decision, err = r.Finish(start, second, Failed, NoEvidence)
	assert.NilError(t, err)
	assert.Assert(t, !decision.Retry && decision.Outcome == OutcomeUnknown)
	_, err = r.Commit(start, "g")
	assert.Assert(t, err != nil)
}

// Guards against attempts that start after the deadline.
func TestDeadline(t *testing.T) {
	r := newRequest(true)
	_, err := r.Commit(start.Add(time.Minute), "e")
	assert.Assert(t, errors.As(err, new(*DeadlineError)))
	decision, err := r.Refuse(inferencev1.Reason_REASON_DEADLINE, 0)
	assert.NilError(t, err)
	assert.Equal(t, decision.Outcome.Proto(), inferencev1.Outcome_OUTCOME_NOT_RUN)
}
