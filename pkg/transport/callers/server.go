// Package callers implements the HTTP server for callers. It serves the
// connect-go service InferenceService and passes requests whose path matches
// the prefix of a route record to plain HTTP services. It checks the form of
// requests and finds the caller's customer by its key; a Backend, which is the
// daemon, runs the requests.
//
// Each refusal states whether the request ran: in a RequestOutcome detail, or
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

// Limits of requests.
const (
	// bodyReadTimeout bounds the time for receiving a request body, so that
	// slow senders do not occupy memory for long.
	bodyReadTimeout   = 10 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxRequestIDBytes = 128
	// compressMinBytes is the size below which responses are not compressed.
	// Compressing short responses took a third of the handler's CPU time and
	// saved no packets.
	compressMinBytes = 16 << 10
)

// Headers of responses. A request may set HeaderRequestID too.
const (
	// HeaderViewAge is the age in seconds of the VM's view of the records.
	HeaderViewAge = "Wagtailspoke-View-Age"
	// HeaderOutcome states whether a refused request ran.
	HeaderOutcome = "Wagtailspoke-Outcome"
	// HeaderReason is the reason of a refusal.
	HeaderReason    = "Wagtailspoke-Reason"
	HeaderRequestID = "Wagtailspoke-Request-Id"
)

// Headers of requests.
const (
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerConnectTimeout = "Connect-Timeout-Ms"
	bearerPrefix         = "Bearer "
)

// encodingHeaders are the headers that state the compression of a request in
// the protocols that connect-go accepts.
var encodingHeaders = []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

// Limits limits the size and the duration of a request.
type Limits struct {
	// MaxBodyBytes is the size of the largest request body.
	MaxBodyBytes int64
	// RequestTimeout bounds the duration of a text generation.
	RequestTimeout time.Duration
}

// writeGracePeriod is how long after the deadline of a request its response may
// still be written. Without a limit, a caller that stops reading would keep the
// request open indefinitely.
const writeGracePeriod = 10 * time.Second

// setWriteDeadline bounds the time until the response must be written. timeout
// is the time limit of the request.
func setWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeGracePeriod))
}

// NewServer returns the HTTP server of the port for callers. It accepts
// HTTP/1.1 and unencrypted HTTP/2.
func NewServer(backend Backend, limits Limits) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           NewHandler(backend, limits),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         protocols,
	}
}

// NewHandler returns the HTTP handler of the port for callers.
func NewHandler(backend Backend, limits Limits) http.Handler {
	servicePath, service := inferencev1connect.NewInferenceServiceHandler(
		&inferenceHandler{backend: backend},
		connect.WithCodec(newCodec("proto")),
		connect.WithCodec(newCodec("json")),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	modelHandler := &validatingHandler{next: service, errorWriter: connect.NewErrorWriter(), limits: limits}
	serviceHandler := &passThroughHandler{backend: backend, limits: limits}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderViewAge, strconv.FormatFloat(backend.ViewAge().Seconds(), 'f', 3, 64))
		// http.ServeMux is not used because it redirects some paths.
		if strings.HasPrefix(r.URL.Path, servicePath) {
			modelHandler.ServeHTTP(w, r)
			return
		}
		serviceHandler.ServeHTTP(w, r)
	})
}

// validatingHandler reads the body of a connect request and checks its headers
// before connect-go does, because connect-go's errors have no RequestOutcome.
type validatingHandler struct {
	next        http.Handler
	errorWriter *connect.ErrorWriter
	limits      Limits
}

func (b *validatingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	setWriteDeadline(w, b.limits.RequestTimeout)
	body, refusal := readBody(w, r, b.limits.MaxBodyBytes)
	if refusal == nil {
		refusal = checkHeaders(r.Header)
	}
	if refusal != nil {
		_ = b.errorWriter.Write(w, r, refusal.connectError())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	b.next.ServeHTTP(w, r)
}

// checkHeaders refuses compressed requests and invalid timeouts.
func checkHeaders(header http.Header) *Refusal {
	for _, name := range encodingHeaders {
		if encoding := header.Get(name); encoding != "" && encoding != "identity" {
			return NotRun(inferencev1.Reason_REASON_MALFORMED, "compressed requests are not accepted")
		}
	}
	if timeout := header.Get(headerConnectTimeout); timeout != "" {
		if _, err := strconv.ParseUint(timeout, 10, 32); err != nil {
			return NotRun(inferencev1.Reason_REASON_MALFORMED, "header %s is not a number of milliseconds", headerConnectTimeout)
		}
	}
	return nil
}

// readBody reads a request body of at most maxBytes.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *Refusal) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, NotRun(inferencev1.Reason_REASON_BODY_TOO_LARGE, "body is larger than %d bytes", maxBytes)
	}
	if err != nil {
		return nil, NotRun(inferencev1.Reason_REASON_MALFORMED, "body could not be read")
	}
	return body, nil
}

// authenticate finds the caller's customer by the key in the header. On an open
// route, a missing or invalid key is accepted. The key is returned only so that
// the rest of the request can be searched for it.
func authenticate(backend Backend, header http.Header, open bool) (Identity, string, *Refusal) {
	key, found := strings.CutPrefix(header.Get(headerAuthorization), bearerPrefix)
	if !found || key == "" {
		if open {
			return Identity{OpenRoute: true}, "", nil
		}
		return Identity{}, "", NotRun(inferencev1.Reason_REASON_KEY_MISSING, "header %s with a bearer key is missing", headerAuthorization)
	}
	identity := Identity{KeyHash: sha256.Sum256([]byte(key)), OpenRoute: open}
	customer, reason := backend.Authenticate(identity.KeyHash)
	if reason == inferencev1.Reason_REASON_UNSPECIFIED {
		identity.Customer = customer
		return identity, key, nil
	}
	if open {
		return Identity{OpenRoute: true}, key, nil
	}
	return Identity{}, "", NotRun(reason, "the key is not valid")
}

// requestID checks the id that the caller provided for its request, or
// generates an id if it provided none.
func requestID(provided string) (ids.RequestID, *Refusal) {
	if provided == "" {
		return ids.RequestID(uuid.NewString()), nil
	}
	if len(provided) > maxRequestIDBytes || strings.ContainsFunc(provided, isNotPrintable) {
		return "", NotRun(inferencev1.Reason_REASON_MALFORMED, "request id has more than %d bytes or unprintable characters", maxRequestIDBytes)
	}
	return ids.RequestID(provided), nil
}

func isNotPrintable(r rune) bool { return r < ' ' || r > '~' }
