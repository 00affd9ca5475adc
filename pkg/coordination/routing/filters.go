package routing

import (
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// NotTried excludes endpoints that the request was already sent to.
type NotTried struct{}

// Keep implements Filter.
func (NotTried) Keep(request *Request, candidate *Candidate) bool {
	return !slices.Contains(request.Tried, candidate.Endpoint)
}

// Serving excludes endpoints that are leaving, from the moment at which their
// record says so.
type Serving struct{}

// Keep implements Filter.
func (Serving) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Record.State == records.EndpointServing
}

// Reachable excludes endpoints that do not answer this VM.
type Reachable struct{}

// Keep implements Filter.
func (Reachable) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Reachable
}

// Compatible excludes endpoints of another kind, and those of another service
// or base model.
type Compatible struct{}

// Keep implements Filter.
func (Compatible) Keep(request *Request, candidate *Candidate) bool {
	if candidate.Record.Kind != request.Kind {
		return false
	}
	if request.Kind == records.EndpointService {
		return candidate.Record.Service == request.Service
	}
	return candidate.Record.BaseModel == request.BaseModel
}

// ExactVersion excludes endpoints on which the requested version of the adapter
// is not resident.
type ExactVersion struct{}

// Keep implements Filter.
func (ExactVersion) Keep(request *Request, candidate *Candidate) bool {
	return candidate.Resident == request.Ref
}

// HasBatchCapacity excludes engines whose batch is full, so that requests wait
// in the fair queue and not in the engine.
type HasBatchCapacity struct{}

// Keep implements Filter.
func (HasBatchCapacity) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Load < candidate.Record.MaxBatch
}

// Pinned excludes endpoints on which this VM holds no pin that lasts until the
// request's deadline. Model requests may be sent only to endpoints that pass
// it; a Profile without it selects the endpoint for which to acquire a pin.
type Pinned struct{}

// Keep implements Filter.
func (Pinned) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Pinned
}
