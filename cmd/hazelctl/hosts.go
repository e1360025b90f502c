package main

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/fleet/relayhost"
)

func newHostsCommand(client *adminclient.Client) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "hosts",
		Short: "List the hosts on the users' platform and their builds; --admin names the metrics address of one",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list relayhost.HostList
			if err := client.GetOpen(cmd.Context(), relayhost.HostsPath, &list); err != nil {
				return err
			}
			return hostTable(list).Write(cmd.OutOrStdout(), output)
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func hostTable(list relayhost.HostList) cli.Table {
	t := cli.Table{Header: []string{"HOST", "DOMAIN", "ALIVE", "LEAVING", "BUILD LEVEL", "REVISION", "LOWEST"}, Data: list}
	for _, h := range list.Hosts {
		t.Rows = append(t.Rows, []string{
			string(h.Host), h.FailureDomain, strconv.FormatBool(h.Alive), strconv.FormatBool(h.Leaving),
			strconv.FormatUint(uint64(h.Build.Level), 10), h.Build.Revision, strconv.FormatBool(h.Build.Level == list.LowestLevel),
		})
	}
	return t
}
