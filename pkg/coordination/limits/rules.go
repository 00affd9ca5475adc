package limits

// rules lets tests switch off one rule at a time, to show that the window
// checker finds the violation that the rule prevents.
type rules struct {
	lenderDeducts bool
	dropLate      bool
	dropRepeats   bool
	lowerCap      bool
	emptyStart    bool
	clipRefund    bool
	raiseAfterAck bool
}

func allRules() rules {
	return rules{
		lenderDeducts: true,
		dropLate:      true,
		dropRepeats:   true,
		lowerCap:      true,
		emptyStart:    true,
		clipRefund:    true,
		raiseAfterAck: true,
	}
}
