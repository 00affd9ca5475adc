package limits

import (
	"cmp"
	"slices"
	"time"
)

// Grant is one admission, net of its refund, at the time of the admission.
type Grant struct {
	At     time.Duration
	Tokens int64
}

// Limit is the limit in force from a time on: the largest rate and burst on any
// VM.
type Limit struct {
	From        time.Duration
	Rate, Burst int64
}

// Excess returns by how many tokens the grants of the worst window exceed
// burst + rate*T, or 0. The burst of a window is the largest one in force in
// it. The check is exact: it considers every window between two grants, in
// integers of token-nanoseconds, and needs one pass for each distinct burst.
// Limits must be ordered by time and begin at 0.
func Excess(grants []Grant, limits []Limit) float64 {
	ordered := slices.Clone(grants)
	slices.SortStableFunc(ordered, func(a, b Grant) int { return cmp.Compare(a.At, b.At) })
	worst := int64(0)
	for _, burst := range distinctBursts(limits) {
		worst = max(worst, worstWindow(ordered, limits, burst))
	}
	return float64(worst) / float64(time.Second)
}

func distinctBursts(limits []Limit) []int64 {
	var bursts []int64
	for _, l := range limits {
		if !slices.Contains(bursts, l.Burst) {
			bursts = append(bursts, l.Burst)
		}
	}
	return bursts
}

// worstWindow considers the windows in which no burst above the given one is in
// force. Let P be the tokens granted before a grant and A what the rate earned
// until it. A window from grant i to grant j exceeds by
// (P_j + tokens_j - A_j) - (P_i - A_i) - burst, so the smallest P_i - A_i so far
// decides.
func worstWindow(grants []Grant, limits []Limit, burst int64) int64 {
	worst, granted, earned := int64(0), int64(0), int64(0)
	least, open := int64(0), false
	at, limit := time.Duration(0), 0
	for _, g := range grants {
		for limit+1 < len(limits) && limits[limit+1].From <= g.At {
			earned += limits[limit].Rate * int64(limits[limit+1].From-at)
			at = limits[limit+1].From
			limit++
			if limits[limit].Burst > burst {
				open = false
			}
		}
		earned += limits[limit].Rate * int64(g.At-at)
		at = g.At
		balance := granted*int64(time.Second) - earned
		granted += g.Tokens
		if limits[limit].Burst > burst {
			continue
		}
		if !open || balance < least {
			least, open = balance, true
		}
		worst = max(worst, granted*int64(time.Second)-earned-least-burst*int64(time.Second))
	}
	return worst
}
