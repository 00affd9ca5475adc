package relay

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// DisableBootstrap lets a starting VM use the platform's view at once,
// without asking its peers.
func (r *Relay) DisableBootstrap() { r.rules.bootstrapFromPeers = false }

// DisablePullsAndFallbackReads stops pulls from peers, and platform reads by
// VMs that are not watchers.
func (r *Relay) DisablePullsAndFallbackReads() { r.rules.pull, r.rules.fallbackRead = false, false }

// InitiatesHeartbeats reports whether this VM sends the heartbeats on its
// link to a peer.
func (r *Relay) InitiatesHeartbeats(to ids.VMID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, linked := r.links[to]
	return linked && l.initiates
}
