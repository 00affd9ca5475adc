// Command harness2 runs the scripted cases of the second review. It starts entry
// daemons and workers as processes on loopback addresses, serves the platform's store,
// sends requests as callers, and checks one rule from what callers and workers saw.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases maps the name of a case to its run. A case returns whether the rule held.
var cases = map[string]func(*deployment) (bool, error){
	"reset-answer": runResetAnswer,
	"lost-seeds":   runLostSeeds,
	"many-headers": runManyHeaders,
	"crowd":        runCrowd,
	"long-names":   runLongNames,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		// A worker ends only with an error, or when it is killed.
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// maxCaseTime ends a case that hangs, within the time that a script may take.
const maxCaseTime = 110 * time.Second

func runCase(name, recordPath string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	d, err := newDeployment(record)
	if err != nil {
		record.printf("could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	type result struct {
		held bool
		err  error
	}
	ended := make(chan result, 1)
	go func() {
		held, err := run(d)
		ended <- result{held, err}
	}()
	select {
	case r := <-ended:
		switch {
		case r.err != nil:
			record.printf("could not run: %v", r.err)
			return exitNotRun
		case !r.held:
			record.printf("verdict: the rule was broken")
			return exitBroken
		}
		record.printf("verdict: the rule held")
		return exitHeld
	case <-time.After(maxCaseTime):
		record.printf("could not run: not finished after %v", maxCaseTime)
		return exitNotRun
	}
}
