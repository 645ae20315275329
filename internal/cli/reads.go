package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"

	"github.com/beamdoor/beamdoor/internal/adminclient"
)

func getCommand(o *options) *cobra.Command {
	var stale bool
	command := &cobra.Command{
		Use:     "get SERVICE",
		Short:   "Show one service with its targets",
		Example: "  beamdoor get booking -o yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := o.read(cmd.Context(), o.client(), stale)
			if err != nil {
				return err
			}
			for _, service := range response.Services {
				if service.Name == args[0] {
					return show(cmd.OutOrStdout(), o.format, service, func() *table { return serviceTable(service) })
				}
			}
			return &ExitError{Code: ExitNotFound, Cause: fmt.Errorf("service %q does not exist", args[0])}
		},
	}
	command.Flags().BoolVar(&stale, "stale", false, "accept an answer that no quorum has confirmed")
	return command
}

func serviceTable(service *beamdoorv1.Service) *table {
	shown := &table{header: []string{"TARGET", "ID", "ADDRESS", "ZONE", "SLOTS", "CONNECTIONS", "DRAINING"}}
	for _, target := range service.Targets {
		shown.add(target.Name, target.Id, target.Address, target.Zone, target.Slots, target.Connections, target.Draining)
	}
	return shown
}

func listCommand(o *options) *cobra.Command {
	var stale bool
	command := &cobra.Command{
		Use:     "list",
		Short:   "List services, policies and views",
		Example: "  beamdoor list\n  beamdoor list -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := o.read(cmd.Context(), o.client(), stale)
			if err != nil {
				return err
			}
			return show(cmd.OutOrStdout(), o.format, response, func() *table { return listTable(response) })
		},
	}
	command.Flags().BoolVar(&stale, "stale", false, "accept an answer that no quorum has confirmed")
	return command
}

func listTable(response *beamdoorv1.ReadResponse) *table {
	shown := &table{header: []string{"KIND", "NAME", "REVISION", "DETAIL"}}
	for _, service := range response.Services {
		detail := fmt.Sprintf("%s, cell %d, %d targets, %s, %s", service.Address, service.Cell, len(service.Targets), service.Priority, service.SharingPolicy)
		shown.add("service", service.Name, service.Revision, detail)
	}
	for _, policy := range response.Policies {
		shown.add("policy", policy.Name, policy.Revision, fmt.Sprintf("%d bytes", len(policy.Source)))
	}
	for _, view := range response.Views {
		shown.add("view", fmt.Sprintf("cell %d", view.Cell), view.Revision, fmt.Sprintf("number %d, %d balancers", view.Number, len(view.Members)))
	}
	return shown
}

func historyCommand(o *options) *cobra.Command {
	var limit uint32
	command := &cobra.Command{
		Use:     "history",
		Short:   "Show the newest accepted changes",
		Example: "  beamdoor history --limit 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := call(cmd.Context(), o.client(), func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.HistoryResponse], error) {
				return admin.History(ctx, connect.NewRequest(&beamdoorv1.HistoryRequest{Limit: limit}))
			})
			if err != nil {
				return err
			}
			return show(cmd.OutOrStdout(), o.format, response, func() *table {
				shown := &table{header: []string{"REVISION", "TIME", "AUTHOR", "SUMMARY"}}
				for _, entry := range response.Entries {
					shown.add(entry.Revision, historyTime(entry), entry.Author, entry.Summary)
				}
				return shown
			})
		},
	}
	command.Flags().Uint32Var(&limit, "limit", 20, "number of changes")
	return command
}

func historyTime(entry *beamdoorv1.HistoryEntry) string {
	if entry.UnixMs == 0 {
		return "-"
	}
	return time.UnixMilli(entry.UnixMs).UTC().Format(time.RFC3339)
}

// leaderStatus returns the status as reported by the leader.
func (o *options) leaderStatus(ctx context.Context, api *adminclient.Client) (*beamdoorv1.StatusResponse, error) {
	return call(ctx, api, func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.StatusResponse], error) {
		response, err := admin.Status(ctx, connect.NewRequest(&beamdoorv1.StatusRequest{}))
		if err != nil {
			return nil, err
		}
		if response.Msg.LeaderId == response.Msg.MemberId {
			return response, nil
		}
		return nil, notLeaderError(response.Msg)
	})
}

// notLeaderError returns a retryable error that names the known leader in its detail, so
// that the client's next attempt goes there.
func notLeaderError(status *beamdoorv1.StatusResponse) error {
	failure := connect.NewError(connect.CodeUnavailable, errors.New("no leader with a quorum is known"))
	for _, member := range status.Members {
		if !member.Leader {
			continue
		}
		if detail, err := connect.NewErrorDetail(&beamdoorv1.ErrorDetail{LeaderAdmin: member.Member.Admin}); err == nil {
			failure.AddDetail(detail)
		}
	}
	return failure
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show control members, balancers and verdicts on targets",
		Example: "  beamdoor status\n  beamdoor status -o yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := o.leaderStatus(cmd.Context(), o.client())
			if err != nil {
				return err
			}
			return show(cmd.OutOrStdout(), o.format, response, func() *table { return statusTable(response) })
		},
	}
}

