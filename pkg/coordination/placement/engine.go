package placement

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// maxPastBoots bounds how many earlier runs of an engine are remembered.
// Reports lag by seconds, so only those of the last few runs can still arrive.
const maxPastBoots = 4

// engine is the planner's state of one model endpoint. mu protects the fields
// below it except id.
type engine struct {
	mu          sync.Mutex
	id          ids.EndpointID
	record      records.Endpoint
	unreachable bool
	boot        ids.BootID
	pastBoots   []ids.BootID
	sequence    uint64
	running     int
	waiting     int
	resident    map[ids.AdapterRef]*residentAdapter
	// evictedAt holds the times of evictions that a lagging report may not show
	// yet.
	evictedAt map[ids.AdapterRef]time.Time
	// loading and evicting hold the adapter versions with an order in flight.
	loading  map[ids.AdapterRef]bool
	evicting map[ids.AdapterRef]bool
	// crowdedUntil is when the engine is again considered as a load target, after
	// all its adapters were pinned or in demand.
	crowdedUntil time.Time
	// reserved holds the loads that have a permit and wait for an eviction.
	reserved map[ids.AdapterRef]bool
}

// residentAdapter is the state of an adapter version in a slot of an engine.
type residentAdapter struct {
	// confirmedAt is when a load order was answered with success. Reports that
	// lag may not list the adapter yet.
	confirmedAt time.Time
	recentUse   decayingCount
	// lastLoadDuration is how long its last load took; zero if it is not known.
	lastLoadDuration time.Duration
}

// decayingCount counts events with a weight that halves over time. It reflects
// both how recent and how frequent the use is.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingCount) add(now time.Time, amount float64, halfLife time.Duration) {
	d.value = d.valueAt(now, halfLife) + amount
	if now.After(d.updatedAt) {
		d.updatedAt = now
	}
}

func (d *decayingCount) valueAt(now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(d.updatedAt)
	if d.value == 0 || elapsed <= 0 {
		return d.value
	}
	return d.value * math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
}

func newEngine(id ids.EndpointID, record records.Endpoint) *engine {
	e := &engine{id: id, record: record}
	e.clear()
	return e
}

// clear forgets what was resident and reported, as after a restart. Orders in
// flight were for the old run and are forgotten too.
func (e *engine) clear() {
	e.resident = make(map[ids.AdapterRef]*residentAdapter)
	e.evictedAt = make(map[ids.AdapterRef]time.Time)
	e.loading = make(map[ids.AdapterRef]bool)
	e.evicting = make(map[ids.AdapterRef]bool)
	e.reserved = make(map[ids.AdapterRef]bool)
	e.sequence, e.running, e.waiting = 0, 0, 0
}

// applyReport applies a report and returns the adapters that were added and
// removed.
func (e *engine) applyReport(now time.Time, report Report, maxLag time.Duration, matchBoot bool) (ReportEffect, []ids.AdapterRef, []ids.AdapterRef) {
	effect := ReportApplied
	var removed []ids.AdapterRef
	if report.Boot != e.boot {
		if matchBoot && e.isPastBoot(report.Boot) {
			return ReportIgnored, nil, nil
		}
		removed = e.startRun(report.Boot)
		effect = ReportNewRun
	} else if report.Sequence <= e.sequence {
		return ReportIgnored, nil, nil
	}
	e.sequence, e.running, e.waiting = report.Sequence, report.Running, report.Waiting
	added, missing := e.mergeResident(now, report.Resident, maxLag)
	return effect, added, append(removed, missing...)
}

func (e *engine) isPastBoot(boot ids.BootID) bool {
	for _, past := range e.pastBoots {
		if past == boot {
			return true
		}
	}
	return false
}

// startRun begins a new run and returns the adapters that were resident in the
// old one.
func (e *engine) startRun(boot ids.BootID) []ids.AdapterRef {
	var removed []ids.AdapterRef
	for ref := range e.resident {
		removed = append(removed, ref)
	}
	if e.boot != "" {
		e.pastBoots = append(e.pastBoots, e.boot)
		if len(e.pastBoots) > maxPastBoots {
			e.pastBoots = e.pastBoots[1:]
		}
	}
	e.clear()
	e.boot = boot
	sortAdapterRefs(removed)
	return removed
}

// mergeResident updates residency from a report, except where the answer to an
// order may be newer than the report.
func (e *engine) mergeResident(now time.Time, reported []ids.AdapterRef, maxLag time.Duration) (added, removed []ids.AdapterRef) {
	isReported := make(map[ids.AdapterRef]bool, len(reported))
	for _, ref := range reported {
		isReported[ref] = true
		if _, ok := e.resident[ref]; ok {
			continue
		}
		if evictedTime, ok := e.evictedAt[ref]; ok && now.Sub(evictedTime) < maxLag {
			continue
		}
		e.resident[ref] = &residentAdapter{}
		added = append(added, ref)
	}
	for ref, adapter := range e.resident {
		if !isReported[ref] && now.Sub(adapter.confirmedAt) >= maxLag {
			delete(e.resident, ref)
			removed = append(removed, ref)
		}
	}
	for ref, evictedTime := range e.evictedAt {
		if now.Sub(evictedTime) >= maxLag {
			delete(e.evictedAt, ref)
		}
	}
	sortAdapterRefs(removed)
	return added, removed
}

// freeSlots returns the number of slots that no resident adapter, load or
// reservation occupies.
func (e *engine) freeSlots() int {
	occupied := len(e.resident) + len(e.reserved)
	for ref := range e.loading {
		if _, ok := e.resident[ref]; !ok {
			occupied++
		}
	}
	// A reserved load uses the slot of the adapter that is being evicted.
	occupied -= min(len(e.evicting), len(e.reserved))
	return e.record.Slots - occupied
}

// acceptsWork reports whether new work may be planned on the engine.
func (e *engine) acceptsWork() bool {
	return !e.unreachable && e.record.State == records.EndpointServing
}

func sortAdapterRefs(refs []ids.AdapterRef) {
	sort.Slice(refs, func(i, j int) bool { return adapterRefLess(refs[i], refs[j]) })
}

func adapterRefLess(a, b ids.AdapterRef) bool {
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}
