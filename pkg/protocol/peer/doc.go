// Package peer defines the JSON-RPC methods between VMs and the messages that
// they carry. Most messages name their sender and the sender's boot id, by
// which a receiver recognises that a VM has restarted.
package peer
