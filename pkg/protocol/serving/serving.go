// Package serving defines the requests that callers send through an entry VM,
// the configuration that decides how they are handled, and the endpoints that
// answer them. The types are independent of any platform's wire format.
package serving

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a series of events. They run at most
	// once unless their route allows resumption.
	Streaming
)

// String returns the name of the kind as logs show it.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	}
	return "unsafe"
}

// Split sends a share of a route's requests to one service.
type Split struct {
	Service string
	Weight  int
}

// Route selects and describes the handling of requests of one path prefix.
type Route struct {
	ID         ids.RouteID
	Host       string
	PathPrefix string
	Kind       Kind
	// Splits has at least one entry.
	Splits []Split
	// Timeout is the longest time that a request may take; 0 for none.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a
	// stream, within which the answer is on time.
	Objective time.Duration
	// PauseObjective is the longest pause within a stream that is on time; 0
	// for none.
	PauseObjective time.Duration
	// Attempts is the number of endpoints that one request may be sent to.
	Attempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// MayRepeat reports whether a request may run again after a run that had an
// unknown outcome.
func (r *Route) MayRepeat() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Customer owns keys and has a rate.
type Customer struct {
	ID   ids.CustomerID
	Keys []string
	// Priority takes precedence over that of a route; nil if unset.
	Priority *int
	// CountTokens is set where Rate and Burst are in tokens, otherwise they
	// are in requests.
	CountTokens bool
	// PlainTokens is the cost of a request that states no token counts.
	PlainTokens int64
	// Rate is in units a second; 0 stands for no limit.
	Rate float64
	// Burst is in units.
	Burst float64
}

// Model is a base model that engines of a service may hold.
type Model struct {
	Name string
	// WeightsMB is the size of the weights in megabytes.
	WeightsMB float64
	// LoadTime is that of the weights from the weight store.
	LoadTime time.Duration
	// AdapterMB is the size of one adapter in megabytes.
	AdapterMB float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Batch is the number of requests that an engine runs at once.
	Batch int
	// KVTokens is the memory for prompts and answers.
	KVTokens int64
	// WeightsMB bounds the base models and adapters that an engine holds.
	WeightsMB float64
	// AdapterSlots bounds the adapters that an engine holds or loads.
	AdapterSlots int
	// LoadsPerSecond bounds the loads of base models from the weight store
	// over all engines; 0 stands for no bound.
	LoadsPerSecond float64
	Models         []Model
}

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections to one endpoint from all VMs; 0
	// stands for no bound.
	ConnectionLimit int
	// Engine is nil for plain services.
	Engine *Engine
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  map[string]*Service
	Limits    CallerLimits
	Customers []Customer
}

// HeldModel is a base model that an engine holds with its adapters.
type HeldModel struct {
	Name     string
	Adapters []ids.AdapterRef
}

// Endpoint is an endpoint as its registration states it.
type Endpoint struct {
	ID         ids.EndpointID
	Service    string
	Address    string
	DataCentre ids.DataCentreID
	// Slots is the number of requests that the endpoint runs at once.
	Slots   int
	Leaving bool
	// Started is the start of the endpoint's process in Unix milliseconds, 0
	// if unknown. It tells a restart under the same id.
	Started int64
	Models  []HeldModel
}

// AdapterKey names an adapter of a base model.
type AdapterKey struct {
	Model   string
	Adapter ids.AdapterID
}

// String returns model and adapter as logs show them.
func (k AdapterKey) String() string { return k.Model + "/" + string(k.Adapter) }

// Request is what the decisions need to know of a caller's request.
type Request struct {
	// ID is that of the caller's attempt; callers use a new one for each.
	ID       ids.RequestID
	Route    *Route
	Service  *Service
	Customer *Customer
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter ids.AdapterID
	// PromptTokens and MaxOutputTokens are the caller's counts.
	PromptTokens, MaxOutputTokens int64
	Cost                          int64
	Urgency                       int
	Arrived                       time.Time
	// Deadline is the end of the caller's and the route's time limits.
	Deadline time.Time
	// ResumeAfter is the id of the last event that the caller holds.
	ResumeAfter string
}

// AdapterKey returns the adapter that the request asks for.
func (r *Request) AdapterKey() AdapterKey {
	return AdapterKey{Model: r.Model, Adapter: r.Adapter}
}
