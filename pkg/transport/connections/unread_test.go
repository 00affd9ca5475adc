package connections_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
)

// Guards against a connection that is closed as idle although the kernel has received a
// request on it that the server has not read yet.
func TestConnectionWithAnUnreadRequestIsNotIdle(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	set := connections.New()
	tracked := set.Listen(listener)
	const clients = 20
	var accepted []net.Conn
	for i := range clients {
		client, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = client.Close() }()
		conn, err := tracked.Accept()
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		accepted = append(accepted, conn)
		_, err = fmt.Fprintf(client, "request %02d", i)
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	assert.Equal(t, set.Drain(ctx), clients)
	for i, conn := range accepted {
		request := make([]byte, len("request 00"))
		_, err := io.ReadFull(conn, request)
		assert.NilError(t, err)
		assert.Equal(t, string(request), fmt.Sprintf("request %02d", i))
	}
}

// Guards against a connection that is reset because its listener is closed before the server
// has accepted it, with the request that the kernel has received on it.
func TestClosedListenerResetsNoEstablishedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	set := connections.New()
	tracked := set.Listen(listener)
	const clients = 20
	for i := range clients {
		client, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = client.Close() }()
		_, err = fmt.Fprintf(client, "request %02d", i)
		assert.NilError(t, err)
	}
	closed := make(chan error, 1)
	go func() { closed <- connections.CloseListener(listener) }()
	// The server gets processor time later than the close.
	time.Sleep(50 * time.Millisecond)
	for i := range clients {
		conn, err := tracked.Accept()
		assert.NilError(t, err, "connection %d", i)
		defer func() { _ = conn.Close() }()
		request := make([]byte, len("request 00"))
		_, err = io.ReadFull(conn, request)
		assert.NilError(t, err)
	}
	assert.NilError(t, <-closed)
	_, err = tracked.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
}
