package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeBench writes a program that prints what the bench prints of a deployment.
func fakeBench(t *testing.T, score, gate string, quick bool) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bench")
	line := "score on the standard days of site-a (set 1f): " + score
	if quick {
		line = "quick estimate on the standard days of site-a (set 1f): " + score + ", +0.034 against snapshot d67708af"
	}
	script := fmt.Sprintf("#!/bin/sh\necho \"arguments: $@\"\necho '%s'\necho 'GATE %s'\n", line, gate)
	assert.NilError(t, os.WriteFile(path, []byte(script), 0o755))
	return path
}

// Guards against a regression run that ends well although a gate failed, a score
// fell or the bench printed nothing.
func TestRegressionsFailTheRun(t *testing.T) {
	record := filepath.Join(t.TempDir(), "scores.json")
	assert.NilError(t, os.WriteFile(record, []byte(`[{"site":"a/site-a.toml","score":0.8,"quickScore":0.7,"jobs":2}]`), 0o644))
	for name, c := range map[string]struct {
		score, gate string
		quick       bool
		fails       string
	}{
		"as recorded":    {"0.800", "passed", false, ""},
		"within noise":   {"0.771", "passed", false, ""},
		"fallen":         {"0.769", "passed", false, "fell"},
		"gate":           {"0.900", "failed: trouble-1: BUDGET broken", false, "the gate"},
		"short form":     {"0.690", "passed", true, ""},
		"short and fell": {"0.660", "passed", true, "fell"},
		"no score":       {"none", "passed", false, "no score"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(&out, options{bench: fakeBench(t, c.score, c.gate, c.quick), sites: "pages", record: record, why: "test", quick: c.quick})
			assert.Equal(t, err != nil, c.fails != "", "%v\n%s", err, out.String())
			assert.Assert(t, strings.Contains(out.String(), c.fails), out.String())
			assert.Assert(t, strings.Contains(out.String(), "score pages/a/site-a.toml --jobs 2 --why test"), out.String())
			assert.Equal(t, strings.Contains(out.String(), "--quick"), c.quick)
		})
	}
}

// Guards against a record with a mistake that makes the run skip a deployment.
func TestRecordIsChecked(t *testing.T) {
	record := filepath.Join(t.TempDir(), "scores.json")
	for _, content := range []string{`{`, `[{"site":"a.toml"}]`, `[{"jobs":1}]`} {
		assert.NilError(t, os.WriteFile(record, []byte(content), 0o644))
		_, err := readRecord(record)
		assert.Assert(t, err != nil, content)
	}
	sites, err := readRecord("../../../docs/scores.json")
	assert.NilError(t, err)
	assert.Assert(t, len(sites) > 0)
}
