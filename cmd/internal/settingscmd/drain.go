package settingscmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/settings"
)

func newDrainCommand(client *adminclient.Client) *cobra.Command {
	return newLeavingCommand(client, "drain", "Stop sending new requests to an upstream from all hosts; requests in flight finish", "true")
}

func newUndrainCommand(client *adminclient.Client) *cobra.Command {
	return newLeavingCommand(client, "undrain", "Resume sending new requests to an upstream from all hosts", "false")
}

// newLeavingCommand returns a command that sets the leaving setting of an upstream to
// value, which is JSON.
func newLeavingCommand(client *adminclient.Client, verb, short, value string) *cobra.Command {
	var o applyOptions
	cmd := &cobra.Command{
		Use:   verb + " FIRM/SERVICE/UPSTREAM",
		Short: short,
		Long: short + `.

This changes the setting "leaving" of the upstream and waits until the change is in
force on all hosts. Declare the same value in the files, or the next apply reverts it.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), o.wait)
			defer cancel()
			p, err := newLeavingPlan(ctx, client, args[0], value)
			if err != nil {
				return err
			}
			return publishPlan(ctx, cmd, client, p, &o)
		},
	}
	o.addFlags(cmd)
	return cmd
}

func newLeavingPlan(ctx context.Context, client *adminclient.Client, upstream, value string) (*plan, error) {
	path, err := upstreamPath(upstream)
	if err != nil {
		return nil, err
	}
	base, current, err := currentTree(ctx, client)
	if err != nil {
		return nil, err
	}
	if current.Find(path) == nil {
		return nil, cli.Exit(cli.ExitUsage, fmt.Errorf("upstream %s: not in the settings", upstream))
	}
	var list findings.List
	after := current.Set(path+"/leaving", jsontree.ParsePlain([]byte(value), &list))
	if err := list.Err(); err != nil {
		return nil, err
	}
	return &plan{
		Base:  base,
		Plan:  settings.NewPlan(current, after),
		edits: settings.Edits(current, after),
	}, nil
}

func upstreamPath(upstream string) (string, error) {
	parts := strings.Split(upstream, "/")
	const wanted = 3
	if len(parts) != wanted || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return "", cli.Exit(cli.ExitUsage, fmt.Errorf("upstream %q: want FIRM/SERVICE/UPSTREAM", upstream))
	}
	return "firms/" + parts[0] + "/services/" + parts[1] + "/upstreams/" + parts[2], nil
}
