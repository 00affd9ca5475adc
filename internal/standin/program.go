package standin

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// StandIn is a started stand-in.
type StandIn interface {
	Address() string
	Close()
}

// Run is the main function of a stand-in's program: it starts the stand-in,
// prints its address, and stops it at SIGINT or SIGTERM.
func Run(command *cobra.Command, start func(context.Context) (StandIn, error)) {
	command.Args = cobra.NoArgs
	command.SilenceUsage = true
	command.RunE = func(command *cobra.Command, _ []string) error {
		server, err := start(command.Context())
		if err != nil {
			return err
		}
		fmt.Fprintln(command.OutOrStdout(), server.Address())
		<-command.Context().Done()
		server.Close()
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}
