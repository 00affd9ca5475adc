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

// hopHeaders belong to one connection (RFC 9110, section 7.6.1) or are
// written anew for the next one.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect",
}

// credentialHeaders may carry a caller's key.
var credentialHeaders = []string{headerAuthorization, "Proxy-Authorization", "X-Api-Key"}

// passThrough serves routes of kind service.
type passThrough struct {
	backend Backend
	bounds  Bounds
}

func (p *passThrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	done, refusal := p.backend.Enter()
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	defer done()
	call, refusal := p.admit(w, r)
	if refusal != nil {
		refusal.Request = call.Request
		writeRefusal(w, refusal)
		return
	}
	answer, refusal := p.backend.Call(r.Context(), call)
	if refusal != nil {
		refusal.Request = call.Request
		writeRefusal(w, refusal)
		return
	}
	writeAnswer(w, call.Request, answer)
}

// admit checks the form of a request, its route and its key.
func (p *passThrough) admit(w http.ResponseWriter, r *http.Request) (Call, *Refusal) {
	call := Call{Method: r.Method, Target: r.URL.RequestURI(), IdempotencyKey: r.Header.Get(headerIdempotencyKey)}
	request, refusal := requestID(r.Header.Get(HeaderRequestID))
	if refusal != nil {
		return call, refusal
	}
	call.Request = request
	if !isClean(r.URL.Path) {
		return call, NotRun(inferencev1.Reason_REASON_MALFORMED, "the path has empty or dot segments")
	}
	id, route, known := p.backend.Route(r.URL.Path)
	if !known || route.Kind != records.EndpointService {
		return call, NotRun(inferencev1.Reason_REASON_ROUTE_UNKNOWN, "no route serves this path")
	}
	call.RouteID, call.Route = id, route
	limitWrites(w, time.Duration(route.TimeoutMillis)*time.Millisecond)
	identity, key, refusal := authenticate(p.backend, r.Header, route.Open)
	if refusal != nil {
		return call, refusal
	}
	call.Identity = identity
	if call.Body, refusal = readBody(w, r, p.bounds.BodyBytes); refusal != nil {
		return call, refusal
	}
	call.Header = forwardedHeader(r.Header, key)
	if key != "" && strings.Contains(string(call.Request), key) {
		// The refusal must not carry the key either.
		call.Request = ""
		return call, keyPresent()
	}
	return call, checkKeyAbsent(call, key)
}

// isClean refuses paths that an endpoint may resolve to a place outside the
// route's prefix.
func isClean(given string) bool {
	return given == path.Clean(given) || given == path.Clean(given)+"/"
}

// forwardedHeader copies the header without what belongs to the connection
// and without anything that holds the key.
func forwardedHeader(header http.Header, key string) http.Header {
	forwarded := header.Clone()
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
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

func checkKeyAbsent(call Call, key string) *Refusal {
	if key == "" {
		return nil
	}
	if strings.Contains(call.Target, key) || bytes.Contains(call.Body, []byte(key)) {
		return keyPresent()
	}
	return nil
}

func keyPresent() *Refusal {
	return NotRun(inferencev1.Reason_REASON_MALFORMED, "the request id, path or body contains the caller's key, which endpoints must not see")
}

func writeAnswer(w http.ResponseWriter, request ids.RequestID, answer CallAnswer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		if answer.Rest == nil || name != "Content-Length" {
			header.Del(name)
		}
	}
	// The endpoint echoes the name of one attempt; the caller gets its own.
	header.Del(engineapi.HeaderRequestID)
	header.Set(HeaderRequestID, string(request))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Start)
	if answer.Rest == nil {
		return
	}
	defer answer.Rest.Close()
	if _, err := io.Copy(w, readerOnly{answer.Rest}); err != nil && !errors.Is(err, io.EOF) {
		// Closing the connection is the only way left to show that the answer
		// is not whole.
		panic(http.ErrAbortHandler)
	}
}

type readerOnly struct{ io.Reader }

func writeRefusal(w http.ResponseWriter, refusal *Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, strings.TrimPrefix(refusal.Outcome.String(), "OUTCOME_"))
	header.Set(HeaderReason, strings.TrimPrefix(refusal.Reason.String(), "REASON_"))
	if refusal.Request != "" {
		header.Set(HeaderRequestID, string(refusal.Request))
	}
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(float64(refusal.RetryAfter) / float64(time.Second))
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 0, 64))
	}
	w.WriteHeader(refusal.kind().status)
	_, _ = io.WriteString(w, `{"error":`+strconv.Quote(refusal.Message)+"}\n")
}
