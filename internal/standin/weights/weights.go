// Package weights simulates the weight store from which engines load adapters,
// with its rate limit and its slowdown under concurrent loads. It counts
// violations of the limits and can inject faults.
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

// Limits and load time of the real store.
const (
	DefaultLoadsPerSecond = 3
	DefaultMaxInFlight    = 8
	DefaultLoadTime       = 250 * time.Millisecond
)

// PathCounters returns the counters of the store.
const PathCounters = "/standin/counters"

// Config configures the store. A zero value stands for the default.
type Config struct {
	Listen string
	// LoadsPerSecond is the sustained rate of loads. Loads above it wait and
	// are counted as violations.
	LoadsPerSecond float64
	// Burst is the number of loads that may start at once after an idle
	// period. Zero stands for MaxInFlight.
	Burst int
	// MaxInFlight bounds the concurrent loads that run at full speed; more
	// loads slow each other down and are counted as violations.
	MaxInFlight int
	// LoadTime is the duration of a load at full speed.
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

// Faults selects the faults that the store injects.
type Faults struct {
	// Down makes all loads fail.
	Down bool `json:"down"`
	// FailNext is the number of subsequent loads that fail.
	FailNext int `json:"failNext"`
}

// Counters counts loads by their state and result, and violations of the
// limits.
type Counters struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
	Failed   int `json:"failed"`
	// OverRate counts the loads that were requested above the rate.
	OverRate int `json:"overRate"`
	// OverInFlight counts the loads that started while MaxInFlight others were
	// already in flight.
	OverInFlight int `json:"overInFlight"`
	InFlight     int `json:"inFlight"`
	// MaxInFlight is the largest number of loads that were in flight at once.
	MaxInFlight int `json:"maxInFlight"`
}

// Store is a running simulated weight store. mu guards all fields below it.
type Store struct {
	*standin.Server

	cfg     Config
	limiter *rate.Limiter

	mu       sync.Mutex
	timing   *loadTiming
	faults   Faults
	counters Counters
	// changed is closed and replaced when the number of loads in flight
	// changes.
	changed chan struct{}
}

// Start starts the store. It stops when ctx ends.
func Start(ctx context.Context, cfg Config) (*Store, error) {
	cfg.setDefaults()
	s := &Store{
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), cfg.Burst),
		timing:  newLoadTiming(cfg.LoadTime, cfg.MaxInFlight),
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
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weightsapi.PathAdapters+"{adapter}/{version}", s.handleLoad)
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc(standin.PathFault, standin.FaultHandler(s.Faults, s.SetFaults))
	return mux
}

func (s *Store) handleLoad(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil || version == 0 {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	if s.consumeFault() {
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

// Digest returns a digest that represents the content of an adapter version.
func Digest(ref ids.AdapterRef) string {
	sum := sha256.Sum256([]byte(ref.String()))
	return hex.EncodeToString(sum[:8])
}

// consumeFault reports whether a load must fail because of an injected fault,
// counts the failed load, and counts FailNext down.
func (s *Store) consumeFault() bool {
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

// load waits for the duration of one load and reports whether it finished. It
// returns false if ctx ends before.
func (s *Store) load(ctx context.Context) bool {
	load := s.beginLoad()
	for {
		timeLeft, changed := s.timeLeft(load)
		if timeLeft <= 0 {
			s.endLoad(load, true)
			return true
		}
		timer := time.NewTimer(timeLeft)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			s.endLoad(load, false)
			return false
		}
	}
}

// beginLoad adds a load, counts it, and returns its number.
func (s *Store) beginLoad() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counters.InFlight >= s.cfg.MaxInFlight {
		s.counters.OverInFlight++
	}
	s.counters.Started++
	s.counters.InFlight++
	s.counters.MaxInFlight = max(s.counters.MaxInFlight, s.counters.InFlight)
	s.notifyLoads()
	return s.timing.start(time.Now())
}

// endLoad removes a load that finished or was cancelled.
func (s *Store) endLoad(load uint64, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.InFlight--
	if finished {
		s.counters.Finished++
	}
	s.timing.stop(time.Now(), load)
	s.notifyLoads()
}

// timeLeft returns the remaining time of a load at the current number of loads
// in flight, and a channel that is closed when that number changes.
func (s *Store) timeLeft(load uint64) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timing.timeLeft(time.Now(), load), s.changed
}

// notifyLoads makes all loads recompute their remaining time. The caller holds
// s.mu.
func (s *Store) notifyLoads() {
	close(s.changed)
	s.changed = make(chan struct{})
}
