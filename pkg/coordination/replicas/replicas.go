// Package replicas decides on how many engines each adapter is kept, from the
// request rates of all VMs. With a single replica of a popular adapter, its
// engine would process prompts all the time and the streams on it would
// pause. Package node calls it for the engines that a VM orders. It is
// deterministic: time and use counts are arguments.
package replicas

import (
	"math"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Config holds the parameters of the decision.
type Config struct {
	// HalfLife is the half-life of the exponentially decaying use counts.
	HalfLife time.Duration
	// Share is the share of an average engine's requests that one
	// replica of an adapter may receive.
	Share float64
	// MinRate is the request rate, in requests per second, that one
	// replica always serves.
	MinRate float64
	// MaxAdapters is the number of counted adapters from which unused ones
	// are dropped.
	MaxAdapters int
}

// DefaultConfig returns parameters that let an engine hold several popular
// adapters. A prompt takes an engine some tens of milliseconds, so one
// request per second is a small part of its capacity.
func DefaultConfig() Config {
	return Config{HalfLife: 4 * time.Second, Share: 0.35, MinRate: 1, MaxAdapters: 4096}
}

// Target is the number of engines that should hold an adapter.
type Target struct {
	Key   serving.AdapterKey
	Count int
	// Rate is the adapter's request rate in requests per second.
	Rate float64
}

// useCount is a count that halves with every half-life, as of updatedAt.
type useCount struct {
	value     float64
	updatedAt time.Time
}

// Demand counts the uses of adapters. It is not safe for concurrent use.
type Demand struct {
	config Config
	// useCount holds the use count of each adapter, total that of all adapters.
	useCount map[serving.AdapterKey]*useCount
	total    useCount
}

// New returns a Demand without uses.
func New(config Config) *Demand {
	return &Demand{config: config, useCount: make(map[serving.AdapterKey]*useCount)}
}

// Used adds uses of an adapter.
func (d *Demand) Used(now time.Time, key serving.AdapterKey, count float64) {
	adapterCount := d.useCount[key]
	if adapterCount == nil {
		if len(d.useCount) >= d.config.MaxAdapters {
			d.dropUnused(now)
		}
		adapterCount = &useCount{updatedAt: now}
		d.useCount[key] = adapterCount
	}
	adapterCount.add(now, count, d.config.HalfLife)
	d.total.add(now, count, d.config.HalfLife)
}

func (u *useCount) add(now time.Time, count float64, halfLife time.Duration) {
	u.value = u.valueAt(now, halfLife) + count
	u.updatedAt = now
}

func (u *useCount) valueAt(now time.Time, halfLife time.Duration) float64 {
	return u.value * math.Exp2(-now.Sub(u.updatedAt).Seconds()/halfLife.Seconds())
}

// minCount is the count below which an adapter is dropped: that of a single
// use five half-lives ago.
const minCount = 1.0 / 32

// dropUnused removes the adapters whose counts have decayed below minCount.
func (d *Demand) dropUnused(now time.Time) {
	for key, u := range d.useCount {
		if u.valueAt(now, d.config.HalfLife) < minCount {
			delete(d.useCount, key)
		}
	}
}

// rate converts a decaying count to a rate per second.
func (d *Demand) rate(count float64) float64 {
	return count * math.Ln2 / d.config.HalfLife.Seconds()
}

// minMovedUses is the use count from which the only copy of an adapter is worth a
// load at another engine when its engine leaves: that of two uses within half a
// half-life. An adapter that was used once is loaded when it is asked for again.
const minMovedUses = 1.5

// Moves returns those of the given adapters, which leaving engines hold, that are in
// use and so should be on one other engine at least, sorted by request rate, highest
// first.
func (d *Demand) Moves(now time.Time, held []serving.AdapterKey) []Target {
	var moves []Target
	seen := make(map[serving.AdapterKey]bool)
	for _, key := range held {
		u := d.useCount[key]
		if u == nil || seen[key] {
			continue
		}
		seen[key] = true
		if uses := u.valueAt(now, d.config.HalfLife); uses >= minMovedUses {
			moves = append(moves, Target{Key: key, Count: 1, Rate: d.rate(uses)})
		}
	}
	sortByRate(moves)
	return moves
}

// Targets returns the adapters that should be on more than one of the given
// number of engines, sorted by request rate, highest first.
func (d *Demand) Targets(now time.Time, engines int) []Target {
	if engines == 0 {
		return nil
	}
	d.dropUnused(now)
	ratePerEngine := d.rate(d.total.valueAt(now, d.config.HalfLife)) / float64(engines)
	ratePerReplica := max(d.config.Share*ratePerEngine, d.config.MinRate)
	var targets []Target
	for key, u := range d.useCount {
		rate := d.rate(u.valueAt(now, d.config.HalfLife))
		if count := min(int(math.Ceil(rate/ratePerReplica)), engines); count > 1 {
			targets = append(targets, Target{Key: key, Count: count, Rate: rate})
		}
	}
	sortByRate(targets)
	return targets
}

// sortByRate sorts targets by request rate, highest first.
func sortByRate(targets []Target) {
	sort.Slice(targets, func(i, j int) bool {
		if targets[i].Rate != targets[j].Rate {
			return targets[i].Rate > targets[j].Rate
		}
		return targets[i].Key.String() < targets[j].Key.String()
	})
}
