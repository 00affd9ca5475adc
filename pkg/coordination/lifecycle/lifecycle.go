// Package lifecycle is the state machine of one request: queued, committed,
// ended. From the results of the attempts it decides whether the request may
// be sent again, and which outcome its caller is told. Package daemon calls
// it for every request.
//
// A request is committed before its first byte may leave the VM. From then on
// another attempt is allowed only if the endpoint proved that the request did
// not run, or if the request is idempotent. "Not run" is reported only if
// every attempt was proved not to have run.
package lifecycle

import (
	"fmt"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// State is the stage of a request.
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

// Evidence is what a failed attempt showed about whether the request ran.
type Evidence uint8

// The kinds of evidence.
const (
	// NoEvidence: bytes may have left and nothing proves whether the request
	// ran, because the connection was lost, timed out or answered with an
	// error.
	NoEvidence Evidence = iota
	// ConnectRefused: no connection was established, so no byte left.
	ConnectRefused
	// ModelUnknown: the engine answered 404 because it does not have the
	// adapter version.
	ModelUnknown
	// FenceRefused: the endpoint answered 409 because of the fencing token.
	FenceRefused
	// ReportedNotRun: the endpoint answered 503 with the header Not-Run:
	// true.
	ReportedNotRun
	// NotSent: this VM gave up between the commit and the first byte.
	NotSent
)

// ProvesNotRun reports whether the evidence proves that the attempt did not
// run.
func (e Evidence) ProvesNotRun() bool { return e != NoEvidence }

// Result tells whether an attempt ended with a complete answer.
type Result uint8

// The results of an attempt.
const (
	// Answered: a complete answer arrived, whatever its status.
	Answered Result = iota
	// Failed: no complete answer arrived.
	Failed
)

// Outcome is what the caller is told about the request.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomePending Outcome = iota
	OutcomeAnswer
	OutcomeNotRun
	OutcomeUnknown
)

// Proto returns the outcome as it is encoded in errors to callers.
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

// Config holds the properties of a request that the decisions depend on.
type Config struct {
	// Idempotent requests may be sent again without proof until a part of the
	// answer has reached the caller.
	Idempotent bool
	// Deadline is when the request ends; no attempt starts at or after it.
	Deadline time.Time
	// MaxAttempts limits the number of attempts; New raises it to at least 1.
	MaxAttempts int
}

// rules holds the protections that tests switch off to show what each one
// prevents.
type rules struct {
	// requireCommit requires a commit before the first byte of an attempt.
	requireCommit bool
	// requireProofForRetry requires proof that a request did not run before
	// it is sent again, unless it is idempotent.
	requireProofForRetry bool
	// requireProofForNotRun requires proof for every attempt before "not run"
	// is reported.
	requireProofForNotRun bool
}

// Attempt is the number of an attempt of a request, counted from 1.
type Attempt int

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	rules   rules
	config  Config
	state   State
	attempt Attempt
	// attemptOpen is set from Commit until Finish or Abandon.
	attemptOpen bool
	endpoint    ids.EndpointID
	// answerStarted is set once a part of the answer has reached the caller.
	answerStarted bool
	// unprovenAttempts counts the attempts without proof that they did not
	// run.
	unprovenAttempts int
	outcome          Outcome
	reason           inferencev1.Reason
	retryAfter       time.Duration
}

// New returns a queued request.
func New(config Config) *Request {
	config.MaxAttempts = max(config.MaxAttempts, 1)
	return &Request{
		rules:  rules{requireCommit: true, requireProofForRetry: true, requireProofForNotRun: true},
		config: config,
	}
}

// StateError reports a call that the request's state does not allow.
type StateError struct {
	Step  string
	State State
}

func (e *StateError) Error() string {
	return fmt.Sprintf("request lifecycle: %s is not allowed in state %s", e.Step, e.State)
}

// DeadlineError reports that the deadline has passed.
type DeadlineError struct{ Late time.Duration }

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("request lifecycle: deadline passed %s ago", e.Late)
}

// State returns the state of the request.
func (r *Request) State() State { return r.state }

// Attempts returns how many attempts were committed.
func (r *Request) Attempts() int { return int(r.attempt) }

// Endpoint returns the endpoint of the last attempt.
func (r *Request) Endpoint() ids.EndpointID { return r.endpoint }

// FinalOutcome returns the outcome, the reason and the retry delay of a
// request that has ended.
func (r *Request) FinalOutcome() (Outcome, inferencev1.Reason, time.Duration) {
	return r.outcome, r.reason, r.retryAfter
}

