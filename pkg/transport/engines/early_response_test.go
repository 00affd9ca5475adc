package engines

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/early"
)

// Load: requests of 32 MB that their service answers, without a length, before it has read
// them. Guards against a response that looks whole although its connection was reset, and
// against a whole one that fails since the write of the request goes on.
func TestEndOfAResponseWhileTheRequestIsWritten(t *testing.T) {
	body := make([]byte, 32<<20)
	for _, ending := range early.Endings {
		t.Run(ending.Name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go early.Serve(listener, ending, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nbody" })
			client := New(DefaultConfig)
			t.Cleanup(client.Close)
			var calls sync.WaitGroup
			for i := range 16 {
				calls.Go(func() {
					began := time.Now()
					response, failure := client.Forward(context.Background(), Endpoint{ID: "early", Address: listener.Addr().String()}, ServiceRequest{
						Method: http.MethodPost, Target: "/", Body: body, Repeatable: i%2 == 0,
					})
					if ending.Whole {
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
		})
	}
}
