// Package pace limits the requests to endpoints that have just started, have returned
// or have turned slow, and raises the limit as they answer. The owner of engines keeps
// one Group for them, since it hears of each of their requests; for plain endpoints,
// each VM keeps one for its own requests. An endpoint that is warm and healthy has no
// limit. The package is deterministic: time, randomness and outcomes are arguments.
package pace

import (
	"math"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Config holds the rates and times of a Group.
type Config struct {
	// StartRate is the number of requests a second with which an endpoint begins, over
	// all VMs, and StartShare the part of its usual rate if that is more.
	StartRate, StartShare float64
	// FullFactor is the multiple of the start rate from which there is no limit.
	FullFactor float64
	// Growth is what an answer that comes at once adds to the rate. One that takes
	// HoldShare of the time for a timely answer adds nothing, since requests queue up, unless
	// even the fastest one since the pace began took more than half of that: then it adds
	// nothing from half of HoldShare beyond the fastest one on.
	// For CautionTime after a cut, CautionGrowth replaces Growth above the rate to
	// which it was cut.
	Growth, CautionGrowth, HoldShare float64
	CautionTime                      time.Duration
	// CutFactor is the part of the rate of answers that is left after a late one, and
	// MinShare the part of the start rate below which it isn't cut.
	CutFactor, MinShare float64
	// LateShare is the part of the objective that an answer may take from its grant
	// on. The rest is for the wait before the grant.
	LateShare float64
	// An endpoint without a limit has turned slow if SlowShare of its answers within
	// about SlowAnswers of them are late, and less than half of that share at the
	// others. Where all answers are late, a limit for each endpoint would not help.
	SlowShare, SlowAnswers float64
	// UsualTime is the time over which the usual rate of an endpoint is averaged.
	UsualTime time.Duration
	// MaxEndpoints bounds the endpoints that are remembered.
	MaxEndpoints int
}

// DefaultConfig returns rates that double in 0.7 s under steady demand, so that a
// healthy endpoint is at its usual rate after 1.4 s and without a limit after 2.4 s.
func DefaultConfig() Config {
	return Config{
		StartRate: 2, StartShare: 0.25, FullFactor: 8, Growth: 1.2, CautionGrowth: 0.1, HoldShare: 0.5,
		CautionTime: 2 * time.Second, CutFactor: 0.9, MinShare: 0.25, LateShare: 0.8, SlowShare: 0.6, SlowAnswers: 10,
		UsualTime: 10 * time.Second, MaxEndpoints: 4096,
	}
}

// controller is the pace of one endpoint.
type controller struct {
	limited bool
	// rate is the number of requests that may start a second, and start the one with
	// which the pace began. cutAt is when the rate was last cut; zero if it was not.
	rate, start float64
	cutAt       time.Time
	// fastest is the shortest time of a timely answer since the pace began; 0 if there is
	// none.
	fastest time.Duration
	// served is the decayed number of answers within servedTime.
	served   float64
	servedAt time.Time
	// level is the number of requests that may start now. It is below 0 after requests
	// that had waited before the pace began.
	level     float64
	updatedAt time.Time
	// usual is the decayed number of starts within Config.UsualTime, counted since
	// usualSince.
	usual               float64
	usualAt, usualSince time.Time
	// answers and late are decayed counts, the last at countedAt, and answeredAt is when
	// the last timely answer came.
	answers, late         float64
	countedAt, answeredAt time.Time
}

// Group holds the pace of the endpoints of one kind. It is not safe for concurrent use.
type Group struct {
	config    Config
	endpoints map[ids.EndpointID]*controller
	share     float64
}

// New returns a Group without limits that has the whole rate of its endpoints.
func New(config Config) *Group {
	return &Group{config: config, endpoints: make(map[ids.EndpointID]*controller), share: 1}
}

// SetShare sets the part of Config.StartRate that belongs to this Group.
func (g *Group) SetShare(share float64) { g.share = share }

func (g *Group) endpoint(now time.Time, id ids.EndpointID) *controller {
	c := g.endpoints[id]
	if c == nil {
		c = &controller{updatedAt: now, usualAt: now, usualSince: now}
		if len(g.endpoints) < g.config.MaxEndpoints {
			g.endpoints[id] = c
		}
	}
	return c
}

// Begin limits an endpoint that has started or returned. phase is a random number in
// [0, 1), so that the first requests of many VMs are spread. It reports whether the
// endpoint had no limit.
func (g *Group) Begin(now time.Time, id ids.EndpointID, phase float64) bool {
	c := g.endpoint(now, id)
	began := !c.limited
	usual := 0.0
	if now.Sub(c.usualAt) <= maxUsualAge {
		// While the endpoint was away it had none, which says nothing of its share.
		usual = c.usualRate(c.usualAt, g.config.UsualTime)
	}
	if usual == 0 || now.Sub(c.usualAt) > g.config.UsualTime {
		usual = max(usual, g.meanUsual(now))
	}
	c.start = max(g.config.StartRate*g.share, g.config.StartShare*usual, minStartRate)
	c.begin(now, c.start, phase)
	return began
}

// maxUsualAge is the age from which the rate that an endpoint had before it was away is
// not used: an outage or an evacuation is usually over by then.
const maxUsualAge = 5 * time.Minute

// minStartRate lets a VM that does not know its fleet find out how an endpoint answers.
const minStartRate = 0.1

func (c *controller) begin(now time.Time, rate, phase float64) {
	c.limited, c.rate, c.cutAt, c.fastest = true, rate, time.Time{}, 0
	c.level, c.updatedAt = phase, now
	c.served, c.servedAt = 0, now
	c.answers, c.late = 0, 0
}

// meanUsual returns the mean usual rate of the endpoints that have one.
func (g *Group) meanUsual(now time.Time) float64 {
	sum, count := 0.0, 0
	for _, c := range g.endpoints {
		if usual := c.usualRate(now, g.config.UsualTime); usual > 0 && !c.limited {
			sum += usual
			count++
		}
	}
	return sum / float64(max(count, 1))
}

func (c *controller) usualRate(now time.Time, over time.Duration) float64 {
	counted := 1 - math.Exp(-max(now.Sub(c.usualSince), time.Second).Seconds()/over.Seconds())
	return c.usualCount(now, over) / over.Seconds() / counted
}

func (c *controller) usualCount(now time.Time, over time.Duration) float64 {
	return c.usual * math.Exp(-max(now.Sub(c.usualAt), 0).Seconds()/over.Seconds())
}

// Limited reports whether an endpoint has a limit.
func (g *Group) Limited(id ids.EndpointID) bool {
	c := g.endpoints[id]
	return c != nil && c.limited
}

// AnsweredSince reports whether an endpoint has given a timely answer since a time.
func (g *Group) AnsweredSince(id ids.EndpointID, since time.Time) bool {
	c := g.endpoints[id]
	return c != nil && !c.answeredAt.IsZero() && !c.answeredAt.Before(since)
}

// CountLimited returns the number of endpoints that have a limit.
func (g *Group) CountLimited() int {
	count := 0
	for _, c := range g.endpoints {
		if c.limited {
			count++
		}
	}
	return count
}

// Rate returns the requests that may start a second at an endpoint with a limit.
func (g *Group) Rate(id ids.EndpointID) float64 {
	if c := g.endpoints[id]; c != nil {
		return c.rate
	}
	return 0
}

// UntilStart returns how long a request behind the given number of others has to wait
// for its start; 0 if it may start now.
func (g *Group) UntilStart(now time.Time, id ids.EndpointID, ahead int) time.Duration {
	c := g.endpoints[id]
	if c == nil || !c.limited {
		return 0
	}
	c.refill(now)
	missing := float64(ahead+1) - c.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / c.rate * float64(time.Second)))
}

