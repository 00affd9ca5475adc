// Package faults runs entry daemons as processes under load, brings about
// faults, and checks what callers, engines and services saw against the
// promises of docs/design.md.
package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Options selects what to run.
type Options struct {
	BinDir    string
	Seeds     int
	FirstSeed uint64
	Quick     bool
	Only      string
	Parallel  int
	Out       string
	// LogDir receives the logs of all daemons, for reading after a violation.
	LogDir string
}

// Outcome is the result of one run.
type Outcome struct {
	Scenario   string      `json:"scenario"`
	Seed       uint64      `json:"seed"`
	Requests   int         `json:"requests"`
	Answered   int         `json:"answered"`
	NotRun     int         `json:"notRun"`
	Unknown    int         `json:"unknown"`
	Broken     int         `json:"broken"`
	Violations []Violation `json:"violations"`
	// Reasons counts refusals and unknown outcomes by reason.
	Reasons map[string]int `json:"reasons"`
	// Error is set when the run itself failed.
	Error string `json:"error,omitempty"`
}

// Command returns the subcommand of wagtailbench.
func Command() *cobra.Command {
	var options Options
	command := &cobra.Command{
		Use:   "faults",
		Short: "Run daemons under faults and check what must always hold",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			outcomes, err := Run(command.Context(), options)
			if err != nil {
				return err
			}
			return finish(command.OutOrStdout(), outcomes, options.Out)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.BinDir, "bin-dir", "bin", "directory of the wagtailspoked program")
	flags.IntVar(&options.Seeds, "seeds", 1, "runs of each scenario")
	flags.Uint64Var(&options.FirstSeed, "seed", 1, "first seed")
	flags.BoolVar(&options.Quick, "quick", false, "run the scenarios of CI only")
	flags.StringVar(&options.Only, "only", "", "run only scenarios whose name contains this text")
	flags.IntVar(&options.Parallel, "parallel", 2, "runs at once")
	flags.StringVar(&options.LogDir, "log-dir", "", "directory for the logs, metrics and statuses of the daemons")
	flags.StringVar(&options.Out, "out", "", "file for the outcomes as JSON")
	return command
}

// Run runs the selected scenarios.
func Run(ctx context.Context, options Options) ([]Outcome, error) {
	binary, err := filepath.Abs(filepath.Join(options.BinDir, "wagtailspoked"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("daemon program: %w", err)
	}
	var jobs []func(index int) Outcome
	for _, scenario := range Scenarios() {
		if options.Quick && !scenario.Quick || !strings.Contains(scenario.Name, options.Only) {
			continue
		}
		for i := range options.Seeds {
			seed := options.FirstSeed + uint64(i)
			jobs = append(jobs, func(index int) Outcome { return runScenario(ctx, binary, options.LogDir, scenario, seed, index) })
		}
	}
	return runJobs(jobs, max(1, options.Parallel)), nil
}

// runJobs runs jobs a few at a time and keeps the order of their outcomes.
func runJobs(jobs []func(index int) Outcome, parallel int) []Outcome {
	outcomes := make([]Outcome, len(jobs))
	slots := make(chan struct{}, parallel)
	var running sync.WaitGroup
	for i, job := range jobs {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			outcomes[i] = job(i)
		})
	}
	running.Wait()
	return outcomes
}

// clusterIndexBase keeps the loopback addresses of runs away from 127.0.0.0/24.
const clusterIndexBase = 1

