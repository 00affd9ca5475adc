package endpoints

import (
	"net"
	"syscall"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/http1"
)

// windowChecksPerTimeout is the number of looks at a connection within its timeout for
// unacknowledged bytes. Linux closes a connection up to that time after its first probe of
// a full receiver.
const windowChecksPerTimeout = 6

// watchWindow keeps the kernel from closing a connection whose endpoint is slow to read.
// With TCP_USER_TIMEOUT, Linux closes it although the endpoint's host acknowledges each
// probe. Without it, a silent host behind a full receiver would be noticed after minutes,
// so that the watch closes the connection when a probe stays unacknowledged for the
// timeout. The interval of probes grows while the receiver is full, which delays this.
func (c *connection) watchWindow(timeout time.Duration) (stop func()) {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP || timeout <= 0 {
		return func() {}
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return func() {}
	}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		c.followWindow(raw, timeout, done)
	}()
	return func() {
		close(done)
		<-ended
	}
}

func (c *connection) followWindow(raw syscall.RawConn, timeout time.Duration, done <-chan struct{}) {
	ticker := time.NewTicker(timeout / windowChecksPerTimeout)
	defer ticker.Stop()
	suspended := false
	var probedSince time.Time
	for {
		select {
		case <-done:
			if suspended {
				// A connection that cannot be set is closed already.
				_ = setUserTimeout(raw, timeout)
			}
			return
		case <-ticker.C:
		}
		full, probed, err := receiverFull(raw)
		if err != nil {
			return
		}
		if full != suspended {
			limit := timeout
			if full {
				limit = 0
			}
			if setUserTimeout(raw, limit) != nil {
				return
			}
			suspended = full
		}
		switch {
		case !full || !probed:
			probedSince = time.Time{}
		case probedSince.IsZero():
			probedSince = time.Now()
		case time.Since(probedSince) >= timeout:
			c.close()
			return
		}
	}
}

// receiverFull reports whether bytes wait only for room at the receiver, and whether a
// probe for room is not acknowledged.
func receiverFull(raw syscall.RawConn) (full, probed bool, err error) {
	info, err := http1.TCPInfo(raw)
	if err != nil {
		return false, false, err
	}
	return info.Unacked == 0 && info.Notsent_bytes > 0, info.Probes > 0, nil
}
