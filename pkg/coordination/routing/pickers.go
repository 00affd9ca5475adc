package routing

import "math/rand/v2"

// BestOfTwo takes the better of two candidates drawn at random. VMs that see
// the same lagging loads so do not all send to the same endpoint.
type BestOfTwo struct{}

// Pick implements Picker.
func (BestOfTwo) Pick(scored []Scored, random *rand.Rand) Scored {
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

// Best takes the candidate with the highest score, the first among equals.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(scored []Scored, _ *rand.Rand) Scored {
	best := scored[0]
	for _, other := range scored[1:] {
		if other.Score > best.Score {
			best = other
		}
	}
	return best
}
