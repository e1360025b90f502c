package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/fleet/hostmeter"
	"github.com/hazelworks/hazelworks/fleet/logging"
	"github.com/hazelworks/hazelworks/fleet/relayhost"
	"github.com/hazelworks/hazelworks/fleet/sockets"
	"github.com/hazelworks/hazelworks/platform"
	"github.com/hazelworks/hazelworks/platform/boot"
	"github.com/hazelworks/hazelworks/platform/store"
)

func newPlatformCommand() *cobra.Command {
	var metricsPort uint16
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a host on the users' platform; " + boot.EnvPath + " names its settings file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			stop, reload := notifyStop(), notifyReload()
			defer signal.Stop(stop)
			defer signal.Stop(reload)
			path := os.Getenv(boot.EnvPath)
			cfg, err := boot.Load(path)
			if err != nil {
				return cli.Exit(cli.ExitUsage, err)
			}
			if metricsPort > 0 {
				cfg.Listen.Metrics = netip.AddrPortFrom(cfg.Listen.Peer.Addr(), metricsPort)
			}
			logger, err := logging.NewBounded(os.Stdout, "info", logging.DefaultLimits())
			if err != nil {
				return cli.Exit(cli.ExitUsage, err)
			}
			defer logger.Close()
			return runOnPlatform(cmd.Context(), path, cfg, stop, reload, logger.Logger)
		},
	}
	cmd.Flags().Uint16Var(&metricsPort, "metrics-port", 0, "port on the host's own address that serves /metrics; 0 means none")
	return cmd
}

// storeSocketOptions limit the wait for a store that doesn't answer. It normally
// answers within some milliseconds.
var storeSocketOptions = sockets.Options{
	ConnectTimeout: 500 * time.Millisecond,
	UserTimeout:    2 * time.Second,
	KeepAlive:      2 * time.Second,
}

// storeTimeout bounds a call to the store. Calls take 4 ms, and some hundred
// milliseconds while the store is slow.
const storeTimeout = time.Second

// memoryLimitFraction is the fraction of the machine's memory that is the garbage
// collector's soft limit. The rest is for memory that the collector doesn't count,
// such as unread bytes of connections.
const memoryLimitFraction = 0.6

// Growth of the heap between two garbage collections, in percent of what is in use. The heap is so small
// that a loaded host would collect several times a second; it collects less often. Other hosts keep
// their memory small.
const (
	usualHeapGrowth  = 100
	loadedHeapGrowth = 400
)

func setCollection(loaded bool) {
	if loaded {
		debug.SetGCPercent(loadedHeapGrowth)
		return
	}
	debug.SetGCPercent(usualHeapGrowth)
}

func runOnPlatform(ctx context.Context, path string, cfg *relayhost.Config, stop, reload <-chan os.Signal, logger logr.Logger) error {
	logger.WithName("main").Info("Starting.", "host", cfg.Host, "failure_domain", cfg.FailureDomain, "memory", cfg.Limits.MemoryBytes, "cores", cfg.Limits.Cores)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Limits.MemoryBytes)))
	runQueue, err := hostmeter.NewRunQueue()
	if err != nil {
		return err
	}
	defer func() { _ = runQueue.Close() }()
	network, logTraffic := sockets.System{}, &hostmeter.Traffic{}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         logTraffic.Dialer(network.Dialer(storeSocketOptions)),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
	}}
	host, err := relayhost.New(relayhost.Options{
		Config:   cfg,
		Log:      store.New(client, cfg.StoreAddr.String(), storeTimeout),
		Network:  network,
		Revision: shortRevision(),
		Protocol: platform.Protocol(),
		Logger:   logger,
		Metrics:  metrics.NewRegistry(),

		Processor: hostmeter.ProcessorTime, Memory: hostmeter.MemoryInUse, RunQueue: runQueue.Wait, LogTraffic: logTraffic, Loaded: setCollection,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	group.Add(func() error { return host.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return stopHostOnSignal(ctx, stop, host, logger.WithName("main")) }, func(error) { cancel() })
	group.Add(func() error { return watchSettings(ctx, reload, path, host, logger.WithName("settings")) }, func(error) { cancel() })
	return group.Run()
}

// stopHostOnSignal starts a graceful stop on the first SIGTERM or interrupt.
func stopHostOnSignal(ctx context.Context, stop <-chan os.Signal, host *relayhost.Host, logger logr.Logger) error {
	select {
	case s := <-stop:
		logger.Info("Signal received.", "signal", s.String())
		host.Stop()
		<-ctx.Done()
	case <-ctx.Done():
	}
	return nil
}

// settingsPollInterval is the time between reads of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings applies changes of the settings file, on SIGHUP and by polling.
// If the file can't be read or is invalid, the current settings stay in force.
func watchSettings(ctx context.Context, reload <-chan os.Signal, path string, host *relayhost.Host, logger logr.Logger) error {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		reason := "changed"
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
			reason = "signal"
		case <-tick.C:
		}
		cfg, err := boot.Load(path)
		if err != nil {
			logger.Error(err, "Settings could not be read; the old ones stay in force.", "reason", reason)
			continue
		}
		if host.SetConfig(cfg) {
			logger.Info("Settings in force.", "reason", reason)
		}
	}
}
