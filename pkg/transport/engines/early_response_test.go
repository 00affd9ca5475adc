package engines

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEarlyServer starts a server that responds to each request, without a length, before
// it has read the body. end then gets the connection and the unread body.
func startEarlyServer(t *testing.T, end func(conn *net.TCPConn, body io.Reader) error) Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var open sync.WaitGroup
	t.Cleanup(func() { _ = listener.Close(); open.Wait() })
	serve := func(conn *net.TCPConn) error {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return err
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody"); err != nil {
			return err
		}
		return end(conn, request.Body)
	}
	open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Go(func() { _ = serve(conn.(*net.TCPConn)) })
		}
	})
	return Endpoint{ID: "early", Address: listener.Addr().String()}
}

// Load: requests of 32 MB that their service answers, without a length, before it has read
// them. Guards against a response that looks whole although its connection was reset, and
// against a whole one that fails since the write of the request goes on.
func TestEndOfAResponseWhileTheRequestIsWritten(t *testing.T) {
	const pause = 50 * time.Millisecond
	for name, test := range map[string]struct {
		whole bool
		end   func(conn *net.TCPConn, body io.Reader) error
	}{
		"reset": {false, func(conn *net.TCPConn, _ io.Reader) error {
			time.Sleep(pause)
			return conn.SetLinger(0)
		}},
		"half closed, then reset": {false, func(conn *net.TCPConn, _ io.Reader) error {
			err := conn.CloseWrite()
			time.Sleep(pause)
			return errors.Join(err, conn.SetLinger(0))
		}},
		"half closed, read later": {true, func(conn *net.TCPConn, body io.Reader) error {
			err := conn.CloseWrite()
			time.Sleep(pause)
			_, copyErr := io.Copy(io.Discard, body)
			return errors.Join(err, copyErr)
		}},
		"half closed, never read": {true, func(conn *net.TCPConn, _ io.Reader) error {
			err := conn.CloseWrite()
			time.Sleep(3 * time.Second)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEarlyServer(t, test.end)
			client := New(DefaultConfig)
			t.Cleanup(client.Close)
			body := make([]byte, 32<<20)
			for _, repeatable := range []bool{false, true} {
				var calls sync.WaitGroup
				for range 8 {
					calls.Go(func() {
						began := time.Now()
						response, failure := client.Forward(context.Background(), endpoint, ServiceRequest{Method: http.MethodPost, Target: "/", Body: body, Repeatable: repeatable})
						if test.whole {
							assert.Check(t, failure == nil, "%v", failure)
						} else {
							assert.Check(t, failure != nil && failure.Cause == CauseConnectionLost && failure.MaybeSent, "%v", failure)
						}
						if response != nil {
							assert.Check(t, response.BodyComplete && string(response.BodyStart) == "body")
							response.Close()
						}
						assert.Check(t, time.Since(began) < 2500*time.Millisecond, "%v", time.Since(began))
					})
				}
				calls.Wait()
			}
		})
	}
}
