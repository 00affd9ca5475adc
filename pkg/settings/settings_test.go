package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
)

// minimalFields are the fields of the settings file that have no default.
const minimalFields = `"vmId":"vm-1","dataCentre":"dc-a","region":"r","platform":{"address":"127.0.0.1:9000"}`

// Guards against a daemon that starts with invalid settings, and against errors
// that name neither the field nor the allowed values.
func TestInvalidSettingsErrorNamesPathAndRange(t *testing.T) {
	tests := []struct{ name, data, path, problem string }{
		{"unknown field", `{` + minimalFields + `,"timeouts":{"drain":1}}`, "timeouts.drain", "unknown field"},
		{"wrong case", `{` + minimalFields + `,"vmID":"a"}`, "vmID", "unknown field"},
		{"too low", `{` + minimalFields + `,"timeouts":{"connectMillis":9}}`, "timeouts.connectMillis", "9 is not allowed, want 10 to 600000"},
		{"too high", `{` + minimalFields + `,"limits":{"maxQueued":1000001}}`, "limits.maxQueued", "want 1 to 1000000"},
		{"wrong type", `{` + minimalFields + `,"limits":{"maxQueued":"many"}}`, "limits.maxQueued", "want a whole number"},
		{"fraction", `{` + minimalFields + `,"limits":{"maxQueued":1.5}}`, "limits.maxQueued", "want a whole number"},
		{"name for address", `{` + minimalFields + `,"listen":{"admin":"localhost:80"}}`, "listen.admin", "want an IP number and a port"},
		{"platform port", `{"vmId":"a","dataCentre":"b","region":"r","platform":{"address":"127.0.0.1:0"}}`, "platform.address", "port from 1 to 65535"},
		{"no identity", `{}`, "vmId", "want 1 to 128 characters"},
		{"objective of 1", `{` + minimalFields + `,"objectives":{"availability":1}}`, "objectives.availability", "below 1"},
		{"log level", `{` + minimalFields + `,"log":{"level":"loud"}}`, "log.level", "one of debug, info"},
		{"short drain", `{` + minimalFields + `,"timeouts":{"drainMillis":100}}`, "timeouts.drainMillis", "at least timeouts.requestMillis"},
		{"trailing data", `{` + minimalFields + `} {}`, "", "data after the JSON object"},
		{"no JSON", `{`, "", "unexpected EOF"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode([]byte(test.data), nil)
			var wrong *FieldError
			assert.Assert(t, err != nil)
			assert.ErrorType(t, err, wrong)
			assert.Equal(t, err.(*FieldError).Path, test.path)
			assert.ErrorContains(t, err, test.problem)
		})
	}
}

// Guards against flags that do not override the file, or override it without
// validation.
func TestFlagsOverrideTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{`+minimalFields+`,"timeouts":{"connectMillis":50}}`), 0o600))
	load := func(arguments ...string) (loaded Settings, err error) {
		command := &cobra.Command{Use: "x"}
		overrides := BindFlags(command)
		command.RunE = func(*cobra.Command, []string) error {
			loaded, err = Load(file, overrides())
			return nil
		}
		command.SetArgs(arguments)
		assert.NilError(t, command.Execute())
		return loaded, err
	}
	got, err := load("--vm-id=vm-2", "--timeouts-connect-millis=70", "--objectives-availability=0.5")
	assert.NilError(t, err)
	assert.Equal(t, string(got.VMID), "vm-2")
	assert.Equal(t, got.Timeouts.Connect, Millis(70))
	assert.Equal(t, got.Objectives.Availability, 0.5)
	got, err = load()
	assert.NilError(t, err)
	assert.Equal(t, got.Timeouts.Connect, Millis(50))
	_, err = load("--timeouts-connect-millis=soon")
	assert.ErrorContains(t, err, `timeouts.connectMillis: "soon" is not allowed, want 10 to 600000`)
	_, err = load("--timeouts-connect-millis=1")
	assert.ErrorContains(t, err, "timeouts.connectMillis: 1 is not allowed")
}

// Guards against a field of the struct that has no range, flag or valid
// default.
func TestEveryStructFieldIsListed(t *testing.T) {
	defaults := Defaults()
	listed := make(map[string]bool)
	for _, f := range fields(&defaults) {
		listed[f.path] = true
		if !f.valid() {
			switch f.path {
			case "vmId", "dataCentre", "region", "platform.address":
			default:
				t.Errorf("the default of %s is not valid", f.path)
			}
		}
	}
	var visitLeaves func(reflect.Type, string)
	visitLeaves = func(at reflect.Type, prefix string) {
		for i := range at.NumField() {
			path := prefix + at.Field(i).Tag.Get("json")
			if at.Field(i).Type.Kind() == reflect.Struct {
				visitLeaves(at.Field(i).Type, path+".")
				continue
			}
			assert.Assert(t, listed[path], "%s has no field entry", path)
			delete(listed, path)
		}
	}
	visitLeaves(reflect.TypeOf(defaults), "")
	assert.Equal(t, len(listed), 0)
}

// Guards against settings that change when they are written and read again, and
// against panics on arbitrary files.
func FuzzDecode(f *testing.F) {
	f.Add(`{` + minimalFields + `}`)
	f.Add(`{"timeouts":[],"listen":null}`)
	f.Add(strings.Repeat(`{"listen":`, 20))
	f.Fuzz(func(t *testing.T, data string) {
		decoded, err := Decode([]byte(data), nil)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(decoded)
		assert.NilError(t, err)
		decodedAgain, err := Decode(encoded, nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, decodedAgain)
	})
}

// Guards against a documentation page that lacks a field, its flag or its
// allowed values.
func TestConfigurationPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
	assert.NilError(t, err)
	defaults := Defaults()
	for _, f := range fields(&defaults) {
		row := "| `" + f.path + "` | `--" + f.flagName() + "` | " + f.usage + " | " + f.allowed + " | "
		assert.Assert(t, strings.Contains(string(page), row), "the page misses the row %s", row)
	}
}
