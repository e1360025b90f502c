package settingscmd

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/settingsapi"
)

// plan is the difference between the settings in force and the wanted ones.
type plan struct {
	// Base is the version of the settings in force that the plan starts from.
	Base record.Offset `json:"base"`
	settings.Plan
	edits []settings.Edit
}

func newPlanCommand(client *adminclient.Client) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "plan FOLDER|FILE",
		Short: "Show what apply would change, including inherited values",
		Long:  "Shows what apply would change. Exit code 0 if there are no changes, 5 if there are.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := newPlan(cmd.Context(), client, args[0])
			if err != nil {
				return writeFaults(cmd, output, err)
			}
			if err := p.write(cmd.OutOrStdout(), output); err != nil {
				return err
			}
			if !p.Empty() {
				return cli.Exit(cli.ExitChanges, errors.New("there are changes to apply"))
			}
			return nil
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func newPlan(ctx context.Context, client *adminclient.Client, path string) (*plan, error) {
	declared, _, err := load(path)
	if err != nil {
		return nil, err
	}
	base, current, err := currentTree(ctx, client)
	if err != nil {
		return nil, err
	}
	return &plan{
		Base:  base,
		Plan:  settings.NewPlan(current, declared),
		edits: settings.Edits(current, declared),
	}, nil
}

func currentTree(ctx context.Context, client *adminclient.Client) (record.Offset, *jsontree.Node, error) {
	var tree settingsapi.Tree
	if err := client.Get(ctx, "/v1/settings", &tree); err != nil {
		return 0, nil, withExitCode(err)
	}
	var list findings.List
	node := jsontree.ParsePlain(tree.Settings, &list)
	if err := list.Err(); err != nil {
		return 0, nil, fmt.Errorf("settings in force: %w", err)
	}
	return tree.Version, node, nil
}

func (p *plan) write(w io.Writer, output string) error {
	if output != cli.OutputTable {
		return cli.Table{Data: p}.Write(w, output)
	}
	if p.Empty() {
		_, err := fmt.Fprintf(w, "no changes against version %d\n", p.Base)
		return err
	}
	_, _ = fmt.Fprintf(w, "changes against version %d:\n", p.Base)
	writeDifferences(w, p.Declared)
	if len(p.Inherited) > 0 {
		_, _ = fmt.Fprintln(w, "inherited values that change with them:")
		writeDifferences(w, p.Inherited)
	}
	return nil
}

func writeDifferences(w io.Writer, differences []settings.Difference) {
	for _, d := range differences {
		switch {
		case d.Old == nil:
			_, _ = fmt.Fprintf(w, "  + %s: %s\n", d.Path, abbreviate(d.New))
		case d.New == nil:
			_, _ = fmt.Fprintf(w, "  - %s: %s\n", d.Path, abbreviate(d.Old))
		default:
			_, _ = fmt.Fprintf(w, "  ~ %s: %s -> %s\n", d.Path, abbreviate(d.Old), abbreviate(d.New))
		}
	}
}

// maxValueBytes is the length beyond which a plan shows only the start of a value.
const maxValueBytes = 160

func abbreviate(n *jsontree.Node) string {
	text := string(n.AppendJSON(nil))
	if len(text) > maxValueBytes {
		return fmt.Sprintf("%s... (%d bytes)", text[:maxValueBytes], len(text))
	}
	return text
}
