package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
)

// version is set with -ldflags -X in release builds.
var version = "devel"

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "hazelworks %s %s %s/%s%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH, strings.TrimRight(" "+revision(), " "))
			return err
		},
	}
}

// revision returns the commit from which the program was built, or "" if it is not known.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}

// shortRevisionLength keeps the entries in the list of hosts small.
const shortRevisionLength = 12

func shortRevision() string {
	r := revision()
	return r[:min(len(r), shortRevisionLength)]
}
