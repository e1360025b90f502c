package settingscmd

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/settingsapi"
)

func newGetCommand(client *adminclient.Client) *cobra.Command {
	var output string
	var explain bool
	cmd := &cobra.Command{
		Use:   "get PATH",
		Short: "Show values in force; --explain shows the level that sets each",
		Long:  "Shows the values in force at and below a path, including inherited ones, such as firms/a/services/s or firms/a/services/s/max_output.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var answer settingsapi.Explanation
			path := "/v1/settings/explain?path=" + url.QueryEscape(args[0])
			if err := client.Get(cmd.Context(), path, &answer); err != nil {
				return withExitCode(err)
			}
			return originTable(answer, explain).Write(cmd.OutOrStdout(), output)
		},
	}
	cmd.Flags().BoolVar(&explain, "explain", false, "show the level and the position of each value's declaration, and the values that it overrides")
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func originTable(answer settingsapi.Explanation, explain bool) cli.Table {
	t := cli.Table{Header: []string{"PATH", "VALUE"}, Data: answer}
	if explain {
		t.Header = append(t.Header, "LEVEL", "DECLARED AT", "OVERRIDES")
	}
	for _, o := range answer.Origins {
		row := []string{o.Path, string(o.Value)}
		if explain {
			row = append(row, o.Level, o.DeclaredAt, overrides(o.Overridden))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

func overrides(overridden []settingsapi.OverriddenValue) string {
	text := ""
	for i, r := range overridden {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %s", r.Level, r.Value)
	}
	return text
}

func newHistoryCommand(client *adminclient.Client) *cobra.Command {
	var output string
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the newest changes, accepted and rejected",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var decisions []settingsapi.Decision
			path := "/v1/settings/history?limit=" + strconv.Itoa(limit)
			if err := client.Get(cmd.Context(), path, &decisions); err != nil {
				return withExitCode(err)
			}
			return historyTable(decisions).Write(cmd.OutOrStdout(), output)
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of changes, at most 1000")
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func historyTable(decisions []settingsapi.Decision) cli.Table {
	t := cli.Table{Header: []string{"VERSION", "TIME", "STATUS", "BASE", "BY", "ID", "MESSAGE"}, Data: decisions}
	for _, d := range decisions {
		message := d.Message
		if d.Conflict != nil {
			message = d.Conflict.String()
		}
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(d.Offset), time.UnixMilli(d.TimeMillis).UTC().Format(time.RFC3339), d.Status,
			fmt.Sprint(d.Base), d.By, d.ID, message,
		})
	}
	return t
}

func newStatusCommand(client *adminclient.Client) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the hosts, their settings versions and lag, and one host's log, grants and streams",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status settingsapi.Status
			if err := client.Get(cmd.Context(), "/v1/status", &status); err != nil {
				return withExitCode(err)
			}
			if output == cli.OutputTable {
				writeHostStatus(cmd, &status)
			}
			return statusTable(&status).Write(cmd.OutOrStdout(), output)
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func writeHostStatus(cmd *cobra.Command, s *settingsapi.Status) {
	health := "log answered " + s.Log.LastRead.UTC().Format(time.RFC3339)
	if s.Log.Error != "" {
		health = "log out of reach: " + s.Log.Error
	}
	if s.Log.Unsupported {
		health += "; settings need a newer program than this host's"
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d, offset %d read; %s; %d grants of %d tokens; %d streams\n\n",
		s.Host, s.Version, s.Log.Position, health, s.Figures.Grants, s.Figures.Granted, s.Figures.Streams)
}

func statusTable(s *settingsapi.Status) cli.Table {
	t := cli.Table{Header: []string{"HOST", "DOMAIN", "STATE", "VERSION", "LAG", "SCHEMA", "ANSWERS"}, Data: s}
	for _, h := range s.Hosts {
		t.Rows = append(t.Rows, []string{
			string(h.ID), h.FailureDomain, h.State, fmt.Sprint(h.Version), fmt.Sprint(h.Lag), strconv.Itoa(h.Schema), strconv.FormatBool(h.Answers),
		})
	}
	return t
}

// keyBytes is the number of random bytes in a new account key.
const keyBytes = 24

// accountKey is a new account key and the hash to declare for it.
type accountKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func newKeyCommand() *cobra.Command {
	var output string
	create := &cobra.Command{
		Use:   "new",
		Short: "Generate an account key; declare its hash and give the key to the client",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := makeKey()
			if err != nil {
				return err
			}
			t := cli.Table{Header: []string{"KEY", "HASH"}, Rows: [][]string{{key.Key, key.Hash}}, Data: key}
			return t.Write(cmd.OutOrStdout(), output)
		},
	}
	cli.AddOutputFlag(create, &output)
	cmd := &cobra.Command{Use: "key", Short: "Generate keys for client accounts"}
	cmd.AddCommand(create)
	return cmd
}

func makeKey() (accountKey, error) {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return accountKey{}, fmt.Errorf("make key: %w", err)
	}
	key := "hw-" + base64.RawURLEncoding.EncodeToString(random)
	hash := sha256.Sum256([]byte(key))
	return accountKey{Key: key, Hash: settings.KeyPrefix + hex.EncodeToString(hash[:])}, nil
}
