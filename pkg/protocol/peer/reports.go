package peer

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// MethodEndpointReports tells VMs that wait for an adapter where it has become
// resident, without waiting for the next heartbeat.
const MethodEndpointReports = "endpoints.reports"

// EndpointReport is what the owner of an endpoint knows about it. Heartbeats
// carry the reports that changed. The names on the wire are short because
// reports are a large part of the control traffic.
type EndpointReport struct {
	Endpoint ids.EndpointID `json:"e"`
	// Boot is the boot id of the endpoint. Sequence orders the reports of one
	// boot.
	Boot     ids.BootID `json:"b"`
	Sequence uint64     `json:"s"`
	// Resident lists adapter versions in the form of ids.AdapterRef.String.
	Resident []string `json:"m,omitempty"`
	Running  int      `json:"r,omitempty"`
	Waiting  int      `json:"w,omitempty"`
	// Unreachable says that the endpoint does not answer its owner.
	Unreachable bool `json:"u,omitempty"`
}

// EndpointReports is the body of endpoints.reports and the Endpoints payload of
// a heartbeat.
type EndpointReports struct {
	Reports []EndpointReport `json:"p,omitempty"`
}

// EndpointReportsAck is the reply of endpoints.reports.
type EndpointReportsAck struct{}
