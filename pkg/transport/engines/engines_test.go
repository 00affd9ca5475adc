package engines

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

var model = ids.AdapterRef{Adapter: "poet", Version: 3}

// rawServer accepts connections and gives each request to serve, which tells
// whether the connection stays open.
func rawServer(t *testing.T, serve func(conn net.Conn, number int64, request *http.Request) bool) Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var connections atomic.Int64
	var open sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = listener.Close(); open.Wait() })
	open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := connections.Add(1)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			open.Go(func() {
				defer stop()
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if !serve(conn, number, request) {
						return
					}
				}
			})
		}
	})
	return Endpoint{ID: "raw", Address: listener.Addr().String()}
}

func answerOK(conn net.Conn) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func newTestClient(t *testing.T) *Client {
	config := DefaultConfig
	config.FirstByte = 200 * time.Millisecond
	config.Silence = 200 * time.Millisecond
	client := New(config)
	t.Cleanup(client.Close)
	return client
}

func forward(client *Client, endpoint Endpoint, call ServiceCall) *Failure {
	answer, failure := client.Forward(context.Background(), endpoint, call)
	if failure == nil {
		answer.Close()
	}
	return failure
}

// Guards against the hidden repeat of net/http: a kept connection dies after
// a payment was sent, and the payment must not be sent again.
func TestKilledConnectionIsNotReplayed(t *testing.T) {
	for _, on := range []rules{{freshConnections: true, sendOnce: true}, {freshConnections: true}, {sendOnce: true}, {}} {
		t.Run(fmt.Sprintf("fresh=%v,once=%v", on.freshConnections, on.sendOnce), func(t *testing.T) {
			var payments atomic.Int64
			endpoint := rawServer(t, func(conn net.Conn, _ int64, request *http.Request) bool {
				if request.URL.Path != "/pay" {
					return answerOK(conn)
				}
				return payments.Add(1) > 1 && answerOK(conn)
			})
			client := newTestClient(t)
			client.rules.freshConnections = on.freshConnections
			client.rules.sendOnce = on.sendOnce
			failure := forward(client, endpoint, ServiceCall{Method: http.MethodGet, Target: "/warm", Repeatable: true})
			assert.Assert(t, failure == nil, "%v", failure)
			time.Sleep(50 * time.Millisecond) // The connection is kept by a goroutine.
			failure = forward(client, endpoint, ServiceCall{
				Method: http.MethodPost,
				Target: "/pay",
				Header: http.Header{"Idempotency-Key": {"k"}},
			})
			if !on.freshConnections && !on.sendOnce {
				assert.Equal(t, payments.Load(), int64(2), "the violation that the rules prevent")
				return
			}
			assert.Equal(t, payments.Load(), int64(1))
			assert.Assert(t, failure.Sent, "%v", failure)
		})
	}
}

// Guards against using a second connection that went silent together with
// the first one: the retry must meet a new connection.
func TestSilentConnectionsAreNotUsedAgain(t *testing.T) {
	for _, on := range []bool{true, false} {
		t.Run(fmt.Sprintf("rule=%v", on), func(t *testing.T) {
			var silent atomic.Bool
			var warm sync.WaitGroup
			warm.Add(2)
			endpoint := rawServer(t, func(conn net.Conn, number int64, _ *http.Request) bool {
				if silent.Load() && number <= 2 {
					return true
				}
				if number <= 2 {
					warm.Done()
					warm.Wait()
				}
				return answerOK(conn)
			})
			client := newTestClient(t)
			client.rules.closeSilent = on
			call := ServiceCall{Method: http.MethodGet, Target: "/", Repeatable: true}
			var both sync.WaitGroup
			for range 2 {
				both.Go(func() { assert.Check(t, forward(client, endpoint, call) == nil) })
			}
			both.Wait()
			time.Sleep(50 * time.Millisecond)
			silent.Store(true)

			failure := forward(client, endpoint, call)
			assert.Assert(t, failure != nil)
			assert.Equal(t, failure.Cause, CauseSilent)
			again := forward(client, endpoint, call)
			assert.Equal(t, again == nil, on, "%v", again)
		})
	}
}

