package endpoints_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/early"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/endpoints"
)

// endpoint is a server whose connections a test serves byte by byte.
type endpoint struct {
	listener net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

// newEndpoint starts a server that calls serve for each request that it has read;
// the connection ends when serve returns an error.
func newEndpoint(t *testing.T, serve func(c net.Conn, r *http.Request) error) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					e.requests.Add(1)
					if serve(conn, request) != nil {
						return
					}
				}
			}()
		}
	}()
	return e
}

func (e *endpoint) request(method, body string) *http.Request {
	return requestTo(e.listener.Addr().String(), "/x", method, body)
}

func requestTo(address, path, method, body string) *http.Request {
	request := &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: address, Path: path}, Host: "svc.example", Header: http.Header{},
	}
	if body != "" {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	return request
}

func newClient() *endpoints.Client {
	config := endpoints.DefaultConfig("127.0.0.1")
	config.IdleTimeout = 200 * time.Millisecond
	return endpoints.NewClient(config)
}

// exchange sends a request and returns the status and the body of its response.
func exchange(c *endpoints.Client, request *http.Request) (int, string, error) {
	response, err := c.Do(request, "")
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// answer reads the body of a request and answers with raw bytes.
func answer(raw string) func(net.Conn, *http.Request) error {
	return func(c net.Conn, r *http.Request) error {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		_, err := io.WriteString(c, raw)
		return err
	}
}

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

// Guards against a connection for each request where a kept one would do, and
// against one that is kept although it can't carry another request.
func TestConnectionsAreKeptOnlyAfterCompleteExchanges(t *testing.T) {
	for name, c := range map[string]struct {
		raw         string
		method      string
		body        string
		connections int64
	}{
		"a length":               {raw: sound, body: "body", connections: 1},
		"chunks":                 {raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", connections: 1},
		"no body":                {raw: "HTTP/1.1 204 No Content\r\n\r\n", connections: 1},
		"to a HEAD request":      {raw: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", method: "HEAD", connections: 1},
		"behind interim answers": {raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + sound, connections: 1},
		"a long request":         {raw: sound, body: strings.Repeat("x", 1<<20), connections: 1},
		"the wish to close":      {raw: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", connections: 5},
		"HTTP/1.0":               {raw: "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", connections: 5},
		"more bytes behind":      {raw: sound + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", connections: 5},
		"another protocol":       {raw: "HTTP/1.1 101 Switching Protocols\r\n\r\n", connections: 5},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, answer(c.raw))
			client := newClient()
			for range 5 {
				method := c.method
				if method == "" {
					method = http.MethodPost
				}
				request := e.request(method, c.body)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				response, err := client.Do(request.WithContext(ctx), "")
				assert.NilError(t, err)
				if response.StatusCode != http.StatusSwitchingProtocols {
					_, err = io.Copy(io.Discard, response.Body)
					assert.NilError(t, err)
				}
				assert.NilError(t, response.Body.Close())
				cancel()
			}
			assert.Equal(t, e.accepted.Load(), c.connections)
		})
	}
}

// Guards against a new connection after each rejection whose short body nobody
// reads, and against a wait for a body that has not arrived.
func TestUnreadBodyThatHasArrivedKeepsItsConnection(t *testing.T) {
	const head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 4\r\n\r\n"
	for name, c := range map[string]struct {
		raw         string
		connections int64
	}{
		"whole":             {raw: head + "body", connections: 1},
		"not arrived":       {raw: head + "bo", connections: 5},
		"more bytes behind": {raw: head + "body" + sound, connections: 5},
		"the wish to close": {raw: "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", connections: 5},
		"no length":         {raw: "HTTP/1.1 421 Misdirected Request\r\n\r\nbody", connections: 5},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, answer(c.raw))
			client := newClient()
			for range 5 {
				began := time.Now()
				response, err := client.Do(e.request(http.MethodPost, "body"), "")
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusMisdirectedRequest)
				assert.NilError(t, response.Body.Close())
				assert.Assert(t, time.Since(began) < time.Second)
			}
			assert.Equal(t, e.accepted.Load(), c.connections)
		})
	}
}