func statusTable(status *beamdoorv1.StatusResponse) *table {
	shown := &table{header: []string{"KIND", "NAME", "STATE", "REVISION", "DETAIL"}}
	shown.add("cluster", "-", fmt.Sprintf("term %d", status.Term), status.Revision, fmt.Sprintf("in force everywhere: %d", status.InForceRevision))
	for _, member := range status.Members {
		state := "follower"
		if member.Leader {
			state = "leader"
		}
		if member.Member.Learner {
			state = "learner"
		}
		shown.add("control", member.Member.Id, state, "-", fmt.Sprintf("log index %d of %d, %s", member.MatchIndex, status.CommitIndex, member.Member.Admin))
	}
	for _, entry := range status.Balancers {
		state := "active"
		if entry.Balancer.State == beamdoorv1.BalancerState_BALANCER_STATE_LEAVING {
			state = "leaving"
		}
		if entry.LeaseLeftMs == 0 {
			state += ", no lease"
		}
		shown.add("balancer", entry.Balancer.Name, state, entry.AppliedRevision, fmt.Sprintf("cell %d, view %d, id %d", entry.Balancer.Cell, entry.View, entry.Balancer.Id))
	}
	for _, target := range status.Targets {
		state := "alive"
		if !target.Alive {
			state = "dead"
		}
		shown.add("target", target.Service+"/"+target.Target, state, "-", fmt.Sprintf("weight %d by %s %s", target.Weight, target.Policy, target.Reason))
	}
	return shown
}

func traceCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "trace REVISION",
		Short:   "Show when each balancer applied a revision",
		Example: "  beamdoor trace 17",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var revision uint64
			if _, err := fmt.Sscan(args[0], &revision); err != nil {
				return usageError("REVISION: %q: must be a number", args[0])
			}
			response, err := call(cmd.Context(), o.client(), func(ctx context.Context, admin beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.TraceResponse], error) {
				return admin.Trace(ctx, connect.NewRequest(&beamdoorv1.TraceRequest{Revision: revision}))
			})
			if err != nil {
				return err
			}
			return show(cmd.OutOrStdout(), o.format, response, func() *table {
				shown := &table{header: []string{"BALANCER", "IN FORCE", "AFTER"}}
				for _, entry := range response.Entries {
					shown.add(entry.Balancer, entry.InForce, time.Duration(entry.DelayUs)*time.Microsecond)
				}
				return shown
			})
		},
	}
}

func watchCommand(o *options) *cobra.Command {
	var from uint64
	command := &cobra.Command{
		Use:     "watch",
		Short:   "Print changes as they are accepted, until interrupted or --timeout expires",
		Example: "  beamdoor watch --from 10 --timeout 1m",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			api := o.client()
			admin := beamdoorv1connect.NewAdminServiceClient(api.HTTP(), "http://"+api.Addresses()[0])
			stream, err := admin.Watch(ctx, connect.NewRequest(&beamdoorv1.WatchRequest{FromRevision: from}))
			if err != nil {
				return &ExitError{Code: exitCodeOf(err), Cause: err}
			}
			for stream.Receive() {
				entry := stream.Msg()
				fmt.Fprintf(cmd.OutOrStdout(), "%d\t%s\t%s\t%s\n", entry.Revision, historyTime(entry), entry.Author, entry.Summary)
			}
			if ctx.Err() != nil {
				return nil
			}
			return stream.Err()
		},
	}
	command.Flags().Uint64Var(&from, "from", 0, "show changes after this revision")
	return command
}

func explainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "explain SERVICE CALLER",
		Short:   "Show how the target of a flow was chosen",
		Example: "  beamdoor explain booking 127.0.0.1:40123",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := o.leaderStatus(cmd.Context(), o.client())
			if err != nil {
				return err
			}
			response, err := o.explain(cmd.Context(), status, args[0], args[1])
			if err != nil {
				return err
			}
			return show(cmd.OutOrStdout(), o.format, response, func() *table { return explainTable(response) })
		},
	}
}

// explain asks any balancer for the flow's primary, then asks the primary. If the primary
// does not answer, it returns the first balancer's answer.
func (o *options) explain(ctx context.Context, status *beamdoorv1.StatusResponse, service, caller string) (*beamdoorv1.ExplainResponse, error) {
	api := o.client()
	admins := map[string]string{}
	for _, entry := range status.Balancers {
		admins[entry.Balancer.Name] = entry.Balancer.Admin
	}
	var lastErr error = errors.New("no balancer is known")
	for _, admin := range admins {
		response, err := explainAt(ctx, api, admin, service, caller)
		if err != nil {
			lastErr = err
			continue
		}
		primary := admins[response.Primary]
		if primary == "" || primary == admin {
			return response, nil
		}
		if decided, err := explainAt(ctx, api, primary, service, caller); err == nil {
			return decided, nil
		}
		return response, nil
	}
	return nil, &ExitError{Code: exitCodeOf(lastErr), Cause: lastErr}
}

func explainAt(ctx context.Context, api *adminclient.Client, address, service, caller string) (*beamdoorv1.ExplainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	admin := beamdoorv1connect.NewBalancerServiceClient(api.HTTP(), "http://"+address)
	response, err := admin.Explain(ctx, connect.NewRequest(&beamdoorv1.ExplainRequest{Service: service, Caller: caller}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func explainTable(response *beamdoorv1.ExplainResponse) *table {
	shown := &table{header: []string{"FIELD", "VALUE"}}
	shown.add("service", response.Service)
	shown.add("flow known", response.Known)
	shown.add("target", response.Target)
	shown.add("reason", response.Reason)
	shown.add("policy", fmt.Sprintf("%s, weight %d", response.Policy, response.Weight))
	shown.add("partition", response.Partition)
	shown.add("decided by", response.DecidedBy)
	shown.add("recorded by", response.Backup)
	shown.add("view", response.View)
	shown.add("revision", response.Revision)
	shown.add("last packet", fmt.Sprintf("%d ms ago", response.AgeMs))
	return shown
}
