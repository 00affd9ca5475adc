package limits

import "time"

// Rules switches single rules off in tests.
type Rules = rules

// AllRules returns the rules as they are in force outside tests.
func AllRules() Rules { return allRules() }

// Off returns a copy of all rules after a change.
func Off(change func(r *Rules)) Rules {
	r := allRules()
	change(&r)
	return r
}

// Switches of single rules.
var (
	NoDeduct     = Off(func(r *Rules) { r.lenderDeducts = false })
	AcceptLate   = Off(func(r *Rules) { r.dropLate = false })
	AcceptRepeat = Off(func(r *Rules) { r.dropRepeats = false })
	FullCap      = Off(func(r *Rules) { r.lowerCap = false })
	FullStart    = Off(func(r *Rules) { r.emptyStart = false })
	WholeRefund  = Off(func(r *Rules) { r.clipRefund = false })
	RaiseAtOnce  = Off(func(r *Rules) { r.raiseAfterAck = false })
)

// NewWithRules returns a constructor of Tables with the given rules.
func NewWithRules(r Rules) func(Config, VM, time.Time) *Table {
	return func(cfg Config, self VM, start time.Time) *Table {
		return newTable(cfg, self, start, r)
	}
}
