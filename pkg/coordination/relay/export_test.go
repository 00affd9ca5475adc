package relay

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// SwitchOffBootstrap lets a starting VM take the platform's view at once.
func (r *Relay) SwitchOffBootstrap() { r.rules.bootstrapFromPeers = false }

// SwitchOffRelaying stops pulls from peers and reads of quiet VMs.
func (r *Relay) SwitchOffRelaying() { r.rules.pull, r.rules.quietRead = false, false }

// Calls tells whether the VM sends the heartbeats of its link to a peer.
func (r *Relay) Calls(to ids.VMID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, linked := r.links[to]
	return linked && l.calls
}
