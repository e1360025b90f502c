package settingscmd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
)

func TestDrainIsASettingsChange(t *testing.T) {
	f := newFleet(t)
	require.Equal(t, cli.ExitOK, f.run("apply", exampleFolder).code)
	const upstream = "tensilix/records/records-02"
	leaving := func() string {
		got := f.run("get", "firms/tensilix/services/records/upstreams/records-02/leaving", "-o", "json")
		require.Equal(t, cli.ExitOK, got.code, got.stderr)
		return got.stdout
	}
	got := f.run("drain", upstream)
	require.Equal(t, cli.ExitOK, got.code, got.stderr)
	require.Contains(t, leaving(), "true")
	require.Equal(t, cli.ExitOK, f.run("undrain", upstream).code)
	require.Contains(t, leaving(), "false")

	require.Equal(t, cli.ExitUsage, f.run("drain", "tensilix/records/no-such").code)
	require.Equal(t, cli.ExitUsage, f.run("drain", "records-02").code)
}
