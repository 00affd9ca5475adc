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
// service, so that its rate bounds such calls too.
const serviceCallTokens = 1

// servicePicker chooses instances of plain services.
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

// serviceCall is one call to a plain service on its way through the daemon.
type serviceCall struct {
	daemon     *Daemon
	asked      callers.ServiceRequest
	idempotent bool
	request    *routing.Request
	state      *requestState
	charge     *limits.Charge
	claim      *claim
	key        keyCheck
}

// CallService implements callers.Backend.
func (d *Daemon) CallService(ctx context.Context, asked callers.ServiceRequest) (callers.ServiceResponse, *callers.Refusal) {
	timeout := time.Duration(asked.Route.TimeoutMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	deadline, _ := ctx.Deadline()
	idempotent := slices.Contains(asked.Route.IdempotentMethods, asked.Method)
	s := &serviceCall{
		daemon:     d,
		asked:      asked,
		idempotent: idempotent,
		request:    &routing.Request{Kind: records.EndpointService, Service: asked.Route.Service, Deadline: deadline},
		state:      newRequestState(lifecycle.Config{Idempotent: idempotent, Deadline: deadline, MaxAttempts: maxAttempts}),
	}
	answer, refusal := s.run(ctx, deadline)
	d.countRequest(refusal)
	if answer.BodyRest == nil {
		cancel()
		return answer, refusal
	}
	answer.BodyRest = &timedRest{BodyStream: answer.BodyRest, cancel: cancel}
	return answer, refusal
}

// timedRest ends the call's time limit with the answer.
type timedRest struct {
	callers.BodyStream
	cancel context.CancelFunc
}

// Close implements callers.BodyStream.
func (r *timedRest) Close() {
	r.BodyStream.Close()
	r.cancel()
}

func (s *serviceCall) run(ctx context.Context, deadline time.Time) (callers.ServiceResponse, *callers.Refusal) {
	d := s.daemon
	if s.asked.Identity.Customer != "" {
		charge, refusal := d.tokens.admit(ctx, s.asked.Identity.Customer, serviceCallTokens, deadline)
		if refusal != nil {
			return callers.ServiceResponse{}, refusal
		}
		s.charge = charge
	}
	answer, refusal := s.claimed(ctx)
	unused := int64(0)
	if refusal != nil && refusal.Outcome == inferencev1.Outcome_OUTCOME_NOT_RUN {
		unused = serviceCallTokens
	}
	d.tokens.refund(s.charge, unused)
	return answer, refusal
}

// claimed runs the call under a claim of its idempotency key, if it has one.
func (s *serviceCall) claimed(ctx context.Context) (callers.ServiceResponse, *callers.Refusal) {
	if s.idempotent || s.asked.IdempotencyKey == "" || !s.daemon.rules.claimKeys {
		return s.attempts(ctx)
	}
	s.claim = s.daemon.newClaim(s.idempotencyCall())
	verdict := s.claim.ask(ctx)
	if verdict != idempotency.Granted {
		s.claim.release(false)
		return s.known(verdict)
	}
	answer, refusal := s.attempts(ctx)
	s.claim.end(answer, refusal)
	return answer, refusal
}

func (s *serviceCall) idempotencyCall() idempotency.Call {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(s.asked.Method), {0}, []byte(s.asked.Target), {0}, s.asked.Body} {
		digest.Write(part)
	}
	return idempotency.Call{
		Key:        peer.IdempotencyKey{Customer: s.asked.Identity.Customer, Route: s.asked.RouteID, Key: s.asked.IdempotencyKey},
		BodyDigest: hex.EncodeToString(digest.Sum(nil)),
		Region:     s.asked.Route.Region,
		Window:     time.Duration(s.asked.Route.RepeatWindowSeconds) * time.Second,
	}
}

