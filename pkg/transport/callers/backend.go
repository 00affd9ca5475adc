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

// KeyHash is the SHA-256 hash of a caller's key. The key itself stays in the
// handler that read it.
type KeyHash [sha256.Size]byte

// Identity is who sends a request.
type Identity struct {
	Customer ids.CustomerID
	// Hash is zero on routes open to all.
	Hash KeyHash
	Open bool
}

// Generation is one admitted-to-be model request.
type Generation struct {
	Request   ids.RequestID
	Identity  Identity
	Adapter   ids.AdapterID
	Version   ids.AdapterVersion
	Prompt    string
	MaxTokens uint32
	Priority  int32
}

// Generated is a whole answer of a model.
type Generated struct {
	Model        ids.AdapterRef
	Text         string
	FinishReason string
	Usage        engineapi.Usage
}

// Token is one piece of generated text.
type Token struct {
	Model  ids.AdapterRef
	Text   string
	Offset uint32
}

// Call is one request to a plain service.
type Call struct {
	Request  ids.RequestID
	Identity Identity
	RouteID  ids.RouteID
	Route    *records.Route
	Method   string
	// Target is the path with the query.
	Target         string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// CallAnswer is a plain service's answer.
type CallAnswer struct {
	Status int
	Header http.Header
	// Start is the first part of the body, or the whole body if Rest is nil.
	Start []byte
	Rest  BodyRest
}

// BodyRest is the part of an answer that is passed on as it arrives.
type BodyRest interface {
	Read([]byte) (int, error)
	Close()
}

// Backend runs requests; the daemon implements it. Its methods are called
// from many goroutines.
type Backend interface {
	// Enter counts a request as open. A false result refuses it: the VM is
	// draining or not ready. done is called when the caller has its answer.
	Enter() (done func(), refusal *Refusal)
	// Authenticate finds the customer of a key, or the reason to refuse it.
	Authenticate(KeyHash) (ids.CustomerID, inferencev1.Reason)
	// Route finds the route with the longest prefix of a path.
	Route(path string) (ids.RouteID, *records.Route, bool)
	// Generate runs a model request. token, if set, is called for each piece
	// of text; after its first call the request is not run again.
	Generate(ctx context.Context, generation Generation, token func(Token) error) (Generated, *Refusal)
	// Call runs a request to a plain service.
	Call(ctx context.Context, call Call) (CallAnswer, *Refusal)
	// ViewAge tells how old the VM's view of the records is.
	ViewAge() time.Duration
}
