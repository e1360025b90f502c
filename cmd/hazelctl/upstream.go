package main

import (
	"fmt"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/fleet/upstream"
)

func newUpstreamCommand(client *adminclient.Client) *cobra.Command {
	cmd := &cobra.Command{Use: "upstream", Short: "Show one host's view of its upstreams, and drain them on this host"}
	cmd.AddCommand(
		newUpstreamListCommand(client),
		newDrainCommand(client, "drain", "Stop sending new requests from this host to an upstream"),
		newDrainCommand(client, "undrain", "Resume sending new requests from this host to an upstream"),
	)
	return cmd
}

func newUpstreamListCommand(client *adminclient.Client) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List upstreams with their state and load",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []upstream.Status
			if err := client.Get(cmd.Context(), "/v1/upstreams", &list); err != nil {
				return err
			}
			return upstreamTable(list).Write(cmd.OutOrStdout(), output)
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func upstreamTable(list []upstream.Status) cli.Table {
	t := cli.Table{
		Header: []string{"SERVICE", "UPSTREAM", "STATE", "LEAVING", "DRAINED", "IN FLIGHT", "LIMIT"},
		Data:   list,
	}
	for _, u := range list {
		t.Rows = append(t.Rows, []string{
			u.Service, u.ID, u.State,
			strconv.FormatBool(u.Leaving), strconv.FormatBool(u.Drained),
			strconv.Itoa(u.InFlight), strconv.Itoa(u.Limit),
		})
	}
	return t
}

func newDrainCommand(client *adminclient.Client, verb, short string) *cobra.Command {
	return &cobra.Command{
		Use:   verb + " UPSTREAM",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/v1/upstreams/" + url.PathEscape(args[0]) + "/" + verb
			if err := client.Post(cmd.Context(), path, nil, nil); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: %s done\n", args[0], verb)
			return err
		},
	}
}
