package room

import "time"

// TokenReport is what an engine reports of its key-value cache.
type TokenReport struct {
	// Used is the number of tokens that cannot be evicted, and UsedStated is set if the
	// engine stated it.
	Used       int64
	UsedStated bool
	// Total is the number of tokens that the cache holds; 0 if it is not stated.
	Total int64
	// Next is the number of tokens of the first request that waits at the engine; 0 if
	// none waits.
	Next int64
	// Running is the number of requests that the engine runs.
	Running int
}

// maxStatedTokens bounds what an engine may state, so that sums stay exact.
const maxStatedTokens = 1 << 40

// engineTokens is what the last report of an engine shows about its tokens.
type engineTokens struct {
	// tokensAt is when the report arrived; zero if there is none or it states no tokens.
	tokensAt time.Time
	// surplus is the number of tokens that requests outside the ledger hold.
	surplus float64
	// statedTotal is the capacity that the engine stated; 0 if it did not.
	statedTotal int64
	// ended are the requests that ended lately and may still be in the next report.
	ended []endedRequest
	// blockedUntil is when the engine's own queue is no longer assumed to be blocked.
	blockedUntil time.Time
}

// endedRequest is a request that has left the ledger.
type endedRequest struct {
	at     time.Time
	tokens float64
}

// maxEnded bounds the ended requests that are kept, and maxReportTime how long a report
// takes to arrive.
const (
	maxEnded      = 64
	maxReportTime = time.Second
)

// keepEnded keeps the tokens of a request that ended until no report can contain them.
func (l *Ledger) keepEnded(endedAt time.Time, g *granted) {
	if g == nil || g.reading() {
		return
	}
	kept := l.ended[:0]
	for i, e := range l.ended {
		if endedAt.Sub(e.at) <= l.config.ReportLag+maxReportTime && len(l.ended)-i < maxEnded {
			kept = append(kept, e)
		}
	}
	l.ended = append(kept, endedRequest{at: endedAt, tokens: l.expectedTokens(g)})
}

// SetTokens records what an engine reported of its tokens. The report was asked for at
// the given time and has arrived now.
func (l *Ledger) SetTokens(asked, now time.Time, report TokenReport) {
	l.removeExpired(now)
	l.engineTokens = engineTokens{ended: l.ended}
	if report.Total > 0 && report.Total <= maxStatedTokens {
		l.statedTotal = report.Total
	}
	if !report.UsedStated || report.Used < 0 || report.Used > maxStatedTokens {
		return
	}
	l.tokensAt = now
	used, atLeast, atMost := float64(report.Used), 0.0, 0.0
	for _, g := range l.requests {
		least, most := l.heldTokens(asked, now, g)
		atLeast += least
		atMost += most
	}
	for _, e := range l.ended {
		if e.at.After(asked.Add(-l.config.ReportLag)) {
			atMost += e.tokens
		}
	}
	l.surplus = max(used-atMost, 0)
	for _, g := range l.requests {
		g.excess = 0
		if used < atLeast {
			least, _ := l.heldTokens(asked, now, g)
			g.excess = least * (1 - used/atLeast)
		}
	}
	total := l.statedTotal
	if total <= 0 {
		total = l.tokens
	}
	// Nothing that ends would unblock an engine that runs no request.
	if l.tokens > 0 && report.Running > 0 && report.Next > 0 && report.Next > total-report.Used {
		l.blockedUntil = now.Add(l.config.BlockTime)
	}
}

// heldTokens returns how many tokens an engine holds for a request, at least and at most,
// at the moment to which a report refers. Output that is still to come is not held.
func (l *Ledger) heldTokens(asked, now time.Time, g *granted) (atLeast, atMost float64) {
	if g.reading() {
		return 0, g.prompt
	}
	output := l.expectedOutput(g.outputTokens)
	perToken := l.speed.betweenEvents(l.eventSteps) / float64(l.eventSteps)
	if !l.speed.known() || perToken <= 0 {
		perToken = 0
	}
	made := func(ran time.Duration, pace, unknown float64) float64 {
		if perToken == 0 {
			return unknown
		}
		return min(milliseconds(ran)/(perToken*pace)+float64(l.eventSteps), output)
	}
	atMost = g.prompt + made(now.Sub(g.startedAt), min(l.pace(now), 1), output)
	if ran := asked.Add(-l.config.ReportLag).Sub(g.startedAt); ran >= 0 {
		atLeast = min(g.prompt+made(ran, max(l.slowestPace(now), 1), 0), atMost)
	}
	return atLeast, atMost
}

// tokenCapacity returns the number of tokens that the engine holds, the smaller one of
// those that are configured and stated; 0 means no bound.
func (l *Ledger) tokenCapacity() int64 {
	if l.statedTotal > 0 && l.tokens > 0 {
		return min(l.statedTotal, l.tokens)
	}
	return l.tokens
}

// blockedFor returns how long the engine's own queue is still assumed to be blocked.
func (l *Ledger) blockedFor(now time.Time) time.Duration {
	if l.tokens <= 0 {
		return 0
	}
	return max(l.blockedUntil.Sub(now), 0)
}

// knowsTokens reports whether the tokens of the last report are used.
func (l *Ledger) knowsTokens(now time.Time) bool {
	return !l.tokensAt.IsZero() && now.Sub(l.tokensAt) <= l.config.TokenAge
}

// excess returns the part of a request's tokens that the engine does not hold.
func (l *Ledger) excess(now time.Time, g *granted) float64 {
	if !l.knowsTokens(now) {
		return 0
	}
	return g.excess
}

// tokenCorrection returns the tokens in use beyond those of the requests in the ledger;
// it is negative if there are fewer.
func (l *Ledger) tokenCorrection(now time.Time) float64 {
	unknown := l.meanTokens * float64(l.uncounted(now))
	if !l.knowsTokens(now) {
		return unknown
	}
	excess := 0.0
	for _, g := range l.requests {
		excess += l.excess(now, g)
	}
	if unknown < 0 && l.surplus == 0 {
		// Both show the same requests, whose ends were lost.
		return min(unknown, -excess)
	}
	return max(unknown, l.surplus) - excess
}
