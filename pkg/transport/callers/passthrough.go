package callers

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// hopByHopHeaders are the headers that are not forwarded because they apply to
// one connection (RFC 9110, section 7.6.1) or are generated for each one.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect",
}

// credentialHeaders are the headers that may contain a caller's key.
var credentialHeaders = []string{headerAuthorization, "Proxy-Authorization", "X-Api-Key"}

// passThroughHandler passes requests on routes of kind service to plain HTTP
// services.
type passThroughHandler struct {
	backend Backend
	limits  Limits
}

func (p *passThroughHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	done, refusal := p.backend.BeginRequest()
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	defer done()
	request, refusal := p.parseRequest(w, r)
	if refusal != nil {
		refusal.RequestID = request.RequestID
		writeRefusal(w, refusal)
		return
	}
	response, refusal := p.backend.CallService(r.Context(), request)
	if refusal != nil {
		refusal.RequestID = request.RequestID
		writeRefusal(w, refusal)
		return
	}
	writeResponse(w, request.RequestID, response)
}

// parseRequest checks the form, the route and the key of a request and converts
// it. Together with a refusal it returns the request id, if that is valid.
func (p *passThroughHandler) parseRequest(w http.ResponseWriter, r *http.Request) (ServiceRequest, *Refusal) {
	request := ServiceRequest{Method: r.Method, Target: r.URL.RequestURI(), IdempotencyKey: r.Header.Get(headerIdempotencyKey)}
	id, refusal := requestID(r.Header.Get(HeaderRequestID))
	if refusal != nil {
		return request, refusal
	}
	request.RequestID = id
	if !isCleanPath(r.URL.Path) {
		return request, NotRun(inferencev1.Reason_REASON_MALFORMED, "the path has empty or dot segments")
	}
	routeID, route, known := p.backend.Route(r.URL.Path)
	if !known || route.Kind != records.EndpointService {
		return request, NotRun(inferencev1.Reason_REASON_ROUTE_UNKNOWN, "no route serves this path")
	}
	request.RouteID, request.Route = routeID, route
	setWriteDeadline(w, time.Duration(route.TimeoutMillis)*time.Millisecond)
	identity, key, refusal := authenticate(p.backend, r.Header, route.Open)
	if refusal != nil {
		return request, refusal
	}
	request.Identity = identity
	if request.Body, refusal = readBody(w, r, p.limits.MaxBodyBytes); refusal != nil {
		return request, refusal
	}
	request.Header = forwardableHeader(r.Header, key)
	if key != "" && strings.Contains(string(request.RequestID), key) {
		// The request id contains the key, so the refusal must not repeat it.
		request.RequestID = ""
		return request, refuseKeyInRequest()
	}
	return request, checkKeyAbsent(request, key)
}

// isCleanPath reports whether a path has no empty or dot segments. An endpoint
// may resolve a path with such segments to a location outside the route's
// prefix.
func isCleanPath(requestPath string) bool {
	return requestPath == path.Clean(requestPath) || requestPath == path.Clean(requestPath)+"/"
}

// forwardableHeader returns a copy of the header without connection headers,
// credentials and other headers that contain the key.
func forwardableHeader(header http.Header, key string) http.Header {
	forwarded := header.Clone()
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	for _, name := range credentialHeaders {
		forwarded.Del(name)
	}
	if key == "" {
		return forwarded
	}
	for name, values := range forwarded {
		if strings.Contains(strings.Join(values, "\n"), key) {
			forwarded.Del(name)
		}
	}
	return forwarded
}

// checkKeyAbsent refuses a request whose target or body contains the key.
func checkKeyAbsent(request ServiceRequest, key string) *Refusal {
	if key == "" {
		return nil
	}
	if strings.Contains(request.Target, key) || bytes.Contains(request.Body, []byte(key)) {
		return refuseKeyInRequest()
	}
	return nil
}

func refuseKeyInRequest() *Refusal {
	return NotRun(inferencev1.Reason_REASON_MALFORMED, "the request id, path or body contains the caller's key, which endpoints must not see")
}

func writeResponse(w http.ResponseWriter, id ids.RequestID, response ServiceResponse) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range hopByHopHeaders {
		if response.BodyRest == nil || name != "Content-Length" {
			header.Del(name)
		}
	}
	// The endpoint's response has the id of an attempt; the caller gets the id
	// of its request.
	header.Del(engineapi.HeaderRequestID)
	header.Set(HeaderRequestID, string(id))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.BodyStart)
	if response.BodyRest == nil {
		return
	}
	defer response.BodyRest.Close()
	if _, err := io.Copy(w, readerOnly{response.BodyRest}); err != nil && !errors.Is(err, io.EOF) {
		// The status was already sent. Aborting the connection is the only way
		// to show the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// readerOnly hides all methods but Read.
type readerOnly struct{ io.Reader }

func writeRefusal(w http.ResponseWriter, refusal *Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, strings.TrimPrefix(refusal.Outcome.String(), "OUTCOME_"))
	header.Set(HeaderReason, strings.TrimPrefix(refusal.Reason.String(), "REASON_"))
	if refusal.RequestID != "" {
		header.Set(HeaderRequestID, string(refusal.RequestID))
	}
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(float64(refusal.RetryAfter) / float64(time.Second))
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 0, 64))
	}
	w.WriteHeader(refusal.statusCodes().httpStatus)
	_, _ = io.WriteString(w, `{"error":`+strconv.Quote(refusal.Message)+"}\n")
}
