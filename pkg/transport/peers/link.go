package peers

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/source"
)

// link is the outgoing connection to one peer. It connects on the first call
// and again on the first call after a loss.
type link struct {
	node    *Node
	peer    ids.VMID
	address string

	// dialing serialises connection attempts, so that a burst of calls opens
	// one connection.
	dialing chan struct{}

	mu     sync.Mutex
	open   *openConn
	closed bool
}

// openConn is one TCP connection and the time at which it last gave bytes.
type openConn struct {
	rpc      *jsonrpc2.Conn
	lastRead atomic.Int64
}

func newLink(node *Node, peer ids.VMID, address string) *link {
	return &link{node: node, peer: peer, address: address, dialing: make(chan struct{}, 1)}
}

func (l *link) call(ctx context.Context, method string, params envelope, times int) (json.RawMessage, error) {
	conn, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now().UnixNano()
	for range times - 1 {
		_, _ = conn.rpc.DispatchCall(ctx, method, params)
		l.node.traffic.sent(method, len(params.Body))
	}
	var raw json.RawMessage
	err = conn.rpc.Call(ctx, method, params, &raw)
	l.node.traffic.sent(method, len(params.Body))
	l.node.traffic.received(method, len(raw))
	if err == nil {
		return raw, nil
	}
	var refused *jsonrpc2.Error
	if eris.As(err, &refused) {
		return nil, refused
	}
	// A connection that gave no byte since the request was written may be
	// silent for good, so the next call opens a new one.
	if ctx.Err() == nil || conn.lastRead.Load() < started {
		l.drop(conn)
	}
	if ctx.Err() != nil {
		return nil, ErrTimeout
	}
	return nil, eris.Wrap(err, "connection lost")
}

func (l *link) connect(ctx context.Context) (*openConn, error) {
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, ErrUnreachable
	}
	l.mu.Lock()
	conn, closed := l.open, l.closed
	l.mu.Unlock()
	if closed {
		return nil, ErrUnknownPeer
	}
	if conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: source.Addr(l.node.config.Source)}
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	return l.adopt(raw)
}

func (l *link) adopt(raw net.Conn) (*openConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = raw.Close()
		return nil, ErrUnknownPeer
	}
	setKeepAlive(raw)
	conn := &openConn{}
	stream := jsonrpc2.NewPlainObjectStream(&watchedConn{Conn: raw, owner: conn, traffic: l.node.traffic, peer: l.peer})
	conn.rpc = jsonrpc2.NewConn(l.node.ctx, stream, jsonrpc2.AsyncHandler(&server{node: l.node}), quiet())
	l.open = conn
	go func() {
		<-conn.rpc.DisconnectNotify()
		l.drop(conn)
	}()
	return conn, nil
}

// drop closes conn and forgets it, if it is still the one in use.
func (l *link) drop(conn *openConn) {
	l.mu.Lock()
	if l.open == conn {
		l.open = nil
	}
	l.mu.Unlock()
	_ = conn.rpc.Close()
}

func (l *link) close() {
	l.mu.Lock()
	conn := l.open
	l.open, l.closed = nil, true
	l.mu.Unlock()
	if conn != nil {
		_ = conn.rpc.Close()
	}
}

// watchedConn counts bytes and notes when the connection last gave some.
type watchedConn struct {
	net.Conn
	owner   *openConn
	traffic *traffic
	peer    ids.VMID
}

func (c *watchedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.owner.lastRead.Store(time.Now().UnixNano())
		c.traffic.wire(c.peer, n, 0)
	}
	return n, err
}

func (c *watchedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.wire(c.peer, 0, n)
	return n, err
}

// quiet silences the library's own log; errors reach the caller of Call.
func quiet() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}

// server answers the requests of one connection from the registry.
type server struct {
	node *Node
}

// Handle implements jsonrpc2.Handler.
func (s *server) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Params == nil {
		s.refuse(ctx, conn, request, jsonrpc2.CodeInvalidParams, "no params")
		return
	}
	var params envelope
	if err := json.Unmarshal(*request.Params, &params); err != nil {
		s.refuse(ctx, conn, request, jsonrpc2.CodeInvalidParams, err.Error())
		return
	}
	handle, known := s.node.config.Registry.handlers[request.Method]
	if !known {
		s.refuse(ctx, conn, request, jsonrpc2.CodeMethodNotFound, "unknown method "+request.Method)
		return
	}
	s.node.traffic.served(request.Method, len(params.Body))
	reply, err := handle(ctx, params.From, params.Body)
	if err != nil {
		s.refuse(ctx, conn, request, jsonrpc2.CodeInternalError, err.Error())
		return
	}
	s.answer(ctx, conn, request, params.From, reply)
}

func (s *server) answer(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, to From, reply json.RawMessage) {
	action := s.node.fault(Message{Peer: to.VM, Method: request.Method, Reply: true})
	if action.Drop || wait(ctx, action.Delay) != nil {
		return
	}
	for range 1 + action.Repeat {
		s.node.traffic.answered(request.Method, len(reply))
		_ = conn.Reply(ctx, request.ID, reply)
	}
}

func (s *server) refuse(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, code int64, message string) {
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: code, Message: message})
}
