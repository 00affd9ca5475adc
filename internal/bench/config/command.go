// Package config measures how configuration records and VM lists spread, what
// the catalog costs and what at-most-once calls cost, with light in-process VMs
// on a simulated clock.
package config

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
)

// repeatCommand repeats the measurements.
const repeatCommand = "wagtailbench config"

// Options selects what to run.
type Options struct {
	// Quick runs smaller fleets for shorter times.
	Quick bool
	Seed  uint64
	// Out is the file for the slopes as JSON.
	Out string
}

// Figure is one measured value with the limit it is held against.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Limit is the largest allowed value; zero for none.
	Limit float64
}

// Report is what a run measured.
type Report struct {
	Figures []Figure
	Slopes  []slope.Slope
}

func (r *Report) add(name string, value float64, unit string, limit float64) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit, Limit: limit})
}

func (r *Report) fit(name, unit string, points [][2]float64) {
	r.Slopes = append(r.Slopes, slope.Fit(name, unit, repeatCommand, points))
}

// Exceeded lists the figures above their limit.
func (r *Report) Exceeded() []Figure {
	var above []Figure
	for _, figure := range r.Figures {
		if figure.Limit > 0 && figure.Value > figure.Limit {
			above = append(above, figure)
		}
	}
	return above
}

// Command returns the subcommand of wagtailbench.
func Command() *cobra.Command {
	var options Options
	command := &cobra.Command{
		Use:   "config",
		Short: "Measure the spread of records, the catalog and at-most-once calls",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report := Run(options)
			if err := print(command.OutOrStdout(), report); err != nil {
				return err
			}
			if options.Out != "" {
				if err := slope.WriteFile(options.Out, report.Slopes); err != nil {
					return err
				}
			}
			if above := report.Exceeded(); len(above) > 0 {
				return fmt.Errorf("%d figures are above their limit, the first is %s", len(above), above[0].Name)
			}
			return nil
		},
	}
	command.Flags().BoolVar(&options.Quick, "quick", false, "smaller fleets for shorter times")
	command.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the simulations")
	command.Flags().StringVar(&options.Out, "out", "", "file for the slopes as JSON")
	return command
}

// Run carries out all measurements.
func Run(options Options) *Report {
	report := &Report{}
	measureSpread(report, options)
	measureTraffic(report, options)
	measureRestart(report, options)
	measureCatalog(report, options)
	measureClaims(report, options)
	measureOutcomes(report, options)
	return report
}

func print(out io.Writer, report *Report) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tvalue\tunit\tlimit")
	for _, figure := range report.Figures {
		limit := "-"
		if figure.Limit > 0 {
			limit = fmt.Sprintf("%g", figure.Limit)
		}
		fmt.Fprintf(table, "%s\t%.4g\t%s\t%s\n", figure.Name, figure.Value, figure.Unit, limit)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "slope\tper x\tat zero\tunit\tr2")
	for _, line := range report.Slopes {
		fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%s\t%.3f\n", line.Name, line.Slope, line.Intercept, line.Unit, line.R2)
	}
	return table.Flush()
}
