package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fairqueue"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/lifecycle"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/routing"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1/inferencev1connect"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/engines"
)

const (
	// bytesPerPromptToken defines the prompt tokens that a customer is charged
	// for. The VM has no tokenizer of its own; four bytes a token is the usual
	// ratio for English text.
	bytesPerPromptToken = 4
	// maxAttempts bounds the engines that one request is sent to.
	maxAttempts = 4
	// retryPause keeps a request from hammering engines that refuse it.
	retryPause = 20 * time.Millisecond
)

var (
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errNotCommitted = errors.New("the request is no longer committed")
)

// promptTokens is the part of a request's charge for its prompt.
func promptTokens(prompt string) int64 {
	return int64((len(prompt) + bytesPerPromptToken - 1) / bytesPerPromptToken)
}

// generation is one model request on its way through the daemon.
type generation struct {
	daemon  *Daemon
	asked   callers.GenerationRequest
	token   func(callers.Token) error
	ref     ids.AdapterRef
	base    string
	queue   *modelQueue
	request *routing.Request
	state   *requestState
	charge  *limits.Charge
	cost    int64

	arrived   time.Time
	lastToken time.Time
	key       keyCheck
}

// Generate implements callers.Backend.
func (d *Daemon) Generate(ctx context.Context, asked callers.GenerationRequest, token func(callers.Token) error) (callers.GenerationResult, *callers.Refusal) {
	g := &generation{daemon: d, asked: asked, token: token, arrived: time.Now()}
	answer, refusal := g.run(ctx)
	d.countRequest(refusal)
	return answer, refusal
}

func (g *generation) run(ctx context.Context) (callers.GenerationResult, *callers.Refusal) {
	if refusal := g.resolve(); refusal != nil {
		return callers.GenerationResult{}, refusal
	}
	_, route := g.daemon.modelRoute()
	timeout := min(time.Duration(route.TimeoutMillis)*time.Millisecond, g.daemon.settings.Timeouts.Request.Duration())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	g.queue = g.daemon.queueOf(g.base, route.Policy)
	g.cost = promptTokens(g.asked.Prompt) + int64(g.asked.MaxTokens)
	charge, refusal := g.daemon.tokens.admit(ctx, g.asked.Identity.Customer, g.cost, deadline)
	if refusal != nil {
		return callers.GenerationResult{}, refusal
	}
	g.charge = charge
	g.state = newRequestState(lifecycle.Config{Idempotent: true, Deadline: deadline, MaxAttempts: maxAttempts})
	g.request = &routing.Request{
		Kind:      records.EndpointModel,
		Ref:       g.ref,
		BaseModel: g.base,
		Prefix:    routing.PrefixHash(g.asked.Prompt),
		Deadline:  deadline,
	}
	answer, refusal := g.attempts(ctx)
	g.settle(answer, refusal)
	return answer, refusal
}

// resolve finds the adapter version that the request stands for.
func (g *generation) resolve() *callers.Refusal {
	if g.asked.Identity.Customer == "" {
		return callers.NotRun(inferencev1.Reason_REASON_KEY_MISSING, "model requests are charged to a customer, so they need a key")
	}
	adapter, version, state := g.daemon.catalog.Resolve(g.asked.Adapter, g.asked.Version)
	switch state {
	case catalog.ResolveAdapterUnknown:
		return callers.NotRun(inferencev1.Reason_REASON_ADAPTER_UNKNOWN, "adapter %q is not known", g.asked.Adapter)
	case catalog.ResolveVersionUnknown:
		return callers.NotRun(inferencev1.Reason_REASON_VERSION_UNKNOWN, "adapter %q has no version %d", g.asked.Adapter, g.asked.Version)
	case catalog.ResolveVersionWithdrawn:
		return callers.NotRun(inferencev1.Reason_REASON_VERSION_WITHDRAWN, "version %d of adapter %q is withdrawn", version.Version, g.asked.Adapter)
	}
	g.ref = ids.AdapterRef{Adapter: g.asked.Adapter, Version: version.Version}
	g.base = adapter.BaseModel
	if len(g.daemon.catalog.View().ModelEndpoints(g.base)) == 0 {
		return callers.NotRun(inferencev1.Reason_REASON_NO_ENDPOINT, "no engine runs base model %q", g.base)
	}
	return nil
}

// attempts sends the request until it is answered or ended.
func (g *generation) attempts(ctx context.Context) (callers.GenerationResult, *callers.Refusal) {
	for {
		assigned := g.queue.wait(ctx, fairqueue.Item{
			ID:       g.daemon.nextAttempt(g.asked.RequestID),
			Customer: g.asked.Identity.Customer,
			Ref:      g.ref,
			Cost:     g.cost,
		}, g.request)
		if assigned.refusal != nil {
			return callers.GenerationResult{}, g.refuse(assigned.refusal)
		}
		answer, decision, failure := g.attempt(ctx, assigned)
		g.daemon.release(assigned)
		g.queue.kick()
		if failure == nil {
			return g.generated(answer), nil
		}
		g.daemon.noteFailure(failure, assigned, g.ref)
		if !decision.Retry {
			return callers.GenerationResult{}, g.ended(failure)
		}
		g.queue.queue.RefundUnused(g.asked.Identity.Customer, g.cost)
		g.request.Tried = append(g.request.Tried, decision.AvoidEndpoint)
		sleep(ctx, retryPause*time.Duration(g.state.Attempts()))
	}
}

