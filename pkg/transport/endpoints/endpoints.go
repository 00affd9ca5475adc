// Package endpoints is the HTTP client that a VM uses for endpoints and for the
// platform's store. Timeouts for dialing, unacknowledged data and idle
// connections come from a Config. The platform command and the node call it.
package endpoints

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/source"
)

// Config holds the timeouts and limits of connections.
type Config struct {
	// SourceIP is the local IP address of outgoing connections.
	SourceIP string
	// DialTimeout bounds the TCP handshake.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long sent bytes may remain unacknowledged
	// before the kernel closes the connection (TCP_USER_TIMEOUT). It also bounds the
	// wait for the arrival of a request whose response has ended with its connection.
	UnacknowledgedTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the number of idle connections to one address.
	MaxIdlePerAddress int
}

// DefaultConfig returns the settings for endpoints with a round-trip time of a
// few milliseconds. ip is the local address of the connections.
func DefaultConfig(ip string) Config {
	return Config{
		SourceIP:              ip,
		DialTimeout:           600 * time.Millisecond,
		UnacknowledgedTimeout: 900 * time.Millisecond,
		IdleTimeout:           1500 * time.Millisecond,
		MaxIdlePerAddress:     32,
	}
}

// TCP keep-alive settings. They detect within about 3 s that the other side is
// gone while a request waits for its response.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// connBufferBytes is the size of each connection's read and write buffer. It
// is small because a process with a few hundred megabytes of memory holds some
// hundred connections.
const connBufferBytes = 4 << 10

// maxResponseHeaderBytes bounds the head of a response. A response whose head is
// longer, or never ends, fails and its connection is closed.
const maxResponseHeaderBytes = 64 << 10

func setUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// Refuses reports whether an address refuses connections, which shows that its
// host is up and that no process listens there. It returns an error if the
// address neither accepts nor refuses a connection in time.
func Refuses(ctx context.Context, config Config, address string) (bool, error) {
	dialer := &net.Dialer{Timeout: config.DialTimeout, LocalAddr: source.LocalAddr(config.SourceIP)}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		return false, connection.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, nil
	}
	return false, err
}
