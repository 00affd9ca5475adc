package placement

import (
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// meter counts what happens after the warm-up.
type meter struct {
	deployment deployment
	capacity   float64
	running    int
	waiting    int

	// busyTime is the time in which work waited, and occupied the share of all
	// batch places taken in it, times that time.
	busyTime float64
	occupied float64

	requests int
	stalls   int
	sent     []int
	refused  []int
	latency  [][]float64

	wrongVersion   int
	evictedServing int
	// bytes counts encoded peer messages by method, and messages their number.
	bytes    map[string]int
	messages map[string]int
}

func (m *meter) init(d deployment) {
	m.deployment = d
	m.capacity = float64(d.dataCentres * d.workers * d.maxBatch)
	m.sent = make([]int, len(d.customers))
	m.refused = make([]int, len(d.customers))
	m.latency = make([][]float64, len(d.customers))
	m.bytes = make(map[string]int)
	m.messages = make(map[string]int)
}

// pass accounts for the time between two events.
func (m *meter) pass(from, to time.Duration) {
	from = max(from, m.deployment.warmUp)
	if to <= from || m.waiting == 0 {
		return
	}
	span := (to - from).Seconds()
	m.busyTime += span
	m.occupied += span * float64(m.running) / m.capacity
}

func (m *meter) measured(a arrival) bool {
	return a.at >= m.deployment.warmUp && a.at < m.deployment.length-deadlineAfter
}

func (m *meter) arrived(a arrival, resident bool) {
	if !m.measured(a) {
		return
	}
	m.requests++
	m.sent[a.customer]++
	if !resident {
		m.stalls++
	}
}

func (m *meter) refuse(a arrival) {
	if m.measured(a) {
		m.refused[a.customer]++
	}
}

func (m *meter) firstToken(a arrival, now time.Duration) {
	if m.measured(a) {
		m.latency[a.customer] = append(m.latency[a.customer], (now - a.at).Seconds())
	}
}

// result is one row of the table.
type result struct {
	Deployment string
	System     string
	// StallsPerThousand counts requests whose adapter was resident nowhere
	// when they came.
	StallsPerThousand float64
	BatchOccupancy    float64
	Worst, Median     customerResult
	// Refused is the share of requests of customers within their rate that did
	// not start by their deadline, and FloodServed the requests per second
	// served of the customer above its rate.
	Refused     float64
	FloodServed float64
	Loads       int
	InFlight    int
	// Violations counts requests on a wrong version and evictions of serving
	// adapters.
	Violations int
}

// customerResult is the first token of one customer, in seconds.
type customerResult struct {
	Customer      ids.CustomerID
	P50, P95, P99 float64
}

func (m *meter) result(system string, s store) result {
	out := result{
		Deployment: m.deployment.name, System: system,
		StallsPerThousand: 1000 * float64(m.stalls) / float64(max(1, m.requests)),
		Loads:             s.loadsBegun, InFlight: s.mostAtOnce, Violations: m.wrongVersion + m.evictedServing,
	}
	if m.busyTime > 0 {
		out.BatchOccupancy = m.occupied / m.busyTime
	}
	var within []customerResult
	sent, refused := 0, 0
	span := (m.deployment.length - deadlineAfter - m.deployment.warmUp).Seconds()
	for c, load := range m.deployment.customers {
		if !load.withinRate() {
			out.FloodServed = float64(len(m.latency[c])) / span
			continue
		}
		sent += m.sent[c]
		refused += m.refused[c]
		sort.Float64s(m.latency[c])
		within = append(within, customerResult{
			Customer: load.id, P50: quantile(m.latency[c], 0.5), P95: quantile(m.latency[c], 0.95), P99: quantile(m.latency[c], 0.99),
		})
	}
	out.Refused = float64(refused) / float64(max(1, sent))
	sort.Slice(within, func(i, j int) bool { return within[i].P95 < within[j].P95 })
	if len(within) > 0 {
		out.Worst, out.Median = within[len(within)-1], within[(len(within)-1)/2]
	}
	return out
}
