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

// bytesPerToken is the usual ratio for English text.
const bytesPerToken = 4

// PromptTokens returns the tokens that the engine counts for a prompt.
func PromptTokens(prompt string) uint32 {
	return uint32((len(prompt) + bytesPerToken - 1) / bytesPerToken)
}

// Text returns the first n tokens that the engine generates for a model and
// prompt. It depends on both, so that a test recognises the answer to another
// request or of another adapter version.
func Text(model, prompt string, n uint32) string {
	return textBetween(model, prompt, 0, n)
}

func textBetween(model, prompt string, from, to uint32) string {
	sum := sha256.Sum256([]byte(model + "\x00" + prompt))
	tag := hex.EncodeToString(sum[:4])
	var text strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&text, "%s.%d ", tag, i)
	}
	return text.String()
}

// maxBodyBytes bounds request bodies.
const maxBodyBytes = 4 << 20

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, engineapi.ErrorInvalid, "body: %v", err)
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
	defer context.AfterFunc(admitted.life, cancel)()
	defer context.AfterFunc(admitted.adapter.life, cancel)()
	select {
	case <-admitted.waiter.admitted:
	case <-ctx.Done():
		standin.Cut(r)
		return
	}
	e.recordRun(r, request)
	g := e.generation(ctx, r, request, faults, admitted.adapter)
	if request.Stream {
		g.stream(w)
	} else {
		g.unary(w)
	}
}

// admit checks that the adapter version is resident and takes a place in the
// queue. It answers the request itself when it returns false.
func (e *Engine) admit(w http.ResponseWriter, request engineapi.CompletionRequest, faults Faults) (admission, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := e.resident[request.Model]
	if loaded == nil {
		e.counters.NotFound++
		refuse(w, http.StatusNotFound, engineapi.ErrorNotFound, "The model `%s` does not exist.", request.Model)
		return admission{}, false
	}
	full := e.cfg.MaxWaiting > 0 && len(e.batch.waiting) >= e.cfg.MaxWaiting
	if full || faults.Refuse {
		w.Header().Set(engineapi.HeaderNotRun, "true")
		refuse(w, http.StatusServiceUnavailable, engineapi.ErrorOverloaded, "%d requests wait", len(e.batch.waiting))
		return admission{}, false
	}
	e.account(time.Now())
	loaded.requests++
	return admission{waiter: e.batch.enter(request.Priority), adapter: loaded, life: e.life}, true
}

func (e *Engine) release(a admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.life != e.life {
		return
	}
	e.account(time.Now())
	a.adapter.requests--
	e.batch.leave(a.waiter)
}

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
		BootID:    e.boot,
		At:        time.Now(),
	})
}

// generation is one running request.
type generation struct {
	engine  *Engine
	ctx     context.Context
	http    *http.Request
	request engineapi.CompletionRequest
	faults  Faults
	tokens  uint32
	finish  string
	// header holds the fields that all answers of the request share.
	header engineapi.Completion
}

func (e *Engine) generation(ctx context.Context, r *http.Request, request engineapi.CompletionRequest, faults Faults, loaded *adapter) *generation {
	g := &generation{engine: e, ctx: ctx, http: r, request: request, faults: faults, tokens: request.MaxTokens, finish: engineapi.FinishLength}
	if e.cfg.StopAfter > 0 && e.cfg.StopAfter < g.tokens {
		g.tokens, g.finish = e.cfg.StopAfter, engineapi.FinishStop
	}
	id := r.Header.Get(engineapi.HeaderRequestID)
	if faults.AnswerID != "" {
		id = faults.AnswerID
	}
	model := request.Model
	if faults.AnswerModel != "" {
		model = faults.AnswerModel
	}
	g.header = engineapi.Completion{
		ID:      engineapi.CompletionIDPrefix + id,
		Object:  engineapi.ObjectCompletion,
		Created: time.Now().Unix(),
		Model:   model,
	}
	return g
}

// wait takes the time of the tokens from..to.
func (g *generation) wait(from, to uint32) bool {
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

func (g *generation) unary(w http.ResponseWriter) {
	if !g.wait(0, g.tokens) || g.faults.CutAfterTokens > 0 {
		standin.Cut(g.http)
		return
	}
	if standin.HangIfSilent(g.http) {
		return
	}
	answer := g.header
	answer.Choices = []engineapi.Choice{{Text: Text(g.request.Model, g.request.Prompt, g.tokens), FinishReason: &g.finish}}
	answer.Usage = g.usage()
	g.engine.completed()
	standin.WriteJSON(w, http.StatusOK, answer)
}

func (g *generation) stream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := range g.tokens {
		if !g.wait(i, i+1) {
			standin.Cut(g.http)
			return
		}
		if g.faults.CutAfterTokens > 0 && i >= g.faults.CutAfterTokens {
			standin.Cut(g.http)
			return
		}
		if standin.HangIfSilent(g.http) {
			return
		}
		event := g.header
		choice := engineapi.Choice{Text: textBetween(g.request.Model, g.request.Prompt, i, i+1)}
		if i == g.tokens-1 {
			choice.FinishReason = &g.finish
		}
		event.Choices = []engineapi.Choice{choice}
		writeEvent(w, event)
		_ = out.Flush()
	}
	if g.request.StreamOptions != nil && g.request.StreamOptions.IncludeUsage {
		event := g.header
		event.Choices = []engineapi.Choice{}
		event.Usage = g.usage()
		writeEvent(w, event)
	}
	fmt.Fprintf(w, "data: %s\n\n", engineapi.StreamDone)
	g.engine.completed()
}

func writeEvent(w http.ResponseWriter, event engineapi.Completion) {
	data, _ := json.Marshal(event)
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) completed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Completed++
}
