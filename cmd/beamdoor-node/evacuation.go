package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/registry"
)

// evacuationCommand returns the command to start, finish and list zone evacuations.
func evacuationCommand(seeds func() ([]string, error)) *cobra.Command {
	command := &cobra.Command{
		Use:     "evacuation",
		Short:   "Keep new flows from a zone, or take it back",
		Example: "  beamdoor-node evacuation start north --dry-run\n  beamdoor-node evacuation list",
	}
	sendOrder := requestSender(command, seeds)
	send := func(cmd *cobra.Command, order registry.OperatorRequest) ([]registry.ZoneStatus, error) {
		reply, err := sendOrder(cmd, order)
		return reply.Zones, err
	}
	command.AddCommand(startCommand(send), finishCommand(send), listCommand(send))
	return command
}

// requestSender adds the flag --member to a command and returns a function that sends
// requests to these members or, without the flag, to the seeds of the settings.
func requestSender(command *cobra.Command, seeds func() ([]string, error)) func(cmd *cobra.Command, order registry.OperatorRequest) (registry.OperatorResponse, error) {
	var members []string
	command.PersistentFlags().StringSliceVar(&members, "member", nil, "control members as IP:PORT of their own protocol (default: the seeds of the settings)")
	return func(cmd *cobra.Command, order registry.OperatorRequest) (registry.OperatorResponse, error) {
		if len(members) == 0 {
			var err error
			if members, err = seeds(); err != nil {
				return registry.OperatorResponse{}, err
			}
		}
		reply, err := registry.SendOperatorRequest(cmd.Context(), members, order)
		if err == nil && reply.Error != "" {
			err = errors.New(reply.Error)
		}
		return reply, err
	}
}

// sendFunc sends a request to a member and returns the resulting zone statuses.
type sendFunc func(cmd *cobra.Command, order registry.OperatorRequest) ([]registry.ZoneStatus, error)

func startCommand(send sendFunc) *cobra.Command {
	var dryRun bool
	command := &cobra.Command{
		Use:     "start ZONE",
		Short:   "Send no new flows to the targets of a zone; open flows stay",
		Example: "  beamdoor-node evacuation start north --dry-run\n  beamdoor-node evacuation start north --member 10.1.0.13:7720",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			zone := arguments[0]
			if dryRun {
				shares, err := send(cmd, registry.OperatorRequest{Action: registry.ActionList})
				if err != nil {
					return err
				}
				return printDryRun(cmd.OutOrStdout(), shares, zone)
			}
			shares, err := send(cmd, registry.OperatorRequest{Action: registry.ActionEvacuateZone, Zone: zone})
			if err != nil {
				return err
			}
			return printShares(cmd.OutOrStdout(), shares)
		},
	}
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show what the other zones would bear, and change nothing")
	return command
}

func finishCommand(send sendFunc) *cobra.Command {
	return &cobra.Command{
		Use:     "finish ZONE",
		Short:   "Take a zone back; its part of the new flows grows over the warm-up of its services",
		Example: "  beamdoor-node evacuation finish north",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			shares, err := send(cmd, registry.OperatorRequest{Action: registry.ActionEndEvacuation, Zone: arguments[0]})
			if err != nil {
				return err
			}
			return printShares(cmd.OutOrStdout(), shares)
		},
	}
}

func listCommand(send sendFunc) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List zones and services, and which zones are evacuated",
		Example: "  beamdoor-node evacuation list\n  beamdoor-node evacuation list --member 10.1.0.13:7720",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			shares, err := send(cmd, registry.OperatorRequest{Action: registry.ActionList})
			if err != nil {
				return err
			}
			return printShares(cmd.OutOrStdout(), shares)
		},
	}
}

// columnGap is the number of spaces between table columns.
const columnGap = 2

func printShares(out io.Writer, shares []registry.ZoneStatus) error {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tZONE\tTARGETS\tSLOTS\tEVACUATED")
	for _, share := range shares {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%t\n", share.Service, share.Zone, share.Targets, share.Slots, share.Evacuated)
	}
	return table.Flush()
}

func printDryRun(out io.Writer, shares []registry.ZoneStatus, zone string) error {
	effects, warnings := registry.DryRunEvacuation(shares, zone)
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tZONE\tPART NOW\tPART THEN")
	for _, effect := range effects {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f%%\t%.0f%%\n", effect.Service, effect.Zone, 100*effect.Before, 100*effect.After)
	}
	for _, warning := range warnings {
		_, _ = fmt.Fprintln(table, "warning: "+warning)
	}
	return table.Flush()
}
