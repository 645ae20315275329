// Command beamdoor-node runs the processes of a token-routed deployment on the
// users' platform: the nodes between callers and targets, and the control
// members.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/platform"
)

// Exit codes of the command.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(execute(newRoot(), os.Stderr)) }

// execute runs a command and returns its exit code. Errors in flags, arguments and
// settings give exitUsage.
func execute(root *cobra.Command, out io.Writer) int {
	begun := false
	root.PersistentPreRun = func(*cobra.Command, []string) { begun = true }
	err := root.Execute()
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(out, "beamdoor-node:", err)
	if !begun || isProblem(err) {
		return exitUsage
	}
	return exitFailure
}

// isProblem reports whether an error is a validation error, such as of the settings.
func isProblem(err error) bool {
	var problem *directory.Problem
	return errors.As(err, &problem)
}

func newRoot() *cobra.Command {
	var file string
	root := &cobra.Command{
		Use:           "beamdoor-node",
		Short:         "Run beamdoor's nodes and control members on the users' platform",
		Long:          "Exit codes: 0 done, 1 failed, 2 wrong usage or settings.",
		Example:       "  beamdoor-node check edge --settings local.toml\n  beamdoor-node edge --settings local.toml",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&file, "settings", platform.SettingsFile(), "settings file of the platform (TOML)")
	root.AddCommand(
		roleCommand(platform.RoleEdge, "Run a node between callers and targets", &file, platform.RunEdge),
		roleCommand(platform.RoleMember, "Run a control member", &file, platform.RunMember),
		checkCommand(&file),
		versionCommand(func() ([]string, error) { return seeds(file) }),
		explainCommand(),
		spreadCommand(),
		evacuationCommand(func() ([]string, error) { return seeds(file) }),
		targetCommand(func() ([]string, error) { return seeds(file) }),
	)
	return root
}

// seeds returns the control members in a settings file of either role.
func seeds(file string) ([]string, error) {
	settings, err := platform.ReadSettings(file, platform.RoleMember)
	if err != nil {
		settings, err = platform.ReadSettings(file, platform.RoleEdge)
	}
	return settings.Seeds(), err
}

func roleCommand(role platform.Role, short string, file *string, run func(context.Context, string) error) *cobra.Command {
	var profilePort uint16
	command := &cobra.Command{
		Use:     string(role),
		Short:   short,
		Example: fmt.Sprintf("  beamdoor-node %[1]s --settings local.toml\n  beamdoor-node %[1]s --profile-port 6060   # then: go tool pprof http://127.0.0.1:6060/debug/pprof/heap", role),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := hosting.ServeProfiles(profilePort); err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return run(ctx, *file)
		},
	}
	command.Flags().Uint16Var(&profilePort, "profile-port", 0, "serve the profiles of the process (pprof) on 127.0.0.1 at this port; 0 serves none")
	return command
}

func checkCommand(file *string) *cobra.Command {
	return &cobra.Command{
		Use:       "check ROLE",
		Short:     "Check the settings file for a role (edge or member) and start nothing",
		Long:      "Names every mistake in a line of its own, with field, value and reason, and ends with code 2.",
		Example:   "  beamdoor-node check edge --settings local.toml\n  beamdoor-node check member --settings local.toml",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{string(platform.RoleEdge), string(platform.RoleMember)},
		RunE: func(cmd *cobra.Command, arguments []string) error {
			settings, err := platform.ReadSettings(*file, platform.Role(arguments[0]))
			var check directory.Check
			check.Add(err)
			check.Add(settings.CheckLayout())
			if err := check.Err(); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "settings are right")
			return err
		},
	}
}