func runScenario(ctx context.Context, binary, logDir string, scenario Scenario, seed uint64, index int) Outcome {
	outcome := Outcome{Scenario: scenario.Name, Seed: seed, Violations: []Violation{}}
	directory, err := os.MkdirTemp("", "wagtailspoke-faults-")
	if err != nil {
		outcome.Error = err.Error()
		return outcome
	}
	defer func() { _ = os.RemoveAll(directory) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(ctx, binary, directory, clusterIndexBase+index)
	defer c.close()
	if err != nil {
		outcome.Error = err.Error()
		return outcome
	}
	observed := observe(ctx, c, scenario, seed)
	outcome.Violations = append(outcome.Violations, Check(&observed)...)
	outcome.count(observed.Events)
	if err := keepPages(logDir, outcome, &observed); err != nil {
		outcome.Error = err.Error()
	}
	return outcome
}

const logDirMode = 0o755

// keepPages writes what the VMs of a run logged and showed, and its history.
func keepPages(directory string, outcome Outcome, observed *Observations) error {
	if directory == "" {
		return nil
	}
	directory = filepath.Join(directory, fmt.Sprintf("%s-%d", strings.ReplaceAll(outcome.Scenario, " ", "-"), outcome.Seed))
	if err := os.MkdirAll(directory, logDirMode); err != nil {
		return err
	}
	for vm, text := range observed.Pages {
		if err := os.WriteFile(filepath.Join(directory, string(vm)+".log"), []byte(text), outMode); err != nil {
			return err
		}
	}
	history, err := json.Marshal(observed)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "history.json"), history, outMode)
}

// observe runs a scenario under load and returns what it left behind.
func observe(ctx context.Context, c *cluster, scenario Scenario, seed uint64) Observations {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	events := &history{}
	r := &run{
		ctx: ctx, cluster: c,
		observer: &observer{cluster: c},
		work:     &workload{cluster: c, history: events, newest: 1},
		rng:      rand.New(rand.NewPCG(seed, 0)),
	}
	var background sync.WaitGroup
	background.Go(func() { r.work.run(loadCtx, seed) })
	background.Go(func() { r.observer.sample(loadCtx) })
	r.wait(settleTime)
	background.Go(func() {
		r.wait(settleTime)
		r.changeRecords()
	})
	scenario.act(r)
	r.wait(recoveryTime)
	stopLoad()
	background.Wait()
	return r.observer.finish(ctx, events.events)
}

func (o *Outcome) count(events []Event) {
	o.Reasons = make(map[string]int)
	o.Requests = len(events)
	for _, event := range events {
		switch event.Result {
		case ResultAnswer:
			o.Answered++
			continue
		case ResultNotRun:
			o.NotRun++
		case ResultUnknown:
			o.Unknown++
		case ResultBroken:
			o.Broken++
		}
		o.Reasons[string(event.Result)+" "+event.Reason.String()]++
	}
}

// errorText tells how many runs broke a promise or failed.
func errorText(outcomes []Outcome) string {
	violations, failed := 0, 0
	for _, outcome := range outcomes {
		violations += len(outcome.Violations)
		if outcome.Error != "" {
			failed++
		}
	}
	if violations == 0 && failed == 0 {
		return ""
	}
	return fmt.Sprintf("%d violations, %d runs failed", violations, failed)
}

const outMode = 0o644

func finish(out io.Writer, outcomes []Outcome, path string) error {
	if err := printTable(out, outcomes); err != nil {
		return err
	}
	if path != "" {
		data, err := json.MarshalIndent(outcomes, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, append(data, '\n'), outMode); err != nil {
			return err
		}
	}
	if text := errorText(outcomes); text != "" {
		return fmt.Errorf("fault matrix: %s", text)
	}
	return nil
}

// shownViolations bounds the details that are printed for each run.
const shownViolations = 5

func printTable(out io.Writer, outcomes []Outcome) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "fault\tseed\trequests\tanswered\tnot run\tunknown\tbroken\tviolations")
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", o.Scenario, o.Seed, o.Requests, o.Answered, o.NotRun, o.Unknown, o.Broken, summary(o))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, o := range outcomes {
		sortViolations(o.Violations)
		for _, violation := range o.Violations[:min(len(o.Violations), shownViolations)] {
			_, _ = fmt.Fprintf(out, "%s, seed %d: %s: %s\n", o.Scenario, o.Seed, violation.Promise, violation.Detail)
		}
	}
	return nil
}

// summary names the broken promises of a run with their counts.
func summary(o Outcome) string {
	if o.Error != "" {
		return "run failed: " + strings.ReplaceAll(o.Error, "\n", " ")
	}
	if len(o.Violations) == 0 {
		return "0"
	}
	counts := make(map[Promise]int)
	for _, violation := range o.Violations {
		counts[violation.Promise]++
	}
	var parts []string
	for promise, count := range counts {
		parts = append(parts, fmt.Sprintf("%d x %s", count, promise))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
