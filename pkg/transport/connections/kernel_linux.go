package connections

import (
	"net"
	"syscall"

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
func clientClosed(tcp *net.TCPConn) bool {
	// If the state cannot be read, reads show the end.
	return hasEvent(tcp, unix.POLLRDHUP, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR)
}

// hasUnaccepted reports whether the kernel holds a connection of a listener that has not
// been accepted.
func hasUnaccepted(listener *net.TCPListener) bool {
	return hasEvent(listener, unix.POLLIN, unix.POLLIN)
}

// hasEvent reports whether a socket has one of the events at the moment, when it is asked
// for those that have to be.
func hasEvent(socket syscall.Conn, ask, events int16) (has bool) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	controlErr := raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: ask}}
		count, err := unix.Poll(state, 0)
		has = err == nil && count > 0 && state[0].Revents&events != 0
	})
	return controlErr == nil && has
}
