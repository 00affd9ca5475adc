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

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
func TestMain(m *testing.M) { rapidtest.Main(m, 20260104, 100) }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(idempotent bool) *Request {
	return New(Config{Idempotent: idempotent, Deadline: start.Add(time.Minute), MaxAttempts: 3})
}

// endpoint is a fake endpoint: it runs what reaches it, and tells the truth
// about what did not run.
type endpoint struct{ runs int }

// take handles one sending of a request and returns what the VM learns.
func (e *endpoint) take(fault int) (Result, Evidence) {
	switch fault {
	case 0:
		return Failed, ConnectRefused
	case 1:
		return Failed, SaidNotRun
	case 2:
		// The connection is lost before the endpoint reads the request.
		return Failed, NoEvidence
	}
	e.runs++
	if fault == 3 {
		// The connection is lost after the run.
		return Failed, NoEvidence
	}
	return Answered, NoEvidence
}

// drive runs a request against an endpoint until it ends.
func drive(r *Request, e *endpoint, faults []int) (Outcome, inferencev1.Reason) {
	for i := 0; r.State() != Ended; i++ {
		attempt, err := r.Commit(start, "e")
		if err != nil {
			break
		}
		result, evidence := e.take(faults[i%len(faults)])
		if _, err := r.Finish(start, attempt, result, evidence); err != nil {
			break
		}
	}
	outcome, reason, _ := r.Ending()
	return outcome, reason
}

// holds tells whether an ending is truthful about the runs.
func holds(idempotent bool, outcome Outcome, runs int) bool {
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

// Guards against a doubled run, and against an untrue outcome, whatever the
// faults of the attempts.
func TestEndingsAreTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		faults := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 5).Draw(t, "faults")
		e := &endpoint{}
		outcome, reason := drive(request(idempotent), e, faults)
		if !holds(idempotent, outcome, e.runs) {
			t.Fatalf("outcome %d after %d runs", outcome, e.runs)
		}
		if (reason == inferencev1.Reason_REASON_UNSPECIFIED) != (outcome == OutcomeAnswer) {
			t.Fatalf("outcome %d with reason %v", outcome, reason)
		}
	})
}

// Shows for each rule what it prevents.
func TestEachRulePreventsAnUntruth(t *testing.T) {
	tests := []struct {
		name   string
		off    func(*rules)
		faults []int
	}{
		{"proof for a retry", func(r *rules) { r.proofForRetry = false }, []int{3, 4}},
		{"proof for not run", func(r *rules) { r.proofForNotRun = false }, []int{3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, off := range []bool{false, true} {
				r, e := request(false), &endpoint{}
				if off {
					test.off(&r.rules)
				}
				outcome, _ := drive(r, e, test.faults)
				assert.Equal(t, holds(false, outcome, e.runs), !off)
			}
		})
	}
}

// Guards against bytes that leave before the commit: a request that is shed
// from the queue would be reported as not run although its bytes left. With
// the rule off they may leave.
func TestNoByteBeforeCommit(t *testing.T) {
	for _, on := range []bool{true, false} {
		r := request(false)
		r.rules.commitFirst = on
		sent := r.MaySend(start, 1)
		decision, err := r.Refuse(inferencev1.Reason_REASON_DEADLINE, time.Second)
		assert.NilError(t, err)
		truthful := decision.Outcome == OutcomeNotRun && !sent
		assert.Equal(t, truthful, on)
	}
	r := request(false)
	attempt, err := r.Commit(start, "e")
	assert.NilError(t, err)
	assert.Assert(t, r.MaySend(start, attempt))
	assert.Assert(t, !r.MaySend(start.Add(time.Hour), attempt))
}

// Guards against answers of an earlier attempt that end a later one, and
// against steps out of order.
func TestLateAndDisorderedSteps(t *testing.T) {
	r := request(true)
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
	r.PassedOn()
	decision, err = r.Finish(start, second, Failed, NoEvidence)
	assert.NilError(t, err)
	assert.Assert(t, !decision.Retry && decision.Outcome == OutcomeUnknown)
	_, err = r.Commit(start, "g")
	assert.Assert(t, err != nil)
}

// Guards against attempts after the deadline.
func TestDeadline(t *testing.T) {
	r := request(true)
	_, err := r.Commit(start.Add(time.Minute), "e")
	assert.Assert(t, errors.As(err, new(*DeadlineError)))
	decision, err := r.Refuse(inferencev1.Reason_REASON_DEADLINE, 0)
	assert.NilError(t, err)
	assert.Equal(t, decision.Outcome.Proto(), inferencev1.Outcome_OUTCOME_NOT_RUN)
}
