package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
)

func settingsCommand() *cobra.Command {
	return group("settings", "Work with settings of entry daemons", settingsCheckCommand())
}

func settingsCheckCommand() *cobra.Command {
	show := false
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file as the daemon does before it opens a port",
		Args:  cobra.ExactArgs(1),
	}
	command.Flags().BoolVar(&show, "print", false, "print the settings with all defaults")
	overrides := settings.BindFlags(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		entry, err := settings.Load(arguments[0], overrides())
		if err != nil {
			return err
		}
		if !show {
			fmt.Fprintf(command.OutOrStdout(), "%s: valid\n", arguments[0])
			return nil
		}
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(entry)
	}
	return command
}
