// Package quarantine finds the parts of prompts that crash engines, and keeps
// requests with them from the engines. Package node reports to it which requests
// waited for an answer when an engine's process ended, and which requests were
// answered; the VMs exchange the crashes, because one VM alone sees too few. The
// package is deterministic: time and messages are arguments.
//
// A crash makes all parts suspect of the requests that waited at the engine. A
// request with a suspect part whose answer begins clears the part: a part that
// crashes engines does so with each request. What is left is blamed once it was
// suspect in several crashes. Parts that were suspect in the same crashes cannot
// be told apart and are blamed together: only requests that hold all of them are
// refused, so that requests with some of them still clear the innocent ones.
package quarantine

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the limits and times of a Quarantine.
type Config struct {
	// MinCrashes is the number of crashes from which a part is blamed.
	MinCrashes int
	// SettleTime is how long after a crash became known it is not yet counted,
	// so that other VMs can clear parts of it first.
	SettleTime time.Duration
	// ClearBefore is how long before a crash an answer that began still clears a
	// part. A part that many requests hold would otherwise be suspect until its
	// next answer, and a part that starts to crash engines is noticed that much
	// later.
	ClearBefore time.Duration
	// BaseHold is how long requests with a part that was blamed for MinCrashes
	// crashes are refused after the last of them. Each further crash doubles the
	// time, up to MaxHold.
	BaseHold, MaxHold time.Duration
	// TrialInterval is the minimum time between two requests that are sent, after
	// the hold, to see whether a blamed part still crashes engines.
	TrialInterval time.Duration
	// Retention is how long a crash is remembered.
	Retention time.Duration
	// MaxCrashes, MaxSuspects and MaxStarts bound the crashes, the parts of each
	// crash, and the parts whose last answer is remembered. MaxCrashes is at most
	// 64.
	MaxCrashes, MaxSuspects, MaxStarts int
}

// DefaultConfig returns the limits for VMs that exchange messages with most others
// several times a second.
func DefaultConfig() Config {
	return Config{
		MinCrashes:    2,
		SettleTime:    500 * time.Millisecond,
		ClearBefore:   time.Second,
		BaseHold:      10 * time.Second,
		MaxHold:       2 * time.Minute,
		TrialInterval: 10 * time.Second,
		Retention:     5 * time.Minute,
		MaxCrashes:    64,
		MaxSuspects:   64,
		MaxStarts:     4096,
	}
}

// startRetention is how long the last answer to a request with a part is
// remembered at least, unless there are too many parts. It covers ClearBefore and
// the time that a report of a crash takes.
const startRetention = 10 * time.Second

// CrashID identifies the crash of one run of an engine's process.
type CrashID string

// crash is one crash with the parts of the requests that waited there.
type crash struct {
	at, learnedAt time.Time
	// cleared says of each suspect part whether it was cleared.
	cleared map[ids.PromptPartID]bool
	// change is the change count at which the crash last changed.
	change uint64
}

// Blame is a set of parts that were suspect in the same crashes.
type Blame struct {
	Parts []ids.PromptPartID
	// Crashes is the number of crashes that the parts are blamed for, and
	// LastCrash the time of the last one.
	Crashes   int
	LastCrash time.Time
}

// Quarantine is one VM's view of the crashes at all VMs. It is not safe for
// concurrent use.
type Quarantine struct {
	config  Config
	crashes map[CrashID]*crash
	// starts holds when an answer to a request with a part last began at this VM.
	starts map[ids.PromptPartID]time.Time
	// changes counts the changes of crashes.
	changes uint64
	peers   map[ids.VMID]*peer
	// lastTrials holds when this VM last let a request with a blame through,
	// under the blame's first part.
	lastTrials map[ids.PromptPartID]time.Time
	blames     []Blame
	// blamesUntil is when blames has to be computed again; the zero time after a
	// change.
	blamesUntil time.Time
}

// New returns a Quarantine without crashes.
func New(config Config) *Quarantine {
	return &Quarantine{
		config: config, crashes: make(map[CrashID]*crash), starts: make(map[ids.PromptPartID]time.Time),
		peers: make(map[ids.VMID]*peer), lastTrials: make(map[ids.PromptPartID]time.Time),
	}
}

// SetSettleTime changes Config.SettleTime.
func (q *Quarantine) SetSettleTime(settle time.Duration) {
	if q.config.SettleTime != settle {
		q.config.SettleTime, q.blamesUntil = settle, time.Time{}
	}
}

// RecordStart records that the answer to a request began, which clears its
// parts.
func (q *Quarantine) RecordStart(now time.Time, parts []ids.PromptPartID) {
	if len(q.starts)+len(parts) > q.config.MaxStarts {
		q.dropOldStarts(now)
	}
	for _, part := range parts {
		q.starts[part] = now
		for _, c := range q.crashes {
			if cleared, suspect := c.cleared[part]; suspect && !cleared {
				q.clear(c, part)
			}
		}
	}
}

