package endpoints

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/http1"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/source"
)

// Client sends HTTP/1.1 requests over kept connections. Unlike net/http's
// Transport, which repeats some requests when a kept connection ends, it writes
// each request to one connection only: whether a request may run twice is known
// to its caller alone. It doesn't follow redirects, requests no compression and
// uses no proxy. Its methods are safe for concurrent use.
type Client struct {
	config Config
	dialer *net.Dialer
	// seed is that of the hashes of IDs.
	seed maphash.Seed

	mu sync.Mutex
	// idle holds the idle connections to each address, the one used last at the
	// end.
	idle map[string][]*connection
	// sweep closes connections that have been idle for too long. It is set while
	// there are idle connections.
	sweep *time.Timer
}

// NewClient returns a client without open connections.
func NewClient(config Config) *Client {
	dialer := &net.Dialer{
		Timeout:   config.DialTimeout,
		LocalAddr: source.LocalAddr(config.SourceIP),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, config.UnacknowledgedTimeout)
		},
	}
	return &Client{config: config, dialer: dialer, seed: maphash.MakeSeed(), idle: make(map[string][]*connection)}
}

// Response is the response to a request. Its body must be closed. The connection
// is used again only if the body was read to its end before, or its rest has arrived.
type Response struct {
	*http.Response
	exchange *exchange
}

// Discard closes the connection of a response that belongs to another request:
// the right one may still arrive there.
func (r *Response) Discard() { r.exchange.end(false) }

// errNotSent marks errors before the first byte of a request was sent.
var errNotSent = errors.New("nothing was sent")

// NeverSent reports whether an error of Do proves that no byte of the request was
// sent.
func NeverSent(err error) bool { return errors.Is(err, errNotSent) }

// maxInterimResponses bounds the interim responses (1xx) before the final one.
const maxInterimResponses = 5

var errInterimResponses = eris.Errorf("more than %d interim responses", maxInterimResponses)

// Do sends a request, whose URL names the address, and returns the final response.
// The context of the request applies until the body of the response is closed.
//
// An endpoint may send a second copy of a response where the next one is due. A
// response is told from such a copy by the ID of its request, so that a connection
// never carries two requests with the same ID. An empty ID is not compared.
func (c *Client) Do(request *http.Request, id string) (*Response, error) {
	hash := c.hashID(id)
	conn := c.takeQuiet(request.URL.Host, hash)
	if conn == nil {
		var err error
		if conn, err = c.dial(request); err != nil {
			return nil, err
		}
	}
	conn.carry(hash)
	return c.exchange(conn, request)
}

// DoOnNewConnection is Do for a request whose response names no ID: on a connection
// that has carried nothing before, no response can be a copy of another one.
func (c *Client) DoOnNewConnection(request *http.Request) (*Response, error) {
	conn, err := c.dial(request)
	if err != nil {
		return nil, err
	}
	return c.exchange(conn, request)
}

func (c *Client) exchange(conn *connection, request *http.Request) (*Response, error) {
	ctx := request.Context()
	e := &exchange{client: c, connection: conn, ctx: ctx, written: http1.NewRequestWrite()}
	e.stopWatch = context.AfterFunc(ctx, conn.interrupt)
	response, err := e.roundTrip(request)
	if err != nil {
		e.end(false)
		// The connection is closed, so that a write that still goes on ends.
		_ = e.written.Wait()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		if conn.sentBytes.Load() == 0 {
			err = errors.Join(errNotSent, err)
		}
		return nil, err
	}
	return response, nil
}

// hashID returns a hash of an ID; 0 stands for no ID. Two IDs with the same hash
// merely use two connections.
func (c *Client) hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(maphash.String(c.seed, id), 1)
}

// dial opens a connection for a request.
func (c *Client) dial(request *http.Request) (*connection, error) {
	dialed, err := c.dialer.DialContext(request.Context(), "tcp", request.URL.Host)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	return newConnection(dialed, request.URL.Host), nil
}

// takeQuiet removes and returns an idle connection that has not carried the ID and
// has nothing to read. It returns nil if there is none.
func (c *Client) takeQuiet(address string, id uint64) *connection {
	for conn := c.takeIdle(address, id); conn != nil; conn = c.takeIdle(address, id) {
		if conn.isQuiet() {
			return conn
		}
		conn.close()
	}
	return nil
}

