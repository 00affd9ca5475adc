// Command knownred runs all tests and passes over the failures that
// KNOWN-RED.txt lists. Every other failure fails the run. Tests that measure
// times or memory can be run apart: one at a time, after all others.
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
	var apart []string
	command := &cobra.Command{
		Use:           "knownred [flags] -- GO-TEST-ARGUMENTS",
		Short:         "Runs go test and passes over exactly the failures that KNOWN-RED.txt lists",
		Args:          cobra.MinimumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(_ *cobra.Command, arguments []string) error {
			return run(listPath, apart, arguments, os.Stdout)
		},
	}
	command.Flags().StringVar(&listPath, "list", "KNOWN-RED.txt", "file with the known failures; a missing file lists none")
	command.Flags().StringArrayVar(&apart, "apart", nil, `test ("./PACKAGE TEST") to run by itself, after all others; may be repeated`)
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run runs go test with the given arguments, and the tests of apart after it. It
// returns an error unless every failure is listed.
func run(listPath string, apart, arguments []string, out io.Writer) error {
	entries, err := readList(listPath)
	if err != nil {
		return err
	}
	tests, err := parseApart(apart)
	if err != nil {
		return err
	}
	if err := checkUnique(".", tests); err != nil {
		return err
	}
	plan, err := planPasses(tests, arguments)
	if err != nil {
		return err
	}
	passes := make([]pass, 0, len(plan))
	for _, arguments := range plan {
		done, err := runPass(arguments, out)
		if err != nil {
			return err
		}
		passes = append(passes, done)
	}
	return judge(entries, tests, passes, out)
}

// runPass runs go test once.
func runPass(arguments []string, out io.Writer) (pass, error) {
	test := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	test.Stderr = os.Stderr
	stdout, err := test.StdoutPipe()
	if err != nil {
		return pass{}, eris.Wrap(err, "open the output of go test")
	}
	if err := test.Start(); err != nil {
		return pass{}, eris.Wrap(err, "start go test")
	}
	outcomes, readErr := readResults(stdout, out)
	runErr := test.Wait()
	if readErr != nil {
		return pass{}, readErr
	}
	var exit *exec.ExitError
	if runErr != nil && !errors.As(runErr, &exit) {
		return pass{}, eris.Wrap(runErr, "run go test")
	}
	return pass{outcomes: outcomes, failed: runErr != nil}, nil
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
