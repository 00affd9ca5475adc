// Command knownred runs all tests and passes over the failures that
// KNOWN-RED.txt lists. Every other failure fails the run.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func main() {
	var listPath string
	command := &cobra.Command{
		Use:           "knownred [flags] -- GO-TEST-ARGUMENTS",
		Short:         "Runs go test and passes over exactly the failures that KNOWN-RED.txt lists",
		Args:          cobra.MinimumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(_ *cobra.Command, arguments []string) error {
			return run(listPath, arguments, os.Stdout)
		},
	}
	command.Flags().StringVar(&listPath, "list", "KNOWN-RED.txt", "file with the known failures; a missing file lists none")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run runs go test with the given arguments and returns an error unless every
// failure is listed.
func run(listPath string, arguments []string, out io.Writer) error {
	entries, err := readList(listPath)
	if err != nil {
		return err
	}
	test := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	test.Stderr = os.Stderr
	stdout, err := test.StdoutPipe()
	if err != nil {
		return eris.Wrap(err, "open the output of go test")
	}
	if err := test.Start(); err != nil {
		return eris.Wrap(err, "start go test")
	}
	results, readErr := readResults(stdout, out)
	runErr := test.Wait()
	if readErr != nil {
		return readErr
	}
	var exit *exec.ExitError
	if runErr != nil && !errors.As(runErr, &exit) {
		return eris.Wrap(runErr, "run go test")
	}
	return judge(entries, results, runErr != nil, out)
}

func readList(path string) ([]entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the list of known failures")
	}
	return parseList(string(text))
}
