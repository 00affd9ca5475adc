package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// bytesPerToken is the usual average for English text.
const bytesPerToken = 4

// PromptTokens returns the number of tokens that the engine counts for a
// prompt.
func PromptTokens(prompt string) uint32 {
	return uint32((len(prompt) + bytesPerToken - 1) / bytesPerToken)
}

// GeneratedText returns the first n tokens that the engine generates for a model and
// prompt. The text depends on both, so that a test recognises a response to
// another request or from another adapter version.
func GeneratedText(model, prompt string, n uint32) string {
	return tokensBetween(model, prompt, 0, n)
}

// tokensBetween returns the generated tokens from <= i < to as text.
func tokensBetween(model, prompt string, from, to uint32) string {
	sum := sha256.Sum256([]byte(model + "\x00" + prompt))
	tag := hex.EncodeToString(sum[:4])
	var text strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&text, "%s.%d ", tag, i)
	}
	return text.String()
}

// maxBodyBytes bounds the bodies of requests.
const maxBodyBytes = 4 << 20

// decode decodes the JSON body of a request. If it returns false, it has
// already sent the error response.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		sendError(w, http.StatusBadRequest, engineapi.ErrorInvalid, "body: %v", err)
		return false
	}
	return true
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request engineapi.CompletionRequest
	if !decode(w, r, &request) || standin.HangIfSilent(r) {
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	faults := e.Faults()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	admitted, ok := e.admit(w, request, faults)
	if !ok {
		return
	}
	defer e.release(admitted)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(admitted.bootCtx, cancel)()
	defer context.AfterFunc(admitted.adapter.ctx, cancel)()
	select {
	case <-admitted.waiter.admitted:
	case <-ctx.Done():
		standin.CloseConnection(r)
		return
	}
	e.recordRun(r, request)
	g := e.newGeneration(ctx, r, request, faults, admitted.adapter)
	if request.Stream {
		g.stream(w)
	} else {
		g.unary(w)
	}
}

// admit checks that the adapter version is resident and adds the request to the
// batch or its queue. If it returns false, it has already sent the error
// response.
func (e *Engine) admit(w http.ResponseWriter, request engineapi.CompletionRequest, faults Faults) (reservation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := e.resident[request.Model]
	if loaded == nil {
		e.counters.NotFound++
		sendError(w, http.StatusNotFound, engineapi.ErrorNotFound, "The model `%s` does not exist.", request.Model)
		return reservation{}, false
	}
	full := e.cfg.MaxWaiting > 0 && len(e.batch.waiting) >= e.cfg.MaxWaiting
	if full || faults.Refuse {
		w.Header().Set(engineapi.HeaderNotRun, "true")
		sendError(w, http.StatusServiceUnavailable, engineapi.ErrorOverloaded, "%d requests wait", len(e.batch.waiting))
		return reservation{}, false
	}
	e.accountBatch(time.Now())
	loaded.requests++
	return reservation{waiter: e.batch.enter(request.Priority), adapter: loaded, bootCtx: e.bootCtx}, true
}

// release gives up the reservation of a request, unless a restart has already
// discarded it.
func (e *Engine) release(held reservation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held.bootCtx != e.bootCtx {
		return
	}
	e.accountBatch(time.Now())
	held.adapter.requests--
	e.batch.leave(held.waiter)
}

// recordRun records that a request started to run.
func (e *Engine) recordRun(r *http.Request, request engineapi.CompletionRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{
		RequestID: ids.RequestID(r.Header.Get(engineapi.HeaderRequestID)),
		Model:     request.Model,
		Prompt:    request.Prompt,
		MaxTokens: request.MaxTokens,
		Priority:  request.Priority,
		Header:    r.Header.Clone(),
		BootID:    e.bootID,
		At:        time.Now(),
	})
}

// generation is one running request and the tokens that it generates.
type generation struct {
	engine       *Engine
	ctx          context.Context
	httpRequest  *http.Request
	request      engineapi.CompletionRequest
	faults       Faults
	tokens       uint32
	finishReason string
	// common holds the fields that all responses to the request have in
	// common.
	common engineapi.Completion
}

