// Command hazelworks runs a host of the fleet.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
)

const longHelp = `hazelworks routes requests of client accounts to upstreams and keeps every
account within its prepaid budget.

Exit codes: 0 success, 1 failure, 2 invalid arguments or settings; nothing was
started.`

func main() {
	os.Exit(cli.Main(newRoot(), os.Stderr))
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "hazelworks",
		Short: "Run a host of a hazelworks fleet",
		Long:  longHelp,
	}
	root.AddCommand(
		newServeCommand(),
		newPlatformCommand(),
		newSoakCommand(),
		newDemoCommand(),
		newConfigCommand(),
		newVersionCommand(),
	)
	return root
}
