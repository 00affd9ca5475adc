package callers

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// KeyHash is the SHA-256 hash of a caller's API key. The key itself is not
// passed on to the backend.
type KeyHash [sha256.Size]byte

// Identity identifies the caller of a request.
type Identity struct {
	// Customer is empty for a caller without a valid key.
	Customer ids.CustomerID
	// KeyHash is zero for a caller without a valid key.
	KeyHash KeyHash
	// OpenRoute is set if the request's route accepts callers without a key.
	OpenRoute bool
}

// GenerationRequest is a request to generate text. Its form and its key are
// checked; whether it is within the customer's limits is not.
type GenerationRequest struct {
	RequestID ids.RequestID
	Identity  Identity
	Adapter   ids.AdapterID
	Version   ids.AdapterVersion
	Prompt    string
	MaxTokens uint32
	Priority  int32
}

// GenerationResult is the complete result of a text generation.
type GenerationResult struct {
	Model        ids.AdapterRef
	Text         string
	FinishReason string
	Usage        engineapi.Usage
}

// Token is one piece of generated text.
type Token struct {
	Model ids.AdapterRef
	Text  string
	// Offset is the number of pieces before this one.
	Offset uint32
}

// ServiceRequest is a request to a plain HTTP service.
type ServiceRequest struct {
	RequestID ids.RequestID
	Identity  Identity
	RouteID   ids.RouteID
	Route     *records.Route
	Method    string
	// Target is the path with the query.
	Target         string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// ServiceResponse is the response of a plain HTTP service.
type ServiceResponse struct {
	Status int
	Header http.Header
	// BodyStart is the first part of the body, or the entire body if there is
	// no rest.
	BodyStart []byte
	// BodyRest is nil if there is no further part of the body.
	BodyRest BodyStream
}

// BodyStream is the part of a response body that is passed on as it arrives.
type BodyStream interface {
	Read([]byte) (int, error)
	Close()
}

// Backend authenticates callers and runs their requests. The daemon implements
// it. Its methods are called concurrently.
type Backend interface {
	// BeginRequest counts a request as open, or returns a refusal if the VM is
	// draining, is not ready or has too many open requests. done is called
	// after the response was written.
	BeginRequest() (done func(), refusal *Refusal)
	// Authenticate returns the customer of a key. The reason is
	// REASON_UNSPECIFIED if the key is valid.
	Authenticate(KeyHash) (ids.CustomerID, inferencev1.Reason)
	// Route returns the route whose path prefix is the longest match, and
	// whether there is one.
	Route(path string) (ids.RouteID, *records.Route, bool)
	// Generate runs a text generation. onToken, if not nil, is called for each
	// piece of text; after its first call the request is not retried.
	Generate(ctx context.Context, request GenerationRequest, onToken func(Token) error) (GenerationResult, *Refusal)
	// CallService runs a request to a plain HTTP service.
	CallService(ctx context.Context, request ServiceRequest) (ServiceResponse, *Refusal)
	// ViewAge returns the time since the VM's view of the records was last
	// confirmed.
	ViewAge() time.Duration
}
