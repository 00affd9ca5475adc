package faults

import (
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that breaks a promise under load with a kill, a cut
// or no fault at all. The whole matrix runs with wagtailbench faults.
func TestQuickMatrixKeepsAllPromises(t *testing.T) {
	directory := t.TempDir()
	build := exec.Command("go", "build", "-o", directory, "../../../cmd/wagtailspoked")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, string(output))
	outcomes, err := Run(t.Context(), Options{BinDir: directory, Seeds: 1, FirstSeed: 1, Quick: true, Parallel: 3})
	assert.NilError(t, err)
	assert.Assert(t, len(outcomes) > 0)
	for _, outcome := range outcomes {
		t.Logf("%s, seed %d: %d requests, %d answered, %d not run, %d unknown, %d broken",
			outcome.Scenario, outcome.Seed, outcome.Requests, outcome.Answered, outcome.NotRun, outcome.Unknown, outcome.Broken)
		assert.Equal(t, outcome.Error, "", outcome.Scenario)
		assert.DeepEqual(t, outcome.Violations, []Violation{})
		assert.Assert(t, outcome.Answered > 0, "%s: no request was answered", outcome.Scenario)
	}
}
