package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/retrybudget"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

const (
	exchangeInterval = 250 * time.Millisecond
	step             = 10 * time.Millisecond
	window           = 10 * time.Second
	// ratio is the operators' limit; ratioShare and reserveShare are the shares
	// that VMs use.
	ratio                    = 0.2
	ratioShare, reserveShare = 0.8, 0.35
)

// simVM is one VM with its view of the fleet and its retry budget.
type simVM struct {
	self         fleet.Announcement
	fleet        *fleet.Fleet
	budget       *retrybudget.Budget
	startsAt     time.Time
	nextExchange time.Time
}

// simFleet is a fleet whose requests all want retries.
type simFleet struct {
	vms         []*simVM
	byID        map[ids.VMID]*simVM
	seeds       []ids.VMID
	dataCentres []ids.DataCentreID
	// slack is the number of retries in a window that operators allow without
	// requests.
	slack  float64
	random *rand.Rand
	// cut separates the data centres from each other.
	cut bool
	// requests and retries count by step.
	requests, retries []float64
}

func newSimFleet(size, dataCentres int, slack float64) *simFleet {
	f := &simFleet{slack: slack, byID: make(map[ids.VMID]*simVM), random: rand.New(rand.NewPCG(1, uint64(size)))}
	for i := range dataCentres {
		f.dataCentres = append(f.dataCentres, ids.DataCentreID(fmt.Sprintf("dc-%d", i)))
	}
	for i := range size {
		id := ids.VMID(fmt.Sprintf("vm-%03d", i))
		v := &simVM{self: fleet.Announcement{ID: id, DataCentre: f.dataCentres[i%dataCentres], Cores: float64(1 + (i/dataCentres%8+7)/8)}}
		f.vms, f.byID[id] = append(f.vms, v), v
	}
	for i := range 3 {
		f.seeds = append(f.seeds, f.vms[i*size/3].self.ID)
	}
	return f
}

// restartAll starts all VMs anew within the given time of now.
func (f *simFleet) restartAll(now time.Time, within time.Duration) {
	for _, v := range f.vms {
		v.startsAt = now.Add(time.Duration(f.random.Int64N(int64(within))))
		v.nextExchange, v.fleet = v.startsAt, nil
	}
}

// run simulates the fleet for a while. perSecond is the number of requests a
// second over all VMs, and wanted the number of retries that each of them wants.
func (f *simFleet) run(from time.Time, duration time.Duration, perSecond float64, wanted int) time.Time {
	due := 0.0
	for now := from; now.Before(from.Add(duration)); now = now.Add(step) {
		var requests, retries float64
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			v := f.vms[f.random.IntN(len(f.vms))]
			if v.fleet == nil {
				continue
			}
			requests++
			v.budget.AddRequest(now)
			for range wanted {
				if !v.budget.TakeRetry(now) {
					break
				}
				retries++
			}
		}
		f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
		for _, v := range f.vms {
			f.exchange(now, v)
		}
	}
	return from.Add(duration)
}

// exchange starts a VM that is due, and lets it exchange state if that is due.
func (f *simFleet) exchange(now time.Time, v *simVM) {
	if now.Before(v.nextExchange) {
		return
	}
	config := retrybudget.Config{Ratio: ratioShare * ratio, Window: window}
	if v.fleet == nil {
		v.self.Boot = ids.BootID(fmt.Sprint(now.UnixNano()))
		v.fleet = fleet.New(fleet.DefaultConfig(), now, v.self, f.seeds)
		v.budget = retrybudget.New(config, now)
	}
	v.nextExchange = now.Add(exchangeInterval + time.Duration(f.random.IntN(50))*time.Millisecond)
	for _, target := range v.fleet.Targets(now) {
		other := f.byID[target]
		if other.fleet == nil || f.cut && other.self.DataCentre != v.self.DataCentre {
			continue
		}
		tell(now, v, other)
		tell(now, other, v)
	}
	if size := v.fleet.EstimatedSize(now, f.dataCentres); size > 0 {
		v.budget.SetReserve(reserveShare * f.slack / float64(size))
	}
}

