package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1/inferencev1connect"
)

// Result is what a caller learned of a request.
type Result string

// The results of a request.
const (
	ResultAnswer  Result = "answer"
	ResultNotRun  Result = "not run"
	ResultUnknown Result = "unknown"
	// ResultBroken is a connection that broke without an error message, as when the VM
	// of the caller was killed.
	ResultBroken Result = "broken"
)

// Event is one request of a caller with its result.
type Event struct {
	ID       ids.RequestID
	VM       ids.VMID
	Customer ids.CustomerID
	Key      string
	Start    time.Time
	End      time.Time
	Result   Result
	Reason   inferencev1.Reason
	// Detail is the error text that the caller saw.
	Detail string

	// Adapter, Version, Prompt and MaxTokens describe a generation. Version is
	// the one asked for, zero for the default.
	Adapter   ids.AdapterID
	Version   ids.AdapterVersion
	Prompt    string
	MaxTokens uint32
	Streamed  bool
	// Answered, Text and Tokens are the version, text and token count of the
	// answer.
	Answered ids.AdapterVersion
	Text     string
	Tokens   uint32

	// Order is the body of a service call. Repeats of a call have the same
	// order under another request id.
	Order string
	// AnsweredOrder is the body that the answer to a service call quotes.
	AnsweredOrder string
}

// history collects the events of a run.
type history struct {
	mu     sync.Mutex
	events []Event
}

func (h *history) add(event Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

// Load of one run.
const (
	generatorsPerVM = 2
	orderersPerVM   = 1
	generationPause = 40 * time.Millisecond
	orderPause      = 60 * time.Millisecond
	requestTimeout  = 6 * time.Second
	orderAttempts   = 4
	maxTokens       = 24
	// streamShare, defaultShare and tightShare are in parts of 100.
	streamShare  = 40
	defaultShare = 30
	tightShare   = 40
	spareShare   = 10
	wrongShare   = 5
	percent      = 100
)

// workload sends requests to all VMs of a cluster until its context ends.
type workload struct {
	cluster *cluster
	history *history
	// newest is the highest version published for every adapter.
	mu     sync.Mutex
	newest ids.AdapterVersion
}

func (w *workload) newestVersion() ids.AdapterVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest
}

func (w *workload) setNewest(version ids.AdapterVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest = version
}

// run keeps workers on each seat of the cluster; a worker follows the VM that
// replaces its own.
func (w *workload) run(ctx context.Context, seed uint64) {
	var workers sync.WaitGroup
	seats := dataCentres * vmsPerDataCentre
	for seat := range seats {
		for worker := range generatorsPerVM {
			rng := rand.New(rand.NewPCG(seed, uint64(seat*percent+worker)))
			workers.Go(func() { w.generate(ctx, seat, rng) })
		}
		for worker := range orderersPerVM {
			rng := rand.New(rand.NewPCG(seed, uint64((seat+seats)*percent+worker)))
			workers.Go(func() { w.order(ctx, seat, rng) })
		}
	}
	workers.Wait()
}

// pick returns the VM of a seat, or nil while there is none.
func (w *workload) pick(seat int) *process {
	vms := w.cluster.vms()
	if len(vms) == 0 {
		return nil
	}
	return vms[seat%len(vms)]
}

// detached returns a context that outlives the run's, so that requests that
// are open at the end of a run still end.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
}

func (w *workload) generate(ctx context.Context, seat int, rng *rand.Rand) {
	for sleep(ctx, generationPause) {
		p := w.pick(seat)
		if p == nil {
			continue
		}
		event := w.newGeneration(p, rng)
		event.Start = time.Now()
		w.send(ctx, p, &event)
		event.End = time.Now()
		w.history.add(event)
	}
}

func (w *workload) newGeneration(p *process, rng *rand.Rand) Event {
	event := Event{
		ID:        ids.RequestID(uuid.NewString()),
		VM:        p.vm,
		Customer:  wideCustomer,
		Adapter:   adapterID(skewed(rng)),
		Prompt:    fmt.Sprintf("prompt %d", rng.Uint64()),
		MaxTokens: 1 + rng.Uint32N(maxTokens),
		Streamed:  rng.IntN(percent) < streamShare,
	}
	event.Key = keyOf(event.Customer)
	switch draw := rng.IntN(percent); {
	case draw < tightShare:
		event.Customer = tightCustomer
		event.Key = keyOf(tightCustomer)
	case draw < tightShare+spareShare:
		event.Customer = otherCustomer
		event.Key = spareKey
	case draw < tightShare+spareShare+wrongShare:
		event.Customer = otherCustomer
		event.Key = wrongKey
	}
	if rng.IntN(percent) >= defaultShare {
		event.Version = 1 + ids.AdapterVersion(rng.Uint64N(uint64(w.newestVersion())))
	}
	return event
}

// skewed draws an adapter; the square favours low numbers.
func skewed(rng *rand.Rand) int {
	draw := rng.Float64()
	return int(draw * draw * adapters)
}

