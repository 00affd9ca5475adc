// Package standin holds what the simulated external systems (stand-ins) share:
// an HTTP server that can stop responding on its open connections, a handler to
// inject faults, and the main function of their programs.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultListen is the address that a stand-in listens on if its configuration
// has none.
const DefaultListen = "127.0.0.1:0"

// PathFault is the path at which every stand-in serves its faults: GET returns
// them, POST replaces them.
const PathFault = "/fault"

// readHeaderTimeout bounds how long a connection may take to send the headers
// of a request.
const readHeaderTimeout = 10 * time.Second

// Server is a running HTTP server. mu guards conns.
type Server struct {
	http    *http.Server
	address string
	done    chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]*connection
}

// connection is the state of one accepted connection.
type connection struct {
	silent atomic.Bool
	conn   net.Conn
}

type connectionKey struct{}

// Serve listens on the address, or on a free loopback port if it is empty, and
// serves requests with the handler until ctx ends or Close is called.
func Serve(ctx context.Context, listen string, handler http.Handler) (*Server, error) {
	if listen == "" {
		listen = DefaultListen
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		address: listener.Addr().String(),
		done:    make(chan struct{}),
		conns:   make(map[net.Conn]*connection),
	}
	s.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       s.trackConnection,
		ConnState:         s.dropConnection,
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	context.AfterFunc(ctx, s.Close)
	return s, nil
}

// Address returns the IP address and port that the server listens on.
func (s *Server) Address() string { return s.address }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.address }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// SilenceOpenConnections makes every connection that is open now accept
// requests without ever responding. New connections are not affected.
func (s *Server) SilenceOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.silent.Store(true)
	}
}

// CloseOpenConnections closes every connection that is open now.
func (s *Server) CloseOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) trackConnection(ctx context.Context, conn net.Conn) context.Context {
	entry := &connection{conn: conn}
	s.mu.Lock()
	s.conns[conn] = entry
	s.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, entry)
}

func (s *Server) dropConnection(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Silent reports whether the connection of a request was silenced.
func Silent(r *http.Request) bool {
	entry, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && entry.silent.Load()
}

// HangIfSilent blocks until the client gives up if the connection of the
// request was silenced, and reports whether it was.
func HangIfSilent(r *http.Request) bool {
	if !Silent(r) {
		return false
	}
	<-r.Context().Done()
	return true
}

// CloseConnection closes the connection of a request without an answer.
func CloseConnection(r *http.Request) {
	if entry, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		_ = entry.conn.Close()
	}
}

// Sleep waits for the duration and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WriteJSON sends a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// FaultHandler serves PathFault for a stand-in whose faults are one value of
// type F.
func FaultHandler[F any](get func() F, set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var faults F
			decoder := json.NewDecoder(r.Body)
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&faults); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			set(faults)
		}
		WriteJSON(w, http.StatusOK, get())
	}
}
