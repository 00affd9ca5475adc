package routing

import (
	"sort"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// shardCount is the number of locks for prefixes, so that requests for
// different adapters rarely contend for one.
const shardCount = 16

// StateConfig holds the location of this VM and the limits of the remembered
// prompt prefixes.
type StateConfig struct {
	DataCentre ids.DataCentreID
	Region     string
	// PrefixMemory is how long an endpoint is assumed to have a prefix in its
	// cache, and MaxPrefixes bounds how many are remembered in each shard.
	PrefixMemory time.Duration
	MaxPrefixes  int
}

// DefaultStateConfig returns the configuration used in production.
func DefaultStateConfig(dataCentre ids.DataCentreID, region string) StateConfig {
	return StateConfig{DataCentre: dataCentre, Region: region, PrefixMemory: time.Minute, MaxPrefixes: 1024}
}

// Residency tells a State where adapters are resident. placement.Planner
// implements it.
type Residency interface {
	// Holders returns the endpoints that hold any version of an adapter.
	Holders(adapter ids.AdapterID) []placement.Replica
}

// Pins reports whether this VM holds a pin of an adapter version on an endpoint
// until a deadline. The daemon implements it with ownership.Holder.
type Pins interface {
	Covers(now time.Time, endpoint ids.EndpointID, ref ids.AdapterRef, deadline time.Time) bool
}

// State collects what routing needs to know: endpoint records, reachability,
// reported load, this VM's requests in flight and recent prompt prefixes. It is
// safe for concurrent use.
type State struct {
	cfg       StateConfig
	residency Residency
	pins      Pins

	mu        sync.RWMutex
	endpoints map[ids.EndpointID]*endpointState
	regions   map[ids.DataCentreID]string

	prefixes [shardCount]prefixShard
}

// endpointState is what is known of one endpoint. mu protects all its fields.
type endpointState struct {
	mu           sync.Mutex
	record       records.Endpoint
	unreachable  bool
	reportedLoad int
	// ownAtReport is the number of this VM's requests in flight when the last
	// report arrived. They are assumed to be part of the reported load.
	ownAtReport int
	ownInFlight int
}

// prefixShard holds when each prefix was last sent to an endpoint.
type prefixShard struct {
	mu      sync.Mutex
	entries map[prefixKey]time.Time
}

// prefixKey includes the adapter version because engines cache the prefixes of
// different adapters separately.
type prefixKey struct {
	prefix   uint64
	ref      ids.AdapterRef
	endpoint ids.EndpointID
}

// NewState returns a state without endpoints.
func NewState(cfg StateConfig, residency Residency, pins Pins) *State {
	s := &State{
		cfg: cfg, residency: residency, pins: pins,
		endpoints: make(map[ids.EndpointID]*endpointState),
		regions:   make(map[ids.DataCentreID]string),
	}
	for i := range s.prefixes {
		s.prefixes[i].entries = make(map[prefixKey]time.Time)
	}
	return s
}

// SetDataCentre sets the region of a data centre.
func (s *State) SetDataCentre(id ids.DataCentreID, region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions[id] = region
}

// SetEndpoint adds or updates an endpoint. The daemon calls it when a record
// changes; an endpoint that is leaving gets no requests from then on.
func (s *State) SetEndpoint(id ids.EndpointID, record records.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	if !ok {
		s.endpoints[id] = &endpointState{record: record}
		return
	}
	e.mu.Lock()
	e.record = record
	e.mu.Unlock()
}

// RemoveEndpoint removes an endpoint whose record was withdrawn.
func (s *State) RemoveEndpoint(id ids.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, id)
}

func (s *State) endpoint(id ids.EndpointID) *endpointState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.endpoints[id]
}

// SetReachable records whether the endpoint answers this VM.
func (s *State) SetReachable(id ids.EndpointID, reachable bool) {
	if e := s.endpoint(id); e != nil {
		e.mu.Lock()
		e.unreachable = !reachable
		e.mu.Unlock()
	}
}

// SetReportedLoad records the load of an endpoint's report.
func (s *State) SetReportedLoad(id ids.EndpointID, running, waiting int) {
	if e := s.endpoint(id); e != nil {
		e.mu.Lock()
		e.reportedLoad = running + waiting
		e.ownAtReport = min(e.ownInFlight, e.reportedLoad)
		e.mu.Unlock()
	}
}

