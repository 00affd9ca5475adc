package ctl

import "github.com/spf13/cobra"

func demoCommand() *cobra.Command { return &cobra.Command{Use: "demo"} }
