package limits

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
)

// Guards the experiment that the page on limits cites: no window of any method
// exceeds its limit, transfer refuses far less than static shares in every
// case, and the slopes are written.
func TestQuickExperiment(t *testing.T) {
	out := filepath.Join(t.TempDir(), "slopes.json")
	var printed bytes.Buffer
	assert.NilError(t, run(&printed, options{quick: true, seed: 1, wait: time.Second, out: out}))
	slopes, err := slope.ReadFile(out)
	assert.NilError(t, err)
	for _, s := range slopes {
		assert.Assert(t, len(s.Points) >= 2 && s.Name != "" && s.Unit != "" && s.Command != "", "slope %q is incomplete", s.Name)
	}
	static := map[string]float64{}
	for _, r := range Table(options{quick: true, seed: 1, wait: time.Second}) {
		assert.Equal(t, r.Excess, 0.0)
		switch r.Method {
		case Static:
			static[r.Case] = r.RefusedWithin
		case Transfer:
			assert.Assert(t, r.RefusedWithin < static[r.Case]/4, "case %q: static %v, transfer %v", r.Case, static[r.Case], r.RefusedWithin)
		}
	}
}
