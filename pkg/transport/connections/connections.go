// Package connections tracks the connections of an HTTP server, so that a
// shutdown answers each request that was read. http.Server.Shutdown doesn't: it
// drops a request whose head is read after the shutdown began, and it may close a
// connection whose next request is being read.
package connections

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// drainInterval is the pause between two looks at the open connections of a
	// server that drains.
	drainInterval = 20 * time.Millisecond
	// minIdleTime is how long a connection must have been idle before it is closed.
	// The server may hold the first byte of the next request when it reports a
	// connection as idle, and goes on with that request at once.
	minIdleTime = 60 * time.Millisecond
)

// Set holds the open connections of one server.
type Set struct {
	mu   sync.Mutex
	open map[*connection]bool
}

// New returns an empty set.
func New() *Set { return &Set{open: make(map[*connection]bool)} }

// connection is a client's connection.
type connection struct {
	*net.TCPConn
	set *Set

	// mu guards the fields below. Read holds it while it decides whether bytes are
	// handed to the server, so that no connection is closed with a request that the
	// server has.
	mu sync.Mutex
	// idleSince is when the connection became idle; zero while a request is read or
	// answered.
	idleSince time.Time
	closed    bool
}

// Listen returns a listener whose connections are tracked.
func (c *Set) Listen(listener net.Listener) net.Listener {
	return trackingListener{listener, c}
}

type trackingListener struct {
	net.Listener
	set *Set
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := accepted.(*net.TCPConn)
	if !isTCP {
		return accepted, nil
	}
	conn := &connection{TCPConn: tcp, set: l.set, idleSince: time.Now()}
	l.set.mu.Lock()
	l.set.open[conn] = true
	l.set.mu.Unlock()
	return conn, nil
}

// Read implements net.Conn. Bytes that arrive after closeIfIdle are not handed on.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.TCPConn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if count > 0 {
		c.idleSince = time.Time{}
	}
	return count, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.TCPConn.Close()
}

// ConnState is the hook of the same name of the http.Server.
func (c *Set) ConnState(conn net.Conn, state http.ConnState) {
	tracked, isTracked := conn.(*connection)
	if !isTracked || state != http.StateIdle {
		return
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	tracked.idleSince = time.Now()
}

type connectionKey struct{}

// ConnContext is the hook of the same name of the http.Server.
func (c *Set) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Handler returns a handler that marks the connection of each request as not idle.
// The server reads a pipelined request together with the one before, so that Read
// does not show when it begins.
func (c *Set) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tracked, isTracked := r.Context().Value(connectionKey{}).(*connection); isTracked {
			tracked.mu.Lock()
			tracked.idleSince = time.Time{}
			tracked.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// closeIfIdle closes the connection unless a request is being read or answered.
func (c *connection) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || now.Sub(c.idleSince) < minIdleTime {
		return
	}
	c.closed = true
	// The server's own Close reports errors.
	_ = c.TCPConn.Close()
}

// Drain closes idle connections until none is open or ctx ends, and returns the
// number of open ones. The listener must be closed.
func (c *Set) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		open := make([]*connection, 0, len(c.open))
		for conn := range c.open {
			open = append(open, conn)
		}
		c.mu.Unlock()
		if len(open) == 0 {
			return 0
		}
		for _, conn := range open {
			conn.closeIfIdle(time.Now())
		}
		select {
		case <-ctx.Done():
			return len(open)
		case <-ticker.C:
		}
	}
}
