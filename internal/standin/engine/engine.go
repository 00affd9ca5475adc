// Package engine is a stand-in for a model engine: OpenAI completions over a
// continuous batch, with adapter slots that are filled from a weight store.
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

// The defaults of Config.
const (
	DefaultSlots       = 8
	DefaultMaxBatch    = 16
	DefaultReportEvery = 100 * time.Millisecond
	defaultBaseModel   = "base"
	// defaultMaxTokens is what the OpenAI API assumes when a request has none.
	defaultMaxTokens = 16
)

// Config configures the stand-in. Zero values stand for the defaults.
type Config struct {
	Listen    string
	BaseModel string
	// Slots is the number of adapters held at once.
	Slots int
	// MaxBatch is the number of requests that run at once; others wait.
	MaxBatch int
	// MaxWaiting is the number of requests that wait at most; more are refused
	// with 503 and Not-Run. Zero stands for no bound.
	MaxWaiting int
	// FirstTokenTime and TokenTime are the times to the first and to each
	// later token. Zero stands for none.
	FirstTokenTime time.Duration
	TokenTime      time.Duration
	// StopAfter ends generation with the reason "stop" after this number of
	// tokens. Zero stands for never.
	StopAfter uint32
	// Fencing makes the engine refuse orders with an old fencing token.
	Fencing bool
	// WeightStore is the IP number and port of the weight store. Without one
	// adapters load at once.
	WeightStore string
	// ReportLag is the age of load reports, ReportEvery their interval.
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

// Faults are the faults that can be switched on.
type Faults struct {
	// Silent makes the engine accept completions and never answer.
	Silent bool `json:"silent"`
	// SilenceOpenConnections does the same for good on the connections that
	// are open when the fault is set.
	SilenceOpenConnections bool `json:"silenceOpenConnections"`
	// CutAfterTokens closes the connection of a stream after this number of
	// tokens, and that of a unary request instead of answering. Zero is off.
	CutAfterTokens uint32 `json:"cutAfterTokens"`
	// SlowFactor multiplies the time of each token. Zero stands for 1.
	SlowFactor float64 `json:"slowFactor"`
	// FailLoads makes the next adapter loads fail.
	FailLoads int `json:"failLoads"`
	// AnswerModel replaces the model in answers, as in a crossed answer.
	AnswerModel string `json:"answerModel"`
	// AnswerID replaces the request id in answers.
	AnswerID string `json:"answerId"`
	// Refuse answers completions with 503 and Not-Run.
	Refuse bool `json:"refuse"`
}

// Run is a completion that the engine began to run.
type Run struct {
	RequestID ids.RequestID `json:"requestId"`
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens uint32        `json:"maxTokens"`
	Priority  int32         `json:"priority"`
	// Header holds all headers that came with the request.
	Header http.Header `json:"header"`
	BootID ids.BootID  `json:"bootId"`
	At     time.Time   `json:"at"`
}

// ViolationKind names a rule of the engine's users.
type ViolationKind string

// The kinds of violations.
const (
	// ViolationEvictedServing is an unload while requests ran or waited on the
	// adapter version.
	ViolationEvictedServing ViolationKind = "evicted-serving"
	// ViolationStaleOrder is an order with an old fencing token; it was carried
	// out unless the engine has fencing.
	ViolationStaleOrder ViolationKind = "stale-order"
	// ViolationSlotsFull is a load order without a free slot.
	ViolationSlotsFull ViolationKind = "slots-full"
)

// Violation is one breach that the engine saw.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Model  string        `json:"model"`
	Detail string        `json:"detail"`
	At     time.Time     `json:"at"`
}

// Counters counts orders and how full the batch was.
type Counters struct {
	Loads       int `json:"loads"`
	FailedLoads int `json:"failedLoads"`
	Unloads     int `json:"unloads"`
	Fenced      int `json:"fenced"`
	NotFound    int `json:"notFound"`
	Completed   int `json:"completed"`
	// BusySeconds is the time with at least one request in the batch, and
	// BatchSeconds the integral of the batch size; their quotient is the mean
	// batch.
	BusySeconds  float64 `json:"busySeconds"`
	BatchSeconds float64 `json:"batchSeconds"`
}

