package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
)

const (
	entryTimeout  = 10 * time.Second
	maxEntryBytes = 1 << 20
)

func newEntryCommand() *cobra.Command {
	var host, key string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Print the host addresses that a client account should use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if key == "" {
				key = os.Getenv("HAZEL_KEY")
			}
			if key == "" {
				return cli.Exit(cli.ExitUsage, errors.New("account key: set --key or HAZEL_KEY"))
			}
			return printEntry(cmd, host, key)
		},
	}
	cmd.Flags().StringVar(&host, "host", "http://127.0.0.1:7000", "caller address of any host")
	cmd.Flags().StringVar(&key, "key", "", "key of the client account; default is the environment variable HAZEL_KEY")
	return cmd
}

func printEntry(cmd *cobra.Command, host, key string) error {
	request, err := http.NewRequestWithContext(cmd.Context(), http.MethodGet, strings.TrimRight(host, "/")+"/v1/entry", nil)
	if err != nil {
		return cli.Exit(cli.ExitUsage, fmt.Errorf("host: %w", err))
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := (&http.Client{Timeout: entryTimeout}).Do(request)
	if err != nil {
		return cli.Exit(cli.ExitUnreachable, fmt.Errorf("ask for an entry: %w", err))
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxEntryBytes))
	if err != nil {
		return cli.Exit(cli.ExitUnreachable, fmt.Errorf("read the entry: %w", err))
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("entry: status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	encoder := json.NewEncoder(cmd.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(json.RawMessage(data))
}
