// Package endpointload keeps what endpoints say of their load and chooses among
// endpoints by the time that a request can be expected to take there. The owner
// of engines keeps one Loads for them, and each VM one for plain endpoints. The
// package is deterministic: times and random numbers are arguments. The caller
// synchronizes access.
package endpointload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Figure is the load that an endpoint states about itself.
type Figure struct {
	Running, Waiting int
	// Slots is the number of requests that the endpoint runs at once; 0 if it is
	// not known.
	Slots int
	// Slowdown is how long work takes now, as a multiple of the usual time; 0 if it
	// is not stated.
	Slowdown float64
}

// Config holds the ages up to which figures are used.
type Config struct {
	// HalfLife is the age at which a stated load has half of its weight, and MaxAge
	// the age above which it has none.
	HalfLife, MaxAge time.Duration
	// CountLag is how long a request may take to show in the loads that VMs count.
	CountLag time.Duration
	// MaxSends is the number of sends kept per endpoint.
	MaxSends int
}

// DefaultConfig returns the ages for loads that change many times a second, and
// for counts that relays forward within some 300 ms.
func DefaultConfig() Config {
	return Config{HalfLife: 250 * time.Millisecond, MaxAge: time.Second, CountLag: 400 * time.Millisecond, MaxSends: 64}
}

// stated is what is known of one endpoint.
type stated struct {
	figure Figure
	at     time.Time
	// sends are the times of the last requests that were sent, in order.
	sends []time.Time
}

// Loads holds the last stated load of each endpoint.
type Loads struct {
	config    Config
	endpoints map[ids.EndpointID]*stated
}

// New returns a Loads that knows no endpoint.
func New(config Config) *Loads {
	return &Loads{config: config, endpoints: make(map[ids.EndpointID]*stated)}
}

func (l *Loads) endpoint(id ids.EndpointID) *stated {
	s := l.endpoints[id]
	if s == nil {
		s = &stated{}
		l.endpoints[id] = s
	}
	return s
}

// maxSlowdown bounds the slowdown that one answer can state, so that an endpoint
// with a wrong figure still gets requests. minSlowdown keeps it from getting all of
// them: at half of the usual time it has eight times the usual weight. maxRequests
// bounds each count, so that their sum does not overflow.
const (
	minSlowdown = 0.5
	maxSlowdown = 20
	maxRequests = 1 << 20
)

// Record records what an endpoint stated.
func (l *Loads) Record(now time.Time, id ids.EndpointID, figure Figure) {
	s := l.endpoint(id)
	if now.Before(s.at) {
		return
	}
	bounded := func(count int) int { return min(max(count, 0), maxRequests) }
	figure.Running, figure.Waiting, figure.Slots = bounded(figure.Running), bounded(figure.Waiting), bounded(figure.Slots)
	if figure.Slowdown <= 0 || math.IsNaN(figure.Slowdown) {
		figure.Slowdown = 1
	}
	figure.Slowdown = min(max(figure.Slowdown, minSlowdown), maxSlowdown)
	s.figure, s.at = figure, now
}

// Sent records that a request is sent to an endpoint.
func (l *Loads) Sent(now time.Time, id ids.EndpointID) {
	s := l.endpoint(id)
	if len(s.sends) >= l.config.MaxSends {
		s.sends = append(s.sends[:0], s.sends[1:]...)
	}
	s.sends = append(s.sends, now)
}

// sentAfter counts the requests sent after a time.
func (s *stated) sentAfter(after time.Time) int {
	count := 0
	for i := len(s.sends) - 1; i >= 0 && s.sends[i].After(after); i-- {
		count++
	}
	return count
}

// Forget removes what is known of an endpoint that has restarted.
func (l *Loads) Forget(id ids.EndpointID) { delete(l.endpoints, id) }

// Prune removes the endpoints that exists does not select.
func (l *Loads) Prune(exists func(ids.EndpointID) bool) {
	for id := range l.endpoints {
		if !exists(id) {
			delete(l.endpoints, id)
		}
	}
}

