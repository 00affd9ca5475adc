// Package ids defines the identifier types that all packages share.
package ids

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// VMID identifies an entry VM. A replacement VM has a new id.
	VMID string
	// BootID identifies one run of a process. It changes at every restart.
	BootID string
	// DataCentreID identifies a data centre.
	DataCentreID string
	// CustomerID identifies a customer.
	CustomerID string
	// EndpointID identifies an endpoint: a model engine or an instance of a
	// plain service.
	EndpointID string
	// AdapterID identifies a LoRA adapter.
	AdapterID string
	// AdapterVersion numbers the versions of one adapter, from 1.
	AdapterVersion uint64
	// RouteID identifies a route.
	RouteID string
	// PromptPartID identifies a part of a prompt that several requests may share.
	PromptPartID string
	// RequestID identifies one request of a caller.
	RequestID string
	// Revision orders the changes of the configuration service or of the
	// platform's store. VM lists have a separate sequence.
	Revision uint64
	// Era counts how often the platform's store has come back from a copy. A
	// revision orders changes only within one era.
	Era uint64
	// FencingToken orders the owners of an endpoint. An order to an endpoint
	// carries it, and an endpoint that supports fencing rejects orders with a
	// lower token than it has seen. Package ownership uses the revision of the
	// VM list under which the order was decided; package authority derives a
	// token from the clock.
	FencingToken uint64
)

// AdapterRef identifies one version of an adapter.
type AdapterRef struct {
	Adapter AdapterID      `json:"adapter"`
	Version AdapterVersion `json:"version"`
}

// versionSeparator separates adapter and version in a model name.
const versionSeparator = "@"

// String returns the model name by which engines know the adapter version, in
// the form adapter@version.
func (r AdapterRef) String() string {
	return string(r.Adapter) + versionSeparator + strconv.FormatUint(uint64(r.Version), 10)
}

// ParseAdapterRef parses a model name in the form of AdapterRef.String.
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
