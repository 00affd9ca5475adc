package demo

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// Timeout and backoff of the simulated callers.
const (
	// requestTimeout bounds each attempt of a request; a request that has
	// taken longer in total is not repeated. It covers the first load of an
	// adapter, which the rate limit of the weight store can delay.
	requestTimeout = 25 * time.Second
	// minRetryBackoff is the shortest wait before a request is repeated.
	minRetryBackoff = 100 * time.Millisecond
)

// modelRequest is one model request of a caller. Version 0 stands for the
// adapter's default version, timeout 0 for requestTimeout.
type modelRequest struct {
	key       string
	adapter   ids.AdapterID
	version   ids.AdapterVersion
	prompt    string
	maxTokens uint32
	stream    bool
	timeout   time.Duration
}

// modelResult is the result of a modelRequest.
type modelResult struct {
	ref    ids.AdapterRef
	text   string
	tokens uint32
	err    error
	// outcome is the outcome detail of the error; nil for a success or an
	// error without that detail.
	outcome *inferencev1.RequestOutcome
	retries int
}

func (r modelResult) reason() inferencev1.Reason { return r.outcome.GetReason() }

// notRun reports whether the outcome says that the request did not run.
func (r modelResult) notRun() bool {
	return r.outcome.GetOutcome() == inferencev1.Outcome_OUTCOME_NOT_RUN
}

// matches reports whether the response is complete and is the one that this
// version of the adapter generates for the request.
func (r modelResult) matches(request modelRequest, version ids.AdapterVersion) bool {
	ref := ids.AdapterRef{Adapter: request.adapter, Version: version}
	return r.err == nil && r.ref == ref && r.text == engine.GeneratedText(ref.String(), request.prompt, request.maxTokens)
}

// send sends a request through the VM once.
func (v *vm) send(ctx context.Context, request modelRequest) modelResult {
	if request.timeout == 0 {
		request.timeout = requestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	message := connect.NewRequest(&inferencev1.GenerateRequest{
		Adapter:   string(request.adapter),
		Version:   uint64(request.version),
		Prompt:    request.prompt,
		MaxTokens: request.maxTokens,
	})
	if request.key != "" {
		message.Header().Set("Authorization", "Bearer "+request.key)
	}
	var r modelResult
	if request.stream {
		r = v.streaming(ctx, message)
	} else {
		r = v.unary(ctx, message)
	}
	r.outcome = outcomeOf(r.err)
	return r
}

func (v *vm) unary(ctx context.Context, message *connect.Request[inferencev1.GenerateRequest]) modelResult {
	answer, err := v.client.Generate(ctx, message)
	if err != nil {
		return modelResult{err: err}
	}
	usage := answer.Msg.GetUsage()
	return modelResult{
		ref:    ids.AdapterRef{Adapter: ids.AdapterID(answer.Msg.GetAdapter()), Version: ids.AdapterVersion(answer.Msg.GetVersion())},
		text:   answer.Msg.GetText(),
		tokens: usage.GetPromptTokens() + usage.GetCompletionTokens(),
	}
}

func (v *vm) streaming(ctx context.Context, message *connect.Request[inferencev1.GenerateRequest]) modelResult {
	stream, err := v.client.GenerateStream(ctx, message)
	if err != nil {
		return modelResult{err: err}
	}
	defer stream.Close()
	var r modelResult
	var text strings.Builder
	complete := false
	for stream.Receive() {
		part := stream.Msg()
		text.WriteString(part.GetText())
		r.ref = ids.AdapterRef{Adapter: ids.AdapterID(part.GetAdapter()), Version: ids.AdapterVersion(part.GetVersion())}
		if final := part.GetFinal(); final != nil {
			complete = true
			r.tokens = final.GetUsage().GetPromptTokens() + final.GetUsage().GetCompletionTokens()
		}
	}
	r.text = text.String()
	r.err = stream.Err()
	if r.err == nil && !complete {
		r.err = errors.New("the stream ended without a final message")
	}
	return r
}

// outcomeOf returns the outcome detail of an error, or nil if it has none.
func outcomeOf(err error) *inferencev1.RequestOutcome {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return nil
	}
	for _, detail := range failure.Details() {
		value, err := detail.Value()
		if outcome, ok := value.(*inferencev1.RequestOutcome); err == nil && ok {
			return outcome
		}
	}
	return nil
}

// sendWithRetry sends a request and repeats it while it did not run for a
// temporary reason. It waits as long as the refusal asks, and returns the last
// result once requestTimeout has passed or ctx has ended.
func (v *vm) sendWithRetry(ctx context.Context, request modelRequest) modelResult {
	deadline := time.Now().Add(requestTimeout)
	for retries := 0; ; retries++ {
		r := v.send(ctx, request)
		r.retries = retries
		if r.err == nil || !r.notRun() || !isRetryable(r.reason()) || time.Now().After(deadline) {
			return r
		}
		pause := max(minRetryBackoff, time.Duration(r.outcome.GetRetryAfterMs())*time.Millisecond)
		select {
		case <-ctx.Done():
			return r
		case <-time.After(pause):
		}
	}
}

// isRetryable reports whether a request that was refused for this reason may
// succeed when it is repeated.
func isRetryable(reason inferencev1.Reason) bool {
	switch reason {
	case inferencev1.Reason_REASON_NO_ENDPOINT, inferencev1.Reason_REASON_NOT_READY,
		inferencev1.Reason_REASON_QUEUE_FULL, inferencev1.Reason_REASON_RATE_EXCEEDED:
		return true
	}
	return false
}

// serviceCall is an HTTP request to the plain service.
type serviceCall struct {
	method, path, body string
	key                string
	idempotencyKey     string
}

// serviceResult is the result of a serviceCall. outcome and reason come from
// the response headers.
type serviceResult struct {
	status  int
	body    string
	outcome string
	reason  string
	err     error
}

// callService sends a request to the plain service through a VM.
func (d *deployment) callService(ctx context.Context, v *vm, call serviceCall) serviceResult {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+v.settings.Listen.Callers+call.path, strings.NewReader(call.body))
	if err != nil {
		return serviceResult{err: err}
	}
	if call.key != "" {
		request.Header.Set("Authorization", "Bearer "+call.key)
	}
	if call.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.idempotencyKey)
	}
	response, err := d.httpClient.Do(request)
	if err != nil {
		return serviceResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return serviceResult{
		status:  response.StatusCode,
		body:    string(body),
		outcome: response.Header.Get("Wagtailspoke-Outcome"),
		reason:  response.Header.Get("Wagtailspoke-Reason"),
		err:     err,
	}
}
