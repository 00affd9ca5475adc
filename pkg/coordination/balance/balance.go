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
	// PauseWeight is the load that an engine counts as carrying more if all
	// its streams pause for longer than their objective.
	PauseWeight float64
	// PauseMax bounds that load, so that such an engine is still used when the
	// others are overloaded.
	PauseMax float64
	// PauseHalfLife is that of the counts of streams and late pauses.
	PauseHalfLife time.Duration
	// PeerLoadAge is how long a peer's load report counts.
	PeerLoadAge time.Duration
}

// DefaultConfig returns the weights for engines whose prompts cost several
// times what a running stream costs.
func DefaultConfig(dc ids.DataCentreID) Config {
	return Config{
		DataCentre:    dc,
		Distance:      0.5,
		RunningWeight: 0.15,
		EjectBase:     400 * time.Millisecond,
		EjectMax:      4 * time.Second,
		FailureStreak: 2,
		PauseWeight:   24,
		PauseMax:      8,
		PauseHalfLife: 10 * time.Second,
		PeerLoadAge:   1500 * time.Millisecond,
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
}

type peerLoads struct {
	at     time.Time
	loads  map[ids.EndpointID]Load
	pauses map[ids.EndpointID]Pauses
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

func (b *Balancer) state(id ids.EndpointID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// Hear takes the loads and pauses that a peer has counted.
func (b *Balancer) Hear(now time.Time, peer ids.VMID, loads map[ids.EndpointID]Load, pauses map[ids.EndpointID]Pauses) {
	b.peers[peer] = peerLoads{at: now, loads: loads, pauses: pauses}
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

// OwnPauses returns what this VM has counted.
func (b *Balancer) OwnPauses(now time.Time) map[ids.EndpointID]Pauses {
	pauses := make(map[ids.EndpointID]Pauses)
	for id, s := range b.states {
		s.fade(now, b.config.PauseHalfLife)
		if s.pauses.Streams >= pausesWorthTelling {
			pauses[id] = s.pauses
		}
	}
	return pauses
}

// pausesWorthTelling keeps counts that have faded out of the messages.
const pausesWorthTelling = 0.2

// pausePrior is the number of streams on time that every engine is assumed to
// have had, so that a single pause does not set it apart.
const pausePrior = 4.0

// pauseRisk is the share of an engine's streams that paused for too long.
func (b *Balancer) pauseRisk(id ids.EndpointID) float64 {
	total := Pauses{Streams: pausePrior}
	if s := b.states[id]; s != nil {
		total.Streams += s.pauses.Streams
		total.Late += s.pauses.Late
	}
	for _, peer := range b.peers {
		total.Streams += peer.pauses[id].Streams
		total.Late += peer.pauses[id].Late
	}
	return total.Late / total.Streams
}

// Own returns the loads of this VM.
func (b *Balancer) Own() map[ids.EndpointID]Load {
	loads := make(map[ids.EndpointID]Load)
	for id, s := range b.states {
		if s.load != (Load{}) {
			loads[id] = s.load
		}
	}
	return loads
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
	return float64(total.Starting) + b.config.RunningWeight*float64(total.Running) + min(b.config.PauseWeight*b.pauseRisk(id), b.config.PauseMax)
}

// Available reports whether an endpoint may get a request now.
func (b *Balancer) Available(now time.Time, id ids.EndpointID) bool {
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
	case Served:
		s.streak, s.backoff, s.until = 0, 0, time.Time{}
		s.failures *= failureKeep
	case Failed:
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
