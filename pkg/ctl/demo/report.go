package demo

import (
	"fmt"
	"io"
	"time"
)

// checkReport collects the results of the demonstration's checks and prints
// them.
type checkReport struct {
	out    io.Writer
	start  time.Time
	passed int
	failed []string
}

// printf prints a line with the seconds since the start.
func (r *checkReport) printf(format string, arguments ...any) {
	fmt.Fprintf(r.out, "%6.1fs  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// check records whether a check passed, and prints the result with a detail.
func (r *checkReport) check(name string, ok bool, format string, arguments ...any) {
	mark := "ok    "
	if ok {
		r.passed++
	} else {
		r.failed = append(r.failed, name)
		mark = "FAILED"
	}
	r.printf("  %s %s: %s", mark, name, fmt.Sprintf(format, arguments...))
}

// summarize prints the number of passed checks and returns an error if one
// failed.
func (r *checkReport) summarize() error {
	total := r.passed + len(r.failed)
	r.printf("verdict: %d of %d checks passed", r.passed, total)
	if len(r.failed) > 0 {
		return fmt.Errorf("%d of %d checks failed: %q", len(r.failed), total, r.failed)
	}
	return nil
}