// refill adds what may start since the last call, at most one request or what may start
// in burstTime.
func (c *controller) refill(now time.Time) {
	c.level = min(c.level+max(now.Sub(c.updatedAt), 0).Seconds()*c.rate, max(1, c.rate*burstTime.Seconds()))
	c.updatedAt = now
}

const burstTime = 250 * time.Millisecond

// Started records that a request starts at an endpoint.
func (g *Group) Started(now time.Time, id ids.EndpointID) {
	c := g.endpoint(now, id)
	if c.limited {
		c.refill(now)
		c.level--
		return
	}
	c.usual, c.usualAt = c.usualCount(now, g.config.UsualTime)+1, now
}

// MaxInFlight returns how many requests may be between their grant and their first byte
// at an endpoint with a limit: those that start within the time that an answer may take,
// but at most full. It returns full without a limit. Without an objective, an answer may
// take defaultObjective.
func (g *Group) MaxInFlight(id ids.EndpointID, full int, objective time.Duration) int {
	c := g.endpoints[id]
	if c == nil || !c.limited {
		return full
	}
	if objective <= 0 {
		objective = defaultObjective
	}
	return min(max(int(c.rate*g.config.LateShare*objective.Seconds()), 1), full)
}

// Change is what an outcome changes in the pace of an endpoint.
type Change int

