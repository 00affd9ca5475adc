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

// shardCount keeps requests for different adapters from sharing a lock.
const shardCount = 16

// StateConfig describes the VM that a State belongs to.
type StateConfig struct {
	DataCentre ids.DataCentreID
	Region     string
	// PrefixMemory is how long an endpoint is taken to hold a prefix, and
	// MaxPrefixes bounds how many are remembered per shard.
	PrefixMemory time.Duration
	MaxPrefixes  int
}

// DefaultStateConfig returns the settings in use.
func DefaultStateConfig(dataCentre ids.DataCentreID, region string) StateConfig {
	return StateConfig{DataCentre: dataCentre, Region: region, PrefixMemory: time.Minute, MaxPrefixes: 1024}
}

// Residency is the placement view that a State reads. placement.Planner
// implements it.
type Residency interface {
	// Holders lists endpoints that hold any version of an adapter.
	Holders(adapter ids.AdapterID) []placement.Holding
}

// Pins tells which pins this VM holds. ownership.PinHolder implements it through
// a small adapter in the daemon.
type Pins interface {
	Covers(now time.Time, endpoint ids.EndpointID, ref ids.AdapterRef, deadline time.Time) bool
}

// State gathers what routing knows: endpoint records, reachability, reported
// load, the VM's own requests in flight and prompt prefixes. It is safe for
// concurrent use.
type State struct {
	cfg       StateConfig
	residency Residency
	pins      Pins

	mu        sync.RWMutex
	endpoints map[ids.EndpointID]*known
	regions   map[ids.DataCentreID]string

	prefixes [shardCount]prefixShard
}

// known is one endpoint.
type known struct {
	mu          sync.Mutex
	record      records.Endpoint
	unreachable bool
	reported    int
	// ownInReport is the number of own requests in flight when the report
	// came: it is taken to be part of the reported load.
	ownInReport int
	own         int
}

type prefixShard struct {
	mu      sync.Mutex
	entries map[prefixKey]time.Time
}

// prefixKey holds the adapter version because engines cache prefixes of
// different adapters apart.
type prefixKey struct {
	prefix   uint64
	ref      ids.AdapterRef
	endpoint ids.EndpointID
}

// NewState returns a state without endpoints.
func NewState(cfg StateConfig, residency Residency, pins Pins) *State {
	s := &State{
		cfg: cfg, residency: residency, pins: pins,
		endpoints: make(map[ids.EndpointID]*known),
		regions:   make(map[ids.DataCentreID]string),
	}
	for i := range s.prefixes {
		s.prefixes[i].entries = make(map[prefixKey]time.Time)
	}
	return s
}

// SetDataCentre notes the region of a data centre.
func (s *State) SetDataCentre(id ids.DataCentreID, region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions[id] = region
}

// SetEndpoint adds or changes an endpoint. The daemon calls it when a record
// changes; an endpoint that is leaving gets no request from then on.
func (s *State) SetEndpoint(id ids.EndpointID, record records.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	if !ok {
		s.endpoints[id] = &known{record: record}
		return
	}
	e.mu.Lock()
	e.record = record
	e.mu.Unlock()
}

// RemoveEndpoint forgets an endpoint whose record was withdrawn.
func (s *State) RemoveEndpoint(id ids.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, id)
}

func (s *State) endpoint(id ids.EndpointID) *known {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.endpoints[id]
}

// SetReachable notes whether the endpoint answers.
func (s *State) SetReachable(id ids.EndpointID, reachable bool) {
	if e := s.endpoint(id); e != nil {
		e.mu.Lock()
		e.unreachable = !reachable
		e.mu.Unlock()
	}
}

// Reported takes the load of an endpoint report.
func (s *State) Reported(id ids.EndpointID, running, waiting int) {
	if e := s.endpoint(id); e != nil {
		e.mu.Lock()
		e.reported = running + waiting
		e.ownInReport = min(e.own, e.reported)
		e.mu.Unlock()
	}
}

// Begin notes that a request leaves for an endpoint, and what prefix it
// carries. The caller calls End when the request has ended.
func (s *State) Begin(now time.Time, id ids.EndpointID, request *Request) {
	if e := s.endpoint(id); e != nil {
		e.mu.Lock()
		e.own++
		e.mu.Unlock()
	}
	if request.Prefix != 0 {
		s.remember(now, prefixKey{prefix: request.Prefix, ref: request.Ref, endpoint: id})
	}
}

// End notes that a request has ended.
func (s *State) End(id ids.EndpointID) {
	if e := s.endpoint(id); e != nil {
		e.mu.Lock()
		e.own = max(0, e.own-1)
		e.mu.Unlock()
	}
}

func (s *State) prefixShard(key prefixKey) *prefixShard {
	return &s.prefixes[(key.prefix^xxh3.HashString(string(key.ref.Adapter)))%shardCount]
}

func (s *State) remember(now time.Time, key prefixKey) {
	shard := s.prefixShard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if len(shard.entries) >= s.cfg.MaxPrefixes {
		shard.forget(now, s.cfg.PrefixMemory)
	}
	shard.entries[key] = now
}

// forget drops entries that are too old, or any one entry if none is.
func (p *prefixShard) forget(now time.Time, memory time.Duration) {
	var oldest prefixKey
	var oldestAt time.Time
	for key, at := range p.entries {
		if now.Sub(at) > memory {
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

// Candidates lists the endpoints that could take a request: for a model those
// that hold any version of its adapter, for a service all of that service. It
// leaves all judgement to the Profile.
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
		out = s.appendCandidate(out, now, request, placement.Holding{Endpoint: id})
	}
	return out
}

func (s *State) modelCandidates(now time.Time, request *Request) []Candidate {
	var out []Candidate
	for _, holding := range s.residency.Holders(request.Ref.Adapter) {
		out = s.appendCandidate(out, now, request, holding)
	}
	return out
}

func (s *State) appendCandidate(out []Candidate, now time.Time, request *Request, holding placement.Holding) []Candidate {
	e := s.endpoint(holding.Endpoint)
	if e == nil {
		return out
	}
	e.mu.Lock()
	candidate := Candidate{
		Endpoint: holding.Endpoint, Record: e.record, Resident: holding.Ref, Boot: holding.Boot,
		Reachable: !e.unreachable, Load: max(e.own, e.reported-e.ownInReport+e.own),
	}
	e.mu.Unlock()
	candidate.Distance = s.distance(candidate.Record.DataCentre)
	candidate.Pinned = s.pins != nil && s.pins.Covers(now, holding.Endpoint, holding.Ref, request.Deadline)
	candidate.PrefixHit = s.prefixHit(now, prefixKey{prefix: request.Prefix, ref: request.Ref, endpoint: holding.Endpoint})
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
	return Far
}
