// Command regression plays the deployments of the operators that are in force
// with the operators' bench, one after the other, and compares each with the
// score that is on record. It exits with 1 if a gate fails or a score falls by
// more than the bench's noise.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// maxScoreFall is the fall of a score up to which the bench calls a change
// noise.
const maxScoreFall = 0.03

// recordedSite is a deployment in force with its last recorded scores.
type recordedSite struct {
	// Site is the path of its site file below the directory of the pages.
	Site string `json:"site"`
	// Score and QuickScore are those of all standard days and of the light
	// ones; 0 if none is on record.
	Score      float64 `json:"score,omitempty"`
	QuickScore float64 `json:"quickScore,omitempty"`
	// Jobs is how many of its days may be played at a time.
	Jobs int `json:"jobs"`
}

// outcome is what the bench printed of one deployment.
type outcome struct {
	score    float64
	hasScore bool
	passed   bool
}

type options struct {
	bench, sites, record, why string
	quick                     bool
}

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "regression:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use:           "regression",
		Short:         "Plays the deployments in force and compares their scores with the record",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return run(c.OutOrStdout(), o) },
	}
	command.Flags().StringVar(&o.bench, "bench", "", "the operators' bench")
	command.Flags().StringVar(&o.sites, "sites", "", "directory of the operators' pages, which holds the site files")
	command.Flags().StringVar(&o.record, "record", "docs/scores.json", "recorded scores")
	command.Flags().StringVar(&o.why, "why", "regression run", "line for the bench's journal")
	command.Flags().BoolVar(&o.quick, "quick", false, "play the light days only")
	for _, name := range []string{"bench", "sites"} {
		if err := command.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	return command
}

func run(out io.Writer, o options) error {
	sites, err := readRecord(o.record)
	if err != nil {
		return err
	}
	failures := 0
	for _, site := range sites {
		began := time.Now()
		got, err := play(out, site, o)
		if err != nil {
			return err
		}
		recorded := site.Score
		if o.quick {
			recorded = site.QuickScore
		}
		verdict := compare(got, recorded)
		if verdict != "" {
			failures++
		}
		_, _ = fmt.Fprintf(out, "%s: score %.3f, recorded %.3f, %v%s\n", site.Site, got.score, recorded, time.Since(began).Round(time.Second), verdict)
	}
	if failures > 0 {
		return eris.Errorf("%d of %d deployments failed", failures, len(sites))
	}
	return nil
}

func readRecord(path string) ([]recordedSite, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read the record")
	}
	var sites []recordedSite
	if err := json.Unmarshal(data, &sites); err != nil {
		return nil, eris.Wrapf(err, "decode the record %s", path)
	}
	for _, site := range sites {
		if site.Site == "" || site.Jobs < 1 {
			return nil, eris.Errorf("record %s: site %q needs a path and at least one job", path, site.Site)
		}
	}
	return sites, nil
}

// compare returns why a deployment failed, or "" if it did not.
func compare(got outcome, recorded float64) string {
	switch {
	case !got.hasScore:
		return ", FAILED: the bench printed no score"
	case !got.passed:
		return ", FAILED: the gate"
	case got.score < recorded-maxScoreFall:
		return fmt.Sprintf(", FAILED: fell by more than %.2f", maxScoreFall)
	}
	return ""
}

// play runs the bench on one deployment and copies its output.
func play(out io.Writer, site recordedSite, o options) (outcome, error) {
	arguments := []string{"score", filepath.Join(o.sites, site.Site), "--jobs", strconv.Itoa(site.Jobs), "--why", o.why}
	if o.quick {
		arguments = append(arguments, "--quick")
	}
	command := exec.Command(o.bench, arguments...)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return outcome{}, eris.Wrap(err, "open the output of the bench")
	}
	if err := command.Start(); err != nil {
		return outcome{}, eris.Wrap(err, "start the bench")
	}
	got, readErr := parseOutput(io.TeeReader(output, out))
	// The bench's exit code repeats the gate, which its output states.
	err = command.Wait()
	if readErr != nil {
		return outcome{}, eris.Wrap(readErr, "read the output of the bench")
	}
	if err != nil && !got.hasScore {
		return outcome{}, eris.Wrapf(err, "run the bench on %s", site.Site)
	}
	return got, nil
}

var (
	// The bench adds the difference from an earlier run, if there is one.
	scoreLine = regexp.MustCompile(`^(?:score|quick estimate) on the .* of \S+ .*: ([0-9.]+)(?:,.*)?$`)
	gateLine  = regexp.MustCompile(`^GATE (passed|failed)`)
)

func parseOutput(r io.Reader) (outcome, error) {
	var got outcome
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if match := scoreLine.FindStringSubmatch(lines.Text()); match != nil {
			score, err := strconv.ParseFloat(match[1], 64)
			if err != nil {
				return got, eris.Wrapf(err, "score %q", match[1])
			}
			got.score, got.hasScore = score, true
		}
		if match := gateLine.FindStringSubmatch(lines.Text()); match != nil {
			got.passed = match[1] == "passed"
		}
	}
	return got, lines.Err()
}
