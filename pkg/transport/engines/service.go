package engines

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// HeaderIdempotencyKey is the name under which plain services get a caller's
// idempotency key. net/http repeats requests with an Idempotency-Key or
// X-Idempotency-Key header by itself, so these names are never sent.
const HeaderIdempotencyKey = "Wagtailspoke-Idempotency-Key"

// replayHeaders are the names that net/http takes as leave to repeat.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	Attempt ids.RequestID
	Method  string
	// Target is the path with the query.
	Target string
	Header http.Header
	Body   []byte
	// Repeatable tells that the call may run twice.
	Repeatable bool
	Gate       Gate
}

// ServiceAnswer is the answer of a plain service. Close must be called.
type ServiceAnswer struct {
	Status int
	Header http.Header
	// Start holds the first bytes of the body, and the whole body if Whole.
	Start []byte
	Whole bool

	body io.ReadCloser
	call *call
}

// startBytes is how much of an answer is read before it is passed on. It
// equals the largest answer that is stored with an idempotency key.
const startBytes = 64 << 10

// Forward sends a request to a plain service and reads the start of the
// answer, so that a failure before that point can still be reported as such.
func (c *Client) Forward(ctx context.Context, endpoint Endpoint, request ServiceCall) (*ServiceAnswer, *Failure) {
	call := c.start(ctx, endpoint, "call service", c.config.FirstByte)
	response, failure := call.send(transmission{
		method:     request.Method,
		target:     request.Target,
		header:     c.serviceHeader(request),
		body:       request.Body,
		gate:       request.Gate,
		repeatable: request.Repeatable,
	})
	if failure != nil {
		call.end()
		return nil, failure
	}
	// Any other answer, a plain 503 included, is the service's own and goes to
	// the caller.
	if provesNotRun(response) {
		return nil, call.refused(response)
	}
	answer, failure := call.serviceAnswer(request, response)
	if failure != nil {
		_ = response.Body.Close()
		call.end()
		return nil, failure
	}
	return answer, nil
}

func (c *Client) serviceHeader(request ServiceCall) http.Header {
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(engineapi.HeaderRequestID, string(request.Attempt))
	if !c.rules.freshConnections {
		return header
	}
	for _, name := range replayHeaders {
		if key := header.Get(name); key != "" {
			header.Set(HeaderIdempotencyKey, key)
			header.Del(name)
		}
	}
	return header
}

func (c *call) serviceAnswer(request ServiceCall, response *http.Response) (*ServiceAnswer, *Failure) {
	echoed := response.Header.Get(engineapi.HeaderRequestID)
	if c.client.rules.matchAnswers && echoed != "" && echoed != string(request.Attempt) {
		return nil, c.fail(CauseMismatch, fmt.Errorf("%w: id %q, want %q", errMismatch, echoed, request.Attempt))
	}
	answer := &ServiceAnswer{Status: response.StatusCode, Header: response.Header, body: response.Body, call: c}
	var start bytes.Buffer
	_, err := io.CopyN(&start, response.Body, startBytes+1)
	answer.Start = start.Bytes()
	switch {
	case errors.Is(err, io.EOF):
		answer.Whole = true
	case err != nil:
		return nil, c.transportFailure(err)
	}
	return answer, nil
}

// Rest reads the body after Start.
func (a *ServiceAnswer) Rest() io.Reader {
	if a.Whole {
		return bytes.NewReader(nil)
	}
	return a.body
}

// Close releases the connection.
func (a *ServiceAnswer) Close() {
	if a.Whole {
		a.call.finish(a.body)
		return
	}
	_ = a.body.Close()
	a.call.end()
}
