// Package peer defines the JSON-RPC methods and messages between VMs.
package peer
