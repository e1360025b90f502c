package settingscmd

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/settings"
)

// summary is the output of validate for a valid tree: its number of entries.
type summary struct {
	Valid     bool `json:"valid"`
	Accounts  int  `json:"accounts"`
	Budgets   int  `json:"budgets"`
	Services  int  `json:"services"`
	Upstreams int  `json:"upstreams"`
}

// faults is the JSON output of a command for an invalid tree.
type faults struct {
	Valid    bool               `json:"valid"`
	Findings []findings.Finding `json:"findings"`
}

func newValidateCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "validate FOLDER|FILE",
		Short: "Check declared settings and print all errors with their positions",
		Long:  "Checks declared settings without a connection to the fleet. Exit code 2 if there are errors.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, resolved, err := load(args[0])
			if err != nil {
				return writeFaults(cmd, output, err)
			}
			return summaryTable(summarize(resolved)).Write(cmd.OutOrStdout(), output)
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

// writeFaults writes the findings of err to stdout if the output format is JSON, and
// returns an error with the exit code ExitUsage. Otherwise it returns err.
func writeFaults(cmd *cobra.Command, output string, err error) error {
	var all *findings.Error
	if output != cli.OutputJSON || !errors.As(err, &all) {
		return err
	}
	if err := (cli.Table{Data: faults{Findings: all.Findings}}).Write(cmd.OutOrStdout(), output); err != nil {
		return err
	}
	return cli.Exit(cli.ExitUsage, fmt.Errorf("%d faults", len(all.Findings)))
}

func summarize(r *settings.Resolved) summary {
	s := summary{Valid: true, Accounts: len(r.Accounts), Budgets: len(r.Budgets), Services: len(r.Services)}
	for i := range r.Services {
		s.Upstreams += len(r.Services[i].Upstreams)
	}
	return s
}

func summaryTable(s summary) cli.Table {
	return cli.Table{
		Header: []string{"VALID", "ACCOUNTS", "BUDGETS", "SERVICES", "UPSTREAMS"},
		Rows: [][]string{{
			strconv.FormatBool(s.Valid), strconv.Itoa(s.Accounts), strconv.Itoa(s.Budgets),
			strconv.Itoa(s.Services), strconv.Itoa(s.Upstreams),
		}},
		Data: s,
	}
}
