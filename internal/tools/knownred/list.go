package main

import (
	"strings"

	"github.com/rotisserie/eris"
)

// entry is one known failure.
type entry struct {
	// Package is the import path below the module, such as ./platform, and Test
	// the name of a test or subtest.
	Package, Test string
	// Command plays the test with the seed that failed, Seen is what was seen,
	// and Issue is the open issue.
	Command, Seen, Issue string
}

func (e entry) String() string { return e.Package + " " + e.Test }

// parseList parses the list of known failures. Entries are separated by blank
// lines and consist of the fields test, command, seen and issue, each on a line
// of its own; an indented line continues the field before it. Lines that begin
// with # are comments.
func parseList(text string) ([]entry, error) {
	var entries []entry
	var current map[string]string
	field := ""
	finish := func() error {
		if current == nil {
			return nil
		}
		added, err := newEntry(current)
		entries, current, field = append(entries, added), nil, ""
		return err
	}
	for number, line := range strings.Split(text, "\n") {
		name, value, found := strings.Cut(line, ":")
		switch {
		case strings.HasPrefix(line, "#"):
		case strings.TrimSpace(line) == "":
			if err := finish(); err != nil {
				return nil, err
			}
		case strings.HasPrefix(line, " ") && field != "":
			current[field] += " " + strings.TrimSpace(line)
		case found && isField(name):
			if current == nil {
				current = make(map[string]string)
			}
			field = name
			current[field] = strings.TrimSpace(value)
		default:
			return nil, eris.Errorf("line %d of the list is no field of an entry: %q", number+1, line)
		}
	}
	return entries, finish()
}

var fieldNames = []string{"test", "command", "seen", "issue"}

func isField(name string) bool {
	for _, known := range fieldNames {
		if name == known {
			return true
		}
	}
	return false
}

func newEntry(fields map[string]string) (entry, error) {
	for _, name := range fieldNames {
		if fields[name] == "" {
			return entry{}, eris.Errorf("the entry of %q has no field %q", fields["test"], name)
		}
	}
	pkg, test, found := strings.Cut(fields["test"], " ")
	if !found || !strings.HasPrefix(pkg, "./") || strings.Contains(test, " ") {
		return entry{}, eris.Errorf("test %q is not of the form ./PACKAGE TEST", fields["test"])
	}
	return entry{Package: pkg, Test: test, Command: fields["command"], Seen: fields["seen"], Issue: fields["issue"]}, nil
}
