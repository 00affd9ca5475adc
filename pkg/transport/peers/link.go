package peers

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/source"
)

// link is the outgoing connection to one peer. It is opened on the first call
// and reopened on the first call after a loss.
type link struct {
	node    *Node
	peer    ids.VMID
	address string

	// dialSemaphore allows one connection attempt at a time, so that a burst
	// of calls opens one connection.
	dialSemaphore chan struct{}

	// mu guards conn and closed.
	mu sync.Mutex
	// conn is the open connection, or nil.
	conn   *rpcConn
	closed bool

	// peerUnpacks is set once the peer has sent a packed reply on the current
	// connection, which shows that it can read packed requests.
	peerUnpacks atomic.Bool
}

// rpcConn is an open JSON-RPC connection.
type rpcConn struct {
	rpc *jsonrpc2.Conn
	// lastReadNanos is the Unix time of the last read that returned data.
	lastReadNanos atomic.Int64
}

func newLink(node *Node, peer ids.VMID, address string) *link {
	return &link{node: node, peer: peer, address: address, dialSemaphore: make(chan struct{}, 1)}
}

// call sends the given number of copies of a request and returns the reply to
// the last one.
func (l *link) call(ctx context.Context, method string, params envelope, copies int) (json.RawMessage, error) {
	conn, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	if l.peerUnpacks.Load() {
		if params.Body, err = l.node.packer.pack(params.Body); err != nil {
			return nil, err
		}
	}
	startNanos := time.Now().UnixNano()
	for range copies - 1 {
		_, _ = conn.rpc.DispatchCall(ctx, method, params)
		l.node.traffic.countRequestSent(method, len(params.Body))
	}
	var raw json.RawMessage
	err = conn.rpc.Call(ctx, method, params, &raw)
	l.node.traffic.countRequestSent(method, len(params.Body))
	l.node.traffic.countReplyReceived(method, len(raw))
	if err == nil {
		if isPacked(raw) {
			l.peerUnpacks.Store(true)
		}
		return l.node.packer.unpack(raw)
	}
	var peerError *jsonrpc2.Error
	if eris.As(err, &peerError) {
		return nil, peerError
	}
	// A connection that received no data since the request was sent may be
	// unresponsive, so the next call opens a new one.
	if ctx.Err() == nil || conn.lastReadNanos.Load() < startNanos {
		l.closeConn(conn)
	}
	if ctx.Err() != nil {
		return nil, ErrTimeout
	}
	return nil, eris.Wrap(err, "connection lost")
}

// connect returns the open connection and opens one if there is none.
func (l *link) connect(ctx context.Context) (*rpcConn, error) {
	select {
	case l.dialSemaphore <- struct{}{}:
		defer func() { <-l.dialSemaphore }()
	case <-ctx.Done():
		return nil, ErrUnreachable
	}
	l.mu.Lock()
	conn, closed := l.conn, l.closed
	l.mu.Unlock()
	if closed {
		return nil, ErrUnknownPeer
	}
	if conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: source.LocalAddr(l.node.config.SourceIP)}
	tcpConn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	return l.startConn(tcpConn)
}

// startConn starts JSON-RPC on a new TCP connection and makes it the link's
// connection.
func (l *link) startConn(tcpConn net.Conn) (*rpcConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = tcpConn.Close()
		return nil, ErrUnknownPeer
	}
	setKeepAlive(tcpConn)
	conn := &rpcConn{}
	stream := newMessageStream(&meteredConn{Conn: tcpConn, rpcConn: conn, traffic: l.node.traffic, peer: l.peer})
	conn.rpc = jsonrpc2.NewConn(l.node.ctx, stream, jsonrpc2.AsyncHandler(&requestHandler{node: l.node}), discardLog())
	l.conn = conn
	go func() {
		<-conn.rpc.DisconnectNotify()
		l.closeConn(conn)
	}()
	return conn, nil
}

// closeConn closes conn. If conn is the link's current connection, the next
// call opens a new one.
func (l *link) closeConn(conn *rpcConn) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
		l.peerUnpacks.Store(false)
	}
	l.mu.Unlock()
	_ = conn.rpc.Close()
}

func (l *link) close() {
	l.mu.Lock()
	conn := l.conn
	l.conn, l.closed = nil, true
	l.mu.Unlock()
	if conn != nil {
		_ = conn.rpc.Close()
	}
}

// meteredConn counts the bytes of a connection and records the time of its last
// read that returned data.
type meteredConn struct {
	net.Conn
	rpcConn *rpcConn
	traffic *trafficCounter
	peer    ids.VMID
}

func (c *meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.rpcConn.lastReadNanos.Store(time.Now().UnixNano())
		c.traffic.countConnectionBytes(c.peer, n, 0)
	}
	return n, err
}

func (c *meteredConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.countConnectionBytes(c.peer, 0, n)
	return n, err
}

// discardLog disables the log of the JSON-RPC library. Errors are returned to
// the caller of Call.
func discardLog() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}

// requestHandler passes the requests of one connection to the handlers of the
// registry and sends their replies.
type requestHandler struct {
	node *Node
}

// Handle implements jsonrpc2.Handler.
func (s *requestHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Params == nil {
		s.replyError(ctx, conn, request, jsonrpc2.CodeInvalidParams, "no params")
		return
	}
	var params envelope
	if err := json.Unmarshal(*request.Params, &params); err != nil {
		s.replyError(ctx, conn, request, jsonrpc2.CodeInvalidParams, err.Error())
		return
	}
	handle, known := s.node.config.Registry.handlers[request.Method]
	if !known {
		s.replyError(ctx, conn, request, jsonrpc2.CodeMethodNotFound, "unknown method "+request.Method)
		return
	}
	s.node.traffic.countRequestReceived(request.Method, len(params.Body))
	body, err := s.node.packer.unpack(params.Body)
	if err != nil {
		s.replyError(ctx, conn, request, jsonrpc2.CodeInvalidParams, err.Error())
		return
	}
	reply, err := callHandler(ctx, handle, params.Sender, body)
	if err == nil && params.AcceptPacked {
		reply, err = s.node.packer.pack(reply)
	}
	if err != nil {
		if s.node.config.Logger != nil {
			s.node.config.Logger.WithError(err).WithField(observability.FieldPeer, string(params.Sender.VM)).WithField(observability.FieldStep, request.Method).Warn("peer request failed")
		}
		s.replyError(ctx, conn, request, jsonrpc2.CodeInternalError, err.Error())
		return
	}
	s.replyResult(ctx, conn, request, params.Sender, reply)
}

// callHandler turns a panic of a handler into an error: the library runs each
// handler in a goroutine of its own, where a panic would end the process.
func callHandler(ctx context.Context, handle bodyHandler, from Sender, body json.RawMessage) (reply json.RawMessage, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = eris.Errorf("handler panicked: %v\n%s", reason, debug.Stack())
		}
	}()
	return handle(ctx, from, body)
}

func (s *requestHandler) replyResult(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, to Sender, reply json.RawMessage) {
	action := s.node.faultAction(Message{Peer: to.VM, Method: request.Method, IsReply: true})
	if action.Drop || sleep(ctx, action.Delay) != nil {
		return
	}
	for range 1 + action.ExtraCopies {
		s.node.traffic.countReplySent(request.Method, len(reply))
		_ = conn.Reply(ctx, request.ID, reply)
	}
}

func (s *requestHandler) replyError(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, code int64, message string) {
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: code, Message: message})
}
