// Package trace finds one request's way in the logs of several VMs: its own
// lines, and the lines about the adapter, the engines and the VMs that decided
// its outcome. wagtailctl prints the result.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
)

const (
	// maxLineBytes bounds a log line; the longest hold a stack trace.
	maxLineBytes = 1 << 20
	// windowBefore and windowAfter bound how long before a request's arrival and
	// after its end other lines count as related: lost relays, claims and copies
	// of the store show up to some seconds earlier.
	windowBefore = 5 * time.Second
	windowAfter  = time.Second
)

// Names of the fields and steps of the log lines that a trace is built from.
const (
	fieldRequest = "request"
	fieldTook    = "tookMs"
	stepRequest  = "request"
	stepStart    = "start"
)

// vmSteps are the steps at which a VM's own state changed. They are related to
// the requests of that VM, and to those whose owner it was.
var vmSteps = []string{
	stepStart, "reload", "drain", "stop", "claims changed", "claim dropped: engine has seen a higher fencing token", "exchange role changed",
	"cannot read the store", "store can be read again", "store no longer has the requested changes, listing it", "process was stalled", "configuration applied",
}

// Log is the log of one VM, or of several if a collector of logs has put the VM's
// name before each line.
type Log struct {
	// Name is shown if no line has the VM's name.
	Name  string
	Lines io.Reader
}

// Line is one line of a trace.
type Line struct {
	Time time.Time `json:"time"`
	VM   string    `json:"vm"`
	Step string    `json:"step"`
	// Fields are the inputs and the outcome of the step.
	Fields map[string]any `json:"fields"`
}

// Trace is what the logs say about one request.
type Trace struct {
	Request string `json:"request"`
	// Lines are in order of time.
	Lines []Line `json:"lines"`
	// Unreadable counts the lines that are not log lines.
	Unreadable int `json:"unreadable"`
}

// ErrNotFound means that no log has a line of the request.
var ErrNotFound = eris.New("no log has a line of this request")

// vmLog is the log of one VM that was read.
type vmLog struct {
	name, self string
	lines      []Line
}

// Find returns the trace of a request.
func Find(request string, logs []Log) (Trace, error) {
	trace := Trace{Request: request}
	var read []vmLog
	for _, log := range logs {
		vms, unreadable, err := readLog(log)
		if err != nil {
			return trace, eris.Wrapf(err, "read the log of %s", log.Name)
		}
		trace.Unreadable += unreadable
		read = append(read, vms...)
	}
	subject := newSubject(request, read)
	if subject.last.IsZero() {
		return trace, ErrNotFound
	}
	for _, l := range read {
		for _, line := range l.lines {
			if subject.includes(l, line) {
				trace.Lines = append(trace.Lines, line)
			}
		}
	}
	sort.SliceStable(trace.Lines, func(i, j int) bool { return trace.Lines[i].Time.Before(trace.Lines[j].Time) })
	return trace, nil
}

// readLog reads a log and divides it by the words before the lines. It also
// returns the number of lines that are not log lines.
func readLog(log Log) ([]vmLog, int, error) {
	byPrefix := make(map[string]*vmLog)
	var prefixes []string
	unreadable := 0
	scanner := bufio.NewScanner(log.Lines)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		raw := strings.TrimSpace(scanner.Text())
		if raw == "" {
			continue
		}
		prefix, line, ok := parseLine(raw)
		if !ok {
			unreadable++
			continue
		}
		l := byPrefix[prefix]
		if l == nil {
			l = &vmLog{name: prefix}
			if prefix == "" {
				l.name = log.Name
			}
			byPrefix[prefix] = l
			prefixes = append(prefixes, prefix)
		}
		if line.Step == stepStart {
			l.name, l.self = text(line.Fields["name"]), text(line.Fields["self"])
		}
		l.lines = append(l.lines, line)
	}
	var vms []vmLog
	for _, prefix := range prefixes {
		l := byPrefix[prefix]
		for i := range l.lines {
			l.lines[i].VM = l.name
		}
		vms = append(vms, *l)
	}
	return vms, unreadable, scanner.Err()
}

