// Command beamdoor-fleet runs a short fault scenario with real edge and member
// processes on loopback against a simulation of the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/standin"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "beamdoor-fleet:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	var settings standin.Settings
	var hash string
	var quick bool
	root := &cobra.Command{
		Use:           "beamdoor-fleet",
		Short:         "Play a short day with real processes on loopback and hold it against the rules",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings.Hash = standin.Hash(hash)
			if settings.Hash != standin.HashRendezvous && settings.Hash != standin.HashMod {
				return fmt.Errorf("--hash: %q: must be %s or %s", hash, standin.HashRendezvous, standin.HashMod)
			}
			return play(cmd, settings, quick)
		},
	}
	flags := root.Flags()
	flags.StringVar(&settings.Program, "program", "bin/beamdoor-node", "the program of edges and members")
	flags.StringVar(&settings.Folder, "folder", "", "folder for settings, data and logs; a temporary one if empty")
	flags.IntVar(&settings.Edges, "edges", 4, "number of edges")
	flags.StringVar(&hash, "hash", string(standin.HashRendezvous), "how routers hash flows: steady or mod")
	flags.BoolVar(&quick, "quick", false, "planned work only, no faults")
	return root
}

func play(cmd *cobra.Command, settings standin.Settings, quick bool) error {
	if settings.Folder == "" {
		folder, err := os.MkdirTemp("", "beamdoor-fleet-")
		if err != nil {
			return err
		}
		settings.Folder = folder
	}
	fleet := standin.New(settings)
	defer fleet.Close()
	out := cmd.OutOrStdout()
	demo := &standin.Demo{Fleet: fleet, Out: out, Quick: quick}
	err := demo.Run()
	report := fleet.Report()
	fmt.Fprintf(out, "served %d (late %d), failed %d, resets %d, slowest %v; logs in %s\n",
		report.Served, report.Late, report.Failed, report.Resets, report.Slowest, settings.Folder)
	for reason, count := range report.Reasons {
		fmt.Fprintf(out, "  failed: %d: %s\n", count, reason)
	}
	for _, breach := range report.Breaches {
		fmt.Fprintln(out, "  BROKEN", breach)
	}
	if err != nil {
		return err
	}
	if report.Broken > 0 {
		return fmt.Errorf("%d breaches of the rules", report.Broken)
	}
	if report.Served == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}
