// Package lifecycle is the state machine of one request: queued, committed,
// ended. It decides whether a request may be sent again after an attempt
// failed, and what its caller is told.
//
// A request is committed before the first byte may leave the VM. From then on
// only proof by the endpoint, or the request being idempotent, allows another
// attempt, and "not run" is said only when every attempt was proved not to
// have run.
package lifecycle

import (
	"fmt"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// State is how far a request has come.
type State uint8

// The states of a request.
const (
	Queued State = iota
	Committed
	Ended
)

func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Committed:
		return "committed"
	default:
		return "ended"
	}
}

// Evidence is what an attempt showed about whether the request ran.
type Evidence uint8

// The kinds of evidence.
const (
	// NoEvidence: bytes may have left and nothing proves what happened: the
	// connection was lost, timed out or answered with an error.
	NoEvidence Evidence = iota
	// ConnectRefused: no connection came about, so no byte left.
	ConnectRefused
	// ModelUnknown: the engine answered 404, it has no such adapter version.
	ModelUnknown
	// FenceRefused: the endpoint answered 409.
	FenceRefused
	// SaidNotRun: the endpoint answered 503 with the header Not-Run: true.
	SaidNotRun
	// NotSent: the VM itself gave up between commit and the first byte.
	NotSent
)

// ProvesNotRun tells whether the evidence proves that the attempt did not run.
func (e Evidence) ProvesNotRun() bool { return e != NoEvidence }

// Result is the end of one attempt.
type Result uint8

// The results of an attempt.
const (
	// Answered: a complete answer came, whatever its status.
	Answered Result = iota
	// Failed: no complete answer came.
	Failed
)

// Outcome is what the caller is told.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomePending Outcome = iota
	OutcomeAnswer
	OutcomeNotRun
	OutcomeUnknown
)

// Proto returns the outcome as errors to callers carry it.
func (o Outcome) Proto() inferencev1.Outcome {
	switch o {
	case OutcomeNotRun:
		return inferencev1.Outcome_OUTCOME_NOT_RUN
	case OutcomeUnknown:
		return inferencev1.Outcome_OUTCOME_UNKNOWN
	default:
		return inferencev1.Outcome_OUTCOME_UNSPECIFIED
	}
}

// Config is what the decisions depend on.
type Config struct {
	// Idempotent requests may be sent again without proof until a part of the
	// answer was passed on.
	Idempotent bool
	// Deadline ends the request; no attempt starts after it.
	Deadline time.Time
	// MaxAttempts bounds the attempts; at least 1.
	MaxAttempts int
}

// rules can be switched off by tests to show what each of them prevents.
type rules struct {
	// commitFirst demands the commit before an attempt's first byte.
	commitFirst bool
	// proofForRetry demands proof before a request that is not idempotent is
	// sent again.
	proofForRetry bool
	// proofForNotRun demands proof for every attempt before "not run".
	proofForNotRun bool
}

// Attempt names one sending of a request, from 1.
type Attempt int

// Request is the state of one request. It belongs to one goroutine.
type Request struct {
	rules      rules
	config     Config
	state      State
	attempt    Attempt
	open       bool
	endpoint   ids.EndpointID
	passedOn   bool
	unproved   int
	outcome    Outcome
	reason     inferencev1.Reason
	retryAfter time.Duration
}

// New returns a queued request.
func New(config Config) *Request {
	config.MaxAttempts = max(config.MaxAttempts, 1)
	return &Request{
		rules:  rules{commitFirst: true, proofForRetry: true, proofForNotRun: true},
		config: config,
	}
}

// StateError tells that a step does not fit the request's state.
type StateError struct {
	Step  string
	State State
}

func (e *StateError) Error() string {
	return fmt.Sprintf("request lifecycle: %s is not allowed in state %s", e.Step, e.State)
}

// DeadlineError tells that the deadline has passed.
type DeadlineError struct{ Late time.Duration }

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("request lifecycle: deadline passed %s ago", e.Late)
}

// State returns how far the request has come.
func (r *Request) State() State { return r.state }

// Attempts returns how many attempts were committed.
func (r *Request) Attempts() int { return int(r.attempt) }

// Endpoint returns the endpoint of the last attempt.
func (r *Request) Endpoint() ids.EndpointID { return r.endpoint }

// Ending returns the outcome and the reason of an ended request.
func (r *Request) Ending() (Outcome, inferencev1.Reason, time.Duration) {
	return r.outcome, r.reason, r.retryAfter
}