// Fresh reports whether an endpoint stated its load recently enough for it to be
// used.
func (l *Loads) Fresh(now time.Time, id ids.EndpointID) bool {
	s := l.endpoints[id]
	return s != nil && !s.at.IsZero() && now.Sub(s.at) < l.config.MaxAge
}

// FreshCount returns the number of endpoints whose stated load is used.
func (l *Loads) FreshCount(now time.Time) int {
	count := 0
	for id := range l.endpoints {
		if l.Fresh(now, id) {
			count++
		}
	}
	return count
}

// weight returns the weight of an endpoint's stated load.
func (l *Loads) weight(now time.Time, id ids.EndpointID) float64 {
	if !l.Fresh(now, id) {
		return 0
	}
	return math.Exp2(-now.Sub(l.endpoints[id].at).Seconds() / l.config.HalfLife.Seconds())
}

// Busy returns the expected number of requests at an endpoint: the stated ones
// and those sent since, and with the age of that figure more and more the counted
// ones and those sent too recently to be counted.
func (l *Loads) Busy(now time.Time, id ids.EndpointID, counted float64) float64 {
	s := l.endpoints[id]
	if s == nil {
		return counted
	}
	counted += float64(s.sentAfter(now.Add(-l.config.CountLag)))
	w := l.weight(now, id)
	if w == 0 {
		return counted
	}
	return w*float64(s.figure.Running+s.figure.Waiting+s.sentAfter(s.at)) + (1-w)*counted
}

// Slowdown returns the expected slowdown of an endpoint; 1 is usual.
func (l *Loads) Slowdown(now time.Time, id ids.EndpointID) float64 {
	w := l.weight(now, id)
	if w == 0 {
		return 1
	}
	return 1 + w*(l.endpoints[id].figure.Slowdown-1)
}

// utilizationCost is the part of a request's time that it is expected to lose at
// an endpoint whose slots are just all in use: requests of other VMs arrive
// between two figures. It keeps idle endpoints ahead of nearly full ones.
const utilizationCost = 0.25

// Times returns how many times the usual duration a request is expected to take at
// an endpoint, with the wait for a slot.
func (l *Loads) Times(now time.Time, id ids.EndpointID, counted float64) float64 {
	slots := 0
	if s := l.endpoints[id]; s != nil {
		slots = s.figure.Slots
	}
	wait := 0.0
	if slots > 0 {
		busy := l.Busy(now, id, counted)
		used := min(busy/float64(slots), 1)
		wait = max(busy+1-float64(slots), 0)/float64(slots) + utilizationCost*used*used
	}
	return l.Slowdown(now, id) * (1 + wait)
}

// Rank orders engines by their expected load, the lowest first. counted returns
// the load of an engine that VMs counted, and penalty a load to add to it.
func (l *Loads) Rank(now time.Time, engines []ids.EndpointID, counted, penalty func(ids.EndpointID) float64) []ids.EndpointID {
	loads := make(map[ids.EndpointID]float64, len(engines))
	for _, id := range engines {
		loads[id] = l.Slowdown(now, id) * (l.Busy(now, id, counted(id)) + penalty(id))
	}
	ranked := slices.Clone(engines)
	slices.SortStableFunc(ranked, func(a, b ids.EndpointID) int { return cmp.Compare(loads[a], loads[b]) })
	return ranked
}

// weightExponent makes an endpoint where a request takes twice as long get an
// eighth of the requests. With the least time alone, all VMs that hear the same
// figure would choose the same endpoint.
const weightExponent = 3

// Weight returns the weight of an endpoint in the choice of a VM. usual is how long
// a request usually takes, and link how much longer the endpoint is away than
// those of the own data centre.
func (l *Loads) Weight(now time.Time, id ids.EndpointID, counted float64, usual, link time.Duration) float64 {
	expected := l.Times(now, id, counted) + link.Seconds()/max(usual, time.Millisecond).Seconds()
	return math.Pow(expected, -weightExponent)
}
