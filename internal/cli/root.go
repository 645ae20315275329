package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/adminclient"
)

// Version is the version of the program.
const Version = "0.1.0"

// options are the flags that the operator's commands share.
type options struct {
	control []string
	timeout time.Duration
	format  string
	author  string
}

func (o *options) client() *adminclient.Client { return adminclient.New(o.control, o.timeout) }

const defaultTimeout = 10 * time.Second

// NewRoot returns the beamdoor command.
func NewRoot() *cobra.Command {
	shared := &options{}
	root := &cobra.Command{
		Use:           "beamdoor",
		Short:         "A layer-4 load balancer that shows why a flow went where it did",
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Example: `  beamdoor check service.yaml
  beamdoor --control 127.0.0.1:7301 apply -f service.yaml
  beamdoor --control 127.0.0.1:7301 status`,
		PersistentPreRunE: func(*cobra.Command, []string) error { return shared.check() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &ExitError{Code: ExitUsage, Cause: err}
	})
	flags := root.PersistentFlags()
	flags.StringSliceVar(&shared.control, "control", []string{"127.0.0.1:7301"}, "administration addresses of the control members")
	flags.DurationVar(&shared.timeout, "timeout", defaultTimeout, "longest time for a command")
	flags.StringVarP(&shared.format, "output", "o", formatTable, "output format: table, json or yaml")
	flags.StringVar(&shared.author, "author", os.Getenv("USER"), "name that the history shows for a write")
	root.AddCommand(controlCommand(), balancerCommand(), checkCommand(), policyCommand(), dataCommand())
	root.AddCommand(applyCommand(shared), drainCommand(shared, true), drainCommand(shared, false))
	root.AddCommand(joinCommand(shared), leaveCommand(shared), memberCommand(shared), backupCommand(shared))
	root.AddCommand(getCommand(shared), listCommand(shared), historyCommand(shared), statusCommand(shared))
	root.AddCommand(traceCommand(shared), watchCommand(shared), explainCommand(shared))
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
