// Package engines is the client of model engines, in the OpenAI completions
// protocol, and of plain HTTP services.
//
// It sends each request at most once by itself. net/http repeats a request
// on a new connection when a kept one dies, if it holds the request for
// replayable: one without a body and with a safe method or an Idempotency-Key
// header, or one with GetBody. Requests of this package have no GetBody and
// no such header, and calls that may not be repeated never use a kept
// connection.
package engines

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/source"
)

// Connection settings.
const (
	// idleTimeout is below the 60 s and more after which servers commonly
	// close idle connections, so that a request rarely meets a closing one.
	idleTimeout = 30 * time.Second
	// The keep-alive values find a dead host after about 8 s, also on idle
	// connections.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// drainTimeout bounds the wait for the end of a body after its last event.
	// A connection whose body is not read to the end cannot be kept.
	drainTimeout = time.Second
	// maxErrorBody bounds what is read of an error answer.
	maxErrorBody = 4 << 10
)

// Config bounds the waits of a client.
type Config struct {
	// DialTimeout bounds the TCP handshake.
	DialTimeout time.Duration
	// FirstByte is the longest wait for the first byte of an answer and
	// Silence that between two, before a connection counts as silent.
	FirstByte time.Duration
	Silence   time.Duration
	// Order is the longest wait for the answer to an order. A load answers
	// only when the adapter is resident.
	Order time.Duration
	// MaxIdle is how many idle connections to an endpoint are kept: one for
	// each request of a full batch. net/http's default of 2 would close the
	// others after each answer.
	MaxIdle int
	// Source is the IP number of outgoing connections; empty for any.
	Source string
}

// DefaultConfig holds the bounds that suit endpoints at most a few
// milliseconds away. FirstByte is above the longest queueing that an engine
// shows before the first token.
var DefaultConfig = Config{
	DialTimeout: time.Second,
	FirstByte:   5 * time.Second,
	Silence:     5 * time.Second,
	Order:       10 * time.Second,
	MaxIdle:     256,
}

// Endpoint is the address of an endpoint.
type Endpoint struct {
	ID      ids.EndpointID
	Address string
}

// Gate is asked right before the first byte of a request leaves. An error
// keeps the request from being sent.
type Gate func() error

// Client sends requests to endpoints. Each endpoint has its own connection
// pool, so that a silent connection empties only that pool.
type Client struct {
	config Config
	rules  rules

	mu    sync.Mutex
	pools map[string]*http.Transport
	fresh *http.Transport
}

// rules switches single safety rules off in tests.
type rules struct {
	// freshConnections sends calls that may not be repeated on connections
	// of their own, and without an Idempotency-Key header.
	freshConnections bool
	// sendOnce lets the bytes of a call leave on one connection only.
	sendOnce bool
	// closeSilent closes the pool of an endpoint after a silent connection.
	closeSilent bool
	// matchAnswers compares the model and id of answers with the request's.
	matchAnswers bool
	// wholeStreams refuses a stream that ends before its last event.
	wholeStreams bool
}

// New returns a client.
func New(config Config) *Client {
	c := &Client{
		config: config,
		rules:  rules{freshConnections: true, sendOnce: true, closeSilent: true, matchAnswers: true, wholeStreams: true},
		pools:  make(map[string]*http.Transport),
	}
	c.fresh = c.newTransport()
	c.fresh.DisableKeepAlives = true
	return c
}

// Retain closes the pools of all addresses but the given ones.
func (c *Client) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, pool := range c.pools {
		if !addresses[address] {
			pool.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.Retain(nil)
	c.fresh.CloseIdleConnections()
}

func (c *Client) pool(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.pools[address]
	if pool == nil {
		pool = c.newTransport()
		c.pools[address] = pool
	}
	return pool
}

func (c *Client) newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:   c.config.DialTimeout,
		LocalAddr: source.Addr(c.config.Source),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &connectError{err}
			}
			return &gatedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: c.config.MaxIdle,
		IdleConnTimeout:     idleTimeout,
		// Answers go to the caller as they are.
		DisableCompression: true,
	}
}

// connectError marks failures to get a connection: no byte was sent.
type connectError struct{ error }

func (e *connectError) Unwrap() error { return e.error }

// call is one request under way.
type call struct {
	client   *Client
	endpoint Endpoint
	step     string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	progress atomic.Int32
}

// The progress of a call. A call that failed before its first byte left is
// closed, so that net/http's writer, which may still run, writes nothing.
const (
	progressPending int32 = iota
	progressSent
	progressClosed
)

var (
	errSilent = errors.New("no byte within the allowed time")
	errEnded  = errors.New("the call has ended")
)

// start opens a call whose context ends when no first byte arrives in time.
func (c *Client) start(ctx context.Context, endpoint Endpoint, step string, firstByte time.Duration) *call {
	ctx, cancel := context.WithCancelCause(ctx)
	return &call{
		client:   c,
		endpoint: endpoint,
		step:     step,
		ctx:      ctx,
		cancel:   cancel,
		watchdog: time.AfterFunc(firstByte, func() { cancel(errSilent) }),
	}
}

