// Command harness plays the cases of the review that are scripts. Each case starts the
// daemons as processes, with a store, workers and clients as stand-ins, and checks one
// rule. The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// timeLimit ends a case that takes too long, with all processes that it started.
const timeLimit = 115 * time.Second

// cases maps the names of the cases to functions that report whether the rule was
// broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"lost-answer":     lostAnswer,
	"late-answer":     lateAnswer,
	"large-bodies":    largeBodies,
	"stale-endpoint":  staleEndpoint,
	"lost-revocation": lostRevocation,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return notRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
			fmt.Fprintln(os.Stderr, "the case took too long")
		}
		d.close()
		os.Exit(notRun)
	}()
	broken, err := run(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.report("the case could not run: %v", err)
		return notRun
	case broken:
		r.report("the rule was broken")
		return ruleBroken
	}
	r.report("the rule held")
	return ruleHeld
}
