// Command wagtailbench runs load tests and experiments on wagtailspoke and
// prints their results as tables.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/capacity"
	"github.com/wagtailspoke/wagtailspoke/internal/bench/config"
	"github.com/wagtailspoke/wagtailspoke/internal/bench/control"
	"github.com/wagtailspoke/wagtailspoke/internal/bench/faults"
	"github.com/wagtailspoke/wagtailspoke/internal/bench/limits"
	"github.com/wagtailspoke/wagtailspoke/internal/bench/path"
	"github.com/wagtailspoke/wagtailspoke/internal/bench/placement"
)

func main() {
	root := &cobra.Command{
		Use:           "wagtailbench",
		Short:         "Run load tests and experiments with fixed random seeds",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(experiments()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "wagtailbench:", err)
		os.Exit(1)
	}
}

// experiments returns the subcommands, one for each package below internal/bench.
func experiments() []*cobra.Command {
	return []*cobra.Command{
		capacity.Command(),
		config.Command(),
		control.Command(),
		faults.Command(),
		limits.Command(),
		path.Command(),
		placement.Command(),
	}
}
