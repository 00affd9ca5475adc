// Package engines is the HTTP client for endpoints: model engines, which use
// the OpenAI completions protocol, and plain HTTP services. The daemon calls it
// to run requests, to order engines to load and unload adapters, and to read
// load reports.
//
// The package sends each request at most once and leaves retries to its caller.
// net/http by itself resends a request on a new connection when a reused
// connection breaks, if it considers the request replayable: a request that has
// no body and a safe method or an Idempotency-Key header, or one with GetBody.
// Requests of this package have neither GetBody nor such a header, and calls
// that must not be repeated never reuse a connection.
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
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/http1"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/source"
)

// Connection settings.
const (
	// idleTimeout is below the 60 s or more after which servers commonly close
	// idle connections, so that a request rarely uses a connection that the
	// server is closing.
	idleTimeout = 30 * time.Second
	// TCP keep-alive detects a dead host after about 8 s, also on idle
	// connections.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// endCheckTimeout bounds the wait for the arrival of a request at the end of its
	// connection.
	endCheckTimeout = time.Second
	// bodyDrainTimeout bounds the wait for the end of a response body after its
	// last event. A connection can be reused only if the body was read to the
	// end.
	bodyDrainTimeout = time.Second
	// maxErrorBodyBytes bounds how much of an error response, or of the rest of
	// a body after its last event, is read.
	maxErrorBodyBytes = 4 << 10
)

// Config holds the timeouts and connection limits of a client.
type Config struct {
	// DialTimeout bounds the TCP handshake.
	DialTimeout time.Duration
	// FirstByteTimeout bounds the wait for the first byte of a response.
	FirstByteTimeout time.Duration
	// ReadTimeout bounds the time between two reads that return data.
	ReadTimeout time.Duration
	// OrderTimeout replaces FirstByteTimeout for load and unload orders. An
	// engine responds to a load order only when the adapter is resident.
	OrderTimeout time.Duration
	// MaxIdlePerEndpoint bounds the idle connections to one endpoint: one for
	// each request of a full batch. With net/http's default of 2, all others
	// would be closed after each response.
	MaxIdlePerEndpoint int
	// SourceIP is the local IP address of outgoing connections; empty for any.
	SourceIP string
}

// DefaultConfig suits endpoints with a round-trip time of at most a few
// milliseconds. The timeout for the first byte is above the longest time that
// engines queue a request before its first token.
var DefaultConfig = Config{
	DialTimeout:        time.Second,
	FirstByteTimeout:   5 * time.Second,
	ReadTimeout:        5 * time.Second,
	OrderTimeout:       10 * time.Second,
	MaxIdlePerEndpoint: 256,
}

// Endpoint identifies an endpoint and holds its host and port.
type Endpoint struct {
	ID      ids.EndpointID
	Address string
}

// PreSendCheck is called right before the first byte of a request is written to
// the connection. If it returns an error, the request is not sent.
type PreSendCheck func() error

// Client sends requests to endpoints. Each endpoint has its own connection
// pool, so that a read timeout closes only the connections to that endpoint.
// Its methods may be called concurrently.
type Client struct {
	config Config
	rules  safetyRules

	// mu guards pools.
	mu sync.Mutex
	// pools holds the transport of each endpoint address.
	pools map[string]*http.Transport
	// singleUse opens a new connection for each request.
	singleUse *http.Transport
}

// safetyRules lets tests disable single safeguards. All are enabled in
// production.
type safetyRules struct {
	// singleUseConnections sends each non-repeatable call on a new connection
	// and without an Idempotency-Key header.
	singleUseConnections bool
	// sendOnce allows a call to be written to one connection only.
	sendOnce bool
	// closePoolOnTimeout closes the idle connections to an endpoint after a
	// read timeout.
	closePoolOnTimeout bool
	// matchResponses compares the model and id of a response with the request.
	matchResponses bool
	// requireCompleteStreams reports a stream that ends before its last event
	// as a failure.
	requireCompleteStreams bool
}

// New returns a client without open connections.
func New(config Config) *Client {
	c := &Client{
		config: config,
		rules:  safetyRules{singleUseConnections: true, sendOnce: true, closePoolOnTimeout: true, matchResponses: true, requireCompleteStreams: true},
		pools:  make(map[string]*http.Transport),
	}
	c.singleUse = c.newTransport()
	c.singleUse.DisableKeepAlives = true
	return c
}

