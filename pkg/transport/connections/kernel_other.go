//go:build !linux

package connections

import "net"

// unsentBytes is not known on other systems.
func unsentBytes(*net.TCPConn) (bytes int, known bool) { return 0, false }

// clientClosed is not known on other systems before the end is read.
func clientClosed(*net.TCPConn) bool { return false }

func hasUnread(*net.TCPConn) bool { return false }

func hasUnaccepted(*net.TCPListener) bool { return false }
