package capacity

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// errOutdated tells that the page was not rendered from the slopes beside it.
var errOutdated = errors.New("the page does not agree with the slopes; run wagtailbench capacity")

const pageMode = 0o644

// Command returns the subcommand of wagtailbench.
func Command() *cobra.Command {
	var directory, path string
	var check bool
	command := &cobra.Command{
		Use:   "capacity",
		Short: "Compute the capacity page from the measured slopes",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			page, err := Page(directory)
			if err != nil {
				return err
			}
			if !check {
				return os.WriteFile(path, []byte(page), pageMode)
			}
			return compare(path, page)
		},
	}
	command.Flags().StringVar(&directory, "slopes", "docs/capacity", "directory of the measured slopes")
	command.Flags().StringVar(&path, "page", "docs/CAPACITY.md", "page to write")
	command.Flags().BoolVar(&check, "check", false, "only check that the page agrees with the slopes")
	return command
}

func compare(path, page string) error {
	written, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if string(written) != page {
		return fmt.Errorf("%s: %w", path, errOutdated)
	}
	return nil
}
