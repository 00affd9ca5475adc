package peer

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// MethodEndpointReports tells VMs that wait for an adapter where it is now
// resident, without waiting for the next heartbeat.
const MethodEndpointReports = "endpoints.reports"

// EndpointReport is what the owner of an endpoint knows of it. Heartbeats
// carry those that changed. Field names are short because reports are a large
// part of the control traffic.
type EndpointReport struct {
	Endpoint ids.EndpointID `json:"e"`
	// Boot is the run of the endpoint and Sequence orders its reports.
	Boot     ids.BootID `json:"b"`
	Sequence uint64     `json:"s"`
	// Resident lists models as written by ids.AdapterRef.String.
	Resident []string `json:"m,omitempty"`
	Running  int      `json:"r,omitempty"`
	Waiting  int      `json:"w,omitempty"`
	// Unreachable tells that the endpoint does not answer its owner.
	Unreachable bool `json:"u,omitempty"`
}

// EndpointReports is the body of endpoints.reports and the endpoints part of
// a heartbeat.
type EndpointReports struct {
	Reports []EndpointReport `json:"p,omitempty"`
}

// EndpointReportsAck answers endpoints.reports.
type EndpointReportsAck struct{}
