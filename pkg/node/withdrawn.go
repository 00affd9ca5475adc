package node

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// errWithdrawn ends the context of a request that its VM has withdrawn. Other ends of that
// context do not stop a grant: a wait at one candidate ends with its time.
var errWithdrawn = errors.New("request withdrawn")

// heldStarts holds the requests that an owner is deciding about. A request that waits for
// the load of its adapter or for the pace of its engine is in no queue, so that its
// withdrawal is known only here.
type heldStarts struct {
	mu        sync.Mutex
	byRequest map[ids.RequestID][]*heldStart
}

type heldStart struct {
	attempt    uint64
	candidates []ids.EndpointID
	withdraw   context.CancelCauseFunc
}

// hold adds a request that may start at the given engines. The context that it returns ends
// with errWithdrawn when the request is withdrawn, and release removes the request.
func (s *heldStarts) hold(ctx context.Context, id ids.RequestID, attempt uint64, candidates []ids.EndpointID) (held context.Context, release func()) {
	held, cancel := context.WithCancelCause(ctx)
	start := &heldStart{attempt: attempt, candidates: candidates, withdraw: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRequest == nil {
		s.byRequest = make(map[ids.RequestID][]*heldStart)
	}
	s.byRequest[id] = append(s.byRequest[id], start)
	return held, func() {
		cancel(nil)
		s.mu.Lock()
		defer s.mu.Unlock()
		others := slices.DeleteFunc(s.byRequest[id], func(other *heldStart) bool { return other == start })
		if s.byRequest[id] = others; len(others) == 0 {
			delete(s.byRequest, id)
		}
	}
}

// withdraw ends the holds of an attempt of a request that may start only at the given engines.
func (s *heldStarts) withdraw(id ids.RequestID, attempt uint64, engines []ids.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range s.byRequest[id] {
		elsewhere := func(candidate ids.EndpointID) bool { return !slices.Contains(engines, candidate) }
		late := attempt != 0 && start.attempt != 0 && attempt != start.attempt
		if !late && !slices.ContainsFunc(start.candidates, elsewhere) {
			start.withdraw(errWithdrawn)
		}
	}
}

func isWithdrawn(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errWithdrawn) }
