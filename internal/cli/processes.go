package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/balancer"
	"github.com/beamdoor/beamdoor/internal/control"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/settings"
)

func controlCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "control",
		Short:   "Run a control member",
		Example: "  beamdoor control --settings control-1.yaml --bootstrap",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadControl(file, cmd.LocalNonPersistentFlags())
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
			}
			logger := eventlog.New(os.Stderr, "control")
			process, err := control.OpenProcess(loaded, control.DefaultSettings(), logger)
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return process.Run(ctx)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	command.Flags().Uint32("id", 0, "number of this member")
	command.Flags().String("data-folder", "", "folder for the member's state")
	command.Flags().Bool("bootstrap", false, "initialize the membership if the data folder is empty")
	return command
}

func balancerCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "balancer",
		Short:   "Run a balancer",
		Long:    "Run a balancer. The first SIGTERM or SIGINT starts a graceful shutdown that waits for work in progress; the second stops the process immediately.",
		Example: "  beamdoor balancer --settings balancer-1.yaml\n  beamdoor balancer --settings balancer-1.yaml --zone quito-2",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadBalancer(file, cmd.LocalNonPersistentFlags())
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
			}
			logger := eventlog.New(os.Stderr, "balancer")
			process, err := balancer.NewProcess(loaded, routing.DefaultSettings(), logger)
			if err != nil {
				return err
			}
			return runUntilSignal(cmd.Context(), process)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	command.Flags().String("name", "", "name of this balancer")
	command.Flags().String("zone", "", "failure domain of this balancer")
	command.Flags().Uint32("cell", 0, "cell that this balancer serves")
	command.Flags().String("callers", "", "UDP address for packets from callers")
	command.Flags().String("targets", "", "UDP address for packets from targets")
	command.Flags().String("peers", "", "UDP address for packets from other balancers")
	command.Flags().String("fabric", "", "UDP address to which packets for callers are sent")
	command.Flags().String("admin", "", "HTTP address of the metrics, health and explain endpoints")
	return command
}

func runUntilSignal(ctx context.Context, process *balancer.Process) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	force := make(chan struct{})
	go func() {
		<-signals
		cancel()
		<-signals
		close(force)
	}()
	return process.Run(ctx, force)
}