// The changes.
const (
	None Change = iota
	// Cut means that the rate was lowered, Full that there is no limit any more, and
	// Slow that an endpoint without a limit has turned slow and has one now.
	Cut
	Full
	Slow
)

// defaultObjective is used for requests whose routes have no objective.
const defaultObjective = time.Second

// Ended records that a request has got its first byte, or has ended without one, after
// the given time since its grant. A request that ended early without an answer says
// nothing, and any answer is timely where the route has no objective.
func (g *Group) Ended(now time.Time, id ids.EndpointID, took, objective time.Duration, answered bool) Change {
	c := g.endpoints[id]
	if c == nil || objective <= 0 && !answered {
		return None
	}
	if objective <= 0 {
		took, objective = 0, defaultObjective
	}
	late := float64(took) > g.config.LateShare*float64(objective)
	if !late && !answered {
		return None
	}
	decay := 1 - 1/g.config.SlowAnswers
	c.answers, c.late, c.countedAt = c.answers*decay+1, c.late*decay, now
	if late {
		c.late++
	} else {
		c.answeredAt = now
	}
	if answered {
		c.served, c.servedAt = c.servedRate(now)*servedTime.Seconds()+1, now
	}
	switch {
	case !c.limited:
		return g.checkSlow(now, id, c)
	case late:
		return g.cut(now, c, now.Add(-took))
	}
	growth := g.config.Growth
	if !c.cutAt.IsZero() && now.Sub(c.cutAt) < g.config.CautionTime {
		growth = g.config.CautionGrowth
	}
	hold := g.config.HoldShare * g.config.LateShare * float64(objective)
	c.refill(now)
	if took > 0 && (c.fastest == 0 || took < c.fastest) {
		c.fastest = took
	}
	// Growth does not fall below half without a queue.
	queued := max(float64(took)-max(float64(c.fastest)-hold/2, 0), 0)
	if c.rate += growth * max(1-queued/hold, 0); c.rate < g.config.FullFactor*c.start {
		return None
	}
	c.limited = false
	return Full
}

// Lift ends the limit of an endpoint that has said itself that it has room. It reports
// whether there was one.
func (g *Group) Lift(id ids.EndpointID) bool {
	c := g.endpoints[id]
	if c == nil || !c.limited {
		return false
	}
	c.limited = false
	return true
}

// servedTime is the time over which the rate of answers is averaged.
const servedTime = time.Second

// servedRate returns the answers a second of late, of an endpoint that has work.
func (c *controller) servedRate(now time.Time) float64 {
	return c.served * math.Exp(-max(now.Sub(c.servedAt), 0).Seconds()/servedTime.Seconds()) / servedTime.Seconds()
}

// cut lowers the rate, once for all requests that were granted before the last cut.
func (g *Group) cut(now time.Time, c *controller, granted time.Time) Change {
	if granted.Before(c.cutAt) {
		return None
	}
	c.refill(now)
	c.cutAt = now
	c.rate = max(min(c.rate, c.servedRate(now))*g.config.CutFactor, g.config.MinShare*c.start)
	return Cut
}

// checkSlow limits an endpoint whose answers are late while those of others are not, to
// half of its usual rate.
func (g *Group) checkSlow(now time.Time, id ids.EndpointID, c *controller) Change {
	share := c.late / c.answers
	if c.answers < g.config.SlowAnswers/2 || share < g.config.SlowShare || g.lateShareOfOthers(now, id) > share/2 {
		return None
	}
	usual := c.usualRate(now, g.config.UsualTime)
	c.start = max(g.config.StartRate*g.share, g.config.StartShare*usual, minStartRate)
	c.begin(now, max(usual/2, c.start), 0.5)
	c.cutAt = now
	return Slow
}

// maxOutcomeAge is the age of its last outcome from which an endpoint is not compared
// with others: what it answered before an evacuation or without demand says nothing of a
// burst that came since.
const maxOutcomeAge = 2 * time.Second

// lateShareOfOthers returns the share of late answers at the other endpoints.
func (g *Group) lateShareOfOthers(now time.Time, id ids.EndpointID) float64 {
	var answers, late float64
	for other, c := range g.endpoints {
		if other != id && now.Sub(c.countedAt) <= maxOutcomeAge {
			answers += c.answers
			late += c.late
		}
	}
	if answers == 0 {
		// Nothing shows that the endpoint is slower than others.
		return 1
	}
	return late / answers
}

// Prune forgets the endpoints that do not exist any more.
func (g *Group) Prune(exists func(ids.EndpointID) bool) {
	for id := range g.endpoints {
		if !exists(id) {
			delete(g.endpoints, id)
		}
	}
}
