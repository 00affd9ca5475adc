// Package netfault puts TCP forwarders between processes of an experiment, so
// that links between them can be cut or go silent.
//
// Hosts are told apart by their loopback address: a process that binds its
// outgoing connections to 127.0.1.3 is the host registered under that address.
package netfault

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Host names one end of a link.
type Host string

// link is an unordered pair of hosts.
type link struct {
	a, b Host
}

func between(a, b Host) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// direction is one way of a link.
type direction struct {
	from, to Host
}

// Network knows the hosts and the state of the links between them.
type Network struct {
	mu    sync.Mutex
	hosts map[netip.Addr]Host
	cut   map[direction]bool
	delay map[link]time.Duration
	conns map[*forwarded]bool
}

// New returns a network in which every link works.
func New() *Network {
	return &Network{
		hosts: make(map[netip.Addr]Host),
		cut:   make(map[direction]bool),
		delay: make(map[link]time.Duration),
		conns: make(map[*forwarded]bool),
	}
}

// AddHost registers the address from which a host connects.
func (n *Network) AddHost(host Host, address netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
}

// Cut drops everything between two hosts, on open and on new connections.
// Neither end sees its connection close, as with lost packets.
func (n *Network) Cut(a, b Host) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// CutOneWay drops everything that one host sends to another.
func (n *Network) CutOneWay(from, to Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[direction{from, to}] = true
}

// Heal ends the cuts and the delay between two hosts. Connections that lost
// bytes stay silent; new ones work.
func (n *Network) Heal(a, b Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, direction{a, b})
	delete(n.cut, direction{b, a})
	delete(n.delay, between(a, b))
}

// Delay holds everything between two hosts back for a time in each direction.
func (n *Network) Delay(a, b Host, each time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[between(a, b)] = each
}

// Reset resets all connections that are open between two hosts.
func (n *Network) Reset(a, b Host) {
	for _, conn := range n.open(between(a, b)) {
		conn.reset()
	}
}

func (n *Network) open(pair link) []*forwarded {
	n.mu.Lock()
	defer n.mu.Unlock()
	var open []*forwarded
	for conn := range n.conns {
		if conn.link == pair {
			open = append(open, conn)
		}
	}
	return open
}

// Silence makes all connections that are open between two hosts silent for
// good, while new ones work.
func (n *Network) Silence(a, b Host) {
	for _, conn := range n.open(between(a, b)) {
		conn.silence()
	}
}

// state returns whether a direction is cut and how long it holds bytes back.
func (n *Network) state(way direction) (bool, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[way], n.delay[between(way.from, way.to)]
}

func (n *Network) hostOf(address net.Addr) Host {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[parsed.Addr().Unmap()]
}

// Forward listens on a free loopback port and forwards connections to the
// target of a host until the context ends. It returns the address to use.
func (n *Network) Forward(ctx context.Context, to Host, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for forwarder to %s: %w", to, err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(ctx, conn, to, target)
		}
	}()
	return listener.Addr().String(), nil
}

// dialTimeout bounds the connection to a target; targets are on loopback.
const dialTimeout = time.Second

func (n *Network) serve(ctx context.Context, near net.Conn, to Host, target string) {
	there := direction{n.hostOf(near.RemoteAddr()), to}
	back := direction{there.to, there.from}
	conn := &forwarded{network: n, link: between(there.from, there.to), near: near, stop: make(chan struct{})}
	n.mu.Lock()
	n.conns[conn] = true
	n.mu.Unlock()
	defer conn.close()
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	cut, _ := n.state(there)
	if cutBack, _ := n.state(back); cut || cutBack {
		// The handshake needs both ways.
		conn.silence()
		_, _ = io.Copy(io.Discard, near)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	conn.setFar(far)
	go conn.copy(near, far, back)
	conn.copy(far, near, there)
}

// forwarded is one forwarded connection.
type forwarded struct {
	network *Network
	link    link
	near    net.Conn

	mu     sync.Mutex
	far    net.Conn
	silent bool
	once   sync.Once
	stop   chan struct{}
}

func (f *forwarded) setFar(far net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.far = far
}

func (f *forwarded) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
}

func (f *forwarded) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// bufferBytes is the size of one forwarded piece.
const bufferBytes = 32 << 10

// copy forwards one direction. Once bytes were lost, the connection stays
// silent, because a stream with a gap is no longer valid.
func (f *forwarded) copy(to, from net.Conn, way direction) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			cut, delay := f.network.state(way)
			time.Sleep(delay)
			if cut {
				f.silence()
			}
		}
		if count > 0 && !f.isSilent() {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			f.end()
			return
		}
	}
}

// reset ends the connection with a reset at both ends.
func (f *forwarded) reset() {
	f.mu.Lock()
	for _, conn := range []net.Conn{f.near, f.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Closing without lingering discards what is unsent and resets.
			_ = tcp.SetLinger(0)
		}
	}
	f.mu.Unlock()
	f.close()
}

// end closes both ends, unless the connection is silent: then the other end
// must not learn that it is over.
func (f *forwarded) end() {
	if f.isSilent() {
		<-f.stop
	}
	f.close()
}

func (f *forwarded) close() {
	f.once.Do(func() {
		close(f.stop)
		f.network.mu.Lock()
		delete(f.network.conns, f)
		f.network.mu.Unlock()
		_ = f.near.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.far != nil {
			_ = f.far.Close()
		}
	})
}