// known answers a call whose key the homes did not grant.
func (s *serviceCall) known(verdict idempotency.Verdict) (callers.ServiceResponse, *callers.Refusal) {
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

// attempts sends the call until it is answered or ended.
func (s *serviceCall) attempts(ctx context.Context) (callers.ServiceResponse, *callers.Refusal) {
	for {
		picked, err := s.pick()
		if err != nil {
			return callers.ServiceResponse{}, s.refuse(inferencev1.Reason_REASON_NO_ENDPOINT, "no instance of service %q can take the call", s.asked.Route.Service)
		}
		answer, decision, failure := s.attempt(ctx, picked)
		if failure == nil {
			return answer, nil
		}
		s.daemon.noteFailure(failure, assignment{candidate: picked}, ids.AdapterRef{})
		if !decision.Retry || ctx.Err() != nil || errors.Is(failure, errKeyWithdrawn) {
			outcome, reason, retryAfter := s.state.FinalOutcome()
			return callers.ServiceResponse{}, refusalOfFailure(outcome, reason, retryAfter, failure)
		}
		s.request.Tried = append(s.request.Tried, decision.AvoidEndpoint)
	}
}

// pick chooses an instance, one that was not tried before if there is one.
func (s *serviceCall) pick() (routing.Candidate, error) {
	now := time.Now()
	picked, err := s.daemon.services.pick(now, s.request)
	if err != nil && len(s.request.Tried) > 0 {
		again := *s.request
		again.Tried = nil
		return s.daemon.services.pick(now, &again)
	}
	return picked, err
}

// attempt sends the call once.
func (s *serviceCall) attempt(ctx context.Context, picked routing.Candidate) (callers.ServiceResponse, lifecycle.Decision, *engines.Failure) {
	d := s.daemon
	endpoint := engines.Endpoint{ID: picked.Endpoint, Address: picked.Record.Address}
	attempt, err := s.state.Commit(time.Now(), picked.Endpoint)
	if err != nil {
		decision, _ := s.state.Refuse(inferencev1.Reason_REASON_DEADLINE, 0)
		return callers.ServiceResponse{}, decision, &engines.Failure{Endpoint: picked.Endpoint, Step: "commit", Cause: engines.CausePreSendCheck, Err: err}
	}
	d.committed.Add(1)
	d.routes.Begin(time.Now(), picked.Endpoint, s.request)
	defer func() {
		d.routes.End(picked.Endpoint)
		d.committed.Add(-1)
	}()
	answer, failure := d.engines.Forward(ctx, endpoint, engines.ServiceRequest{
		AttemptID:    d.nextAttempt(s.asked.RequestID),
		Method:       s.asked.Method,
		Target:       s.asked.Target,
		Header:       s.asked.Header,
		Body:         s.asked.Body,
		Repeatable:   s.idempotent,
		PreSendCheck: func() error { return s.maySend(attempt) },
	})
	if failure != nil {
		decision, _ := s.state.Finish(time.Now(), attempt, lifecycle.Failed, evidenceOf(failure))
		return callers.ServiceResponse{}, decision, failure
	}
	decision, _ := s.state.Finish(time.Now(), attempt, lifecycle.Answered, lifecycle.NoEvidence)
	passed := callers.ServiceResponse{Status: answer.Status, Header: answer.Header, BodyStart: answer.BodyStart}
	if answer.BodyComplete {
		answer.Close()
	} else {
		passed.BodyRest = &serviceRest{answer}
	}
	return passed, decision, nil
}

// serviceRest reads the part of an answer that follows its start.
type serviceRest struct{ answer *engines.ServiceResponse }

// Read implements callers.BodyStream.
func (r *serviceRest) Read(buffer []byte) (int, error) { return r.answer.BodyRest().Read(buffer) }

// Close implements callers.BodyStream.
func (r *serviceRest) Close() { r.answer.Close() }

// maySend is asked right before the first byte leaves.
func (s *serviceCall) maySend(attempt lifecycle.Attempt) error {
	if !s.state.MaySend(time.Now(), attempt) {
		return errNotCommitted
	}
	if err := s.key.check(s.daemon, s.asked.Identity); err != nil {
		return err
	}
	if s.claim != nil {
		return s.claim.commit()
	}
	return nil
}

// refuse ends the call between attempts.
func (s *serviceCall) refuse(reason inferencev1.Reason, format string, args ...any) *callers.Refusal {
	refusal := callers.NotRun(reason, format, args...)
	if decision, err := s.state.Refuse(reason, 0); err == nil {
		refusal.Outcome = decision.Outcome.Proto()
	}
	return refusal
}
