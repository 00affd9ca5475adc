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

var testModel = ids.AdapterRef{Adapter: "poet", Version: 3}

// startTCPServer starts a server that passes each request to handle with the
// number of its connection, counted from 1. handle writes the response and
// reports whether the connection stays open.
func startTCPServer(t *testing.T, handle func(conn net.Conn, number int64, request *http.Request) bool) Endpoint {
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
					if !handle(conn, number, request) {
						return
					}
				}
			})
		}
	})
	return Endpoint{ID: "raw", Address: listener.Addr().String()}
}

func writeOK(conn net.Conn) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func newTestClient(t *testing.T) *Client {
	config := DefaultConfig
	config.FirstByteTimeout = 200 * time.Millisecond
	config.ReadTimeout = 200 * time.Millisecond
	client := New(config)
	t.Cleanup(client.Close)
	return client
}

func forward(client *Client, endpoint Endpoint, request ServiceRequest) *Failure {
	response, failure := client.Forward(context.Background(), endpoint, request)
	if failure == nil {
		response.Close()
	}
	return failure
}

// Guards against requests that net/http resends by itself. A reused connection
// breaks after a payment was sent; the payment must not be sent again.
func TestRequestIsNotReplayedOnNewConnection(t *testing.T) {
	for _, rules := range []safetyRules{{singleUseConnections: true, sendOnce: true}, {singleUseConnections: true}, {sendOnce: true}, {}} {
		t.Run(fmt.Sprintf("fresh=%v,once=%v", rules.singleUseConnections, rules.sendOnce), func(t *testing.T) {
			var payments atomic.Int64
			endpoint := startTCPServer(t, func(conn net.Conn, _ int64, request *http.Request) bool {
				if request.URL.Path != "/pay" {
					return writeOK(conn)
				}
				return payments.Add(1) > 1 && writeOK(conn)
			})
			client := newTestClient(t)
			client.rules.singleUseConnections = rules.singleUseConnections
			client.rules.sendOnce = rules.sendOnce
			failure := forward(client, endpoint, ServiceRequest{Method: http.MethodGet, Target: "/warm", Repeatable: true})
			assert.Assert(t, failure == nil, "%v", failure)
			time.Sleep(50 * time.Millisecond) // A goroutine returns the connection to the pool.
			failure = forward(client, endpoint, ServiceRequest{
				Method: http.MethodPost,
				Target: "/pay",
				Header: http.Header{"Idempotency-Key": {"k"}},
			})
			if !rules.singleUseConnections && !rules.sendOnce {
				assert.Equal(t, payments.Load(), int64(2), "the violation that the rules prevent")
				return
			}
			assert.Equal(t, payments.Load(), int64(1))
			assert.Assert(t, failure.MaybeSent, "%v", failure)
		})
	}
}

// Guards against a retry on a second idle connection that became unresponsive
// together with the first one. The retry must use a new connection.
func TestIdleConnectionsAreClosedAfterReadTimeout(t *testing.T) {
	for _, closesPool := range []bool{true, false} {
		t.Run(fmt.Sprintf("rule=%v", closesPool), func(t *testing.T) {
			var silent atomic.Bool
			var warm sync.WaitGroup
			warm.Add(2)
			endpoint := startTCPServer(t, func(conn net.Conn, number int64, _ *http.Request) bool {
				if silent.Load() && number <= 2 {
					return true
				}
				if number <= 2 {
					warm.Done()
					warm.Wait()
				}
				return writeOK(conn)
			})
			client := newTestClient(t)
			client.rules.closePoolOnTimeout = closesPool
			call := ServiceRequest{Method: http.MethodGet, Target: "/", Repeatable: true}
			var both sync.WaitGroup
			for range 2 {
				both.Go(func() { assert.Check(t, forward(client, endpoint, call) == nil) })
			}
			both.Wait()
			time.Sleep(50 * time.Millisecond)
			silent.Store(true)

			failure := forward(client, endpoint, call)
			assert.Assert(t, failure != nil)
			assert.Equal(t, failure.Cause, CauseReadTimeout)
			again := forward(client, endpoint, call)
			assert.Equal(t, again == nil, closesPool, "%v", again)
		})
	}
}

// completionEvent returns one server-sent event of a completion. finish is the
// JSON of the finish reason; usage is empty or a further JSON field.
func completionEvent(id, model, text, finish, usage string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"model\":%q,\"choices\":[{\"text\":%q,\"finish_reason\":%s}]%s}\n\n", id, model, text, finish, usage)
}

// streamServer starts a server that responds to each request with the given
// events and then closes the connection.
func streamServer(t *testing.T, events ...string) Endpoint {
	return startTCPServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		for _, event := range events {
			_, _ = io.WriteString(conn, event)
		}
		return false
	})
}

func completeRequest(client *Client, endpoint Endpoint) (CompletionResult, *Failure) {
	return client.Complete(context.Background(), endpoint, CompletionRequest{AttemptID: "r1", Model: testModel, Prompt: "p", MaxTokens: 2}, func(string, uint32) error { return nil })
}

const (
	usageField     = `,"usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}`
	doneEvent      = "data: [DONE]\n\n"
	noFinishReason = "null"
	finishLength   = `"length"`
)

