package engines

import (
	"context"
	"fmt"
	"net/http"
	"strings"
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
			t.Run(fmt.Sprintf("%s, %d bytes", ending.Name, bodyBytes), func(t *testing.T) { forwardEarly(t, ending, make([]byte, bodyBytes)) })
		}
	}
}

// Guards against the same beside requests that have arrived whole.
func TestEndOfAResponseToAShortRequest(t *testing.T) {
	for _, ending := range []early.Ending{early.Reset, early.ReadLater} {
		for _, bodyBytes := range []int{0, 100} {
			t.Run(fmt.Sprintf("%s, %d bytes", ending.Name, bodyBytes), func(t *testing.T) { forwardEarly(t, ending, make([]byte, bodyBytes)) })
		}
	}
}

// forwardEarly sends requests to a service whose responses state no length.
func forwardEarly(t *testing.T, ending early.Ending, body []byte) {
	responses := []string{"HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.0 200 OK\r\n\r\nbody", "HTTP/1.1 200 OK\r\n\r\n"}
	endpoint := Endpoint{ID: "early", Address: early.Start(t, ending, func(r *http.Request) string { return responses[r.URL.Path[1]-'0'] })}
	client := New(DefaultConfig)
	t.Cleanup(client.Close)
	var calls sync.WaitGroup
	for i := range 18 {
		calls.Go(func() {
			began, choice := time.Now(), i%len(responses)
			response, failure := client.Forward(context.Background(), endpoint, ServiceRequest{
				Method: http.MethodPost, Target: fmt.Sprintf("/%d", choice), Body: body, Repeatable: i%2 == 0,
			})
			if ending.Whole {
				assert.Check(t, failure == nil, "%v", failure)
			} else {
				assert.Check(t, failure != nil && failure.Cause == CauseConnectionLost && failure.MaybeSent, "response %d: %v", choice, failure)
			}
			if response != nil {
				assert.Check(t, response.BodyComplete)
				assert.Check(t, strings.HasSuffix(responses[choice], "\r\n\r\n"+string(response.BodyStart)), "%q", response.BodyStart)
				response.Close()
			}
			assert.Check(t, time.Since(began) < 2500*time.Millisecond, "%v", time.Since(began))
		})
	}
	calls.Wait()
}
