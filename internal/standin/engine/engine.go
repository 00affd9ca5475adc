// Package engine simulates a model engine for tests, demonstrations and
// benchmarks. It serves the OpenAI completions API with a continuous batch and
// loads adapters into slots from a weight store. It can inject faults, and
// records every run and every violation of the rules that its clients must
// follow.
package engine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Defaults of Config and of requests.
const (
	DefaultSlots       = 8
	DefaultMaxBatch    = 16
	DefaultReportEvery = 100 * time.Millisecond
	defaultBaseModel   = "base"
	// defaultMaxTokens applies to requests without max_tokens; the OpenAI API
	// has the same default.
	defaultMaxTokens = 16
)

// Config configures the engine. A zero value stands for the default.
type Config struct {
	Listen    string
	BaseModel string
	// Slots is the number of adapters that can be resident or loading at once.
	Slots int
	// MaxBatch bounds the requests that run concurrently; others wait.
	MaxBatch int
	// MaxWaiting bounds the waiting requests; the engine refuses more with
	// status 503 and the header Not-Run. Zero stands for no bound.
	MaxWaiting int
	// FirstTokenTime is the time until the first token, TokenTime the time
	// between subsequent tokens. Zero stands for no delay.
	FirstTokenTime time.Duration
	TokenTime      time.Duration
	// StopAfter ends generation with the finish reason "stop" after this
	// number of tokens. Zero stands for no limit.
	StopAfter uint32
	// Fencing makes the engine reject load and unload orders whose fencing
	// token is lower than the highest one it has seen.
	Fencing bool
	// WeightStore is the IP address and port of the weight store. If it is
	// empty, adapters load immediately.
	WeightStore string
	// ReportLag is the minimum age of the load report that is returned once
	// the engine has run that long, ReportEvery the interval at which reports
	// are recorded.
	ReportLag   time.Duration
	ReportEvery time.Duration
}

func (c *Config) setDefaults() {
	if c.BaseModel == "" {
		c.BaseModel = defaultBaseModel
	}
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = DefaultMaxBatch
	}
	if c.ReportEvery == 0 {
		c.ReportEvery = DefaultReportEvery
	}
}

// Faults selects the faults that the engine injects.
type Faults struct {
	// Silent makes the engine accept completion requests without ever
	// responding.
	Silent bool `json:"silent"`
	// SilenceOpenConnections has the same effect on all requests of the
	// connections that are open when the fault is set, and can't be undone for
	// them.
	SilenceOpenConnections bool `json:"silenceOpenConnections"`
	// CutAfterTokens closes the connection of a streaming request after this
	// number of tokens, and the connection of a unary request instead of
	// responding. Zero disables the fault.
	CutAfterTokens uint32 `json:"cutAfterTokens"`
	// SlowFactor multiplies the generation time of each token. Zero stands for
	// 1.
	SlowFactor float64 `json:"slowFactor"`
	// FailLoads is the number of subsequent adapter loads that fail.
	FailLoads int `json:"failLoads"`
	// AnswerModel replaces the model in responses, which simulates a response
	// that belongs to another request.
	AnswerModel string `json:"answerModel"`
	// AnswerID replaces the request id in responses.
	AnswerID string `json:"answerId"`
	// Refuse makes the engine refuse completion requests with status 503 and
	// the header Not-Run.
	Refuse bool `json:"refuse"`
}

// Run records a completion that the engine started to run.
type Run struct {
	RequestID ids.RequestID `json:"requestId"`
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens uint32        `json:"maxTokens"`
	Priority  int32         `json:"priority"`
	// Header holds all headers of the request.
	Header http.Header `json:"header"`
	BootID ids.BootID  `json:"bootId"`
	At     time.Time   `json:"at"`
}

// ViolationKind names a rule that clients of the engine must not violate.
type ViolationKind string

// Kinds of violations.
const (
	// ViolationEvictedServing is an unload of an adapter version while
	// requests for it were running or waiting.
	ViolationEvictedServing ViolationKind = "evicted-serving"
	// ViolationStaleOrder is a load or unload order with an outdated fencing
	// token that the engine carried out because it has no fencing.
	ViolationStaleOrder ViolationKind = "stale-order"
	// ViolationSlotsFull is a load order that found no free slot.
	ViolationSlotsFull ViolationKind = "slots-full"
)

// Violation is one violation that the engine detected.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Model  string        `json:"model"`
	Detail string        `json:"detail"`
	At     time.Time     `json:"at"`
}

// Counters counts orders and requests, and accumulates the use of the batch.
type Counters struct {
	Loads       int `json:"loads"`
	FailedLoads int `json:"failedLoads"`
	Unloads     int `json:"unloads"`
	Fenced      int `json:"fenced"`
	NotFound    int `json:"notFound"`
	Completed   int `json:"completed"`
	// BusySeconds is the time with at least one request in the batch, and
	// BatchSeconds the integral of the batch size over time. BatchSeconds /
	// BusySeconds is the mean batch size while the engine is busy.
	BusySeconds  float64 `json:"busySeconds"`
	BatchSeconds float64 `json:"batchSeconds"`
}

// adapter is an adapter version that occupies a slot.
type adapter struct {
	digest string
	// requests counts the running and waiting requests for the adapter.
	requests int
	// cancel ends ctx, and with it the requests that still use the adapter
	// when it is unloaded.
	cancel context.CancelFunc
	ctx    context.Context
}