// attempt sends the request once.
func (g *generation) attempt(ctx context.Context, assigned assignment) (engines.CompletionResult, lifecycle.Decision, *engines.Failure) {
	attempt, err := g.state.Commit(time.Now(), assigned.candidate.Endpoint)
	if err != nil {
		decision, _ := g.state.Refuse(inferencev1.Reason_REASON_DEADLINE, 0)
		return engines.CompletionResult{}, decision, &engines.Failure{Endpoint: assigned.candidate.Endpoint, Step: "commit", Cause: engines.CausePreSendCheck, Err: err}
	}
	defer g.daemon.committed.Add(-1)
	g.daemon.committed.Add(1)
	endpoint := engines.Endpoint{ID: assigned.candidate.Endpoint, Address: assigned.candidate.Record.Address}
	answer, failure := g.daemon.engines.Complete(ctx, endpoint, engines.CompletionRequest{
		AttemptID:    g.daemon.nextAttempt(g.asked.RequestID),
		Model:        g.ref,
		Prompt:       g.asked.Prompt,
		MaxTokens:    g.asked.MaxTokens,
		Priority:     g.asked.Priority,
		PreSendCheck: func() error { return g.maySend(attempt) },
	}, g.passOn)
	if failure == nil {
		decision, _ := g.state.Finish(time.Now(), attempt, lifecycle.Answered, lifecycle.NoEvidence)
		return answer, decision, nil
	}
	decision, _ := g.state.Finish(time.Now(), attempt, lifecycle.Failed, evidenceOf(failure))
	if errors.Is(failure, errKeyWithdrawn) || ctx.Err() != nil {
		decision.Retry = false
	}
	return answer, decision, failure
}

// maySend is asked right before the first byte leaves.
func (g *generation) maySend(attempt lifecycle.Attempt) error {
	if !g.state.MaySend(time.Now(), attempt) {
		return errNotCommitted
	}
	return g.key.check(g.daemon, g.asked.Identity)
}

// passOn is called for each piece of generated text.
func (g *generation) passOn(text string, offset uint32) error {
	now := time.Now()
	if offset == 0 {
		g.daemon.metrics.levels.RecordFirstToken(now.Sub(g.arrived))
	} else {
		g.daemon.metrics.levels.RecordTokenGap(now.Sub(g.lastToken))
	}
	g.lastToken = now
	if err := g.key.check(g.daemon, g.asked.Identity); err != nil {
		return err
	}
	if g.token == nil {
		return nil
	}
	g.state.MarkAnswerStarted()
	return g.token(callers.Token{Model: g.ref, Text: text, Offset: offset})
}

func (g *generation) generated(answer engines.CompletionResult) callers.GenerationResult {
	return callers.GenerationResult{Model: g.ref, Text: answer.Text, FinishReason: answer.FinishReason, Usage: answer.Usage}
}

// refuse ends the request between attempts. Whether it ran is known to the
// state: an earlier attempt may have run.
func (g *generation) refuse(refusal *callers.Refusal) *callers.Refusal {
	decision, err := g.state.Refuse(refusal.Reason, refusal.RetryAfter)
	if err == nil {
		refusal.Outcome = decision.Outcome.Proto()
	}
	return refusal
}

// ended builds the refusal of a request whose last attempt failed.
func (g *generation) ended(failure *engines.Failure) *callers.Refusal {
	outcome, reason, retryAfter := g.state.FinalOutcome()
	return refusalOfFailure(outcome, reason, retryAfter, failure)
}

// refusalOfFailure tells the caller how its last attempt failed.
func refusalOfFailure(outcome lifecycle.Outcome, reason inferencev1.Reason, retryAfter time.Duration, failure *engines.Failure) *callers.Refusal {
	refusal := callers.Unknown(reason, "%s", failure.Error())
	refusal.Outcome = outcome.Proto()
	refusal.RetryAfter = retryAfter
	switch {
	case errors.Is(failure, errKeyWithdrawn):
		refusal.Reason = inferencev1.Reason_REASON_KEY_WITHDRAWN
	case failure.Cause == engines.CauseResponseMismatch:
		refusal.Reason = inferencev1.Reason_REASON_ANSWER_MISMATCH
	}
	return refusal
}

// settle refunds what the request did not use. A request of unknown outcome
// stays charged.
func (g *generation) settle(answer callers.GenerationResult, refusal *callers.Refusal) {
	unused := int64(0)
	switch {
	case refusal == nil:
		unused = int64(g.asked.MaxTokens) - int64(answer.Usage.CompletionTokens)
	case refusal.Outcome == inferencev1.Outcome_OUTCOME_NOT_RUN:
		unused = g.cost
	}
	g.daemon.tokens.refund(g.charge, unused)
	if unused > 0 {
		g.queue.queue.RefundUnused(g.asked.Identity.Customer, unused)
	}
}

// evidenceOf tells what a failure proves about whether the request ran.
func evidenceOf(failure *engines.Failure) lifecycle.Evidence {
	switch {
	case failure.NotRun:
		return lifecycle.ReportedNotRun
	case failure.Cause == engines.CauseConnect:
		return lifecycle.ConnectRefused
	case !failure.MaybeSent:
		return lifecycle.NotSent
	case failure.Cause != engines.CauseErrorStatus:
		return lifecycle.NoEvidence
	}
	switch failure.Status {
	case statusNotFound:
		return lifecycle.ModelUnknown
	case statusConflict:
		return lifecycle.FenceRefused
	}
	return lifecycle.NoEvidence
}

// modelRoute returns the route of generation requests.
func (d *Daemon) modelRoute() (ids.RouteID, *records.Route) {
	path := inferencev1connect.InferenceServiceGenerateProcedure
	if route, ok := d.catalog.View().Route(path); ok && route.Kind == records.EndpointModel {
		return route.ID, route.Route
	}
	return "", &records.Route{
		Kind:          records.EndpointModel,
		TimeoutMillis: int(d.settings.Timeouts.Request),
		Policy:        records.PolicyLatency,
	}
}
