// Package peers carries JSON-RPC 2.0 messages between VMs over TCP
// connections that are kept open. A node serves a registry of typed handlers
// and keeps one outgoing connection to each peer it calls.
//
// Links give no guarantee beyond TCP's: a message may be lost with its
// connection, and a caller that repeats it may have it handled twice.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Settings of peer connections.
const (
	// dialTimeout bounds the TCP handshake. Peers are at most some hundred
	// milliseconds apart; a longer wait means a lost or partitioned peer.
	dialTimeout = time.Second
	// The keep-alive values find a connection whose other end is gone after
	// about 8 s, below the 10 s that a list may lag.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Errors of calls. ErrUnreachable means that the request was not sent.
var (
	ErrUnknownPeer = errors.New("peer is not in the VM list")
	ErrUnreachable = errors.New("peer is unreachable")
	ErrTimeout     = errors.New("peer did not answer in time")
	ErrClosed      = errors.New("node is closed")
)

// Config describes a node.
type Config struct {
	Self     From
	Registry *Registry
	// Source is the IP number of outgoing connections; empty for any.
	Source string
	// Fault, if set, is asked before each message leaves. Tests use it.
	Fault  Fault
	Logger logrus.FieldLogger
}

// Node is one VM's end of all peer links.
type Node struct {
	config  Config
	traffic *traffic

	mu      sync.Mutex
	links   map[ids.VMID]*link
	inbound map[net.Conn]struct{}
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
}

// New returns a node without peers.
func New(config Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		config:  config,
		traffic: newTraffic(),
		links:   make(map[ids.VMID]*link),
		inbound: make(map[net.Conn]struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// SetPeers replaces the peers that may be called. Links to peers that are
// gone, or that have a new address, are closed.
func (n *Node) SetPeers(addresses map[ids.VMID]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for vm, l := range n.links {
		if addresses[vm] != l.address {
			l.close()
			delete(n.links, vm)
		}
	}
	for vm, address := range addresses {
		if vm == n.config.Self.VM || n.links[vm] != nil {
			continue
		}
		n.links[vm] = newLink(n, vm, address)
	}
}

// Serve accepts connections of peers until the node closes.
func (n *Node) Serve(listener net.Listener) error {
	stop := context.AfterFunc(n.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "accept peer connection")
		}
		n.accept(conn)
	}
}

func (n *Node) accept(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return
	}
	setKeepAlive(conn)
	n.inbound[conn] = struct{}{}
	rpc := jsonrpc2.NewConn(n.ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.AsyncHandler(&server{node: n}), quiet())
	n.workers.Go(func() {
		<-rpc.DisconnectNotify()
		n.mu.Lock()
		delete(n.inbound, conn)
		n.mu.Unlock()
	})
}

// Close closes all links and waits for the accept loops' connections to end.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.links {
		l.close()
	}
	for conn := range n.inbound {
		_ = conn.Close()
	}
	n.mu.Unlock()
	n.cancel()
	n.workers.Wait()
}

// Traffic returns the bytes and messages counted since the start.
func (n *Node) Traffic() Traffic {
	return n.traffic.snapshot()
}

// Call sends one request and waits at most timeout for its reply. An error
// that is ErrUnreachable or ErrUnknownPeer means that nothing was sent; any
// other error leaves open whether the peer handled the request.
func Call[Reply, Request any](ctx context.Context, n *Node, to ids.VMID, method string, timeout time.Duration, request Request) (Reply, error) {
	var reply Reply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, eris.Wrapf(err, "encode %s", method)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := n.call(ctx, to, method, body)
	if err != nil {
		return reply, eris.Wrapf(err, "call %s of peer %s", method, to)
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return reply, eris.Wrapf(err, "decode reply to %s of peer %s", method, to)
	}
	return reply, nil
}

func (n *Node) call(ctx context.Context, to ids.VMID, method string, body json.RawMessage) (json.RawMessage, error) {
	n.mu.Lock()
	l, known := n.links[to]
	closed := n.closed
	n.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	if !known {
		return nil, ErrUnknownPeer
	}
	action := n.fault(Message{Peer: to, Method: method})
	if err := wait(ctx, action.Delay); err != nil {
		return nil, ErrTimeout
	}
	if action.Drop {
		<-ctx.Done()
		return nil, ErrTimeout
	}
	return l.call(ctx, method, envelope{From: n.config.Self, Body: body}, 1+action.Repeat)
}

func setKeepAlive(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	})
}

// wait sleeps for delay or until the context ends.
func wait(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