// dropOldStarts drops the starts older than startRetention, or all if there are
// too many younger ones.
func (q *Quarantine) dropOldStarts(now time.Time) {
	maps.DeleteFunc(q.starts, func(_ ids.PromptPartID, at time.Time) bool { return now.Sub(at) > startRetention })
	if len(q.starts) >= q.config.MaxStarts/2 {
		clear(q.starts)
	}
}

// RecordCrash records that an engine's process ended while requests with the
// given parts waited for their answer.
func (q *Quarantine) RecordCrash(now time.Time, id CrashID, parts []ids.PromptPartID) {
	q.expire(now)
	q.addCrash(now, now, id, parts, nil)
}

// addCrash adds suspect and cleared parts to a crash, which is new or known.
func (q *Quarantine) addCrash(now, at time.Time, id CrashID, suspects, cleared []ids.PromptPartID) {
	c := q.crashes[id]
	if c == nil {
		c = &crash{at: at, learnedAt: now, cleared: make(map[ids.PromptPartID]bool)}
		q.crashes[id] = c
		q.changed(c)
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, part := range cleared {
		if known, suspect := c.cleared[part]; suspect && known || !suspect && len(c.cleared) >= q.config.MaxSuspects {
			continue
		}
		q.clear(c, part)
	}
	for _, part := range suspects {
		if _, known := c.cleared[part]; known || len(c.cleared) >= q.config.MaxSuspects {
			continue
		}
		started, found := q.starts[part]
		c.cleared[part] = found && !started.Before(c.at.Add(-q.config.ClearBefore))
		q.changed(c)
	}
	q.evict()
}

func (q *Quarantine) clear(c *crash, part ids.PromptPartID) {
	c.cleared[part] = true
	q.changed(c)
}

func (q *Quarantine) changed(c *crash) {
	q.changes++
	c.change = q.changes
	q.blamesUntil = time.Time{}
}

// expire forgets the crashes older than Retention.
func (q *Quarantine) expire(now time.Time) {
	for id, c := range q.crashes {
		if now.Sub(c.at) > q.config.Retention {
			delete(q.crashes, id)
			q.blamesUntil = time.Time{}
		}
	}
}

// evict removes crashes while there are too many: the oldest of those without a
// suspect, otherwise the oldest.
func (q *Quarantine) evict() {
	for len(q.crashes) > min(q.config.MaxCrashes, bits.UintSize) {
		var oldest CrashID
		for id, c := range q.crashes {
			before := q.crashes[oldest]
			if before == nil || c.suspects() == 0 && before.suspects() > 0 || (c.suspects() == 0) == (before.suspects() == 0) && c.at.Before(before.at) {
				oldest = id
			}
		}
		delete(q.crashes, oldest)
	}
}

func (c *crash) suspects() int {
	count := 0
	for _, cleared := range c.cleared {
		if !cleared {
			count++
		}
	}
	return count
}

// Blames returns the blamed sets of parts, those with most crashes first.
func (q *Quarantine) Blames(now time.Time) []Blame {
	if !q.blamesUntil.IsZero() && now.Before(q.blamesUntil) {
		return q.blames
	}
	q.expire(now)
	suspicions, settled := q.suspicions(now)
	q.blames = nil
	explained := uint64(0)
	for {
		worst := q.worst(suspicions, settled, explained)
		if worst == "" {
			break
		}
		q.blames = append(q.blames, q.blameFor(suspicions, worst, explained))
		explained |= suspicions[worst]
	}
	for part := range q.lastTrials {
		if !slices.ContainsFunc(q.blames, func(b Blame) bool { return b.Parts[0] == part }) {
			delete(q.lastTrials, part)
		}
	}
	return q.blames
}

// suspicions returns the crashes in which each part is suspect, as bits in the
// order of sortedCrashes, and the bits of the crashes that have settled. It sets
// when the result changes by time alone.
func (q *Quarantine) suspicions(now time.Time) (map[ids.PromptPartID]uint64, uint64) {
	suspicions := make(map[ids.PromptPartID]uint64)
	settled := uint64(0)
	q.blamesUntil = now.Add(q.config.Retention)
	for i, c := range q.sortedCrashes() {
		if settledAt := c.learnedAt.Add(q.config.SettleTime); !settledAt.After(now) {
			settled |= 1 << i
		} else if settledAt.Before(q.blamesUntil) {
			q.blamesUntil = settledAt
		}
		if expiresAt := c.at.Add(q.config.Retention); expiresAt.Before(q.blamesUntil) {
			q.blamesUntil = expiresAt
		}
		for part, cleared := range c.cleared {
			if !cleared {
				suspicions[part] |= 1 << i
			}
		}
	}
	return suspicions, settled
}

// sortedCrashes returns the crashes by time, oldest first.
func (q *Quarantine) sortedCrashes() []*crash {
	sorted := slices.Collect(maps.Values(q.crashes))
	slices.SortFunc(sorted, func(a, b *crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.change, b.change)) })
	return sorted
}

