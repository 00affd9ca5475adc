package idempotency

// SwitchOffCoverage lets a home grant keys that its memory does not cover.
func (h *Home) SwitchOffCoverage() { h.rules.coverage = false }

// SwitchOffConfirmation lets two homes suffice whatever the list's age.
func (c *Claimer) SwitchOffConfirmation() { c.rules.allWhenUnconfirmed = false }