// RetainPools closes the connection pools of all addresses that are not in
// addresses.
func (c *Client) RetainPools(addresses map[string]bool) {
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
	c.RetainPools(nil)
	c.singleUse.CloseIdleConnections()
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
		LocalAddr: source.LocalAddr(c.config.SourceIP),
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
				return nil, &dialError{err}
			}
			return &checkedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: c.config.MaxIdlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		// Responses are passed on to the caller unchanged.
		DisableCompression: true,
	}
}

// dialError marks a failure to open a connection: no byte was sent.
type dialError struct{ error }

func (e *dialError) Unwrap() error { return e.error }

// call is one request in flight. Its creator must release it.
type call struct {
	client    *Client
	endpoint  Endpoint
	step      string
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *time.Timer
	sendState atomic.Int32
	// written is the write of the request on the connection that net/http chose last.
	written atomic.Pointer[http1.RequestWrite]
	// rejected is the error of the check before the send, if it kept the request from
	// being written. net/http may return another one, that of the connection which
	// it closes then.
	rejected atomic.Pointer[preSendCheckError]
}

// The values of call.sendState.
const (
	// sendPending means that no byte of the request was written.
	sendPending int32 = iota
	// sendStarted means that the request was at least partly written.
	sendStarted
	// sendForbidden means that the call failed before its first byte was
	// written. net/http's writer may still run and must write nothing.
	sendForbidden
)

var (
	errReadTimeout = errors.New("no byte within the allowed time")
	errCallEnded   = errors.New("the call has ended")
)

// newCall returns a call whose context is canceled if no response header
// arrives within firstByte.
func (c *Client) newCall(ctx context.Context, endpoint Endpoint, step string, firstByte time.Duration) *call {
	ctx, cancel := context.WithCancelCause(ctx)
	return &call{
		client:   c,
		endpoint: endpoint,
		step:     step,
		ctx:      ctx,
		cancel:   cancel,
		watchdog: time.AfterFunc(firstByte, func() { cancel(errReadTimeout) }),
	}
}

// release cancels the call's context and stops its watchdog. The connection is
// closed unless the response body was read to the end.
func (c *call) release() {
	c.watchdog.Stop()
	c.cancel(nil)
}

// resetWatchdog restarts the read timeout after data arrived.
func (c *call) resetWatchdog() {
	c.watchdog.Reset(c.client.config.ReadTimeout)
}

// requestSpec describes the HTTP request of a call.
type requestSpec struct {
	method, target string
	header         http.Header
	body           []byte
	preSendCheck   PreSendCheck
	// repeatable is set if the endpoint may run the call twice.
	repeatable bool
}

// send writes the request and waits for the response header.
func (c *call) send(spec requestSpec) (*http.Response, *Failure) {
	request, err := http.NewRequestWithContext(c.ctx, spec.method, "http://"+c.endpoint.Address+spec.target, nil)
	if err != nil {
		return nil, c.newFailure(CausePreSendCheck, err)
	}
	if spec.header != nil {
		request.Header = spec.header
	}
	if len(spec.body) > 0 {
		// NopCloser hides the reader's type, so net/http does not set GetBody.
		// A body in memory is written together with the header.
		request.Body = io.NopCloser(bytes.NewReader(spec.body))
		request.ContentLength = int64(len(spec.body))
	}
	request = request.WithContext(httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { info.Conn.(*checkedConn).setNextRequest(c, spec.preSendCheck) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { c.written.Load().End(info.Err) },
	}))
	response, err := c.transport(spec).RoundTrip(request)
	if err != nil {
		return nil, c.transportFailure(err)
	}
	c.resetWatchdog()
	response.Body = &watchedBody{ReadCloser: response.Body, call: c}
	return response, nil
}

func (c *call) transport(spec requestSpec) *http.Transport {
	if !spec.repeatable && c.client.rules.singleUseConnections {
		return c.client.singleUse
	}
	return c.client.pool(c.endpoint.Address)
}

// preSendCheckError marks an error that kept a request from being written.
type preSendCheckError struct{ error }

func (e *preSendCheckError) Unwrap() error { return e.error }

// checkedConn runs a request's check right before it writes the request's first
// byte: only one system call lies between the check and the write. It also makes
// the checks of responses that net/http leaves out. HTTP/1.1 without pipelining has
// one request at a time on a connection.
type checkedConn struct {
	net.Conn
	// nextRequest is the request that the next write starts; nil if the next
	// write continues a request.
	nextRequest atomic.Pointer[connRequest]
	// startedRequest is the last request whose write has started; nil if none has.
	startedRequest atomic.Pointer[connRequest]
}

