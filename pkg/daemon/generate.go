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
	// bytesPerPromptToken determines how many prompt tokens a customer is
	// charged for. The VM has no tokenizer; four bytes per token is the usual
	// ratio for English text.
	bytesPerPromptToken = 4
	// maxAttempts bounds how many times a request is sent to an endpoint.
	maxAttempts = 4
	// retryPause, multiplied by the number of attempts, is the pause before a
	// retry. It keeps a request from hammering engines that refuse it.
	retryPause = 20 * time.Millisecond
)

var (
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errNotCommitted = errors.New("the request is no longer committed")
)

// promptTokens returns the tokens that are charged for a prompt.
func promptTokens(prompt string) int64 {
	return int64((len(prompt) + bytesPerPromptToken - 1) / bytesPerPromptToken)
}

// generation is the state of one generation request while the VM handles it.
type generation struct {
	daemon *Daemon
	// call is what the caller sent.
	call callers.GenerationRequest
	// onToken receives the pieces of text; nil if the caller does not want a
	// stream.
	onToken func(callers.Token) error
	// adapterRef is the adapter version that the request is for.
	adapterRef     ids.AdapterRef
	baseModel      string
	queue          *modelQueue
	routingRequest *routing.Request
	requestState   *requestState
	charge         *limits.Charge
	// cost is the charge in tokens.
	cost int64

	arrived   time.Time
	lastToken time.Time
	keyCheck  keyCheck
}

// Generate implements callers.Backend.
func (d *Daemon) Generate(ctx context.Context, call callers.GenerationRequest, onToken func(callers.Token) error) (callers.GenerationResult, *callers.Refusal) {
	g := &generation{daemon: d, call: call, onToken: onToken, arrived: time.Now()}
	answer, refusal := g.run(ctx)
	d.countRequest(refusal)
	return answer, refusal
}

// run admits the request, sends it and settles its charge.
func (g *generation) run(ctx context.Context) (callers.GenerationResult, *callers.Refusal) {
	if refusal := g.resolve(); refusal != nil {
		return callers.GenerationResult{}, refusal
	}
	_, route := g.daemon.modelRoute()
	timeout := min(time.Duration(route.TimeoutMillis)*time.Millisecond, g.daemon.settings.Timeouts.Request.Duration())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	g.queue = g.daemon.modelQueueFor(g.baseModel, route.Policy)
	g.cost = promptTokens(g.call.Prompt) + int64(g.call.MaxTokens)
	charge, refusal := g.daemon.limiter.admit(ctx, g.call.Identity.Customer, g.cost, deadline)
	if refusal != nil {
		return callers.GenerationResult{}, refusal
	}
	g.charge = charge
	g.requestState = newRequestState(lifecycle.Config{Idempotent: true, Deadline: deadline, MaxAttempts: maxAttempts})
	g.routingRequest = &routing.Request{
		Kind:      records.EndpointModel,
		Ref:       g.adapterRef,
		BaseModel: g.baseModel,
		Prefix:    routing.PrefixHash(g.call.Prompt),
		Deadline:  deadline,
	}
	answer, refusal := g.runAttempts(ctx)
	g.settleCharge(answer, refusal)
	return answer, refusal
}

// resolve determines the adapter version and the base model of the request.
func (g *generation) resolve() *callers.Refusal {
	if g.call.Identity.Customer == "" {
		return callers.NotRun(inferencev1.Reason_REASON_KEY_MISSING, "model requests are charged to a customer, so they need a key")
	}
	adapter, version, state := g.daemon.catalog.Resolve(g.call.Adapter, g.call.Version)
	switch state {
	case catalog.ResolveAdapterUnknown:
		return callers.NotRun(inferencev1.Reason_REASON_ADAPTER_UNKNOWN, "adapter %q is not known", g.call.Adapter)
	case catalog.ResolveVersionUnknown:
		return callers.NotRun(inferencev1.Reason_REASON_VERSION_UNKNOWN, "adapter %q has no version %d", g.call.Adapter, g.call.Version)
	case catalog.ResolveVersionWithdrawn:
		return callers.NotRun(inferencev1.Reason_REASON_VERSION_WITHDRAWN, "version %d of adapter %q is withdrawn", version.Version, g.call.Adapter)
	}
	g.adapterRef = ids.AdapterRef{Adapter: g.call.Adapter, Version: version.Version}
	g.baseModel = adapter.BaseModel
	if len(g.daemon.catalog.View().ModelEndpoints(g.baseModel)) == 0 {
		return callers.NotRun(inferencev1.Reason_REASON_NO_ENDPOINT, "no engine runs base model %q", g.baseModel)
	}
	return nil
}

// runAttempts sends the request until it is answered or may not be sent
// again.
func (g *generation) runAttempts(ctx context.Context) (callers.GenerationResult, *callers.Refusal) {
	for {
		assigned := g.queue.enqueueAndWait(ctx, fairqueue.Item{
			ID:       g.daemon.nextAttemptID(g.call.RequestID),
			Customer: g.call.Identity.Customer,
			Ref:      g.adapterRef,
			Cost:     g.cost,
		}, g.routingRequest)
		if assigned.refusal != nil {
			return callers.GenerationResult{}, g.refuse(assigned.refusal)
		}
		answer, decision, failure := g.attempt(ctx, assigned)
		g.daemon.endAssignment(assigned)
		g.queue.requestDispatch()
		if failure == nil {
			return g.buildAnswer(answer), nil
		}
		g.daemon.handleAttemptFailure(failure, assigned, g.adapterRef)
		if !decision.Retry {
			return callers.GenerationResult{}, g.finalRefusal(failure)
		}
		g.queue.queue.RefundUnused(g.call.Identity.Customer, g.cost)
		g.routingRequest.Tried = append(g.routingRequest.Tried, decision.AvoidEndpoint)
		sleep(ctx, retryPause*time.Duration(g.requestState.Attempts()))
	}
}

