// Package admin implements the HTTP server of a VM's admin port: health,
// readiness, metrics, status and drain. The daemon starts the server and
// supplies the data; operators, wagtailctl and metrics scrapers call it.
package admin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Timeouts of the admin server. Without them a client that keeps a connection
// open and sends no request would occupy a goroutine indefinitely.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Backend provides the data and the drain operation of the admin server. The
// daemon implements it. Its methods are called concurrently.
type Backend interface {
	// Status returns the current status document. It is called for each
	// GET /status and POST /drain.
	Status() Status
	// Ready reports whether the VM accepts new requests. If it does not, the
	// string is the reason.
	Ready() (bool, string)
	// Drain starts a graceful shutdown and returns without waiting for it.
	Drain()
}

// NewServer returns the HTTP server of the admin port. The metrics handler
// serves GET /metrics.
func NewServer(source Backend, metrics http.Handler) *http.Server {
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

func writeReady(w http.ResponseWriter, source Backend) {
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