// parseLine parses a log line, and returns the last word before its first brace,
// where a collector of logs may put the VM's name.
func parseLine(raw string) (prefix string, line Line, ok bool) {
	at := strings.IndexByte(raw, '{')
	if at < 0 {
		return "", Line{}, false
	}
	if words := strings.Fields(raw[:at]); len(words) > 0 {
		prefix = words[len(words)-1]
	}
	fields := make(map[string]any)
	decoder := json.NewDecoder(strings.NewReader(raw[at:]))
	// Fencing tokens have more digits than a float64 keeps.
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return "", Line{}, false
	}
	written, err := time.Parse(time.RFC3339, text(fields["time"]))
	if err != nil {
		return "", Line{}, false
	}
	line = Line{Time: written, Step: text(fields[observability.FieldStep]), Fields: fields}
	if line.Step == "" {
		line.Step = text(fields["msg"])
	}
	for _, name := range []string{"time", observability.FieldStep, "msg", "level"} {
		delete(fields, name)
	}
	return prefix, line, line.Step != ""
}

func text(value any) string {
	s, _ := value.(string)
	return s
}

// subject is what the lines of a request name: the VMs, the engines and the
// adapter, from its arrival to its end.
type subject struct {
	request, adapter string
	engines, vms     []string
	first, last      time.Time
}

func newSubject(request string, logs []vmLog) subject {
	s := subject{request: request}
	for _, l := range logs {
		for _, line := range l.lines {
			if text(line.Fields[fieldRequest]) != request {
				continue
			}
			s.add(l, line)
		}
	}
	return s
}

func (s *subject) add(l vmLog, line Line) {
	arrived := line.Time
	if number, ok := line.Fields[fieldTook].(json.Number); ok {
		if took, err := number.Int64(); err == nil {
			arrived = arrived.Add(-time.Duration(took) * time.Millisecond)
		}
	}
	if s.first.IsZero() || arrived.Before(s.first) {
		s.first = arrived
	}
	if line.Time.After(s.last) {
		s.last = line.Time
	}
	s.vms = append(s.vms, l.self, text(line.Fields["owner"]))
	for _, field := range []string{"endpoint", "home", "holder", "target"} {
		s.engines = append(s.engines, text(line.Fields[field]))
	}
	if adapter := text(line.Fields["adapter"]); adapter != "" {
		s.adapter = adapter
	}
}

// includes reports whether a line is one of the request, or is about what decided
// its outcome and was written around it.
func (s *subject) includes(l vmLog, line Line) bool {
	if id := text(line.Fields[fieldRequest]); id != "" {
		return id == s.request
	}
	if line.Time.Before(s.first.Add(-windowBefore)) || line.Time.After(s.last.Add(windowAfter)) {
		return false
	}
	// Lines about an adapter name an engine too; those of other adapters at the
	// same engine are left out.
	if adapter := text(line.Fields["adapter"]); adapter != "" {
		return adapter == s.adapter
	}
	if engine := text(line.Fields["endpoint"]); engine != "" {
		return slices.Contains(s.engines, engine)
	}
	if peer := text(line.Fields[observability.FieldPeer]); peer != "" {
		return slices.Contains(s.vms, peer)
	}
	return l.self != "" && slices.Contains(s.vms, l.self) && slices.Contains(vmSteps, line.Step)
}

// WriteText writes a line for each step, with its fields in order of name.
func (t Trace) WriteText(w io.Writer) error {
	for _, line := range t.Lines {
		marker := " "
		if text(line.Fields[fieldRequest]) == t.Request {
			marker = "*"
		}
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			if name != fieldRequest {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		var fields strings.Builder
		for _, name := range names {
			fmt.Fprintf(&fields, " %s=%v", name, line.Fields[name])
		}
		if _, err := fmt.Fprintf(w, "%s %s %-24s %s:%s\n", marker, line.Time.UTC().Format(observability.TimeFormat), line.VM, line.Step, fields.String()); err != nil {
			return eris.Wrap(err, "write the trace")
		}
	}
	return nil
}
