package room

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Kinds counts how many requests of each priority began in time at the engines of a
// service, and holds back less urgent ones where more urgent ones are served worse. It
// is not safe for concurrent use.
type Kinds struct {
	kinds [maxKinds]kind
	// refusedProbes holds requests that were refused by an engine at which they would not
	// have been queued. They count as refused unless they are granted elsewhere soon.
	refusedProbes map[ids.RequestID]refusedProbe
	adjustedAt    time.Time
	// others holds the counts of the other owners.
	others KindCounts
}

// kind holds the decayed counts of one priority, as of at.
type kind struct {
	asked, timely float64
	// elsewhere is how many of asked another owner had refused, which counts them.
	elsewhere float64
	at        time.Time
	// reserve is the share of the slots that stays free of this priority.
	reserve float64
}

type refusedProbe struct {
	urgency   int
	elsewhere bool
	at        time.Time
}

const (
	// maxKinds bounds the priorities that are told apart; less urgent ones count as the
	// last.
	maxKinds = 10
	// kindsHalfLife is the half-life of the counts. A count that is older says little.
	kindsHalfLife = 4 * time.Second
	// minKindAsked is the decayed number of requests from which a priority is compared.
	minKindAsked = 12
	// kindTolerance is how much smaller the timely share of a more urgent priority may be
	// before less urgent ones are held back; it covers the chance in about a hundred requests.
	kindTolerance = 0.03
	// adjustInterval is the pause between changes of the reserves. A reserve grows by
	// reserveStep until more urgent requests are served as well, or to maxReserve, and
	// shrinks by a third of it. From nothing to the most it takes about 3 s.
	adjustInterval = 250 * time.Millisecond
	reserveStep    = 0.03
	maxReserve     = 0.35
	// probeGrantTime is how long a request that was refused by one engine may take to be
	// granted at another one, and maxRefusedProbes bounds the requests that do.
	probeGrantTime   = time.Second
	maxRefusedProbes = 4096
)

// NewKinds returns counts without requests.
func NewKinds() *Kinds { return &Kinds{refusedProbes: make(map[ids.RequestID]refusedProbe)} }

func kindOf(urgency int) int { return min(max(urgency, 0), maxKinds-1) }

// record counts a request that began in time, or did not. elsewhere is set if another
// owner refused it before.
func (k *Kinds) record(now time.Time, urgency int, elsewhere, timely bool) {
	c := &k.kinds[kindOf(urgency)]
	c.decay(now)
	c.asked++
	if elsewhere {
		c.elsewhere++
	}
	if timely {
		c.timely++
	}
}

func (c *kind) decay(now time.Time) {
	factor := kindsDecay(now.Sub(c.at))
	c.asked, c.timely, c.elsewhere, c.at = c.asked*factor, c.timely*factor, c.elsewhere*factor, now
}

func (k *Kinds) recordRefusedProbe(now time.Time, id ids.RequestID, urgency int, elsewhere bool) {
	if len(k.refusedProbes) < maxRefusedProbes {
		k.refusedProbes[id] = refusedProbe{urgency: urgency, elsewhere: elsewhere, at: now}
	}
}

// recordRefused counts a request that is refused for good. If another engine refused it
// before, it does not count for that as well.
func (k *Kinds) recordRefused(now time.Time, id ids.RequestID, urgency int, elsewhere bool) {
	delete(k.refusedProbes, id)
	k.record(now, urgency, elsewhere, false)
}

func (k *Kinds) recordGrant(id ids.RequestID) { delete(k.refusedProbes, id) }

// reserve returns the share of the slots that stays free of requests of a priority.
func (k *Kinds) reserve(now time.Time, urgency int) float64 {
	if now.Sub(k.adjustedAt) >= adjustInterval {
		k.adjust(now)
	}
	return k.kinds[kindOf(urgency)].reserve
}

// adjust compares each priority with the more urgent ones, over the fleet if the counts
// of other owners are current.
func (k *Kinds) adjust(now time.Time) {
	k.adjustedAt = now
	for id, probe := range k.refusedProbes {
		if now.Sub(probe.at) > probeGrantTime {
			k.record(now, probe.urgency, probe.elsewhere, false)
			delete(k.refusedProbes, id)
		}
	}
	worst := 1.0
	for i := range k.kinds {
		c := &k.kinds[i]
		c.decay(now)
		asked, timely := k.fleet(now, i)
		share := 0.0
		if asked >= minKindAsked {
			share = timely / asked
		}
		if share > worst+kindTolerance {
			c.reserve = min(c.reserve+reserveStep, maxReserve)
		} else {
			c.reserve = max(c.reserve-reserveStep/3, 0)
		}
		if asked >= minKindAsked {
			worst = min(worst, share)
		}
	}
}

// KindStatus is the state of one priority for metrics.
type KindStatus struct {
	Urgency int
	// Asked is the decayed number of requests, Timely the share of them that began in
	// time, and Reserve the share of the slots that is kept from them.
	Asked, Timely, Reserve float64
	// FleetTimely is the share over all owners whose counts are current.
	FleetTimely float64
}

// Status returns the priorities with enough requests to be compared.
func (k *Kinds) Status(now time.Time) []KindStatus {
	var all []KindStatus
	for i := range k.kinds {
		c := &k.kinds[i]
		c.decay(now)
		if c.asked >= minKindAsked {
			asked, timely := k.fleet(now, i)
			all = append(all, KindStatus{Urgency: i, Asked: c.asked, Timely: c.timely / c.asked, Reserve: c.reserve, FleetTimely: timely / asked})
		}
	}
	return all
}
