package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/findings"
)

const exampleFile = "../../examples/host.jsonc"

func TestExampleFileMatchesDefaults(t *testing.T) {
	cfg, err := Load(exampleFile)
	require.NoError(t, err)
	want := Default()
	require.Equal(t, want.Timeouts, cfg.Timeouts)
	require.Equal(t, want.Limits, cfg.Limits)
	require.Equal(t, want.Log, cfg.Log)
	require.Equal(t, "midrand", cfg.Host.FailureDomain)
	require.Equal(t, "[secret]", fmt.Sprint(cfg.Secrets.Peer))
}

func TestAdvertiseDefaultsToListen(t *testing.T) {
	data, err := os.ReadFile(exampleFile)
	require.NoError(t, err)
	text := strings.Replace(string(data), `"advertise"`, `"x-advertise"`, 1)
	cfg, err := Parse("host.jsonc", []byte(text))
	require.NoError(t, err)
	require.Equal(t, cfg.Listen.Caller, cfg.Advertise.Caller)
	require.Equal(t, cfg.Listen.Peer, cfg.Advertise.Peer)
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.jsonc")
	text := `{
  "host": {"id": "a b", "region": 3},
  "listen": {
    "caller": "0.0.0.0:80",
    "peer": "10.0.0.1:80",
    "admin": "localhost:81",
  },
  "platform": {"log_urls": ["ftp://x", "nonsense"], "host_list_url": ""},
  "secrets": {"peer": "short", "operator": "0123456789abcdef"},
  "timeouts": {"connect": "3s", "drain": "2s", "idle": 5, "entry_ttl": "soon"},
  "log": {"format": "xml"},
  "colour": true,
}`
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, err := Load(file)
	var all *findings.Error
	require.ErrorAs(t, err, &all)
	var lines []string
	for _, f := range all.Findings {
		require.Equal(t, file, f.File)
		lines = append(lines, strings.TrimPrefix(f.String(), file+":"))
	}
	require.Equal(t, []string{
		`1:1: advertise/caller: others cannot connect to 0.0.0.0:80, name the address that they use`,
		`2:11: host/failure_domain: missing`,
		`2:18: host/id: want letters, digits, dots, underscores and hyphens, at most 63, got "a b"`,
		`2:35: host/region: want a string, got a number`,
		`5:13: listen/peer: 10.0.0.1:80 is already taken by listen/caller`,
		`6:14: listen/admin: ParseAddr("localhost"): unable to parse IP`,
		`8:29: platform/log_urls[0]: want a URL such as http://10.0.0.1:7000, got "ftp://x"`,
		`8:40: platform/log_urls[1]: want a URL such as http://10.0.0.1:7000, got "nonsense"`,
		`8:70: platform/host_list_url: want a URL such as http://10.0.0.1:7000, got ""`,
		`9:23: secrets/peer: must have at least 16 characters`,
		`10:27: timeouts/connect: 3s exceeds timeouts/peer_call of 2s`,
		`10:42: timeouts/drain: 2s is shorter than timeouts/entry_ttl of 10s: callers would come to a stopped host`,
		`10:56: timeouts/idle: want a duration such as "2s", got a number`,
		`10:72: timeouts/entry_ttl: want a duration such as "2s", got "soon"`,
		`11:21: log/format: must be one of json, text, got "xml"`,
		`12:13: colour: unknown name`,
	}, lines)
}

func TestLoadReportsMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
