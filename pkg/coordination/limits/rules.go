package limits

// safetyRules lets tests switch off one rule at a time, to show that the window
// checker finds the violation that the rule prevents. In production every rule
// is on.
type safetyRules struct {
	deductWhenLending    bool
	dropLateReplies      bool
	dropRepeatedReplies  bool
	lowerCapForTransfers bool
	startEmpty           bool
	limitRefunds         bool
	raiseAfterAcks       bool
}

func allRules() safetyRules {
	return safetyRules{
		deductWhenLending:    true,
		dropLateReplies:      true,
		dropRepeatedReplies:  true,
		lowerCapForTransfers: true,
		startEmpty:           true,
		limitRefunds:         true,
		raiseAfterAcks:       true,
	}
}
