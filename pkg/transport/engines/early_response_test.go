package engines

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/early"
)

// Load: requests of 32 MB and of 200 kB, which the kernel takes at once, that their service
// answers, without a length, before it has read them. Guards against a response that looks
// whole although its connection was reset, and against a whole one that fails since the
// write of the request goes on.
func TestEndOfAResponseWhileTheRequestIsWritten(t *testing.T) {
	for _, ending := range early.Endings {
		for _, bodyBytes := range []int{200_000, 32 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", ending.Name, bodyBytes), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				t.Cleanup(func() { _ = listener.Close() })
				go early.Serve(listener, ending, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nbody" })
				client := New(DefaultConfig)
				t.Cleanup(client.Close)
				body := make([]byte, bodyBytes)
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
}
