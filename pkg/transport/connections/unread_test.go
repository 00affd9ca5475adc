package connections_test

import (
	"context"
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
