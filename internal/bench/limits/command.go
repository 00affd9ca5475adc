// Package limits is the experiment on customer limits: it simulates fleets of
// VMs with the decision code of pkg/coordination/limits, checks every window of
// the grants, and measures refusals, peer traffic and cost.
package limits

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
)

// options are the flags of the subcommand.
type options struct {
	quick bool
	seed  uint64
	out   string
	// wait is how long requests wait for tokens in the table.
	wait time.Duration
}

// Times simulated for each line of the table.
const (
	fullLength  = 1800 * time.Second
	quickLength = 60 * time.Second
)

// Command returns the subcommand of wagtailbench.
func Command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "limits",
		Short: "Compare ways to limit customers over a simulated fleet and measure the cost of token transfer",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return run(c.OutOrStdout(), o) },
	}
	c.Flags().BoolVar(&o.quick, "quick", false, "shorter runs and fewer sizes, for CI")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of all random choices")
	c.Flags().DurationVar(&o.wait, "max-wait", limits.DefaultConfig().MaxWait, "how long requests of the table wait for tokens")
	c.Flags().StringVar(&o.out, "out", "", "write the slopes as JSON to this file")
	return c
}

// run prints the table and the slopes. It fails if any window of the token
// transfer exceeds its limit.
func run(w io.Writer, o options) error {
	results := Table(o)
	if err := printTable(w, results); err != nil {
		return eris.Wrap(err, "print the table of methods")
	}
	slopes := Slopes(o)
	if err := printSlopes(w, slopes); err != nil {
		return eris.Wrap(err, "print the slopes")
	}
	if o.out != "" {
		if err := slope.WriteFile(o.out, slopes); err != nil {
			return eris.Wrap(err, "write the slopes")
		}
	}
	for _, r := range results {
		if r.Method == Transfer && r.Excess > 0 {
			return eris.Errorf("case %q: a window exceeds its limit by %v tokens", r.Case, r.Excess)
		}
	}
	return nil
}

// Table runs all cases with all methods on both fleets.
func Table(o options) []Result {
	length := fullLength
	if o.quick {
		length = quickLength
	}
	var results []Result
	for _, shape := range []Shape{{VMs: 8, Centres: 4}, {VMs: 6, Centres: 3}} {
		for _, c := range Cases() {
			for _, m := range []Method{Static, GCRA, Transfer} {
				results = append(results, RunCase(c, shape, m, o.wait, length, o.seed))
			}
		}
	}
	return results
}

func printTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "VMs\tDCs\tcase\tmethod\trequests\trefused within rate %\tof large %\tgreedy granted %\tmessages/s/VM\tbytes/s/VM\tlargest excess\tp99 wait ms\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%d\t%.3f\t%.3f\t%.1f\t%.2f\t%.0f\t%.0f\t%.0f\t\n",
			r.VMs, r.Centres, r.Case, r.Method, r.Requests, r.RefusedWithin, r.RefusedLarge, r.GreedyGranted, r.Messages, r.Bytes, r.Excess, r.WaitP99)
	}
	return t.Flush()
}

func printSlopes(w io.Writer, slopes []slope.Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nname\tunit\tpoints\tslope\tintercept\tr2")
	for _, s := range slopes {
		fmt.Fprintf(t, "%s\t%s\t%v\t%.4g\t%.4g\t%.3f\n", s.Name, s.Unit, s.Points, s.Slope, s.Intercept, s.R2)
	}
	return t.Flush()
}
