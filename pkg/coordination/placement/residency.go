package placement

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// pastBoots is how many earlier runs of an engine are remembered. Reports lag
// by seconds, so only the last few runs can still turn up.
const pastBoots = 4

// engine is what is known of one model endpoint.
type engine struct {
	mu          sync.Mutex
	id          ids.EndpointID
	record      records.Endpoint
	unreachable bool
	boot        ids.BootID
	retired     []ids.BootID
	sequence    uint64
	running     int
	waiting     int
	resident    map[ids.AdapterRef]*residentAdapter
	// gone holds evictions that lagging reports may not show yet.
	gone map[ids.AdapterRef]time.Time
	// loading and evicting hold the orders in flight, by adapter.
	loading  map[ids.AdapterRef]bool
	evicting map[ids.AdapterRef]bool
	// crowdedUntil passes the engine over as a home while all its adapters are
	// pinned or wanted.
	crowdedUntil time.Time
	// reserved holds loads that have a right and wait for an eviction.
	reserved map[ids.AdapterRef]bool
}

// residentAdapter is one adapter in a slot.
type residentAdapter struct {
	// knownAt is when an order showed the adapter resident; reports that lag
	// may miss it.
	knownAt time.Time
	use     decaying
	// loadCost is how long its last load took.
	loadCost time.Duration
}

// decaying counts events with a weight that halves over time. It stands for
// both recency and frequency of use.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) add(now time.Time, n float64, halfLife time.Duration) {
	d.value = d.read(now, halfLife) + n
	if now.After(d.at) {
		d.at = now
	}
}

func (d *decaying) read(now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(d.at)
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

// clear forgets residency, as after a restart. Orders in flight went to the
// old run and are forgotten too.
func (e *engine) clear() {
	e.resident = make(map[ids.AdapterRef]*residentAdapter)
	e.gone = make(map[ids.AdapterRef]time.Time)
	e.loading = make(map[ids.AdapterRef]bool)
	e.evicting = make(map[ids.AdapterRef]bool)
	e.reserved = make(map[ids.AdapterRef]bool)
	e.sequence, e.running, e.waiting = 0, 0, 0
}

// observe takes a report and returns the adapters that came and went.
func (e *engine) observe(now time.Time, report Report, lag time.Duration, matchBoot bool) (ReportEffect, []ids.AdapterRef, []ids.AdapterRef) {
	effect := ReportTaken
	var went []ids.AdapterRef
	if report.Boot != e.boot {
		if matchBoot && e.isRetired(report.Boot) {
			return ReportIgnored, nil, nil
		}
		went = e.restart(report.Boot)
		effect = ReportRestarted
	} else if report.Sequence <= e.sequence {
		return ReportIgnored, nil, nil
	}
	e.sequence, e.running, e.waiting = report.Sequence, report.Running, report.Waiting
	came, dropped := e.merge(now, report.Resident, lag)
	return effect, came, append(went, dropped...)
}

func (e *engine) isRetired(boot ids.BootID) bool {
	for _, known := range e.retired {
		if known == boot {
			return true
		}
	}
	return false
}

// restart begins a new run and returns what was resident in the old one.
func (e *engine) restart(boot ids.BootID) []ids.AdapterRef {
	var went []ids.AdapterRef
	for ref := range e.resident {
		went = append(went, ref)
	}
	if e.boot != "" {
		e.retired = append(e.retired, e.boot)
		if len(e.retired) > pastBoots {
			e.retired = e.retired[1:]
		}
	}
	e.clear()
	e.boot = boot
	sortRefs(went)
	return went
}

// merge brings residency in line with a report, except where an order's
// answer is newer than the report may be.
func (e *engine) merge(now time.Time, listed []ids.AdapterRef, lag time.Duration) (came, went []ids.AdapterRef) {
	in := make(map[ids.AdapterRef]bool, len(listed))
	for _, ref := range listed {
		in[ref] = true
		if _, ok := e.resident[ref]; ok {
			continue
		}
		if goneAt, ok := e.gone[ref]; ok && now.Sub(goneAt) < lag {
			continue
		}
		e.resident[ref] = &residentAdapter{}
		came = append(came, ref)
	}
	for ref, known := range e.resident {
		if !in[ref] && now.Sub(known.knownAt) >= lag {
			delete(e.resident, ref)
			went = append(went, ref)
		}
	}
	for ref, goneAt := range e.gone {
		if now.Sub(goneAt) >= lag {
			delete(e.gone, ref)
		}
	}
	sortRefs(went)
	return came, went
}

// freeSlots counts slots that no adapter, load or reservation takes.
func (e *engine) freeSlots() int {
	taken := len(e.resident) + len(e.reserved)
	for ref := range e.loading {
		if _, ok := e.resident[ref]; !ok {
			taken++
		}
	}
	// A reserved load waits for the slot of the adapter that is being evicted.
	taken -= min(len(e.evicting), len(e.reserved))
	return e.record.Slots - taken
}

// takesWork tells whether new work may be planned on the engine.
func (e *engine) takesWork() bool {
	return !e.unreachable && e.record.State == records.EndpointServing
}

func sortRefs(refs []ids.AdapterRef) {
	sort.Slice(refs, func(i, j int) bool { return lessRef(refs[i], refs[j]) })
}

func lessRef(a, b ids.AdapterRef) bool {
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}
