// Package labcli provides the commands of the beamdoor-lab program.
package labcli

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	labv1 "github.com/beamdoor/beamdoor/api/beamdoor/lab/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/lab/v1/labv1connect"
	"github.com/beamdoor/beamdoor/internal/lab/caller"
	"github.com/beamdoor/beamdoor/internal/lab/fabric"
	"github.com/beamdoor/beamdoor/internal/lab/platform"
	"github.com/beamdoor/beamdoor/internal/lab/target"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// NewRoot returns the beamdoor-lab command.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "beamdoor-lab",
		Short:         "Stand-ins for the systems around beamdoor, and experiments",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(fabricCommand(), faultsCommand(), targetCommand(), platformCommand(), callerCommand(), simCommand())
	return root
}

// untilSignal runs a stand-in until it is asked to stop.
func untilSignal(cmd *cobra.Command, run func(context.Context) error) error {
	ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return run(ctx)
}

func fabricCommand() *cobra.Command {
	settings := fabric.Settings{}
	command := &cobra.Command{
		Use:   "fabric",
		Short: "Run the network fabric that sprays packets over the balancers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			running, err := fabric.New(settings)
			if err != nil {
				return err
			}
			return untilSignal(cmd, running.Run)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&settings.Services, "service", nil, "virtual addresses of the services")
	flags.StringVar(&settings.Return, "return", "127.0.0.1:6001", "UDP address for answers of targets")
	flags.StringVar(&settings.Egress, "egress", "127.0.0.1:6002", "UDP address for packets to callers")
	flags.StringVar(&settings.Admin, "admin", "127.0.0.1:6003", "HTTP address for faults")
	flags.StringVar(&settings.Platform, "platform", "127.0.0.1:6100", "HTTP address of the platform's list")
	flags.Uint64Var(&settings.Seed, "seed", 1, "seed of the spraying")
	return command
}

func faultsCommand() *cobra.Command {
	request := &labv1.SetFaultsRequest{}
	var address string
	var delay, jitter time.Duration
	command := &cobra.Command{
		Use:     "faults",
		Short:   "Set the faults of the running fabric; without flags it has none",
		Example: "  beamdoor-lab faults --loss 0.02 --duplicate 0.02 --delay 1ms --cut quito-b3",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			request.DelayUs = uint32(delay.Microseconds())
			request.JitterUs = uint32(jitter.Microseconds())
			client := labv1connect.NewFabricServiceClient(&http.Client{Timeout: time.Second}, "http://"+address)
			_, err := client.SetFaults(cmd.Context(), connect.NewRequest(request))
			return steperror.Wrap("lab.faults", address, err)
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "admin", "127.0.0.1:6003", "HTTP address of the fabric")
	flags.Float64Var(&request.Loss, "loss", 0, "share of packets lost")
	flags.Float64Var(&request.Duplicate, "duplicate", 0, "share of packets that come twice")
	flags.Float64Var(&request.Reorder, "reorder", 0, "share of packets that later ones overtake")
	flags.DurationVar(&delay, "delay", 0, "delay of every packet")
	flags.DurationVar(&jitter, "jitter", 0, "random delay on top")
	flags.StringSliceVar(&request.Cut, "cut", nil, "machines that receive nothing")
	return command
}

func targetCommand() *cobra.Command {
	settings := target.Settings{}
	command := &cobra.Command{
		Use:   "target",
		Short: "Run a back end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			running, err := target.New(settings)
			if err != nil {
				return err
			}
			return untilSignal(cmd, running.Run)
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.Backend.Name, "name", "target", "name")
	flags.StringVar(&settings.Listen, "listen", "", "UDP address")
	flags.StringVar(&settings.Admin, "admin", "", "HTTP address of health, load and drain")
	flags.StringVar(&settings.Return, "return", "127.0.0.1:6001", "UDP address of the fabric for answers")
	flags.StringVar(&settings.Service, "service", "", "virtual address of its service")
	flags.StringVar(&settings.Journal, "journal", "", "file that records what ran")
	flags.IntVar(&settings.Backend.Slots, "slots", 2, "requests that run at once")
	flags.IntVar(&settings.Backend.Queue, "queue", 64, "requests that wait before it sheds load")
	flags.DurationVar(&settings.Backend.ServiceTime, "service-time", 20*time.Millisecond, "mean time of a request")
	flags.DurationVar(&settings.Backend.Notify, "notify", time.Second, "time between notifications")
	flags.DurationVar(&settings.Backend.ColdStart, "cold-start", 0, "time after the start in which requests take longer")
	flags.BoolVar(&settings.Backend.DetectDuplicates, "detect-duplicates", false, "do not run a repeated request again")
	flags.Uint64Var(&settings.Backend.Seed, "seed", 1, "seed of the service times")
	return command
}

func platformCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run the platform's lagging list of machines",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := platform.LoadSettings(file)
			if err != nil {
				return err
			}
			return untilSignal(cmd, platform.New(settings).Run)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	return command
}

func callerCommand() *cobra.Command {
	settings := caller.Settings{}
	var journals string
	var most float64
	command := &cobra.Command{
		Use:   "caller",
		Short: "Make load, check every answer, and print a report",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			collected := caller.New(settings).Run(cmd.Context())
			if journals != "" {
				if err := collected.ReadJournals(journals); err != nil {
					return err
				}
			}
			if broken := collected.Write(cmd.OutOrStdout()); broken > 0 {
				return fmt.Errorf("%d rules were broken", broken)
			}
			return collected.CheckProgress(most)
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.Booking, "booking", "", "virtual address of the booking or address service")
	flags.StringVar(&settings.Documents, "documents", "", "virtual address of the document or tile service")
	flags.IntVar(&settings.Boards, "boards", 100, "flows that stay open")
	flags.Float64Var(&settings.Rate, "rate", 100, "requests a second over all boards")
	flags.Float64Var(&settings.Visits, "visits", 20, "short flows a second with one request each")
	flags.IntVar(&settings.Downloads, "downloads", 4, "downloads that run at any time")
	flags.DurationVar(&settings.Duration, "duration", 30*time.Second, "length of the load")
	flags.DurationVar(&settings.Deadline, "deadline", 8*time.Second, "deadline of each request")
	flags.DurationVar(&settings.Silence, "silence", 8*time.Second, "longest time a board may get no notification")
	flags.StringVar(&journals, "journals", "", "folder with the targets' journals")
	flags.Float64Var(&most, "most-unfinished", 0.05, "largest share of requests that may end without the target's answer")
	flags.Uint64Var(&settings.Seed, "seed", 1, "seed of the load")
	return command
}
