// Command standin-weights runs a stand-in for the weight store.
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
	flags.StringVar(&cfg.Listen, "listen", standin.DefaultListen, "IP number and port to listen on")
	flags.Float64Var(&cfg.LoadsPerSecond, "loads-per-second", weights.DefaultLoadsPerSecond, "loads per second in the long run")
	flags.IntVar(&cfg.Burst, "burst", weights.DefaultMaxInFlight, "loads that may start at once after a pause")
	flags.IntVar(&cfg.MaxInFlight, "max-in-flight", weights.DefaultMaxInFlight, "loads that run at full speed together")
	flags.DurationVar(&cfg.LoadTime, "load-time", weights.DefaultLoadTime, "time of a load at full speed")
	standin.Run(command, func(ctx context.Context) (standin.Addressed, error) {
		return weights.Start(ctx, cfg)
	})
}
