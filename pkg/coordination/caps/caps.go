// Package caps enforces each customer's rate and burst over all VMs. Each VM
// counts what it admitted and sends its totals to the others several times a
// second; every VM charges its own bucket with what the others have added.
// While some VMs are unreachable, a VM uses only the share of the rate that
// belongs to its side of the partition, because the others may still be
// admitting requests on theirs. The node calls the package for each request and
// for each message from a peer.
//
// Totals arrive late, so many VMs together could admit several times a
// customer's rate before they stop. While the requests at all VMs together
// exceed the rate, each VM therefore admits only the share of requests that
// fits the rate.
package caps

import (
	"math"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Use is what a customer used since a VM started, in the units of its limit.
type Use struct {
	// Admitted counts the units of admitted requests, and Requested those of
	// all requests, refused ones included.
	Admitted  int64 `json:"a"`
	Requested int64 `json:"q"`
}

func (u Use) plus(added Use) Use {
	return Use{u.Admitted + added.Admitted, u.Requested + added.Requested}
}
func (u Use) minus(other Use) Use {
	return Use{u.Admitted - other.Admitted, u.Requested - other.Requested}
}

// Totals holds the use of each customer.
type Totals map[ids.CustomerID]Use

// Limit is a customer's rate, in units a second, and burst, in units.
type Limit struct {
	Rate, Burst float64
}

// bucket is a customer's token bucket on this VM. level is in units and is
// negative while there is a debt.
type bucket struct {
	level     float64
	updatedAt time.Time
	limit     Limit
}

// demandCounter counts the requested units at all VMs as an exponentially
// decaying sum.
type demandCounter struct {
	units     float64
	updatedAt time.Time
}

// peerTotals tracks the totals that one peer reported in its current run, which
// boot identifies.
type peerTotals struct {
	boot    ids.BootID
	heardAt time.Time
	totals  Totals
	// counted is the part of the peer's totals that was added to the totals of
	// this VM.
	counted Totals
}

// Limiter admits requests by the use of all customers, as far as this VM knows
// it. It is not safe for concurrent use; the caller holds a lock.
type Limiter struct {
	buckets        map[ids.CustomerID]*bucket
	demandCounters map[ids.CustomerID]*demandCounter
	// localTotals is the use at this VM and its leaves. fleetTotals is the use
	// at all VMs, as far as reports about it have reached this VM.
	localTotals, fleetTotals Totals
	peers                    map[reportSource]*peerTotals
	// rateShare is the part of each rate that the VMs on this side of a
	// partition may use, from 0 to 1.
	rateShare float64
	startFull bool
}

// New returns a limiter without any recorded use. Buckets start full if
// startFull is set, which is for the first start of the whole system, and
// otherwise with a part of the burst.
func New(startFull bool) *Limiter {
	return &Limiter{
		buckets: make(map[ids.CustomerID]*bucket), demandCounters: make(map[ids.CustomerID]*demandCounter),
		localTotals: make(Totals), fleetTotals: make(Totals), peers: make(map[reportSource]*peerTotals), rateShare: 1, startFull: startFull,
	}
}

// SetReachable sets the number of VMs that answer, this one included, and the
// number of VMs that do not.
func (l *Limiter) SetReachable(alive, silent int) {
	l.rateShare = float64(alive) / float64(alive+silent)
}

// Levels at which the requests of a customer near its limit are admitted, as
// parts of the burst.
const (
	// maxNeed bounds the level that a request needs for its cost, so that a
	// request that costs more than the burst can still run. It is charged in
	// full, and the resulting debt, which Limit.largestDebt bounds, delays the
	// next requests.
	maxNeed = 0.5
	// generationReserve is kept back from generations for plain requests, which
	// cost a tenth of a generation. urgencyStep is kept back in addition for
	// each level by which a generation is less urgent. maxReserve bounds the
	// sum.
	generationReserve = 0.05
	urgencyStep       = 0.05
	maxReserve        = 0.3
	// initialLevel is what a bucket holds when a VM starts: enough for its
	// first requests until reports from the other VMs arrive. Eight VMs that
	// start together while each is flooded admit two bursts, the last part of
	// them a quarter of a second later.
	initialLevel = 0.25
)

// Request describes a request for admission.
type Request struct {
	// Cost is in the units of the limit.
	Cost int64
	// Generation is set for requests that generate tokens.
	Generation bool
	// Urgency ranks requests; 0 is the most urgent.
	Urgency int
	// Draw is a random number in [0, 1). It decides whether the request belongs
	// to the admitted share while the customer is over its rate.
	Draw float64
}

// requiredLevel returns the bucket level at which the request is admitted.
func (d Request) requiredLevel(limit Limit) float64 {
	reserve := 0.0
	if d.Generation {
		reserve = min(generationReserve+urgencyStep*float64(max(d.Urgency, 0)), maxReserve)
	}
	need := min(float64(d.Cost), maxNeed*limit.Burst) + reserve*limit.Burst
	return max(need, float64(d.Cost)-limit.largestDebt())
}

// largestDebt returns how far below zero the level of a bucket may be: one burst
// plus what the rate earns in maxDebtTime, but at least one unit.
func (l Limit) largestDebt() float64 { return max(l.Burst+maxDebtTime.Seconds()*l.Rate, 1) }

// NeverAdmits reports whether a request of the given cost is refused even by a full
// bucket.
func (l Limit) NeverAdmits(cost int64) bool {
	return l.Rate > 0 && float64(cost)-l.largestDebt() > l.Burst
}

// Admit charges a request and reports whether it was admitted. If the customer
// is over its limit, Admit also returns the time after which a retry may
// succeed. While the bucket is low, plain and more urgent requests are admitted
// in preference to others. A request that no retry helps counts neither as use nor
// as demand, so that it does not keep the customer's other requests out.
func (l *Limiter) Admit(now time.Time, customer ids.CustomerID, limit Limit, request Request) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	if limit.NeverAdmits(request.Cost) {
		return false, maxRetryAfter
	}
	request.Cost = max(request.Cost, 0)
	b := l.refill(now, customer, limit)
	rate := limit.Rate * l.rateShare
	l.addDemand(now, customer, request.Cost)
	l.countLocal(customer, Use{Requested: request.Cost})
	if requiredLevel := request.requiredLevel(limit); b.level < requiredLevel {
		return false, timeToEarn(requiredLevel-b.level, rate)
	}
	if demandRate := l.demandRate(now, customer); demandRate > overRateFactor*rate && request.Draw >= (rate+b.level/levelSpendTime.Seconds())/demandRate {
		return false, timeToEarn(float64(request.Cost), rate)
	}
	b.level -= float64(request.Cost)
	l.countLocal(customer, Use{Admitted: request.Cost})
	return true, 0
}

