package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	// ImportPath names the package of a build event.
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// testID identifies a test; Test is empty for the package as a whole.
type testID struct{ Package, Test string }

// results holds the outcome of each test: pass, fail or skip.
type results map[testID]string

// readResults reads the events of go test. It prints the output of what failed
// and one line for each package.
func readResults(from io.Reader, out io.Writer) (results, error) {
	outcomes := make(results)
	output := make(map[testID]*strings.Builder)
	decoder := json.NewDecoder(from)
	for {
		var e event
		if err := decoder.Decode(&e); err == io.EOF {
			return outcomes, nil
		} else if err != nil {
			return nil, eris.Wrap(err, "decode the output of go test")
		}
		id := testID{e.Package, e.Test}
		switch e.Action {
		case "build-output":
			_, _ = fmt.Fprint(out, e.Output)
		case "output":
			if output[id] == nil {
				output[id] = &strings.Builder{}
			}
			output[id].WriteString(e.Output)
		case "pass", "fail", "skip":
			outcomes[id] = e.Action
			if printed := output[id]; printed != nil && (e.Action == "fail" || e.Test == "") {
				_, _ = fmt.Fprint(out, printed.String())
			}
			delete(output, id)
		}
	}
}

// pass is one run of go test. failed says that go test itself exited with an error.
type pass struct {
	outcomes results
	failed   bool
}

// judge prints the known failures and returns an error if a test failed that is
// not listed, if a listed test or one that runs apart was not run, or if a test
// ran in two passes. Failures are excused within their own pass only, so that a
// listed failure in one pass doesn't excuse the package in another one.
func judge(entries []entry, apart []apartTest, passes []pass, out io.Writer) error {
	all := make(results)
	var problems []string
	for _, p := range passes {
		for id, outcome := range p.outcomes {
			if all[id] != "" && id.Test != "" {
				problems = append(problems, id.Package+" "+id.Test+" ran twice")
			}
			all[id] = outcome
		}
	}
	for _, test := range apart {
		if _, found := all.find(test.Package, test.Test); !found {
			problems = append(problems, test.String()+" is to run apart and was not run")
		}
	}
	excused := make(map[testID]bool)
	for _, known := range entries {
		id, found := all.find(known.Package, known.Test)
		if !found {
			problems = append(problems, known.String()+" is listed and was not run")
			continue
		}
		_, _ = fmt.Fprintf(out, "known red: %s (%s; issue %s): %s\n    %s\n", known, all[id], known.Issue, known.Seen, known.Command)
		excused[id] = true
	}
	for _, p := range passes {
		problems = append(problems, p.problems(excused)...)
	}
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return eris.Errorf("%d problems:\n  %s", len(problems), strings.Join(problems, "\n  "))
}

// problems returns the failures of a pass that are not excused.
func (p pass) problems(excused map[testID]bool) []string {
	var problems []string
	failures := 0
	for id, outcome := range p.outcomes {
		if outcome != "fail" {
			continue
		}
		failures++
		if !p.outcomes.excuses(excused, id) {
			problems = append(problems, strings.TrimSpace(id.Package+" "+id.Test)+" failed")
		}
	}
	if p.failed && failures == 0 {
		problems = append(problems, "go test failed without a failed test")
	}
	return problems
}

// find returns the outcome's key of a test of a package such as ./platform.
func (r results) find(pkg, test string) (testID, bool) {
	for id := range r {
		if id.Test == test && strings.HasSuffix(id.Package, strings.TrimPrefix(pkg, ".")) {
			return id, true
		}
	}
	return testID{}, false
}

// excuses reports whether a failure is a listed one, or is the failure of a
// package or parent test all of whose failed tests are listed ones. A package
// that failed without a failed test, such as by a panic or a failed build, is
// not excused.
func (r results) excuses(excused map[testID]bool, failed testID) bool {
	for id := range excused {
		if id.Package == failed.Package && (id.Test == failed.Test || strings.HasPrefix(failed.Test, id.Test+"/")) {
			return true
		}
	}
	children := 0
	for id, outcome := range r {
		if outcome == "fail" && isDirectChild(failed, id) {
			children++
			if !r.excuses(excused, id) {
				return false
			}
		}
	}
	return children > 0
}

// isDirectChild reports whether child is a top-level test of the package parent,
// or a direct subtest of the test parent.
func isDirectChild(parent, child testID) bool {
	if parent.Package != child.Package || child.Test == "" {
		return false
	}
	if parent.Test == "" {
		return !strings.Contains(child.Test, "/")
	}
	rest, found := strings.CutPrefix(child.Test, parent.Test+"/")
	return found && !strings.Contains(rest, "/")
}
