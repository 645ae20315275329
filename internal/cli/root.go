package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/adminclient"
)

// Version is the version that --version prints.
const Version = "0.1.0"

// options holds the persistent flags of the commands that call the API.
type options struct {
	control []string
	timeout time.Duration
	format  string
	author  string
}

func (o *options) client() *adminclient.Client { return adminclient.New(o.control, o.timeout) }

const defaultTimeout = 10 * time.Second

// NewRoot returns the root command with all subcommands.
func NewRoot() *cobra.Command {
	opts := &options{}
	root := &cobra.Command{
		Use:           "beamdoor",
		Short:         "A layer-4 load balancer that shows why a flow went where it did",
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Example: `  beamdoor check service.yaml
  beamdoor --control 127.0.0.1:7301 apply -f service.yaml
  beamdoor --control 127.0.0.1:7301 status`,
		PersistentPreRunE: func(*cobra.Command, []string) error { return opts.check() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &ExitError{Code: ExitUsage, Cause: err}
	})
	flags := root.PersistentFlags()
	flags.StringSliceVar(&opts.control, "control", []string{"127.0.0.1:7301"}, "administration addresses of the control members")
	flags.DurationVar(&opts.timeout, "timeout", defaultTimeout, "timeout of a command")
	flags.StringVarP(&opts.format, "output", "o", formatTable, "output format: table, json or yaml")
	flags.StringVar(&opts.author, "author", os.Getenv("USER"), "author of a write in the history")
	root.AddCommand(controlCommand(), balancerCommand(), checkCommand(), policyCommand(), dataCommand())
	root.AddCommand(applyCommand(opts), drainCommand(opts, true), drainCommand(opts, false))
	root.AddCommand(joinCommand(opts), leaveCommand(opts), memberCommand(opts), backupCommand(opts))
	root.AddCommand(getCommand(opts), listCommand(opts), historyCommand(opts), statusCommand(opts))
	root.AddCommand(traceCommand(opts), watchCommand(opts), explainCommand(opts))
	return root
}

func (o *options) check() error {
	switch o.format {
	case formatTable, formatJSON, formatYAML:
	default:
		return usageError("--output: %q: must be table, json or yaml", o.format)
	}
	if o.timeout <= 0 {
		return usageError("--timeout: %s: must be longer than 0", o.timeout)
	}
	if len(o.control) == 0 {
		return usageError("--control: must name at least one address")
	}
	return nil
}

func usageError(format string, values ...any) error {
	return &ExitError{Code: ExitUsage, Cause: fmt.Errorf(format, values...)}
}
