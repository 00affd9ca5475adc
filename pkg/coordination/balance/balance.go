// Package balance chooses the endpoint of each request from the load, the
// recent failures and the late pauses of each endpoint, as counted by this VM
// and reported by its peers. Package node calls it for each request it sends
// and for each message it exchanges with peers. It is deterministic: time and
// outcomes are arguments.
package balance

import (
	"hash/fnv"
	"math"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Config holds the weights and limits of the choice. Loads are in units of one
// request whose prompt is still to be read.
type Config struct {
	DataCentre ids.DataCentreID
	// RemotePenalty is the load added to endpoints of other data centres.
	RemotePenalty float64
	// RunningWeight is the load of a stream whose answer has begun. A request
	// whose prompt is still to be read counts as 1.
	RunningWeight float64
	// EjectBase is how long a failing endpoint first gets no requests. The
	// time doubles with each further ejection, up to EjectMax.
	EjectBase, EjectMax time.Duration
	// FailureStreak is the number of failures in a row that eject an endpoint.
	FailureStreak int
	// SharedHalfLife is the half-life of the outcome counts that VMs share.
	SharedHalfLife time.Duration
	// SharedFailures is the number of recent failures, counted over all
	// VMs, from which an endpoint that fails a large share of its requests gets
	// no requests from any VM.
	SharedFailures float64
	// PauseWeight is the load added to an engine if all its streams pause for
	// longer than their objective; it is scaled by the share of streams that do.
	PauseWeight float64
	// PauseMax limits that load, so that such an engine is still used when
	// the others are overloaded.
	PauseMax float64
	// PauseHalfLife is the half-life of the counts of streams and late pauses.
	PauseHalfLife time.Duration
	// Jitter is the largest load added at random to an endpoint. VMs learn of
	// each other's requests late; without it they would all choose the same
	// endpoint.
	Jitter float64
	// PeerLoadAge is how long the loads and outcomes that a peer reported
	// are used.
	PeerLoadAge time.Duration
}

// DefaultConfig returns the weights for engines on which a prompt costs several
// times as much as a running stream.
func DefaultConfig(dc ids.DataCentreID) Config {
	return Config{
		DataCentre:     dc,
		RemotePenalty:  0.5,
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

// Load counts the requests of one or more VMs at an endpoint.
type Load struct {
	// Starting counts the requests without an answer yet.
	Starting int `json:"s,omitempty"`
	// Running counts the requests whose answer has begun.
	Running int `json:"r,omitempty"`
}

// Pauses holds decaying counts of streams that ended, and of those that
// paused for longer than their objective.
type Pauses struct {
	Streams float64 `json:"n"`
	Late    float64 `json:"l,omitempty"`
}

// Outcome is how a request at an endpoint ended.
type Outcome int

// The outcomes of requests.
const (
	// Served requests got a complete answer, whatever its status.
	Served Outcome = iota
	// Shed requests were refused by the endpoint without having run.
	Shed
	// Failed requests got no answer, or one that cannot be used.
	Failed
	// Abandoned requests were cancelled by this VM or its caller.
	Abandoned
	// Unreachable requests were not sent, because nothing listens at the
	// endpoint's address or there is no route to it.
	Unreachable
)

// endpointState is what this VM counted at an endpoint.
type endpointState struct {
	load                Load
	consecutiveFailures int
	// failureRate is the exponential moving average of failed requests.
	failureRate float64
	ejectedAt   time.Time
	// ejectedUntil is zero unless the endpoint was ejected after the last request
	// that it served. ejection is the length of the last ejection; trialInFlight
	// is set while the one request allowed after an ejection is in flight.
	ejectedUntil    time.Time
	ejection        time.Duration
	trialInFlight   bool
	pauses          Pauses
	pausesUpdatedAt time.Time
	// outcomes are the recent outcomes at this VM.
	outcomes          Outcomes
	outcomesUpdatedAt time.Time
}

// Outcomes holds decaying counts of requests that ended at an endpoint.
type Outcomes struct {
	Served float64 `json:"s"`
	Failed float64 `json:"f"`
}

func (o Outcomes) add(other Outcomes) Outcomes {
	return Outcomes{o.Served + other.Served, o.Failed + other.Failed}
}

// peerState is the latest report of a peer.
type peerState struct {
	receivedAt       time.Time
	loads            map[ids.EndpointID]Load
	pauses           map[ids.EndpointID]Pauses
	pausesReceivedAt time.Time
	outcomes         map[ids.EndpointID]Outcomes
}

// Balancer holds one VM's view of all endpoints. It is not safe for concurrent
// use.
type Balancer struct {
	config Config
	states map[ids.EndpointID]*endpointState
	peers  map[ids.VMID]peerState
}

// New returns a balancer without load.
func New(config Config) *Balancer {
	return &Balancer{config: config, states: make(map[ids.EndpointID]*endpointState), peers: make(map[ids.VMID]peerState)}
}

// SetJitter changes Config.Jitter.
func (b *Balancer) SetJitter(jitter float64) { b.config.Jitter = jitter }

// endpointState returns the state of an endpoint and creates it if it is
// missing.
func (b *Balancer) endpointState(id ids.EndpointID) *endpointState {
	s := b.states[id]
	if s == nil {
		s = &endpointState{}
		b.states[id] = s
	}
	return s
}

// PeerReport is the part of a message between peers that holds what the sender
// counted.
type PeerReport struct {
	Loads map[ids.EndpointID]Load `json:"loads"`
	// Pauses are omitted from most messages; the receiver then keeps the last
	// ones.
	Pauses map[ids.EndpointID]Pauses `json:"pauses,omitempty"`
	// Outcomes are those of endpoints that recently failed requests.
	Outcomes map[ids.EndpointID]Outcomes `json:"outcomes,omitempty"`
}

// ApplyPeerReport replaces what is known of a peer by what it reported.
func (b *Balancer) ApplyPeerReport(now time.Time, peer ids.VMID, report PeerReport) {
	received := peerState{receivedAt: now, loads: report.Loads, pauses: report.Pauses, pausesReceivedAt: now, outcomes: report.Outcomes}
	if report.Pauses == nil {
		received.pauses, received.pausesReceivedAt = b.peers[peer].pauses, b.peers[peer].pausesReceivedAt
	}
	b.peers[peer] = received
}

// RecordStream counts a stream that has ended. late means that it paused for
// longer than its objective.
func (b *Balancer) RecordStream(now time.Time, id ids.EndpointID, late bool) {
	s := b.endpointState(id)
	s.decayPauses(now, b.config.PauseHalfLife)
	s.pauses.Streams++
	if late {
		s.pauses.Late++
	}
}

// decayPauses reduces the pause counts by the time since the last call.
func (s *endpointState) decayPauses(now time.Time, halfLife time.Duration) {
	decay := math.Exp2(-now.Sub(s.pausesUpdatedAt).Seconds() / halfLife.Seconds())
	s.pauses.Streams *= decay
	s.pauses.Late *= decay
	s.pausesUpdatedAt = now
}

// Pauses returns the counts of this VM and of the peers that include selects.
func (b *Balancer) Pauses(now time.Time, include func(ids.VMID) bool) map[ids.EndpointID]Pauses {
	pauses := make(map[ids.EndpointID]Pauses)
	for id, s := range b.states {
		s.decayPauses(now, b.config.PauseHalfLife)
		pauses[id] = s.pauses
	}
	for peer, reported := range b.peers {
		if now.Sub(reported.pausesReceivedAt) > b.config.PauseHalfLife || !include(peer) {
			continue
		}
		for id, count := range reported.pauses {
			sum := pauses[id]
			pauses[id] = Pauses{Streams: sum.Streams + count.Streams, Late: sum.Late + count.Late}
		}
	}
	for id, sum := range pauses {
		if sum.Streams < minSharedStreams {
			delete(pauses, id)
			continue
		}
		pauses[id] = Pauses{Streams: roundToHundredths(sum.Streams), Late: roundToHundredths(sum.Late)}
	}
	return pauses
}

// roundToHundredths keeps two decimals, so that messages stay short.
func roundToHundredths(x float64) float64 { return math.Round(100*x) / 100 }

// minSharedStreams is the decayed count of streams below which an endpoint is
// omitted from messages.
const minSharedStreams = 0.2

// priorOnTimeStreams is the number of streams without a late pause that every
// engine is assumed to have had, so that a single late pause does not change
// its load much.
const priorOnTimeStreams = 4.0

// latePauseShare returns the share of an engine's recent streams, at all VMs,
// that paused for longer than their objective.
func (b *Balancer) latePauseShare(now time.Time, id ids.EndpointID) float64 {
	total := Pauses{Streams: priorOnTimeStreams}
	if s := b.states[id]; s != nil {
		total.Streams += s.pauses.Streams
		total.Late += s.pauses.Late
	}
	for _, peer := range b.peers {
		if now.Sub(peer.pausesReceivedAt) <= b.config.PauseHalfLife {
			total.Streams += peer.pauses[id].Streams
			total.Late += peer.pauses[id].Late
		}
	}
	return total.Late / total.Streams
}

// Loads returns the loads of this VM and of the peers that include selects.
func (b *Balancer) Loads(now time.Time, include func(ids.VMID) bool) map[ids.EndpointID]Load {
	loads := make(map[ids.EndpointID]Load)
	for id, s := range b.states {
		if s.load != (Load{}) {
			loads[id] = s.load
		}
	}
	for peer, reported := range b.peers {
		if now.Sub(reported.receivedAt) > b.config.PeerLoadAge || !include(peer) {
			continue
		}
		for id, added := range reported.loads {
			sum := loads[id]
			loads[id] = Load{Starting: sum.Starting + added.Starting, Running: sum.Running + added.Running}
		}
	}
	return loads
}

// Outcomes returns the recent outcomes of endpoints that failed requests, at
// this VM and at the peers that include selects.
func (b *Balancer) Outcomes(now time.Time, include func(ids.VMID) bool) map[ids.EndpointID]Outcomes {
	sums := make(map[ids.EndpointID]Outcomes)
	for id, s := range b.states {
		sums[id] = s.recentOutcomes(now, b.config.SharedHalfLife)
	}
	for peer, reported := range b.peers {
		if now.Sub(reported.receivedAt) > b.config.PeerLoadAge || !include(peer) {
			continue
		}
		for id, count := range reported.outcomes {
			sums[id] = sums[id].add(count)
		}
	}
	for id, sum := range sums {
		if sum.Failed < minSharedFailures {
			delete(sums, id)
			continue
		}
		sums[id] = Outcomes{Served: roundToHundredths(sum.Served), Failed: roundToHundredths(sum.Failed)}
	}
	return sums
}

// minSharedFailures is the decayed count of failures below which an endpoint is
// omitted from messages.
const minSharedFailures = 0.2

// recentOutcomes returns the outcomes at this VM, decayed to now.
func (s *endpointState) recentOutcomes(now time.Time, halfLife time.Duration) Outcomes {
	decay := math.Exp2(-now.Sub(s.outcomesUpdatedAt).Seconds() / halfLife.Seconds())
	return Outcomes{Served: s.outcomes.Served * decay, Failed: s.outcomes.Failed * decay}
}

// recordOutcomes adds outcomes to the decayed counts.
func (s *endpointState) recordOutcomes(now time.Time, halfLife time.Duration, added Outcomes) {
	s.outcomes, s.outcomesUpdatedAt = s.recentOutcomes(now, halfLife).add(added), now
}

// failsFleetWide reports whether an endpoint failed a large share of its
// requests at all VMs together, including at least one failure at a peer. In a
// large fleet a single VM sends too few requests to notice that alone.
func (b *Balancer) failsFleetWide(now time.Time, id ids.EndpointID) bool {
	var sum Outcomes
	for _, peer := range b.peers {
		if now.Sub(peer.receivedAt) <= b.config.PeerLoadAge {
			sum = sum.add(peer.outcomes[id])
		}
	}
	if sum.Failed == 0 {
		return false
	}
	if s := b.states[id]; s != nil {
		sum = sum.add(s.recentOutcomes(now, b.config.SharedHalfLife))
	}
	return sum.Failed >= b.config.SharedFailures && sum.Failed > maxFailureRate*(sum.Failed+sum.Served)
}

// ResetEndpoint forgets the failures and pauses of an endpoint whose process is
// new. This VM's load stays.
func (b *Balancer) ResetEndpoint(id ids.EndpointID) {
	if s := b.states[id]; s != nil {
		b.states[id] = &endpointState{load: s.load}
	}
	for _, peer := range b.peers {
		delete(peer.outcomes, id)
	}
}

// Prune forgets endpoints that no longer exist and carry no load of this VM.
func (b *Balancer) Prune(current map[ids.EndpointID]*serving.Endpoint) {
	for id, s := range b.states {
		if current[id] == nil && s.load == (Load{}) {
			delete(b.states, id)
		}
	}
}

// TotalLoad returns the load of all VMs at an endpoint.
func (b *Balancer) TotalLoad(now time.Time, id ids.EndpointID) Load {
	var total Load
	if s := b.states[id]; s != nil {
		total = s.load
	}
	for _, peer := range b.peers {
		if now.Sub(peer.receivedAt) <= b.config.PeerLoadAge {
			load := peer.loads[id]
			total.Starting += load.Starting
			total.Running += load.Running
		}
	}
	return total
}

// LoadScore returns the load of an endpoint at all VMs, including the penalty
// for late pauses, as a single number.
func (b *Balancer) LoadScore(now time.Time, id ids.EndpointID) float64 {
	total := b.TotalLoad(now, id)
	return float64(total.Starting) + b.config.RunningWeight*float64(total.Running) + b.PausePenalty(now, id)
}

// Available reports whether an endpoint may get a request now. Ejected
// endpoints may not.
func (b *Balancer) Available(now time.Time, id ids.EndpointID) bool {
	if b.failsFleetWide(now, id) {
		return false
	}
	s := b.states[id]
	if s == nil || s.ejectedUntil.IsZero() {
		return true
	}
	// When its ejection ends, an endpoint gets a single request as a trial.
	return !now.Before(s.ejectedUntil) && !s.trialInFlight
}

// Pick returns the available endpoint with the least load, or the least loaded
// of all if none is available. It returns nil if there are no endpoints. salt
// breaks ties and selects the jitter; it should differ between requests.
func (b *Balancer) Pick(now time.Time, endpoints []*serving.Endpoint, salt uint64) *serving.Endpoint {
	var best, fallback *serving.Endpoint
	var bestScore, fallbackScore float64
	for i, e := range endpoints {
		score := b.LoadScore(now, e.ID)
		if e.DataCentre != b.config.DataCentre {
			score += b.config.RemotePenalty
		}
		score += float64((salt+uint64(i)*tieStride)%tieValues) * tieStep
		if b.config.Jitter > 0 {
			score += b.config.Jitter * hashFraction(salt, e.ID)
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

// PickWeighted returns one of the available endpoints, at random with the given
// weights, or one of all if none is available. It returns nil if there are no
// endpoints. salt selects the endpoint; it should differ between requests and VMs.
func (b *Balancer) PickWeighted(now time.Time, endpoints []*serving.Endpoint, salt uint64, weight func(*serving.Endpoint) float64) *serving.Endpoint {
	var best, fallback *serving.Endpoint
	var bestKey, fallbackKey float64
	for _, e := range endpoints {
		// The lowest of exponentially distributed keys with these rates is that of
		// each endpoint with a probability in proportion to its weight.
		key := -math.Log1p(-hashFraction(salt, e.ID)) / max(weight(e), math.SmallestNonzeroFloat32)
		if b.Available(now, e.ID) {
			if best == nil || key < bestKey {
				best, bestKey = e, key
			}
		} else if fallback == nil || key < fallbackKey {
			fallback, fallbackKey = e, key
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// Jittered returns LoadScore with the jitter for a request, by its salt, which also
// breaks ties.
func (b *Balancer) Jittered(now time.Time, id ids.EndpointID, salt uint64) float64 {
	return b.LoadScore(now, id) + (b.config.Jitter+tieValues*tieStep)*hashFraction(salt, id)
}

// JitteredWith is Jittered for an endpoint that is known to have the given number of
// requests. As many of them are counted as starting as the VMs have counted.
func (b *Balancer) JitteredWith(now time.Time, id ids.EndpointID, salt uint64, requests int) float64 {
	total := b.TotalLoad(now, id)
	starting := min(total.Starting, requests)
	known := float64(starting) + b.config.RunningWeight*float64(requests-starting)
	return b.Jittered(now, id, salt) + known - (float64(total.Starting) + b.config.RunningWeight*float64(total.Running))
}

// PausePenalty returns the part of LoadScore that is for late pauses.
func (b *Balancer) PausePenalty(now time.Time, id ids.EndpointID) float64 {
	return min(b.config.PauseWeight*b.latePauseShare(now, id), b.config.PauseMax)
}

// Ties between equally loaded endpoints are broken by a salt, so that VMs with
// the same view do not all choose the same endpoint.
const (
	tieStride = 7
	tieValues = 16
	tieStep   = 0.001
)

// hashFraction maps a salt and an endpoint to a number in [0, 1).
func hashFraction(salt uint64, id ids.EndpointID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return float64(mixBits(h.Sum64()^salt)>>11) / (1 << 53)
}

// Begin counts a request that is about to be sent.
func (b *Balancer) Begin(now time.Time, id ids.EndpointID) {
	s := b.endpointState(id)
	s.load.Starting++
	if !s.ejectedUntil.IsZero() && !now.Before(s.ejectedUntil) {
		s.trialInFlight = true
	}
}

// Started moves a request from starting to running, at the first byte of the
// answer's body.
func (b *Balancer) Started(id ids.EndpointID) {
	s := b.endpointState(id)
	s.load.Starting--
	s.load.Running++
}

// End records the outcome of a request. started means that its answer had
// begun. It reports whether the endpoint was found to be failing.
func (b *Balancer) End(now time.Time, id ids.EndpointID, started bool, outcome Outcome) (ejected bool) {
	s := b.endpointState(id)
	if started {
		s.load.Running--
	} else {
		s.load.Starting--
	}
	s.trialInFlight = false
	switch outcome {
	case Unreachable:
		s.recordOutcomes(now, b.config.SharedHalfLife, Outcomes{Failed: b.config.SharedFailures})
		b.eject(now, s)
		return true
	case Served:
		s.recordOutcomes(now, b.config.SharedHalfLife, Outcomes{Served: 1})
		s.consecutiveFailures, s.ejection, s.ejectedUntil = 0, 0, time.Time{}
		s.failureRate *= failureRateDecay
	case Failed:
		return b.recordFailure(now, s)
	}
	return false
}

// RecordSilence counts the silence of an endpoint as a failure while the request that
// shows it goes on. It reports whether the endpoint was found to be failing. A request
// that is served later clears it.
func (b *Balancer) RecordSilence(now time.Time, id ids.EndpointID) (ejected bool) {
	return b.recordFailure(now, b.endpointState(id))
}

func (b *Balancer) recordFailure(now time.Time, s *endpointState) (ejected bool) {
	s.recordOutcomes(now, b.config.SharedHalfLife, Outcomes{Failed: 1})
	s.consecutiveFailures++
	s.failureRate = s.failureRate*failureRateDecay + 1 - failureRateDecay
	if s.consecutiveFailures < b.config.FailureStreak && s.failureRate <= maxFailureRate {
		return false
	}
	b.eject(now, s)
	return true
}

// An endpoint that fails about a third of its requests is ejected even if the
// failures are not in a row. failureRateDecay is the weight of the past in the
// moving average.
const (
	failureRateDecay = 0.8
	maxFailureRate   = 0.34
)

// Eject ejects an endpoint that cannot be reached.
func (b *Balancer) Eject(now time.Time, id ids.EndpointID) { b.eject(now, b.endpointState(id)) }

// eject keeps requests from an endpoint for a time that doubles with each
// ejection. It does nothing during an ejection.
func (b *Balancer) eject(now time.Time, s *endpointState) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejection = min(max(2*s.ejection, b.config.EjectBase), b.config.EjectMax)
	s.ejectedAt, s.ejectedUntil = now, now.Add(s.ejection)
	s.failureRate = 0
}

// Rank orders endpoints for a key by rendezvous hashing, which gives the same
// order at all VMs.
func Rank(key string, endpoints []*serving.Endpoint) []*serving.Endpoint {
	hashes := make(map[ids.EndpointID]uint64, len(endpoints))
	for _, e := range endpoints {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e.ID))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(key))
		hashes[e.ID] = mixBits(h.Sum64())
	}
	ranked := append([]*serving.Endpoint(nil), endpoints...)
	sort.Slice(ranked, func(i, j int) bool { return hashes[ranked[i].ID] > hashes[ranked[j].ID] })
	return ranked
}

// mixBits spreads the bits of a hash, because inputs that differ only at their
// ends give similar hashes. It is the 64-bit finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
