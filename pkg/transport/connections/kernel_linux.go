package connections

import (
	"net"

	"golang.org/x/sys/unix"
)

// unsentBytes returns the bytes that the kernel holds for the client of a connection, and
// reports whether they are known.
func unsentBytes(tcp *net.TCPConn) (bytes int, known bool) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	controlErr := raw.Control(func(fd uintptr) {
		bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return bytes, controlErr == nil && err == nil
}

// hasUnread reports whether the kernel holds bytes from the client of a connection.
func hasUnread(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	controlErr := raw.Control(func(fd uintptr) {
		unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return controlErr == nil && err == nil && unread > 0
}

// clientClosed reports whether the kernel knows that the client of a connection sends
// nothing more.
func clientClosed(tcp *net.TCPConn) (closed bool) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	// If the state cannot be read, reads show the end.
	_ = raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(state, 0)
		closed = err == nil && count > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}
