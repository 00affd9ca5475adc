package routing

import (
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// NotTried leaves out endpoints that the request was already sent to.
type NotTried struct{}

// Keep implements Filter.
func (NotTried) Keep(request *Request, candidate *Candidate) bool {
	return !slices.Contains(request.Tried, candidate.Endpoint)
}

// Serving leaves out endpoints that are leaving, from the moment at which
// their record says so.
type Serving struct{}

// Keep implements Filter.
func (Serving) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Record.State == records.EndpointServing
}

// Reachable leaves out endpoints that do not answer this VM.
type Reachable struct{}

// Keep implements Filter.
func (Reachable) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Reachable
}

// OfKind leaves out endpoints of another kind, base model or service.
type OfKind struct{}

// Keep implements Filter.
func (OfKind) Keep(request *Request, candidate *Candidate) bool {
	if candidate.Record.Kind != request.Kind {
		return false
	}
	if request.Kind == records.EndpointService {
		return candidate.Record.Service == request.Service
	}
	return candidate.Record.BaseModel == request.BaseModel
}

// ExactVersion leaves out endpoints that do not hold the very version of the
// adapter that was asked for.
type ExactVersion struct{}

// Keep implements Filter.
func (ExactVersion) Keep(request *Request, candidate *Candidate) bool {
	return candidate.Resident == request.Ref
}

// HasRoom leaves out engines whose batch is full, so that requests wait in the
// fair queue and not in the engine.
type HasRoom struct{}

// Keep implements Filter.
func (HasRoom) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Load < candidate.Record.MaxBatch
}

// Pinned leaves out endpoints on which this VM holds no pin that lasts until
// the request's deadline. A request may be sent only to an endpoint that
// passes it; without it a Profile tells for which endpoint to ask a pin.
type Pinned struct{}

// Keep implements Filter.
func (Pinned) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Pinned
}
