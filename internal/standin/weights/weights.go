// Package weights is a stand-in for the weight store from which engines load
// adapters.
package weights

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/weightsapi"
)

// The limits of the real store.
const (
	DefaultLoadsPerSecond = 3
	DefaultMaxInFlight    = 8
	DefaultLoadTime       = 250 * time.Millisecond
)

// PathCounters shows the counters of the store.
const PathCounters = "/standin/counters"

// Config configures the stand-in. Zero values stand for the defaults.
type Config struct {
	Listen string
	// LoadsPerSecond is the rate in the long run. Loads above it wait, and
	// are counted as violations.
	LoadsPerSecond float64
	// Burst is the number of loads that may start at once after a pause. Zero
	// stands for MaxInFlight.
	Burst int
	// MaxInFlight is the number of loads that run at full speed together.
	MaxInFlight int
	// LoadTime is the time of a load at full speed.
	LoadTime time.Duration
}

func (c *Config) setDefaults() {
	if c.LoadsPerSecond == 0 {
		c.LoadsPerSecond = DefaultLoadsPerSecond
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.Burst == 0 {
		c.Burst = c.MaxInFlight
	}
	if c.LoadTime == 0 {
		c.LoadTime = DefaultLoadTime
	}
}

// Faults are the faults that can be switched on.
type Faults struct {
	// Down makes all loads fail.
	Down bool `json:"down"`
	// FailNext makes the next loads fail.
	FailNext int `json:"failNext"`
}

// Counters counts loads.
type Counters struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
	Failed   int `json:"failed"`
	// OverRate counts loads that were asked for above the rate.
	OverRate int `json:"overRate"`
	// OverInFlight counts loads that started while MaxInFlight were in flight.
	OverInFlight int `json:"overInFlight"`
	InFlight     int `json:"inFlight"`
	// MaxInFlight is the largest number that was in flight at once.
	MaxInFlight int `json:"maxInFlight"`
}

// Weights is a running stand-in.
type Weights struct {
	*standin.Server

	cfg     Config
	limiter *rate.Limiter

	mu       sync.Mutex
	law      *law
	faults   Faults
	counters Counters
	// changed is closed and replaced when the number in flight changes.
	changed chan struct{}
}

// Start starts the stand-in. It ends with ctx.
func Start(ctx context.Context, cfg Config) (*Weights, error) {
	cfg.setDefaults()
	s := &Weights{
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), cfg.Burst),
		law:     newLaw(cfg.LoadTime, cfg.MaxInFlight),
		changed: make(chan struct{}),
	}
	server, err := standin.Serve(ctx, cfg.Listen, s.routes())
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Counters returns the counters.
func (s *Weights) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetFaults replaces the faults.
func (s *Weights) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the faults that are on.
func (s *Weights) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Weights) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weightsapi.PathAdapters+"{adapter}/{version}", s.handleLoad)
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc(standin.PathFault, standin.FaultHandler(s.Faults, s.SetFaults))
	return mux
}

func (s *Weights) handleLoad(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil || version == 0 {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	if s.fails() {
		http.Error(w, "load failed", http.StatusServiceUnavailable)
		return
	}
	if !s.limiter.Allow() {
		s.mu.Lock()
		s.counters.OverRate++
		s.mu.Unlock()
		if s.limiter.Wait(r.Context()) != nil {
			return
		}
	}
	if !s.load(r.Context()) {
		return
	}
	ref := ids.AdapterRef{Adapter: ids.AdapterID(r.PathValue("adapter")), Version: ids.AdapterVersion(version)}
	standin.WriteJSON(w, http.StatusOK, weightsapi.Weights{Adapter: ref.Adapter, Version: ref.Version, Digest: Digest(ref)})
}

// Digest returns what stands for the content of an adapter version.
func Digest(ref ids.AdapterRef) string {
	sum := sha256.Sum256([]byte(ref.String()))
	return hex.EncodeToString(sum[:8])
}

// fails takes the faults into account for one load.
func (s *Weights) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FailNext > 0 {
		s.faults.FailNext--
		s.counters.Failed++
		return true
	}
	if s.faults.Down {
		s.counters.Failed++
	}
	return s.faults.Down
}

// load takes the time of one load and tells whether it came to its end.
func (s *Weights) load(ctx context.Context) bool {
	load := s.begin()
	for {
		left, changed := s.progress(load)
		if left <= 0 {
			s.end(load, true)
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			s.end(load, false)
			return false
		}
	}
}

func (s *Weights) begin() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counters.InFlight >= s.cfg.MaxInFlight {
		s.counters.OverInFlight++
	}
	s.counters.Started++
	s.counters.InFlight++
	s.counters.MaxInFlight = max(s.counters.MaxInFlight, s.counters.InFlight)
	s.wake()
	return s.law.start(time.Now())
}

func (s *Weights) end(load uint64, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.InFlight--
	if finished {
		s.counters.Finished++
	}
	s.law.stop(time.Now(), load)
	s.wake()
}

func (s *Weights) progress(load uint64) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.law.left(time.Now(), load), s.changed
}

// wake lets loads compute their end again. The caller holds the lock.
func (s *Weights) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
