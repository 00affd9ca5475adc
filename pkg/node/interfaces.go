// Package node runs one entry VM of a fleet whose VMs find each other through
// seed addresses and only read the platform's store. It accepts callers'
// requests, exchanges state with its peers and commands the model engines that
// this VM owns. The decisions are made in pkg/coordination; this package holds
// the goroutines, timers and sockets around them. Package platform implements
// its interfaces and starts it.
package node

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/residency"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
)

// Errors that implementations of the interfaces below return.
var (
	// ErrCompacted means that the store no longer keeps the requested changes.
	ErrCompacted = errors.New("the store has discarded this part of its history")
	// ErrFenced means that an engine has already seen a higher fencing token.
	ErrFenced = errors.New("another VM has used a higher fencing token")
	// ErrOtherEndpoint means that a different endpoint now uses the address.
	ErrOtherEndpoint = errors.New("another endpoint has the address")
)

// Store reads the platform's store. Only the store loop calls it, one call at a
// time.
type Store interface {
	// List returns a listing of all items.
	List(ctx context.Context) (mirror.Delta, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// an empty delta once wait has elapsed. The delta may be of a later era than
	// the revision that was asked for, and is then incomplete. It returns
	// ErrCompacted if the caller has to list again.
	Watch(ctx context.Context, after ids.Revision, wait time.Duration) (mirror.Delta, error)
}

// Records decodes the items of the store. All calls are made under one lock:
// Apply for each changed item, then the other methods to get the result.
type Records interface {
	// Apply decodes one changed item and reports whether that changed any
	// record. A configuration or version that cannot be decoded leaves the last
	// valid one in effect; an endpoint that cannot be decoded is removed.
	Apply(item mirror.Item) (changed bool, err error)
	// Rank is the mirror's RankFunc. It does not depend on the applied items.
	Rank(key string, value []byte) (mirror.Rank, bool)
	// Content is the mirror's ContentFunc: records for which Apply has the same
	// effect have the same hash on all VMs. It does not depend on the applied items.
	Content(key string, value []byte) uint64
	// Config returns the current configuration, or nil if there is none yet.
	Config() *serving.Config
	Endpoints() map[ids.EndpointID]*serving.Endpoint
	// HeldModels returns what an engine last registered about the models and
	// adapters that it holds. It is some seconds old.
	HeldModels(id ids.EndpointID) []serving.HeldModel
	Versions() map[serving.AdapterKey]ids.AdapterVersion
	// Evacuated returns the data centres that operators evacuate. Names that are not
	// known are included.
	Evacuated() map[ids.DataCentreID]bool
}

// Engines sends commands, called orders, to model engines and reads their
// reports. Only the VM that owns an engine calls it, with at most one call in
// flight for each engine.
type Engines interface {
	Report(ctx context.Context, endpoint *serving.Endpoint) (residency.Report, error)
	// Order sends one order under the given fencing token. It returns ErrFenced
	// or ErrOtherEndpoint together with residency.Refused.
	Order(ctx context.Context, endpoint *serving.Endpoint, holder string, fence ids.FencingToken, order residency.Order) (residency.Result, error)
}

// HeaderCodec translates the headers of requests and answers.
type HeaderCodec interface {
	// ParseRequest reads the headers of a caller's request. An error means that
	// the caller's headers are invalid.
	ParseRequest(header http.Header) (Call, error)
	// EndpointHeader returns the headers to send to an endpoint, derived from
	// those of the caller.
	EndpointHeader(caller http.Header, send Send) http.Header
	// ParseAnswer reads the status and the headers of an endpoint's answer.
	ParseAnswer(status int, header http.Header) Answer
	// SetRefusal sets the headers of a response that this VM generates itself.
	SetRefusal(header http.Header, id ids.RequestID, retryAfter time.Duration)
}

// Call holds the fields read from the headers of a caller's request.
type Call struct {
	RequestID ids.RequestID
	Key       string
	// TimeLeft is how long the caller will wait; 0 if unspecified.
	TimeLeft                      time.Duration
	Model                         string
	Adapter                       ids.AdapterID
	HasTokens                     bool
	PromptTokens, MaxOutputTokens int64
	// SharedParts are the parts of the prompt that other requests may hold too.
	SharedParts []ids.PromptPartID
	ResumeAfter string
}

// tokens returns the stated tokens, or the largest number if their sum exceeds it.
func (c Call) tokens() int64 {
	if c.MaxOutputTokens > math.MaxInt64-c.PromptTokens {
		return math.MaxInt64
	}
	return c.PromptTokens + c.MaxOutputTokens
}

// Send describes one attempt to send a request to an endpoint.
type Send struct {
	Endpoint *serving.Endpoint
	TimeLeft time.Duration
	Customer ids.CustomerID
	// HasUrgency is set if Urgency is to be sent; 0 is the most urgent.
	HasUrgency  bool
	Urgency     int
	ResumeAfter string
}

// Answer holds the fields read from the headers of an endpoint's answer.
type Answer struct {
	// Header holds the end-to-end headers, without those of the connection.
	Header    http.Header
	RequestID ids.RequestID
	// Endpoint is the endpoint that gave the answer; empty if it is not named.
	Endpoint ids.EndpointID
	Signed   bool
	NotRun   bool
	// Encoded is set if the body has a content encoding, which means that it is
	// not the endpoint's original body.
	Encoded bool
	Load    *ReportedLoad
	// Limit is the number of requests a second that the endpoint takes from all
	// VMs together; nil if it names none.
	Limit *float64
	// Leaving is set if the endpoint says that it leaves.
	Leaving bool
	// RetryAfter is the time for which an endpoint that turned the request away
	// wants no other from this VM; 0 if it names none.
	RetryAfter time.Duration
	// ColdFor is how much longer the endpoint says that it stays cold; 0 if it
	// names no time.
	ColdFor time.Duration
}

// ReportedLoad is the load that an endpoint reports about itself.
type ReportedLoad struct {
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
	// Slots is the number of requests that the endpoint runs at once.
	Slots int `json:"n,omitempty"`
	// Slowdown is how long work takes at the endpoint now, as a multiple of the usual
	// time; 0 if the endpoint does not say.
	Slowdown float64 `json:"x,omitempty"`
}
