package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/cmd/internal/demo"
	"github.com/hazelworks/hazelworks/fleet/logging"
)

const defaultDemoHosts = 3

func newDemoCommand() *cobra.Command {
	opts := demo.Options{Hosts: defaultDemoHosts}
	var verbose bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a fleet on loopback, with stand-ins for the platform and the upstreams",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger, err := demoLogger(verbose)
			if err != nil {
				return cli.Exit(cli.ExitUsage, err)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			opts.Out = cmd.OutOrStdout()
			opts.Logger = logger
			return demo.Run(ctx, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.Once, "once", false, "send one model request and one plain request, check the answers and exit")
	cmd.Flags().DurationVar(&opts.Duration, "for", 0*time.Second, "exit after this time; 0 means run until Ctrl-C")
	cmd.Flags().IntVar(&opts.Hosts, "hosts", defaultDemoHosts, "number of hosts")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "print the hosts' logs to standard error")
	return cmd
}

func demoLogger(verbose bool) (logr.Logger, error) {
	if !verbose {
		return logr.Discard(), nil
	}
	return logging.New(os.Stderr, "text", "debug")
}
