package connections_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
)

// server is an HTTP server with tracked connections, whose answers wait for
// release.
type server struct {
	connections *connections.Set
	listener    net.Listener
	release     chan struct{}
}

func startServer(t *testing.T) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{connections: connections.New(), listener: listener, release: make(chan struct{})}
	httpServer := &http.Server{ConnState: s.connections.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-s.release
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "answer")
	})}
	go func() { _ = httpServer.Serve(s.connections.Listen(listener)) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return s
}

func (s *server) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	connection, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection, bufio.NewReader(connection)
}

const head = "GET / HTTP/1.1\r\nHost: x\r\n"

// Guards against a request whose head is half read when the shutdown begins and
// that is then dropped without an answer, and against idle connections that keep
// the shutdown waiting.
func TestDrainAnswersTheRequestThatIsBeingRead(t *testing.T) {
	s := startServer(t)
	close(s.release)
	half, reader := s.dial(t)
	_, idleReader := s.dial(t)
	_, err := io.WriteString(half, head)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, s.listener.Close())
	open := make(chan int, 1)
	go func() { open <- s.connections.Drain(context.Background()) }()
	_, err = idleReader.ReadByte()
	assert.Assert(t, err != nil, "the idle connection is open")
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(half, "\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "answer")
	assert.Equal(t, <-open, 0)
}

// Guards against a shutdown that ends before the open requests, or never.
func TestDrainWaitsForOpenRequestsUntilItsEnd(t *testing.T) {
	s := startServer(t)
	connection, _ := s.dial(t)
	_, err := io.WriteString(connection, head+"\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, s.listener.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.Equal(t, s.connections.Drain(ctx), 1)
	close(s.release)
	assert.Equal(t, s.connections.Drain(context.Background()), 0)
}

// Guards against a pipelined request that is cut in its handler: the server reads it
// with the one before, and its connection counts as idle.
func TestDrainAnswersAPipelinedRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	set := connections.New()
	began := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			began <- struct{}{}
			time.Sleep(400 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	httpServer := &http.Server{Handler: set.Handler(handler), ConnState: set.ConnState, ConnContext: set.ConnContext}
	go func() { _ = httpServer.Serve(set.Listen(listener)) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = io.WriteString(connection, "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-began
	assert.NilError(t, listener.Close())
	go set.Drain(context.Background())
	reader := bufio.NewReader(connection)
	for _, want := range []string{"/first", "/second"} {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, want)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), want)
	}
}
