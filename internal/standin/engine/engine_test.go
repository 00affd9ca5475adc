package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"
	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/weights"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

const model = "summaries@2"

func start(t *testing.T, cfg engine.Config) *engine.Engine {
	t.Helper()
	e, err := engine.Start(t.Context(), cfg)
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e
}

func post(t *testing.T, e *engine.Engine, path string, body any, header http.Header) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+path, bytes.NewReader(data))
	assert.NilError(t, err)
	request.Header = header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		t.Cleanup(func() { response.Body.Close() })
	}
	return response, err
}

func order(t *testing.T, e *engine.Engine, path, name string, token int) int {
	t.Helper()
	header := http.Header{}
	header.Set(engineapi.HeaderFencingToken, fmt.Sprint(token))
	response, err := post(t, e, path, engineapi.LoadAdapterRequest{LoraName: name}, header)
	assert.NilError(t, err)
	return response.StatusCode
}

// Guards against responses that a test could confuse with those of another
// model or prompt, and against running a model that is not resident.
func TestUnaryAnswerNamesWhatRan(t *testing.T) {
	store, err := weights.Start(t.Context(), weights.Config{LoadTime: time.Millisecond})
	assert.NilError(t, err)
	e := start(t, engine.Config{WeightStore: store.Address()})
	request := engineapi.CompletionRequest{Model: model, Prompt: "hello", MaxTokens: 3}
	response, err := post(t, e, engineapi.PathCompletions, request, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Equal(t, len(e.Runs()), 0)

	assert.Equal(t, order(t, e, engineapi.PathLoadAdapter, model, 1), http.StatusOK)
	response, err = post(t, e, engineapi.PathCompletions, request, http.Header{"X-Request-Id": {"r1"}})
	assert.NilError(t, err)
	var answer engineapi.Completion
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	assert.Equal(t, answer.Model, model)
	assert.Equal(t, answer.ID, "cmpl-r1")
	assert.Equal(t, answer.Choices[0].Text, engine.GeneratedText(model, "hello", 3))
	assert.Equal(t, *answer.Usage, engineapi.Usage{PromptTokens: 2, CompletionTokens: 3, TotalTokens: 5})
	assert.Assert(t, engine.GeneratedText(model, "hello", 3) != engine.GeneratedText("summaries@1", "hello", 3))
	assert.Equal(t, e.Runs()[0].RequestID, ids.RequestID("r1"))
}

// readStream returns the text of a stream and whether the stream was complete.
func readStream(t *testing.T, response *http.Response) (text string, whole bool) {
	t.Helper()
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return text, false
		}
		if event.Data == engineapi.StreamDone {
			return text, true
		}
		var part engineapi.Completion
		assert.NilError(t, json.Unmarshal([]byte(event.Data), &part))
		for _, choice := range part.Choices {
			text += choice.Text
		}
	}
	return text, false
}

// Guards against an interrupted stream that looks complete.
func TestStreamEndsWithDoneOnlyWhenWhole(t *testing.T) {
	e := start(t, engine.Config{})
	order(t, e, engineapi.PathLoadAdapter, model, 1)
	request := engineapi.CompletionRequest{Model: model, Prompt: "p", MaxTokens: 5, Stream: true}
	response, err := post(t, e, engineapi.PathCompletions, request, nil)
	assert.NilError(t, err)
	text, whole := readStream(t, response)
	assert.Assert(t, whole)
	assert.Equal(t, text, engine.GeneratedText(model, "p", 5))

	e.SetFaults(engine.Faults{CutAfterTokens: 2})
	response, err = post(t, e, engineapi.PathCompletions, request, nil)
	assert.NilError(t, err)
	text, whole = readStream(t, response)
	assert.Assert(t, !whole)
	assert.Assert(t, strings.HasPrefix(engine.GeneratedText(model, "p", 5), text))
}

