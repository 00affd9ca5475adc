// Package service is a stand-in for a plain HTTP service, some of whose calls
// may not be repeated.
package service

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// PathRuns shows the runs of the service.
const PathRuns = "/standin/runs"

// maxBodyBytes bounds request bodies.
const maxBodyBytes = 4 << 20

// Config configures the stand-in.
type Config struct {
	Listen string
	// Name is the name of the service, which answers carry.
	Name string
	// Time is how long a call takes.
	Time time.Duration
	// AnswerBytes pads each answer to at least this size.
	AnswerBytes int
}

// Faults are the faults that can be switched on.
type Faults struct {
	// Silent makes the service accept calls and never run or answer them.
	Silent bool `json:"silent"`
	// SilenceOpenConnections does the same for good on the connections that
	// are open when the fault is set.
	SilenceOpenConnections bool `json:"silenceOpenConnections"`
	// DieAfterRun makes the service run calls and close the connection before
	// it answers.
	DieAfterRun bool `json:"dieAfterRun"`
	// SilentAfterRun makes the service run calls and never answer.
	SilentAfterRun bool `json:"silentAfterRun"`
	// Refuse answers 503 with Not-Run.
	Refuse bool `json:"refuse"`
	// SlowMillis is added to the time of each call.
	SlowMillis int `json:"slowMillis"`
}

// Run is one call that the service ran.
type Run struct {
	RequestID ids.RequestID `json:"requestId"`
	Method    string        `json:"method"`
	Path      string        `json:"path"`
	Body      string        `json:"body"`
	// Header holds all headers that came with the call.
	Header http.Header `json:"header"`
	At     time.Time   `json:"at"`
}

// Answer is the body of each answer.
type Answer struct {
	Service string `json:"service"`
	// Run numbers the runs of this process from 1.
	Run       int           `json:"run"`
	RequestID ids.RequestID `json:"requestId"`
	Method    string        `json:"method"`
	Path      string        `json:"path"`
	Body      string        `json:"body"`
	Padding   string        `json:"padding,omitempty"`
}

// Service is a running stand-in.
type Service struct {
	*standin.Server

	cfg  Config
	boot ids.BootID

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	running  int
	sequence uint64
}

// Start starts the stand-in. It ends with ctx.
func Start(ctx context.Context, cfg Config) (*Service, error) {
	s := &Service{cfg: cfg, boot: ids.BootID(uuid.NewString())}
	server, err := standin.Serve(ctx, cfg.Listen, s.routes())
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	if faults.SilenceOpenConnections {
		s.SilenceOpenConnections()
		faults.SilenceOpenConnections = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the faults that are on.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Runs returns the calls that were run.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.PathHealth, func(w http.ResponseWriter, r *http.Request) {
		if !standin.HangIfSilent(r) {
			w.WriteHeader(http.StatusOK)
		}
	})
	mux.HandleFunc("GET "+engineapi.PathLoad, s.handleLoad)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc(standin.PathFault, standin.FaultHandler(s.Faults, s.SetFaults))
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Service) handleLoad(w http.ResponseWriter, r *http.Request) {
	if standin.HangIfSilent(r) {
		return
	}
	s.mu.Lock()
	s.sequence++
	report := engineapi.LoadReport{BootID: s.boot, Sequence: s.sequence, Running: s.running}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, report)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	faults := s.Faults()
	if faults.Silent || standin.Silent(r) {
		<-r.Context().Done()
		return
	}
	if faults.Refuse {
		w.Header().Set(engineapi.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	run := s.begin(r, body)
	defer s.end()
	// The call has run from here on, whether or not its caller still waits.
	standin.Sleep(context.WithoutCancel(r.Context()), s.cfg.Time+time.Duration(faults.SlowMillis)*time.Millisecond)
	if faults.DieAfterRun {
		standin.Cut(r)
		return
	}
	if faults.SilentAfterRun || standin.Silent(r) {
		<-r.Context().Done()
		return
	}
	answer := Answer{
		Service:   s.cfg.Name,
		Run:       run,
		RequestID: ids.RequestID(r.Header.Get(engineapi.HeaderRequestID)),
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      string(body),
	}
	answer.Padding = strings.Repeat("x", max(0, s.cfg.AnswerBytes))
	w.Header().Set("Run-Number", strconv.Itoa(run))
	standin.WriteJSON(w, http.StatusOK, answer)
}

// begin records a run and returns its number.
func (s *Service) begin(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs = append(s.runs, Run{
		RequestID: ids.RequestID(r.Header.Get(engineapi.HeaderRequestID)),
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      string(body),
		Header:    r.Header.Clone(),
		At:        time.Now(),
	})
	return len(s.runs)
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
