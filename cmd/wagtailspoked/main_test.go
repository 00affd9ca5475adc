package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against different kinds of failure that share an exit code, so that
// a supervisor cannot tell them apart, and against ports that are opened
// before the settings are checked.
func TestExitCodes(t *testing.T) {
	invalidFile := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(invalidFile, []byte(`{"vmId":"a1","timeouts":{"drainMillis":1}}`), 0o600))
	for _, test := range []struct {
		name      string
		arguments []string
		want      int
	}{
		{"unknown flag", []string{"--no-such-flag"}, exitUsage},
		{"argument", []string{"serve"}, exitUsage},
		{"wrong settings", []string{"--settings", invalidFile}, exitSettings},
		{"missing settings", []string{"--settings", invalidFile + ".missing"}, exitSettings},
		{"no identity", nil, exitSettings},
		{"version", []string{"--version"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			root := newRootCommand()
			root.SetArgs(test.arguments)
			root.SetOut(io.Discard)
			err := root.Execute()
			if test.want == 0 {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, exitCode(err), test.want, "%v", err)
		})
	}
	assert.Equal(t, exitCode(&runtimeError{errors.New("port in use")}), exitRuntime)
}
