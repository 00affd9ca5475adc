// Package callers serves callers: the connect-go service InferenceService,
// and plain services by pass-through on the path prefixes of route records.
//
// Each refusal tells whether the request ran: in a RequestOutcome detail, or
// in headers on pass-through routes.
package callers

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1/inferencev1connect"
)

// Bounds of a caller's request.
const (
	// bodyTimeout bounds the time in which a caller sends its body, so that
	// slow senders do not hold memory for long.
	bodyTimeout       = 10 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxRequestIDBytes = 128
	// compressMinBytes keeps short answers uncompressed: compressing them took
	// a third of the handler's CPU time and saves no packet.
	compressMinBytes = 16 << 10
)

// Headers of answers.
const (
	HeaderViewAge   = "Wagtailspoke-View-Age"
	HeaderOutcome   = "Wagtailspoke-Outcome"
	HeaderReason    = "Wagtailspoke-Reason"
	HeaderRequestID = "Wagtailspoke-Request-Id"
)

const (
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Connect-Timeout-Ms"
	bearerPrefix         = "Bearer "
)

// encodingHeaders name the compression of a request in the protocols that
// connect-go accepts.
var encodingHeaders = []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

// Bounds limits what one request may take.
type Bounds struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
	// Request is the longest time of a model request.
	Request time.Duration
}

// writeSlack is how long after its deadline a request may still write its
// answer. A caller that stops reading must not hold a request for ever.
const writeSlack = 10 * time.Second

// limitWrites bounds the time in which an answer must be written.
func limitWrites(w http.ResponseWriter, request time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(request + writeSlack))
}

// NewServer returns the HTTP server of the caller port.
func NewServer(backend Backend, bounds Bounds) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           NewHandler(backend, bounds),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         protocols,
	}
}

// NewHandler returns the handler of the caller port.
func NewHandler(backend Backend, bounds Bounds) http.Handler {
	path, service := inferencev1connect.NewInferenceServiceHandler(
		&inference{backend: backend},
		connect.WithCodec(newCodec("proto")),
		connect.WithCodec(newCodec("json")),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	model := &bounded{next: service, errors: connect.NewErrorWriter(), bounds: bounds}
	plain := &passThrough{backend: backend, bounds: bounds}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderViewAge, strconv.FormatFloat(backend.ViewAge().Seconds(), 'f', 3, 64))
		// http.ServeMux would answer some paths with redirects of its own.
		if strings.HasPrefix(r.URL.Path, path) {
			model.ServeHTTP(w, r)
			return
		}
		plain.ServeHTTP(w, r)
	})
}

// bounded reads the body of a connect request before connect-go does, because
// connect-go's own refusals carry no RequestOutcome.
type bounded struct {
	next   http.Handler
	errors *connect.ErrorWriter
	bounds Bounds
}

func (b *bounded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limitWrites(w, b.bounds.Request)
	body, refusal := readBody(w, r, b.bounds.BodyBytes)
	if refusal == nil {
		refusal = checkHeader(r.Header)
	}
	if refusal != nil {
		_ = b.errors.Write(w, r, refusal.connectError())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	b.next.ServeHTTP(w, r)
}

func checkHeader(header http.Header) *Refusal {
	for _, name := range encodingHeaders {
		if encoding := header.Get(name); encoding != "" && encoding != "identity" {
			return NotRun(inferencev1.Reason_REASON_MALFORMED, "compressed requests are not accepted")
		}
	}
	if timeout := header.Get(headerTimeout); timeout != "" {
		if _, err := strconv.ParseUint(timeout, 10, 32); err != nil {
			return NotRun(inferencev1.Reason_REASON_MALFORMED, "header %s is not a number of milliseconds", headerTimeout)
		}
	}
	return nil
}

// readBody reads a body of at most the given size.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, *Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, NotRun(inferencev1.Reason_REASON_BODY_TOO_LARGE, "body is larger than %d bytes", most)
	}
	if err != nil {
		return nil, NotRun(inferencev1.Reason_REASON_MALFORMED, "body could not be read")
	}
	return body, nil
}

// authenticate reads the caller's key. The key is returned only for the check
// that it does not stand elsewhere in the request.
func authenticate(backend Backend, header http.Header, open bool) (Identity, string, *Refusal) {
	key, found := strings.CutPrefix(header.Get(headerAuthorization), bearerPrefix)
	if !found || key == "" {
		if open {
			return Identity{Open: true}, "", nil
		}
		return Identity{}, "", NotRun(inferencev1.Reason_REASON_KEY_MISSING, "header %s with a bearer key is missing", headerAuthorization)
	}
	identity := Identity{Hash: sha256.Sum256([]byte(key)), Open: open}
	customer, reason := backend.Authenticate(identity.Hash)
	if reason == inferencev1.Reason_REASON_UNSPECIFIED {
		identity.Customer = customer
		return identity, key, nil
	}
	if open {
		return Identity{Open: true}, key, nil
	}
	return Identity{}, "", NotRun(reason, "the key is not valid")
}

// requestID takes the caller's name for a request or makes one up.
func requestID(given string) (ids.RequestID, *Refusal) {
	if given == "" {
		return ids.RequestID(uuid.NewString()), nil
	}
	if len(given) > maxRequestIDBytes || strings.ContainsFunc(given, isNotPrintable) {
		return "", NotRun(inferencev1.Reason_REASON_MALFORMED, "request id has more than %d bytes or unprintable characters", maxRequestIDBytes)
	}
	return ids.RequestID(given), nil
}

func isNotPrintable(r rune) bool { return r < ' ' || r > '~' }
