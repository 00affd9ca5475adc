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

// HeaderIdempotencyKey is the header in which plain HTTP services receive a
// caller's idempotency key. The headers Idempotency-Key and X-Idempotency-Key
// are never sent, because net/http resends requests that have them.
const HeaderIdempotencyKey = "Wagtailspoke-Idempotency-Key"

// replayableHeaders are the headers that make net/http consider a request
// replayable.
var replayableHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// ServiceRequest is a request to a plain HTTP service.
type ServiceRequest struct {
	// AttemptID identifies this attempt of the request uniquely among all VMs.
	AttemptID ids.RequestID
	Method    string
	// Target is the path with the query.
	Target string
	Header http.Header
	Body   []byte
	// Repeatable is set if the service may run the request twice.
	Repeatable bool
	// PreSendCheck may be nil.
	PreSendCheck PreSendCheck
}

// ServiceResponse is the response of a plain HTTP service. The caller must
// close it.
type ServiceResponse struct {
	Status int
	Header http.Header
	// BodyStart holds the first bytes of the body.
	BodyStart []byte
	// BodyComplete reports whether the first bytes are the entire body.
	BodyComplete bool

	body io.ReadCloser
	call *call
}

// maxBodyStartBytes bounds how much of a response body is read before the
// response is passed on. It equals the size of the largest response that is
// stored with an idempotency key.
const maxBodyStartBytes = 64 << 10

// Forward sends a request to a plain HTTP service and reads the first bytes of
// the response body. Up to that point a failure can still be reported to the
// caller as an error status.
func (c *Client) Forward(ctx context.Context, endpoint Endpoint, request ServiceRequest) (*ServiceResponse, *Failure) {
	call := c.newCall(ctx, endpoint, "call service", c.config.FirstByteTimeout)
	response, failure := call.send(requestSpec{
		method:       request.Method,
		target:       request.Target,
		header:       c.outgoingHeader(request),
		body:         request.Body,
		preSendCheck: request.PreSendCheck,
		repeatable:   request.Repeatable,
	})
	if failure != nil {
		call.release()
		return nil, failure
	}
	// All other responses, including a 503 without that header, come from the
	// service itself and are passed on to the caller.
	if provesNotRun(response) || !validStatus(response.StatusCode) {
		return nil, call.statusFailure(response)
	}
	serviceResponse, failure := call.readServiceResponse(request, response)
	if failure != nil {
		_ = response.Body.Close()
		call.release()
		return nil, failure
	}
	return serviceResponse, nil
}

// outgoingHeader returns the request's header with the attempt id, and with the
// idempotency key under a name that net/http does not act on.
func (c *Client) outgoingHeader(request ServiceRequest) http.Header {
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(engineapi.HeaderRequestID, string(request.AttemptID))
	if !c.rules.singleUseConnections {
		return header
	}
	for _, name := range replayableHeaders {
		if key := header.Get(name); key != "" {
			header.Set(HeaderIdempotencyKey, key)
			header.Del(name)
		}
	}
	return header
}

// readServiceResponse checks that the response belongs to the request and reads
// the first bytes of its body.
func (c *call) readServiceResponse(request ServiceRequest, response *http.Response) (*ServiceResponse, *Failure) {
	echoed := response.Header.Get(engineapi.HeaderRequestID)
	if c.client.rules.matchResponses && echoed != "" && echoed != string(request.AttemptID) {
		return nil, c.newFailure(CauseResponseMismatch, fmt.Errorf("%w: id %q, want %q", errMismatch, echoed, request.AttemptID))
	}
	serviceResponse := &ServiceResponse{Status: response.StatusCode, Header: response.Header, body: response.Body, call: c}
	var start bytes.Buffer
	_, err := io.CopyN(&start, response.Body, maxBodyStartBytes+1)
	serviceResponse.BodyStart = start.Bytes()
	switch {
	case errors.Is(err, io.EOF):
		serviceResponse.BodyComplete = true
	case err != nil:
		return nil, c.transportFailure(err)
	}
	return serviceResponse, nil
}

// BodyRest returns the part of the body that follows the first bytes.
func (a *ServiceResponse) BodyRest() io.Reader {
	if a.BodyComplete {
		return bytes.NewReader(nil)
	}
	return a.body
}

// Close releases the connection, which is reused if the body was read to the
// end.
func (a *ServiceResponse) Close() {
	if a.BodyComplete {
		a.call.drainAndRelease(a.body)
		return
	}
	_ = a.body.Close()
	a.call.release()
}
