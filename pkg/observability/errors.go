package observability

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Step names what the program was doing, for errors and log lines.
type Step string

// StepError is an error with the step that failed and the peer that was
// involved.
type StepError struct {
	Step Step
	// Peer is the VM, endpoint or service at the other end; empty if the step
	// involves none.
	Peer string
	// cause is an eris error, which carries the stack trace.
	cause error
}

// WrapStepError wraps an error in a StepError. It returns nil if err is nil.
func WrapStepError(step Step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, cause: eris.Wrap(err, string(step))}
}

// NewStepError returns a new StepError with a formatted message.
func NewStepError(step Step, peer, format string, arguments ...any) error {
	return &StepError{Step: step, Peer: peer, cause: eris.Wrap(fmt.Errorf(format, arguments...), string(step))}
}

func (e *StepError) Error() string {
	if e.Peer == "" {
		return e.cause.Error()
	}
	return e.cause.Error() + " (peer " + e.Peer + ")"
}

// Unwrap returns the wrapped error.
func (e *StepError) Unwrap() error { return e.cause }

// StackTrace returns the stack traces of an error in the JSON form of eris.
func StackTrace(err error) map[string]any {
	var step *StepError
	if errors.As(err, &step) {
		err = step.cause
	}
	return eris.ToJSON(err, true)
}

// WithError returns a log entry with an error. If it is a StepError, the entry
// has its step and peer, and if the logger is at debug level, its stack trace.
func WithError(logger *logrus.Logger, err error) *logrus.Entry {
	entry := logger.WithError(err)
	var step *StepError
	if errors.As(err, &step) {
		entry = entry.WithFields(logrus.Fields{FieldStep: string(step.Step), FieldPeer: step.Peer})
	}
	if logger.IsLevelEnabled(logrus.DebugLevel) {
		entry = entry.WithField(FieldTrace, StackTrace(err))
	}
	return entry
}
