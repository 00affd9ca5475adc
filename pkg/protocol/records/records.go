// Package records defines the configuration records that operators publish:
// their kinds, schema versions, decoding, validation and upgrade to the
// newest form.
package records

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Kind names a kind of record.
type Kind string

// The kinds of records.
const (
	KindDataCentre  Kind = "dataCentre"
	KindCustomer    Kind = "customer"
	KindKey         Kind = "key"
	KindAdapter     Kind = "adapter"
	KindRoute       Kind = "route"
	KindEndpoint    Kind = "endpoint"
	KindWeightStore Kind = "weightStore"
)

// Record is one decoded and valid record in its newest form. Exactly the
// field that belongs to Kind is set.
type Record struct {
	Kind Kind
	ID   string
	// Schema is the schema version in which the record was published.
	Schema int

	DataCentre  *DataCentre
	Customer    *Customer
	Key         *Key
	Adapter     *Adapter
	Route       *Route
	Endpoint    *Endpoint
	WeightStore *WeightStore
}

// DataCentre describes a data centre.
type DataCentre struct {
	Region string `json:"region"`
	// Seats is the largest number of entry VMs that ever run at once in the
	// data centre, replacements that overlap included.
	Seats int `json:"seats"`
	// Weight is the data centre's part of every customer's rate, relative to
	// the other data centres. Zero stands for 1.
	Weight float64 `json:"weight,omitempty"`
}

// Customer describes a customer's limits, in the newest schema.
type Customer struct {
	TokensPerSecond float64 `json:"tokensPerSecond"`
	BurstTokens     float64 `json:"burstTokens"`
	// DataCentreWeights overrides the weights of the data centre records.
	DataCentreWeights map[ids.DataCentreID]float64 `json:"dataCentreWeights,omitempty"`
	// Weight is the customer's weight in fair queues. Zero stands for 1.
	Weight float64 `json:"weight,omitempty"`
}

// Key describes a caller's key by its hash.
type Key struct {
	Customer ids.CustomerID `json:"customer"`
	// SHA256 is the hash of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// VersionState tells whether an adapter version may be requested.
type VersionState string

// The states of an adapter version.
const (
	VersionActive    VersionState = "active"
	VersionWithdrawn VersionState = "withdrawn"
)

// Version describes one version of an adapter.
type Version struct {
	Version ids.AdapterVersion `json:"version"`
	State   VersionState       `json:"state"`
	// Source is the path that an engine is told to load the version from.
	Source string `json:"source"`
}

// Adapter describes a LoRA adapter.
type Adapter struct {
	BaseModel      string             `json:"baseModel"`
	Versions       []Version          `json:"versions"`
	DefaultVersion ids.AdapterVersion `json:"defaultVersion"`
}

// EndpointKind tells what an endpoint is.
type EndpointKind string

// The kinds of endpoints.
const (
	EndpointModel   EndpointKind = "model"
	EndpointService EndpointKind = "service"
)

// Policy selects what placement favours on a route.
type Policy string

// The policies of a route.
const (
	// PolicyLatency favours few load stalls and the worst-served customer.
	PolicyLatency Policy = "latency"
	// PolicyThroughput favours full batches and few refusals.
	PolicyThroughput Policy = "throughput"
)

// Route describes how requests of one path prefix are served.
type Route struct {
	Kind       EndpointKind `json:"kind"`
	PathPrefix string       `json:"pathPrefix"`
	// Service names the plain service that serves a route of kind service.
	Service string `json:"service,omitempty"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// IdempotentMethods lists the HTTP methods that may be repeated.
	IdempotentMethods []string `json:"idempotentMethods,omitempty"`
	// RepeatWindowSeconds is how long an idempotency key is remembered. Zero
	// stands for 600.
	RepeatWindowSeconds int `json:"repeatWindowSeconds,omitempty"`
	// Region is the region whose VMs remember idempotency keys.
	Region        string `json:"region,omitempty"`
	TimeoutMillis int    `json:"timeoutMillis,omitempty"`
	Policy        Policy `json:"policy,omitempty"`
}

// EndpointState tells whether an endpoint takes new work.
type EndpointState string

// The states of an endpoint.
const (
	EndpointServing EndpointState = "serving"
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint describes a model engine or one instance of a plain service.
type Endpoint struct {
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Kind       EndpointKind     `json:"kind"`
	// Address is the IP number and port of the endpoint.
	Address   string `json:"address"`
	BaseModel string `json:"baseModel,omitempty"`
	Service   string `json:"service,omitempty"`
	// Slots is the number of adapters that the engine holds at once.
	Slots int `json:"slots,omitempty"`
	// MaxBatch is the number of requests that the engine runs at once.
	MaxBatch int `json:"maxBatch,omitempty"`
	// Fencing tells that the endpoint refuses orders with an old fencing token.
	Fencing bool          `json:"fencing,omitempty"`
	State   EndpointState `json:"state"`
}

// WeightStore describes the limits of the store that engines load from.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// MaxInFlight is the largest number of loads in flight over all engines.
	MaxInFlight int `json:"maxInFlight"`
}
