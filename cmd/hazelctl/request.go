package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/requestlog"
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
	cmd.AddCommand(newExplainCommand())
	return cmd
}

// errRequestNotFound is returned if no log line names the request.
var errRequestNotFound = errors.New("no log line names the request")

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show how a request was handled and why, from log files or standard input",
		Long: `Reads the logs of all hosts and prints the lines of one request in order of time.
Lines marked with ~ are related: those about its budget and its upstreams around
the same time, and the last state of the log and the settings on its hosts.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			explained := requestlog.Explain(lines, args[0])
			if len(explained) == 0 {
				return errRequestNotFound
			}
			return requestlog.Write(cmd.OutOrStdout(), explained)
		},
	}
}

// readLogs reads the log files, or stdin if files is empty.
func readLogs(stdin io.Reader, files []string) ([]requestlog.Line, error) {
	if len(files) == 0 {
		lines, _, err := requestlog.Read(stdin, "stdin")
		return lines, err
	}
	var all []requestlog.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, _, err := requestlog.Read(file, filepath.Base(name))
		_ = file.Close() // only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
