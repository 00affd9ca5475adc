package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

// apartTest is a top-level test that runs by itself.
type apartTest struct{ Package, Test string }

func (a apartTest) String() string { return a.Package + " " + a.Test }

var topLevelTest = regexp.MustCompile(`^Test\w*$`)

func parseApart(texts []string) ([]apartTest, error) {
	tests := make([]apartTest, 0, len(texts))
	for _, text := range texts {
		pkg, test, _ := strings.Cut(text, " ")
		if !strings.HasPrefix(pkg, "./") || strings.Contains(pkg, "...") || !topLevelTest.MatchString(test) {
			return nil, eris.Errorf("test %q is not of the form ./PACKAGE TEST, or is a subtest", text)
		}
		tests = append(tests, apartTest{Package: pkg, Test: test})
	}
	return tests, nil
}

// planPasses returns the arguments of each run of go test: one for all tests that are
// not run apart, and one for each of the others, with the same flags.
func planPasses(tests []apartTest, arguments []string) ([][]string, error) {
	if len(tests) == 0 {
		return [][]string{arguments}, nil
	}
	var flags, names []string
	for _, argument := range arguments {
		name, _, _ := strings.Cut(strings.TrimLeft(argument, "-"), "=")
		switch {
		case !strings.HasPrefix(argument, "-"):
			continue
		case name == "run" || name == "skip":
			return nil, eris.Errorf("%s can't be combined with tests that run apart", argument)
		}
		flags = append(flags, argument)
	}
	for _, test := range tests {
		names = append(names, test.Test)
	}
	plan := [][]string{append([]string{"-skip=^(" + strings.Join(names, "|") + ")$"}, arguments...)}
	for _, test := range tests {
		plan = append(plan, append(append([]string{"-run=^" + test.Test + "$"}, flags...), test.Package))
	}
	return plan, nil
}

// checkUnique returns an error if a test that runs apart has a namesake in another
// package: -skip applies to all packages, so that the namesake would never run.
func checkUnique(root string, tests []apartTest) error {
	return filepath.WalkDir(root, func(path string, file fs.DirEntry, err error) error {
		if err != nil || file.IsDir() || !strings.HasSuffix(path, "_test.go") || len(tests) == 0 {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "read a test file")
		}
		directory, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return eris.Wrap(err, "find the package of a test file")
		}
		for _, test := range tests {
			if "./"+filepath.ToSlash(directory) != test.Package && strings.Contains(string(text), "\nfunc "+test.Test+"(") {
				return eris.Errorf("%s runs apart, but %s has a test of that name too", test, path)
			}
		}
		return nil
	})
}