// end releases the call. Its connection is closed if the answer's body was
// not read to its end.
func (c *call) end() {
	c.watchdog.Stop()
	c.cancel(nil)
}

// alive notes that a byte arrived.
func (c *call) alive() {
	c.watchdog.Reset(c.client.config.Silence)
}

// transmission describes the HTTP request of a call.
type transmission struct {
	method, target string
	header         http.Header
	body           []byte
	gate           Gate
	// repeatable tells that the call may run twice.
	repeatable bool
}

// send writes the request and waits for the header of the answer.
func (c *call) send(t transmission) (*http.Response, *Failure) {
	request, err := http.NewRequestWithContext(c.ctx, t.method, "http://"+c.endpoint.Address+t.target, nil)
	if err != nil {
		return nil, c.fail(CauseGate, err)
	}
	if t.header != nil {
		request.Header = t.header
	}
	if len(t.body) > 0 {
		// A body in memory behind NopCloser leaves GetBody unset, and is
		// written together with the header.
		request.Body = io.NopCloser(bytes.NewReader(t.body))
		request.ContentLength = int64(len(t.body))
	}
	request = request.WithContext(httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*gatedConn).arm(c, t.gate) },
	}))
	response, err := c.transport(t).RoundTrip(request)
	if err != nil {
		return nil, c.transportFailure(err)
	}
	c.alive()
	response.Body = &watchedBody{ReadCloser: response.Body, call: c}
	return response, nil
}

func (c *call) transport(t transmission) *http.Transport {
	if !t.repeatable && c.client.rules.freshConnections {
		return c.client.fresh
	}
	return c.client.pool(c.endpoint.Address)
}

type gateError struct{ error }

func (e *gateError) Unwrap() error { return e.error }

// gatedConn asks the gate of a request right before the request's first byte
// is written, so one system call lies between the two. HTTP/1.1 without
// pipelining has one request at a time on a connection.
type gatedConn struct {
	net.Conn
	next atomic.Pointer[gatedRequest]
}

type gatedRequest struct {
	call *call
	gate Gate
}

// arm sets the request whose bytes are written next.
func (g *gatedConn) arm(c *call, gate Gate) {
	g.next.Store(&gatedRequest{call: c, gate: gate})
}

// begin notes that bytes leave. It allows one connection a call, whatever
// net/http takes for replayable.
func (c *call) begin() bool {
	if c.progress.CompareAndSwap(progressPending, progressSent) {
		return true
	}
	return !c.client.rules.sendOnce && c.progress.Load() == progressSent
}

func (g *gatedConn) Write(buffer []byte) (int, error) {
	request := g.next.Swap(nil)
	if request == nil {
		return g.Conn.Write(buffer)
	}
	if request.gate != nil {
		if err := request.gate(); err != nil {
			return 0, &gateError{err}
		}
	}
	if !request.call.begin() {
		return 0, &gateError{errEnded}
	}
	n, err := g.Conn.Write(buffer)
	if n == 0 && err != nil {
		request.call.progress.CompareAndSwap(progressSent, progressPending)
	}
	return n, err
}

// watchedBody resets the watchdog with each read that gives bytes.
type watchedBody struct {
	io.ReadCloser
	call *call
}

func (b *watchedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.call.alive()
	}
	return n, err
}

// finish reads the rest of a body in the background, so that its connection
// can be kept, and ends the call.
func (c *call) finish(body io.ReadCloser) {
	c.watchdog.Reset(drainTimeout)
	go func() {
		_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBody))
		_ = body.Close()
		c.end()
	}()
}

// fail builds the failure of the call and, for a silent connection, closes
// the endpoint's idle connections, which may have gone silent with it.
func (c *call) fail(cause Cause, err error) *Failure {
	if cause == CauseSilent && c.client.rules.closeSilent {
		c.client.pool(c.endpoint.Address).CloseIdleConnections()
	}
	sent := !c.progress.CompareAndSwap(progressPending, progressClosed) && c.progress.Load() == progressSent
	return &Failure{Endpoint: c.endpoint.ID, Step: c.step, Cause: cause, Sent: sent, Err: err}
}

// transportFailure classifies an error of net/http.
func (c *call) transportFailure(err error) *Failure {
	var gate *gateError
	var connect *connectError
	switch {
	case errors.As(err, &gate):
		return c.fail(CauseGate, gate.error)
	case errors.Is(context.Cause(c.ctx), errSilent):
		return c.fail(CauseSilent, errSilent)
	case c.ctx.Err() != nil:
		return c.fail(CauseEnded, context.Cause(c.ctx))
	case errors.As(err, &connect):
		return c.fail(CauseConnect, err)
	}
	return c.fail(CauseLost, err)
}
