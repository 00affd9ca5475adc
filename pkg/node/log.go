package node

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
)

// Bounds of the log. A line is about 300 bytes; the rate is twice that of the
// requests of a VM at the largest deployment described today.
const (
	logQueueLines     = 4096
	logLinesPerSecond = 400
)

// lineWriter hands complete lines to a goroutine that writes them, so that a
// reader that stalls never holds a request up. Lines beyond the rate or the
// queue are dropped and counted.
type lineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64

	mu     sync.Mutex
	second int64
	count  int
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{out: out, lines: make(chan []byte, logQueueLines)}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *lineWriter) Write(line []byte) (int, error) {
	if !w.admit(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *lineWriter) admit(second int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second, w.count = second, 0
	}
	w.count++
	return w.count <= logLinesPerSecond
}

func (w *lineWriter) run() {
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// fields is the type of the fields of a log line.
type fields = logrus.Fields

// note writes one line about a step. Levels below the logger's cost nothing
// but the call.
func (n *Node) note(step string, f fields) {
	n.log.WithFields(f).WithField(observability.FieldStep, step).Info(step)
}

// warn writes one line about a step that failed.
func (n *Node) warn(step string, err error, f fields) {
	n.log.WithFields(f).WithError(err).WithField(observability.FieldStep, step).Warn(step)
}
