// Package weightsapi defines the HTTP bodies of the weight store, from which
// engines read adapters. The system itself never calls it.
package weightsapi

import (
	"fmt"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// PathAdapters is the prefix of the path of an adapter version.
const PathAdapters = "/v1/adapters/"

// AdapterPath returns the path of an adapter version. It serves as the
// source of the version in an adapter record.
func AdapterPath(ref ids.AdapterRef) string {
	return fmt.Sprintf("%s%s/%d", PathAdapters, ref.Adapter, ref.Version)
}

// Weights is the answer to GET of an adapter version.
type Weights struct {
	Adapter ids.AdapterID      `json:"adapter"`
	Version ids.AdapterVersion `json:"version"`
	// Digest stands for the content of the weights.
	Digest string `json:"digest"`
}