// Commit starts an attempt. Only after it returned without error may a byte of
// the request leave for the endpoint.
func (r *Request) Commit(now time.Time, endpoint ids.EndpointID) (Attempt, error) {
	if r.state == Ended || r.open {
		return 0, &StateError{Step: "commit", State: r.state}
	}
	if late := now.Sub(r.config.Deadline); late >= 0 {
		return 0, &DeadlineError{Late: late}
	}
	r.state = Committed
	r.open = true
	r.attempt++
	r.endpoint = endpoint
	r.unproved++
	return r.attempt, nil
}

// MaySend tells whether bytes of an attempt may leave. It is asked right
// before each write of the request.
func (r *Request) MaySend(now time.Time, attempt Attempt) bool {
	if !r.rules.commitFirst {
		return true
	}
	return r.state == Committed && r.open && attempt == r.attempt && now.Before(r.config.Deadline)
}

// PassedOn records that a part of the answer reached the caller. From then on
// the request is never sent again.
func (r *Request) PassedOn() { r.passedOn = true }

// Decision tells what follows the end of an attempt.
type Decision struct {
	// Retry tells that the request may be committed again, on any endpoint.
	Retry bool
	// AvoidEndpoint tells that the retry should go elsewhere or on a new
	// connection.
	AvoidEndpoint ids.EndpointID
	// Outcome and Reason are set when the request ended.
	Outcome Outcome
	Reason  inferencev1.Reason
}

// Finish records the end of an attempt and decides what follows. A late end of
// an earlier attempt changes nothing.
func (r *Request) Finish(now time.Time, attempt Attempt, result Result, evidence Evidence) (Decision, error) {
	if r.state != Committed || !r.open || attempt != r.attempt {
		return Decision{}, &StateError{Step: "finish", State: r.state}
	}
	r.open = false
	if result == Answered {
		return r.end(OutcomeAnswer, inferencev1.Reason_REASON_UNSPECIFIED, 0), nil
	}
	if evidence.ProvesNotRun() {
		r.unproved--
	}
	if r.mayRetry(now, evidence) {
		return Decision{Retry: true, AvoidEndpoint: r.endpoint}, nil
	}
	return r.end(r.failedOutcome(), reasonOf(evidence, now, r.config.Deadline), 0), nil
}

// mayRetry tells whether a failed attempt may be followed by another one.
func (r *Request) mayRetry(now time.Time, evidence Evidence) bool {
	if r.passedOn || r.Attempts() >= r.config.MaxAttempts || !now.Before(r.config.Deadline) {
		return false
	}
	if !r.rules.proofForRetry {
		return true
	}
	return r.config.Idempotent || evidence.ProvesNotRun()
}

// failedOutcome tells what a caller hears when no attempt was answered.
func (r *Request) failedOutcome() Outcome {
	if r.unproved > 0 && r.rules.proofForNotRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// Refuse ends a request between attempts: in the queue, or when after a
// retry decision no endpoint can be had.
func (r *Request) Refuse(reason inferencev1.Reason, retryAfter time.Duration) (Decision, error) {
	if r.state == Ended || r.open {
		return Decision{}, &StateError{Step: "refuse", State: r.state}
	}
	return r.end(r.failedOutcome(), reason, retryAfter), nil
}

// Known ends a queued request whose answer or outcome is known from an earlier
// call with the same idempotency key.
func (r *Request) Known(outcome Outcome, reason inferencev1.Reason) (Decision, error) {
	if r.state != Queued {
		return Decision{}, &StateError{Step: "known outcome", State: r.state}
	}
	return r.end(outcome, reason, 0), nil
}

// Abandon ends a request whose caller is gone.
func (r *Request) Abandon() Decision {
	if r.state == Ended {
		return Decision{Outcome: r.outcome, Reason: r.reason}
	}
	r.open = false
	return r.end(r.failedOutcome(), inferencev1.Reason_REASON_DEADLINE, 0)
}

func (r *Request) end(outcome Outcome, reason inferencev1.Reason, retryAfter time.Duration) Decision {
	r.state = Ended
	r.outcome = outcome
	r.reason = reason
	r.retryAfter = retryAfter
	return Decision{Outcome: outcome, Reason: reason}
}

// reasonOf maps the evidence of the last attempt to the reason for callers.
func reasonOf(evidence Evidence, now, deadline time.Time) inferencev1.Reason {
	if !now.Before(deadline) {
		return inferencev1.Reason_REASON_DEADLINE
	}
	switch evidence {
	case NoEvidence:
		return inferencev1.Reason_REASON_CONNECTION_LOST
	case ConnectRefused, NotSent:
		return inferencev1.Reason_REASON_NO_ENDPOINT
	default:
		return inferencev1.Reason_REASON_ENDPOINT_FAILED
	}
}
