// Package records defines the configuration records that operators publish. It
// holds their kinds and specs and decodes and validates published JSON,
// upgrading records of older schema versions to the newest one. The catalog and
// the wagtailctl commands call it.
package records

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Kind is the kind of a record. It is the first part of the record's key.
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

// Record is a decoded and valid record, upgraded to the newest schema version.
// Of the pointers, only the one that belongs to Kind is set.
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

// DataCentre is the spec of a data centre.
type DataCentre struct {
	Region string `json:"region"`
	// Seats is the largest number of entry VMs that run in the data centre at
	// the same time, including replacements that overlap with the VMs they
	// replace.
	Seats int `json:"seats"`
	// Weight is the data centre's share of every customer's rate, relative to
	// the weights of the other data centres. Zero means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Customer is the spec of a customer: its limits, in the newest schema version.
type Customer struct {
	TokensPerSecond float64 `json:"tokensPerSecond"`
	BurstTokens     float64 `json:"burstTokens"`
	// DataCentreWeights replaces the weights of the data centre records for
	// this customer.
	DataCentreWeights map[ids.DataCentreID]float64 `json:"dataCentreWeights,omitempty"`
	// Weight is the customer's weight in fair queues. Zero means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Key is the spec of a caller's API key, which is published as a hash.
type Key struct {
	Customer ids.CustomerID `json:"customer"`
	// SHA256 is the hash of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// VersionState says whether an adapter version may be requested.
type VersionState string

// The states of an adapter version.
const (
	VersionActive    VersionState = "active"
	VersionWithdrawn VersionState = "withdrawn"
)

// Version is one version of an adapter.
type Version struct {
	Version ids.AdapterVersion `json:"version"`
	State   VersionState       `json:"state"`
	// Source is the path from which an engine is told to load the version.
	Source string `json:"source"`
}

// Adapter is the spec of a LoRA adapter.
type Adapter struct {
	BaseModel      string             `json:"baseModel"`
	Versions       []Version          `json:"versions"`
	DefaultVersion ids.AdapterVersion `json:"defaultVersion"`
}

// EndpointKind is the kind of an endpoint, or of the endpoints that serve a
// route.
type EndpointKind string

// The kinds of endpoints.
const (
	// EndpointModel is an engine that runs a base model and its adapters.
	EndpointModel EndpointKind = "model"
	// EndpointService is an instance of a plain service.
	EndpointService EndpointKind = "service"
)

// Policy selects what placement optimises for the requests of a route.
type Policy string

// The policies of a route.
const (
	// PolicyLatency optimises for few requests that wait for an adapter load
	// and for the customer that is served worst.
	PolicyLatency Policy = "latency"
	// PolicyThroughput optimises for full batches and few refused requests.
	PolicyThroughput Policy = "throughput"
)

// Route is the spec of a route: how requests with one path prefix are served.
type Route struct {
	Kind       EndpointKind `json:"kind"`
	PathPrefix string       `json:"pathPrefix"`
	// Service is the plain service that serves a route of kind service.
	Service string `json:"service,omitempty"`
	// Open routes accept requests without an API key.
	Open bool `json:"open,omitempty"`
	// IdempotentMethods lists the HTTP methods whose requests may be sent
	// again.
	IdempotentMethods []string `json:"idempotentMethods,omitempty"`
	// RepeatWindowSeconds is how long an idempotency key is remembered. Zero
	// means 600.
	RepeatWindowSeconds int `json:"repeatWindowSeconds,omitempty"`
	// Region is the region whose VMs remember the idempotency keys.
	Region string `json:"region,omitempty"`
	// TimeoutMillis bounds a request. Zero means 30,000.
	TimeoutMillis int `json:"timeoutMillis,omitempty"`
	// Policy defaults to PolicyLatency.
	Policy Policy `json:"policy,omitempty"`
}

// EndpointState says whether an endpoint accepts new work.
type EndpointState string

// The states of an endpoint.
const (
	EndpointServing EndpointState = "serving"
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint is the spec of a model engine or of one instance of a plain service.
type Endpoint struct {
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Kind       EndpointKind     `json:"kind"`
	// Address is the IP address and port of the endpoint.
	Address   string `json:"address"`
	BaseModel string `json:"baseModel,omitempty"`
	Service   string `json:"service,omitempty"`
	// Slots is the number of adapters that the engine can hold at the same
	// time.
	Slots int `json:"slots,omitempty"`
	// MaxBatch is the number of requests that the engine can run at the same
	// time.
	MaxBatch int `json:"maxBatch,omitempty"`
	// Fencing says that the endpoint rejects load and unload orders with an
	// outdated fencing token.
	Fencing bool          `json:"fencing,omitempty"`
	State   EndpointState `json:"state"`
}

// WeightStore is the spec of the store that engines load weights from: its
// limits.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// MaxInFlight bounds the loads in flight over all engines.
	MaxInFlight int `json:"maxInFlight"`
}
