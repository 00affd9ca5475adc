// Package burn computes how fast several VMs together use up the error budgets
// of their service-level objectives. Package observability collects the counts
// of events; wagtailctl prints the report.
//
// The burn rate of a window is the share of bad events divided by the share
// that the objective allows: at a rate of 1 the budget lasts exactly for the
// period of the objective.
package burn

import (
	"sort"
	"time"
)

// Objective is the name of a service-level objective.
type Objective string

// The objectives. Their names have underscores because the metrics reporter
// replaces other separators in tag values.
const (
	Availability Objective = "availability"
	FirstToken   Objective = "first_token"
	TokenGap     Objective = "token_gap"
)

// Objectives lists the objectives in the order of the report.
var Objectives = []Objective{Availability, FirstToken, TokenGap}

// Windows lists the lengths of the windows in the order of the report. The last
// one is the longest.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Count counts events, and the bad ones among them.
type Count struct {
	Events uint64 `json:"events"`
	Bad    uint64 `json:"bad"`
}

// add returns the sum of two counts.
func (c Count) add(other Count) Count {
	return Count{Events: c.Events + other.Events, Bad: c.Bad + other.Bad}
}

// growthSince returns the events since an earlier count. If a number is lower
// than before, the process has restarted, so all events of c are new.
func (c Count) growthSince(earlier Count) Count {
	if c.Events < earlier.Events || c.Bad < earlier.Bad {
		return c
	}
	return Count{Events: c.Events - earlier.Events, Bad: c.Bad - earlier.Bad}
}

// Sample holds the counters of one VM at one time. They count from the start of
// its process.
type Sample struct {
	At     time.Time           `json:"at"`
	Counts map[Objective]Count `json:"counts"`
}

// History holds the samples of one VM that its windows need.
type History struct {
	samples []Sample
}

// Add appends a sample and removes those that no window needs any more. It
// ignores a sample that is not later than the last one.
func (h *History) Add(sample Sample) {
	if n := len(h.samples); n > 0 && !sample.At.After(h.samples[n-1].At) {
		return
	}
	h.samples = append(h.samples, sample)
	oldest := sample.At.Add(-Windows[len(Windows)-1])
	// The last sample before the longest window is kept, since the growth
	// within the window counts from it.
	for len(h.samples) > 1 && !h.samples[1].At.After(oldest) {
		h.samples = h.samples[1:]
	}
}

// Over returns the events in a window that ends at the last sample, and the
// time that the samples cover. That time is shorter than the window until the
// history is long enough.
func (h *History) Over(window time.Duration) (map[Objective]Count, time.Duration) {
	counts := make(map[Objective]Count)
	for _, objective := range Objectives {
		counts[objective] = Count{}
	}
	n := len(h.samples)
	if n < 2 {
		return counts, 0
	}
	last := h.samples[n-1]
	start := last.At.Add(-window)
	first := sort.Search(n, func(i int) bool { return h.samples[i].At.After(start) })
	first = max(0, first-1)
	for i := first + 1; i < n; i++ {
		for _, objective := range Objectives {
			growth := h.samples[i].Counts[objective].growthSince(h.samples[i-1].Counts[objective])
			counts[objective] = counts[objective].add(growth)
		}
	}
	return counts, min(window, last.At.Sub(h.samples[first].At))
}

// VM holds the targets and windows of one VM.
type VM struct {
	// Address is the admin address from which the numbers were read.
	Address string
	Targets map[Objective]float64
	Windows map[time.Duration]Window
}

// Window holds the events in one window of one VM.
type Window struct {
	Counts map[Objective]Count
	// Span is the time that the counts cover.
	Span time.Duration
}

// Report is the burn of several VMs together.
type Report struct {
	VMs        int               `json:"vms"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is the burn of one objective.
type ObjectiveReport struct {
	Objective Objective      `json:"objective"`
	Target    float64        `json:"target"`
	Windows   []WindowReport `json:"windows"`
	Alert     Alert          `json:"alert"`
}

// WindowReport is the burn of one objective in one window.
type WindowReport struct {
	WindowSeconds int64 `json:"windowSeconds"`
	// CoveredSeconds is the longest time that the counts of any VM cover.
	CoveredSeconds float64 `json:"coveredSeconds"`
	Count
	// BurnRate is 0 if there are no events.
	BurnRate float64 `json:"burnRate"`
}

// Alert says how urgent the burn of an objective is.
type Alert string

// The alerts, in ascending urgency.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// The alert thresholds for the usual pairs of a long and a short window. A page
// is raised at a rate that uses 2% of a 30-day budget in one hour, a ticket at
// a rate that uses 5% in six hours. The short window ends the alert soon after
// the burn ends.
const (
	pageRate   = 14.4
	ticketRate = 6
)

// Compute adds up the events of several VMs. If their targets differ, the
// strictest one applies.
func Compute(vms []VM) Report {
	report := Report{VMs: len(vms)}
	for _, objective := range Objectives {
		report.Objectives = append(report.Objectives, computeObjective(vms, objective))
	}
	return report
}

// computeObjective computes the burn of one objective in all windows, and its
// alert.
func computeObjective(vms []VM, objective Objective) ObjectiveReport {
	result := ObjectiveReport{Objective: objective, Alert: AlertNone}
	for _, vm := range vms {
		result.Target = max(result.Target, vm.Targets[objective])
	}
	rates := make(map[time.Duration]float64)
	for _, length := range Windows {
		window := WindowReport{WindowSeconds: int64(length / time.Second)}
		for _, vm := range vms {
			window.Count = window.add(vm.Windows[length].Counts[objective])
			window.CoveredSeconds = max(window.CoveredSeconds, vm.Windows[length].Span.Seconds())
		}
		window.BurnRate = burnRate(window.Count, result.Target)
		rates[length] = window.BurnRate
		result.Windows = append(result.Windows, window)
	}
	switch {
	case rates[time.Hour] > pageRate && rates[5*time.Minute] > pageRate:
		result.Alert = AlertPage
	case rates[6*time.Hour] > ticketRate && rates[30*time.Minute] > ticketRate:
		result.Alert = AlertTicket
	}
	return result
}

// burnRate returns the share of bad events divided by the share that the target
// allows, or 0 without events or with a target of 1.
func burnRate(count Count, target float64) float64 {
	if count.Events == 0 || target >= 1 {
		return 0
	}
	return float64(count.Bad) / float64(count.Events) / (1 - target)
}
