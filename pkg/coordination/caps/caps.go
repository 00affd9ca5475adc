// Package caps holds customers to their rate and burst over all VMs. Each VM
// counts what it admitted and tells the others its totals several times a
// second; every VM charges its bucket with what the others have added. While
// some VMs are silent, a VM uses only its side's share of the rate, since the
// silent ones may still admit behind a partition.
package caps

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Totals are the units that a VM has admitted since it started, by customer.
type Totals map[ids.CustomerID]int64

// Limit is a customer's rate and burst in units.
type Limit struct {
	Rate, Burst float64
}

type bucket struct {
	level float64
	at    time.Time
	limit Limit
}

type peerTotals struct {
	boot   ids.BootID
	totals Totals
}

// Caps is one VM's view of the use of all customers.
type Caps struct {
	buckets map[ids.CustomerID]*bucket
	own     Totals
	peers   map[ids.VMID]*peerTotals
	// share is the part of the rates that this VM's side may use.
	share float64
	full  bool
}

// New returns caps without use. Buckets start full if the whole system starts
// for the first time, otherwise with a part of the burst.
func New(full bool) *Caps {
	return &Caps{buckets: make(map[ids.CustomerID]*bucket), own: make(Totals), peers: make(map[ids.VMID]*peerTotals), share: 1, full: full}
}

// SetSides takes the number of VMs that answer, this one included, and of
// those that are silent.
func (c *Caps) SetSides(alive, silent int) {
	c.share = float64(alive) / float64(alive+silent)
}

// Figures of the order in which requests of a customer at its cap are served.
// They are parts of the burst.
const (
	// largestNeed bounds what a request needs in the bucket, so that one that
	// costs more than the burst can still run. It is charged in full, and the
	// debt delays the next ones.
	largestNeed = 0.5
	// generationReserve is kept for plain requests, which cost a tenth of a
	// generation, and urgencyStep for each level of urgency above a request's.
	generationReserve = 0.05
	urgencyStep       = 0.05
	maxReserve        = 0.3
	// startLevel is what a bucket holds when a VM starts: enough for its first
	// requests until it has heard the others. Eight VMs that start together
	// with a flood at each admit two bursts, the last of them a quarter of a
	// second later.
	startLevel = 0.25
)

// Demand is what a request asks of its customer's cap.
type Demand struct {
	// Cost is in the units of the limit.
	Cost int64
	// Generation is set for requests that generate tokens.
	Generation bool
	// Urgency ranks requests; 0 is the most urgent.
	Urgency int
}

// need returns the level at which a request is admitted.
func (d Demand) need(burst float64) float64 {
	reserve := 0.0
	if d.Generation {
		reserve = min(generationReserve+urgencyStep*float64(max(d.Urgency, 0)), maxReserve)
	}
	return min(float64(d.Cost), largestNeed*burst) + reserve*burst
}

// Admit charges a request. If the customer is over its cap, it returns the
// time after which there will be room. While the bucket is low, plain and more
// urgent requests are admitted before others.
func (c *Caps) Admit(now time.Time, customer ids.CustomerID, limit Limit, demand Demand) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	b := c.refill(now, customer, limit)
	if need := demand.need(limit.Burst); b.level < need {
		rate := limit.Rate * c.share
		return false, max(time.Duration((need-b.level)/rate*float64(time.Second)), minRetry)
	}
	b.level -= float64(demand.Cost)
	c.own[customer] += demand.Cost
	return true, 0
}

// Refund returns the cost of a request that did not run. The counted total
// stays, as peers may have seen it.
func (c *Caps) Refund(now time.Time, customer ids.CustomerID, limit Limit, cost int64) {
	if limit.Rate <= 0 {
		return
	}
	b := c.refill(now, customer, limit)
	b.level = min(b.level+float64(cost), limit.Burst)
}

func (c *Caps) refill(now time.Time, customer ids.CustomerID, limit Limit) *bucket {
	b := c.buckets[customer]
	if b == nil {
		b = &bucket{at: now, limit: limit, level: startLevel * limit.Burst}
		if c.full {
			b.level = limit.Burst
		}
		c.buckets[customer] = b
	}
	b.limit = limit
	b.level = min(b.level+now.Sub(b.at).Seconds()*limit.Rate*c.share, limit.Burst)
	b.at = now
	return b
}

// Own returns a copy of the totals of this VM.
func (c *Caps) Own() Totals {
	copied := make(Totals, len(c.own))
	for customer, total := range c.own {
		copied[customer] = total
	}
	return copied
}

// Hear takes the totals of a peer and charges what is new since the last ones.
// The first totals of a run are the base: their use is older than this VM's
// knowledge, or the peer's run has just started with zero.
func (c *Caps) Hear(now time.Time, peer ids.VMID, boot ids.BootID, uptime time.Duration, totals Totals) {
	known := c.peers[peer]
	if known == nil || known.boot != boot {
		base := totals
		if known != nil || uptime < freshRun {
			base = Totals{}
		}
		known = &peerTotals{boot: boot, totals: base}
		c.peers[peer] = known
	}
	for customer, total := range totals {
		added := total - known.totals[customer]
		if added <= 0 {
			continue
		}
		if b := c.buckets[customer]; b != nil {
			c.refill(now, customer, b.limit)
			// What a peer tells after a silence was used while this bucket was
			// capped at the burst, so only a part of it is still owed.
			floor := min(b.level, -peerDebt*b.limit.Burst)
			b.level = max(b.level-float64(added), floor)
		}
	}
	if len(totals) > 0 {
		known.totals = totals
	}
}

// minRetry keeps a refused caller from coming back at once.
const minRetry = 20 * time.Millisecond

// peerDebt bounds, in bursts, the debt that the totals of others leave. Without
// it a customer is refused for seconds after a partition or a restart.
const peerDebt = 0.3

// freshRun is the uptime below which a peer's totals count from zero.
const freshRun = 2 * time.Second
