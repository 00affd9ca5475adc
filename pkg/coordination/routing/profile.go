package routing

import (
	"errors"
	"math/rand/v2"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// ErrNoEndpoint means that no endpoint passed the filters.
var ErrNoEndpoint = errors.New("no endpoint can take the request")

// Profile is a chain of filters, weighted scorers and a picker. It is immutable
// and safe for concurrent use.
type Profile struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// ModelProfile returns the profile for requests to a model. They are sent only
// where the exact adapter version is resident. Both policies use the same
// weights: filling one replica before the next made batches slower and served
// fewer requests.
func ModelProfile(_ records.Policy) Profile {
	return Profile{
		Filters: []Filter{NotTried{}, Serving{}, Reachable{}, Compatible{}, ExactVersion{}, HasBatchCapacity{}},
		Scorers: modelWeights.scorers(),
		Picker:  BestOfTwo{},
	}
}

// ServiceProfile returns the profile for requests to a plain service.
func ServiceProfile() Profile {
	return Profile{
		Filters: []Filter{NotTried{}, Serving{}, Reachable{}, Compatible{}},
		Scorers: []WeightedScorer{{Scorer: LeastLoad{}, Weight: 1}, {Scorer: Nearest{}, Weight: 1}},
		Picker:  BestOfTwo{},
	}
}

// scoreWeights are the weights of the scorers of a model profile.
type scoreWeights struct {
	pinned, load, distance, prefix float64
}

var modelWeights = scoreWeights{pinned: 3, load: 2, distance: 0.5, prefix: 1}

func (w scoreWeights) scorers() []WeightedScorer {
	return []WeightedScorer{
		{Scorer: PreferPinned{}, Weight: w.pinned},
		{Scorer: LeastLoad{}, Weight: w.load},
		{Scorer: Nearest{}, Weight: w.distance},
		{Scorer: PrefixAffinity{}, Weight: w.prefix},
	}
}

// WithFilter returns a copy of the profile with an additional filter.
func (p Profile) WithFilter(filter Filter) Profile {
	p.Filters = append(p.Filters[:len(p.Filters):len(p.Filters)], filter)
	return p
}

// Pick chooses an endpoint for a request. It returns ErrNoEndpoint if no
// candidate passes the filters.
func (p Profile) Pick(request *Request, candidates []Candidate, random *rand.Rand) (Candidate, error) {
	var scored []ScoredCandidate
	for i := range candidates {
		if !p.keep(request, &candidates[i]) {
			continue
		}
		scored = append(scored, ScoredCandidate{Candidate: candidates[i], Score: p.score(request, &candidates[i])})
	}
	if len(scored) == 0 {
		return Candidate{}, ErrNoEndpoint
	}
	return p.Picker.Pick(scored, random).Candidate, nil
}

// keep reports whether the candidate passes all filters.
func (p Profile) keep(request *Request, candidate *Candidate) bool {
	for _, filter := range p.Filters {
		if !filter.Keep(request, candidate) {
			return false
		}
	}
	return true
}

// score returns the weighted sum of all scorers.
func (p Profile) score(request *Request, candidate *Candidate) float64 {
	total := 0.0
	for _, weighted := range p.Scorers {
		total += weighted.Weight * weighted.Scorer.Score(request, candidate)
	}
	return total
}
