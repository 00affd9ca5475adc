// Package service simulates a plain HTTP service, some of whose calls must not
// be run twice. It records every call that it runs and can inject faults.
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

// PathRuns returns the calls that the service ran.
const PathRuns = "/standin/runs"

// maxBodyBytes bounds the bodies of requests.
const maxBodyBytes = 4 << 20

// Config configures the service.
type Config struct {
	Listen string
	// Name is the name of the service, which its responses contain.
	Name string
	// Time is the duration of a call.
	Time time.Duration
	// AnswerBytes is the number of padding bytes in each response.
	AnswerBytes int
}

// Faults selects the faults that the service injects.
type Faults struct {
	// Silent makes the service accept calls without ever running them or
	// responding.
	Silent bool `json:"silent"`
	// SilenceOpenConnections has the same effect on all calls of the
	// connections that are open when the fault is set, and can't be undone for
	// them.
	SilenceOpenConnections bool `json:"silenceOpenConnections"`
	// DieAfterRun makes the service run calls and then close the connection
	// without a response.
	DieAfterRun bool `json:"dieAfterRun"`
	// SilentAfterRun makes the service run calls without ever responding.
	SilentAfterRun bool `json:"silentAfterRun"`
	// Refuse makes the service refuse calls with status 503 and the header
	// Not-Run.
	Refuse bool `json:"refuse"`
	// SlowMillis is added to the duration of each call, in milliseconds.
	SlowMillis int `json:"slowMillis"`
}

// Run records one call that the service ran.
type Run struct {
	RequestID ids.RequestID `json:"requestId"`
	Method    string        `json:"method"`
	Path      string        `json:"path"`
	Body      string        `json:"body"`
	// Header holds all headers of the request.
	Header http.Header `json:"header"`
	At     time.Time   `json:"at"`
}

// Answer is the JSON body of every response.
type Answer struct {
	Service string `json:"service"`
	// Run is the number of the run in this process, starting at 1.
	Run       int           `json:"run"`
	RequestID ids.RequestID `json:"requestId"`
	Method    string        `json:"method"`
	Path      string        `json:"path"`
	Body      string        `json:"body"`
	Padding   string        `json:"padding,omitempty"`
}

// Service is a running simulated service. mu guards all fields below it.
type Service struct {
	*standin.Server

	cfg    Config
	bootID ids.BootID

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	running  int
	sequence uint64
}

// Start starts the service. It stops when ctx ends.
func Start(ctx context.Context, cfg Config) (*Service, error) {
	s := &Service{cfg: cfg, bootID: ids.BootID(uuid.NewString())}
	server, err := standin.Serve(ctx, cfg.Listen, s.routes())
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	if faults.SilenceOpenConnections {
		s.SilenceOpenConnections()
		faults.SilenceOpenConnections = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the injected faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Runs returns the calls that the service ran, in that order.
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
	report := engineapi.LoadReport{BootID: s.bootID, Sequence: s.sequence, Running: s.running}
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
	run := s.beginRun(r, body)
	defer s.endRun()
	// The call counts as run from here on, even if its caller no longer waits.
	standin.Sleep(context.WithoutCancel(r.Context()), s.cfg.Time+time.Duration(faults.SlowMillis)*time.Millisecond)
	if faults.DieAfterRun {
		standin.CloseConnection(r)
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

// beginRun records a run and returns its number.
func (s *Service) beginRun(r *http.Request, body []byte) int {
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

// endRun counts a call as no longer running.
func (s *Service) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
