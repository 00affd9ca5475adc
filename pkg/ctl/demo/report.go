package demo

import (
	"fmt"
	"io"
	"time"
)

// verdict collects the checks of the demonstration and prints them.
type verdict struct {
	out    io.Writer
	start  time.Time
	passed int
	failed []string
}

// say prints a line with the time since the start.
func (v *verdict) say(format string, arguments ...any) {
	fmt.Fprintf(v.out, "%6.1fs  %s\n", time.Since(v.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// check records whether something matched, and prints it with its detail.
func (v *verdict) check(name string, ok bool, format string, arguments ...any) {
	mark := "ok    "
	if ok {
		v.passed++
	} else {
		v.failed = append(v.failed, name)
		mark = "FAILED"
	}
	v.say("  %s %s: %s", mark, name, fmt.Sprintf(format, arguments...))
}

// finish prints the verdict and returns an error when a check failed.
func (v *verdict) finish() error {
	total := v.passed + len(v.failed)
	v.say("verdict: %d of %d checks passed", v.passed, total)
	if len(v.failed) > 0 {
		return fmt.Errorf("%d of %d checks failed: %q", len(v.failed), total, v.failed)
	}
	return nil
}