// newGeneration returns the generation for a request, with the faults applied
// to the fields of its responses.
func (e *Engine) newGeneration(ctx context.Context, r *http.Request, request engineapi.CompletionRequest, faults Faults, loaded *adapter) *generation {
	g := &generation{engine: e, ctx: ctx, httpRequest: r, request: request, faults: faults, tokens: request.MaxTokens, finishReason: engineapi.FinishLength}
	if e.cfg.StopAfter > 0 && e.cfg.StopAfter < g.tokens {
		g.tokens, g.finishReason = e.cfg.StopAfter, engineapi.FinishStop
	}
	id := r.Header.Get(engineapi.HeaderRequestID)
	if faults.AnswerID != "" {
		id = faults.AnswerID
	}
	model := request.Model
	if faults.AnswerModel != "" {
		model = faults.AnswerModel
	}
	g.common = engineapi.Completion{
		ID:      engineapi.CompletionIDPrefix + id,
		Object:  engineapi.ObjectCompletion,
		Created: time.Now().Unix(),
		Model:   model,
	}
	return g
}

// waitForTokens waits for the generation time of the tokens from <= i < to, and
// reports whether the request is still active.
func (g *generation) waitForTokens(from, to uint32) bool {
	steps := to - from
	var d time.Duration
	if from == 0 && steps > 0 {
		d = g.engine.cfg.FirstTokenTime
		steps--
	}
	d += time.Duration(steps) * g.engine.cfg.TokenTime
	if g.faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * g.faults.SlowFactor)
	}
	return standin.Sleep(g.ctx, d)
}

func (g *generation) usage() *engineapi.Usage {
	prompt := PromptTokens(g.request.Prompt)
	return &engineapi.Usage{PromptTokens: prompt, CompletionTokens: g.tokens, TotalTokens: prompt + g.tokens}
}

// unary generates all tokens and sends one response.
func (g *generation) unary(w http.ResponseWriter) {
	if !g.waitForTokens(0, g.tokens) || g.faults.CutAfterTokens > 0 {
		standin.CloseConnection(g.httpRequest)
		return
	}
	if standin.HangIfSilent(g.httpRequest) {
		return
	}
	answer := g.common
	answer.Choices = []engineapi.Choice{{Text: GeneratedText(g.request.Model, g.request.Prompt, g.tokens), FinishReason: &g.finishReason}}
	answer.Usage = g.usage()
	g.engine.countCompleted()
	standin.WriteJSON(w, http.StatusOK, answer)
}

// stream sends each token as a server-sent event when it is generated.
func (g *generation) stream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := range g.tokens {
		if !g.waitForTokens(i, i+1) {
			standin.CloseConnection(g.httpRequest)
			return
		}
		if g.faults.CutAfterTokens > 0 && i >= g.faults.CutAfterTokens {
			standin.CloseConnection(g.httpRequest)
			return
		}
		if standin.HangIfSilent(g.httpRequest) {
			return
		}
		event := g.common
		choice := engineapi.Choice{Text: tokensBetween(g.request.Model, g.request.Prompt, i, i+1)}
		if i == g.tokens-1 {
			choice.FinishReason = &g.finishReason
		}
		event.Choices = []engineapi.Choice{choice}
		writeEvent(w, event)
		_ = out.Flush()
	}
	if g.request.StreamOptions != nil && g.request.StreamOptions.IncludeUsage {
		event := g.common
		event.Choices = []engineapi.Choice{}
		event.Usage = g.usage()
		writeEvent(w, event)
	}
	fmt.Fprintf(w, "data: %s\n\n", engineapi.StreamDone)
	g.engine.countCompleted()
}

func writeEvent(w http.ResponseWriter, event engineapi.Completion) {
	data, _ := json.Marshal(event)
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) countCompleted() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Completed++
}
