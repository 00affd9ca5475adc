package limits

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Method is a way to limit customers over a fleet.
type Method string

// The compared methods. All let a request wait equally long.
const (
	// Static gives each VM its share and no transfer.
	Static Method = "static"
	// GCRA runs one generic cell rate algorithm per VM at rate/N.
	GCRA Method = "gcra"
	// Transfer lends tokens between VMs on demand.
	Transfer Method = "transfer"
)

// ideal is one token bucket for the whole fleet, which no real fleet has.
type ideal struct {
	rate, burst, level float64
	at                 time.Duration
}

func newIdeal(rate, burst float64) *ideal { return &ideal{rate: rate, burst: burst, level: burst} }

// admit tells whether the bucket has the cost, and takes it.
func (b *ideal) admit(now time.Duration, cost int64) bool {
	b.level = min(b.level+b.rate*(now-b.at).Seconds(), b.burst)
	b.at = now
	if float64(cost) > b.level {
		return false
	}
	b.level -= float64(cost)
	return true
}

// cell is a generic cell rate limiter with a bounded wait: arrivals are
// scheduled at the theoretical arrival time less the burst tolerance.
type cell struct {
	rate, burst float64
	// arrival is the theoretical arrival time.
	arrival time.Duration
}

// admit returns when the request runs, or false if that is after the wait.
func (c *cell) admit(now time.Duration, cost int64, wait time.Duration) (time.Duration, bool) {
	if float64(cost) > c.burst {
		return 0, false
	}
	increment := time.Duration(float64(cost) / c.rate * float64(time.Second))
	tolerance := time.Duration(c.burst / c.rate * float64(time.Second))
	next := max(c.arrival, now) + increment
	start := max(now, next-tolerance)
	if start > now+wait {
		return 0, false
	}
	c.arrival = next
	return start, true
}

// cells are the limiters of a fleet in which every VM has rate/N. A new VM
// starts with a whole burst, as such limiters do.
type cells map[*Node]map[ids.CustomerID]*cell

func (c cells) of(n *Node, p Customer, vms int) *cell {
	if c[n] == nil {
		c[n] = map[ids.CustomerID]*cell{}
	}
	if c[n][p.ID] == nil {
		c[n][p.ID] = &cell{rate: p.Rate / float64(vms), burst: p.Burst / float64(vms)}
	}
	return c[n][p.ID]
}

// policyOf returns a customer's policy over the data centres.
func policyOf(c Customer, dcs map[ids.DataCentreID]limits.DataCentre) limits.Policy {
	return limits.Policy{Revision: 1, Rate: c.Rate, Burst: c.Burst, DataCentres: dcs}
}