// Engine is a running simulated engine. mu guards all fields below it.
type Engine struct {
	*standin.Server

	cfg    Config
	client *http.Client

	mu           sync.Mutex
	faults       Faults
	bootID       ids.BootID
	bootCtx      context.Context
	cancelBoot   context.CancelFunc
	sequence     uint64
	highestToken ids.FencingToken
	resident     map[string]*adapter
	// loading holds, by model, a channel for each load in progress; it is
	// closed when the load ends.
	loading    map[string]chan struct{}
	batch      batch
	reports    []timedReport
	runs       []Run
	violations []Violation
	counters   Counters
}

// Start starts the engine. It stops when ctx ends.
func Start(ctx context.Context, cfg Config) (*Engine, error) {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, client: &http.Client{Transport: &http.Transport{}}}
	e.resetToBootState()
	server, err := standin.Serve(ctx, cfg.Listen, e.routes())
	if err != nil {
		return nil, err
	}
	e.Server = server
	go e.recordReports(ctx)
	return e, nil
}

// Restart simulates a restart without any state: the engine loses its adapters
// and the highest fencing token, interrupts its requests, closes its
// connections, and takes a new boot id.
func (e *Engine) Restart() {
	e.cancelBoot()
	e.CloseOpenConnections()
	e.resetToBootState()
}

// resetToBootState puts the engine into its initial state with a new boot id.
// Runs, violations and counters are kept.
func (e *Engine) resetToBootState() {
	bootCtx, cancelBoot := context.WithCancel(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = ids.BootID(uuid.NewString())
	e.bootCtx, e.cancelBoot = bootCtx, cancelBoot
	e.sequence, e.highestToken = 0, 0
	e.resident = make(map[string]*adapter)
	e.loading = make(map[string]chan struct{})
	e.batch = batch{limit: e.cfg.MaxBatch}
	e.reports = nil
	e.recordReport(time.Now())
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	if faults.SilenceOpenConnections {
		e.SilenceOpenConnections()
		faults.SilenceOpenConnections = false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Faults returns the injected faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Runs returns the completions that started to run, in that order.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Violations returns the violations that the engine detected.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation(nil), e.violations...)
}

// Counters returns the counters, with the use of the batch up to now.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountBatch(time.Now())
	return e.counters
}

// BootID returns the id of the current boot; it changes at each restart.
func (e *Engine) BootID() ids.BootID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// Resident returns the sorted names of the resident adapter versions.
func (e *Engine) Resident() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.residentModels()
}

// recordViolation records a violation. The caller holds e.mu.
func (e *Engine) recordViolation(kind ViolationKind, model, detail string) {
	e.violations = append(e.violations, Violation{Kind: kind, Model: model, Detail: detail, At: time.Now()})
}

// accountBatch adds the use of the batch since the last call to the counters.
// It must be called before the batch changes. The caller holds e.mu.
func (e *Engine) accountBatch(now time.Time) {
	elapsed := now.Sub(e.batch.accountedUntil).Seconds()
	e.batch.accountedUntil = now
	if e.batch.running > 0 {
		e.counters.BusySeconds += elapsed
		e.counters.BatchSeconds += elapsed * float64(e.batch.running)
	}
}

// State is the response to a GET of PathState.
type State struct {
	BootID     ids.BootID  `json:"bootId"`
	Resident   []string    `json:"resident"`
	Runs       []Run       `json:"runs"`
	Violations []Violation `json:"violations"`
	Counters   Counters    `json:"counters"`
}

// Paths that only the simulated engine has, for tests.
const (
	// PathState returns what the engine recorded.
	PathState = "/standin/state"
	// PathRestart restarts the engine without its state.
	PathRestart = "/standin/restart"
)

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.handleCompletion)
	mux.HandleFunc("POST "+engineapi.PathLoadAdapter, e.handleLoadAdapter)
	mux.HandleFunc("POST "+engineapi.PathUnloadAdapter, e.handleUnloadAdapter)
	mux.HandleFunc("GET "+engineapi.PathModels, e.handleModels)
	mux.HandleFunc("GET "+engineapi.PathHealth, func(w http.ResponseWriter, r *http.Request) {
		if !standin.HangIfSilent(r) {
			w.WriteHeader(http.StatusOK)
		}
	})
	mux.HandleFunc("GET "+engineapi.PathLoad, e.handleLoad)
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, State{
			BootID: e.BootID(), Resident: e.Resident(), Runs: e.Runs(),
			Violations: e.Violations(), Counters: e.Counters(),
		})
	})
	mux.HandleFunc("POST "+PathRestart, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		go e.Restart()
	})
	mux.HandleFunc(standin.PathFault, standin.FaultHandler(e.Faults, e.SetFaults))
	return mux
}

// sendError responds with an error in the format of the OpenAI API.
func sendError(w http.ResponseWriter, status int, kind engineapi.ErrorType, format string, args ...any) {
	standin.WriteJSON(w, status, engineapi.ErrorBody{Error: engineapi.Error{
		Message: fmt.Sprintf(format, args...),
		Type:    kind,
		Code:    status,
	}})
}

// fencingToken returns the fencing token of a load or unload order, or 0 if the
// order has none.
func fencingToken(r *http.Request) (ids.FencingToken, error) {
	text := r.Header.Get(engineapi.HeaderFencingToken)
	if text == "" {
		return 0, nil
	}
	token, err := strconv.ParseUint(text, 10, 64)
	return ids.FencingToken(token), err
}
