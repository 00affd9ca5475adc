package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/spf13/cobra"
)

// FieldError says which field of the settings is invalid and why.
type FieldError struct {
	// Path is the path of the field, such as timeouts.drainMillis. It is empty
	// if the error concerns the file as a whole.
	Path string
	// Problem says what is wrong and, where it helps, which values are allowed.
	Problem string
}

func (e *FieldError) Error() string {
	if e.Path == "" {
		return "settings: " + e.Problem
	}
	return "settings: " + e.Path + ": " + e.Problem
}

// Overrides maps the paths of fields to values in text form that replace those
// of the settings file.
type Overrides map[string]string

// BindFlags adds a flag to a command for each field of the settings. The
// returned function is called after the flags are parsed and returns the values
// of those that were set.
func BindFlags(command *cobra.Command) func() Overrides {
	defaults := Defaults()
	allFields := fields(&defaults)
	for _, f := range allFields {
		command.Flags().String(f.flagName(), "", fmt.Sprintf("%s (%s; default %s)", f.usage, f.allowed, f.get()))
	}
	return func() Overrides {
		overrides := make(Overrides)
		for _, f := range allFields {
			if command.Flags().Changed(f.flagName()) {
				overrides[f.path], _ = command.Flags().GetString(f.flagName())
			}
		}
		return overrides
	}
}

// Load reads settings from a file, applies the overrides and validates the
// result. With an empty path it starts from the defaults.
func Load(path string, overrides Overrides) (Settings, error) {
	data := []byte("{}")
	if path != "" {
		var err error
		if data, err = os.ReadFile(path); err != nil {
			return Settings{}, &FieldError{Problem: err.Error()}
		}
	}
	return Decode(data, overrides)
}

// Decode parses settings from JSON, applies the overrides and validates the
// result. An invalid value is reported as a *FieldError.
func Decode(data []byte, overrides Overrides) (Settings, error) {
	decoded := Defaults()
	if err := decodeStrict(data, &decoded); err != nil {
		return Settings{}, err
	}
	for _, f := range fields(&decoded) {
		value, set := overrides[f.path]
		if !set {
			continue
		}
		if err := f.set(value); err != nil {
			return Settings{}, &FieldError{Path: f.path, Problem: fmt.Sprintf("%q is not allowed, want %s", value, f.allowed)}
		}
	}
	if err := Validate(decoded); err != nil {
		return Settings{}, err
	}
	return decoded, nil
}

// Validate reports the first invalid field as a *FieldError.
func Validate(s Settings) error {
	for _, f := range fields(&s) {
		if !f.valid() {
			return &FieldError{Path: f.path, Problem: fmt.Sprintf("%s is not allowed, want %s", f.get(), f.allowed)}
		}
	}
	if s.Timeouts.Drain < s.Timeouts.Request {
		return &FieldError{Path: "timeouts.drainMillis", Problem: fmt.Sprintf(
			"%d is not allowed, want at least timeouts.requestMillis (%d), so that a shutdown cuts no request",
			s.Timeouts.Drain, s.Timeouts.Request)}
	}
	return nil
}

// decodeStrict parses one JSON object into the settings. It rejects unknown
// fields, naming their path, and data after the object.
func decodeStrict(data []byte, target *Settings) error {
	if path := firstUnknownField(data, reflect.TypeOf(*target), ""); path != "" {
		return &FieldError{Path: path, Problem: "unknown field"}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return jsonFieldError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{Problem: "data after the JSON object"}
	}
	return nil
}

// jsonFieldError converts an error of the JSON decoder to a *FieldError.
func jsonFieldError(err error) *FieldError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{Path: wrongType.Field, Problem: fmt.Sprintf("a JSON %s is not allowed, want %s", wrongType.Value, describeType(wrongType.Type))}
	}
	return &FieldError{Problem: err.Error()}
}

// describeType names the JSON type that a field of a Go type accepts.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.String:
		return "a string"
	case reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}

// firstUnknownField returns the path of a field of a JSON object that the
// struct type does not have, or "". The JSON decoder itself reports only the
// last part of the path.
func firstUnknownField(data []byte, t reflect.Type, prefix string) string {
	var members map[string]json.RawMessage
	if t.Kind() != reflect.Struct || json.Unmarshal(data, &members) != nil {
		return ""
	}
	known := make(map[string]reflect.Type)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	for name, value := range members {
		fieldType, exists := known[name]
		if !exists {
			return prefix + name
		}
		if path := firstUnknownField(value, fieldType, prefix+name+"."); path != "" {
			return path
		}
	}
	return ""
}
