package config

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/config/fleet"
)

// scale is the size of the measurements.
type scale struct {
	target []fleet.Site
	// changes is how many records are published to time their spread.
	changes int
	// span is the simulated time over which traffic is measured.
	span time.Duration
	// centreSizes, changeRates and dataCentres are the points of the slopes.
	centreSizes []int
	changeRates []float64
	dataCentres []int
	// adapters are the sizes of the catalog, claims those of a home's memory.
	adapters []int
	claims   []int
	// lookups is how many lookups are timed.
	lookups int
	// calls is how many keyed calls are made for each rate of kills.
	calls int
	kills []float64
}

func (o Options) scale() scale {
	if o.Quick {
		return scale{
			target: target(36, 6, 3), changes: 10, span: 4 * time.Second,
			centreSizes: []int{4, 8}, changeRates: []float64{0.5, 2}, dataCentres: []int{4, 8},
			adapters: []int{1000, 2000}, claims: []int{1000, 2000}, lookups: 10_000,
			calls: 1000, kills: []float64{0, 2},
		}
	}
	return scale{
		target: target(420, 31, 11), changes: 25, span: 15 * time.Second,
		centreSizes: []int{10, 14, 18}, changeRates: []float64{0.25, 1, 2}, dataCentres: []int{4, 8, 16},
		adapters: []int{3000, 6000, 12_000}, claims: []int{5000, 10_000, 20_000}, lookups: 200_000,
		calls: 12_000, kills: []float64{0, 1, 4},
	}
}