func tell(now time.Time, from, to *simVM) {
	self := from.fleet.Self(now)
	roster, seen := from.fleet.Roster(now, to.self.ID), from.fleet.RosterSeen(to.self.ID)
	to.fleet.ApplyAnnouncement(now, self)
	to.fleet.ApplyRoster(now, self, roster, seen)
}

// assertWithinLimit checks the operators' limit in every window.
func (f *simFleet) assertWithinLimit(t *testing.T, name string) {
	t.Helper()
	steps := int(window / step)
	for from := 0; from < len(f.retries); from += 5 {
		to := min(from+steps, len(f.retries))
		requests := sum(f.requests[from:to])
		for _, earlier := range []int{steps / 2, steps} {
			requests = max(requests, sum(f.requests[max(from-earlier, 0):max(to-earlier, 0)]))
		}
		got, bound := sum(f.retries[from:to]), ratio*requests+f.slack
		assert.Assert(t, got <= bound, "%s: %v retries in the window from %v, bound %v", name, got, time.Duration(from)*step, bound)
	}
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// sizes are those of deployments that the operators describe, with their limit.
var sizes = []struct {
	vms, dataCentres int
	slack            float64
}{{8, 4, 56}, {77, 4, 194}, {195, 6, 430}}

// Pattern: all VMs restart while a service sheds every request. Each VM that has
// just started would take itself for the whole fleet and spend all of its
// reserve, on top of what was spent before the restart.
func TestRetriesAfterARestartOfAllVMs(t *testing.T) {
	for i, size := range sizes {
		// The largest fleet starts at once and the others slowly: a simulation of
		// many VMs takes long.
		within := 6 * time.Second
		if i == len(sizes)-1 {
			within = 300 * time.Millisecond
		}
		f := newSimFleet(size.vms, size.dataCentres, size.slack)
		now := time.Unix(1000, 0)
		f.restartAll(now, 300*time.Millisecond)
		now = f.run(now, 8*time.Second, 30, 12)
		f.restartAll(now, within)
		f.run(now, 12*time.Second, 30, 12)
		f.assertWithinLimit(t, fmt.Sprintf("%d VMs", size.vms))
	}
}

// Pattern: the data centres are cut off from each other while all VMs restart,
// so that no VM ever hears those of the others.
func TestRetriesInAFleetThatStartsInParts(t *testing.T) {
	for _, size := range sizes {
		f := newSimFleet(size.vms, size.dataCentres, size.slack)
		f.cut = true
		now := time.Unix(1000, 0)
		f.restartAll(now, 300*time.Millisecond)
		f.run(now, 18*time.Second, 30, 12)
		f.assertWithinLimit(t, fmt.Sprintf("%d VMs", size.vms))
	}
}

// Pattern: a calm day on which one request in fifty needs one retry. The bound
// must not keep retries from requests of calm seconds.
func TestRetriesOfCalmSecondsAreAllowed(t *testing.T) {
	for _, size := range sizes {
		f := newSimFleet(size.vms, size.dataCentres, size.slack)
		now := time.Unix(1000, 0)
		f.restartAll(now, 300*time.Millisecond)
		now = f.run(now, 4*time.Second, 200, 0)
		wanted, allowed := 0, 0
		for at := now; at.Before(now.Add(20 * time.Second)); at = at.Add(5 * time.Millisecond) {
			v := f.vms[f.random.IntN(len(f.vms))]
			v.budget.AddRequest(at)
			if f.random.IntN(50) == 0 {
				wanted++
				if v.budget.TakeRetry(at) {
					allowed++
				}
			}
		}
		assert.Assert(t, float64(allowed) >= 0.9*float64(wanted), "%d VMs: %d of %d retries allowed", size.vms, allowed, wanted)
	}
}
