package routing

import "math/rand/v2"

// BestOfTwo takes the better of two candidates drawn at random, so that VMs
// that see the same outdated loads do not all send to the same endpoint.
type BestOfTwo struct{}

// Pick implements Picker.
func (BestOfTwo) Pick(scored []ScoredCandidate, random *rand.Rand) ScoredCandidate {
	first := random.IntN(len(scored))
	if len(scored) == 1 {
		return scored[first]
	}
	second := random.IntN(len(scored) - 1)
	if second >= first {
		second++
	}
	if scored[second].Score > scored[first].Score {
		return scored[second]
	}
	return scored[first]
}

// HighestScore takes the candidate with the highest score, or the first of
// several.
type HighestScore struct{}

// Pick implements Picker.
func (HighestScore) Pick(scored []ScoredCandidate, _ *rand.Rand) ScoredCandidate {
	best := scored[0]
	for _, other := range scored[1:] {
		if other.Score > best.Score {
			best = other
		}
	}
	return best
}