// Commit starts an attempt. No byte of the request may leave for the endpoint
// until Commit has returned without an error.
func (r *Request) Commit(now time.Time, endpoint ids.EndpointID) (Attempt, error) {
	if r.state == Ended || r.attemptOpen {
		return 0, &StateError{Step: "commit", State: r.state}
	}
	if late := now.Sub(r.config.Deadline); late >= 0 {
		return 0, &DeadlineError{Late: late}
	}
	r.state = Committed
	r.attemptOpen = true
	r.attempt++
	r.endpoint = endpoint
	r.unprovenAttempts++
	return r.attempt, nil
}

// MaySend reports whether bytes of an attempt may be sent. The caller checks
// it right before each write of the request.
func (r *Request) MaySend(now time.Time, attempt Attempt) bool {
	if !r.rules.requireCommit {
		return true
	}
	return r.state == Committed && r.attemptOpen && attempt == r.attempt && now.Before(r.config.Deadline)
}

// MarkAnswerStarted records that a part of the answer reached the caller.
// From then on the request is never sent again.
func (r *Request) MarkAnswerStarted() { r.answerStarted = true }

// Decision is what to do after an attempt or a request has ended.
type Decision struct {
	// Retry reports that the request may be committed again, on any endpoint.
	Retry bool
	// AvoidEndpoint is the endpoint of the failed attempt. The retry should
	// use another endpoint or a new connection.
	AvoidEndpoint ids.EndpointID
	// Outcome and Reason are set if the request has ended.
	Outcome Outcome
	Reason  inferencev1.Reason
}

// Finish records the end of an attempt and returns what to do next. The late
// end of an earlier attempt changes nothing and returns a StateError.
func (r *Request) Finish(now time.Time, attempt Attempt, result Result, evidence Evidence) (Decision, error) {
	if r.state != Committed || !r.attemptOpen || attempt != r.attempt {
		return Decision{}, &StateError{Step: "finish", State: r.state}
	}
	r.attemptOpen = false
	if result == Answered {
		return r.end(OutcomeAnswer, inferencev1.Reason_REASON_UNSPECIFIED, 0), nil
	}
	if evidence.ProvesNotRun() {
		r.unprovenAttempts--
	}
	if r.mayRetry(now, evidence) {
		return Decision{Retry: true, AvoidEndpoint: r.endpoint}, nil
	}
	return r.end(r.failedOutcome(), reasonFor(evidence, now, r.config.Deadline), 0), nil
}

// mayRetry reports whether another attempt may follow a failed one.
func (r *Request) mayRetry(now time.Time, evidence Evidence) bool {
	if r.answerStarted || r.Attempts() >= r.config.MaxAttempts || !now.Before(r.config.Deadline) {
		return false
	}
	if !r.rules.requireProofForRetry {
		return true
	}
	return r.config.Idempotent || evidence.ProvesNotRun()
}

// failedOutcome returns the outcome that the caller is told if no attempt was
// answered.
func (r *Request) failedOutcome() Outcome {
	if r.unprovenAttempts > 0 && r.rules.requireProofForNotRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// Refuse ends a request between attempts: while it is queued, or when no
// endpoint is available for a retry.
func (r *Request) Refuse(reason inferencev1.Reason, retryAfter time.Duration) (Decision, error) {
	if r.state == Ended || r.attemptOpen {
		return Decision{}, &StateError{Step: "refuse", State: r.state}
	}
	return r.end(r.failedOutcome(), reason, retryAfter), nil
}

// EndWithKnownOutcome ends a queued request whose outcome is known from an
// earlier call with the same idempotency key.
func (r *Request) EndWithKnownOutcome(outcome Outcome, reason inferencev1.Reason) (Decision, error) {
	if r.state != Queued {
		return Decision{}, &StateError{Step: "known outcome", State: r.state}
	}
	return r.end(outcome, reason, 0), nil
}

// Abandon ends a request whose caller has disconnected.
func (r *Request) Abandon() Decision {
	if r.state == Ended {
		return Decision{Outcome: r.outcome, Reason: r.reason}
	}
	r.attemptOpen = false
	return r.end(r.failedOutcome(), inferencev1.Reason_REASON_DEADLINE, 0)
}

func (r *Request) end(outcome Outcome, reason inferencev1.Reason, retryAfter time.Duration) Decision {
	r.state = Ended
	r.outcome = outcome
	r.reason = reason
	r.retryAfter = retryAfter
	return Decision{Outcome: outcome, Reason: reason}
}

// reasonFor maps the evidence of the last attempt to the reason that the
// caller is told.
func reasonFor(evidence Evidence, now, deadline time.Time) inferencev1.Reason {
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