// event is one server-sent event of a completion.
func event(id, model, text, finish, usage string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"model\":%q,\"choices\":[{\"text\":%q,\"finish_reason\":%s}]%s}\n\n", id, model, text, finish, usage)
}

// streamServer answers each request with the given events.
func streamServer(t *testing.T, events ...string) Endpoint {
	return rawServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		for _, event := range events {
			_, _ = io.WriteString(conn, event)
		}
		return false
	})
}

func complete(client *Client, endpoint Endpoint) (Answer, *Failure) {
	return client.Complete(context.Background(), endpoint, Completion{Attempt: "r1", Model: model, Prompt: "p", MaxTokens: 2}, func(string, uint32) error { return nil })
}

const (
	usage = `,"usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}`
	done  = "data: [DONE]\n\n"
	null  = "null"
	stop  = `"length"`
)

// Guards against a cut stream passing for a whole answer.
func TestCutStreamIsReported(t *testing.T) {
	whole := []string{event("cmpl-r1", "poet@3", "a", null, ""), event("cmpl-r1", "poet@3", "b", stop, usage), done}
	client := newTestClient(t)
	answer, failure := complete(client, streamServer(t, whole...))
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, answer.Text, "ab")
	assert.Equal(t, answer.Usage.CompletionTokens, uint32(2))
	for length := range len(whole) {
		_, failure := complete(client, streamServer(t, whole[:length]...))
		assert.Assert(t, failure != nil && failure.Cause == CauseLost, "%d events: %v", length, failure)
	}
	client.rules.wholeStreams = false
	_, failure = complete(client, streamServer(t, whole[:1]...))
	assert.Assert(t, failure == nil, "the violation that the rule prevents")
}

// Guards against crossed answers reaching a caller: another adapter's or an
// earlier attempt's.
func TestCrossedAnswersAreRefused(t *testing.T) {
	for _, crossed := range []string{
		event("cmpl-r1", "poet@2", "a", stop, usage),
		event("cmpl-r0", "poet@3", "a", stop, usage),
	} {
		client := newTestClient(t)
		_, failure := complete(client, streamServer(t, crossed, done))
		assert.Assert(t, failure != nil && failure.Cause == CauseMismatch, "%v", failure)
		client.rules.matchAnswers = false
		_, failure = complete(client, streamServer(t, crossed, done))
		assert.Assert(t, failure == nil, "the violation that the rule prevents")
	}
}

// Guards against bytes that leave after the gate refused, such as after a key
// was withdrawn while the connection was made.
func TestGateKeepsRequestFromBeingSent(t *testing.T) {
	var requests atomic.Int64
	endpoint := rawServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		requests.Add(1)
		return answerOK(conn)
	})
	client := newTestClient(t)
	errClosed := errors.New("authority ended")
	gate := func() error { return errClosed }
	failure := client.Load(context.Background(), endpoint, 7, model, "s", gate)
	assert.Equal(t, failure.Cause, CauseGate)
	assert.ErrorIs(t, failure, errClosed)
	assert.Assert(t, !failure.Sent)
	failure = forward(client, endpoint, ServiceCall{Method: http.MethodGet, Target: "/", Gate: gate})
	assert.Equal(t, failure.Cause, CauseGate)
	assert.Equal(t, requests.Load(), int64(0))
}

// Guards against refusals by the kernel being reported as an unknown outcome.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	failure := forward(newTestClient(t), Endpoint{ID: "gone", Address: address}, ServiceCall{Method: http.MethodPost, Target: "/", Body: []byte("x")})
	assert.Equal(t, failure.Cause, CauseConnect)
	assert.Assert(t, !failure.Sent)
}