// Guards against an engine with fencing that carries out an order of a replaced
// owner, and against such an order on another engine that isn't recorded as a
// violation.
func TestFencing(t *testing.T) {
	fenced := start(t, engine.Config{Fencing: true})
	assert.Equal(t, order(t, fenced, engineapi.PathLoadAdapter, "a@1", 5), http.StatusOK)
	assert.Equal(t, order(t, fenced, engineapi.PathUnloadAdapter, "a@1", 4), http.StatusConflict)
	assert.DeepEqual(t, fenced.Resident(), []string{"a@1"})

	open := start(t, engine.Config{})
	assert.Equal(t, order(t, open, engineapi.PathLoadAdapter, "a@1", 5), http.StatusOK)
	assert.Equal(t, order(t, open, engineapi.PathUnloadAdapter, "a@1", 4), http.StatusOK)
	assert.Equal(t, open.Violations()[0].Kind, engine.ViolationStaleOrder)
}

// Guards against the unload of an adapter with a running request that isn't
// recorded as a violation.
func TestEvictionUnderRequestIsRecorded(t *testing.T) {
	e := start(t, engine.Config{FirstTokenTime: time.Minute})
	order(t, e, engineapi.PathLoadAdapter, model, 1)
	failed := make(chan error, 1)
	go func() {
		_, err := post(t, e, engineapi.PathCompletions, engineapi.CompletionRequest{Model: model}, nil)
		failed <- err
	}()
	for len(e.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, order(t, e, engineapi.PathUnloadAdapter, model, 1), http.StatusOK)
	assert.Assert(t, <-failed != nil)
	assert.Equal(t, e.Violations()[0].Kind, engine.ViolationEvictedServing)
}

// Guards against more adapters than slots, and against an injected load failure
// that has no effect.
func TestSlotsAndFailedLoads(t *testing.T) {
	e := start(t, engine.Config{Slots: 1})
	e.SetFaults(engine.Faults{FailLoads: 1})
	assert.Equal(t, order(t, e, engineapi.PathLoadAdapter, "a@1", 1), http.StatusInternalServerError)
	assert.Equal(t, order(t, e, engineapi.PathLoadAdapter, "a@1", 1), http.StatusOK)
	assert.Equal(t, order(t, e, engineapi.PathLoadAdapter, "a@1", 1), http.StatusBadRequest)
	assert.Equal(t, order(t, e, engineapi.PathLoadAdapter, "b@1", 1), http.StatusServiceUnavailable)
	assert.DeepEqual(t, e.Resident(), []string{"a@1"})
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "condition not met in 10 s")
	}
}

func report(t *testing.T, e *engine.Engine) engineapi.LoadReport {
	t.Helper()
	response, err := http.Get(e.URL() + engineapi.PathLoad)
	assert.NilError(t, err)
	defer response.Body.Close()
	var got engineapi.LoadReport
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&got))
	return got
}

// Guards against load reports without the configured delay, and against reports
// that still list the adapters of before a restart.
func TestReportLagsAndRestartIsCold(t *testing.T) {
	e := start(t, engine.Config{ReportLag: 300 * time.Millisecond, ReportEvery: 5 * time.Millisecond})
	loaded := time.Now()
	order(t, e, engineapi.PathLoadAdapter, model, 7)
	if first := report(t, e); time.Since(loaded) < 300*time.Millisecond {
		assert.Equal(t, len(first.Resident), 0)
	}
	waitFor(t, func() bool { return len(report(t, e).Resident) == 1 })
	assert.Assert(t, time.Since(loaded) >= 300*time.Millisecond)
	before := report(t, e)
	e.Restart()
	after := report(t, e)
	assert.Assert(t, before.BootID != after.BootID)
	assert.Equal(t, len(after.Resident), 0)
	assert.Equal(t, len(e.Resident()), 0)
}

// Guards against a silenced connection that still responds, and against a fault
// that affects new connections.
func TestSilentConnections(t *testing.T) {
	e := start(t, engine.Config{})
	order(t, e, engineapi.PathLoadAdapter, model, 1)
	client := &http.Client{Transport: &http.Transport{}}
	get := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL()+engineapi.PathHealth, nil)
		assert.NilError(t, err)
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	assert.NilError(t, get(10*time.Second))
	e.SetFaults(engine.Faults{SilenceOpenConnections: true})
	assert.ErrorIs(t, get(100*time.Millisecond), context.DeadlineExceeded)
	assert.NilError(t, get(10*time.Second))
}
