// Package connections tracks the connections of an HTTP server, so that a
// shutdown answers each request that was read. http.Server.Shutdown doesn't: it
// drops a request whose head is read after the shutdown began, and it may close a
// connection whose next request is being read.
package connections

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
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

// ID names a connection of a Set. It is never 0.
type ID uint64

// State is what an Observer is told about a connection.
type State int

// The states.
const (
	// Idle connections wait for a request.
	Idle State = iota
	// Handled connections have a request whose head has arrived.
	Handled
	// Writing connections have bytes that the client has not taken yet, which ends with
	// Written.
	Writing
	Written
)

// Observer is told of the connections of a Set. Its methods must be safe for concurrent
// use; all but Opened must not call the Set.
type Observer interface {
	// Opened is called for each new connection. If it returns false, the connection is
	// closed unread.
	Opened(id ID, remote net.Addr) bool
	// Received is called when bytes have arrived. They are only handed on if it returns
	// true.
	Received(id ID, data []byte) bool
	// Sent is called when bytes were taken by the client.
	Sent(id ID)
	// Changed is called when the state changes. A request is only handled if it
	// returns true.
	Changed(id ID, state State) bool
	// BeginTurn is called before what a read returned is handed on. The connection waits
	// for the channel, which is nil if it need not wait. EndTurn is called before the next
	// read if it was not.
	BeginTurn(id ID) <-chan struct{}
	EndTurn(id ID)
	// Closed is called when a connection has ended.
	Closed(id ID)
}

// Set holds the open connections of one server.
type Set struct {
	observer Observer

	mu     sync.Mutex
	open   map[*connection]bool
	byID   map[ID]*connection
	lastID ID
}

// New returns an empty set.
func New() *Set { return NewObserved(nil) }

// NewObserved returns an empty set with an observer, which may be nil.
func NewObserved(observer Observer) *Set {
	return &Set{observer: observer, open: make(map[*connection]bool), byID: make(map[ID]*connection)}
}

// connection is a client's connection.
type connection struct {
	*net.TCPConn
	set *Set
	id  ID
	// hasTurn is set from BeginTurn to EndTurn. Only Read uses it.
	hasTurn bool
	// stopped is closed when nothing more is to be read.
	stopped  chan struct{}
	stopOnce sync.Once

	// mu guards the fields below. Read holds it while it decides whether bytes are
	// handed to the server, so that no connection is closed with a request that the
	// server has.
	mu sync.Mutex
	// idleSince is when the connection became idle; zero while a request is read or
	// answered.
	idleSince time.Time
	closed    bool
	// unsent is what the kernel held for the client at the last call of Taking.
	unsent int
}

// Listen returns a listener whose connections are tracked.
func (c *Set) Listen(listener net.Listener) net.Listener {
	return trackingListener{listener, c}
}

type trackingListener struct {
	net.Listener
	set *Set
}

// kernelBufferBytes limits what the kernel holds of a connection in each direction. It
// would otherwise grow to several megabytes, which no account knows of.
const kernelBufferBytes = 128 << 10

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, isTCP := accepted.(*net.TCPConn)
		if !isTCP {
			return accepted, nil
		}
		if conn := l.set.track(tcp); conn != nil {
			return conn, nil
		}
		// Whatever the close returns, the connection is not used.
		_ = tcp.Close()
	}
}

// Timings of CloseListener.
const (
	// maxAcceptWait bounds the wait for connections that keep arriving.
	maxAcceptWait  = 500 * time.Millisecond
	acceptInterval = 2 * time.Millisecond
)

// CloseListener closes a listener once the server has accepted the connections that the
// kernel has established on it. The kernel would reset them, with the requests that it has
// received on them.
func CloseListener(listener net.Listener) error {
	if tcp, isTCP := listener.(*net.TCPListener); isTCP {
		for limit := time.Now().Add(maxAcceptWait); hasUnaccepted(tcp) && time.Now().Before(limit); {
			time.Sleep(acceptInterval)
		}
	}
	return listener.Close()
}

// track adds a connection, or returns nil if the observer does not admit it.
func (c *Set) track(tcp *net.TCPConn) *connection {
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.mu.Unlock()
	if c.observer != nil {
		if !c.observer.Opened(id, tcp.RemoteAddr()) {
			return nil
		}
		// If the buffers cannot be set, the connection keeps those of the kernel.
		_ = tcp.SetReadBuffer(kernelBufferBytes)
		_ = tcp.SetWriteBuffer(kernelBufferBytes)
	}
	conn := &connection{TCPConn: tcp, set: c, id: id, idleSince: time.Now(), stopped: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = true
	c.byID[id] = conn
	return conn
}

// Read implements net.Conn. Bytes that arrive after closeIfIdle are not handed on.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.hasTurn {
		c.hasTurn = false
		c.set.observer.EndTurn(c.id)
	}
	count, err := c.TCPConn.Read(buffer)
	if !c.recordRead(buffer[:count]) {
		return 0, c.readError(net.ErrClosed)
	}
	if count > 0 && c.set.observer != nil {
		if turnErr := c.waitForTurn(); turnErr != nil {
			return 0, c.readError(turnErr)
		}
	}
	return count, err
}

