// Package replicas decides at how many engines an adapter is held, from the
// requests of all VMs. One copy of a popular adapter would make its engine read
// prompts all the time, and the streams that run there would pause. It is
// deterministic: time and uses are arguments.
package replicas

import (
	"math"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Config holds the figures of the choice.
type Config struct {
	// HalfLife is that of the use counts.
	HalfLife time.Duration
	// Share is the part of an average engine's requests that one copy of an
	// adapter may draw.
	Share float64
	// MinRate is the requests a second that one copy serves in any case.
	MinRate float64
	// MaxAdapters bounds the adapters whose uses are counted.
	MaxAdapters int
}

// DefaultConfig returns figures with which an engine holds several popular
// adapters. A prompt takes an engine some tens of milliseconds, so one request a
// second is a small part of what it can do.
func DefaultConfig() Config {
	return Config{HalfLife: 4 * time.Second, Share: 0.35, MinRate: 1, MaxAdapters: 4096}
}

// Replicas is the number of engines that should hold an adapter.
type Replicas struct {
	Key   serving.AdapterKey
	Count int
	// Rate is the adapter's requests a second.
	Rate float64
}

type uses struct {
	count float64
	at    time.Time
}

// Demand counts the uses of adapters.
type Demand struct {
	config Config
	uses   map[serving.AdapterKey]*uses
	total  uses
}

// New returns a demand without uses.
func New(config Config) *Demand {
	return &Demand{config: config, uses: make(map[serving.AdapterKey]*uses)}
}

// Used counts uses of an adapter.
func (d *Demand) Used(now time.Time, key serving.AdapterKey, times float64) {
	u := d.uses[key]
	if u == nil {
		if len(d.uses) >= d.config.MaxAdapters {
			d.prune(now)
		}
		u = &uses{at: now}
		d.uses[key] = u
	}
	u.add(now, times, d.config.HalfLife)
	d.total.add(now, times, d.config.HalfLife)
}

func (u *uses) add(now time.Time, times float64, halfLife time.Duration) {
	u.count = u.left(now, halfLife) + times
	u.at = now
}

func (u *uses) left(now time.Time, halfLife time.Duration) float64 {
	return u.count * math.Exp2(-now.Sub(u.at).Seconds()/halfLife.Seconds())
}

// faded is a single use five half-lives ago.
const faded = 1.0 / 32

// prune forgets adapters whose uses have faded.
func (d *Demand) prune(now time.Time) {
	for key, u := range d.uses {
		if u.left(now, d.config.HalfLife) < faded {
			delete(d.uses, key)
		}
	}
}

// rate turns a decaying count into a rate a second.
func (d *Demand) rate(count float64) float64 {
	return count * math.Ln2 / d.config.HalfLife.Seconds()
}

// Wanted returns the adapters that several of a number of engines should hold,
// the most used first.
func (d *Demand) Wanted(now time.Time, engines int) []Replicas {
	if engines == 0 {
		return nil
	}
	d.prune(now)
	average := d.rate(d.total.left(now, d.config.HalfLife)) / float64(engines)
	perCopy := max(d.config.Share*average, d.config.MinRate)
	var wanted []Replicas
	for key, u := range d.uses {
		rate := d.rate(u.left(now, d.config.HalfLife))
		if count := min(int(math.Ceil(rate/perCopy)), engines); count > 1 {
			wanted = append(wanted, Replicas{Key: key, Count: count, Rate: rate})
		}
	}
	sort.Slice(wanted, func(i, j int) bool {
		if wanted[i].Rate != wanted[j].Rate {
			return wanted[i].Rate > wanted[j].Rate
		}
		return wanted[i].Key.String() < wanted[j].Key.String()
	})
	return wanted
}
