package idempotency

// SwitchOffCoverage makes a home grant keys that its memory does not cover.
func (h *Home) SwitchOffCoverage() { h.rules.coverage = false }

// SwitchOffConfirmation makes two grants suffice whether or not the VM list is
// confirmed.
func (c *Claimer) SwitchOffConfirmation() { c.rules.allWhenUnconfirmed = false }
