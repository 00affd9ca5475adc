// Command standin-weights runs a simulated weight store for tests and
// demonstrations.
package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/weights"
)

func main() {
	var cfg weights.Config
	command := &cobra.Command{
		Use:   "standin-weights",
		Short: "Stand-in for the weight store",
	}
	flags := command.Flags()
	flags.StringVar(&cfg.Listen, "listen", standin.DefaultListen, "IP address and port to listen on")
	flags.Float64Var(&cfg.LoadsPerSecond, "loads-per-second", weights.DefaultLoadsPerSecond, "sustained rate of loads per second")
	flags.IntVar(&cfg.Burst, "burst", weights.DefaultMaxInFlight, "maximum number of loads that may start at once after an idle period")
	flags.IntVar(&cfg.MaxInFlight, "max-in-flight", weights.DefaultMaxInFlight, "maximum number of concurrent loads that still run at full speed")
	flags.DurationVar(&cfg.LoadTime, "load-time", weights.DefaultLoadTime, "duration of a load at full speed")
	standin.Run(command, func(ctx context.Context) (standin.StandIn, error) {
		return weights.Start(ctx, cfg)
	})
}
