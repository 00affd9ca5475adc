package endpointlimit

import (
	"math"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// ColdConfig holds the times of a Cold.
type ColdConfig struct {
	// SettleTime is how long a VM must have been an endpoint's coordinator in its own
	// view before it grants, and how long it must have heard more VMs before its share
	// grows. By then a coordinator on the other side of a cut has lowered its share:
	// members that relays report are suspected after 2 s, and the news of them is up
	// to 0.6 s old.
	SettleTime time.Duration
	// MaxViewAge is the age from which the view of the fleet is not used.
	MaxViewAge time.Duration
	// SendTime is the longest time from a grant to the arrival of its request.
	SendTime time.Duration
	// Tolerance is how much longer than known an endpoint must be cold by a peer's
	// report for that to count. It is more than a report is on its way, so that two
	// VMs don't prolong the time by telling each other.
	Tolerance time.Duration
	// MaxProlonging is by how much reports that are longer by less than that may prolong
	// the time together: late reports of the same answer would do so without an end. For
	// so long, a warm endpoint is remembered, so that they don't begin the time again.
	MaxProlonging time.Duration
	// MinDenial is the shortest time for which an endpoint is not asked for again.
	MinDenial time.Duration
	// MaxEndpoints bounds the endpoints that are remembered.
	MaxEndpoints int
}

// DefaultColdConfig returns the times for exchanges several times a second.
func DefaultColdConfig() ColdConfig {
	return ColdConfig{
		SettleTime: 3 * time.Second, MaxViewAge: 1500 * time.Millisecond, SendTime: 300 * time.Millisecond,
		Tolerance: 500 * time.Millisecond, MaxProlonging: 2 * time.Second, MinDenial: 50 * time.Millisecond, MaxEndpoints: 4096,
	}
}

// ColdTerms limit the requests to a cold endpoint.
type ColdTerms struct {
	// Rate is the number of requests a second that the endpoint takes, and Bound the
	// number that may reach it in any second.
	Rate, Bound float64
}

// minColdBurst is the number of grants that are kept for requests that come together,
// where Bound allows it; the rate gives way to them.
const minColdBurst = 3

// budget divides Bound into a rate and a burst: at most rate x (1 s + sendTime) + burst
// grants arrive within a second.
func (t ColdTerms) budget(sendTime time.Duration) (rate, burst float64) {
	window := 1 + sendTime.Seconds()
	reserved := max(1, min(minColdBurst, t.Bound/2))
	rate = max(min(t.Rate, (t.Bound-reserved)/window), 0)
	return rate, t.Bound - rate*window
}

// coldEndpoint is an endpoint that said that it is cold.
type coldEndpoint struct {
	// started identifies the endpoint's process.
	started int64
	until   time.Time
	// told is set if the endpoint's answer named the time, which other VMs don't learn
	// from the store.
	told bool
	// prolonged is by how much reports of peers have prolonged the time since the last
	// answer or a report that was longer by Config.MaxProlonging.
	prolonged time.Duration
	// reportedUntil is until when the endpoint is cold by the longest report that did not
	// count. VMs that believe it still need grants.
	reportedUntil time.Time
	// coordinatingSince is since when this VM is the endpoint's coordinator in its own
	// view; zero if it is not.
	coordinatingSince time.Time
	granted           bucket
}

// Cold is one VM's view of the endpoints that are cold. Requests to such an endpoint
// need a grant of its coordinator. Without an exchange, the sum of all grants stays
// within the terms: a coordinator grants the share of the VMs that it hears, a VM that
// has become one waits until the former one's share has shrunk, and a VM whose
// coordinator does not answer gets none. It is not safe for concurrent use.
type Cold struct {
	config    ColdConfig
	endpoints map[ids.EndpointID]*coldEndpoint

	self            ids.VMID
	candidates      []ids.VMID
	candidatesSince time.Time
	// share is the part of the fleet that this VM hears. A larger one counts once it
	// has held since risingSince for SettleTime.
	share, risingShare float64
	risingSince        time.Time
	// size is the size of the fleet; 0 if it is not known.
	size     int
	viewedAt time.Time
}

// NewCold returns a Cold without endpoints, for a VM that does not know its fleet.
func NewCold(config ColdConfig) *Cold {
	return &Cold{config: config, endpoints: make(map[ids.EndpointID]*coldEndpoint)}
}

// SetFleet sets the VMs that may be coordinators, how many VMs this VM hears, itself
// included, how many others may be running without being heard, and the estimated size
// of the fleet; 0 if that is not known.
func (c *Cold) SetFleet(now time.Time, self ids.VMID, candidates []ids.VMID, heard, unheard, size int) {
	candidates = slices.Sorted(slices.Values(candidates))
	if !slices.Equal(candidates, c.candidates) || c.candidatesSince.IsZero() || now.Sub(c.viewedAt) > c.config.MaxViewAge {
		c.candidatesSince = now
	}
	stale := now.Sub(c.viewedAt) > c.config.MaxViewAge
	c.self, c.candidates, c.size, c.viewedAt = self, candidates, size, now
	c.setShare(now, float64(heard)/float64(max(heard+unheard, size, 1)))
	for id, e := range c.endpoints {
		switch {
		case Coordinator(id, candidates) != self:
			e.coordinatingSince = time.Time{}
		case stale || e.coordinatingSince.IsZero():
			e.coordinatingSince = now
		}
	}
}

// setShare lowers the share at once and raises it after SettleTime.
func (c *Cold) setShare(now time.Time, share float64) {
	if share <= c.share {
		c.share, c.risingSince = share, time.Time{}
		return
	}
	if c.risingSince.IsZero() {
		c.risingSince, c.risingShare = now, share
	}
	c.risingShare = min(c.risingShare, share)
	if now.Sub(c.risingSince) >= c.config.SettleTime {
		c.share, c.risingSince = c.risingShare, time.Time{}
	}
}

// Record records how much longer an endpoint's process, which started at the given
// time, is cold, by its record or, if told is set, by its answer. It reports whether
// the endpoint was not known to be cold.
func (c *Cold) Record(now time.Time, id ids.EndpointID, started int64, remaining time.Duration, told bool) (began bool) {
	e := c.endpoints[id]
	if e != nil && e.started > started || remaining <= 0 {
		return false
	}
	began = e == nil || e.started != started || !now.Before(e.until)
	if e == nil && len(c.endpoints) >= c.config.MaxEndpoints {
		return false
	}
	if e == nil || e.started != started {
		e = &coldEndpoint{started: started, granted: bucket{updatedAt: now}}
		if len(c.candidates) > 0 && Coordinator(id, c.candidates) == c.self {
			e.coordinatingSince = c.candidatesSince
		}
		c.endpoints[id] = e
	}
	if began {
		e.granted = bucket{updatedAt: now}
	}
	until := now.Add(remaining)
	switch {
	case told:
		e.until, e.told, e.prolonged, e.reportedUntil = until, true, 0, time.Time{}
	case until.After(e.until):
		e.until = until
	}
	return began
}

// Remaining returns how much longer an endpoint's process, which started at the given
// time, or a later one of which peers told is cold.
func (c *Cold) Remaining(now time.Time, id ids.EndpointID, started int64) time.Duration {
	e := c.endpoints[id]
	if e == nil || e.started < started {
		return 0
	}
	return max(e.until.Sub(now), 0)
}

// KnowsFleet reports whether this VM knows the size of its fleet. If not, it sends
// cold endpoints no requests.
func (c *Cold) KnowsFleet(now time.Time) bool {
	return c.size > 0 && now.Sub(c.viewedAt) <= c.config.MaxViewAge
}

// Grant decides, at an endpoint's coordinator, whether a request may be sent to it. If
// not, it returns the time after which one may be. A VM that has not been told that the
// endpoint is cold grants none: it may just have started.
func (c *Cold) Grant(now time.Time, id ids.EndpointID, terms ColdTerms) (granted bool, wait time.Duration) {
	e := c.endpoints[id]
	if e == nil {
		return false, c.config.Tolerance
	}
	until := e.until
	if e.reportedUntil.After(until) {
		until = e.reportedUntil
	}
	if !now.Before(until) {
		return true, 0
	}
	denied := func(wait time.Duration) (bool, time.Duration) {
		// The endpoint takes requests without a grant once it is warm.
		return false, max(min(wait, until.Sub(now)), c.config.MinDenial)
	}
	rate, burst := terms.budget(c.config.SendTime)
	rate, burst = rate*c.share, burst*c.share
	switch {
	case !c.KnowsFleet(now) || e.coordinatingSince.IsZero():
		return denied(c.config.Tolerance)
	case now.Sub(e.coordinatingSince) < c.config.SettleTime:
		return denied(c.config.SettleTime - now.Sub(e.coordinatingSince))
	case burst < 1 || rate <= 0:
		// The parts of a cut whose share of the burst is below one request would
		// together exceed it with one request each.
		return denied(maxWait)
	}
	e.granted.level = min(e.granted.level+max(now.Sub(e.granted.updatedAt), 0).Seconds()*rate, burst)
	e.granted.updatedAt = now
	if e.granted.level >= 1 {
		e.granted.level--
		return true, 0
	}
	return denied(time.Duration(math.Ceil((1 - e.granted.level) / rate * float64(time.Second))))
}

// ColdReport is how much longer an endpoint's process is cold, as VMs tell it to each
// other.
type ColdReport struct {
	Started     int64 `json:"s,omitempty"`
	RemainingMs int64 `json:"ms"`
}

// Reports returns the cold endpoints whose answers said so.
func (c *Cold) Reports(now time.Time) map[ids.EndpointID]ColdReport {
	var reports map[ids.EndpointID]ColdReport
	for id, e := range c.endpoints {
		if remaining := e.until.Sub(now); e.told && remaining > 0 {
			if reports == nil {
				reports = make(map[ids.EndpointID]ColdReport)
			}
			reports[id] = ColdReport{Started: e.started, RemainingMs: remaining.Milliseconds()}
		}
	}
	return reports
}

// Apply merges what a peer knows of an endpoint. It reports whether the endpoint was
// not known to be cold.
func (c *Cold) Apply(now time.Time, id ids.EndpointID, report ColdReport) (began bool) {
	if report.RemainingMs <= 0 || report.RemainingMs > maxColdReport.Milliseconds() {
		return false
	}
	remaining := time.Duration(report.RemainingMs) * time.Millisecond
	e := c.endpoints[id]
	if e == nil || e.started != report.Started {
		return c.Record(now, id, report.Started, remaining, true)
	}
	longer, prolonged := now.Add(remaining).Sub(e.until), e.prolonged
	if until := now.Add(remaining); until.After(e.reportedUntil) {
		e.reportedUntil = until
	}
	switch {
	case longer <= c.config.Tolerance:
		return false
	case longer > c.config.MaxProlonging:
		prolonged = 0
	case prolonged+longer > c.config.MaxProlonging:
		return false
	default:
		prolonged += longer
	}
	began = c.Record(now, id, report.Started, remaining, true)
	e.prolonged = prolonged
	return began
}

// maxColdReport bounds the time that a peer may report.
const maxColdReport = time.Hour

// Prune forgets the endpoints that are warm or no longer exist, and returns them. The
// function returns the start of an endpoint's process and whether it is listed.
func (c *Cold) Prune(now time.Time, listed func(ids.EndpointID) (int64, bool)) (ended []ids.EndpointID) {
	for id, e := range c.endpoints {
		started, exists := listed(id)
		if !exists || started > e.started || now.Sub(e.until) > c.config.MaxProlonging {
			delete(c.endpoints, id)
			ended = append(ended, id)
		}
	}
	return ended
}

// Count returns how many endpoints are cold.
func (c *Cold) Count(now time.Time) int {
	count := 0
	for _, e := range c.endpoints {
		if now.Before(e.until) {
			count++
		}
	}
	return count
}