// Bounds for admitting only a share of the requests while a customer requests
// more than its rate.
const (
	// overRateFactor is the multiple of the rate above which only a share of
	// the requests is admitted. The requests of a customer that keeps to its
	// rate vary by some percent from second to second.
	overRateFactor = 1.1
	// demandWindow is the time constant of the decaying demand sum. It covers
	// several exchanges between VMs.
	demandWindow = time.Second
	// levelSpendTime is the time over which the remaining level of the bucket
	// may be spent in addition to the rate.
	levelSpendTime = 2 * time.Second
)

// countLocal adds use at this VM.
func (l *Limiter) countLocal(customer ids.CustomerID, use Use) {
	l.localTotals[customer] = l.localTotals[customer].plus(use)
	l.fleetTotals[customer] = l.fleetTotals[customer].plus(use)
}

// addDemand adds requested units to the demand of a customer.
func (l *Limiter) addDemand(now time.Time, customer ids.CustomerID, units int64) {
	counter := l.demandCounters[customer]
	if counter == nil {
		counter = &demandCounter{updatedAt: now}
		l.demandCounters[customer] = counter
	}
	counter.units = counter.units*math.Exp(-now.Sub(counter.updatedAt).Seconds()/demandWindow.Seconds()) + float64(units)
	counter.updatedAt = now
}

// demandRate returns the demand of a customer at all VMs in units a second.
func (l *Limiter) demandRate(now time.Time, customer ids.CustomerID) float64 {
	counter := l.demandCounters[customer]
	if counter == nil {
		return 0
	}
	return counter.units * math.Exp(-now.Sub(counter.updatedAt).Seconds()/demandWindow.Seconds()) / demandWindow.Seconds()
}

// Refund gives back the cost of a request that did not run. The counted totals
// stay as they are, because peers may have seen them.
func (l *Limiter) Refund(now time.Time, customer ids.CustomerID, limit Limit, cost int64) {
	if limit.Rate <= 0 {
		return
	}
	b := l.refill(now, customer, limit)
	b.level = min(b.level+float64(cost), limit.Burst)
}

// SetLimits creates or updates the buckets of all customers, so that what other
// VMs admit is charged even before the first request of a customer at this VM.
func (l *Limiter) SetLimits(now time.Time, limits map[ids.CustomerID]Limit) {
	for customer, limit := range limits {
		if limit.Rate > 0 {
			l.refill(now, customer, limit)
		}
	}
}

func (l *Limiter) refill(now time.Time, customer ids.CustomerID, limit Limit) *bucket {
	b := l.buckets[customer]
	if b == nil {
		b = &bucket{updatedAt: now, limit: limit, level: initialLevel * limit.Burst}
		if l.startFull {
			b.level = limit.Burst
		}
		l.buckets[customer] = b
	}
	b.limit = limit
	b.level = min(b.level+now.Sub(b.updatedAt).Seconds()*limit.Rate*l.rateShare, limit.Burst)
	b.updatedAt = now
	return b
}

