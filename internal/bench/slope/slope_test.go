package slope_test

import (
	"math"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
)

// Guards against wrong extrapolations on the capacity page.
func TestFitRecoversALine(t *testing.T) {
	line := slope.Fit("n", "B/VM", "c", [][2]float64{{1, 5}, {2, 7}, {10, 23}})
	assert.Assert(t, math.Abs(line.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(line.At(420)-843) < 1e-6)
	assert.Assert(t, math.Abs(line.R2-1) < 1e-9)
	low, high := line.Range()
	assert.Equal(t, low, 1.0)
	assert.Equal(t, high, 10.0)
}

// Guards against a division by zero when only one size was measured.
func TestFitOfOnePointIsConstant(t *testing.T) {
	line := slope.Fit("n", "B", "c", [][2]float64{{8, 100}})
	assert.Equal(t, line.At(420), 100.0)
}

// Guards against slopes changing between the run and the page.
func TestFilesKeepSlopes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "slopes.json")
	want := []slope.Slope{slope.Fit("n", "B", "c", [][2]float64{{8, 100}, {9, 101}})}
	assert.NilError(t, slope.WriteFile(path, want))
	got, err := slope.ReadFile(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}
