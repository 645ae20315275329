package cli

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/config"
	"github.com/beamdoor/beamdoor/internal/control"
	"github.com/beamdoor/beamdoor/internal/policy"
	"github.com/beamdoor/beamdoor/internal/settings"
	"github.com/beamdoor/beamdoor/internal/store"
	"github.com/beamdoor/beamdoor/internal/wal"
)

// Values of check --kind.
const (
	kindConfig   = "config"
	kindControl  = "control"
	kindBalancer = "balancer"
	kindPolicy   = "policy"
)

func checkCommand() *cobra.Command {
	kind := kindConfig
	command := &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate configurations, settings and policy programs offline",
		Example: `  beamdoor check service.yaml
  beamdoor check --kind balancer balancer-1.yaml
  beamdoor check --kind policy night.star`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var failures []error
			for _, file := range files {
				if err := checkFile(kind, file); err != nil {
					failures = append(failures, err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
			}
			if len(failures) > 0 {
				return &ExitError{Code: ExitUsage, Cause: errors.Join(failures...)}
			}
			return nil
		},
	}
	command.Flags().StringVar(&kind, "kind", kindConfig, "kind of the files: config, control, balancer or policy")
	return command
}

func checkFile(kind, file string) error {
	var err error
	switch kind {
	case kindConfig:
		_, err = config.Load(file)
	case kindControl:
		_, err = settings.LoadControl(file, nil)
	case kindBalancer:
		_, err = settings.LoadBalancer(file, nil)
	case kindPolicy:
		_, err = loadPolicy(file)
	default:
		err = usageError("--kind: %q: must be config, control, balancer or policy", kind)
	}
	return err
}

// loadPolicy compiles a policy program from a file or a built-in one.
func loadPolicy(name string) (*policy.Program, error) {
	if strings.HasPrefix(name, policy.BuiltinPrefix) {
		source, err := policy.Builtin(name)
		if err != nil {
			return nil, err
		}
		return policy.Compile(name, source)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return policy.Compile(name, string(data))
}

func policyCommand() *cobra.Command {
	parent := &cobra.Command{Use: "policy", Short: "Test and list policy programs"}
	var samples string
	test := &cobra.Command{
		Use:   "test PROGRAM",
		Short: "Run a policy program on samples and show what it decides",
		Long:  "Run a policy program on samples and show what it decides. PROGRAM is a file or the name of a built-in one.",
		Example: `  beamdoor policy test builtin/least-load --samples samples.yaml
  beamdoor policy test night.star --samples samples.yaml`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			program, err := loadPolicy(args[0])
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
			}
			list, err := loadSamples(samples)
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
			}
			shown := &table{header: []string{"TARGET", "WEIGHT", "LEAVE ALONE"}}
			for _, sample := range list {
				weight, reason, err := evaluateSample(program, sample)
				if err != nil {
					return err
				}
				shown.add(sample.Name, weight, reason)
			}
			return shown.write(cmd.OutOrStdout())
		},
	}
	test.Flags().StringVar(&samples, "samples", "", "file with samples (YAML list)")
	_ = test.MarkFlagRequired("samples")
	list := &cobra.Command{
		Use:   "list",
		Short: "List the built-in policy programs",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, name := range policy.BuiltinNames() {
				fmt.Fprintln(cmd.OutOrStdout(), name)
			}
		},
	}
	parent.AddCommand(test, list)
	return parent
}

func loadSamples(file string) ([]policy.Sample, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	collector := &config.Collector{File: file}
	var list []policy.Sample
	config.DecodeStrict(collector, data, &list)
	return list, collector.Err()
}

func evaluateSample(program *policy.Program, sample policy.Sample) (weight, reason string, err error) {
	weight, reason = "-", "-"
	if program.DefinesWeight() {
		value, err := program.Weight(sample)
		if err != nil {
			return "", "", err
		}
		weight = fmt.Sprint(value)
	}
	if program.DefinesLeaveAlone() {
		if reason, err = program.ExclusionReason(sample); err != nil {
			return "", "", err
		}
		if reason == "" {
			reason = "no"
		}
	}
	return weight, reason, nil
}

func dataCommand() *cobra.Command {
	parent := &cobra.Command{Use: "data", Short: "Verify or restore the data folder of a stopped control member"}
	verify := &cobra.Command{
		Use:     "verify FOLDER",
		Short:   "Check a data folder without changing it and report its state",
		Example: "  beamdoor data verify /var/lib/beamdoor/control-1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := os.Stat(args[0]); err != nil {
				return &ExitError{Code: ExitNotFound, Cause: err}
			}
			return verifyFolder(cmd, args[0])
		},
	}
	parent.AddCommand(verify, restoreCommand())
	return parent
}

func restoreCommand() *cobra.Command {
	member := &beamdoorv1.Member{}
	var backup string
	command := &cobra.Command{
		Use:   "restore FOLDER",
		Short: "Restore a backup into an empty data folder, as the first member of a new group",
		Long: `Restore a backup into an empty data folder, as the first and only member of a new
group. Start it without bootstrap and add the other members. Changes accepted
after the backup are lost; their revisions and IDs are not reused.`,
		Example: "  beamdoor data restore --backup beamdoor.state --id 11 --peer 10.0.0.1:7100 --nodes 10.0.0.1:7200 --admin 10.0.0.1:7300 /var/lib/beamdoor",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if member.Id == 0 || member.Peer == "" || member.Nodes == "" || member.Admin == "" {
				return usageError("--id, --peer, --nodes and --admin are required")
			}
			data, err := os.ReadFile(backup)
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
			}
			folder, err := wal.OpenDir(args[0])
			if err != nil {
				return err
			}
			revision, err := control.RestoreFolder(folder, rand.Uint64, member, data)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "restored as revision %d\n", revision)
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&backup, "backup", "", "file made by beamdoor backup")
	flags.Uint32Var(&member.Id, "id", 0, "number of the member, never used before")
	flags.StringVar(&member.Peer, "peer", "", "TCP address for the other members")
	flags.StringVar(&member.Nodes, "nodes", "", "TCP address for balancers")
	flags.StringVar(&member.Admin, "admin", "", "HTTP address of the administration API")
	return command
}

func verifyFolder(cmd *cobra.Command, path string) error {
	folder, err := wal.OpenDir(path)
	if err != nil {
		return err
	}
	restored, report, err := wal.Verify(folder)
	if err != nil {
		return err
	}
	revision := uint64(0)
	if len(restored.Snapshot.Data) > 0 {
		state, err := store.Decode(restored.Snapshot.Data, store.Options{})
		if err != nil {
			return err
		}
		revision = state.Revision()
	}
	summary := map[string]any{
		"segments":          report.Segments,
		"records":           report.Records,
		"torn_bytes":        report.TornBytes,
		"term":              restored.HardState.Term,
		"snapshot_index":    restored.Snapshot.Index,
		"snapshot_revision": revision,
		"entries":           len(restored.Entries),
		"voters":            restored.Snapshot.Membership.Voters,
	}
	return yaml.NewEncoder(cmd.OutOrStdout()).Encode(summary)
}
