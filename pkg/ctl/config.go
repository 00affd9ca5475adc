package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/configcheck"
	"github.com/wagtailspoke/wagtailspoke/platform"
)

func configCommand() *cobra.Command {
	return commandGroup("config", "Work with the configuration of a deployment", configCheckCommand())
}

// configReport is the result of a check. Changes is nil if there is nothing to
// compare with.
type configReport struct {
	File     string                `json:"file"`
	Against  string                `json:"against,omitempty"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"`
}

func (r configReport) count(severity configcheck.Severity) (n int) {
	for _, finding := range r.Findings {
		if finding.Severity == severity {
			n++
		}
	}
	return n
}

func (r configReport) losses() (n int) {
	for _, change := range r.Changes {
		if change.Effect == configcheck.Lose {
			n++
		}
	}
	return n
}

// configOptions are the flags of config check.
type configOptions struct {
	against, live, format string
	strict                bool
}

func configCheckCommand() *cobra.Command {
	var options configOptions
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is published, and compare it with the version in force",
		Long: `Check a configuration before it is published, and compare it with the version
in force. FILE holds the platform's configuration document or the complete set
of records. Nothing is written or sent except reads.

Exit codes: 0 no errors; 1 failure; 2 wrong usage; 3 FILE or the file of
--against has errors; 4 the address of --live is unreachable; 5 with --strict:
no errors, but warnings, or callers lose something.`,
		Args: cobra.ExactArgs(1),
	}
	command.Flags().StringVar(&options.against, "against", "", "file with the version in force")
	command.Flags().StringVar(&options.live, "live", "", "IP address and port of the store (configuration document) or of the configuration service (records)")
	command.Flags().StringVar(&options.format, "format", "text", "text or json")
	command.Flags().BoolVar(&options.strict, "strict", false, "exit with 5 on warnings and if callers lose something")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if options.format != "text" && options.format != "json" {
			return usageError("--format is %q, want text or json", options.format)
		}
		if options.against != "" && options.live != "" {
			return usageError("--against and --live exclude each other")
		}
		report, checkErr := checkConfig(command.Context(), arguments[0], options)
		if checkErr == nil || len(report.Findings) > 0 {
			if err := printConfigReport(command, report, options.format); err != nil {
				return err
			}
		}
		if checkErr != nil {
			return checkErr
		}
		if n := report.count(configcheck.Error); n > 0 {
			return invalidInputError(fmt.Errorf("%s: %d errors", report.File, n))
		}
		if warnings, losses := report.count(configcheck.Warning), report.losses(); options.strict && warnings+losses > 0 {
			return &exitError{code: ExitNeedsReview, err: fmt.Errorf("%s: %d warnings, %d changes by which callers lose something", report.File, warnings, losses)}
		}
		return nil
	}
	return command
}

// checkConfig checks a file and compares it with the version in force, if there
// is one to compare with.
func checkConfig(ctx context.Context, file string, options configOptions) (configReport, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	report := configReport{File: file, Against: options.against + options.live, Findings: []configcheck.Finding{}}
	data, err := os.ReadFile(file)
	if err != nil {
		return report, invalidInputError(err)
	}
	inForce := []byte(nil)
	if options.against != "" {
		if inForce, err = os.ReadFile(options.against); err != nil {
			return report, invalidInputError(err)
		}
		if holdsRecords(inForce) != holdsRecords(data) {
			return report, invalidInputError(fmt.Errorf("%s and %s are not of the same form", file, options.against))
		}
	}
	if holdsRecords(data) {
		err = report.checkRecords(ctx, data, inForce, options)
	} else {
		err = report.checkDocument(ctx, data, inForce, options)
	}
	configcheck.Sort(report.Findings)
	return report, err
}

// holdsRecords reports whether a file holds records rather than a configuration
// document.
func holdsRecords(data []byte) bool {
	if bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("[")) {
		return true
	}
	var first map[string]json.RawMessage
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&first); err != nil {
		return false
	}
	return first["kind"] != nil
}

func (r *configReport) checkRecords(ctx context.Context, data, inForce []byte, options configOptions) error {
	set, findings := decodeRecordSet(r.File, data)
	r.Findings = append(append(r.Findings, findings...), configcheck.Check(*set.document)...)
	if options.live != "" {
		var err error
		if inForce, err = readLiveRecords(ctx, options.live); err != nil {
			return err
		}
	}
	if r.Against == "" {
		return nil
	}
	before, faults := decodeRecordSet(r.Against, inForce)
	if options.against != "" {
		if err := firstError(faults); err != nil {
			return err
		}
	}
	// A record that cannot be decoded would appear as a removed one.
	if set.complete {
		r.Changes = append([]configcheck.Change{}, diffRecords(before, set)...)
	}
	return nil
}

func (r *configReport) checkDocument(ctx context.Context, data, inForce []byte, options configOptions) error {
	document, findings := platform.DecodeConfigDocument(r.File, data)
	r.Findings = append(r.Findings, findings...)
	before, err := readInForce(ctx, inForce, options)
	if document == nil {
		return err
	}
	if before != nil {
		document.Endpoints = before.Endpoints
		r.Findings = append(r.Findings, configcheck.CheckOrder(*before, *document)...)
		r.Changes = append([]configcheck.Change{}, configcheck.Diff(*before, *document)...)
	}
	r.Findings = append(r.Findings, configcheck.Check(*document)...)
	return err
}

// readInForce returns the document in force, or nil if there is none to compare
// with.
func readInForce(ctx context.Context, inForce []byte, options configOptions) (*configcheck.Document, error) {
	if options.live != "" {
		return platform.ReadConfigDocument(ctx, options.live)
	}
	if options.against == "" {
		return nil, nil
	}
	before, faults := platform.DecodeConfigDocument(options.against, inForce)
	if before == nil {
		return nil, firstError(faults)
	}
	return before, nil
}

// firstError returns the first error among the findings about the version in force.
func firstError(findings []configcheck.Finding) error {
	i := slices.IndexFunc(findings, func(f configcheck.Finding) bool { return f.Severity == configcheck.Error })
	if i < 0 {
		return nil
	}
	return invalidInputError(fmt.Errorf("%s", findings[i]))
}

func printConfigReport(command *cobra.Command, report configReport, format string) error {
	out := command.OutOrStdout()
	if format == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, finding := range report.Findings {
		fmt.Fprintln(out, finding)
	}
	for _, change := range report.Changes {
		fmt.Fprintln(out, change)
	}
	fmt.Fprintf(out, "%s: %d errors, %d warnings", report.File, report.count(configcheck.Error), report.count(configcheck.Warning))
	switch {
	case report.Against == "":
	case report.Changes == nil:
		fmt.Fprintf(out, "; not compared with %s", report.Against)
	default:
		fmt.Fprintf(out, "; %d changes to %s, callers lose by %d", len(report.Changes), report.Against, report.losses())
	}
	fmt.Fprintln(out)
	return nil
}
