// Package caps holds customers to their rate and burst over all VMs. Each VM
// counts what it admitted and tells the others its totals several times a
// second; every VM charges its bucket with what the others have added. While
// some VMs are silent, a VM uses only its side's share of the rate, since the
// silent ones may still admit behind a partition.
//
// Totals arrive late, so many VMs together would admit a customer far above its
// rate several times before they stop. While all VMs are asked for more than
// the rate, each therefore admits only the share of the requests that fits it.
package caps

import (
	"math"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Use is what a customer used since a VM started, in the units of its limit.
type Use struct {
	// Admitted counts admitted requests, and Asked all.
	Admitted int64 `json:"a"`
	Asked    int64 `json:"q"`
}

func (u Use) plus(more Use) Use  { return Use{u.Admitted + more.Admitted, u.Asked + more.Asked} }
func (u Use) minus(less Use) Use { return Use{u.Admitted - less.Admitted, u.Asked - less.Asked} }

// Totals are the use by customer.
type Totals map[ids.CustomerID]Use

// Limit is a customer's rate and burst in units.
type Limit struct {
	Rate, Burst float64
}

type bucket struct {
	level float64
	at    time.Time
	limit Limit
}

// demand is what all VMs are asked for, as a decaying sum.
type demand struct {
	units float64
	at    time.Time
}

type peerTotals struct {
	boot   ids.BootID
	at     time.Time
	totals Totals
	// counted is what the peer's totals have added here.
	counted Totals
}

// Caps is one VM's view of the use of all customers.
type Caps struct {
	buckets map[ids.CustomerID]*bucket
	demands map[ids.CustomerID]*demand
	// told is the use at this VM and its leaves, and all that at every VM as
	// far as this one was told.
	told, all Totals
	peers     map[teller]*peerTotals
	// share is the part of the rates that this VM's side may use.
	share float64
	full  bool
}

// New returns caps without use. Buckets start full if the whole system starts
// for the first time, otherwise with a part of the burst.
func New(full bool) *Caps {
	return &Caps{
		buckets: make(map[ids.CustomerID]*bucket), demands: make(map[ids.CustomerID]*demand),
		told: make(Totals), all: make(Totals), peers: make(map[teller]*peerTotals), share: 1, full: full,
	}
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
	// Draw is a random number from 0 to below 1.
	Draw float64
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
func (c *Caps) Admit(now time.Time, customer ids.CustomerID, limit Limit, d Demand) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	b := c.refill(now, customer, limit)
	rate := limit.Rate * c.share
	c.ask(now, customer, d.Cost)
	c.count(customer, Use{Asked: d.Cost})
	if need := d.need(limit.Burst); b.level < need {
		return false, max(time.Duration((need-b.level)/rate*float64(time.Second)), minRetry)
	}
	if asked := c.asked(now, customer); asked > overRate*rate && d.Draw >= (rate+b.level/levelTime.Seconds())/asked {
		return false, max(time.Duration(float64(d.Cost)/rate*float64(time.Second)), minRetry)
	}
	b.level -= float64(d.Cost)
	c.count(customer, Use{Admitted: d.Cost})
	return true, 0
}

// Figures of the share that is admitted while a customer asks for more than
// its rate.
const (
	// overRate is the multiple of the rate from which only a share is
	// admitted. A customer at its rate varies by some percent from second to
	// second.
	overRate = 1.1
	// demandTime is the time over which demand is counted: several exchanges.
	demandTime = time.Second
	// levelTime is the time in which what is left in the bucket may be used
	// beyond the rate.
	levelTime = 2 * time.Second
)

// count adds use at this VM.
func (c *Caps) count(customer ids.CustomerID, use Use) {
	c.told[customer] = c.told[customer].plus(use)
	c.all[customer] = c.all[customer].plus(use)
}

// ask adds to the demand for a customer's cap.
func (c *Caps) ask(now time.Time, customer ids.CustomerID, units int64) {
	d := c.demands[customer]
	if d == nil {
		d = &demand{at: now}
		c.demands[customer] = d
	}
	d.units = d.units*math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds()) + float64(units)
	d.at = now
}

// asked returns the demand of a customer at all VMs in units a second.
func (c *Caps) asked(now time.Time, customer ids.CustomerID) float64 {
	d := c.demands[customer]
	if d == nil {
		return 0
	}
	return d.units * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds()) / demandTime.Seconds()
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

