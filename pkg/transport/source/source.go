// Package source binds outgoing connections to one local IP address. On a VM
// with several addresses, connections must come from the address that the
// network permits. The clients for peers, endpoints and the platform use it.
package source

import (
	"net"
	"net/http"
	"net/netip"
)

// LocalAddr returns the LocalAddr of a net.Dialer for an IP address. It returns
// nil for an empty or invalid address; the operating system then chooses.
func LocalAddr(ip string) net.Addr {
	parsed, err := netip.ParseAddr(ip)
	if err != nil {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(parsed, 0))
}

// HTTPClient returns an HTTP client whose connections use ip as their local
// address. The client has no timeout.
func HTTPClient(ip string) *http.Client {
	dialer := &net.Dialer{LocalAddr: LocalAddr(ip)}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}
