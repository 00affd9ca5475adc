package trace_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/ctl/trace"
)

const entryLog = `
{"level":"info","msg":"start","name":"front-1","self":"10.1.0.1:1","step":"start","time":"2026-12-04T10:00:00.000Z"}
{"level":"info","msg":"request","request":"other","adapter":"m/a1","step":"request","time":"2026-12-04T10:00:07.000Z","tookMs":10}
{"level":"info","msg":"endpoint ejected","endpoint":"e1","reason":"endpoint silent","step":"endpoint ejected","time":"2026-12-04T10:00:07.100Z"}
{"level":"info","msg":"endpoint ejected","endpoint":"e9","reason":"endpoint silent","step":"endpoint ejected","time":"2026-12-04T10:00:07.150Z"}
not a log line
{"level":"info","msg":"request","request":"r1","adapter":"m/a1","home":"e1","owner":"10.1.0.2:1","outcome":"refused","reason":"adapter not loaded in time","status":503,"step":"request","time":"2026-12-04T10:00:08.600Z","tookMs":600}
`

const ownerLog = `
{"level":"info","msg":"start","name":"front-2","self":"10.1.0.2:1","step":"start","time":"2026-12-04T10:00:00.000Z"}
{"level":"info","msg":"claims changed","claims":[],"step":"claims changed","time":"2026-12-04T09:59:59.000Z"}
{"level":"info","msg":"claims changed","claims":[],"step":"claims changed","time":"2026-12-04T10:00:05.000Z"}
{"level":"info","msg":"engine order","adapter":"m/a1","endpoint":"e1","result":"unknown","step":"engine order","time":"2026-12-04T10:00:08.100Z"}
{"level":"info","msg":"engine order","adapter":"m/a2","endpoint":"e1","result":"accepted","step":"engine order","time":"2026-12-04T10:00:08.200Z"}
{"level":"info","msg":"adapter wait timed out","adapter":"m/a1","endpoint":"e1","step":"adapter wait timed out","time":"2026-12-04T10:00:08.599Z","wants":3}
`

func find(t *testing.T, request string) (trace.Trace, error) {
	t.Helper()
	return trace.Find(request, []trace.Log{{Name: "a.log", Lines: strings.NewReader(entryLog)}, {Name: "b.log", Lines: strings.NewReader(ownerLog)}})
}

// Guards against a trace that lacks what decided a request, at its own VM or at
// the owner of its engine, that shows other requests and adapters, or that is out
// of order.
func TestTraceHoldsWhatDecidedTheRequest(t *testing.T) {
	got, err := find(t, "r1")
	assert.NilError(t, err)
	var steps []string
	for _, line := range got.Lines {
		steps = append(steps, line.VM+": "+line.Step)
	}
	assert.DeepEqual(t, steps, []string{
		"front-2: claims changed", "front-1: endpoint ejected", "front-2: engine order", "front-2: adapter wait timed out", "front-1: request",
	})
	assert.Equal(t, got.Unreadable, 1)
	var text strings.Builder
	assert.NilError(t, got.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "* 2026-12-04T10:00:08.600Z front-1"), text.String())
	assert.Assert(t, strings.Contains(text.String(), "reason=adapter not loaded in time"), text.String())
}

// Guards against lines of several VMs in one log that are taken for one VM's.
func TestCollectedLogIsDividedByVM(t *testing.T) {
	var collected strings.Builder
	for name, log := range map[string]string{"front-1": entryLog, "front-2": ownerLog} {
		for _, line := range strings.Split(strings.TrimSpace(log), "\n") {
			collected.WriteString("  0.1 " + name + " " + line + "\n")
		}
	}
	got, err := trace.Find("r1", []trace.Log{{Name: "all.log", Lines: strings.NewReader(collected.String())}})
	assert.NilError(t, err)
	assert.Equal(t, len(got.Lines), 5)
	assert.Equal(t, got.Lines[0].VM, "front-2")
	assert.Equal(t, got.Lines[4].VM, "front-1")
}

// Guards against an unknown id that looks like a request without a cause.
func TestUnknownRequestIsAnError(t *testing.T) {
	_, err := find(t, "r2")
	assert.Assert(t, errors.Is(err, trace.ErrNotFound))
}
