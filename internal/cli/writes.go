package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/adminclient"
	"github.com/beamdoor/beamdoor/internal/config"
)

// baseNewest is the value of --base that stands for the current revision.
const baseNewest = -1

func (o *options) read(ctx context.Context, api *adminclient.Client, stale bool) (*beamdoorv1.ReadResponse, error) {
	return call(ctx, api, func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.ReadResponse], error) {
		return admin.Read(ctx, connect.NewRequest(&beamdoorv1.ReadRequest{Stale: stale}))
	})
}

func showRevision(cmd *cobra.Command, o *options, response *beamdoorv1.WriteResponse) error {
	return show(cmd.OutOrStdout(), o.format, response, func() *table {
		shown := &table{header: []string{"REVISION"}}
		shown.add(response.Revision)
		return shown
	})
}

func applyCommand(o *options) *cobra.Command {
	var file, summary string
	var base int64
	var wait time.Duration
	command := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Write services and policies in one revision",
		Long: `Write services and policies in one revision. The write is refused if another
write was accepted after the base revision. Without --base, the base is the
newest revision when the command starts.`,
		Example: "  beamdoor apply -f service.yaml --summary 'two more targets' --wait 15s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			parsed, err := config.Load(file)
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
			}
			return o.apply(cmd, parsed, summary, base, wait)
		},
	}
	command.Flags().StringVarP(&file, "file", "f", "", "configuration file (YAML)")
	command.Flags().StringVar(&summary, "summary", "", "description of the change in the history")
	command.Flags().Int64Var(&base, "base", baseNewest, "revision that the change is based on")
	command.Flags().DurationVar(&wait, "wait", 0, "how long to wait for the change to be in force on every balancer")
	_ = command.MarkFlagRequired("file")
	return command
}

func (o *options) apply(cmd *cobra.Command, parsed *config.Parsed, summary string, base int64, wait time.Duration) error {
	api := o.client()
	if base == baseNewest {
		current, err := o.read(cmd.Context(), api, false)
		if err != nil {
			return err
		}
		base = int64(current.Revision)
	}
	request := &beamdoorv1.ApplyRequest{
		BaseRevision:    uint64(base),
		RequestId:       adminclient.NewRequestID(),
		Author:          o.author,
		Summary:         summary,
		Services:        parsed.Services,
		RemovedServices: parsed.RemovedServices,
		Policies:        parsed.Policies,
		RemovedPolicies: parsed.RemovedPolicies,
	}
	response, err := call(cmd.Context(), api, func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.WriteResponse], error) {
		return admin.Apply(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return err
	}
	if err := showRevision(cmd, o, response); err != nil || wait == 0 {
		return err
	}
	return o.waitInForce(cmd, api, response.Revision, wait)
}

// pollInterval is the time between two status requests.
const pollInterval = 100 * time.Millisecond

func (o *options) waitInForce(cmd *cobra.Command, api *adminclient.Client, revision uint64, wait time.Duration) error {
	start := time.Now()
	for time.Since(start) < wait {
		status, err := o.leaderStatus(cmd.Context(), api)
		if err != nil {
			return err
		}
		if status.InForceRevision >= revision {
			fmt.Fprintf(cmd.OutOrStdout(), "in force on every balancer after %s\n", time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(pollInterval)
	}
	return &ExitError{Code: ExitUnavailable, Cause: fmt.Errorf("revision %d is accepted but not in force on every balancer after %s", revision, wait)}
}

func drainCommand(o *options, draining bool) *cobra.Command {
	use, short := "drain SERVICE TARGET...", "Stop new flows to targets; open flows finish"
	if !draining {
		use, short = "undrain SERVICE TARGET...", "Allow new flows to drained targets again"
	}
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  beamdoor " + use[:len(use)-len("SERVICE TARGET...")] + "booking booking-03",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := &beamdoorv1.SetDrainingRequest{
				RequestId: adminclient.NewRequestID(),
				Author:    o.author,
				Service:   args[0],
				Targets:   args[1:],
				Draining:  draining,
			}
			response, err := call(cmd.Context(), o.client(), func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.WriteResponse], error) {
				return admin.SetDraining(ctx, connect.NewRequest(request))
			})
			if err != nil {
				return err
			}
			return showRevision(cmd, o, response)
		},
	}
}

func leaveCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "leave BALANCER",
		Short:   "Remove a balancer from its cell gracefully",
		Example: "  beamdoor leave quito-b2",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := &beamdoorv1.RemoveBalancerRequest{RequestId: adminclient.NewRequestID(), Author: o.author, Name: args[0]}
			response, err := call(cmd.Context(), o.client(), func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.WriteResponse], error) {
				return admin.RemoveBalancer(ctx, connect.NewRequest(request))
			})
			if err != nil {
				return err
			}
			return showRevision(cmd, o, response)
		},
	}
}

func joinCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "join BALANCER",
		Short:   "Wait until a started balancer has joined its cell and holds a lease",
		Example: "  beamdoor join quito-b2 --timeout 30s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			api := o.client()
			start := time.Now()
			var previousLeaseMs int64
			for time.Since(start) < o.timeout {
				status, err := o.leaderStatus(cmd.Context(), api)
				if err != nil {
					return err
				}
				for _, entry := range status.Balancers {
					if entry.Balancer.Name != args[0] || entry.View == 0 {
						continue
					}
					// Only a renewal proves that this run holds the lease: the lease
					// of an earlier run may not have expired yet.
					renewed := previousLeaseMs > 0 && entry.LeaseLeftMs > previousLeaseMs
					previousLeaseMs = entry.LeaseLeftMs
					if renewed {
						fmt.Fprintf(cmd.OutOrStdout(), "%s is in view %d of cell %d\n", args[0], entry.View, entry.Balancer.Cell)
						return nil
					}
				}
				time.Sleep(pollInterval)
			}
			return &ExitError{Code: ExitUnavailable, Cause: fmt.Errorf("balancer %q has not joined after %s", args[0], o.timeout)}
		},
	}
}

func memberCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "member", Short: "Change the control members one at a time"}
	member := &beamdoorv1.Member{}
	add := &cobra.Command{
		Use:     "add ID",
		Short:   "Add a control member as a learner; a lost member needs a new ID",
		Example: "  beamdoor member add 4 --peer 127.0.0.1:7104 --admin 127.0.0.1:7304 --nodes 127.0.0.1:7204",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.changeMember(cmd, args[0], member, beamdoorv1.MemberChange_MEMBER_CHANGE_ADD_LEARNER)
		},
	}
	add.Flags().StringVar(&member.Peer, "peer", "", "TCP address for the other members")
	add.Flags().StringVar(&member.Admin, "admin", "", "HTTP address of the administration API")
	add.Flags().StringVar(&member.Nodes, "nodes", "", "TCP address for balancers")
	promote := &cobra.Command{
		Use:   "promote ID",
		Short: "Promote a caught-up learner to voter",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.changeMember(cmd, args[0], &beamdoorv1.Member{}, beamdoorv1.MemberChange_MEMBER_CHANGE_PROMOTE)
		},
	}
	remove := &cobra.Command{
		Use:   "remove ID",
		Short: "Remove a control member permanently",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.changeMember(cmd, args[0], &beamdoorv1.Member{}, beamdoorv1.MemberChange_MEMBER_CHANGE_REMOVE)
		},
	}
	parent.AddCommand(add, promote, remove)
	return parent
}

func (o *options) changeMember(cmd *cobra.Command, id string, member *beamdoorv1.Member, change beamdoorv1.MemberChange) error {
	if _, err := fmt.Sscan(id, &member.Id); err != nil || member.Id == 0 {
		return usageError("ID: %q: must be a positive number", id)
	}
	request := &beamdoorv1.ChangeMemberRequest{RequestId: adminclient.NewRequestID(), Change: change, Member: member}
	response, err := call(cmd.Context(), o.client(), func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.WriteResponse], error) {
		return admin.ChangeMember(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return err
	}
	return showRevision(cmd, o, response)
}

const backupMode = 0o600

func backupCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "backup FILE",
		Short:   "Save a snapshot of the replicated state to a new file",
		Example: "  beamdoor backup beamdoor-2026-12-02.state",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := call(cmd.Context(), o.client(), func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.BackupResponse], error) {
				return admin.Backup(ctx, connect.NewRequest(&beamdoorv1.BackupRequest{}))
			})
			if err != nil {
				return err
			}
			file, err := os.OpenFile(args[0], os.O_CREATE|os.O_EXCL|os.O_WRONLY, backupMode)
			if err != nil {
				return err
			}
			if _, err := file.Write(response.State); err != nil {
				return err
			}
			if err := file.Sync(); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "revision %d: %d bytes in %s\n", response.Revision, len(response.State), args[0])
			return file.Close()
		},
	}
}