// Guards against a stream that ends too early and is taken for a complete
// response.
func TestIncompleteStreamIsReported(t *testing.T) {
	whole := []string{completionEvent("cmpl-r1", "poet@3", "a", noFinishReason, ""), completionEvent("cmpl-r1", "poet@3", "b", finishLength, usageField), doneEvent}
	client := newTestClient(t)
	answer, failure := completeRequest(client, streamServer(t, whole...))
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, answer.Text, "ab")
	assert.Equal(t, answer.Usage.CompletionTokens, uint32(2))
	for length := range len(whole) {
		_, failure := completeRequest(client, streamServer(t, whole[:length]...))
		assert.Assert(t, failure != nil && failure.Cause == CauseConnectionLost, "%d events: %v", length, failure)
	}
	client.rules.requireCompleteStreams = false
	_, failure = completeRequest(client, streamServer(t, whole[:1]...))
	assert.Assert(t, failure == nil, "the violation that the rule prevents")
}

// Guards against callers receiving the response of another adapter version or
// of an earlier attempt.
func TestMismatchedResponsesAreRejected(t *testing.T) {
	for _, mismatched := range []string{
		completionEvent("cmpl-r1", "poet@2", "a", finishLength, usageField),
		completionEvent("cmpl-r0", "poet@3", "a", finishLength, usageField),
	} {
		client := newTestClient(t)
		_, failure := completeRequest(client, streamServer(t, mismatched, doneEvent))
		assert.Assert(t, failure != nil && failure.Cause == CauseResponseMismatch, "%v", failure)
		client.rules.matchResponses = false
		_, failure = completeRequest(client, streamServer(t, mismatched, doneEvent))
		assert.Assert(t, failure == nil, "the violation that the rule prevents")
	}
}

// Guards against an invalid status that is passed on as an answer, which panics below
// 100, or that is taken for an engine's decision on a completion, an order or a report.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 None", "099 Low", "101 Switching Protocols", "600 High", "999 Highest"} {
		t.Run(status, func(t *testing.T) {
			endpoint := startTCPServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}")
				return err == nil
			})
			client := newTestClient(t)
			_, completed := completeRequest(client, endpoint)
			_, reported := client.FetchLoadReport(context.Background(), endpoint)
			for step, failure := range map[string]*Failure{
				"service":    forward(client, endpoint, ServiceRequest{Method: http.MethodPost, Target: "/"}),
				"completion": completed,
				"report":     reported,
				"order":      client.LoadAdapter(context.Background(), endpoint, 7, testModel, "s", func() error { return nil }),
			} {
				assert.Assert(t, failure != nil, step)
				assert.Check(t, failure.Cause == CauseConnectionLost && failure.Status == 0 && failure.MaybeSent, "%s: %v", step, failure)
			}
		})
	}
}

// Guards against a response that is used although a field name in its head is malformed:
// the field may be the one that says where the body ends.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	for _, field := range []string{"Some Name: value", "Content-Length : 2", "Transfer-Encoding : chunked", " Some-Name: value", "Some\x01Name: value"} {
		t.Run(field, func(t *testing.T) {
			endpoint := startTCPServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nServer: test\r\n"+field+"\r\n\r\n{}")
				return false
			})
			client := newTestClient(t)
			_, completed := completeRequest(client, endpoint)
			_, reported := client.FetchLoadReport(context.Background(), endpoint)
			for step, failure := range map[string]*Failure{
				"service":    forward(client, endpoint, ServiceRequest{Method: http.MethodPost, Target: "/"}),
				"repeatable": forward(client, endpoint, ServiceRequest{Method: http.MethodGet, Target: "/", Repeatable: true}),
				"completion": completed,
				"report":     reported,
				"order":      client.LoadAdapter(context.Background(), endpoint, 7, testModel, "s", func() error { return nil }),
			} {
				assert.Assert(t, failure != nil, step)
				assert.Check(t, failure.Cause == CauseConnectionLost && failure.MaybeSent, "%s: %v", step, failure)
			}
		})
	}
}

// Guards against sending a request that the check right before sending
// rejected, for example because the key was withdrawn while the connection was
// being opened.
func TestPreSendCheckBlocksRequest(t *testing.T) {
	var requests atomic.Int64
	endpoint := startTCPServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
		requests.Add(1)
		return writeOK(conn)
	})
	client := newTestClient(t)
	errAuthorityEnded := errors.New("authority ended")
	check := func() error { return errAuthorityEnded }
	failure := client.LoadAdapter(context.Background(), endpoint, 7, testModel, "s", check)
	assert.Equal(t, failure.Cause, CausePreSendCheck)
	assert.ErrorIs(t, failure, errAuthorityEnded)
	assert.Assert(t, !failure.MaybeSent)
	failure = forward(client, endpoint, ServiceRequest{Method: http.MethodGet, Target: "/", PreSendCheck: check})
	assert.Equal(t, failure.Cause, CausePreSendCheck)
	assert.Equal(t, requests.Load(), int64(0))
}

// Guards against reporting a connection that the kernel refused as a request
// with an unknown outcome.
func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	failure := forward(newTestClient(t), Endpoint{ID: "gone", Address: address}, ServiceRequest{Method: http.MethodPost, Target: "/", Body: []byte("x")})
	assert.Equal(t, failure.Cause, CauseConnect)
	assert.Assert(t, !failure.MaybeSent)
}
