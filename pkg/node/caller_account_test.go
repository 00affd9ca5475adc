package node

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/callermemory"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
)

// Guards against a caller that takes its answer slowly and is closed in calm as if it
// took nothing, since the kernel lets the VM write on only after a third of its buffer
// is free: 10 KB each 500 ms, while a caller may take nothing for 2.5 s. One that stops is
// closed.
func TestSlowReaderKeepsItsConnection(t *testing.T) {
	account := newCallerAccount(64<<20, 800)
	account.config.IdleTimeout, account.config.MinAnswerPause = 1500*time.Millisecond, 0
	account.account = callermemory.New(account.config)
	account.set = connections.NewObserved(account)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	server := &http.Server{ConnState: account.set.ConnState, ConnContext: account.set.ConnContext, Handler: account.set.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, strings.Repeat("x", 4<<20))
		ended <- err
	}))}
	go func() { _ = server.Serve(account.set.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	assert.NilError(t, caller.(*net.TCPConn).SetReadBuffer(8<<10))
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	wait := func(until time.Duration, reads bool) bool {
		buffer := make([]byte, 10<<10)
		for at := time.Duration(0); at < until; at += 100 * time.Millisecond {
			if reads && at%(500*time.Millisecond) == 0 {
				_, err := io.ReadFull(caller, buffer)
				assert.NilError(t, err, "after %v", at)
			}
			account.sweep()
			select {
			case <-ended:
				return true
			case <-time.After(100 * time.Millisecond):
			}
		}
		return false
	}
	assert.Assert(t, !wait(5*time.Second, true), "the answer was given up while the caller took it")
	assert.Assert(t, wait(6*time.Second, false), "the answer is still held")
}

// Guards against turns that are lost with the connections that had them or waited for
// them, after which no long request is read any more.
func TestTurnsPassOnWhenConnectionsEnd(t *testing.T) {
	account := newCallerAccount(64<<20, 800)
	account.set = connections.NewObserved(account)
	turns := runtime.GOMAXPROCS(0)
	const waiting = 20
	channels := make(map[connections.ID]<-chan struct{})
	open := func(id connections.ID) {
		assert.Assert(t, account.Opened(id, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}))
		account.Received(id, make([]byte, 4<<10))
		assert.Assert(t, account.BeginTurn(id) == nil, "a short request waits")
		account.Changed(id, connections.Handled)
		account.beginBody(id, "customer-1", time.Second)
		account.Received(id, make([]byte, 20<<10))
		channels[id] = account.BeginTurn(id)
	}
	granted := func(id connections.ID) bool {
		select {
		case <-channels[id]:
			return true
		default:
			return false
		}
	}
	for id := range turns + waiting {
		open(connections.ID(id + 1))
		assert.Equal(t, granted(connections.ID(id+1)), id < turns)
	}
	ends := []func(connections.ID){
		func(id connections.ID) { account.EndTurn(id) },
		func(id connections.ID) { account.endBody(id) },
		func(id connections.ID) { account.Closed(id) },
		func(id connections.ID) { account.beginDiscard(id) },
	}
	// One of those that wait leaves, and the others get their turn one after the other.
	left := connections.ID(turns + 2)
	account.Closed(left)
	for id := 1; id <= turns+waiting; id++ {
		if connections.ID(id) == left {
			continue
		}
		assert.Assert(t, granted(connections.ID(id)), "connection %d has no turn", id)
		ends[id%len(ends)](connections.ID(id))
	}
	assert.Equal(t, len(account.granted), 0)
	open(1000)
	assert.Assert(t, granted(1000))
}

// Guards against a body in small chunks whose beginning arrives with the head and counts as
// lines of it, so that whole requests of other callers find no room.
func TestChunksBehindAHeadAreNoLinesOfIt(t *testing.T) {
	account := newCallerAccount(64<<20, 800)
	account.set = connections.NewObserved(account)
	assert.Assert(t, account.Opened(1, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}))
	before := account.usage().ConnectionBytes
	head := "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	assert.Assert(t, account.Received(1, []byte(head+strings.Repeat("1\r\nx\r\n", 600))))
	added := account.usage().ConnectionBytes - before
	assert.Assert(t, added <= 16<<10, "%d bytes", added)
}
