package main

import (
	"encoding/json"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
)

func newRequestCommand(client *adminclient.Client) *cobra.Command {
	cmd := &cobra.Command{Use: "request", Short: "Show requests that a host has handled"}
	cmd.AddCommand(&cobra.Command{
		Use:   "show ID",
		Short: "Print the attempt log of a request as JSON",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var raw json.RawMessage
			if err := client.Get(cmd.Context(), "/v1/requests/"+url.PathEscape(args[0]), &raw); err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(raw)
		},
	})
	return cmd
}
