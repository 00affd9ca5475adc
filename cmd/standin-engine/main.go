// Command standin-engine runs a stand-in for a model engine.
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
	flags.StringVar(&cfg.Listen, "listen", standin.DefaultListen, "IP number and port to listen on")
	flags.StringVar(&cfg.BaseModel, "base-model", "base", "name of the base model")
	flags.IntVar(&cfg.Slots, "slots", engine.DefaultSlots, "adapters held at once")
	flags.IntVar(&cfg.MaxBatch, "max-batch", engine.DefaultMaxBatch, "requests that run at once")
	flags.IntVar(&cfg.MaxWaiting, "max-waiting", 0, "requests that wait at most; 0 is unbounded")
	flags.DurationVar(&cfg.FirstTokenTime, "first-token-time", 20*time.Millisecond, "time to the first token")
	flags.DurationVar(&cfg.TokenTime, "token-time", 5*time.Millisecond, "time of each later token")
	flags.Uint32Var(&cfg.StopAfter, "stop-after", 0, "end generation after this many tokens; 0 is never")
	flags.BoolVar(&cfg.Fencing, "fencing", false, "refuse orders with an old fencing token")
	flags.StringVar(&cfg.WeightStore, "weight-store", "", "IP number and port of the weight store")
	flags.DurationVar(&cfg.ReportLag, "report-lag", 500*time.Millisecond, "age of load reports")
	flags.DurationVar(&cfg.ReportEvery, "report-every", engine.DefaultReportEvery, "interval of load reports")
	standin.Run(command, func(ctx context.Context) (standin.Addressed, error) {
		return engine.Start(ctx, cfg)
	})
}
