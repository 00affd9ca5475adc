package routing

import (
	"math/rand/v2"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// Request holds the properties of a request that routing uses.
type Request struct {
	Kind records.EndpointKind
	// Ref and BaseModel are set for requests to a model.
	Ref       ids.AdapterRef
	BaseModel string
	// Service is set for requests to a plain service.
	Service string
	// Prefix is a hash of the start of the prompt, or zero.
	Prefix uint64
	// Deadline is when the request must have ended.
	Deadline time.Time
	// Tried holds the endpoints that a retry must not use.
	Tried []ids.EndpointID
}

// Distance is how far an endpoint is from this VM.
type Distance int

// The distances.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is the state of one endpoint at the time of the decision.
type Candidate struct {
	Endpoint ids.EndpointID
	Record   records.Endpoint
	// Resident is the version of the request's adapter that the endpoint holds,
	// or zero if it holds none.
	Resident ids.AdapterRef
	// Boot identifies the run of the engine in which that version is resident.
	Boot ids.BootID
	// Pinned means that this VM holds a pin until the request's deadline.
	Pinned    bool
	Reachable bool
	// Load is the number of requests that run or wait at the endpoint.
	Load     int
	Distance Distance
	// PrefixHit means that the endpoint recently served the same prompt prefix.
	PrefixHit bool
}

// Filter excludes endpoints that a request must not be sent to. Profile.Pick
// calls it for each candidate of each request, before any Scorer.
type Filter interface {
	// Keep reports whether the candidate may be used.
	Keep(request *Request, candidate *Candidate) bool
}

// Scorer rates candidates that passed all filters. Profile.Pick calls it once
// for each of them and uses the weighted sum of all scorers.
type Scorer interface {
	// Score returns a value from 0 (worst) to 1 (best).
	Score(request *Request, candidate *Candidate) float64
}

// Picker takes one of the scored candidates. Profile.Pick calls it last, with
// at least one candidate. It is the only part of a decision that uses
// randomness.
type Picker interface {
	// Pick returns one of the scored candidates.
	Pick(scored []ScoredCandidate, random *rand.Rand) ScoredCandidate
}

// ScoredCandidate is a candidate with its weighted score.
type ScoredCandidate struct {
	Candidate Candidate
	Score     float64
}

// WeightedScorer is a Scorer with its weight in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}
