// Package balance picks the endpoint of a request from the load and the recent
// failures of each. It is deterministic: time and outcomes are arguments.
package balance

import (
	"hash/fnv"
	"math"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Config holds the weights of the choice.
type Config struct {
	DataCentre ids.DataCentreID
	// Distance is the load that an endpoint of another data centre counts as
	// carrying more.
	Distance float64
	// RunningWeight is the load of a stream that has begun, against 1 of one
	// whose prompt is still to be read.
	RunningWeight float64
	// EjectBase is the first time that a failing endpoint gets no requests;
	// it doubles with each further failure up to EjectMax.
	EjectBase, EjectMax time.Duration
	// FailureStreak is the number of failures in a row that eject an endpoint.
	FailureStreak int
	// SharedHalfLife is that of the outcomes that VMs tell each other.
	SharedHalfLife time.Duration
	// SharedFailures is the recent failures at all VMs from which an endpoint
	// that fails a large share gets no requests of any VM.
	SharedFailures float64
	// PauseWeight is the load that an engine counts as carrying more if all
	// its streams pause for longer than their objective.
	PauseWeight float64
	// PauseMax bounds that load, so that such an engine is still used when the
	// others are overloaded.
	PauseMax float64
	// PauseHalfLife is that of the counts of streams and late pauses.
	PauseHalfLife time.Duration
	// Jitter is the load by which endpoints count as equal, so that VMs which
	// learn of each other's requests late do not all choose the same one.
	Jitter float64
	// PeerLoadAge is how long a peer's load report counts.
	PeerLoadAge time.Duration
}

// DefaultConfig returns the weights for engines whose prompts cost several
// times what a running stream costs.
func DefaultConfig(dc ids.DataCentreID) Config {
	return Config{
		DataCentre:     dc,
		Distance:       0.5,
		RunningWeight:  0.15,
		EjectBase:      400 * time.Millisecond,
		EjectMax:       4 * time.Second,
		FailureStreak:  2,
		SharedHalfLife: 2 * time.Second,
		SharedFailures: 2,
		PauseWeight:    24,
		PauseMax:       8,
		PauseHalfLife:  10 * time.Second,
		PeerLoadAge:    1500 * time.Millisecond,
	}
}

// Load is the requests that a VM has at an endpoint.
type Load struct {
	// Starting requests have had no answer yet.
	Starting int `json:"s,omitempty"`
	// Running requests have begun their answer.
	Running int `json:"r,omitempty"`
}

// Pauses counts streams and those that paused for longer than their objective.
type Pauses struct {
	Streams float64 `json:"n"`
	Late    float64 `json:"l,omitempty"`
}

// Outcome is how a request at an endpoint ended.
type Outcome int

// The outcomes of requests.
const (
	// Served requests had a whole answer, whatever its status.
	Served Outcome = iota
	// Shed requests were refused without having run.
	Shed
	// Failed requests had no answer, or one that cannot be used.
	Failed
	// Abandoned requests were ended by this side.
	Abandoned
	// Unreachable requests were not sent, as nothing listens at the endpoint's
	// address or no path leads there.
	Unreachable
)

type state struct {
	load   Load
	streak int
	// failures is a decaying share of failed requests.
	failures float64
	ejected  time.Time
	until    time.Time
	backoff  time.Duration
	trial    bool
	pauses   Pauses
	pausesAt time.Time
	// outcomes are those at this VM of late.
	outcomes   Outcomes
	outcomesAt time.Time
}

// Outcomes are decaying counts of requests that ended at an endpoint.
type Outcomes struct {
	Served float64 `json:"s"`
	Failed float64 `json:"f"`
}

func (o Outcomes) plus(more Outcomes) Outcomes {
	return Outcomes{o.Served + more.Served, o.Failed + more.Failed}
}

type peerLoads struct {
	at       time.Time
	loads    map[ids.EndpointID]Load
	pauses   map[ids.EndpointID]Pauses
	pausesAt time.Time
	outcomes map[ids.EndpointID]Outcomes
}

// Balancer holds the state of all endpoints as one VM sees it.
type Balancer struct {
	config Config
	states map[ids.EndpointID]*state
	peers  map[ids.VMID]peerLoads
}

// New returns a balancer without load.
func New(config Config) *Balancer {
	return &Balancer{config: config, states: make(map[ids.EndpointID]*state), peers: make(map[ids.VMID]peerLoads)}
}

// SetJitter changes the load by which endpoints count as equal.
func (b *Balancer) SetJitter(jitter float64) { b.config.Jitter = jitter }

func (b *Balancer) state(id ids.EndpointID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// Told is what a peer has counted.
type Told struct {
	Loads map[ids.EndpointID]Load `json:"loads"`
	// Pauses are left out of most messages; the last ones stay.
	Pauses map[ids.EndpointID]Pauses `json:"pauses,omitempty"`
	// Outcomes are those of endpoints that failed requests of late.
	Outcomes map[ids.EndpointID]Outcomes `json:"outcomes,omitempty"`
}

// Hear takes what a peer has counted.
func (b *Balancer) Hear(now time.Time, peer ids.VMID, from Told) {
	told := peerLoads{at: now, loads: from.Loads, pauses: from.Pauses, pausesAt: now, outcomes: from.Outcomes}
	if from.Pauses == nil {
		told.pauses, told.pausesAt = b.peers[peer].pauses, b.peers[peer].pausesAt
	}
	b.peers[peer] = told
}

// Paused counts a stream that has ended, and whether it paused for too long.
func (b *Balancer) Paused(now time.Time, id ids.EndpointID, late bool) {
	s := b.state(id)
	s.fade(now, b.config.PauseHalfLife)
	s.pauses.Streams++
	if late {
		s.pauses.Late++
	}
}

func (s *state) fade(now time.Time, halfLife time.Duration) {
	keep := math.Exp2(-now.Sub(s.pausesAt).Seconds() / halfLife.Seconds())
	s.pauses.Streams *= keep
	s.pauses.Late *= keep
	s.pausesAt = now
}

// Pauses returns what this VM and the peers that are asked for have counted.
func (b *Balancer) Pauses(now time.Time, with func(ids.VMID) bool) map[ids.EndpointID]Pauses {
	pauses := make(map[ids.EndpointID]Pauses)
	for id, s := range b.states {
		s.fade(now, b.config.PauseHalfLife)
		pauses[id] = s.pauses
	}
	for peer, told := range b.peers {
		if now.Sub(told.pausesAt) > b.config.PauseHalfLife || !with(peer) {
			continue
		}
		for id, more := range told.pauses {
			sum := pauses[id]
			pauses[id] = Pauses{Streams: sum.Streams + more.Streams, Late: sum.Late + more.Late}
		}
	}
	for id, sum := range pauses {
		if sum.Streams < pausesWorthTelling {
			delete(pauses, id)
			continue
		}
		pauses[id] = Pauses{Streams: round(sum.Streams), Late: round(sum.Late)}
	}
	return pauses
}

// round keeps two decimals, so that messages stay short.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// pausesWorthTelling keeps counts that have faded out of the messages.
const pausesWorthTelling = 0.2

// pausePrior is the number of streams on time that every engine is assumed to
// have had, so that a single pause does not set it apart.
const pausePrior = 4.0

// pauseRisk is the share of an engine's streams that paused for too long.
func (b *Balancer) pauseRisk(now time.Time, id ids.EndpointID) float64 {
	total := Pauses{Streams: pausePrior}
	if s := b.states[id]; s != nil {
		total.Streams += s.pauses.Streams
		total.Late += s.pauses.Late
	}
	for _, peer := range b.peers {
		if now.Sub(peer.pausesAt) <= b.config.PauseHalfLife {
			total.Streams += peer.pauses[id].Streams
			total.Late += peer.pauses[id].Late
		}
	}
	return total.Late / total.Streams
}

// Loads returns the loads of this VM and of the peers that are asked for.
func (b *Balancer) Loads(now time.Time, with func(ids.VMID) bool) map[ids.EndpointID]Load {
	loads := make(map[ids.EndpointID]Load)
	for id, s := range b.states {
		if s.load != (Load{}) {
			loads[id] = s.load
		}
	}
	for peer, told := range b.peers {
		if now.Sub(told.at) > b.config.PeerLoadAge || !with(peer) {
			continue
		}
		for id, more := range told.loads {
			sum := loads[id]
			loads[id] = Load{Starting: sum.Starting + more.Starting, Running: sum.Running + more.Running}
		}
	}
	return loads
}

// Outcomes returns the recent outcomes at this VM and the peers that are asked
// for, of endpoints that failed requests.
func (b *Balancer) Outcomes(now time.Time, with func(ids.VMID) bool) map[ids.EndpointID]Outcomes {
	sums := make(map[ids.EndpointID]Outcomes)
	for id, s := range b.states {
		sums[id] = s.recent(now, b.config.SharedHalfLife)
	}
	for peer, told := range b.peers {
		if now.Sub(told.at) > b.config.PeerLoadAge || !with(peer) {
			continue
		}
		for id, more := range told.outcomes {
			sums[id] = sums[id].plus(more)
		}
	}
	for id, sum := range sums {
		if sum.Failed < failuresWorthTelling {
			delete(sums, id)
			continue
		}
		sums[id] = Outcomes{Served: round(sum.Served), Failed: round(sum.Failed)}
	}
	return sums
}

// failuresWorthTelling keeps counts that have faded out of the messages.
const failuresWorthTelling = 0.2

// recent returns the outcomes at this VM as they have faded by now.
func (s *state) recent(now time.Time, halfLife time.Duration) Outcomes {
	keep := math.Exp2(-now.Sub(s.outcomesAt).Seconds() / halfLife.Seconds())
	return Outcomes{Served: s.outcomes.Served * keep, Failed: s.outcomes.Failed * keep}
}

// record adds an outcome.
func (s *state) record(now time.Time, halfLife time.Duration, more Outcomes) {
	s.outcomes, s.outcomesAt = s.recent(now, halfLife).plus(more), now
}

// failsElsewhere reports whether the VMs together saw an endpoint fail a large
// share of its requests. One VM of many sends too few to tell by itself.
func (b *Balancer) failsElsewhere(now time.Time, id ids.EndpointID) bool {
	var sum Outcomes
	for _, peer := range b.peers {
		if now.Sub(peer.at) <= b.config.PeerLoadAge {
			sum = sum.plus(peer.outcomes[id])
		}
	}
	if sum.Failed == 0 {
		return false
	}
	if s := b.states[id]; s != nil {
		sum = sum.plus(s.recent(now, b.config.SharedHalfLife))
	}
	return sum.Failed >= b.config.SharedFailures && sum.Failed > failureShare*(sum.Failed+sum.Served)
}

// Restarted forgets what is known of an endpoint whose process is new.
func (b *Balancer) Restarted(id ids.EndpointID) {
	if s := b.states[id]; s != nil {
		b.states[id] = &state{load: s.load}
	}
	for _, peer := range b.peers {
		delete(peer.outcomes, id)
	}
}

// Keep forgets endpoints that are gone and carry no load.
func (b *Balancer) Keep(known map[ids.EndpointID]*serving.Endpoint) {
	for id, s := range b.states {
		if known[id] == nil && s.load == (Load{}) {
			delete(b.states, id)
		}
	}
}

// Total returns the requests of all VMs at an endpoint.
func (b *Balancer) Total(now time.Time, id ids.EndpointID) Load {
	var total Load
	if s := b.states[id]; s != nil {
		total = s.load
	}
	for _, peer := range b.peers {
		if now.Sub(peer.at) <= b.config.PeerLoadAge {
			load := peer.loads[id]
			total.Starting += load.Starting
			total.Running += load.Running
		}
	}
	return total
}

// Weight returns the load of an endpoint as one number.
func (b *Balancer) Weight(now time.Time, id ids.EndpointID) float64 {
	total := b.Total(now, id)
	return float64(total.Starting) + b.config.RunningWeight*float64(total.Running) + min(b.config.PauseWeight*b.pauseRisk(now, id), b.config.PauseMax)
}

// Available reports whether an endpoint may get a request now.
func (b *Balancer) Available(now time.Time, id ids.EndpointID) bool {
	if b.failsElsewhere(now, id) {
		return false
	}
	s := b.states[id]
	if s == nil || s.until.IsZero() {
		return true
	}
	// After its time out an endpoint gets one request as a trial.
	return !now.Before(s.until) && !s.trial
}

// Pick returns the endpoint with the least load among those that may get
// requests, or among all if none may. It returns nil for no endpoints.
func (b *Balancer) Pick(now time.Time, endpoints []*serving.Endpoint, salt uint64) *serving.Endpoint {
	var best, fallback *serving.Endpoint
	var bestScore, fallbackScore float64
	for i, e := range endpoints {
		score := b.Weight(now, e.ID)
		if e.DataCentre != b.config.DataCentre {
			score += b.config.Distance
		}
		score += float64((salt+uint64(i)*spread)%tieSteps) * tieWeight
		if b.config.Jitter > 0 {
			score += b.config.Jitter * fraction(salt, e.ID)
		}
		if b.Available(now, e.ID) {
			if best == nil || score < bestScore {
				best, bestScore = e, score
			}
		} else if fallback == nil || score < fallbackScore {
			fallback, fallbackScore = e, score
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// Ties between equal endpoints are broken by a salt, so that VMs with the same
// view do not all send to the same endpoint.
const (
	spread    = 7
	tieSteps  = 16
	tieWeight = 0.001
)

// fraction returns a number from 0 to below 1 for a salt and an endpoint.
func fraction(salt uint64, id ids.EndpointID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return float64(mix(h.Sum64()^salt)>>11) / (1 << 53)
}

// Begin counts a request that is about to be sent.
func (b *Balancer) Begin(now time.Time, id ids.EndpointID) {
	s := b.state(id)
	s.load.Starting++
	if !s.until.IsZero() && !now.Before(s.until) {
		s.trial = true
	}
}

// Started counts the first byte of the answer's body.
func (b *Balancer) Started(id ids.EndpointID) {
	s := b.state(id)
	s.load.Starting--
	s.load.Running++
}

// End takes the outcome of a request. Started tells whether its answer had
// begun.
func (b *Balancer) End(now time.Time, id ids.EndpointID, started bool, outcome Outcome) (ejected bool) {
	s := b.state(id)
	if started {
		s.load.Running--
	} else {
		s.load.Starting--
	}
	s.trial = false
	switch outcome {
	case Unreachable:
		s.record(now, b.config.SharedHalfLife, Outcomes{Failed: b.config.SharedFailures})
		b.eject(now, s)
		return true
	case Served:
		s.record(now, b.config.SharedHalfLife, Outcomes{Served: 1})
		s.streak, s.backoff, s.until = 0, 0, time.Time{}
		s.failures *= failureKeep
	case Failed:
		s.record(now, b.config.SharedHalfLife, Outcomes{Failed: 1})
		s.streak++
		s.failures = s.failures*failureKeep + 1 - failureKeep
		if s.streak >= b.config.FailureStreak || s.failures > failureShare {
			b.eject(now, s)
			return true
		}
	}
	return false
}

// An endpoint that fails about a third of its requests is ejected even if the
// failures are not in a row.
const (
	failureKeep  = 0.8
	failureShare = 0.34
)

// Eject keeps requests from an endpoint that cannot be reached.
func (b *Balancer) Eject(now time.Time, id ids.EndpointID) { b.eject(now, b.state(id)) }

func (b *Balancer) eject(now time.Time, s *state) {
	if now.Before(s.until) {
		return
	}
	s.backoff = min(max(2*s.backoff, b.config.EjectBase), b.config.EjectMax)
	s.ejected, s.until = now, now.Add(s.backoff)
	s.failures = 0
}

// Rank orders endpoints for a key by a hash, the same at all VMs.
func Rank(key string, endpoints []*serving.Endpoint) []*serving.Endpoint {
	weights := make(map[ids.EndpointID]uint64, len(endpoints))
	for _, e := range endpoints {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e.ID))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(key))
		weights[e.ID] = mix(h.Sum64())
	}
	ranked := append([]*serving.Endpoint(nil), endpoints...)
	sort.Slice(ranked, func(i, j int) bool { return weights[ranked[i].ID] > weights[ranked[j].ID] })
	return ranked
}

// mix spreads the bits of a hash whose inputs differ only at their ends.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
