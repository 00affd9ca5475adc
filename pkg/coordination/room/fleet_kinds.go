package room

import (
	"math"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// KindCounts holds the decayed counts of the requests of each priority, as of at.
type KindCounts struct {
	asked, timely [maxKinds]float64
	at            time.Time
	// until is the time from which a part of the counts is too old to be used.
	until time.Time
	// Owners is the number of owners whose requests are counted.
	Owners int
}

const (
	// maxFleetKindsAge is the age from which the counts of another owner are not used.
	maxFleetKindsAge = 2 * time.Second
	// maxKindOwners, maxKindServices and maxKindCount bound what is kept of messages. A
	// data centre has one owner, or two for a short time. The largest count that occurs
	// is the requests at one owner's engines in 6 s.
	maxKindOwners   = 64
	maxKindServices = 64
	maxKindCount    = 1 << 20
)

// FleetKinds holds the counts that other owners sent. It is not safe for concurrent use.
type FleetKinds struct {
	owners map[ids.VMID]ownerKinds
}

type ownerKinds struct {
	at       time.Time
	services map[string][]int
}

// NewFleetKinds returns a FleetKinds without counts.
func NewFleetKinds() *FleetKinds { return &FleetKinds{owners: make(map[ids.VMID]ownerKinds)} }

// Apply records the counts that an owner sent: for each service, the requests of one
// priority after the other that could be in time, and those that were. delay is the
// longest time for which the message may have been on its way.
func (f *FleetKinds) Apply(now time.Time, owner ids.VMID, delay time.Duration, services map[string][]int) {
	f.prune(now)
	at := now.Add(-max(delay, 0))
	last, known := f.owners[owner]
	if now.Sub(at) > maxFleetKindsAge || known && !at.After(last.at) || !known && len(f.owners) >= maxKindOwners || !validCounts(services) {
		return
	}
	f.owners[owner] = ownerKinds{at: at, services: services}
}

func validCounts(services map[string][]int) bool {
	if len(services) > maxKindServices {
		return false
	}
	for _, counts := range services {
		if len(counts)%2 != 0 || len(counts) > 2*maxKinds {
			return false
		}
		for i := 0; i < len(counts); i += 2 {
			if asked, timely := counts[i], counts[i+1]; asked < 0 || timely < 0 || asked > maxKindCount || timely > maxKindCount {
				return false
			}
		}
	}
	return true
}

func (f *FleetKinds) prune(now time.Time) {
	for owner, counts := range f.owners {
		if now.Sub(counts.at) > maxFleetKindsAge {
			delete(f.owners, owner)
		}
	}
}

// Sum returns the current counts of the other owners for a service.
func (f *FleetKinds) Sum(now time.Time, service string) KindCounts {
	f.prune(now)
	sum := KindCounts{at: now, until: now.Add(maxFleetKindsAge)}
	for _, counts := range f.owners {
		listed, found := counts.services[service]
		if !found {
			continue
		}
		sum.Owners++
		if until := counts.at.Add(maxFleetKindsAge); until.Before(sum.until) {
			sum.until = until
		}
		factor := kindsDecay(now.Sub(counts.at))
		for i := 0; i+1 < len(listed); i += 2 {
			sum.asked[i/2] += factor * float64(listed[i])
			sum.timely[i/2] += factor * float64(listed[i+1])
		}
	}
	return sum
}

func kindsDecay(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / kindsHalfLife.Seconds())
}

// SetOthers sets the counts of the other owners.
func (k *Kinds) SetOthers(counts KindCounts) { k.others = counts }

// fleet returns the decayed counts of one priority at all owners: those of the other
// owners while they are current, and the owner's own, which are as of now. A request
// that several owners were asked for counts at the first one, so timely is bounded.
func (k *Kinds) fleet(now time.Time, i int) (asked, timely float64) {
	asked, timely = k.kinds[i].asked, k.kinds[i].timely
	if k.others.Owners > 0 && !now.After(k.others.until) {
		factor := kindsDecay(now.Sub(k.others.at))
		asked = asked - k.kinds[i].elsewhere + factor*k.others.asked[i]
		timely = min(timely+factor*k.others.timely[i], asked)
	}
	return asked, timely
}

// Counts returns the owner's own counts for a message; nil if there are none.
func (k *Kinds) Counts(now time.Time) []int {
	var counts []int
	for i := range k.kinds {
		c := &k.kinds[i]
		c.decay(now)
		asked, timely := int(math.Round(max(c.asked-c.elsewhere, 0))), int(math.Round(c.timely))
		if asked+timely > 0 {
			counts = append(counts, make([]int, 2*i+2-len(counts))...)
			counts[2*i], counts[2*i+1] = min(asked, maxKindCount), min(timely, maxKindCount)
		}
	}
	return counts
}
