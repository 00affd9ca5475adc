// Command standin-engine runs a simulated model engine for tests and
// demonstrations.
package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
)

func main() {
	var cfg engine.Config
	command := &cobra.Command{
		Use:   "standin-engine",
		Short: "Stand-in for a model engine",
	}
	flags := command.Flags()
	flags.StringVar(&cfg.Listen, "listen", standin.DefaultListen, "IP address and port to listen on")
	flags.StringVar(&cfg.BaseModel, "base-model", "base", "name of the base model")
	flags.IntVar(&cfg.Slots, "slots", engine.DefaultSlots, "number of adapter slots")
	flags.IntVar(&cfg.MaxBatch, "max-batch", engine.DefaultMaxBatch, "maximum number of requests that run concurrently")
	flags.IntVar(&cfg.MaxWaiting, "max-waiting", 0, "maximum number of waiting requests; 0 means unlimited")
	flags.DurationVar(&cfg.FirstTokenTime, "first-token-time", 20*time.Millisecond, "time until the first token")
	flags.DurationVar(&cfg.TokenTime, "token-time", 5*time.Millisecond, "time between subsequent tokens")
	flags.Uint32Var(&cfg.StopAfter, "stop-after", 0, "stop generation after this many tokens; 0 means no limit")
	flags.BoolVar(&cfg.Fencing, "fencing", false, "reject load and unload orders with an outdated fencing token")
	flags.StringVar(&cfg.WeightStore, "weight-store", "", "IP address and port of the weight store")
	flags.DurationVar(&cfg.ReportLag, "report-lag", 500*time.Millisecond, "age of the load reports that are returned")
	flags.DurationVar(&cfg.ReportEvery, "report-every", engine.DefaultReportEvery, "interval between load reports")
	standin.Run(command, func(ctx context.Context) (standin.StandIn, error) {
		return engine.Start(ctx, cfg)
	})
}
