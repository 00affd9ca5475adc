package limits

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// seatRule tells by what a data centre's share is divided.
type seatRule struct {
	from int64
	// live is the number of listed VMs, or 0 for the seats of the policy.
	live int
	// idle means that this VM earns nothing yet.
	idle bool
}

// fraction returns the fraction of the customer's limit that a bucket uses.
func (r seatRule) fraction(b *bucket, dc ids.DataCentreID) float64 {
	if r.idle {
		return 0
	}
	seats := b.policy.DataCentres[dc].Seats
	if r.live == 0 || seats == 0 {
		return b.inForce
	}
	return b.inForce * float64(seats) / float64(r.live)
}

// maxSeatRules bounds the remembered changes. Time before the oldest one counts
// as idle, which is the safe side.
const maxSeatRules = 64

// seatLog remembers by what the share was divided, and since when, so that a
// bucket that is touched late accrues with the values that were in force.
type seatLog struct {
	mu      sync.RWMutex
	enabled bool
	lag     int64
	settle  int64
	rules   []seatRule
	counts  []seatCount
}

// seatCount is a list size and the last time at which it was seen.
type seatCount struct {
	live int
	last int64
}

func newSeatLog(cfg Config) *seatLog {
	l := &seatLog{enabled: cfg.UseUnusedSeats, lag: int64(cfg.ListLagBound), settle: int64(cfg.SettleTime())}
	if l.enabled {
		// Until SettleTime has passed, peers may divide by a list without
		// this VM.
		l.rules = []seatRule{{from: 0, idle: true}, {from: l.settle}}
	}
	return l
}

// observe takes a list of the own data centre with the time of its
// confirmation.
func (l *seatLog) observe(now, confirmed int64, live int) {
	if !l.enabled {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(now, live)
	until := confirmed + l.lag
	if until <= now || live == 0 {
		return
	}
	l.cut(now)
	l.append(seatRule{from: now, live: l.settled(now)})
	l.append(seatRule{from: until})
}

// count remembers a list size and forgets those not seen for SettleTime.
func (l *seatLog) count(now int64, live int) {
	kept := l.counts[:0]
	for _, c := range l.counts {
		if c.live != live && now-c.last < l.settle {
			kept = append(kept, c)
		}
	}
	l.counts = append(kept, seatCount{live: live, last: now})
}

// settled returns the largest list size of the last SettleTime, or 0 while the
// VM itself has run for less.
func (l *seatLog) settled(now int64) int {
	if now < l.settle {
		return 0
	}
	most := 0
	for _, c := range l.counts {
		most = max(most, c.live)
	}
	return most
}

// cut removes the rules that begin after now.
func (l *seatLog) cut(now int64) {
	for n := len(l.rules); n > 0 && l.rules[n-1].from >= now && l.rules[n-1].from > l.settle; n = len(l.rules) {
		l.rules = l.rules[:n-1]
	}
}

// append adds a rule unless it changes nothing or lies before SettleTime.
func (l *seatLog) append(r seatRule) {
	n := len(l.rules)
	if r.from <= l.settle || l.rules[n-1].live == r.live && !l.rules[n-1].idle {
		return
	}
	l.rules = append(l.rules, r)
	if len(l.rules) > maxSeatRules {
		l.rules = append(l.rules[:0], l.rules[1:]...)
	}
}

// at returns the rule in force at a time.
func (l *seatLog) at(now int64) seatRule {
	if !l.enabled {
		return seatRule{}
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for i := len(l.rules) - 1; i >= 0; i-- {
		if l.rules[i].from <= now {
			return l.rules[i]
		}
	}
	return seatRule{idle: true}
}

// steps calls visit for each part of a time span with the rule in force.
func (l *seatLog) steps(from, to int64, visit func(from, to int64, r seatRule)) {
	if !l.enabled {
		visit(from, to, seatRule{})
		return
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for i, r := range l.rules {
		end := to
		if i+1 < len(l.rules) {
			end = min(to, l.rules[i+1].from)
		}
		if start := max(from, r.from); start < end {
			visit(start, end, r)
		}
	}
}

// ackLog knows up to which revision each listed VM has applied the records.
type ackLog struct {
	mu      sync.Mutex
	self    ids.VMID
	applied map[ids.VMID]ids.Revision
	// matched is the highest revision of a peer that this VM had applied too
	// when it compared. Only such an acknowledgement counts: a peer that is
	// ahead may have skipped the revision that lowers its share.
	matched map[ids.VMID]ids.Revision
	listed  []ids.VMID
	known   bool
	// advances tells since when every listed VM had applied a revision, so
	// that a bucket that is touched late earns its raise from then on.
	advances []advance
}

// advance is a revision that all VMs of the list had applied at a time.
type advance struct {
	revision ids.Revision
	at       int64
}

// maxAdvances bounds the remembered advances. A forgotten one counts from the
// next, which is later and therefore safe.
const maxAdvances = 64

func newAckLog(self ids.VMID) *ackLog {
	return &ackLog{self: self, applied: map[ids.VMID]ids.Revision{}, matched: map[ids.VMID]ids.Revision{}}
}

func (a *ackLog) observe(now int64, vm ids.VMID, revision ids.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.applied[vm] {
		return
	}
	a.applied[vm] = revision
	if vm == a.self {
		for peer := range a.applied {
			a.match(peer)
		}
	} else {
		a.match(vm)
	}
	a.refresh(now)
}

func (a *ackLog) match(vm ids.VMID) {
	if revision := a.applied[vm]; revision <= a.applied[a.self] {
		a.matched[vm] = max(a.matched[vm], revision)
	}
}

// list sets the VMs whose acknowledgements a raise needs and forgets others.
func (a *ackLog) list(now int64, vms []VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known = true
	a.listed = a.listed[:0]
	applied, matched := map[ids.VMID]ids.Revision{}, map[ids.VMID]ids.Revision{}
	applied[a.self] = a.applied[a.self]
	for _, vm := range vms {
		applied[vm.ID], matched[vm.ID] = a.applied[vm.ID], a.matched[vm.ID]
		if vm.ID != a.self {
			a.listed = append(a.listed, vm.ID)
		}
	}
	a.applied, a.matched = applied, matched
	a.refresh(now)
}

// refresh records an advance of the smallest matched revision of the list.
func (a *ackLog) refresh(now int64) {
	if !a.known {
		return
	}
	least := a.applied[a.self]
	for _, vm := range a.listed {
		least = min(least, a.matched[vm])
	}
	if n := len(a.advances); n > 0 && least <= a.advances[n-1].revision {
		return
	}
	a.advances = append(a.advances, advance{revision: least, at: now})
	if len(a.advances) > maxAdvances {
		a.advances = append(a.advances[:0], a.advances[1:]...)
	}
}

// settled tells whether, and since when, every listed VM has applied a
// revision.
func (a *ackLog) settled(revision ids.Revision) (int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, adv := range a.advances {
		if adv.revision >= revision {
			return adv.at, true
		}
	}
	return 0, false
}

// pendingOn returns the listed VMs that have not acknowledged a revision.
func (a *ackLog) pendingOn(revision ids.Revision) []ids.VMID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var pending []ids.VMID
	for _, vm := range a.listed {
		if a.matched[vm] < revision {
			pending = append(pending, vm)
		}
	}
	return pending
}

// maxRetry bounds every retry time that the package states.
const maxRetry = 10 * time.Second
