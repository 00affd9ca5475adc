package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/ctl/trace"
)

func requestCommand() *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "request ID LOG...",
		Short: "Print one request's way through the logs of the VMs, in order of time",
		Long: "Prints the log lines of a request and the lines about its adapter, its engines and the VMs that decided its outcome, in order of time.\n" +
			"Each LOG is the log of one VM; - reads standard input. An asterisk marks the request's own lines.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			found, err := findRequest(command.InOrStdin(), arguments[0], arguments[1:])
			if errors.Is(err, trace.ErrNotFound) {
				return &exitError{code: ExitFailure, err: eris.Wrapf(err, "request %s", arguments[0])}
			}
			if err != nil {
				return invalidInputError(err)
			}
			if found.Unreadable > 0 {
				fmt.Fprintf(command.ErrOrStderr(), "wagtailctl: %d lines are not log lines\n", found.Unreadable)
			}
			if asJSON {
				encoder := json.NewEncoder(command.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(found)
			}
			return found.WriteText(command.OutOrStdout())
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the lines as JSON")
	return command
}

func findRequest(in io.Reader, id string, paths []string) (trace.Trace, error) {
	var logs []trace.Log
	for _, path := range paths {
		if path == "-" {
			logs = append(logs, trace.Log{Name: "standard input", Lines: in})
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			return trace.Trace{}, eris.Wrap(err, "open a log")
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, trace.Log{Name: filepath.Base(path), Lines: file})
	}
	return trace.Find(id, logs)
}
