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

// FieldError tells which field of the settings is wrong and why.
type FieldError struct {
	// Path is the path of the field, such as timeouts.drainMillis. It is empty
	// when the file as a whole is wrong.
	Path string
	// Problem tells what is wrong and which values are allowed.
	Problem string
}

func (e *FieldError) Error() string {
	if e.Path == "" {
		return "settings: " + e.Problem
	}
	return "settings: " + e.Path + ": " + e.Problem
}

// Overrides maps the paths of fields to values in text form.
type Overrides map[string]string

// BindFlags adds a flag for each field to a command. The returned function
// gives the values of the flags that were set.
func BindFlags(command *cobra.Command) func() Overrides {
	defaults := Defaults()
	list := fields(&defaults)
	for _, f := range list {
		command.Flags().String(f.flagName(), "", fmt.Sprintf("%s (%s; default %s)", f.usage, f.allowed, f.get()))
	}
	return func() Overrides {
		overrides := make(Overrides)
		for _, f := range list {
			if command.Flags().Changed(f.flagName()) {
				overrides[f.path], _ = command.Flags().GetString(f.flagName())
			}
		}
		return overrides
	}
}

// Load reads the settings from a file, or from nothing but the defaults when
// the path is empty, applies the overrides and checks the result.
func Load(path string, overrides Overrides) (Entry, error) {
	data := []byte("{}")
	if path != "" {
		var err error
		if data, err = os.ReadFile(path); err != nil {
			return Entry{}, &FieldError{Problem: err.Error()}
		}
	}
	return Decode(data, overrides)
}

// Decode reads the settings from JSON, applies the overrides and checks the
// result. A wrong value is refused with a *FieldError.
func Decode(data []byte, overrides Overrides) (Entry, error) {
	entry := Defaults()
	if err := decodeStrictly(data, &entry); err != nil {
		return Entry{}, err
	}
	for _, f := range fields(&entry) {
		value, set := overrides[f.path]
		if !set {
			continue
		}
		if err := f.set(value); err != nil {
			return Entry{}, &FieldError{Path: f.path, Problem: fmt.Sprintf("%q is not allowed, want %s", value, f.allowed)}
		}
	}
	if err := Validate(entry); err != nil {
		return Entry{}, err
	}
	return entry, nil
}

// Validate checks the settings and returns the first wrong field as a
// *FieldError.
func Validate(entry Entry) error {
	for _, f := range fields(&entry) {
		if !f.valid() {
			return &FieldError{Path: f.path, Problem: fmt.Sprintf("%s is not allowed, want %s", f.get(), f.allowed)}
		}
	}
	if entry.Timeouts.Drain < entry.Timeouts.Request {
		return &FieldError{Path: "timeouts.drainMillis", Problem: fmt.Sprintf(
			"%d is not allowed, want at least timeouts.requestMillis (%d), so that a shutdown cuts no request",
			entry.Timeouts.Drain, entry.Timeouts.Request)}
	}
	return nil
}

// decodeStrictly reads one JSON object and refuses unknown fields with their
// path.
func decodeStrictly(data []byte, entry *Entry) error {
	if path := unknownField(data, reflect.TypeOf(*entry), ""); path != "" {
		return &FieldError{Path: path, Problem: "unknown field"}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(entry); err != nil {
		return fieldError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{Problem: "data after the JSON object"}
	}
	return nil
}

func fieldError(err error) *FieldError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{Path: wrongType.Field, Problem: fmt.Sprintf("a JSON %s is not allowed, want %s", wrongType.Value, describe(wrongType.Type))}
	}
	return &FieldError{Problem: err.Error()}
}

func describe(t reflect.Type) string {
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

// unknownField returns the path of the first field that the struct type does
// not have. The JSON decoder itself names only the last part of the path.
func unknownField(data []byte, t reflect.Type, prefix string) string {
	var object map[string]json.RawMessage
	if t.Kind() != reflect.Struct || json.Unmarshal(data, &object) != nil {
		return ""
	}
	known := make(map[string]reflect.Type)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	for name, value := range object {
		fieldType, exists := known[name]
		if !exists {
			return prefix + name
		}
		if path := unknownField(value, fieldType, prefix+name+"."); path != "" {
			return path
		}
	}
	return ""
}
