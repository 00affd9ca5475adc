// Package ctl holds the commands of wagtailctl, the operator's command line.
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

// The exit codes.
const (
	ExitDone        = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitUnreachable = 4
)

// requestTimeout bounds one call to a daemon or to the platform.
const requestTimeout = 10 * time.Second

// exitError is an error with the exit code it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func invalid(err error) error { return &exitError{code: ExitInvalid, err: err} }

func usage(format string, arguments ...any) error {
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
		return ExitDone
	}
	fmt.Fprintln(errOut, "wagtailctl:", err)
	// What fails before the command starts is a wrong flag, argument or name.
	if !started {
		return ExitUsage
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	var wrongSettings *settings.FieldError
	var wrongRecord *records.FieldError
	if errors.As(err, &wrongSettings) || errors.As(err, &wrongRecord) {
		return ExitInvalid
	}
	// An HTTP client wraps what keeps it from an answer in *url.Error.
	var unanswered *url.Error
	var unreached net.Error
	if errors.As(err, &unanswered) || errors.As(err, &unreached) {
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
		recordsCommand(),
		statusCommand(),
		drainCommand(),
		burnCommand(),
		demoCommand(),
		versionCommand(),
	)
	return root
}

// group returns a command that only holds subcommands.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use:   use,
		Short: short,
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) == 0 {
				return usage("%s needs a subcommand; see %s --help", command.CommandPath(), command.CommandPath())
			}
			return usage("%s has no subcommand %q", command.CommandPath(), arguments[0])
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

// Version returns the version of the build.
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

// newClient returns a client for calls to daemons.
func newClient() *http.Client { return &http.Client{Timeout: requestTimeout} }
