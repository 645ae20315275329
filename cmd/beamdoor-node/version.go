package main

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/registry"
)

// versionCommand returns the command that prints the build information, with
// subcommands to hold, release, judge and list versions of services.
func versionCommand(seeds func() ([]string, error)) *cobra.Command {
	command := &cobra.Command{
		Use:     "version",
		Short:   "Say from what this program was built, or hold a version of a service",
		Example: "  beamdoor-node version\n  beamdoor-node version list\n  beamdoor-node version hold booking v8 --dry-run",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "beamdoor-node", hosting.Version())
			return err
		},
	}
	send := requestSender(command, seeds)
	command.AddCommand(
		holdCommand(send),
		versionActionCommand(send, "release", "Send new flows to a version whatever is seen of it", registry.ActionReleaseVersion),
		versionActionCommand(send, "judge", "Leave it to the members again whether a version is held", registry.ActionJudgeVersion),
		versionListCommand(send),
	)
	return command
}

func holdCommand(send requestFunc) *cobra.Command {
	var dryRun bool
	command := versionActionCommand(send, "hold", "Send no new flows to the targets of a version; open flows stay", registry.ActionHoldVersion)
	command.Example = "  beamdoor-node version hold booking v8 --dry-run\n  beamdoor-node version hold booking v8 --member 10.1.0.13:7720"
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show what the other versions would bear, and change nothing")
	runHold := command.RunE
	command.RunE = func(cmd *cobra.Command, arguments []string) error {
		if !dryRun {
			return runHold(cmd, arguments)
		}
		reply, err := send(cmd, registry.OperatorRequest{Action: registry.ActionList})
		if err != nil {
			return err
		}
		return printVersionDryRun(cmd.OutOrStdout(), reply, namedVersion(arguments))
	}
	return command
}

func versionActionCommand(send requestFunc, verb, short string, kind registry.OperatorAction) *cobra.Command {
	return &cobra.Command{
		Use:     verb + " SERVICE VERSION",
		Short:   short,
		Example: "  beamdoor-node version " + verb + " booking v8",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			version := namedVersion(arguments)
			reply, err := send(cmd, registry.OperatorRequest{Action: kind, Version: version})
			if err != nil {
				return err
			}
			// Older members treat an unknown action as a list request.
			if !slices.ContainsFunc(reply.Versions, func(share registry.VersionStatus) bool { return share.ServiceVersion == version }) {
				return fmt.Errorf("the member did not carry out the order about version %s of service %s", version.Version, version.Service)
			}
			return printVersions(cmd.OutOrStdout(), reply.Versions)
		},
	}
}

func namedVersion(arguments []string) directory.ServiceVersion {
	return directory.ServiceVersion{Service: arguments[0], Version: arguments[1]}
}

func versionListCommand(send requestFunc) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the versions of each service",
		Example: "  beamdoor-node version list\n  beamdoor-node version list --member 10.1.0.13:7720",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reply, err := send(cmd, registry.OperatorRequest{Action: registry.ActionList})
			if err != nil {
				return err
			}
			return printVersions(cmd.OutOrStdout(), reply.Versions)
		},
	}
}

func printVersions(out io.Writer, versions []registry.VersionStatus) error {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tVERSION\tORDERED\tTARGETS\tSLOTS\tNO NEW FLOWS\tA FEW")
	for _, share := range versions {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", share.Service, share.Version, share.Rule, share.Targets, share.Slots, share.Ejected, share.Probation)
	}
	return table.Flush()
}

func printVersionDryRun(out io.Writer, reply registry.OperatorResponse, version directory.ServiceVersion) error {
	effect, warnings, known := registry.DryRunVersion(reply, version)
	if !known {
		return fmt.Errorf("version %s of service %s has no targets that take new flows", version.Version, version.Service)
	}
	return printEffect(out, effect, warnings)
}
