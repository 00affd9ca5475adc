package engines

import (
	"fmt"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Cause names why a request to an endpoint failed.
type Cause string

// The causes of failures.
const (
	// CauseGate means that the request's gate refused it before a byte left.
	CauseGate Cause = "gate"
	// CauseConnect means that no connection could be had.
	CauseConnect Cause = "connect"
	// CauseSilent means that the connection gave no byte for too long.
	CauseSilent Cause = "silent"
	// CauseLost means that the connection broke or the answer was cut.
	CauseLost Cause = "lost"
	// CauseStatus means that the endpoint answered with an error status.
	CauseStatus Cause = "status"
	// CauseMismatch means that the answer belongs to another request.
	CauseMismatch Cause = "mismatch"
	// CauseEnded means that the caller's context ended.
	CauseEnded Cause = "ended"
)

// Failure is the error of every request to an endpoint.
type Failure struct {
	Endpoint ids.EndpointID
	// Step names what was done, such as "complete" or "load adapter".
	Step  string
	Cause Cause
	// Sent tells whether a byte of the request may have left.
	Sent bool
	// Status is the HTTP status, with CauseStatus.
	Status int
	// Type is the error type that the answer names, if any.
	Type engineapi.ErrorType
	// NotRun is set when the answer's header proves that the request did not
	// run.
	NotRun bool
	Err    error
}

func (f *Failure) Error() string {
	if f.Cause == CauseStatus {
		return fmt.Sprintf("%s at endpoint %s: status %d: %v", f.Step, f.Endpoint, f.Status, f.Err)
	}
	return fmt.Sprintf("%s at endpoint %s: %s: %v", f.Step, f.Endpoint, f.Cause, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }
