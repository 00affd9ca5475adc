// Command standin-service runs a stand-in for a plain HTTP service.
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
	flags.StringVar(&cfg.Listen, "listen", standin.DefaultListen, "IP number and port to listen on")
	flags.StringVar(&cfg.Name, "name", "service", "name of the service")
	flags.DurationVar(&cfg.Time, "time", 10*time.Millisecond, "time of a call")
	flags.IntVar(&cfg.AnswerBytes, "answer-bytes", 0, "padding of each answer in bytes")
	standin.Run(command, func(ctx context.Context) (standin.Addressed, error) {
		return service.Start(ctx, cfg)
	})
}
