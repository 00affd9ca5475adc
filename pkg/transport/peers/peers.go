// Package peers sends JSON-RPC 2.0 messages between VMs over persistent TCP
// connections. A node serves a registry of typed handlers and keeps one
// outgoing connection to each peer that it calls. The daemon and package node
// use it.
//
// Delivery is not guaranteed beyond TCP: a message may be lost with its
// connection, and a request that a caller repeats may be handled twice.
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
	// dialTimeout bounds the TCP handshake. The round-trip time to a peer is at
	// most some hundred milliseconds; a peer that takes longer is down or
	// partitioned.
	dialTimeout = time.Second
	// TCP keep-alive detects a connection whose other side is gone after about
	// 8 s, which is below the 10 s by which a VM list may lag behind.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Errors of calls. With ErrUnknownPeer and ErrUnreachable the request was not
// sent.
var (
	ErrUnknownPeer = errors.New("peer is not in the VM list")
	ErrUnreachable = errors.New("peer is unreachable")
	ErrTimeout     = errors.New("peer did not answer in time")
	ErrClosed      = errors.New("node is closed")
)

// Config describes a node.
type Config struct {
	Self     Sender
	Registry *Registry
	// SourceIP is the local IP address of outgoing connections; empty for any.
	SourceIP string
	// FaultInjector, if not nil, injects faults into outgoing messages in
	// tests.
	FaultInjector FaultInjector
	Logger        logrus.FieldLogger
}

// Node holds one VM's connections to and from its peers. Its methods may be
// called concurrently.
type Node struct {
	config  Config
	traffic *trafficCounter
	packer  packer

	// mu guards links, inbound and closed.
	mu      sync.Mutex
	links   map[ids.VMID]*link
	inbound map[net.Conn]struct{}
	closed  bool
	// ctx ends when the node closes.
	ctx    context.Context
	cancel context.CancelFunc
	// inboundDone waits for the goroutines of the inbound connections.
	inboundDone sync.WaitGroup
}

// New returns a node without peers.
func New(config Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		config:  config,
		traffic: newTrafficCounter(),
		links:   make(map[ids.VMID]*link),
		inbound: make(map[net.Conn]struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// SetPeers replaces the peers that may be called. Connections to peers that
// were removed or have a new address are closed.
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

// Serve accepts connections from peers until the node closes.
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
	rpc := jsonrpc2.NewConn(n.ctx, newMessageStream(conn), jsonrpc2.AsyncHandler(&requestHandler{node: n}), discardLog())
	n.inboundDone.Go(func() {
		<-rpc.DisconnectNotify()
		n.mu.Lock()
		delete(n.inbound, conn)
		n.mu.Unlock()
	})
}

// Close closes all connections and waits until the inbound ones have ended.
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
	n.inboundDone.Wait()
}

// Traffic returns the messages and bytes counted since the node was created.
func (n *Node) Traffic() Traffic {
	return n.traffic.snapshot()
}

// Call sends one request and waits at most timeout for its reply. With
// ErrUnreachable and ErrUnknownPeer nothing was sent; after any other error the
// peer may or may not have handled the request.
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
	action := n.faultAction(Message{Peer: to, Method: method})
	if err := sleep(ctx, action.Delay); err != nil {
		return nil, ErrTimeout
	}
	if action.Drop {
		<-ctx.Done()
		return nil, ErrTimeout
	}
	return l.call(ctx, method, envelope{Sender: n.config.Self, Body: body, AcceptPacked: true}, 1+action.ExtraCopies)
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

// sleep waits for delay, or returns the context's error if it ends earlier.
func sleep(ctx context.Context, delay time.Duration) error {
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
