package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/url"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/grants/budgetadmin"
)

func newBudgetCommand(client *adminclient.Client) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "budget",
		Short: "Show and top up budgets, and release the grants of stopped hosts",
	}
	cmd.AddCommand(
		newBudgetListCommand(client),
		newBudgetShowCommand(client),
		newBudgetHoldersCommand(client),
		newBudgetTopUpCommand(client),
		newBudgetReleaseCommand(client),
	)
	return cmd
}

func newBudgetListCommand(client *adminclient.Client) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List all budgets that have been topped up at least once",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list budgetadmin.BudgetList
			if err := client.Get(cmd.Context(), "/v1/budgets", &list); err != nil {
				return err
			}
			if err := budgetTable(list.Budgets, list).Write(cmd.OutOrStdout(), output); err != nil {
				return err
			}
			if len(list.Errors) > 0 {
				return fmt.Errorf("some budgets are missing: %s", strings.Join(list.Errors, "; "))
			}
			return nil
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func newBudgetShowCommand(client *adminclient.Client) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "show FIRM/BUDGET",
		Short: "Show a budget and the parts that add up to its prepaid amount",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := budgetPath(args[0])
			if err != nil {
				return err
			}
			var b budgetadmin.Budget
			if err := client.Get(cmd.Context(), path, &b); err != nil {
				return err
			}
			return budgetTable([]budgetadmin.Budget{b}, b).Write(cmd.OutOrStdout(), output)
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func budgetTable(list []budgetadmin.Budget, data any) cli.Table {
	t := cli.Table{
		Header: []string{"BUDGET", "PREPAID", "SETTLED", "RESERVED", "FREE", "STRANDED", "AVAILABLE", "UNBILLED", "DIFFERENCE"},
		Data:   data,
	}
	for _, b := range list {
		t.Rows = append(t.Rows, []string{
			string(b.ID), tokens(b.Prepaid), tokens(b.Settled), tokens(b.Reserved), tokens(b.Free),
			tokens(b.Stranded), tokens(b.Available), tokens(b.Unbilled), tokens(b.Difference),
		})
	}
	return t
}

func newBudgetHoldersCommand(client *adminclient.Client) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "holders FIRM/BUDGET",
		Short: "List the holders of a budget's grants and whether they answer",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := budgetPath(args[0])
			if err != nil {
				return err
			}
			var h budgetadmin.HolderList
			if err := client.Get(cmd.Context(), path+"/holders", &h); err != nil {
				return err
			}
			return holderTable(h).Write(cmd.OutOrStdout(), output)
		},
	}
	cli.AddOutputFlag(cmd, &output)
	return cmd
}

func holderTable(h budgetadmin.HolderList) cli.Table {
	t := cli.Table{
		Header: []string{"HOLDER", "STATE", "GRANTED", "RESERVED", "FREE", "LAST REPORT"},
		Data:   h,
	}
	for _, x := range h.Holders {
		last := "never"
		if x.LastReportMillis > 0 {
			last = time.UnixMilli(x.LastReportMillis).UTC().Format(time.RFC3339)
		}
		t.Rows = append(t.Rows, []string{
			x.Holder, string(x.State), tokens(x.Granted), tokens(x.Reserved), tokens(x.Free), last,
		})
	}
	return t
}

// changeFlags are common to the commands that change a budget.
type changeFlags struct {
	id string
	by string
}

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.id, "id", "", "ID that makes the change idempotent; use the same ID for a retry (default random, printed)")
	cmd.Flags().StringVar(&f.by, "by", operatorName(), "operator's name, recorded with the change")
}

func (f *changeFlags) fillID() {
	if f.id == "" {
		f.id = rand.Text()
	}
}

func newBudgetTopUpCommand(client *adminclient.Client) *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use:   "topup FIRM/BUDGET AMOUNT",
		Short: "Raise the prepaid amount, or lower it with a negative AMOUNT (after --)",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := budgetPath(args[0])
			if err != nil {
				return err
			}
			amount, err := strconv.ParseInt(args[1], 10, 64)
			if err != nil || amount == 0 {
				return cli.Exit(cli.ExitUsage, fmt.Errorf("amount %q: want a whole number of tokens other than 0", args[1]))
			}
			flags.fillID()
			body := budgetadmin.TopUpRequest{ID: flags.id, Amount: record.Tokens(amount), By: flags.by}
			return postChange(cmd, client, path+"/topup", flags.id, body)
		},
	}
	flags.add(cmd)
	return cmd
}

func newBudgetReleaseCommand(client *adminclient.Client) *cobra.Command {
	var flags changeFlags
	var confirm string
	var force bool
	cmd := &cobra.Command{
		Use:   "release FIRM/BUDGET HOST/INCARNATION",
		Short: "Release the grant of a holder that is known to have stopped",
		Long: `Releases the grant of a holder that is known to have stopped. If the holder is
still running, the tokens that it has spent but not reported are billed only as
far as the budget has tokens available at that time; the rest is recorded as
unbilled.`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := budgetPath(args[0])
			if err != nil {
				return err
			}
			if confirm != args[1] {
				return cli.Exit(cli.ExitUsage, errors.New("--confirm must repeat the holder"))
			}
			flags.fillID()
			body := budgetadmin.ReleaseRequest{ID: flags.id, Holder: args[1], By: flags.by, Confirm: confirm, Force: force}
			return postChange(cmd, client, path+"/release", flags.id, body)
		},
	}
	flags.add(cmd)
	cmd.Flags().BoolVar(&force, "force", false, "release the grant even if the holder still answers")
	cmd.Flags().StringVar(&confirm, "confirm", "", "repeat the holder, as HOST/INCARNATION, to confirm")
	return cmd
}

func postChange(cmd *cobra.Command, client *adminclient.Client, path, id string, body any) error {
	var done budgetadmin.Change
	if err := client.Post(cmd.Context(), path, body, &done); err != nil {
		return fmt.Errorf("id %s: %w", id, err)
	}
	note := ""
	if done.Reason != "" {
		note = ", " + done.Reason
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "id %s: %d tokens, offset %d%s\n", id, done.Amount, done.Offset, note)
	return err
}

func budgetPath(id string) (string, error) {
	firm, name, ok := strings.Cut(id, "/")
	if !ok || firm == "" || name == "" || strings.Contains(name, "/") {
		return "", cli.Exit(cli.ExitUsage, fmt.Errorf("budget %q: want FIRM/BUDGET", id))
	}
	return "/v1/budgets/" + url.PathEscape(id), nil
}

func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

func tokens(amount record.Tokens) string {
	return strconv.FormatInt(int64(amount), 10)
}
