package demo

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Guards against a demonstration that succeeds although a check failed.
func TestReportFailsIfACheckFailed(t *testing.T) {
	var out strings.Builder
	report := &checkReport{out: &out, start: time.Now()}
	report.check("one", true, "as wanted")
	assert.NilError(t, report.summarize())
	report.check("two", false, "%d of %d", 1, 2)
	assert.ErrorContains(t, report.summarize(), `1 of 2 checks failed: ["two"]`)
	assert.Assert(t, strings.Contains(out.String(), "FAILED two: 1 of 2"), out.String())
}

// Guards against accepting a response to another prompt, from another version,
// or cut short.
func TestMatchesOnlyTheCompleteResponseToTheRequest(t *testing.T) {
	request := modelRequest{adapter: "a", prompt: "p", maxTokens: 4}
	ref := ids.AdapterRef{Adapter: "a", Version: 1}
	complete := modelResult{ref: ref, text: engine.GeneratedText(ref.String(), "p", 4)}
	assert.Assert(t, complete.matches(request, 1))
	assert.Assert(t, !complete.matches(request, 2))
	for _, text := range []string{engine.GeneratedText(ref.String(), "p", 3), engine.GeneratedText(ref.String(), "q", 4), engine.GeneratedText("a@2", "p", 4)} {
		assert.Assert(t, !modelResult{ref: ref, text: text}.matches(request, 1))
	}
}

// Guards against a demonstration that hides a daemon that fails to start, or
// that leaves processes or files behind. The daemon is this test binary, which
// rejects the flag --settings and exits at once.
func TestDaemonThatExitsFailsTheDemonstration(t *testing.T) {
	program, err := os.Executable()
	assert.NilError(t, err)
	t.Setenv("TMPDIR", t.TempDir())
	var out strings.Builder
	err = Run(t.Context(), Options{Daemon: program}, &out)
	assert.ErrorContains(t, err, "ended: exit status")
	left, err := os.ReadDir(os.TempDir())
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0)
}
