package ctl

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/pkg/ctl/demo"
)

// daemonName is the file name of the entry daemon's binary.
const daemonName = "wagtailspoked"

func demoCommand() *cobra.Command {
	var options demo.Options
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run and check a deployment of two data centres on loopback, with stand-ins for external systems",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if options.Daemon == "" {
				options.Daemon = siblingDaemonPath()
			}
			if _, err := os.Stat(options.Daemon); err != nil {
				return demo.ErrDaemonNotFound
			}
			return demo.Run(command.Context(), options, command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Daemon, "daemon", "", "path of the wagtailspoked binary (default: in the directory of wagtailctl)")
	flags.DurationVar(&options.Serve, "serve", 0, "how long the deployment stays up after the checks")
	flags.BoolVar(&options.KeepLogs, "keep-logs", false, "keep the settings and logs of the daemons")
	return command
}

// siblingDaemonPath returns the path of the daemon's binary in the directory of
// this program, or its bare file name if that directory is unknown.
func siblingDaemonPath() string {
	program, err := os.Executable()
	if err != nil {
		return daemonName
	}
	return filepath.Join(filepath.Dir(program), daemonName)
}
