// Package node assembles one entry VM of a fleet that finds itself through
// seeds and whose platform can only be read. It holds the goroutines, timers
// and sockets around the decisions of pkg/coordination.
package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/residency"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
)

// Errors of the interfaces below.
var (
	// ErrCompacted means that the store no longer has the changes asked for.
	ErrCompacted = errors.New("the store has discarded this part of its history")
	// ErrFenced means that an engine has seen a higher fencing token.
	ErrFenced = errors.New("another VM has used a higher fencing token")
	// ErrOtherEndpoint means that another endpoint has the address now.
	ErrOtherEndpoint = errors.New("another endpoint has the address")
)

// Store reads the platform's store. The reader loop calls it, one call at a
// time.
type Store interface {
	// List returns everything as of a revision.
	List(ctx context.Context) ([]mirror.Item, ids.Revision, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// an empty delta after the wait. It returns ErrCompacted where the caller
	// has to list again.
	Watch(ctx context.Context, after ids.Revision, wait time.Duration) (mirror.Delta, error)
}

// Records decodes the items of the store. It is called under one lock, once
// for each changed item, and then asked for the result.
type Records interface {
	// Apply takes one changed item. After an error the last good state of the
	// item stays in force.
	Apply(item mirror.Item) error
	// Config returns the configuration in force, or nil.
	Config() *serving.Config
	Endpoints() map[ids.EndpointID]*serving.Endpoint
	Versions() map[serving.AdapterKey]ids.AdapterVersion
}

// Engines gives orders to model engines. Only the VM that owns an engine calls
// it, one order at a time for each engine.
type Engines interface {
	Report(ctx context.Context, endpoint *serving.Endpoint) (residency.Report, error)
	// Order returns ErrFenced or ErrOtherEndpoint with a NotTaken order.
	Order(ctx context.Context, endpoint *serving.Endpoint, holder string, fence ids.Fence, order residency.Order) (residency.Result, error)
}

// Wire translates the headers of requests and answers, once for each.
type Wire interface {
	// Parse reads a caller's headers; an error is the caller's.
	Parse(header http.Header) (Call, error)
	// Forward returns the headers for an endpoint from those of the caller.
	Forward(caller http.Header, send Send) http.Header
	// Read translates an endpoint's answer.
	Read(status int, header http.Header) Answer
	// Refuse sets the headers of an answer that this VM gives itself.
	Refuse(header http.Header, id ids.RequestID, retryAfter time.Duration)
}

// Call is what a caller's headers say.
type Call struct {
	ID  ids.RequestID
	Key string
	// TimeLeft is how long the caller will wait; 0 if it does not say.
	TimeLeft                      time.Duration
	Model                         string
	Adapter                       ids.AdapterID
	HasTokens                     bool
	PromptTokens, MaxOutputTokens int64
	ResumeAfter                   string
}

// Send is one sending of a request to an endpoint.
type Send struct {
	Endpoint *serving.Endpoint
	TimeLeft time.Duration
	Customer ids.CustomerID
	// Urgent is set where Urgency is to be told; 0 is the most urgent.
	Urgent      bool
	Urgency     int
	ResumeAfter string
}

// Answer is what the headers of an endpoint's answer say.
type Answer struct {
	// Header holds those that concern more than the connection.
	Header  http.Header
	Request ids.RequestID
	// Endpoint is set where the answer names the endpoint that gave it.
	Endpoint ids.EndpointID
	Signed   bool
	NotRun   bool
	// Encoded bodies are not the endpoint's own.
	Encoded bool
	Load    *ReportedLoad
}

// ReportedLoad is an endpoint's own account of its requests.
type ReportedLoad struct{ Running, Waiting, Slots int }
