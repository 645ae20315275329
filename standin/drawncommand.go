package standin

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/beamdoor/beamdoor/internal/lab/drawn"
	"github.com/beamdoor/beamdoor/internal/lab/fleetsim"
	"github.com/beamdoor/beamdoor/internal/lab/seedspan"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

// drawnOptions are the flags of the drawn command.
type drawnOptions struct {
	seeds     string
	processes bool
	program   string
	block     int
	length    time.Duration
	jobs      int
}

// drawnRun is the result of one deployment.
type drawnRun struct {
	text   string
	broken int
}

// NewDrawnCommand returns the command that runs randomly generated deployments.
func NewDrawnCommand() *cobra.Command {
	var o drawnOptions
	command := &cobra.Command{
		Use:   "drawn",
		Short: "Run randomly generated deployments and check the rules",
		Long: `Draws a deployment for each seed (zones, nodes, members, tolerance, targets, loss)
and runs it with faults, in the simulator or with real processes. The last line
gives the number that broke a rule; the exit status is 1 if any did.`,
		Example: "  beamdoor-lab drawn --seeds 1-200\n  beamdoor-lab drawn --processes --seeds 1-20",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	flags := command.Flags()
	flags.StringVar(&o.seeds, "seeds", "1-20", "seeds, as A or A-B")
	flags.BoolVar(&o.processes, "processes", false, "run real processes, one deployment after the other")
	flags.StringVar(&o.program, "program", "bin/beamdoor-node-soak", "the program of nodes and members, built with the tag soak")
	flags.IntVar(&o.block, "block", defaultBlock, "second octet of all addresses: 0 to 255")
	flags.DurationVar(&o.length, "length", 20*time.Second, "length of a run of real processes")
	flags.IntVar(&o.jobs, "jobs", 4, "simulated deployments at a time")
	return command
}

func (o *drawnOptions) validate() error {
	switch {
	case o.jobs < 1:
		return fmt.Errorf("--jobs: %d: must be above 0", o.jobs)
	case o.length <= 0:
		return fmt.Errorf("--length: %v: must be above 0", o.length)
	case o.block < 0 || o.block > 255:
		return fmt.Errorf("--block: %d: must be 0 to 255", o.block)
	}
	if _, err := os.Stat(o.program); o.processes && err != nil {
		return fmt.Errorf("--program: %w", err)
	}
	return nil
}

func (o *drawnOptions) run(cmd *cobra.Command) error {
	first, last, err := seedspan.Parse(o.seeds)
	if err == nil {
		err = o.validate()
	}
	if err != nil {
		return err
	}
	play, jobs := simulateDrawn, o.jobs
	if o.processes {
		play = func(seed uint64) (drawnRun, error) { return o.playProcesses(cmd, seed) }
		jobs = 1
	}
	runs, err := playAll(first, last, jobs, play)
	if err != nil {
		return err
	}
	return reportDrawn(cmd.OutOrStdout(), runs)
}

// playAll runs the seeds with up to jobs at a time and returns the results in seed order.
func playAll(first, last uint64, jobs int, play func(seed uint64) (drawnRun, error)) ([]drawnRun, error) {
	runs := make([]drawnRun, last-first+1)
	var group errgroup.Group
	group.SetLimit(jobs)
	for position := range runs {
		group.Go(func() error {
			played, err := play(first + uint64(position))
			runs[position] = played
			return err
		})
	}
	return runs, group.Wait()
}

// reportDrawn writes each result and a summary, and returns an error if a rule was broken.
func reportDrawn(out io.Writer, runs []drawnRun) error {
	failed := 0
	for _, played := range runs {
		fmt.Fprintln(out, played.text)
		if played.broken > 0 {
			failed++
		}
	}
	fmt.Fprintf(out, "%d deployments played, %d broke a rule\n", len(runs), failed)
	if failed > 0 {
		return fmt.Errorf("%d of %d deployments broke a rule", failed, len(runs))
	}
	return nil
}

func simulateDrawn(seed uint64) (drawnRun, error) {
	deployment := drawn.Draw(seed)
	if err := deployment.Validate(); err != nil {
		return drawnRun{}, fmt.Errorf("seed %d: %w", seed, err)
	}
	world := fleetsim.New(deployment)
	report := world.Run()
	played := drawnRun{broken: report.Broken}
	played.text = fmt.Sprintf("seed %d, %s: %s: %d of %d served, %d breaches", seed, drawn.SizeOf(seed), drawn.Describe(deployment),
		report.Served, report.Asked, report.Broken)
	for _, breach := range report.Breaches {
		played.text += "\n  " + breach.String()
	}
	if report.Broken > 0 {
		played.text += "\n  " + strings.Join(world.Log(), "\n  ")
	}
	return played, nil
}

// playProcesses runs a deployment as real processes, scaled down to fit one machine.
func (o *drawnOptions) playProcesses(cmd *cobra.Command, seed uint64) (drawnRun, error) {
	folder, err := os.MkdirTemp("", "beamdoor-drawn-")
	if err != nil {
		return drawnRun{}, err
	}
	setup := setupOf(drawn.Draw(seed))
	played, err := NewSoak(Settings{Program: o.program, Folder: folder, Hash: HashRendezvous, Block: o.block}, setup)
	if err != nil {
		return drawnRun{}, fmt.Errorf("seed %d: %w", seed, err)
	}
	defer played.Close()
	world := played.World()
	result, err := soak.Run(cmd.Context(), world, soak.Options{Seed: seed, Length: o.length, Kinds: world.AllKinds(), Out: io.Discard})
	if err != nil {
		return drawnRun{}, fmt.Errorf("seed %d, logs in %s: %w", seed, folder, err)
	}
	run := drawnRun{broken: result.Report.Broken}
	run.text = fmt.Sprintf("seed %d, %s: %+v: %d of %d served, %d breaches", seed, drawn.SizeOf(seed), setup,
		result.Report.Served, result.Report.Asked, result.Report.Broken)
	if !result.Broken() {
		return run, os.RemoveAll(folder)
	}
	for _, breach := range result.Report.Breaches {
		run.text += "\n  " + breach.String()
	}
	run.text += "\n  logs in " + folder
	return run, nil
}

// Limits for one fleet of real processes on one machine.
const (
	maxEdges   = 36
	maxTargets = 60
	maxCallers = 24
)

// setupOf scales a drawn deployment to a fleet of real processes.
func setupOf(deployment fleetsim.Settings) Setup {
	targets := min(deployment.Targets, maxTargets)
	documents := max(1, targets/4)
	return Setup{
		Edges:     min(deployment.Edges, maxEdges),
		Boards:    max(2, targets-documents),
		Documents: documents,
		Callers:   min(deployment.Callers, maxCallers),
		Tolerance: deployment.Tolerance,
	}
}