// LocalTotals returns the use at this VM and its leaves. A relay reports it to
// the other relays, and a leaf to its relay.
func (l *Limiter) LocalTotals() Totals { return l.localTotals.minus(nil) }

// TotalsForLeaf returns what a relay reports to one of its leaves: the use at
// all VMs without the part that the leaf itself reported.
func (l *Limiter) TotalsForLeaf(leaf ids.VMID) Totals {
	if state := l.peers[reportSource{vm: leaf}]; state != nil {
		return l.fleetTotals.minus(state.counted)
	}
	return l.fleetTotals.minus(nil)
}

func (t Totals) minus(other Totals) Totals {
	difference := make(Totals, len(t))
	for customer, use := range t {
		difference[customer] = use.minus(other[customer])
	}
	return difference
}

// Report is a peer's report of its use.
type Report struct {
	Boot   ids.BootID
	Uptime time.Duration
	Totals Totals
	// Leaf is set if the peer is a leaf of this VM, so that other VMs learn of
	// its use only through this one.
	Leaf bool
	// Fleet is set if a relay reports the use at all VMs, rather than only at
	// itself and its leaves.
	Fleet bool
}

// reportSource identifies a peer and the kind of totals that it reports. The
// two kinds are tracked separately, because a peer that becomes a leaf, or
// becomes the relay of this VM, switches from one to the other.
type reportSource struct {
	vm        ids.VMID
	fleetWide bool
}

// ApplyReport charges the buckets with the use that a peer reported in addition
// to its previous report. The first totals of a peer's run are only a baseline:
// either their use happened before this VM started to track the peer, or the
// run has just started and counts from zero.
func (l *Limiter) ApplyReport(now time.Time, peer ids.VMID, report Report) {
	source := reportSource{peer, report.Fleet}
	state := l.peers[source]
	if state == nil || state.boot != report.Boot {
		state = l.newPeerTotals(state, now, report)
		l.peers[source] = state
	}
	stale := now.Sub(state.heardAt) > staleAfter
	state.heardAt = now
	for customer, total := range report.Totals {
		added := total.minus(state.totals[customer])
		if added.Admitted <= 0 && added.Requested <= 0 {
			continue
		}
		if stale {
			added = Use{Admitted: min(added.Admitted, l.maxStaleCharge(customer))}
		}
		state.counted[customer] = state.counted[customer].plus(added)
		l.fleetTotals[customer] = l.fleetTotals[customer].plus(added)
		if report.Leaf {
			l.localTotals[customer] = l.localTotals[customer].plus(added)
		}
		l.addDemand(now, customer, added.Requested)
		if b := l.buckets[customer]; b != nil {
			l.refill(now, customer, b.limit)
			floor := min(b.level, -b.limit.largestDebt())
			b.level = max(b.level-float64(added.Admitted), floor)
		}
	}
	if len(report.Totals) > 0 {
		state.totals = report.Totals
	}
}

// newPeerTotals returns the state for a peer that is new or has restarted.
func (l *Limiter) newPeerTotals(previous *peerTotals, now time.Time, report Report) *peerTotals {
	state := &peerTotals{boot: report.Boot, heardAt: now, totals: report.Totals, counted: make(Totals)}
	// A new leaf has already reported its use to other VMs, and a relay that is
	// new to this VM reports the use of VMs that this VM has heard from
	// directly. Neither is counted from zero.
	countsFromZero := !report.Leaf && report.Uptime < newRunUptime
	if !report.Fleet && (previous != nil || countsFromZero) {
		state.totals = Totals{}
	}
	if previous != nil {
		state.counted = previous.counted
	}
	return state
}

// maxStaleCharge returns how much of a customer's use is still charged when a
// peer reports it after a silence. The use happened while the bucket of this VM
// could not fill beyond the burst; if it were charged in full, the customer
// would be refused for seconds after a partition or a restart.
func (l *Limiter) maxStaleCharge(customer ids.CustomerID) int64 {
	b := l.buckets[customer]
	if b == nil {
		return 0
	}
	return int64(staleChargePart * b.limit.Burst / float64(len(l.peers)))
}

// minRetryAfter keeps a refused caller from retrying at once, and maxRetryAfter
// bounds the time for requests and rates for which there is no sensible one.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Hour
)

// timeToEarn returns the time in which a rate earns the given units, for a caller that
// is to come back then.
func timeToEarn(units, rate float64) time.Duration {
	seconds := min(units/rate, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// maxDebtTime is the time in Limit.largestDebt, which bounds what a request, or use at
// other VMs, can leave in a bucket.
const maxDebtTime = time.Second

// Bounds for reports that a peer sends after a silence. A silence longer than
// staleAfter, five exchanges, makes a report stale. staleChargePart is the part
// of the burst that the stale reports of all peers together may charge.
const (
	staleAfter      = 1500 * time.Millisecond
	staleChargePart = 0.3
)

// newRunUptime is the uptime below which the totals of a peer count from zero.
const newRunUptime = 2 * time.Second
