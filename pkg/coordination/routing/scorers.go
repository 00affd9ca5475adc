package routing

// IsPinned prefers endpoints on which this VM already holds a pin, because a
// new pin costs a message to the owner before the request may leave.
type IsPinned struct{}

// Score implements Scorer.
func (IsPinned) Score(_ *Request, candidate *Candidate) float64 {
	if candidate.Pinned {
		return 1
	}
	return 0
}

// LeastLoad prefers endpoints with few requests for their batch size.
type LeastLoad struct{}

// serviceBatch stands for the batch size of plain services, which have none.
const serviceBatch = 32

// Score implements Scorer.
func (LeastLoad) Score(_ *Request, candidate *Candidate) float64 {
	batch := candidate.Record.MaxBatch
	if batch <= 0 {
		batch = serviceBatch
	}
	return 1 / (1 + float64(candidate.Load)/float64(batch))
}

// Nearest prefers endpoints of the own data centre, then of the own region.
type Nearest struct{}

// Score implements Scorer.
func (Nearest) Score(_ *Request, candidate *Candidate) float64 {
	switch candidate.Distance {
	case SameDataCentre:
		return 1
	case SameRegion:
		// About a millisecond away: a little worse, but far better than a load.
		return 0.8
	}
	return 0
}

// PrefixAffinity prefers endpoints that hold the prompt's prefix in cache.
type PrefixAffinity struct{}

// Score implements Scorer.
func (PrefixAffinity) Score(_ *Request, candidate *Candidate) float64 {
	if candidate.PrefixHit {
		return 1
	}
	return 0
}
