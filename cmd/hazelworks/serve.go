package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/fleet/config"
	"github.com/hazelworks/hazelworks/fleet/host"
	"github.com/hazelworks/hazelworks/fleet/logging"
	"github.com/hazelworks/hazelworks/fleet/platformhttp"
)

func newServeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run a host; the first SIGTERM or Ctrl-C stops it gracefully, the second immediately",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			stop := notifyStop()
			defer signal.Stop(stop)
			cfg, err := config.Load(path)
			if err != nil {
				return cli.Exit(cli.ExitUsage, err)
			}
			return serve(cmd.Context(), cfg, stop)
		},
	}
	cmd.Flags().StringVar(&path, "config", "host.jsonc", "process settings file, JSON with comments")
	return cmd
}

// errSecondSignal is returned if a second signal ends the graceful stop while
// requests may still be in flight.
var errSecondSignal = errors.New("stopped at once by a second signal")

func serve(ctx context.Context, cfg *config.Config, stop <-chan os.Signal) error {
	if cfg.Limits.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Limits.MemoryMB<<20)))
	}
	logger, err := logging.New(os.Stderr, cfg.Log.Format, cfg.Log.Level)
	if err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	client := platformClient(cfg)
	h := host.New(host.Options{
		Config:  cfg,
		Log:     platformhttp.New(client, urls(cfg.Platform.LogURLs)...),
		Hosts:   platformhttp.New(client, string(cfg.Platform.HostListURL)),
		Weights: weightStore(cfg, client),
		Logger:  logger,
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	group.Add(func() error { return h.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return stopOnSignals(ctx, stop, h, cfg.Timeouts.Drain) }, func(error) { cancel() })
	return group.Run()
}

// stopOnSignals shuts the host down gracefully on the first SIGTERM or interrupt, for
// at most drain. On the second signal it returns errSecondSignal immediately.
func stopOnSignals(ctx context.Context, signals <-chan os.Signal, h *host.Host, drain time.Duration) error {
	select {
	case <-signals:
	case <-ctx.Done():
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drain)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- h.Shutdown(ctx) }()
	select {
	case err := <-done:
		return err
	case <-signals:
		return errSecondSignal
	}
}

func platformClient(cfg *config.Config) *http.Client {
	dialer := &net.Dialer{Timeout: cfg.Timeouts.Connect}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}

func weightStore(cfg *config.Config, client *http.Client) platform.WeightStore {
	if cfg.Platform.WeightStoreURL == "" {
		return nil
	}
	return platformhttp.New(client, string(cfg.Platform.WeightStoreURL))
}

func urls(list []config.URL) []string {
	out := make([]string, len(list))
	for i, u := range list {
		out[i] = string(u)
	}
	return out
}