// SetLimits takes the limits of all customers, so that what other VMs admit is
// charged before the first request of a customer here.
func (c *Caps) SetLimits(now time.Time, limits map[ids.CustomerID]Limit) {
	for customer, limit := range limits {
		if limit.Rate > 0 {
			c.refill(now, customer, limit)
		}
	}
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

// Told returns what a relay tells the other relays, and a leaf its relay: the
// totals of this VM and its leaves.
func (c *Caps) Told() Totals { return c.told.minus(nil) }

// ToldTo returns what a relay tells one of its leaves: the totals of all VMs
// without those of the leaf.
func (c *Caps) ToldTo(leaf ids.VMID) Totals {
	if known := c.peers[teller{vm: leaf}]; known != nil {
		return c.all.minus(known.counted)
	}
	return c.all.minus(nil)
}

func (t Totals) minus(other Totals) Totals {
	left := make(Totals, len(t))
	for customer, use := range t {
		left[customer] = use.minus(other[customer])
	}
	return left
}

// Report is what a peer tells of its use.
type Report struct {
	Boot   ids.BootID
	Uptime time.Duration
	Totals Totals
	// Leaf is set where other VMs know of the use only through this one.
	Leaf bool
	// Fleet is set where a relay tells the use at all VMs, and not only that
	// at itself and its leaves.
	Fleet bool
}

// teller is a VM and what it tells: the two kinds of totals of a VM that becomes
// a leaf, or the relay of another, are counted apart.
type teller struct {
	vm    ids.VMID
	fleet bool
}

// Hear takes the totals of a peer and charges what is new since the last ones.
// The first totals of a run are the base: their use is older than this VM's
// knowledge, or the peer's run has just started with zero.
func (c *Caps) Hear(now time.Time, peer ids.VMID, report Report) {
	from := teller{peer, report.Fleet}
	known := c.peers[from]
	if known == nil || known.boot != report.Boot {
		known = c.newRun(known, now, report)
		c.peers[from] = known
	}
	stale := now.Sub(known.at) > staleAfter
	known.at = now
	for customer, total := range report.Totals {
		added := total.minus(known.totals[customer])
		if added.Admitted <= 0 && added.Asked <= 0 {
			continue
		}
		if stale {
			added = Use{Admitted: min(added.Admitted, c.owed(customer))}
		}
		known.counted[customer] = known.counted[customer].plus(added)
		c.all[customer] = c.all[customer].plus(added)
		if report.Leaf {
			c.told[customer] = c.told[customer].plus(added)
		}
		c.ask(now, customer, added.Asked)
		if b := c.buckets[customer]; b != nil {
			c.refill(now, customer, b.limit)
			floor := min(b.level, -b.limit.Burst-maxDebt.Seconds()*b.limit.Rate)
			b.level = max(b.level-float64(added.Admitted), floor)
		}
	}
	if len(report.Totals) > 0 {
		known.totals = report.Totals
	}
}

// newRun returns the state of a peer that is new or has restarted.
func (c *Caps) newRun(before *peerTotals, now time.Time, report Report) *peerTotals {
	run := &peerTotals{boot: report.Boot, at: now, totals: report.Totals, counted: make(Totals)}
	// A leaf that is new has told its use to others before, and a relay that is
	// new to its leaf tells the use of VMs that the leaf has heard itself.
	unheard := !report.Leaf && report.Uptime < freshRun
	if !report.Fleet && (before != nil || unheard) {
		run.totals = Totals{}
	}
	if before != nil {
		run.counted = before.counted
	}
	return run
}

// owed returns how much of what a peer tells after a silence is still charged.
// It was used while this VM's bucket was capped at the burst; charged in full,
// the customer would be refused for seconds after a partition or a restart.
func (c *Caps) owed(customer ids.CustomerID) int64 {
	b := c.buckets[customer]
	if b == nil {
		return 0
	}
	return int64(peerDebt * b.limit.Burst / float64(len(c.peers)))
}

// minRetry keeps a refused caller from coming back at once.
const minRetry = 20 * time.Millisecond

// maxDebt bounds, besides a burst, what the use at other VMs may leave to be
// repaid, in seconds of the rate.
const maxDebt = time.Second

// Figures of what a peer tells after a silence: staleAfter is the silence, five
// exchanges, and peerDebt the part of the burst that is charged of what all peers tell.
const (
	staleAfter = 1500 * time.Millisecond
	peerDebt   = 0.3
)

// freshRun is the uptime below which a peer's totals count from zero.
const freshRun = 2 * time.Second
