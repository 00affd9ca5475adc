package admin

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// URL paths that the admin port of a VM serves.
const (
	PathHealthz = "/healthz"
	PathReadyz  = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/status"
	PathDrain   = "/drain"
)

// Status is the body of GET /status.
type Status struct {
	VM           ids.VMID         `json:"vm"`
	Boot         ids.BootID       `json:"boot"`
	DataCentre   ids.DataCentreID `json:"dataCentre"`
	Region       string           `json:"region"`
	Version      string           `json:"version"`
	UptimeMillis int64            `json:"uptimeMillis"`
	Ready        bool             `json:"ready"`
	// NotReadyReason is why the VM is not ready; empty if it is ready.
	NotReadyReason string `json:"notReady,omitempty"`

	Drain     Drain            `json:"drain"`
	Catalog   CatalogStatus    `json:"catalog"`
	VMList    VMListStatus     `json:"list"`
	Customers []CustomerStatus `json:"customers"`
	Endpoints []EndpointStatus `json:"endpoints"`
	Peers     []PeerStatus     `json:"peers"`
	Queues    []QueueStatus    `json:"queues"`
	Requests  RequestStatus    `json:"requests"`
}

// DrainState is the phase of a graceful shutdown.
type DrainState string

const (
	// DrainNone means that no drain was started.
	DrainNone DrainState = "serving"
	// DrainInProgress means that the VM refuses new requests and waits for the
	// open ones.
	DrainInProgress DrainState = "draining"
	// DrainFinished means that no request is open any more.
	DrainFinished DrainState = "drained"
)

// Drain describes the progress of a graceful shutdown.
type Drain struct {
	State DrainState `json:"state"`
	// WaitingFor lists what must still end before the VM may stop.
	WaitingFor []string `json:"waitingFor,omitempty"`
	// ElapsedMillis is the time since the drain started.
	ElapsedMillis int64 `json:"sinceMillis,omitempty"`
}

// CatalogStatus describes the configuration records that this VM has applied.
type CatalogStatus struct {
	Revision ids.Revision `json:"revision"`
	// AgeMillis is the time since the revision was last confirmed, by the
	// platform or by a peer; -1 before the first confirmation.
	AgeMillis int64 `json:"ageMillis"`
	Records   int   `json:"records"`
	// Watching reports whether this VM watches the platform for changes.
	Watching bool `json:"watching"`
	// RefusedRecords lists the records that this VM rejected, as "key: reason".
	RefusedRecords []string `json:"refused,omitempty"`
}

// VMListStatus describes the VM list that this VM currently uses.
type VMListStatus struct {
	Revision ids.Revision `json:"revision"`
	// AgeMillis is the time since the list was last confirmed; -1 before the
	// first confirmation.
	AgeMillis int64 `json:"ageMillis"`
	VMs       int   `json:"vms"`
}

// CustomerStatus describes this VM's token bucket for one customer.
type CustomerStatus struct {
	Customer ids.CustomerID `json:"customer"`
	// Level is the number of tokens in the bucket.
	Level float64 `json:"level"`
	// Cap is the capacity of the bucket in tokens.
	Cap float64 `json:"cap"`
	// Rate is the refill rate in tokens per second.
	Rate float64 `json:"rate"`
	// WaitingFor lists the VMs that have not yet acknowledged an increase of
	// this VM's share.
	WaitingFor []string `json:"waitingFor,omitempty"`
}

// EndpointStatus describes one endpoint as this VM sees it.
type EndpointStatus struct {
	Endpoint   ids.EndpointID   `json:"endpoint"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Kind       string           `json:"kind"`
	State      string           `json:"state"`
	Reachable  bool             `json:"reachable"`
	// Owner is the VM that owns the endpoint; Owned reports whether this VM
	// does.
	Owner ids.VMID `json:"owner"`
	Owned bool     `json:"owned"`
	// Fence is this VM's fencing token, if it owns the endpoint.
	Fence ids.FencingToken `json:"fence,omitempty"`
	// MayIssueOrders reports whether this VM may currently order the endpoint
	// to load or evict adapters.
	MayIssueOrders bool `json:"mayOrder"`
	// NoOrdersReason is why an owner may not issue orders yet.
	NoOrdersReason string `json:"noOrder,omitempty"`
	// Boot identifies the run of the endpoint's process, from its last load
	// report.
	Boot ids.BootID `json:"boot,omitempty"`
	// Resident lists the adapters in the endpoint's memory.
	Resident []string `json:"resident,omitempty"`
	// Running and Waiting count the requests at the endpoint.
	Running int         `json:"running"`
	Waiting int         `json:"waiting"`
	Pins    []PinStatus `json:"pins,omitempty"`
}

// PinStatus describes one pin that this VM holds or granted. A pin keeps an
// adapter from being evicted from its endpoint until it expires.
type PinStatus struct {
	Model           string   `json:"model"`
	Holder          ids.VMID `json:"holder"`
	RemainingMillis int64    `json:"remainingMillis"`
}

// PeerStatus describes one peer VM as this VM sees it.
type PeerStatus struct {
	VM         ids.VMID         `json:"vm"`
	Boot       ids.BootID       `json:"boot,omitempty"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Reachable  bool             `json:"reachable"`
	// Revision is the revision of the records that the peer last reported.
	Revision ids.Revision `json:"revision"`
	// AgeMillis is the time since the last state received from the peer; -1
	// if none was received.
	AgeMillis int64 `json:"ageMillis"`
	// BytesIn and BytesOut count the bytes on connections that this VM opened
	// to the peer.
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
}

// QueueStatus describes the requests that wait for one adapter version.
type QueueStatus struct {
	Model  string `json:"model"`
	Length int    `json:"length"`
}

// RequestStatus counts the open requests of callers on this VM.
type RequestStatus struct {
	Queued int `json:"queued"`
	// InFlight counts the requests that are assigned to an endpoint and in
	// flight there.
	InFlight int `json:"committed"`
	// FailedAttempts counts the failed attempts since the VM started, by
	// cause.
	FailedAttempts map[string]int64 `json:"failedAttempts,omitempty"`
}
