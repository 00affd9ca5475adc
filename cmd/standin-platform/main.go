// Command standin-platform runs a simulated platform, which serves the
// configuration records and the VM list, for tests and demonstrations.
package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/platform"
)

func main() {
	var cfg platform.Config
	command := &cobra.Command{
		Use:   "standin-platform",
		Short: "Stand-in for the configuration service and the VM list",
	}
	flags := command.Flags()
	flags.StringVar(&cfg.Listen, "listen", standin.DefaultListen, "IP address and port to listen on")
	flags.IntVar(&cfg.CallsPerSecond, "calls-per-second", platform.DefaultCallsPerSecond, "maximum calls per second of all readers together")
	standin.Run(command, func(ctx context.Context) (standin.StandIn, error) {
		return platform.Start(ctx, cfg)
	})
}
