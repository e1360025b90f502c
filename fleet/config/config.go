// Package config loads the settings of one host process: its identity,
// addresses, platform services, timeouts and limits. Settings that the whole
// fleet shares are in the settings tree, see core/settings.
package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// Config is the settings of a host process.
type Config struct {
	Host      Host      `json:"host"`
	Listen    Listen    `json:"listen"`
	Advertise Advertise `json:"advertise"`
	Platform  Platform  `json:"platform"`
	Secrets   Secrets   `json:"secrets"`
	Timeouts  Timeouts  `json:"timeouts"`
	Limits    Limits    `json:"limits"`
	Log       Log       `json:"log"`
}

// Host identifies the host.
type Host struct {
	ID            record.HostID `json:"id"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failure_domain"`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Caller netip.AddrPort `json:"caller"`
	Peer   netip.AddrPort `json:"peer"`
	Admin  netip.AddrPort `json:"admin"`
}

// Advertise holds the addresses that others connect to. Each defaults to the
// listen address.
type Advertise struct {
	Caller netip.AddrPort `json:"caller"`
	Peer   netip.AddrPort `json:"peer"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// LogURLs are tried in order; all of them lead to the same log.
	LogURLs     []URL `json:"log_urls"`
	HostListURL URL   `json:"host_list_url"`
	// WeightStoreURL is optional; without it the host writes no placement.
	WeightStoreURL URL `json:"weight_store_url"`
}

// URL is an absolute http or https URL.
type URL string

// UnmarshalText checks and stores a URL.
func (u *URL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return fmt.Errorf("want a URL such as http://10.0.0.1:7000, got %q", text)
	}
	*u = URL(text)
	return nil
}

// Secrets authenticate hosts and operators.
type Secrets struct {
	// Peer is shared by all hosts of the fleet.
	Peer Secret `json:"peer"`
	// Operator guards the admin address.
	Operator Secret `json:"operator"`
}

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

// Secret is a shared secret. String redacts it.
type Secret string

// UnmarshalText checks and stores a secret.
func (s *Secret) UnmarshalText(text []byte) error {
	if len(text) < minSecretBytes {
		return fmt.Errorf("must have at least %d characters", minSecretBytes)
	}
	*s = Secret(text)
	return nil
}

// String returns a placeholder, so that the secret doesn't reach a log.
func (Secret) String() string {
	return "[secret]"
}

// Timeouts bounds the waits of the process.
type Timeouts struct {
	// HeaderRead bounds the time until a caller's request headers are complete.
	HeaderRead time.Duration `json:"header_read" min:"100ms" max:"5m"`
	// BodyRead bounds the time until a caller's request body is complete.
	BodyRead time.Duration `json:"body_read" min:"100ms" max:"1h"`
	// Idle bounds the time that a caller's connection stays without a request.
	Idle time.Duration `json:"idle" min:"1s" max:"1h"`
	// Connect bounds the time to open a connection to a peer or upstream.
	Connect time.Duration `json:"connect" min:"10ms" max:"1m"`
	// PeerCall bounds a call to another host.
	PeerCall time.Duration `json:"peer_call" min:"10ms" max:"1m"`
	// PlatformCall bounds a call to the platform, without the time it may poll.
	PlatformCall time.Duration `json:"platform_call" min:"100ms" max:"5m"`
	// PlatformPoll is how long a read of the platform waits for new records.
	PlatformPoll time.Duration `json:"platform_poll" min:"1s" max:"5m"`
	// EntryTTL is how long a caller may cache the answer to an entry request.
	EntryTTL time.Duration `json:"entry_ttl" min:"1s" max:"1h"`
	// Drain bounds a graceful stop.
	Drain time.Duration `json:"drain" min:"1s" max:"24h"`
}

// Limits bounds the resources that the process uses for callers.
type Limits struct {
	// HeaderBytes bounds a caller's request headers.
	HeaderBytes int `json:"header_bytes" min:"4096" max:"1048576"`
	// BodyBytes bounds a caller's request body, whatever its service allows.
	BodyBytes int64 `json:"body_bytes" min:"1024" max:"1073741824"`
	// Connections bounds the open connections of callers.
	Connections int `json:"connections" min:"1" max:"1000000"`
	// InFlight bounds the requests in progress.
	InFlight int `json:"in_flight" min:"1" max:"1000000"`
	// MemoryMB is the memory of the machine in MiB, from which the memory of requests' bodies follows;
	// zero means that it is not known.
	MemoryMB int64 `json:"memory_mb" min:"0" max:"16777216"`
}

// Log configures the log of the process.
type Log struct {
	Format string `json:"format" oneof:"json,text"`
	Level  string `json:"level" oneof:"error,info,debug"`
}

// Default returns the values of all optional settings.
func Default() Config {
	return Config{
		Timeouts: Timeouts{
			HeaderRead:   5 * time.Second,
			BodyRead:     30 * time.Second,
			Idle:         2 * time.Minute,
			Connect:      time.Second,
			PeerCall:     2 * time.Second,
			PlatformCall: 5 * time.Second,
			PlatformPoll: 20 * time.Second,
			EntryTTL:     10 * time.Second,
			Drain:        10 * time.Minute,
		},
		Limits: Limits{
			HeaderBytes: 64 << 10,
			BodyBytes:   32 << 20,
			Connections: 20000,
			InFlight:    10000,
		},
		Log: Log{Format: "json", Level: "info"},
	}
}

// Load reads and checks a file in JSON with comments. Errors in its content are
// returned together as a *findings.Error.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read process settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a file; findings name the file as name.
// Its error is a *findings.Error.
func Parse(name string, data []byte) (*Config, error) {
	var list findings.List
	cfg := Default()
	root := jsontree.Parse(name, data, &list)
	if root == nil {
		return nil, list.Err()
	}
	root.Decode("", &cfg, &list)
	if root.Kind == jsontree.Object {
		cfg.setAdvertiseDefaults()
		check(&cfg, root, &list)
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return &cfg, nil
}

func (c *Config) setAdvertiseDefaults() {
	if !c.Advertise.Caller.IsValid() {
		c.Advertise.Caller = c.Listen.Caller
	}
	if !c.Advertise.Peer.IsValid() {
		c.Advertise.Peer = c.Listen.Peer
	}
}
