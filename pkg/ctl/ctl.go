// Package ctl implements the commands of wagtailctl, the operator's
// command-line tool: it checks settings, configurations and records, publishes records to the
// platform, queries or drains VMs at their admin addresses, and finds requests
// in the VMs' logs. It decides the exit code of each command. Command wagtailctl calls Execute.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
)

// Exit codes of wagtailctl.
const (
	ExitSuccess      = 0
	ExitFailure      = 1
	ExitUsage        = 2
	ExitInvalidInput = 3
	ExitUnreachable  = 4
	// ExitNeedsReview is the code of a strict check whose input is valid but has
	// warnings, or takes something away from callers.
	ExitNeedsReview = 5
)

// requestTimeout bounds one HTTP request to a daemon or to the platform.
const requestTimeout = 10 * time.Second

// exitError is an error with the exit code that it causes.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func invalidInputError(err error) error { return &exitError{code: ExitInvalidInput, err: err} }

func usageError(format string, arguments ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, arguments...)}
}

// Execute runs one command line and returns its exit code.
func Execute(ctx context.Context, arguments []string, in io.Reader, out, errOut io.Writer) int {
	started := false
	root := newRoot()
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	root.SetArgs(arguments)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitSuccess
	}
	fmt.Fprintln(errOut, "wagtailctl:", err)
	// An error before the command starts is caused by an invalid flag, argument
	// or command name.
	if !started {
		return ExitUsage
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var withCode *exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	var settingsError *settings.FieldError
	var recordError *records.FieldError
	if errors.As(err, &settingsError) || errors.As(err, &recordError) {
		return ExitInvalidInput
	}
	// http.Client returns a *url.Error if it received no response.
	var urlError *url.Error
	var netError net.Error
	if errors.As(err, &urlError) || errors.As(err, &netError) {
		return ExitUnreachable
	}
	return ExitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "wagtailctl",
		Short:         "Operate wagtailspoke",
		Version:       Version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &exitError{code: ExitUsage, err: err}
	})
	root.AddCommand(
		settingsCommand(),
		configCommand(),
		recordsCommand(),
		statusCommand(),
		drainCommand(),
		burnCommand(),
		requestCommand(),
		demoCommand(),
		versionCommand(),
	)
	return root
}

// commandGroup returns a command that does nothing itself and only holds
// subcommands.
func commandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) == 0 {
				return usageError("%s needs a subcommand; see %s --help", command.CommandPath(), command.CommandPath())
			}
			return usageError("%s has no subcommand %q", command.CommandPath(), arguments[0])
		},
	}
	command.AddCommand(commands...)
	return command
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), "wagtailctl", Version())
		},
	}
}

// Version returns the module version and the VCS revision of this build, or
// "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version
}

// newClient returns an HTTP client for requests to daemons and the platform.
func newClient() *http.Client { return &http.Client{Timeout: requestTimeout} }
