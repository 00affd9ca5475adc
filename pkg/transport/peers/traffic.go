package peers

import (
	"maps"
	"sync"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Traffic counts the messages and bytes that a node sent and received.
type Traffic struct {
	// ByMethod counts requests, and the bytes of request and reply bodies
	// without JSON-RPC framing, by method.
	ByMethod map[string]MethodTraffic
	// ByPeer counts all bytes on the node's outgoing connections by peer.
	ByPeer map[ids.VMID]PeerTraffic
}

// MethodTraffic counts the messages of one method.
type MethodTraffic struct {
	// RequestsSent and RequestsReceived count the requests of both directions.
	RequestsSent, RequestsReceived int64
	// BytesOut and BytesIn count the bytes of message bodies.
	BytesOut, BytesIn int64
}

// PeerTraffic counts the bytes on the connections to one peer.
type PeerTraffic struct {
	BytesOut, BytesIn int64
}

// trafficCounter adds up the traffic of a node.
type trafficCounter struct {
	// mu guards totals.
	mu     sync.Mutex
	totals Traffic
}

func newTrafficCounter() *trafficCounter {
	return &trafficCounter{totals: Traffic{
		ByMethod: make(map[string]MethodTraffic),
		ByPeer:   make(map[ids.VMID]PeerTraffic),
	}}
}

func (t *trafficCounter) add(method string, delta MethodTraffic) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.totals.ByMethod[method]
	count.RequestsSent += delta.RequestsSent
	count.RequestsReceived += delta.RequestsReceived
	count.BytesOut += delta.BytesOut
	count.BytesIn += delta.BytesIn
	t.totals.ByMethod[method] = count
}

func (t *trafficCounter) countRequestSent(method string, bytes int) {
	t.add(method, MethodTraffic{RequestsSent: 1, BytesOut: int64(bytes)})
}

func (t *trafficCounter) countReplyReceived(method string, bytes int) {
	t.add(method, MethodTraffic{BytesIn: int64(bytes)})
}

func (t *trafficCounter) countRequestReceived(method string, bytes int) {
	t.add(method, MethodTraffic{RequestsReceived: 1, BytesIn: int64(bytes)})
}

func (t *trafficCounter) countReplySent(method string, bytes int) {
	t.add(method, MethodTraffic{BytesOut: int64(bytes)})
}

func (t *trafficCounter) countConnectionBytes(peer ids.VMID, in, out int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.totals.ByPeer[peer]
	count.BytesIn += int64(in)
	count.BytesOut += int64(out)
	t.totals.ByPeer[peer] = count
}

func (t *trafficCounter) snapshot() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Traffic{ByMethod: maps.Clone(t.totals.ByMethod), ByPeer: maps.Clone(t.totals.ByPeer)}
}
