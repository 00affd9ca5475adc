package routing

// PreferPinned prefers endpoints on which this VM already holds a pin, because
// a new pin takes a message to the owner before the request can be sent.
type PreferPinned struct{}

// Score implements Scorer.
func (PreferPinned) Score(_ *Request, candidate *Candidate) float64 {
	if candidate.Pinned {
		return 1
	}
	return 0
}

// LeastLoad prefers endpoints with few requests relative to their batch size.
type LeastLoad struct{}

// assumedServiceBatch is used as the batch size of plain services, which have
// none.
const assumedServiceBatch = 32

// Score implements Scorer.
func (LeastLoad) Score(_ *Request, candidate *Candidate) float64 {
	batch := candidate.Record.MaxBatch
	if batch <= 0 {
		batch = assumedServiceBatch
	}
	return 1 / (1 + float64(candidate.Load)/float64(batch))
}

// Nearest prefers endpoints of this VM's data centre, then those of its region.
type Nearest struct{}

// Score implements Scorer.
func (Nearest) Score(_ *Request, candidate *Candidate) float64 {
	switch candidate.Distance {
	case SameDataCentre:
		return 1
	case SameRegion:
		// About a millisecond away: slightly worse, but much better than a load of
		// the adapter.
		return 0.8
	}
	return 0
}

// PrefixAffinity prefers endpoints that probably have the prompt's prefix in
// their cache.
type PrefixAffinity struct{}

// Score implements Scorer.
func (PrefixAffinity) Score(_ *Request, candidate *Candidate) float64 {
	if candidate.PrefixHit {
		return 1
	}
	return 0
}
