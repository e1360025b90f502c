package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/config"
	"github.com/hazelworks/hazelworks/fleet/host"
	"github.com/hazelworks/hazelworks/fleet/platformhttp"
)

// listeners are open listeners by address. They are opened before the host is created,
// so that its settings can name free ports.
type listeners map[string]net.Listener

// open opens a listener on a free loopback port.
func (l listeners) open() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("open a loopback address: %w", err)
	}
	addr := listener.Addr().String()
	l[addr] = listener
	return netip.ParseAddrPort(addr)
}

// listen returns the open listener of an address.
func (l listeners) listen(_, addr string) (net.Listener, error) {
	listener, ok := l[addr]
	if !ok {
		return nil, fmt.Errorf("no listener on %s", addr)
	}
	return listener, nil
}

func (d *Demo) startHost(number int) (*runningHost, error) {
	opened := make(listeners)
	cfg, err := d.hostConfig(number, opened)
	if err != nil {
		return nil, err
	}
	platformClient := platformhttp.New(&http.Client{}, d.standins.platformURL)
	d.standins.hostList.Put(platform.Host{
		ID:            cfg.Host.ID,
		FailureDomain: cfg.Host.FailureDomain,
		Region:        cfg.Host.Region,
		CallerAddr:    cfg.Listen.Caller.String(),
		PeerAddr:      cfg.Listen.Peer.String(),
		State:         platform.HostLive,
	})
	h := host.New(host.Options{
		Config:  cfg,
		Log:     platformClient,
		Hosts:   platformClient,
		Weights: platformClient,
		Listen:  opened.listen,
		Logger:  d.opts.Logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningHost{
		host:   h,
		caller: "http://" + cfg.Listen.Caller.String(),
		admin:  "http://" + cfg.Listen.Admin.String(),
		cancel: cancel,
		exited: make(chan error, 1),
	}
	go func() { r.exited <- h.Run(ctx) }()
	return r, nil
}

func (d *Demo) hostConfig(number int, opened listeners) (*config.Config, error) {
	cfg := config.Default()
	cfg.Host = config.Host{
		ID:            record.HostID(fmt.Sprintf("host-%d", number)),
		Region:        "demo",
		FailureDomain: fmt.Sprintf("domain-%d", number),
	}
	for _, addr := range []*netip.AddrPort{&cfg.Listen.Caller, &cfg.Listen.Peer, &cfg.Listen.Admin} {
		var err error
		if *addr, err = opened.open(); err != nil {
			return nil, err
		}
	}
	cfg.Advertise = config.Advertise{Caller: cfg.Listen.Caller, Peer: cfg.Listen.Peer}
	cfg.Secrets = config.Secrets{Peer: peerSecret, Operator: operatorSecret}
	cfg.Timeouts.EntryTTL = entryTTL
	return &cfg, nil
}

// publishSettings publishes the demo's settings tree to the log.
func (d *Demo) publishSettings(ctx context.Context) error {
	files, err := d.standins.treeFiles()
	if err != nil {
		return err
	}
	root, _, err := settings.Load(files)
	if err != nil {
		return fmt.Errorf("demo settings: %w", err)
	}
	change := &settings.Change{
		Kind:  settings.KindEdit,
		ID:    "demo",
		By:    "demo",
		Edits: settings.Edits(jsontree.NewObject(), root),
	}
	if _, err := d.hosts[0].host.Settings().Publish(ctx, change); err != nil {
		return fmt.Errorf("publish the demo settings: %w", err)
	}
	return nil
}
