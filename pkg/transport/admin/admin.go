// Package admin serves health, readiness, metrics, status and drain on a VM's
// admin port.
package admin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Timeouts of the admin server. A scraper that holds a connection open
// without sending a request must not pin a goroutine for good.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Source is what the admin server shows; the daemon implements it. Its
// methods are called by any number of requests at once.
type Source interface {
	// Status is called for each GET /status.
	Status() Status
	// Ready tells whether the VM takes new requests, and why not.
	Ready() (bool, string)
	// Drain starts a graceful shutdown and returns at once.
	Drain()
}

// NewServer returns the HTTP server of the admin port. metrics serves GET
// /metrics.
func NewServer(source Source, metrics http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealthz, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET "+PathReadyz, func(w http.ResponseWriter, _ *http.Request) {
		writeReady(w, source)
	})
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, source.Status())
	})
	mux.HandleFunc("POST "+PathDrain, func(w http.ResponseWriter, _ *http.Request) {
		source.Drain()
		writeJSON(w, http.StatusAccepted, source.Status().Drain)
	})
	mux.Handle("GET "+PathMetrics, metrics)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func writeReady(w http.ResponseWriter, source Source) {
	ready, reason := source.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
