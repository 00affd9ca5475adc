package peers

import (
	"maps"
	"sync"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Traffic counts what a node sent and received.
type Traffic struct {
	// Methods counts message bodies by method, without JSON-RPC framing.
	Methods map[string]MethodTraffic
	// Wire counts all bytes on the node's outgoing connections by peer.
	Wire map[ids.VMID]WireTraffic
}

// MethodTraffic counts the bodies of one method.
type MethodTraffic struct {
	Requests, Served  int64
	BytesOut, BytesIn int64
}

// WireTraffic counts the bytes of one peer's connections.
type WireTraffic struct {
	BytesOut, BytesIn int64
}

type traffic struct {
	mu    sync.Mutex
	total Traffic
}

func newTraffic() *traffic {
	return &traffic{total: Traffic{
		Methods: make(map[string]MethodTraffic),
		Wire:    make(map[ids.VMID]WireTraffic),
	}}
}

func (t *traffic) add(method string, change MethodTraffic) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.total.Methods[method]
	count.Requests += change.Requests
	count.Served += change.Served
	count.BytesOut += change.BytesOut
	count.BytesIn += change.BytesIn
	t.total.Methods[method] = count
}

func (t *traffic) sent(method string, bytes int) {
	t.add(method, MethodTraffic{Requests: 1, BytesOut: int64(bytes)})
}

func (t *traffic) received(method string, bytes int) {
	t.add(method, MethodTraffic{BytesIn: int64(bytes)})
}

func (t *traffic) served(method string, bytes int) {
	t.add(method, MethodTraffic{Served: 1, BytesIn: int64(bytes)})
}

func (t *traffic) answered(method string, bytes int) {
	t.add(method, MethodTraffic{BytesOut: int64(bytes)})
}

func (t *traffic) wire(peer ids.VMID, in, out int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.total.Wire[peer]
	count.BytesIn += int64(in)
	count.BytesOut += int64(out)
	t.total.Wire[peer] = count
}

func (t *traffic) snapshot() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Traffic{Methods: maps.Clone(t.total.Methods), Wire: maps.Clone(t.total.Wire)}
}