// Guards against a request that is written twice when its kept connection ends, and
// against an error that takes it for never sent.
func TestRequestIsWrittenOnceWhenItsConnectionEnds(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "DELETE"} {
		for _, body := range []string{"", "body", strings.Repeat("x", 1<<20)} {
			t.Run(fmt.Sprintf("%s with %d bytes", method, len(body)), func(t *testing.T) {
				first := true
				e := newEndpoint(t, func(c net.Conn, r *http.Request) error {
					if first {
						first = false
						return answer(sound)(c, r)
					}
					_, _ = io.Copy(io.Discard, r.Body)
					return errors.Join(c.(*net.TCPConn).SetLinger(0), io.EOF)
				})
				client := newClient()
				_, _, err := exchange(client, e.request(http.MethodPost, "x"))
				assert.NilError(t, err)
				request := e.request(method, body)
				request.Header.Set("Idempotency-Key", "order-1")
				_, _, err = exchange(client, request)
				assert.Assert(t, err != nil)
				assert.Assert(t, !endpoints.NeverSent(err), "%v", err)
				assert.Equal(t, e.requests.Load(), int64(2))
				assert.Equal(t, e.accepted.Load(), int64(1))
			})
		}
	}
}

// Guards against a request that is taken for run though nothing was sent: nobody
// listens, the caller left before, or the kept connection had ended.
func TestRequestThatWasNeverSent(t *testing.T) {
	e := newEndpoint(t, answer(sound))
	client := newClient()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := client.Do(e.request("GET", "").WithContext(ctx), "")
	assert.Assert(t, endpoints.NeverSent(err), "%v", err)
	assert.NilError(t, e.listener.Close())
	_, err = client.Do(e.request("GET", ""), "")
	assert.Assert(t, endpoints.NeverSent(err), "%v", err)
	assert.Equal(t, e.requests.Load(), int64(0))
}

// Guards against a request on a kept connection that the endpoint has closed, or on
// which bytes have arrived since: they belong to no request.
func TestConnectionThatIsNotQuietCarriesNoRequest(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn) error{
		"closed": func(net.Conn) error { return io.EOF },
		"reset":  func(c net.Conn) error { return errors.Join(c.(*net.TCPConn).SetLinger(0), io.EOF) },
		"a second answer": func(c net.Conn) error {
			time.Sleep(20 * time.Millisecond)
			_, err := io.WriteString(c, sound)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(c net.Conn, r *http.Request) error {
				if err := answer(sound)(c, r); err != nil {
					return err
				}
				return disturb(c)
			})
			client := newClient()
			for range 3 {
				status, body, err := exchange(client, e.request("POST", "x"))
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, body, "body")
				time.Sleep(60 * time.Millisecond)
			}
			assert.Equal(t, e.accepted.Load(), int64(3))
		})
	}
}

// Guards against an endpoint that answers before it has read a long request and then
// waits for the rest: the answer must arrive, and nothing else may be written where
// the rest of the request is due.
func TestAnswerBeforeTheRequestWasRead(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, _ *http.Request) error {
		if _, err := io.WriteString(c, sound); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
		return io.EOF
	})
	client := newClient()
	for range 2 {
		status, body, err := exchange(client, e.request("POST", strings.Repeat("x", 32<<20)))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "body")
	}
	assert.Equal(t, e.accepted.Load(), int64(2))
}

// Guards against a caller that waits on although its time is over, in each part of
// an exchange, and against a connection that is used again after that.
func TestContextEndsAnExchange(t *testing.T) {
	for name, raw := range map[string]string{
		"before the answer": "",
		"inside the head":   "HTTP/1.1 200 OK\r\nContent-",
		"inside the body":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, answer(raw))
			client := newClient()
			for range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				began := time.Now()
				_, _, err := exchange(client, e.request("POST", "x").WithContext(ctx))
				assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
				assert.Assert(t, !endpoints.NeverSent(err))
				assert.Assert(t, time.Since(began) < time.Second)
				cancel()
			}
			assert.Equal(t, e.accepted.Load(), int64(2))
		})
	}
}

