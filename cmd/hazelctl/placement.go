package main

import (
	"fmt"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/fleet/placer"
)

func newPlacementCommand(client *adminclient.Client) *cobra.Command {
	cmd := &cobra.Command{Use: "placement", Short: "Show which worker serves which model, and resume roll-outs"}
	cmd.AddCommand(newPlacementShowCommand(client), newPlacementResumeCommand(client))
	return cmd
}

func newPlacementShowCommand(client *adminclient.Client) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show the placement of the services for which this host is the writer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []placer.Status
			if err := client.Get(cmd.Context(), "/v1/placement", &list); err != nil {
				return err
			}
			return placementTable(list).Write(cmd.OutOrStdout(), output)
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func placementTable(list []placer.Status) cli.Table {
	t := cli.Table{Header: []string{"SERVICE", "EPOCH", "WORKER", "MODEL", "VERSION", "READY", "ORDER"}, Data: list}
	for _, s := range list {
		for _, w := range s.Workers {
			t.Rows = append(t.Rows, []string{
				s.Service, fmt.Sprint(s.Epoch), w.ID,
				w.Serving.Model, w.Serving.Version, fmt.Sprint(w.Ready), w.Order,
			})
		}
	}
	return t
}

func newPlacementResumeCommand(client *adminclient.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "resume SERVICE",
		Short: "Resume the halted roll-outs of a service",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/v1/placement/resume?service=" + url.QueryEscape(args[0])
			if err := client.Post(cmd.Context(), path, nil, nil); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: halts lifted\n", args[0])
			return err
		},
	}
}
