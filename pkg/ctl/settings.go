package ctl

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
)

func settingsCommand() *cobra.Command {
	return commandGroup("settings", "Work with the settings of entry daemons", settingsCheckCommand())
}

func settingsCheckCommand() *cobra.Command {
	printSettings := false
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a settings file the way the daemon does before it opens a port",
		Args:  cobra.ExactArgs(1),
	}
	command.Flags().BoolVar(&printSettings, "print", false, "print the effective settings, including all defaults")
	overrides := settings.BindFlags(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		entry, err := settings.Load(arguments[0], overrides())
		if err != nil {
			return err
		}
		if !printSettings {
			fmt.Fprintf(command.OutOrStdout(), "%s: valid\n", arguments[0])
			return nil
		}
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(entry)
	}
	return command
}
