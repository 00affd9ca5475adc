package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against exit codes that a supervisor cannot tell apart, and against
// ports opened before the settings are checked.
func TestExitCodes(t *testing.T) {
	wrong := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(wrong, []byte(`{"vmId":"a1","timeouts":{"drainMillis":1}}`), 0o600))
	for _, test := range []struct {
		name      string
		arguments []string
		want      int
	}{
		{"unknown flag", []string{"--no-such-flag"}, exitUsage},
		{"argument", []string{"serve"}, exitUsage},
		{"wrong settings", []string{"--settings", wrong}, exitSettings},
		{"missing settings", []string{"--settings", wrong + ".missing"}, exitSettings},
		{"no identity", nil, exitSettings},
		{"version", []string{"--version"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			root := command()
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
	assert.Equal(t, exitCode(&runError{errors.New("port in use")}), exitRuntime)
}