// worst returns the part that is suspect in most settled crashes that are not
// explained by another blame yet, or "" if none is suspect in MinCrashes.
func (q *Quarantine) worst(suspicions map[ids.PromptPartID]uint64, settled, explained uint64) ids.PromptPartID {
	worst, most, mostOfAll := ids.PromptPartID(""), q.config.MinCrashes-1, 0
	for part, in := range suspicions {
		count, ofAll := bits.OnesCount64(in&settled&^explained), bits.OnesCount64(in&^explained)
		if count > most || count == most && worst != "" && (ofAll > mostOfAll || ofAll == mostOfAll && part < worst) {
			worst, most, mostOfAll = part, count, ofAll
		}
	}
	return worst
}

// blameFor returns the blame for the crashes of a part that are not explained
// yet, with the other parts that are suspect in exactly these.
func (q *Quarantine) blameFor(suspicions map[ids.PromptPartID]uint64, worst ids.PromptPartID, explained uint64) Blame {
	in := suspicions[worst]
	blame := Blame{Crashes: bits.OnesCount64(in)}
	for part, other := range suspicions {
		if other&^explained == in&^explained {
			blame.Parts = append(blame.Parts, part)
		}
	}
	slices.Sort(blame.Parts)
	for i, c := range q.sortedCrashes() {
		if in&(1<<i) != 0 && c.at.After(blame.LastCrash) {
			blame.LastCrash = c.at
		}
	}
	return blame
}

// Decision says what to do with a request.
type Decision struct {
	// Refuse is set for a request that must not be sent to an engine. A retry may
	// succeed after RetryAfter.
	Refuse     bool
	RetryAfter time.Duration
	// Blame is the blame for which the request is refused, or for which it is
	// sent as a trial.
	Blame *Blame
}

// Decide decides whether a request with the given parts may be sent to an engine.
// isTrialVM reports whether this VM, of those that it hears, is the one that
// tries a blame after its hold; it is called with the blame's first part.
func (q *Quarantine) Decide(now time.Time, parts []ids.PromptPartID, isTrialVM func(ids.PromptPartID) bool) Decision {
	if len(q.crashes) == 0 || len(parts) == 0 {
		return Decision{}
	}
	for _, blame := range q.Blames(now) {
		if !containsAll(parts, blame.Parts) {
			continue
		}
		if held := blame.LastCrash.Add(q.hold(blame.Crashes)).Sub(now); held > 0 {
			return Decision{Refuse: true, RetryAfter: held, Blame: &blame}
		}
		next := q.lastTrials[blame.Parts[0]].Add(q.config.TrialInterval).Sub(now)
		if next > 0 || q.hasOtherSuspect(parts, blame) || !isTrialVM(blame.Parts[0]) {
			return Decision{Refuse: true, RetryAfter: max(next, q.config.TrialInterval/2), Blame: &blame}
		}
		q.lastTrials[blame.Parts[0]] = now
		return Decision{Blame: &blame}
	}
	return Decision{}
}

// hold returns how long requests are refused after the last of a number of
// crashes.
func (q *Quarantine) hold(crashes int) time.Duration {
	hold := q.config.BaseHold
	for range crashes - q.config.MinCrashes {
		hold = min(2*hold, q.config.MaxHold)
	}
	return hold
}

// hasOtherSuspect reports whether a part outside a blame is suspect in a crash.
// If the request crashed its engine, that would say little about the blame.
func (q *Quarantine) hasOtherSuspect(parts []ids.PromptPartID, blame Blame) bool {
	return slices.ContainsFunc(parts, func(part ids.PromptPartID) bool {
		return !slices.Contains(blame.Parts, part) && q.suspectCrashes(part) > 0
	})
}

func (q *Quarantine) suspectCrashes(part ids.PromptPartID) int {
	count := 0
	for _, c := range q.crashes {
		if cleared, suspect := c.cleared[part]; suspect && !cleared {
			count++
		}
	}
	return count
}

// MayRepeat reports whether a request under which an engine ended may be sent to
// another one: unless one of its parts is suspect in several crashes.
func (q *Quarantine) MayRepeat(parts []ids.PromptPartID) bool {
	return !slices.ContainsFunc(parts, func(part ids.PromptPartID) bool { return q.suspectCrashes(part) >= q.config.MinCrashes })
}

func containsAll(parts, wanted []ids.PromptPartID) bool {
	return !slices.ContainsFunc(wanted, func(part ids.PromptPartID) bool { return !slices.Contains(parts, part) })
}
