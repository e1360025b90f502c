package settingscmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/fleet/settingsapi"
)

func newRecoverCommand(client *adminclient.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "recover FOLDER|FILE",
		Short: "Restore declared settings after the log and all hosts have lost them",
		Long: `Restores declared settings after a total loss: the log has neither the changes nor
a snapshot, and no host has them in memory. It is refused, with exit code 3, while
any of these copies is available. Only one operator may run it at a time.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tree, _, err := load(args[0])
			if err != nil {
				return err
			}
			var out settingsapi.Recovered
			in := settingsapi.Recovery{Settings: tree.AppendJSON(nil)}
			if err := client.Post(cmd.Context(), "/v1/settings/recovery", in, &out); err != nil {
				return withExitCode(err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "recovered as version %d\n", out.Version)
			return err
		},
	}
}
