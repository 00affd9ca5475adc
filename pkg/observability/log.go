// Package observability provides the logs, errors, metrics and service-level
// figures of the daemons. It redacts callers' API keys in log lines, and it
// reads service-level figures back from a VM's metrics for the burn report of
// wagtailctl.
package observability

import (
	"io"

	"github.com/sirupsen/logrus"
)

// The names of the fields that log lines carry.
const (
	// FieldStep names what the program was doing, such as "dispatch".
	FieldStep = "step"
	// FieldPeer names the VM, endpoint or service at the other end.
	FieldPeer = "peer"
	// FieldVM names the VM that writes the line.
	FieldVM = "vm"
	// FieldTrace holds the stack trace of an error, at debug level only.
	FieldTrace = "trace"
)

// TimeFormat is the format of a log line's time. Milliseconds order the lines of
// several VMs.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes one JSON object per line and removes
// callers' API keys. An unknown level selects info.
func NewLogger(out io.Writer, level string, redactor *Redactor) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: TimeFormat})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	logger.SetLevel(parsed)
	logger.AddHook(redactor)
	return logger
}

// WithStep returns a log entry with a step and, unless it is empty, a peer.
func WithStep(logger logrus.FieldLogger, step Step, peer string) logrus.FieldLogger {
	fields := logrus.Fields{FieldStep: string(step)}
	if peer != "" {
		fields[FieldPeer] = peer
	}
	return logger.WithFields(fields)
}