// readError returns an error that the server takes for one of the connection. To others,
// it answers with status 400.
func (c *connection) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// recordRead reports whether the result of a read is handed on.
func (c *connection) recordRead(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if len(data) == 0 {
		return true
	}
	c.idleSince = time.Time{}
	if c.set.observer == nil || c.set.observer.Received(c.id, data) {
		return true
	}
	// A server that reads on after an error would take what follows for the rest of the
	// head. Its own Close reports errors.
	c.closed = true
	_ = c.TCPConn.Close()
	return false
}

// errClientClosed is the result of a read of a long request whose client has closed its
// side. The server cancels such a request once it is whole.
var errClientClosed = errors.New("the client has closed its side of the connection")

// waitForTurn waits until what was read may be handed on.
func (c *connection) waitForTurn() error {
	turn := c.set.observer.BeginTurn(c.id)
	if turn == nil {
		return nil
	}
	c.hasTurn = true
	select {
	case <-turn:
	case <-c.stopped:
		return os.ErrDeadlineExceeded
	}
	if clientClosed(c.TCPConn) {
		return errClientClosed
	}
	return nil
}

func (c *connection) stop() { c.stopOnce.Do(func() { close(c.stopped) }) }

// writePieceBytes is the size of the pieces in which an answer is written, so that a
// client that takes it slowly is told from one that does not take it.
const writePieceBytes = 32 << 10

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	observer := c.set.observer
	if observer == nil {
		return c.TCPConn.Write(data)
	}
	observer.Changed(c.id, Writing)
	defer observer.Changed(c.id, Written)
	written := 0
	for {
		count, err := c.TCPConn.Write(data[written:min(len(data), written+writePieceBytes)])
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
		observer.Sent(c.id)
	}
}

// ReadFrom implements io.ReaderFrom. It hides that of TCPConn, which passes Write by.
func (c *connection) ReadFrom(from io.Reader) (int64, error) {
	return io.Copy(onlyWriter{c}, from)
}

type onlyWriter struct{ io.Writer }

// Close implements net.Conn.
func (c *connection) Close() error {
	c.set.mu.Lock()
	known := c.set.open[c]
	delete(c.set.open, c)
	delete(c.set.byID, c.id)
	c.set.mu.Unlock()
	c.stop()
	err := c.TCPConn.Close()
	if known && c.set.observer != nil {
		c.set.observer.Closed(c.id)
	}
	return err
}

// Abort closes a connection at once, whatever it is occupied with.
func (c *Set) Abort(id ID) {
	if conn := c.find(id); conn != nil {
		conn.stop()
		// The server's own Close reports errors.
		_ = conn.TCPConn.Close()
	}
}

// AbortIfIdle closes a connection between two requests.
func (c *Set) AbortIfIdle(id ID) {
	if conn := c.find(id); conn != nil {
		conn.closeIfIdle(time.Now())
	}
}

// StopReading ends all reads of a connection, so that its request can still be answered.
func (c *Set) StopReading(id ID) {
	if conn := c.find(id); conn != nil {
		conn.stop()
		// A connection that is closed already has no read to end.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Taking reports whether a client has taken a part of what the kernel holds for it since
// the last call while a write waits. Writes tell only of larger parts, as the kernel lets
// them go on when a third of its buffer is free.
func (c *Set) Taking(id ID) bool {
	conn := c.find(id)
	if conn == nil {
		return false
	}
	unsent, known := unsentBytes(conn.TCPConn)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	taking := known && unsent < conn.unsent
	conn.unsent = unsent
	return taking
}

func (c *Set) find(id ID) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// IDOf returns the connection of a request, or 0 if it is not tracked.
func IDOf(ctx context.Context) ID {
	if tracked, isTracked := ctx.Value(connectionKey{}).(*connection); isTracked {
		return tracked.id
	}
	return 0
}

// ConnState is the hook of the same name of the http.Server.
func (c *Set) ConnState(conn net.Conn, state http.ConnState) {
	tracked, isTracked := conn.(*connection)
	if !isTracked || state != http.StateIdle {
		return
	}
	if c.observer != nil {
		c.observer.Changed(tracked.id, Idle)
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
			if c.observer != nil && !c.observer.Changed(tracked.id, Handled) {
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// closeIfIdle closes the connection unless a request is being read or answered, or waits
// in the kernel: a process that is short of processor time reads it late.
func (c *connection) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || now.Sub(c.idleSince) < minIdleTime || hasUnread(c.TCPConn) {
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
