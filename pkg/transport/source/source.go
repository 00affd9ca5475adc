// Package source binds outgoing connections to one address of the VM. A VM
// with several addresses must show its peers the one that the network allows.
package source

import (
	"net"
	"net/http"
	"net/netip"
)

// Addr returns the local address for a net.Dialer, or nil for an empty or
// invalid IP number, which leaves the choice to the system.
func Addr(ip string) net.Addr {
	parsed, err := netip.ParseAddr(ip)
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(parsed, 0))
}

// HTTPClient returns a client whose connections come from the IP number.
func HTTPClient(ip string) *http.Client {
	dialer := &net.Dialer{LocalAddr: Addr(ip)}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}
