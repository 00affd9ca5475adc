package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/idempotency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/lifecycle"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/routing"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/engines"
)

// serviceCallTokens is what a customer is charged for a call of a plain
// service, so that the customer's rate limits such calls too.
const serviceCallTokens = 1

// servicePicker chooses instances of plain services. mu guards random.
type servicePicker struct {
	daemon  *Daemon
	profile routing.Profile

	mu     sync.Mutex
	random *rand.Rand
}

func newServicePicker(d *Daemon) *servicePicker {
	return &servicePicker{
		daemon:  d,
		profile: routing.ServiceProfile(),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (p *servicePicker) pick(now time.Time, request *routing.Request) (routing.Candidate, error) {
	candidates := p.daemon.routes.Candidates(now, request)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.profile.Pick(request, candidates, p.random)
}

// serviceCall is the state of one call to a plain service while the VM
// handles it.
type serviceCall struct {
	daemon         *Daemon
	call           callers.ServiceRequest
	idempotent     bool
	routingRequest *routing.Request
	requestState   *requestState
	charge         *limits.Charge
	claim          *claim
	keyCheck       keyCheck
}

// Call implements callers.Backend.
func (d *Daemon) CallService(ctx context.Context, call callers.ServiceRequest) (callers.ServiceResponse, *callers.Refusal) {
	timeout := time.Duration(call.Route.TimeoutMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	deadline, _ := ctx.Deadline()
	idempotent := slices.Contains(call.Route.IdempotentMethods, call.Method)
	s := &serviceCall{
		daemon:         d,
		call:           call,
		idempotent:     idempotent,
		routingRequest: &routing.Request{Kind: records.EndpointService, Service: call.Route.Service, Deadline: deadline},
		requestState:   newRequestState(lifecycle.Config{Idempotent: idempotent, Deadline: deadline, MaxAttempts: maxAttempts}),
	}
	answer, refusal := s.run(ctx, deadline)
	d.countRequest(refusal)
	if answer.BodyRest == nil {
		cancel()
		return answer, refusal
	}
	answer.BodyRest = &cancelingRest{BodyStream: answer.BodyRest, cancel: cancel}
	return answer, refusal
}

// cancelingRest cancels the context that holds the call's timeout when the
// answer is closed.
type cancelingRest struct {
	callers.BodyStream
	cancel context.CancelFunc
}

// Close implements callers.BodyRest.
func (r *cancelingRest) Close() {
	r.BodyStream.Close()
	r.cancel()
}

// run admits the call, sends it and settles its charge.
func (s *serviceCall) run(ctx context.Context, deadline time.Time) (callers.ServiceResponse, *callers.Refusal) {
	d := s.daemon
	if s.call.Identity.Customer != "" {
		charge, refusal := d.limiter.admit(ctx, s.call.Identity.Customer, serviceCallTokens, deadline)
		if refusal != nil {
			return callers.ServiceResponse{}, refusal
		}
		s.charge = charge
	}
	answer, refusal := s.runClaimed(ctx)
	unused := int64(0)
	if refusal != nil && refusal.Outcome == inferencev1.Outcome_OUTCOME_NOT_RUN {
		unused = serviceCallTokens
	}
	d.limiter.refund(s.charge, unused)
	return answer, refusal
}

// runClaimed runs the call under a claim of its idempotency key, if it has a
// key and its method is not idempotent.
func (s *serviceCall) runClaimed(ctx context.Context) (callers.ServiceResponse, *callers.Refusal) {
	if s.idempotent || s.call.IdempotencyKey == "" || !s.daemon.safetyRules.claimIdempotencyKeys {
		return s.runAttempts(ctx)
	}
	s.claim = s.daemon.newClaim(s.idempotencyCall())
	verdict := s.claim.acquire(ctx)
	if verdict != idempotency.Granted {
		s.claim.release(false)
		return s.answerForVerdict(verdict)
	}
	answer, refusal := s.runAttempts(ctx)
	s.claim.end(answer, refusal)
	return answer, refusal
}

// idempotencyCall describes the call to the homes of its key. Two calls with
// one key are the same if method, target and body are equal.
func (s *serviceCall) idempotencyCall() idempotency.Call {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(s.call.Method), {0}, []byte(s.call.Target), {0}, s.call.Body} {
		digest.Write(part)
	}
	return idempotency.Call{
		Key:        peer.IdempotencyKey{Customer: s.call.Identity.Customer, Route: s.call.RouteID, Key: s.call.IdempotencyKey},
		BodyDigest: hex.EncodeToString(digest.Sum(nil)),
		Region:     s.call.Route.Region,
		Window:     time.Duration(s.call.Route.RepeatWindowSeconds) * time.Second,
	}
}

// answerForVerdict answers a call whose key the homes did not grant: with the
// stored answer of an earlier call, or with a refusal.
func (s *serviceCall) answerForVerdict(verdict idempotency.Verdict) (callers.ServiceResponse, *callers.Refusal) {
	if verdict == idempotency.AlreadyAnswered {
		stored := s.claim.attempt.Answer()
		if stored != nil && !stored.Dropped && !stored.Unknown {
			return callers.ServiceResponse{Status: stored.Status, Header: stored.Header, BodyStart: stored.Body}, nil
		}
		return callers.ServiceResponse{}, callers.Unknown(inferencev1.Reason_REASON_IDEMPOTENCY_UNAVAILABLE, "the call has run before, and its answer was too large to be kept")
	}
	refusal := callers.NotRun(verdict.Reason(), "the idempotency key was not granted")
	refusal.Outcome = verdict.Outcome().Proto()
	if verdict == idempotency.InProgress || verdict == idempotency.NoQuorum {
		refusal.RetryAfter = time.Second
	}
	return callers.ServiceResponse{}, refusal
}

// runAttempts sends the call until it is answered or may not be sent again.
func (s *serviceCall) runAttempts(ctx context.Context) (callers.ServiceResponse, *callers.Refusal) {
	for {
		picked, err := s.pick()
		if err != nil {
			return callers.ServiceResponse{}, s.refuse(inferencev1.Reason_REASON_NO_ENDPOINT, "no instance of service %q can take the call", s.call.Route.Service)
		}
		answer, decision, failure := s.attempt(ctx, picked)
		if failure == nil {
			return answer, nil
		}
		s.daemon.handleAttemptFailure(failure, assignment{candidate: picked}, ids.AdapterRef{})
		if !decision.Retry || ctx.Err() != nil || errors.Is(failure, errKeyWithdrawn) {
			outcome, reason, retryAfter := s.requestState.FinalOutcome()
			return callers.ServiceResponse{}, failureRefusal(outcome, reason, retryAfter, failure)
		}
		s.routingRequest.Tried = append(s.routingRequest.Tried, decision.AvoidEndpoint)
	}
}

// pick chooses an instance, preferring those that the call was not sent to
// before.
func (s *serviceCall) pick() (routing.Candidate, error) {
	now := time.Now()
	picked, err := s.daemon.servicePicker.pick(now, s.routingRequest)
	if err != nil && len(s.routingRequest.Tried) > 0 {
		anyInstance := *s.routingRequest
		anyInstance.Tried = nil
		return s.daemon.servicePicker.pick(now, &anyInstance)
	}
	return picked, err
}

// attempt sends the call once.
func (s *serviceCall) attempt(ctx context.Context, picked routing.Candidate) (callers.ServiceResponse, lifecycle.Decision, *engines.Failure) {
	d := s.daemon
	endpoint := engines.Endpoint{ID: picked.Endpoint, Address: picked.Record.Address}
	attempt, err := s.requestState.Commit(time.Now(), picked.Endpoint)
	if err != nil {
		decision, _ := s.requestState.Refuse(inferencev1.Reason_REASON_DEADLINE, 0)
		return callers.ServiceResponse{}, decision, &engines.Failure{Endpoint: picked.Endpoint, Step: "commit", Cause: engines.CausePreSendCheck, Err: err}
	}
	d.attemptsInFlight.Add(1)
	d.routes.Begin(time.Now(), picked.Endpoint, s.routingRequest)
	defer func() {
		d.routes.End(picked.Endpoint)
		d.attemptsInFlight.Add(-1)
	}()
	answer, failure := d.engines.Forward(ctx, endpoint, engines.ServiceRequest{
		AttemptID:    d.nextAttemptID(s.call.RequestID),
		Method:       s.call.Method,
		Target:       s.call.Target,
		Header:       s.call.Header,
		Body:         s.call.Body,
		Repeatable:   s.idempotent,
		PreSendCheck: func() error { return s.checkBeforeSend(attempt) },
	})
	if failure != nil {
		decision, _ := s.requestState.Finish(time.Now(), attempt, lifecycle.Failed, failureEvidence(failure))
		return callers.ServiceResponse{}, decision, failure
	}
	decision, _ := s.requestState.Finish(time.Now(), attempt, lifecycle.Answered, lifecycle.NoEvidence)
	response := callers.ServiceResponse{Status: answer.Status, Header: answer.Header, BodyStart: answer.BodyStart}
	if answer.BodyComplete {
		answer.Close()
	} else {
		response.BodyRest = &serviceRest{answer}
	}
	return response, decision, nil
}

// serviceRest reads the part of an answer that follows its start.
type serviceRest struct{ answer *engines.ServiceResponse }

// Read implements callers.BodyRest.
func (r *serviceRest) Read(buffer []byte) (int, error) { return r.answer.BodyRest().Read(buffer) }

// Close implements callers.BodyRest.
func (r *serviceRest) Close() { r.answer.Close() }

// checkBeforeSend is called right before the first byte is sent. It commits
// the claim; an error keeps the call from being sent.
func (s *serviceCall) checkBeforeSend(attempt lifecycle.Attempt) error {
	if !s.requestState.MaySend(time.Now(), attempt) {
		return errNotCommitted
	}
	if err := s.keyCheck.check(s.daemon, s.call.Identity); err != nil {
		return err
	}
	if s.claim != nil {
		return s.claim.commit()
	}
	return nil
}

// refuse ends the call between attempts. The outcome comes from the call's
// state, because an earlier attempt may have run.
func (s *serviceCall) refuse(reason inferencev1.Reason, format string, args ...any) *callers.Refusal {
	refusal := callers.NotRun(reason, format, args...)
	if decision, err := s.requestState.Refuse(reason, 0); err == nil {
		refusal.Outcome = decision.Outcome.Proto()
	}
	return refusal
}
