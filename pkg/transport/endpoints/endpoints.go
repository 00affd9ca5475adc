// Package endpoints opens the connections of a VM to endpoints and to the
// platform's store.
package endpoints

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/source"
)

// Config holds the time limits of connections.
type Config struct {
	// Source is the IP number of outgoing connections.
	Source string
	// DialTimeout bounds the TCP handshake.
	DialTimeout time.Duration
	// Unacknowledged is how long sent bytes may stay without an
	// acknowledgement before the connection is given up.
	Unacknowledged time.Duration
	// Idle is how long an unused connection is kept.
	Idle time.Duration
	// MaxIdle bounds the unused connections to one address.
	MaxIdle int
}

// DefaultConfig returns limits for endpoints a few milliseconds away.
func DefaultConfig(ip string) Config {
	return Config{
		Source:         ip,
		DialTimeout:    600 * time.Millisecond,
		Unacknowledged: 900 * time.Millisecond,
		Idle:           1500 * time.Millisecond,
		MaxIdle:        32,
	}
}

// NewClient returns a client that never follows redirects and never asks for
// an encoding, so that answers pass through unchanged.
func NewClient(config Config) *http.Client {
	dialer := &net.Dialer{
		Timeout:   config.DialTimeout,
		LocalAddr: source.Addr(config.Source),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, config.Unacknowledged)
		},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: config.MaxIdle,
			IdleConnTimeout:     config.Idle,
			WriteBufferSize:     bufferBytes,
			ReadBufferSize:      bufferBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Keep-alive probes find a connection that has gone silent while it waits for
// an answer, in about three seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// bufferBytes is that of each connection: some hundred are open in a process
// of a few hundred megabytes.
const bufferBytes = 4 << 10

func setUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// NeverSent reports whether an error of a client proves that no byte of the
// request was sent.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
