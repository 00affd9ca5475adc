package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
)

// Guards against budgets of the control plane that a change exceeds, and
// against slopes that the capacity page cannot read.
func TestQuickRunStaysWithinTheLimits(t *testing.T) {
	out := filepath.Join(t.TempDir(), "slopes.json")
	command := Command()
	command.SetArgs([]string{"--quick", "--out", out})
	assert.NilError(t, command.Execute())
	data, err := os.ReadFile(out)
	assert.NilError(t, err)
	var lines []slope.Slope
	assert.NilError(t, json.Unmarshal(data, &lines))
	assert.Assert(t, len(lines) >= 6)
	for _, line := range lines {
		assert.Assert(t, line.Name != "" && line.Unit != "" && line.Command != "" && len(line.Points) >= 2, "%+v", line)
	}
}

// Guards against a limit that is never checked.
func TestExceededLimitsAreFound(t *testing.T) {
	report := &Report{}
	report.add("below", 1, "s", 2)
	report.add("without", 5, "s", 0)
	report.add("above", 3, "s", 2)
	assert.Equal(t, len(report.Exceeded()), 1)
	assert.Equal(t, report.Exceeded()[0].Name, "above")
}
