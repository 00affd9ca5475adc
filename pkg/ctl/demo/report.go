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
func (v *checkReport) printf(format string, arguments ...any) {
	fmt.Fprintf(v.out, "%6.1fs  %s\n", time.Since(v.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// check records whether a check passed, and prints the result with a detail.
func (v *checkReport) check(name string, ok bool, format string, arguments ...any) {
	mark := "ok    "
	if ok {
		v.passed++
	} else {
		v.failed = append(v.failed, name)
		mark = "FAILED"
	}
	v.printf("  %s %s: %s", mark, name, fmt.Sprintf(format, arguments...))
}

// summarize prints the number of passed checks and returns an error if one
// failed.
func (v *checkReport) summarize() error {
	total := v.passed + len(v.failed)
	v.printf("verdict: %d of %d checks passed", v.passed, total)
	if len(v.failed) > 0 {
		return fmt.Errorf("%d of %d checks failed: %q", len(v.failed), total, v.failed)
	}
	return nil
}
