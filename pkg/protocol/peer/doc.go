// Package peer defines the JSON-RPC methods between VMs and the messages that
// they carry. Each message names its sender and the sender's boot, so that a
// receiver can tell a restarted VM from the one it knew.
package peer
