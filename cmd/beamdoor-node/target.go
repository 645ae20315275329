package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/registry"
)

// targetCommand returns the command to eject, readmit, exempt and list targets.
func targetCommand(seeds func() ([]string, error)) *cobra.Command {
	command := &cobra.Command{
		Use:     "target",
		Short:   "Keep new flows from a target, or from being kept from it",
		Example: "  beamdoor-node target list\n  beamdoor-node target eject i-4f21 --dry-run",
	}
	send := requestSender(command, seeds)
	command.AddCommand(
		ejectCommand(send),
		targetActionCommand(send, "readmit ID", "Send new flows to a target again, and judge it as the others", registry.ActionReadmitTarget),
		targetActionCommand(send, "exempt ID", "Send new flows to a target whatever is seen of it", registry.ActionExemptTarget),
		targetListCommand(send),
	)
	return command
}

// requestFunc sends a request to a member and returns its response.
type requestFunc func(cmd *cobra.Command, order registry.OperatorRequest) (registry.OperatorResponse, error)

func ejectCommand(send requestFunc) *cobra.Command {
	var dryRun bool
	command := targetActionCommand(send, "eject ID", "Send no new flows to a target; open flows stay", registry.ActionEjectTarget)
	command.Example = "  beamdoor-node target eject i-4f21 --dry-run\n  beamdoor-node target eject i-4f21 --member 10.1.0.13:7720"
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show what the other targets would bear, and change nothing")
	runEject := command.RunE
	command.RunE = func(cmd *cobra.Command, arguments []string) error {
		if !dryRun {
			return runEject(cmd, arguments)
		}
		reply, err := send(cmd, registry.OperatorRequest{Action: registry.ActionList, Target: arguments[0]})
		if err != nil {
			return err
		}
		return printTargetDryRun(cmd.OutOrStdout(), reply, arguments[0])
	}
	return command
}

func targetActionCommand(send requestFunc, use, short string, kind registry.OperatorAction) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  beamdoor-node target " + strings.Replace(use, "ID", "i-4f21", 1),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			reply, err := send(cmd, registry.OperatorRequest{Action: kind, Target: arguments[0]})
			if err != nil {
				return err
			}
			return printTargets(cmd.OutOrStdout(), reply.Targets)
		},
	}
}

func targetListCommand(send requestFunc) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the targets that are ejected, on probation or exempt",
		Example: "  beamdoor-node target list\n  beamdoor-node target list --member 10.1.0.13:7720",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reply, err := send(cmd, registry.OperatorRequest{Action: registry.ActionList})
			if err != nil {
				return err
			}
			return printTargets(cmd.OutOrStdout(), reply.Targets)
		},
	}
}

func printTargets(out io.Writer, targets []registry.TargetStatus) error {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tZONE\tTARGET\tORDERED\tNEW FLOWS")
	for _, target := range targets {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", target.Service, target.Zone, target.ID, target.Rule, flowsOf(target))
	}
	return table.Flush()
}

// flowsOf describes the share of new flows that a target receives.
func flowsOf(target registry.TargetStatus) string {
	switch {
	case target.Ejected:
		return "none"
	case target.Probation:
		return "a few"
	default:
		return "all"
	}
}

func printTargetDryRun(out io.Writer, reply registry.OperatorResponse, id string) error {
	effect, warnings, known := registry.DryRunTarget(reply, id)
	if !known {
		return fmt.Errorf("target %s takes no new flows or is not known", id)
	}
	return printEffect(out, effect, warnings)
}

// printEffect prints how a dry run changes the share of a service's slots in use.
func printEffect(out io.Writer, effect registry.ShareChange, warnings []string) error {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tSLOTS NOW\tSLOTS THEN")
	_, _ = fmt.Fprintf(table, "%s\t%.0f%%\t%.0f%%\n", effect.Service, 100*effect.Before, 100*effect.After)
	for _, warning := range warnings {
		_, _ = fmt.Fprintln(table, "warning: "+warning)
	}
	return table.Flush()
}
