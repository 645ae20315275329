package labcli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/lab/scale"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

func scaleCommand() *cobra.Command {
	options := scale.Options{}
	var csv string
	command := &cobra.Command{
		Use:   "scale",
		Short: "Run hollow balancers against running control members and measure",
		Long: `Run hollow balancers, many in this process, against control members that are
already running, and measure what a node and a member spend. scripts/scale.sh
starts the members and runs several sizes.`,
		Example: "  beamdoor-lab scale --hollow 1000 --services 1800 --targets 5900 --changes 20 --csv scale.csv",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Hollow < 1 || options.Services < 1 || options.Rate <= 0 {
				return steperror.New("lab.scale", "", "--hollow, --services and --rate must be above 0")
			}
			row, err := scale.Run(cmd.Context(), cmd.OutOrStdout(), options)
			if err != nil || csv == "" {
				return err
			}
			return scale.AppendCSV(csv, row)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.Admin, "admin", []string{"127.0.0.1:7301", "127.0.0.1:7302", "127.0.0.1:7303"}, "administration addresses of the control members")
	flags.StringSliceVar(&options.Nodes, "nodes", []string{"127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"}, "addresses of the control members for balancers")
	flags.IntVar(&options.Hollow, "hollow", 1000, "hollow balancers")
	flags.IntVar(&options.Services, "services", 1800, "services, one address each")
	flags.IntVar(&options.Targets, "targets", 5900, "targets")
	flags.IntVar(&options.Changes, "changes", 20, "changes of configuration")
	flags.Float64Var(&options.Rate, "rate", 4, "largest number of changes a second")
	flags.IntVar(&options.Probed, "probed", 0, "targets that are asked for their load")
	flags.StringVar(&options.ProbeListen, "probe-listen", "0.0.0.0:9500", "address that answers for the probed targets")
	flags.Uint32Var(&options.FirstCell, "first-cell", 10, "number of the first hollow cell")
	flags.DurationVar(&options.Idle, "idle", 10*time.Second, "time without changes that is measured")
	flags.StringVar(&csv, "csv", "", "file to which the measurement is added")
	command.AddCommand(scaleFitCommand())
	return command
}

func scaleFitCommand() *cobra.Command {
	var csv, over, drawing string
	var target float64
	var columns []string
	command := &cobra.Command{
		Use:     "fit",
		Short:   "Fit straight lines through measured sizes and stretch them to a target",
		Example: "  beamdoor-lab scale fit --csv scale.csv --over Nodes --target 6100 --plot leader.svg --columns LeaderCore",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			table, err := scale.ReadCSV(csv)
			if err != nil {
				return err
			}
			if err := table.WriteFits(cmd.OutOrStdout(), over, target); err != nil || drawing == "" {
				return err
			}
			return table.Plot(drawing, fmt.Sprintf("measured over %s", over), over, columns...)
		},
	}
	flags := command.Flags()
	flags.StringVar(&csv, "csv", "scale.csv", "file with the measurements")
	flags.StringVar(&over, "over", "Nodes", "column of the sizes")
	flags.Float64Var(&target, "target", 6100, "size to stretch the lines to")
	flags.StringVar(&drawing, "plot", "", "SVG file to draw")
	flags.StringSliceVar(&columns, "columns", []string{"LeaderCore"}, "columns to draw")
	return command
}
