// Package observability holds the logs, errors, metrics and service-level
// figures of the processes.
package observability

import (
	"io"

	"github.com/sirupsen/logrus"
)

// The fields that log lines and errors carry.
const (
	// FieldStep names the step of the program, such as "dispatch".
	FieldStep = "step"
	// FieldPeer names the VM, endpoint or service at the other side.
	FieldPeer = "peer"
	// FieldVM names the VM that writes the line.
	FieldVM = "vm"
	// FieldTrace holds the stack of an error, on debug level only.
	FieldTrace = "trace"
)

// NewLogger returns a logger that writes one JSON object a line without
// callers' keys. An unknown level stands for info.
func NewLogger(out io.Writer, level string, redactor *Redactor) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	logger.SetLevel(parsed)
	logger.AddHook(redactor)
	return logger
}

// At returns a log entry for a step with a peer; the peer may be empty.
func At(logger logrus.FieldLogger, step Step, peer string) logrus.FieldLogger {
	fields := logrus.Fields{FieldStep: string(step)}
	if peer != "" {
		fields[FieldPeer] = peer
	}
	return logger.WithFields(fields)
}
