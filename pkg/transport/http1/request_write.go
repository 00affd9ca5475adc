package http1

import (
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
// the connection first and reset it for the bytes that still arrive. So the write must not
// fail. If it still goes on after the limit, the server must have closed its own side only.
func (w *RequestWrite) CheckEnd(connection net.Conn, limit time.Duration) error {
	ended, err := w.WaitFor(limit)
	if ended && err == nil {
		return io.EOF
	}
	if !ended {
		var halfClosed bool
		if halfClosed, err = isHalfClosed(connection); halfClosed {
			return io.EOF
		}
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
	}
	return eris.Wrap(err, "connection failed before the request was written, which may have cut the response")
}

// tcpCloseWait is the state of a connection that the other side has closed and this one
// has not; a reset ends it (TCP_CLOSE_WAIT in Linux).
const tcpCloseWait = 8

// isHalfClosed reports whether the other side has closed its direction of a connection and
// has not reset it.
func isHalfClosed(connection net.Conn) (bool, error) {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return false, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, err
	}
	info, err := TCPInfo(raw)
	if err != nil {
		return false, err
	}
	return info.State == tcpCloseWait, nil
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
