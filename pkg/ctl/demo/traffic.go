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

// Times of callers.
const (
	// requestTimeout covers the first load of an adapter through the weight
	// store's rate.
	requestTimeout = 25 * time.Second
	minRetryPause  = 100 * time.Millisecond
)

// ask is one model request.
type ask struct {
	key       string
	adapter   ids.AdapterID
	version   ids.AdapterVersion
	prompt    string
	maxTokens uint32
	stream    bool
	timeout   time.Duration
}

// result is what came back for an ask.
type result struct {
	ref    ids.AdapterRef
	text   string
	tokens uint32
	err    error
	// outcome is the detail of the error; nil for an answer, and for an error
	// without one.
	outcome *inferencev1.RequestOutcome
	retries int
}

func (r result) reason() inferencev1.Reason { return r.outcome.GetReason() }

func (r result) notRun() bool {
	return r.outcome.GetOutcome() == inferencev1.Outcome_OUTCOME_NOT_RUN
}

// matches tells whether the answer is whole and belongs to the ask and to the
// adapter version.
func (r result) matches(a ask, version ids.AdapterVersion) bool {
	ref := ids.AdapterRef{Adapter: a.adapter, Version: version}
	return r.err == nil && r.ref == ref && r.text == engine.Text(ref.String(), a.prompt, a.maxTokens)
}

// once sends an ask through a VM.
func (v *vm) once(ctx context.Context, a ask) result {
	if a.timeout == 0 {
		a.timeout = requestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	message := connect.NewRequest(&inferencev1.GenerateRequest{
		Adapter:   string(a.adapter),
		Version:   uint64(a.version),
		Prompt:    a.prompt,
		MaxTokens: a.maxTokens,
	})
	if a.key != "" {
		message.Header().Set("Authorization", "Bearer "+a.key)
	}
	var r result
	if a.stream {
		r = v.streaming(ctx, message)
	} else {
		r = v.unary(ctx, message)
	}
	r.outcome = outcomeOf(r.err)
	return r
}

func (v *vm) unary(ctx context.Context, message *connect.Request[inferencev1.GenerateRequest]) result {
	answer, err := v.client.Generate(ctx, message)
	if err != nil {
		return result{err: err}
	}
	usage := answer.Msg.GetUsage()
	return result{
		ref:    ids.AdapterRef{Adapter: ids.AdapterID(answer.Msg.GetAdapter()), Version: ids.AdapterVersion(answer.Msg.GetVersion())},
		text:   answer.Msg.GetText(),
		tokens: usage.GetPromptTokens() + usage.GetCompletionTokens(),
	}
}

func (v *vm) streaming(ctx context.Context, message *connect.Request[inferencev1.GenerateRequest]) result {
	stream, err := v.client.GenerateStream(ctx, message)
	if err != nil {
		return result{err: err}
	}
	defer stream.Close()
	var r result
	var text strings.Builder
	whole := false
	for stream.Receive() {
		part := stream.Msg()
		text.WriteString(part.GetText())
		r.ref = ids.AdapterRef{Adapter: ids.AdapterID(part.GetAdapter()), Version: ids.AdapterVersion(part.GetVersion())}
		if final := part.GetFinal(); final != nil {
			whole = true
			r.tokens = final.GetUsage().GetPromptTokens() + final.GetUsage().GetCompletionTokens()
		}
	}
	r.text = text.String()
	r.err = stream.Err()
	if r.err == nil && !whole {
		r.err = errors.New("the stream ended without its final message")
	}
	return r
}

// outcomeOf returns the outcome detail of an error.
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

// send sends an ask like a patient caller: it repeats what did not run for
// lack of an endpoint, at the time that the refusal names.
func (v *vm) send(ctx context.Context, a ask) result {
	deadline := time.Now().Add(requestTimeout)
	for retries := 0; ; retries++ {
		r := v.once(ctx, a)
		r.retries = retries
		if r.err == nil || !r.notRun() || !worthRetry(r.reason()) || time.Now().After(deadline) {
			return r
		}
		pause := max(minRetryPause, time.Duration(r.outcome.GetRetryAfterMs())*time.Millisecond)
		select {
		case <-ctx.Done():
			return r
		case <-time.After(pause):
		}
	}
}

func worthRetry(reason inferencev1.Reason) bool {
	switch reason {
	case inferencev1.Reason_REASON_NO_ENDPOINT, inferencev1.Reason_REASON_NOT_READY,
		inferencev1.Reason_REASON_QUEUE_FULL, inferencev1.Reason_REASON_RATE_EXCEEDED:
		return true
	}
	return false
}

// call is a request to a plain service.
type call struct {
	method, path, body string
	key                string
	idempotencyKey     string
}

// callResult is what came back for a call.
type callResult struct {
	status  int
	body    string
	outcome string
	reason  string
	err     error
}

// call sends a call through a VM.
func (w *world) call(ctx context.Context, v *vm, c call) callResult {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+v.settings.Listen.Callers+c.path, strings.NewReader(c.body))
	if err != nil {
		return callResult{err: err}
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	response, err := w.http.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResult{
		status:  response.StatusCode,
		body:    string(body),
		outcome: response.Header.Get("Wagtailspoke-Outcome"),
		reason:  response.Header.Get("Wagtailspoke-Reason"),
		err:     err,
	}
}
