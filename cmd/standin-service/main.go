// Command standin-service runs a simulated plain HTTP service for tests and
// demonstrations.
package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
)

func main() {
	var cfg service.Config
	command := &cobra.Command{
		Use:   "standin-service",
		Short: "Stand-in for a plain HTTP service",
	}
	flags := command.Flags()
	flags.StringVar(&cfg.Listen, "listen", standin.DefaultListen, "IP address and port to listen on")
	flags.StringVar(&cfg.Name, "name", "service", "name of the service")
	flags.DurationVar(&cfg.Time, "time", 10*time.Millisecond, "duration of each call")
	flags.IntVar(&cfg.AnswerBytes, "answer-bytes", 0, "bytes of padding in each response")
	standin.Run(command, func(ctx context.Context) (standin.StandIn, error) {
		return service.Start(ctx, cfg)
	})
}
