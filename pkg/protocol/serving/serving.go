// Package serving defines the callers' requests, the configuration that decides
// how a VM handles them, and the endpoints that answer them. Package node and
// the packages that it uses decide on these types; they are independent of any
// platform's wire format.
package serving

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Kind says whether a request may be run again.
type Kind int

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent, so they may be run again.
	Safe
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route allows a stream to resume.
	Streaming
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	}
	return "unsafe"
}

// Split sends a share of a route's requests to one service, in proportion to
// its weight.
type Split struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path prefix and says how to handle them.
type Route struct {
	ID         ids.RouteID
	Host       string
	PathPrefix string
	Kind       Kind
	// Splits has at least one entry.
	Splits []Split
	// Timeout bounds a request; 0 means no bound.
	Timeout time.Duration
	// Objective is the time within which a response, or the first event of a
	// stream, counts as on time.
	Objective time.Duration
	// PauseObjective is the longest pause between events at which a stream
	// counts as on time; 0 means no objective.
	PauseObjective time.Duration
	// Attempts is the number of endpoints to which one request may be sent.
	Attempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Open routes accept requests without an API key.
	Open bool
	// Resumable streams may continue at another endpoint.
	Resumable bool
}

// MayRepeat reports whether a request may run again after a run whose outcome
// is unknown.
func (r *Route) MayRepeat() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Customer is the owner of API keys and the unit of rate limiting.
type Customer struct {
	ID   ids.CustomerID
	Keys []string
	// Priority takes precedence over the priority of the route; nil if unset.
	Priority *int
	// CountTokens says that Rate and Burst count tokens; otherwise they count
	// requests.
	CountTokens bool
	// PlainTokens is the cost in tokens of a request that states no token
	// counts.
	PlainTokens int64
	// Rate is in tokens or requests a second; 0 means no limit.
	Rate float64
	// Burst is in tokens or requests.
	Burst float64
}

// Model is a base model that the engines of a service may hold.
type Model struct {
	Name string
	// WeightsMB is the size of the weights in megabytes.
	WeightsMB float64
	// LoadTime is how long an engine takes to load the weights from the weight
	// store.
	LoadTime time.Duration
	// AdapterMB is the size of one adapter in megabytes.
	AdapterMB float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Batch is the number of requests that an engine runs at the same time.
	Batch int
	// EventTokens is the number of tokens that one event of a stream holds; 0 if it is
	// not known.
	EventTokens int
	// KVTokens is the capacity of an engine's key-value cache, which holds the
	// tokens of prompts and answers.
	KVTokens int64
	// WeightsMB bounds the total size of base models and adapters on an engine,
	// in megabytes.
	WeightsMB float64
	// AdapterSlots bounds the number of adapters that an engine holds or loads.
	AdapterSlots int
	// LoadsPerSecond bounds the loads of base models from the weight store over
	// all engines; 0 means no bound.
	LoadsPerSecond float64
	Models         []Model
}

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections from all VMs to one endpoint; 0
	// means no bound.
	ConnectionLimit int
	// ColdStart is how long an endpoint stays cold after its start; 0 if endpoints of
	// this service are never cold. ColdRate is the number of requests a second that a
	// cold endpoint takes from all VMs together.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// CallerLimits bound the size of callers' requests and how long a caller may
// take to send one or stay idle.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []Route
	// Services holds the services by name.
	Services  map[string]*Service
	Limits    CallerLimits
	Customers []Customer
}

// HeldModel is a base model that an engine holds, with the adapters of it that
// the engine holds.
type HeldModel struct {
	Name     string
	Adapters []ids.AdapterRef
}

// Endpoint is an endpoint as it registered itself.
type Endpoint struct {
	ID         ids.EndpointID
	Service    string
	Address    string
	DataCentre ids.DataCentreID
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// Leaving says that the endpoint accepts no new requests.
	Leaving bool
	// Started is the start time of the endpoint's process in Unix milliseconds,
	// or 0 if unknown. It reveals a restart under the same id.
	Started int64
	// ColdFor is how much longer the endpoint stayed cold when it wrote its record; 0
	// if it was not cold.
	ColdFor time.Duration
}

// AdapterKey identifies an adapter of a base model.
type AdapterKey struct {
	Model   string
	Adapter ids.AdapterID
}

// String returns model and adapter, separated by a slash, for logs.
func (k AdapterKey) String() string { return k.Model + "/" + string(k.Adapter) }

// Request is what admission, queueing and endpoint selection need to know about
// a caller's request.
type Request struct {
	// ID identifies the attempt; a caller that tries again uses a new id.
	ID       ids.RequestID
	Route    *Route
	Service  *Service
	Customer *Customer
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter ids.AdapterID
	// SharedParts are the parts of the prompt that other requests may hold too.
	SharedParts []ids.PromptPartID
	// PromptTokens and MaxOutputTokens are the counts that the caller stated.
	PromptTokens, MaxOutputTokens int64
	Cost                          int64
	Urgency                       int
	Arrived                       time.Time
	// Deadline is the earlier of the caller's and the route's time limits.
	Deadline time.Time
	// ResumeAfter is the id of the last event that the caller received, if it
	// resumes a stream.
	ResumeAfter string
}

// AdapterKey returns the adapter that the request asks for.
func (r *Request) AdapterKey() AdapterKey {
	return AdapterKey{Model: r.Model, Adapter: r.Adapter}
}
