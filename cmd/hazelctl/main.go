// Command hazelctl is the operators' command line: it shows and changes settings,
// budgets, upstreams and placement, and shows requests and the state of the fleet,
// through the admin address of any host.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/cmd/internal/settingscmd"
)

const longHelp = `hazelctl talks to the admin address of any host of the fleet.

Exit codes: 0 success, 1 failure, 2 invalid arguments or files, nothing was done,
3 conflict with another change, 4 the fleet could not be reached, 5 plan found
changes.`

func main() {
	os.Exit(cli.Main(newRoot(), os.Stderr))
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "hazelctl",
		Short: "Operate a hazelworks fleet",
		Long:  longHelp,
	}
	client := adminclient.AddFlags(root)
	root.AddCommand(settingscmd.Commands(client)...)
	root.AddCommand(
		newBudgetCommand(client),
		newRequestCommand(client),
		newUpstreamCommand(client),
		newPlacementCommand(client),
		newEntryCommand(),
		newHostsCommand(client),
	)
	return root
}