// Begin counts a request that is sent to an endpoint, and remembers its prefix.
// The caller must call End when the request has ended.
func (s *State) Begin(now time.Time, id ids.EndpointID, request *Request) {
	if e := s.endpoint(id); e != nil {
		e.mu.Lock()
		e.ownInFlight++
		e.mu.Unlock()
	}
	if request.Prefix != 0 {
		s.rememberPrefix(now, prefixKey{prefix: request.Prefix, ref: request.Ref, endpoint: id})
	}
}

// End counts a request that has ended.
func (s *State) End(id ids.EndpointID) {
	if e := s.endpoint(id); e != nil {
		e.mu.Lock()
		e.ownInFlight = max(0, e.ownInFlight-1)
		e.mu.Unlock()
	}
}

func (s *State) prefixShard(key prefixKey) *prefixShard {
	return &s.prefixes[(key.prefix^xxh3.HashString(string(key.ref.Adapter)))%shardCount]
}

func (s *State) rememberPrefix(now time.Time, key prefixKey) {
	shard := s.prefixShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.entries) >= s.cfg.MaxPrefixes {
		shard.makeRoom(now, s.cfg.PrefixMemory)
	}
	shard.entries[key] = now
}

// makeRoom removes all entries older than the TTL, and the oldest of the
// others.
func (p *prefixShard) makeRoom(now time.Time, ttl time.Duration) {
	var oldest prefixKey
	var oldestAt time.Time
	for key, at := range p.entries {
		if now.Sub(at) > ttl {
			delete(p.entries, key)
			continue
		}
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = key, at
		}
	}
	if !oldestAt.IsZero() {
		delete(p.entries, oldest)
	}
}

func (s *State) prefixHit(now time.Time, key prefixKey) bool {
	if key.prefix == 0 {
		return false
	}
	shard := s.prefixShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	at, ok := shard.entries[key]
	return ok && now.Sub(at) <= s.cfg.PrefixMemory
}

// Candidates returns the endpoints that could take a request: for a model those
// on which any version of its adapter is resident, for a service all its
// endpoints. It does not filter them; that is left to the Profile.
func (s *State) Candidates(now time.Time, request *Request) []Candidate {
	if request.Kind == records.EndpointModel {
		return s.modelCandidates(now, request)
	}
	s.mu.RLock()
	var found []ids.EndpointID
	for id, e := range s.endpoints {
		if e.record.Service == request.Service {
			found = append(found, id)
		}
	}
	s.mu.RUnlock()
	sort.Slice(found, func(i, j int) bool { return found[i] < found[j] })
	var out []Candidate
	for _, id := range found {
		out = s.appendCandidate(out, now, request, placement.Replica{Endpoint: id})
	}
	return out
}

func (s *State) modelCandidates(now time.Time, request *Request) []Candidate {
	var out []Candidate
	for _, replica := range s.residency.Holders(request.Ref.Adapter) {
		out = s.appendCandidate(out, now, request, replica)
	}
	return out
}

func (s *State) appendCandidate(out []Candidate, now time.Time, request *Request, replica placement.Replica) []Candidate {
	e := s.endpoint(replica.Endpoint)
	if e == nil {
		return out
	}
	e.mu.Lock()
	candidate := Candidate{
		Endpoint: replica.Endpoint, Record: e.record, Resident: replica.Ref, Boot: replica.Boot,
		Reachable: !e.unreachable, Load: max(e.ownInFlight, e.reportedLoad-e.ownAtReport+e.ownInFlight),
	}
	e.mu.Unlock()
	candidate.Distance = s.distance(candidate.Record.DataCentre)
	candidate.Pinned = s.pins != nil && s.pins.Covers(now, replica.Endpoint, replica.Ref, request.Deadline)
	candidate.PrefixHit = s.prefixHit(now, prefixKey{prefix: request.Prefix, ref: request.Ref, endpoint: replica.Endpoint})
	return append(out, candidate)
}

func (s *State) distance(dataCentre ids.DataCentreID) Distance {
	if dataCentre == s.cfg.DataCentre {
		return SameDataCentre
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if region, ok := s.regions[dataCentre]; ok && region == s.cfg.Region {
		return SameRegion
	}
	return OtherRegion
}
