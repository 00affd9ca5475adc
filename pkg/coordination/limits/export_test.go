package limits

import "time"

// Rules lets external tests switch single rules off.
type Rules = safetyRules

// AllRules returns the rules that are in force in production.
func AllRules() Rules { return allRules() }

// RulesWith returns all rules after a change.
func RulesWith(change func(r *Rules)) Rules {
	r := allRules()
	change(&r)
	return r
}

// Sets of rules with one rule switched off.
var (
	WithoutLenderDeduction = RulesWith(func(r *Rules) { r.deductWhenLending = false })
	WithLateReplies        = RulesWith(func(r *Rules) { r.dropLateReplies = false })
	WithRepeatedReplies    = RulesWith(func(r *Rules) { r.dropRepeatedReplies = false })
	WithFullCap            = RulesWith(func(r *Rules) { r.lowerCapForTransfers = false })
	WithFullStart          = RulesWith(func(r *Rules) { r.startEmpty = false })
	WithUnlimitedRefunds   = RulesWith(func(r *Rules) { r.limitRefunds = false })
	WithImmediateRaise     = RulesWith(func(r *Rules) { r.raiseAfterAcks = false })
)

// NewWithRules returns a constructor of Tables with the given rules.
func NewWithRules(r Rules) func(Config, VM, time.Time) *Table {
	return func(cfg Config, self VM, start time.Time) *Table {
		return newTable(cfg, self, start, r)
	}
}
