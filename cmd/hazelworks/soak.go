package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/soak"
)

// errInvariantsViolated is returned if a seed of the soak had findings.
var errInvariantsViolated = errors.New("invariants were violated")

func newSoakCommand() *cobra.Command {
	var opt soak.Options
	var seeds uint64
	var verbose bool
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run host processes on this machine, inject faults around them and check the invariants",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return fmt.Errorf("soak: find the program: %w", err)
			}
			opt.Binary = binary
			if verbose {
				opt.Out = cmd.OutOrStdout()
			}
			broken := false
			for seed := opt.Seed; seed < opt.Seed+seeds && cmd.Context().Err() == nil; seed++ {
				seedOptions := opt
				seedOptions.Seed = seed
				result, err := soak.Run(cmd.Context(), seedOptions)
				if err != nil {
					return err
				}
				cmd.Printf("seed %d: %d requests, %d answered, %d faults, %d findings\n",
					result.Seed, result.Requests, result.Answered, result.Faults, len(result.Findings))
				for _, finding := range result.Findings {
					cmd.Printf("  %s\n", finding)
				}
				broken = broken || len(result.Findings) > 0
			}
			if broken {
				return errInvariantsViolated
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&opt.Seed, "seed", 1, "first seed")
	cmd.Flags().Uint64Var(&seeds, "seeds", 1, "number of seeds, run one after another")
	cmd.Flags().DurationVar(&opt.Length, "length", 10*time.Second, "how long faults are injected, for each seed")
	cmd.Flags().IntVar(&opt.Hosts, "hosts", 0, "number of host processes; 0 means 4")
	cmd.Flags().StringVar(&opt.OtherBinary, "other-binary", "", "program of another build; hosts are replaced one after the other from one build to the other and back")
	cmd.Flags().StringSliceVar(&opt.OtherLacks, "other-lacks", nil, "features that the other build lacks: "+soak.LacksVersions+", "+soak.LacksBrittle+", "+soak.LacksEmptied+", "+soak.LacksLate)
	cmd.Flags().StringVar(&opt.LogDir, "logs", "", "directory for the hosts' logs of seeds with findings")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "print each fault")
	return cmd
}
