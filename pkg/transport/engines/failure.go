package engines

import (
	"fmt"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Cause is the reason why a request to an endpoint failed. Its values are also
// labels of metrics.
type Cause string

const (
	// CausePreSendCheck means that the request was rejected before a byte was
	// written: by the check right before sending, or because it could not be
	// built.
	CausePreSendCheck Cause = "gate"
	// CauseConnect means that no connection could be opened.
	CauseConnect Cause = "connect"
	// CauseReadTimeout means that no data arrived within the read timeout.
	CauseReadTimeout Cause = "silent"
	// CauseConnectionLost means that the connection broke or that the response
	// was incomplete or could not be decoded.
	CauseConnectionLost Cause = "lost"
	// CauseErrorStatus means that the endpoint responded with an error status.
	CauseErrorStatus Cause = "status"
	// CauseResponseMismatch means that the response belongs to another request.
	CauseResponseMismatch Cause = "mismatch"
	// CauseCallerEnded means that the caller's context ended or that the caller
	// rejected a piece of the generated text.
	CauseCallerEnded Cause = "ended"
)

// Failure is the error that all requests of this package return.
type Failure struct {
	Endpoint ids.EndpointID
	// Step is the operation that failed, such as "complete" or "load adapter".
	Step  string
	Cause Cause
	// MaybeSent reports whether a byte of the request may have been sent.
	MaybeSent bool
	// Status is the HTTP status of an error response; otherwise 0.
	Status int
	// ErrorType is the engine's error type from an error response, if any.
	ErrorType engineapi.ErrorType
	// NotRun is set when a header of the response proves that the endpoint did
	// not run the request.
	NotRun bool
	Err    error
}

func (f *Failure) Error() string {
	if f.Cause == CauseErrorStatus {
		return fmt.Sprintf("%s at endpoint %s: status %d: %v", f.Step, f.Endpoint, f.Status, f.Err)
	}
	return fmt.Sprintf("%s at endpoint %s: %s: %v", f.Step, f.Endpoint, f.Cause, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }
