package standin

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

// defaultBlock differs from block 0 of the demo, so that both can run at once.
const defaultBlock = 30

// soakOptions are the flags of the soak command.
type soakOptions struct {
	settings Settings
	seed     uint64
	minutes  float64
	setup    string
	kinds    string
	report   string
	keep     bool
	plant    string
}

// NewSoakCommand returns the command that injects random faults into real processes.
func NewSoakCommand() *cobra.Command {
	var o soakOptions
	command := &cobra.Command{
		Use:   "soak",
		Short: "Inject random faults into real processes and check the rules",
		Long: `Starts edges and members as separate processes on loopback, with routers,
targets, callers and an operator around them, injects the faults of a seed and
stops the processes. Exits with 1 if a rule was broken. The program must
be built with the tag "soak"; make soak does so.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	flags := command.Flags()
	flags.StringVar(&o.settings.Program, "program", "bin/beamdoor-node-soak", "the program of edges and members, built with the tag soak")
	flags.IntVar(&o.settings.Block, "block", defaultBlock, "second octet of all addresses, so that soaks run side by side: 0 to 255")
	flags.Uint64Var(&o.seed, "seed", 0, "seed of the schedule; 0 draws one")
	flags.Float64Var(&o.minutes, "minutes", 3, "length in minutes")
	flags.StringVar(&o.setup, "setup", "small", "fleet: small, wide, beats, where nodes take heartbeats, or tolerant, with five members")
	flags.StringVar(&o.kinds, "kinds", "", "kinds of faults, separated by commas; all if empty")
	flags.StringVar(&o.report, "report", "", "folder for the report")
	flags.BoolVar(&o.keep, "keep", false, "keep settings, data and logs also when nothing was broken")
	flags.StringVar(&o.plant, "plant", "", "inject a defect that breaks this rule")
	return command
}

// validate checks the flags and returns the selected setup.
func (o *soakOptions) validate() (Setup, error) {
	setup, known := Setups[o.setup]
	switch {
	case !known:
		return setup, fmt.Errorf("--setup: %q: must be small, wide, beats or tolerant", o.setup)
	case o.minutes <= 0:
		return setup, fmt.Errorf("--minutes: %v: must be above 0", o.minutes)
	case o.settings.Block < 0 || o.settings.Block > 255:
		return setup, fmt.Errorf("--block: %d: must be 0 to 255", o.settings.Block)
	}
	if _, err := os.Stat(o.settings.Program); err != nil {
		return setup, fmt.Errorf("--program: %w", err)
	}
	return setup, nil
}

func (o *soakOptions) run(cmd *cobra.Command) error {
	setup, err := o.validate()
	if err != nil {
		return err
	}
	if o.seed == 0 {
		o.seed = 1 + rand.Uint64N(1_000_000_000)
	}
	if o.settings.Folder, err = os.MkdirTemp("", "beamdoor-soak-"); err != nil {
		return err
	}
	var text bytes.Buffer
	out := io.MultiWriter(cmd.OutOrStdout(), &text)
	fmt.Fprintf(out, "seed %d, set-up %s, logs in %s\n", o.seed, o.setup, o.settings.Folder)
	result, err := o.play(cmd, setup, out)
	result.Write(out)
	return o.end(result, err, text.Bytes())
}

func (o *soakOptions) play(cmd *cobra.Command, setup Setup, out io.Writer) (soak.Result, error) {
	played, err := NewSoak(o.settings, setup)
	if err != nil {
		return soak.Result{}, err
	}
	defer played.Close()
	world := played.World()
	kinds, err := soak.ChooseKinds(o.kinds, world.AllKinds())
	if err != nil {
		return soak.Result{}, err
	}
	if o.plant != "" {
		if err := played.InjectDefect(flowrules.Rule(o.plant)); err != nil {
			return soak.Result{}, err
		}
	}
	length := time.Duration(o.minutes * float64(time.Minute))
	ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer cancel()
	return soak.Run(ctx, world, soak.Options{Seed: o.seed, Length: length, Kinds: kinds, Out: out})
}

// end writes the report file and, after a clean run, removes the fleet's folder unless it is
// to be kept.
func (o *soakOptions) end(result soak.Result, err error, text []byte) error {
	if o.report != "" {
		name := filepath.Join(o.report, fmt.Sprintf("soak-%d.txt", o.seed))
		if writeErr := os.MkdirAll(o.report, 0o750); writeErr != nil {
			return writeErr
		}
		if writeErr := os.WriteFile(name, text, 0o600); writeErr != nil {
			return writeErr
		}
	}
	switch {
	case err != nil:
		return fmt.Errorf("seed %d: %w", o.seed, err)
	case result.Broken():
		return fmt.Errorf("seed %d: %d breaches of the rules, %d requests served", o.seed, result.Report.Broken, result.Report.Served)
	case o.keep:
		return nil
	}
	return os.RemoveAll(o.settings.Folder)
}
