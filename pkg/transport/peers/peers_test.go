package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

const testTimeout = 5 * time.Second

type ping struct {
	Number int `json:"number"`
}

// startNode starts a node whose method "ping" replies with the number that it
// received, and counts the handled requests.
func startNode(t *testing.T, vm ids.VMID, injector FaultInjector, handled *atomic.Int64) (*Node, string) {
	t.Helper()
	registry := NewRegistry()
	Handle(registry, "ping", func(_ context.Context, _ Sender, request ping) (ping, error) {
		handled.Add(1)
		return request, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	node := New(Config{Self: Sender{VM: vm, Boot: "boot"}, Registry: registry, FaultInjector: injector})
	go func() { _ = node.Serve(listener) }()
	t.Cleanup(node.Close)
	return node, listener.Addr().String()
}

func sendPing(node *Node, to ids.VMID, number int, timeout time.Duration) (ping, error) {
	return Call[ping](context.Background(), node, to, "ping", timeout, ping{Number: number})
}

// Guards against a connection that is not reopened after its peer restarted.
func TestCallReconnectsAfterPeerRestart(t *testing.T) {
	var handled atomic.Int64
	a, _ := startNode(t, "a", nil, &handled)
	b, address := startNode(t, "b", nil, &handled)
	a.SetPeers(map[ids.VMID]string{"b": address})
	reply, err := sendPing(a, "b", 7, testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, reply.Number, 7)

	b.Close()
	_, err = sendPing(a, "b", 8, testTimeout)
	assert.Assert(t, err != nil)

	_, address = startNode(t, "b", nil, &handled)
	a.SetPeers(map[ids.VMID]string{"b": address})
	reply, err = sendPing(a, "b", 9, testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, reply.Number, 9)
}

// Guards against concurrent calls receiving each other's replies.
func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	var handled atomic.Int64
	a, _ := startNode(t, "a", nil, &handled)
	_, address := startNode(t, "b", func(m Message) FaultAction {
		if m.IsReply && handled.Load()%2 == 0 {
			return FaultAction{Delay: 2 * time.Millisecond, ExtraCopies: 1}
		}
		return FaultAction{}
	}, &handled)
	a.SetPeers(map[ids.VMID]string{"b": address})
	var calls sync.WaitGroup
	for i := range 100 {
		calls.Go(func() {
			reply, err := sendPing(a, "b", i, testTimeout)
			assert.Check(t, err)
			assert.Check(t, reply.Number == i)
		})
	}
	calls.Wait()
	traffic := a.Traffic()
	assert.Equal(t, traffic.ByMethod["ping"].RequestsSent, int64(100))
	assert.Assert(t, traffic.ByPeer["b"].BytesOut > traffic.ByMethod["ping"].BytesOut)
}

// Guards against reusing an unresponsive connection. The listener never
// responds on its first connection and forwards the others to a working node.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	var handled atomic.Int64
	a, _ := startNode(t, "a", nil, &handled)
	_, workingAddress := startNode(t, "b", nil, &handled)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if accepted.Add(1) == 1 {
				continue
			}
			proxy(conn, workingAddress)
		}
	}()
	a.SetPeers(map[ids.VMID]string{"b": listener.Addr().String()})
	_, err = sendPing(a, "b", 1, 100*time.Millisecond)
	assert.Assert(t, errors.Is(err, ErrTimeout))
	reply, err := sendPing(a, "b", 2, testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, reply.Number, 2)
}

// proxy copies bytes both ways between conn and a new connection.
func proxy(conn net.Conn, address string) {
	other, err := net.Dial("tcp", address)
	if err != nil {
		_ = conn.Close()
		return
	}
	go copyBytes(conn, other)
	go copyBytes(other, conn)
}

func copyBytes(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Guards against injected faults that do not drop or repeat messages as
// requested, on which tests of other packages rely, and against calls to
// unknown peers that are not refused.
func TestFaultInjection(t *testing.T) {
	var handled atomic.Int64
	var action atomic.Pointer[FaultAction]
	action.Store(&FaultAction{})
	a, _ := startNode(t, "a", func(Message) FaultAction { return *action.Load() }, &handled)
	_, address := startNode(t, "b", nil, &handled)
	a.SetPeers(map[ids.VMID]string{"b": address})

	action.Store(&FaultAction{Drop: true})
	_, err := sendPing(a, "b", 1, 20*time.Millisecond)
	assert.Assert(t, errors.Is(err, ErrTimeout))
	assert.Equal(t, handled.Load(), int64(0))

	action.Store(&FaultAction{ExtraCopies: 1})
	_, err = sendPing(a, "b", 1, testTimeout)
	assert.NilError(t, err)
	for handled.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err = sendPing(a, "c", 1, testTimeout)
	assert.Assert(t, errors.Is(err, ErrUnknownPeer))
}
