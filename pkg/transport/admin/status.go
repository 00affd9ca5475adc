package admin

import (
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// PathStatus and the other paths are served on the admin port of a VM.
const (
	PathHealthz = "/healthz"
	PathReadyz  = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/status"
	PathDrain   = "/drain"
)

// Status is the body of GET /status.
type Status struct {
	VM         ids.VMID         `json:"vm"`
	Boot       ids.BootID       `json:"boot"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Region     string           `json:"region"`
	Version    string           `json:"version"`
	UptimeMS   int64            `json:"uptimeMillis"`
	Ready      bool             `json:"ready"`
	// NotReady tells why the VM is not ready; empty when it is.
	NotReady string `json:"notReady,omitempty"`

	Drain     Drain            `json:"drain"`
	Catalog   CatalogStatus    `json:"catalog"`
	List      ListStatus       `json:"list"`
	Customers []CustomerStatus `json:"customers"`
	Endpoints []EndpointStatus `json:"endpoints"`
	Peers     []PeerStatus     `json:"peers"`
	Queues    []QueueStatus    `json:"queues"`
	Requests  RequestStatus    `json:"requests"`
}

// DrainState tells how far a graceful shutdown has come.
type DrainState string

// The states of a drain.
const (
	DrainNone     DrainState = "serving"
	DrainPending  DrainState = "draining"
	DrainFinished DrainState = "drained"
)

// Drain describes a graceful shutdown.
type Drain struct {
	State DrainState `json:"state"`
	// WaitingFor lists what must still end before the VM may stop.
	WaitingFor []string `json:"waitingFor,omitempty"`
	SinceMS    int64    `json:"sinceMillis,omitempty"`
}

// CatalogStatus describes the applied records.
type CatalogStatus struct {
	Revision ids.Revision `json:"revision"`
	// AgeMillis is the time since the revision was last confirmed, by the
	// platform or by a peer; -1 before the first confirmation.
	AgeMillis int64 `json:"ageMillis"`
	Records   int   `json:"records"`
	Watching  bool  `json:"watching"`
	// Refused lists records that were refused with their reasons.
	Refused []string `json:"refused,omitempty"`
}

// ListStatus describes the VM list in force.
type ListStatus struct {
	Revision  ids.Revision `json:"revision"`
	AgeMillis int64        `json:"ageMillis"`
	VMs       int          `json:"vms"`
}

// CustomerStatus describes the token bucket of one customer on this VM.
type CustomerStatus struct {
	Customer ids.CustomerID `json:"customer"`
	Level    float64        `json:"level"`
	Cap      float64        `json:"cap"`
	Rate     float64        `json:"rate"`
	// WaitingFor tells which VMs still have to acknowledge a raised share.
	WaitingFor []string `json:"waitingFor,omitempty"`
}

// EndpointStatus describes one endpoint as this VM sees it.
type EndpointStatus struct {
	Endpoint   ids.EndpointID   `json:"endpoint"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Kind       string           `json:"kind"`
	State      string           `json:"state"`
	Reachable  bool             `json:"reachable"`
	Owner      ids.VMID         `json:"owner"`
	Owned      bool             `json:"owned"`
	Fence      ids.FencingToken `json:"fence,omitempty"`
	// MayOrder tells whether this VM may order now; NoOrder tells why not.
	MayOrder bool   `json:"mayOrder"`
	NoOrder  string `json:"noOrder,omitempty"`
	// Boot is the run of the endpoint that the last load report named.
	Boot     ids.BootID  `json:"boot,omitempty"`
	Resident []string    `json:"resident,omitempty"`
	Running  int         `json:"running"`
	Waiting  int         `json:"waiting"`
	Pins     []PinStatus `json:"pins,omitempty"`
}

// PinStatus describes one pin that this VM holds or granted.
type PinStatus struct {
	Model           string   `json:"model"`
	Holder          ids.VMID `json:"holder"`
	RemainingMillis int64    `json:"remainingMillis"`
}

// PeerStatus describes one peer.
type PeerStatus struct {
	VM         ids.VMID         `json:"vm"`
	Boot       ids.BootID       `json:"boot,omitempty"`
	DataCentre ids.DataCentreID `json:"dataCentre"`
	Reachable  bool             `json:"reachable"`
	Revision   ids.Revision     `json:"revision"`
	// AgeMillis is the time since the peer was last heard; -1 for never.
	AgeMillis int64 `json:"ageMillis"`
	BytesIn   int64 `json:"bytesIn"`
	BytesOut  int64 `json:"bytesOut"`
}

// QueueStatus describes the queue of one adapter version.
type QueueStatus struct {
	Model  string `json:"model"`
	Length int    `json:"length"`
}

// RequestStatus counts the requests of callers that are open on this VM.
type RequestStatus struct {
	Queued    int `json:"queued"`
	Committed int `json:"committed"`
	// FailedAttempts counts attempts that failed since the start, by cause.
	FailedAttempts map[string]int64 `json:"failedAttempts,omitempty"`
}
