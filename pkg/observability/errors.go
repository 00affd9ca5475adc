package observability

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Step names a step of the program in errors and log lines.
type Step string

// StepError is an error with the step that failed and the peer it failed
// with.
type StepError struct {
	Step Step
	// Peer is the VM, endpoint or service at the other side; empty when the
	// step has none.
	Peer string
	// cause is an eris error, which holds the stack.
	cause error
}

// AtStep wraps an error with its step and peer. It returns nil for nil.
func AtStep(step Step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, cause: eris.Wrap(err, string(step))}
}

// Failure returns a new error with its step and peer.
func Failure(step Step, peer, format string, arguments ...any) error {
	return &StepError{Step: step, Peer: peer, cause: eris.Wrap(fmt.Errorf(format, arguments...), string(step))}
}

func (e *StepError) Error() string {
	if e.Peer == "" {
		return e.cause.Error()
	}
	return e.cause.Error() + " (peer " + e.Peer + ")"
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.cause }

// Trace returns the stacks of an error as eris formats them.
func Trace(err error) map[string]any {
	var step *StepError
	if errors.As(err, &step) {
		err = step.cause
	}
	return eris.ToJSON(err, true)
}

// WithError adds an error to a log entry, with its step and peer when it is a
// StepError and with its stack when the logger is on debug level.
func WithError(logger *logrus.Logger, err error) *logrus.Entry {
	entry := logger.WithError(err)
	var step *StepError
	if errors.As(err, &step) {
		entry = entry.WithFields(logrus.Fields{FieldStep: string(step.Step), FieldPeer: step.Peer})
	}
	if logger.IsLevelEnabled(logrus.DebugLevel) {
		entry = entry.WithField(FieldTrace, Trace(err))
	}
	return entry
}
