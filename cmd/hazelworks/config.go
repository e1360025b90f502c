package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/config"
	"github.com/hazelworks/hazelworks/platform/boot"
)

func newConfigCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check the process settings of a host"}
	var platformFormat bool
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a process settings file and report all errors, without starting a host",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			host, domain, err := checkSettings(args[0], platformFormat)
			if err != nil {
				return cli.Exit(cli.ExitUsage, err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: no faults; host %s in failure domain %s\n", args[0], host, domain)
			return err
		},
	}
	check.Flags().BoolVar(&platformFormat, "platform", false, "the file is in the format that the users' platform writes")
	cmd.AddCommand(check)
	return cmd
}

func checkSettings(path string, platformFormat bool) (host record.HostID, domain string, err error) {
	if platformFormat {
		cfg, err := boot.Load(path)
		if err != nil {
			return "", "", err
		}
		return cfg.Host, cfg.FailureDomain, nil
	}
	cfg, err := config.Load(path)
	if err != nil {
		return "", "", err
	}
	return cfg.Host.ID, cfg.Host.FailureDomain, nil
}
