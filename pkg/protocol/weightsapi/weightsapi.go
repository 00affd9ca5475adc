// Package weightsapi defines the HTTP paths and bodies of the weight store,
// from which engines load adapters. Only engines call it: a VM passes the path
// of an adapter version on to the engine and does not call the store itself.
package weightsapi

import (
	"fmt"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// PathAdapters is the common path prefix of all adapter versions.
const PathAdapters = "/v1/adapters/"

// AdapterPath returns the path of an adapter version. Adapter records hold it
// as the source of the version.
func AdapterPath(ref ids.AdapterRef) string {
	return fmt.Sprintf("%s%s/%d", PathAdapters, ref.Adapter, ref.Version)
}

// Weights is the response to GET of an adapter version.
type Weights struct {
	Adapter ids.AdapterID      `json:"adapter"`
	Version ids.AdapterVersion `json:"version"`
	// Digest is a digest of the weights, in place of the weights themselves.
	Digest string `json:"digest"`
}