// attempt sends the request once.
func (g *generation) attempt(ctx context.Context, assigned assignment) (engines.CompletionResult, lifecycle.Decision, *engines.Failure) {
	attempt, err := g.requestState.Commit(time.Now(), assigned.candidate.Endpoint)
	if err != nil {
		decision, _ := g.requestState.Refuse(inferencev1.Reason_REASON_DEADLINE, 0)
		return engines.CompletionResult{}, decision, &engines.Failure{Endpoint: assigned.candidate.Endpoint, Step: "commit", Cause: engines.CausePreSendCheck, Err: err}
	}
	defer g.daemon.attemptsInFlight.Add(-1)
	g.daemon.attemptsInFlight.Add(1)
	endpoint := engines.Endpoint{ID: assigned.candidate.Endpoint, Address: assigned.candidate.Record.Address}
	answer, failure := g.daemon.engines.Complete(ctx, endpoint, engines.CompletionRequest{
		AttemptID:    g.daemon.nextAttemptID(g.call.RequestID),
		Model:        g.adapterRef,
		Prompt:       g.call.Prompt,
		MaxTokens:    g.call.MaxTokens,
		Priority:     g.call.Priority,
		PreSendCheck: func() error { return g.checkBeforeSend(attempt) },
	}, g.forwardToken)
	if failure == nil {
		decision, _ := g.requestState.Finish(time.Now(), attempt, lifecycle.Answered, lifecycle.NoEvidence)
		return answer, decision, nil
	}
	decision, _ := g.requestState.Finish(time.Now(), attempt, lifecycle.Failed, failureEvidence(failure))
	if errors.Is(failure, errKeyWithdrawn) || ctx.Err() != nil {
		decision.Retry = false
	}
	return answer, decision, failure
}

// checkBeforeSend is called right before the first byte is sent. An error
// keeps the request from being sent.
func (g *generation) checkBeforeSend(attempt lifecycle.Attempt) error {
	if !g.requestState.MaySend(time.Now(), attempt) {
		return errNotCommitted
	}
	return g.keyCheck.check(g.daemon, g.call.Identity)
}

// forwardToken is called for each piece of generated text. It checks the
// caller's key again and passes the text on to a streaming caller.
func (g *generation) forwardToken(text string, offset uint32) error {
	now := time.Now()
	if offset == 0 {
		g.daemon.metrics.serviceLevels.RecordFirstToken(now.Sub(g.arrived))
	} else {
		g.daemon.metrics.serviceLevels.RecordTokenGap(now.Sub(g.lastToken))
	}
	g.lastToken = now
	if err := g.keyCheck.check(g.daemon, g.call.Identity); err != nil {
		return err
	}
	if g.onToken == nil {
		return nil
	}
	g.requestState.MarkAnswerStarted()
	return g.onToken(callers.Token{Model: g.adapterRef, Text: text, Offset: offset})
}

func (g *generation) buildAnswer(answer engines.CompletionResult) callers.GenerationResult {
	return callers.GenerationResult{Model: g.adapterRef, Text: answer.Text, FinishReason: answer.FinishReason, Usage: answer.Usage}
}

// refuse ends the request between attempts. The outcome comes from the
// request's state, because an earlier attempt may have run.
func (g *generation) refuse(refusal *callers.Refusal) *callers.Refusal {
	decision, err := g.requestState.Refuse(refusal.Reason, refusal.RetryAfter)
	if err == nil {
		refusal.Outcome = decision.Outcome.Proto()
	}
	return refusal
}

// finalRefusal builds the refusal of a request whose last attempt failed.
func (g *generation) finalRefusal(failure *engines.Failure) *callers.Refusal {
	outcome, reason, retryAfter := g.requestState.FinalOutcome()
	return failureRefusal(outcome, reason, retryAfter, failure)
}

// failureRefusal builds the refusal that tells a caller how the last attempt
// failed.
func failureRefusal(outcome lifecycle.Outcome, reason inferencev1.Reason, retryAfter time.Duration, failure *engines.Failure) *callers.Refusal {
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

// settleCharge refunds the tokens that the request did not use. A request of
// unknown outcome stays charged.
func (g *generation) settleCharge(answer callers.GenerationResult, refusal *callers.Refusal) {
	unused := int64(0)
	switch {
	case refusal == nil:
		unused = int64(g.call.MaxTokens) - int64(answer.Usage.CompletionTokens)
	case refusal.Outcome == inferencev1.Outcome_OUTCOME_NOT_RUN:
		unused = g.cost
	}
	g.daemon.limiter.refund(g.charge, unused)
	if unused > 0 {
		g.queue.queue.RefundUnused(g.call.Identity.Customer, unused)
	}
}

// failureEvidence returns what a failure proves about whether the request
// ran.
func failureEvidence(failure *engines.Failure) lifecycle.Evidence {
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

// modelRoute returns the route of generation requests, or a default route if
// no record defines one.
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