// Guards against an answer that looks complete although its connection was reset,
// and against an endless head.
func TestBrokenAnswersFail(t *testing.T) {
	for name, serve := range map[string]func(net.Conn, *http.Request) error{
		"a reset instead of the end": func(c net.Conn, r *http.Request) error {
			err := answer("HTTP/1.1 200 OK\r\n\r\npart")(c, r)
			time.Sleep(50 * time.Millisecond)
			return errors.Join(err, c.(*net.TCPConn).SetLinger(0), io.EOF)
		},
		"a missing chunk": func(c net.Conn, r *http.Request) error {
			return errors.Join(answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")(c, r), io.EOF)
		},
		"an endless head":         answer("HTTP/1.1 200 OK\r\n" + strings.Repeat("Name: value\r\n", 1<<16)),
		"an endless status line":  answer("HTTP/1.1 200 " + strings.Repeat("OK", 1<<18)),
		"endless interim answers": answer(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)),
		"no answer":               answer("these bytes are no answer\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, serve)
			_, _, err := exchange(newClient(), e.request("POST", "x"))
			assert.Assert(t, err != nil)
			assert.Assert(t, !endpoints.NeverSent(err))
		})
	}
}

// Guards against connections that stay open without an end once they are idle, and
// against more of them to one address than allowed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	var open atomic.Int64
	release := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request) error {
		open.Add(1)
		<-release
		if err := answer(sound)(c, r); err != nil {
			return err
		}
		_, _ = c.Read(make([]byte, 1))
		open.Add(-1)
		return io.EOF
	})
	config := endpoints.DefaultConfig("127.0.0.1")
	config.IdleTimeout, config.MaxIdlePerAddress = 400*time.Millisecond, 3
	client := endpoints.NewClient(config)
	done := make(chan error, 8)
	for range cap(done) {
		go func() {
			_, _, err := exchange(client, e.request("POST", "x"))
			done <- err
		}()
	}
	for open.Load() < int64(cap(done)) {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for range cap(done) {
		assert.NilError(t, <-done)
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, open.Load(), int64(3))
	time.Sleep(700 * time.Millisecond)
	assert.Equal(t, open.Load(), int64(0))
}

// Guards against a connection that carries a further request after a response that
// belonged to another one.
func TestDiscardedResponseEndsItsConnection(t *testing.T) {
	for name, raw := range map[string]string{"empty": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "with a body": sound} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, answer(raw))
			client := newClient()
			for range 3 {
				response, err := client.Do(e.request("POST", "x"), "")
				assert.NilError(t, err)
				response.Discard()
				assert.NilError(t, response.Body.Close())
			}
			assert.Equal(t, e.accepted.Load(), int64(3))
		})
	}
}

