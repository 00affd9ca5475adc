// Package ids defines the identifier types that all layers share.
package ids

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// VMID names one entry VM. A replacement VM has a new id.
	VMID string
	// BootID names one run of a process; it changes on every restart.
	BootID string
	// DataCentreID names a data centre.
	DataCentreID string
	// CustomerID names a customer.
	CustomerID string
	// EndpointID names an endpoint: a model engine or a plain service.
	EndpointID string
	// AdapterID names a LoRA adapter.
	AdapterID string
	// AdapterVersion numbers the versions of one adapter, from 1.
	AdapterVersion uint64
	// RouteID names a route.
	RouteID string
	// RequestID names one request of a caller.
	RequestID string
	// Revision orders the changes of the configuration service.
	Revision uint64
	// Fence is the fencing token that an order to an endpoint carries. It is
	// the revision of the VM list under which the order was decided.
	Fence uint64
)

// AdapterRef names one version of one adapter.
type AdapterRef struct {
	Adapter AdapterID      `json:"adapter"`
	Version AdapterVersion `json:"version"`
}

// versionSeparator stands between adapter and version in a model name.
const versionSeparator = "@"

// String returns the model name under which engines know the adapter version.
func (r AdapterRef) String() string {
	return string(r.Adapter) + versionSeparator + strconv.FormatUint(uint64(r.Version), 10)
}

// ParseAdapterRef reads a model name as written by AdapterRef.String.
func ParseAdapterRef(model string) (AdapterRef, error) {
	name, version, found := strings.Cut(model, versionSeparator)
	if !found || name == "" {
		return AdapterRef{}, fmt.Errorf("model name %q is not of the form adapter%sversion", model, versionSeparator)
	}
	number, err := strconv.ParseUint(version, 10, 64)
	if err != nil || number == 0 {
		return AdapterRef{}, fmt.Errorf("model name %q has no valid version", model)
	}
	return AdapterRef{Adapter: AdapterID(name), Version: AdapterVersion(number)}, nil
}