// takeIdle removes and returns the idle connection to an address that was used
// last, among those that have not carried the ID. It returns nil if there is none.
func (c *Client) takeIdle(address string, id uint64) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	for i := len(kept) - 1; i >= 0; i-- {
		if conn := kept[i]; !slices.Contains(conn.carried, id) {
			c.setIdle(address, slices.Delete(kept, i, i+1))
			return conn
		}
	}
	return nil
}

// setIdle replaces the idle connections to an address. The caller holds c.mu.
func (c *Client) setIdle(address string, kept []*connection) {
	if len(kept) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = kept
}

// sweepShare is the share of the idle timeout between two looks for connections
// that have been idle for too long.
const sweepShare = 0.25

func (c *Client) putIdle(conn *connection) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[conn.address]
	if len(kept) >= c.config.MaxIdlePerAddress {
		kept[0].close()
		kept = slices.Delete(kept, 0, 1)
	}
	c.setIdle(conn.address, append(kept, conn))
	if c.sweep == nil {
		c.sweep = time.AfterFunc(c.sweepInterval(), c.closeExpired)
	}
}

func (c *Client) sweepInterval() time.Duration {
	return time.Duration(sweepShare * float64(c.config.IdleTimeout))
}

// closeExpired closes the connections that have been idle for too long.
func (c *Client) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(c.sweepInterval() - c.config.IdleTimeout)
	for address, kept := range c.idle {
		expired := 0
		for expired < len(kept) && kept[expired].idleSince.Before(limit) {
			kept[expired].close()
			expired++
		}
		c.setIdle(address, slices.Delete(kept, 0, expired))
	}
	if len(c.idle) == 0 {
		c.sweep = nil
		return
	}
	c.sweep.Reset(c.sweepInterval())
}

// exchange is one request and its response on a connection.
type exchange struct {
	client     *Client
	connection *connection
	ctx        context.Context
	// stopWatch ends the watch on ctx and reports whether ctx had not ended.
	stopWatch func() bool
	// stopWindowWatch ends the watch on the endpoint's window; it is nil for a short request.
	stopWindowWatch func()
	// written is the write of the request.
	written *http1.RequestWrite
	// keep is set if the connection may carry another request after this one.
	keep  bool
	ended bool
}

// maxInlineBodyBytes is the length of a body up to which a request is written
// before its response is read. An endpoint may answer before it has read a longer
// one, so that both have to go on at the same time.
const maxInlineBodyBytes = 8 << 10

func (e *exchange) roundTrip(request *http.Request) (*Response, error) {
	conn, written := e.connection, e.written
	if request.ContentLength >= 0 && request.ContentLength <= maxInlineBodyBytes {
		err := conn.write(request)
		written.End(err)
		if err != nil {
			return nil, err
		}
	} else {
		e.stopWindowWatch = conn.watchWindow(e.client.config.UnacknowledgedTimeout)
		go func() { written.End(conn.write(request)) }()
	}
	response, err := e.connection.readResponse(request)
	if err != nil {
		return nil, err
	}
	e.keep = !response.Close && !request.Close && response.StatusCode >= http.StatusOK
	if response.Body != http.NoBody {
		response.Body = &responseBody{exchange: e, body: response.Body, left: response.ContentLength, endsWithConnection: http1.EndsWithConnection(response)}
	} else {
		response.Body = emptyBody{e}
	}
	return &Response{Response: response, exchange: e}, nil
}

// end ends the exchange. It keeps the connection if complete is set and nothing
// else speaks against it.
func (e *exchange) end(complete bool) {
	if e.ended {
		return
	}
	e.ended = true
	if e.stopWindowWatch != nil {
		e.stopWindowWatch()
	}
	watched := e.stopWatch()
	if complete && watched && e.keep && len(e.connection.carried) < maxCarried && e.requestWritten() && e.connection.reader.Buffered() == 0 {
		e.client.putIdle(e.connection)
		return
	}
	e.connection.close()
}

// writeEndTime is how long the end of an exchange waits for the write of a long
// request, which may end a moment after the response.
const writeEndTime = 20 * time.Millisecond

// requestWritten reports whether the whole request has been written.
func (e *exchange) requestWritten() bool {
	ended, err := e.written.WaitFor(writeEndTime)
	return ended && err == nil
}