// connRequest is a request that was assigned to a connection.
type connRequest struct {
	call         *call
	preSendCheck PreSendCheck
	written      *http1.RequestWrite
	// head checks the head of the response. Only the reader of the connection uses it.
	head http1.HeadChecker
}

// setNextRequest sets the request that the next write starts.
func (g *checkedConn) setNextRequest(c *call, preSendCheck PreSendCheck) {
	written := http1.NewRequestWrite()
	c.written.Store(written)
	g.nextRequest.Store(&connRequest{call: c, written: written, preSendCheck: preSendCheck})
}

// markSending records that the request is about to be written, and reports
// whether that is allowed. It allows one connection per call, also where
// net/http considers the request replayable.
func (c *call) markSending() bool {
	if c.sendState.CompareAndSwap(sendPending, sendStarted) {
		return true
	}
	return !c.client.rules.sendOnce && c.sendState.Load() == sendStarted
}

func (g *checkedConn) Write(buffer []byte) (int, error) {
	request := g.nextRequest.Swap(nil)
	if request == nil {
		return g.Conn.Write(buffer)
	}
	if request.preSendCheck != nil {
		if err := request.preSendCheck(); err != nil {
			rejected := &preSendCheckError{err}
			request.call.rejected.Store(rejected)
			return 0, rejected
		}
	}
	if !request.call.markSending() {
		return 0, &preSendCheckError{errCallEnded}
	}
	g.startedRequest.Store(request)
	n, err := g.Conn.Write(buffer)
	if n == 0 && err != nil {
		request.call.sendState.CompareAndSwap(sendStarted, sendPending)
	}
	return n, err
}

// Read implements io.Reader. It checks the head of a response, and returns the end of the
// connection only once that is known to end a response: net/http closes the connection at
// that end, and the write with it.
func (g *checkedConn) Read(buffer []byte) (int, error) {
	n, err := g.Conn.Read(buffer)
	request := g.startedRequest.Load()
	if request == nil {
		return n, err
	}
	if malformed := request.head.Check(buffer[:n]); malformed != nil {
		return 0, malformed
	}
	if err == io.EOF {
		err = request.written.CheckEnd(request.call.ctx, g.Conn, endCheckTimeout)
	}
	return n, err
}

// watchedBody is a response body whose reads reset the call's watchdog when
// they return data.
type watchedBody struct {
	io.ReadCloser
	call *call
}

func (b *watchedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.call.resetWatchdog()
	}
	return n, err
}

// drainAndRelease reads the rest of a response body in the background, so that
// the connection can be reused, and then releases the call.
func (c *call) drainAndRelease(body io.ReadCloser) {
	c.watchdog.Reset(bodyDrainTimeout)
	go func() {
		_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBodyBytes))
		_ = body.Close()
		c.release()
	}()
}

// newFailure returns the failure of the call. After a read timeout it also
// closes the idle connections to the endpoint, because they may be unresponsive
// too.
func (c *call) newFailure(cause Cause, err error) *Failure {
	if cause == CauseReadTimeout && c.client.rules.closePoolOnTimeout {
		c.client.pool(c.endpoint.Address).CloseIdleConnections()
	}
	sent := !c.sendState.CompareAndSwap(sendPending, sendForbidden) && c.sendState.Load() == sendStarted
	return &Failure{Endpoint: c.endpoint.ID, Step: c.step, Cause: cause, MaybeSent: sent, Err: err}
}

// transportFailure determines the cause of an error that net/http or a read of
// the response body returned.
func (c *call) transportFailure(err error) *Failure {
	var checkErr *preSendCheckError
	var dialErr *dialError
	if rejected := c.rejected.Load(); rejected != nil {
		return c.newFailure(CausePreSendCheck, rejected.error)
	}
	switch {
	case errors.As(err, &checkErr):
		return c.newFailure(CausePreSendCheck, checkErr.error)
	case errors.Is(context.Cause(c.ctx), errReadTimeout):
		return c.newFailure(CauseReadTimeout, errReadTimeout)
	case c.ctx.Err() != nil:
		return c.newFailure(CauseCallerEnded, context.Cause(c.ctx))
	case errors.As(err, &dialErr):
		return c.newFailure(CauseConnect, err)
	}
	return c.newFailure(CauseConnectionLost, err)
}
