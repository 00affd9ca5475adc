package relay

// SwitchOffBootstrap lets a starting VM take the platform's view at once.
func (r *Relay) SwitchOffBootstrap() { r.rules.bootstrapFromPeers = false }

// SwitchOffRelaying stops pulls from peers and reads of quiet VMs.
func (r *Relay) SwitchOffRelaying() { r.rules.pull, r.rules.quietRead = false, false }