func (w *workload) send(ctx context.Context, p *process, event *Event) {
	ctx, cancel := detached(ctx)
	defer cancel()
	client := inferencev1connect.NewInferenceServiceClient(w.cluster.client, "http://"+p.settings.Listen.Callers, connect.WithProtoJSON())
	request := connect.NewRequest(&inferencev1.GenerateRequest{
		RequestId: string(event.ID), Adapter: string(event.Adapter), Version: uint64(event.Version),
		Prompt: event.Prompt, MaxTokens: event.MaxTokens,
	})
	request.Header().Set("Authorization", "Bearer "+event.Key)
	if event.Streamed {
		w.stream(ctx, client, request, event)
		return
	}
	answer, err := client.Generate(ctx, request)
	if err != nil {
		event.fail(err)
		return
	}
	event.Result = ResultAnswer
	event.Answered = ids.AdapterVersion(answer.Msg.GetVersion())
	event.Text = answer.Msg.GetText()
	event.Tokens = answer.Msg.GetUsage().GetCompletionTokens()
}

func (w *workload) stream(ctx context.Context, client inferencev1connect.InferenceServiceClient, request *connect.Request[inferencev1.GenerateRequest], event *Event) {
	stream, err := client.GenerateStream(ctx, request)
	if err != nil {
		event.fail(err)
		return
	}
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for stream.Receive() {
		message := stream.Msg()
		text.WriteString(message.GetText())
		event.Answered = ids.AdapterVersion(message.GetVersion())
		if final := message.GetFinal(); final != nil {
			event.Result = ResultAnswer
			event.Tokens = final.GetUsage().GetCompletionTokens()
		}
	}
	event.Text = text.String()
	if event.Result == ResultAnswer {
		return
	}
	if err := stream.Err(); err != nil {
		event.fail(err)
		return
	}
	event.Result, event.Detail = ResultBroken, "stream ended without its final message"
}

// fail classifies an error by the outcome that it carries.
func (e *Event) fail(err error) {
	e.Result, e.Detail = ResultBroken, err.Error()
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return
	}
	for _, detail := range connectErr.Details() {
		value, decodeErr := detail.Value()
		if decodeErr != nil {
			continue
		}
		if outcome, ok := value.(*inferencev1.RequestOutcome); ok {
			e.Reason = outcome.GetReason()
			e.Result = resultOf(outcome.GetOutcome())
		}
	}
}

func resultOf(outcome inferencev1.Outcome) Result {
	if outcome == inferencev1.Outcome_OUTCOME_NOT_RUN {
		return ResultNotRun
	}
	return ResultUnknown
}

// order sends service calls that must not run twice. A caller that did not get
// an answer repeats the call with the same key through another VM.
func (w *workload) order(ctx context.Context, seat int, rng *rand.Rand) {
	for sleep(ctx, orderPause) {
		key, err := uuid.NewV7()
		if err != nil {
			return
		}
		body := "order " + key.String()
		for attempt := range orderAttempts {
			p := w.pick(seat + attempt*(1+rng.IntN(vmsPerDataCentre)))
			if p == nil {
				break
			}
			event := Event{
				ID: ids.RequestID(uuid.NewString()), VM: p.vm, Customer: wideCustomer,
				Key: keyOf(wideCustomer), Order: body, Start: time.Now(),
			}
			w.call(ctx, p, key.String(), &event)
			event.End = time.Now()
			w.history.add(event)
			if event.Result == ResultAnswer {
				break
			}
		}
	}
}

// Headers of pass-through calls.
const (
	headerOutcome   = "Wagtailspoke-Outcome"
	headerReason    = "Wagtailspoke-Reason"
	headerRequestID = "Wagtailspoke-Request-Id"
	outcomeNotRun   = "NOT_RUN"
	maxAnswerBytes  = 1 << 20
)

func (w *workload) call(ctx context.Context, p *process, key string, event *Event) {
	ctx, cancel := detached(ctx)
	defer cancel()
	url := "http://" + p.settings.Listen.Callers + orderPath + "place"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(event.Order)))
	if err != nil {
		event.Result, event.Detail = ResultBroken, err.Error()
		return
	}
	// The caller's own library must not repeat the call either.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+event.Key)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set(headerRequestID, string(event.ID))
	answer, err := w.cluster.client.Do(request)
	if err != nil {
		event.Result, event.Detail = ResultBroken, err.Error()
		return
	}
	defer func() { _ = answer.Body.Close() }()
	event.read(answer)
}

func (e *Event) read(answer *http.Response) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	e.Detail = string(body)
	switch {
	case err != nil:
		e.Result, e.Detail = ResultBroken, err.Error()
	case answer.StatusCode == http.StatusOK:
		var quoted service.Answer
		if json.Unmarshal(body, &quoted) != nil {
			e.Result = ResultBroken
			return
		}
		e.Result, e.AnsweredOrder = ResultAnswer, quoted.Body
	case strings.Contains(answer.Header.Get(headerOutcome), outcomeNotRun):
		e.Result = ResultNotRun
	default:
		e.Result = ResultUnknown
	}
	if e.Result != ResultAnswer {
		reason := strings.ToUpper(strings.TrimPrefix(answer.Header.Get(headerReason), "REASON_"))
		e.Reason = inferencev1.Reason(inferencev1.Reason_value["REASON_"+reason])
	}
}
