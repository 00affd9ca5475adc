package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// RequestWrite is the write of a request, which may go on while the response is read. Its
// methods may be called concurrently.
type RequestWrite struct {
	once  sync.Once
	ended chan struct{}
	// err is set before ended is closed.
	err error
}

// NewRequestWrite returns a write that has not ended.
func NewRequestWrite() *RequestWrite { return &RequestWrite{ended: make(chan struct{})} }

// End records that the write has ended with an error, or nil. Only the first call counts.
func (w *RequestWrite) End(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.ended)
	})
}

// Wait waits until the write has ended and returns its error.
func (w *RequestWrite) Wait() error {
	<-w.ended
	return w.err
}

// WaitFor is Wait with a limit. It reports whether the write has ended.
func (w *RequestWrite) WaitFor(limit time.Duration) (bool, error) {
	select {
	case <-w.ended:
		return true, w.err
	default:
	}
	select {
	case <-w.ended:
		return true, w.err
	case <-time.After(limit):
		return false, nil
	}
}

// CheckEnd returns io.EOF if the end of a connection, at which a read has arrived, is that
// of everything that the other side has sent, and the reason why it is not otherwise.
//
// Linux reports the reset of a connection once: if the write of the request gets the
// error, a read returns a plain end. When a server's process ends, its host may also close
// the connection first and reset it for the bytes that still arrive. So no reset may come
// until all of the request has arrived. If that takes longer than the limit, the server has
// closed its own side only.
func (w *RequestWrite) CheckEnd(ctx context.Context, connection net.Conn, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	written, err := w.WaitFor(limit)
	if err != nil {
		return cutResponse(err)
	}
	for {
		reset, arrived, err := requestState(connection)
		switch {
		case err != nil:
			return cutResponse(err)
		case reset:
			return cutResponse(syscall.ECONNRESET)
		case written && arrived, !time.Now().Before(deadline):
			return io.EOF
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(endCheckInterval):
		}
	}
}

// endCheckInterval is the time between two looks at a connection whose end has been read.
const endCheckInterval = 10 * time.Millisecond

func cutResponse(err error) error {
	return eris.Wrap(err, "connection failed before the request had arrived, which may have cut the response")
}

// tcpClose is the state of a connection that was reset (TCP_CLOSE in Linux). One that the
// other side has closed is in another state as long as this side is open.
const tcpClose = 7

// requestState reports whether a connection was reset, and whether the other side has
// acknowledged everything that was written.
func requestState(connection net.Conn) (reset, arrived bool, err error) {
	tcp, isTCP := connection.(syscall.Conn)
	if !isTCP {
		return false, true, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, false, err
	}
	info, err := TCPInfo(raw)
	if err != nil {
		return false, false, err
	}
	return info.State == tcpClose, info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

// TCPInfo returns what the kernel says of a connection.
func TCPInfo(connection syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := connection.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, infoErr)
}
