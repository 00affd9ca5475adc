package room

import "time"

// NextStart returns the number of slots that are free beyond the queued requests, and the
// time until a request that asks now could begin, behind them.
func (l *Ledger) NextStart(now time.Time) (free int, wait time.Duration) {
	l.removeExpired(now)
	request := Request{Arrived: now, FirstTokenDue: now.Add(time.Hour)}
	slots, _ := l.InUse(now)
	free = max(l.slots-max(slots, 0)-len(l.queue), 0)
	if len(l.queue) == 0 && l.fits(now, request) {
		return free, 0
	}
	prompts, tokens := 0.0, 0.0
	for _, q := range l.queue {
		prompts += l.cost(q.Request)
		tokens += l.needs(q.Request)
	}
	reading := l.meanPrefillTime * time.Duration(len(l.queue)+1) / time.Duration(l.prefillsAtOnce(now, request))
	if l.speed.known() {
		reading = fromMilliseconds(l.pace(now) * l.speed.perToken() * (l.unread(now) + prompts))
	}
	return free, max(l.untilRoom(now, request, len(l.queue), tokens), reading, time.Millisecond)
}
