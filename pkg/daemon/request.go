package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/lifecycle"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
)

// requestState guards a lifecycle.Request with a lock: net/http asks from its
// own goroutine whether bytes may be sent, possibly after the attempt has
// ended.
type requestState struct {
	mu      sync.Mutex
	request *lifecycle.Request
}

func newRequestState(config lifecycle.Config) *requestState {
	return &requestState{request: lifecycle.New(config)}
}

// Commit starts an attempt to send the request to an endpoint.
func (s *requestState) Commit(now time.Time, endpoint ids.EndpointID) (lifecycle.Attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request.Commit(now, endpoint)
}

// MaySend reports whether bytes of an attempt may be sent.
func (s *requestState) MaySend(now time.Time, attempt lifecycle.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request.MaySend(now, attempt)
}

// MarkAnswerStarted records that a part of the answer reached the caller.
func (s *requestState) MarkAnswerStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request.MarkAnswerStarted()
}

// Finish records the end of an attempt.
func (s *requestState) Finish(now time.Time, attempt lifecycle.Attempt, result lifecycle.Result, evidence lifecycle.Evidence) (lifecycle.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request.Finish(now, attempt, result, evidence)
}

// Refuse ends the request between attempts.
func (s *requestState) Refuse(reason inferencev1.Reason, retryAfter time.Duration) (lifecycle.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request.Refuse(reason, retryAfter)
}

// FinalOutcome returns how the request ended. A request that was due to be
// retried but is not retried ends here.
func (s *requestState) FinalOutcome() (lifecycle.Outcome, inferencev1.Reason, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.request.State() != lifecycle.Ended {
		s.request.Abandon()
	}
	return s.request.FinalOutcome()
}

// Attempts returns how many attempts were committed.
func (s *requestState) Attempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.request.Attempts()
}

// keyCheck checks repeatedly that a caller's key is still valid. It looks the
// key up once per view of the records.
type keyCheck struct {
	// view is the last view in which the key was valid.
	view atomic.Pointer[catalog.View]
}

// check returns errKeyWithdrawn if the key of an admitted request is no
// longer valid.
func (k *keyCheck) check(d *Daemon, identity callers.Identity) error {
	if identity.OpenRoute || !d.safetyRules.recheckKeyAtDispatch {
		return nil
	}
	view := d.catalog.View()
	if view == k.view.Load() {
		return nil
	}
	customer, state := view.CustomerByKey(catalog.KeyHash(identity.KeyHash))
	if state != catalog.KeyActive || customer != identity.Customer {
		return errKeyWithdrawn
	}
	k.view.Store(view)
	return nil
}