// responseBody is the body of a response. It ends the exchange when it was read to
// its end, fails or is closed.
type responseBody struct {
	exchange *exchange
	body     io.Reader
	// left is the number of bytes that were not read; negative if the body has no
	// stated length.
	left int64
	// endsWithConnection is set if only the end of the connection ends the body.
	endsWithConnection bool
	err                error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	}
	if err == nil {
		return n, nil
	}
	if err == io.EOF && b.endsWithConnection {
		e := b.exchange
		err = e.written.CheckEnd(e.ctx, e.connection.Conn, e.client.config.UnacknowledgedTimeout)
	}
	b.err = err
	if err != io.EOF && b.exchange.ctx.Err() != nil {
		b.err = context.Cause(b.exchange.ctx)
	}
	b.exchange.end(err == io.EOF)
	return n, b.err
}

var errBodyClosed = eris.New("read of a response body that was closed")

// Close implements io.Closer. The connection is kept if the rest of the body has
// arrived with what was read, as that of a short rejection has.
func (b *responseBody) Close() error {
	if b.err == nil && !b.exchange.ended && b.left >= 0 && b.left <= int64(b.exchange.connection.reader.Buffered()) {
		// The body ends within the buffer, so this does not block.
		_, _ = io.Copy(io.Discard, b)
	}
	if b.err == nil {
		b.err = errBodyClosed
	}
	b.exchange.end(false)
	return nil
}

// emptyBody is the body of a response without one. It keeps the connection until it
// is closed, so that the response can still be discarded.
type emptyBody struct{ exchange *exchange }

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (b emptyBody) Close() error {
	b.exchange.end(true)
	return nil
}

// maxCarried bounds the number of IDs that a connection remembers. It is closed
// after that many requests.
const maxCarried = 256

// connection is a connection to an endpoint, which carries one request at a time.
type connection struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// carried holds the hashes of the IDs of all requests so far.
	carried []uint64
	// headBytesLeft bounds what may still be read of the head of a response; it is
	// negative outside of heads. head checks what is read within it.
	headBytesLeft int
	head          http1.HeadChecker
	// sentBytes counts the bytes of the current request that the kernel has taken.
	sentBytes atomic.Int64
}

func newConnection(dialed net.Conn, address string) *connection {
	conn := &connection{Conn: dialed, address: address, headBytesLeft: -1}
	conn.reader = bufio.NewReaderSize((*headLimitedReader)(conn), connBufferBytes)
	conn.writer = bufio.NewWriterSize((*countingWriter)(conn), connBufferBytes)
	return conn
}

// carry prepares the connection for a request with an ID; 0 stands for none.
func (c *connection) carry(id uint64) {
	c.sentBytes.Store(0)
	if id != 0 {
		c.carried = append(c.carried, id)
	}
}

func (c *connection) close() {
	// The connection is not used any more, whatever closing it returns.
	_ = c.Conn.Close()
}

// interrupt ends all reads and writes.
func (c *connection) interrupt() {
	// A connection that is closed already has no read or write to end.
	_ = c.SetDeadline(time.Unix(1, 0))
}

// isQuiet reports whether an idle connection is open and has nothing to read. What
// arrives between two responses belongs to no request.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		quiet = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

func (c *connection) write(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readResponse returns the final response, without those that precede it.
func (c *connection) readResponse(request *http.Request) (*http.Response, error) {
	c.headBytesLeft, c.head = maxResponseHeaderBytes, http1.HeadChecker{}
	defer func() { c.headBytesLeft = -1 }()
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		interim := response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK
		if !interim || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errInterimResponses
}

var errHeadTooLong = eris.Errorf("the head of the response has more than %d bytes", maxResponseHeaderBytes)

// headLimitedReader reads from a connection within the bound of a head, which it checks.
type headLimitedReader connection

// Read implements io.Reader.
func (r *headLimitedReader) Read(p []byte) (int, error) {
	if r.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	if r.headBytesLeft > 0 {
		p = p[:min(len(p), r.headBytesLeft)]
	}
	n, err := r.Conn.Read(p)
	if r.headBytesLeft > 0 {
		r.headBytesLeft -= n
		if malformed := r.head.Check(p[:n]); malformed != nil {
			return 0, malformed
		}
	}
	return n, err
}

// countingWriter writes to a connection and counts what was taken.
type countingWriter connection

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.sentBytes.Add(int64(n))
	return n, err
}