// Guards against a late second copy of a response that is taken for the response to a
// request that is sent again with the same ID: the two must use two connections.
func TestRequestsWithTheSameIDUseTwoConnections(t *testing.T) {
	var carried sync.Map
	e := newEndpoint(t, func(c net.Conn, r *http.Request) error {
		id := r.Header.Get("Name")
		if _, twice := carried.LoadOrStore(c.RemoteAddr().String()+" "+id, true); twice {
			t.Errorf("a connection carried %s twice", id)
		}
		return answer(sound)(c, r)
	})
	client := newClient()
	send := func(id string) {
		request := e.request("POST", "x")
		request.Header.Set("Name", id)
		response, err := client.Do(request, id)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	for range 3 {
		for _, id := range []string{"a", "b", "c"} {
			send(id)
		}
	}
	assert.Equal(t, e.accepted.Load(), int64(3))
	// No more than a bounded number of IDs is remembered.
	for i := range 600 {
		send(fmt.Sprint(i))
	}
	assert.Assert(t, e.accepted.Load() <= 8, "%d connections", e.accepted.Load())
	send("a")
}

// Load: requests of 32 MB and of 200 kB, which the kernel takes at once, that their endpoint
// answers, without a length, before it has read them. Guards against a response that looks
// whole although its connection was reset, and against a whole one that fails since the
// write of the request goes on.
func TestEndOfAResponseWhileTheRequestIsWritten(t *testing.T) {
	for _, ending := range early.Endings {
		for _, bodyBytes := range []int{200_000, 32 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", ending.Name, bodyBytes), func(t *testing.T) { exchangeEarly(t, ending, strings.Repeat("x", bodyBytes)) })
		}
	}
}

// Guards against the same beside requests that have arrived whole.
func TestEndOfAResponseToAShortRequest(t *testing.T) {
	for _, ending := range []early.Ending{early.Reset, early.ReadLater} {
		for _, bodyBytes := range []int{0, 100} {
			t.Run(fmt.Sprintf("%s, %d bytes", ending.Name, bodyBytes), func(t *testing.T) { exchangeEarly(t, ending, strings.Repeat("x", bodyBytes)) })
		}
	}
}

// exchangeEarly sends requests to an endpoint whose responses state no length.
func exchangeEarly(t *testing.T, ending early.Ending, body string) {
	responses := []string{"HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.0 200 OK\r\n\r\nbody", "HTTP/1.1 200 OK\r\n\r\n"}
	address := early.Start(t, ending, func(r *http.Request) string { return responses[r.URL.Path[1]-'0'] })
	client := newClient()
	var senders sync.WaitGroup
	for i := range 9 {
		senders.Go(func() {
			began, choice := time.Now(), i%len(responses)
			status, got, err := exchange(client, requestTo(address, fmt.Sprintf("/%d", choice), http.MethodPost, body))
			if ending.Whole {
				assert.Check(t, err)
				assert.Check(t, status == http.StatusOK && strings.HasSuffix(responses[choice], "\r\n\r\n"+got), "status %d, body %q", status, got)
			} else {
				assert.Check(t, err != nil, "response %d", choice)
				assert.Check(t, !endpoints.NeverSent(err))
			}
			assert.Check(t, time.Since(began) < 2500*time.Millisecond, "%v", time.Since(began))
		})
	}
	senders.Wait()
}

// Guards against a caller that waits on behind a response whose request is still unread.
func TestContextEndsTheWaitAtTheEndOfAResponse(t *testing.T) {
	for _, bodyBytes := range []int{200_000, 32 << 20} {
		t.Run(fmt.Sprintf("%d bytes", bodyBytes), func(t *testing.T) {
			address := early.Start(t, early.NeverRead, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nbody" })
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			began := time.Now()
			_, _, err := exchange(newClient(), requestTo(address, "/x", http.MethodPost, strings.Repeat("x", bodyBytes)).WithContext(ctx))
			assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
			assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%v", time.Since(began))
		})
	}
}

// Guards against a connection that is used again behind a malformed head, and against one
// that the head keeps open.
func TestMalformedHeadEndsItsConnection(t *testing.T) {
	for _, line := range []string{"Some Name: value", "Content-Length : 4", " Some-Name: value", "Some\x01Name: value", "no colon"} {
		for _, status := range []string{"100 Continue", "200 OK", "503 Service Unavailable"} {
			t.Run(status+" "+line, func(t *testing.T) {
				e := newEndpoint(t, answer("HTTP/1.1 "+status+"\r\nServer: test\r\n"+line+"\r\nContent-Length: 4\r\n\r\nbody"))
				client := newClient()
				for range 3 {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					_, _, err := exchange(client, e.request("POST", "x").WithContext(ctx))
					assert.Assert(t, err != nil)
					assert.Assert(t, ctx.Err() == nil && !endpoints.NeverSent(err), "%v", err)
					cancel()
				}
				assert.Equal(t, e.accepted.Load(), int64(3))
			})
		}
	}
}

// Load: 8 MB to an endpoint that reads nothing for 2.5 s. Guards against a connection
// that is closed because its endpoint is slow to read: the host acknowledges each probe of
// the kernel, so that it is no silent host, and the request may already run.
func TestEndpointThatIsSlowToReadKeepsItsConnection(t *testing.T) {
	const bodyBytes = 8 << 20
	e := newEndpoint(t, func(c net.Conn, r *http.Request) error {
		time.Sleep(2500 * time.Millisecond)
		count, err := io.Copy(io.Discard, r.Body)
		if err != nil || count != bodyBytes {
			return fmt.Errorf("%d bytes: %w", count, err)
		}
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err
	})
	client := endpoints.NewClient(endpoints.DefaultConfig("127.0.0.1"))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.listener.Addr().String()+"/", strings.NewReader(strings.Repeat("x", bodyBytes)))
	assert.NilError(t, err)
	response, err := client.Do(request, "slow")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, response.Body.Close())
}