// adapter is an adapter version in a slot.
type adapter struct {
	digest string
	// requests counts requests that run or wait.
	requests int
	// cancel ends the requests when the adapter is unloaded under them.
	cancel context.CancelFunc
	life   context.Context
}

// Engine is a running stand-in.
type Engine struct {
	*standin.Server

	cfg    Config
	client *http.Client

	mu       sync.Mutex
	faults   Faults
	boot     ids.BootID
	life     context.Context
	endLife  context.CancelFunc
	sequence uint64
	fence    ids.FencingToken
	resident map[string]*adapter
	// loading holds a channel for each load in progress; it is closed at the
	// end of the load.
	loading    map[string]chan struct{}
	batch      batch
	reports    []agedReport
	runs       []Run
	violations []Violation
	counters   Counters
}

// Start starts the stand-in. It ends with ctx.
func Start(ctx context.Context, cfg Config) (*Engine, error) {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, client: &http.Client{Transport: &http.Transport{}}}
	e.boots()
	server, err := standin.Serve(ctx, cfg.Listen, e.routes())
	if err != nil {
		return nil, err
	}
	e.Server = server
	go e.report(ctx)
	return e, nil
}

// Restart makes the engine start again cold: it forgets its adapters and the
// fencing token, cuts its requests and connections, and takes a new boot id.
func (e *Engine) Restart() {
	e.endLife()
	e.CutOpenConnections()
	e.boots()
}

// boots puts the engine into the state after its start.
func (e *Engine) boots() {
	life, endLife := context.WithCancel(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = ids.BootID(uuid.NewString())
	e.life, e.endLife = life, endLife
	e.sequence, e.fence = 0, 0
	e.resident = make(map[string]*adapter)
	e.loading = make(map[string]chan struct{})
	e.batch = batch{limit: e.cfg.MaxBatch}
	e.reports = nil
	e.snapshot(time.Now())
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	if faults.SilenceOpenConnections {
		e.SilenceOpenConnections()
		faults.SilenceOpenConnections = false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Faults returns the faults that are on.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Runs returns the completions that began to run.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Violations returns the breaches that the engine saw.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation(nil), e.violations...)
}

// Counters returns the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account(time.Now())
	return e.counters
}

// BootID returns the boot id.
func (e *Engine) BootID() ids.BootID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Resident returns the models that the engine can run now.
func (e *Engine) Resident() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models()
}

// violate records a breach. The caller holds the lock.
func (e *Engine) violate(kind ViolationKind, model, detail string) {
	e.violations = append(e.violations, Violation{Kind: kind, Model: model, Detail: detail, At: time.Now()})
}

// account adds the batch since the last call to the counters. The caller
// holds the lock.
func (e *Engine) account(now time.Time) {
	elapsed := now.Sub(e.batch.since).Seconds()
	e.batch.since = now
	if e.batch.running > 0 {
		e.counters.BusySeconds += elapsed
		e.counters.BatchSeconds += elapsed * float64(e.batch.running)
	}
}

// State is the answer to GET of PathState.
type State struct {
	BootID     ids.BootID  `json:"bootId"`
	Resident   []string    `json:"resident"`
	Runs       []Run       `json:"runs"`
	Violations []Violation `json:"violations"`
	Counters   Counters    `json:"counters"`
}

// Paths of the stand-in only.
const (
	// PathState shows what the engine recorded.
	PathState = "/standin/state"
	// PathRestart restarts the engine cold.
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

// refuse answers with an error in the form of the OpenAI API.
func refuse(w http.ResponseWriter, status int, kind engineapi.ErrorType, format string, args ...any) {
	standin.WriteJSON(w, status, engineapi.ErrorBody{Error: engineapi.Error{
		Message: fmt.Sprintf(format, args...),
		Type:    kind,
		Code:    status,
	}})
}

// fencingToken reads the fencing token of an order; an order without one has
// token 0.
func fencingToken(r *http.Request) (ids.FencingToken, error) {
	text := r.Header.Get(engineapi.HeaderFencingToken)
	if text == "" {
		return 0, nil
	}
	token, err := strconv.ParseUint(text, 10, 64)
	return ids.FencingToken(token), err
}
