package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/fleet/config"
)

func newConfigCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Work with a host's process settings"}
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Report all faults of a process settings file; nothing is started",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return cli.Exit(cli.ExitUsage, err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: no faults; host %s in failure domain %s\n", args[0], cfg.Host.ID, cfg.Host.FailureDomain)
			return err
		},
	})
	return cmd
}
