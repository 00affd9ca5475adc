package node

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
)

// Limits of the log. A line has about 300 bytes. The rate is twice the request
// rate of one VM in the largest deployment described so far.
const (
	logQueueLines     = 4096
	logLinesPerSecond = 400
)

// lineWriter passes complete log lines to a goroutine that writes them, so that
// a stalled log reader never delays a request. It drops and counts the lines
// that exceed the rate or do not fit into the queue.
type lineWriter struct {
	out             io.Writer
	lines           chan []byte
	droppedLogLines atomic.Int64

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
	if !w.allow(time.Now().Unix()) {
		w.droppedLogLines.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.droppedLogLines.Add(1)
	}
	return len(line), nil
}

func (w *lineWriter) allow(second int64) bool {
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
			w.droppedLogLines.Add(1)
		}
	}
}

// fields holds the fields of a log line.
type fields = logrus.Fields

// logInfo logs one line about a step at level info. If the logger's level is
// higher, only the call itself costs time.
func (n *Node) logInfo(step string, f fields) {
	n.log.WithFields(f).WithField(observability.FieldStep, step).Info(step)
}

// logWarning logs one line about a step that failed, at level warning.
func (n *Node) logWarning(step string, err error, f fields) {
	n.log.WithFields(f).WithError(err).WithField(observability.FieldStep, step).Warn(step)
}
