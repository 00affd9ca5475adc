// Package early is a stand-in of a server that responds to a request, without a length,
// before it has read the body. Tests of the clients of endpoints use it.
package early

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Ending is what a server does with a connection behind its response.
type Ending struct {
	Name string
	// Whole is set if the response is complete then.
	Whole bool
	end   func(conn *net.TCPConn, body io.Reader) error
}

const (
	// pause is the time before a reset or before the body is read. The buffers of the
	// connection are full by then.
	pause = 100 * time.Millisecond
	// holdTime is how long a server that reads nothing keeps the connection.
	holdTime = 3 * time.Second
)

// The ways in which a connection ends while its request may still be written.
var (
	Reset = Ending{Name: "reset", end: func(conn *net.TCPConn, _ io.Reader) error {
		time.Sleep(pause)
		return conn.SetLinger(0)
	}}
	HalfClosedThenReset = Ending{Name: "half closed, then reset", end: func(conn *net.TCPConn, _ io.Reader) error {
		err := conn.CloseWrite()
		time.Sleep(pause)
		return errors.Join(err, conn.SetLinger(0))
	}}
	ReadLater = Ending{Name: "half closed, read later", Whole: true, end: func(conn *net.TCPConn, body io.Reader) error {
		err := conn.CloseWrite()
		time.Sleep(pause)
		_, copyErr := io.Copy(io.Discard, body)
		return errors.Join(err, copyErr)
	}}
	NeverRead = Ending{Name: "half closed, never read", Whole: true, end: func(conn *net.TCPConn, _ io.Reader) error {
		err := conn.CloseWrite()
		time.Sleep(holdTime)
		return err
	}}

	Endings = []Ending{Reset, HalfClosedThenReset, ReadLater, NeverRead}
)

// Start starts a server on a loopback port, which serves one request on each connection
// until the test ends, and returns its address. respond returns the response to a request,
// with its head.
func Start(t testing.TB, ending Ending, respond func(*http.Request) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// A connection that breaks is what the tests are about.
			go func() { _ = serve(conn.(*net.TCPConn), ending, respond) }()
		}
	}()
	return listener.Addr().String()
}

func serve(conn *net.TCPConn, ending Ending, respond func(*http.Request) string) error {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if _, err := io.WriteString(conn, respond(request)); err != nil {
		return err
	}
	return ending.end(conn, request.Body)
}
