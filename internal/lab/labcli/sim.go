package labcli

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/seedspan"
	"github.com/beamdoor/beamdoor/internal/lab/sim"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// simFlags are the flags of the sim command.
type simFlags struct {
	setup    string
	scenario string
	seeds    string
	scheme   string
	disabled []string
	trace    string
	report   string
	parallel int
}

func simCommand() *cobra.Command {
	flags := simFlags{}
	command := &cobra.Command{
		Use:   "sim",
		Short: "Simulate the whole system on a virtual clock and check the rules",
		Example: "  beamdoor-lab sim --scenario all --seeds 1-20\n" +
			"  beamdoor-lab sim --scenario kill-balancer --seeds 7 --trace trace.txt\n" +
			"  beamdoor-lab sim --scenario drain --scheme routing.scheme.hash",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runSim(cmd.OutOrStdout(), flags) },
	}
	set := command.Flags()
	set.StringVar(&flags.setup, "setup", "patitas", "set-up: patitas or perth")
	set.StringVar(&flags.scenario, "scenario", "all", "name of a scenario, or all")
	set.StringVar(&flags.seeds, "seeds", "1", "seeds, as A or A-B")
	set.StringVar(&flags.scheme, "scheme", string(routing.DefaultScheme), "routing scheme")
	set.StringSliceVar(&flags.disabled, "disable", nil, "mechanisms to go without")
	set.StringVar(&flags.trace, "trace", "", "file for the whole trace of the last run")
	set.StringVar(&flags.report, "report", "", "folder for a page with plots of the first seed of each scenario")
	set.IntVar(&flags.parallel, "parallel", runtime.NumCPU(), "runs at the same time")
	command.AddCommand(simListCommand())
	return command
}

func simListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List scenarios, mechanisms and schemes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			for _, scenario := range sim.Scenarios() {
				fmt.Fprintf(table, "scenario\t%s\t%s\n", scenario.Name, scenario.Purpose)
			}
			for _, named := range sim.MechanismNames() {
				fmt.Fprintf(table, "mechanism\t%s\t%s\n", named[0], named[1])
			}
			for _, name := range kernel.Names("routing.scheme") {
				fmt.Fprintf(table, "scheme\t%s\t\n", name)
			}
			return table.Flush()
		},
	}
}

// scenarioSummary adds up the results of one scenario.
type scenarioSummary struct {
	runs, failed                  int
	flows, broken                 int
	done, unknown, notRun, silent int
	imbalance, bytes              float64
	inForce                       time.Duration
	leaderless                    time.Duration
	rules                         map[string]int
	failures                      []sim.Result
}

func runSim(out io.Writer, flags simFlags) error {
	first, last, err := seedspan.Parse(flags.seeds)
	if err != nil {
		return err
	}
	names := []string{flags.scenario}
	if flags.scenario == "all" {
		names = nil
		for _, scenario := range sim.Scenarios() {
			names = append(names, scenario.Name)
		}
	}
	var all []sim.Options
	for _, name := range names {
		for seed := first; seed <= last; seed++ {
			all = append(all, sim.Options{
				Setup:    flags.setup,
				Scenario: name,
				Seed:     seed,
				Scheme:   kernel.PluginID(flags.scheme),
				Disabled: flags.disabled,
				Trace:    flags.trace != "",
			})
		}
	}
	results, err := runAll(all, flags.parallel)
	if err != nil {
		return err
	}
	if flags.trace != "" {
		lines := strings.Join(results[len(results)-1].Trace, "\n") + "\n"
		if err := os.WriteFile(flags.trace, []byte(lines), 0o640); err != nil {
			return steperror.Wrap("lab.sim", flags.trace, err)
		}
	}
	if flags.report != "" {
		if err := writeReport(flags.report, results); err != nil {
			return err
		}
	}
	return writeSummaries(out, names, results)
}

// runAll runs all options, some at the same time, and returns the results in
// their order.
func runAll(all []sim.Options, parallel int) ([]sim.Result, error) {
	results := make([]sim.Result, len(all))
	errs := make([]error, len(all))
	work := ring.New[int](len(all))
	for i := range all {
		work.TryPush(i)
	}
	work.Close()
	var group sync.WaitGroup
	for range parallel {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				i, open := work.Pop()
				if !open {
					return
				}
				results[i], errs[i] = sim.Run(all[i])
			}
		}()
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

func summarize(results []sim.Result) map[string]*scenarioSummary {
	summaries := map[string]*scenarioSummary{}
	for _, result := range results {
		summary := summaries[result.Scenario]
		if summary == nil {
			summary = &scenarioSummary{rules: map[string]int{}}
			summaries[result.Scenario] = summary
		}
		summary.add(result)
	}
	return summaries
}

func (s *scenarioSummary) add(result sim.Result) {
	s.runs++
	s.flows += result.Flows
	s.broken += result.Broken
	s.done += result.Done
	s.unknown += result.Unknown
	s.notRun += result.NotRun
	s.silent += result.NoAnswer
	s.imbalance += result.Imbalance
	s.bytes = max(s.bytes, result.ControlBytes)
	s.inForce = max(s.inForce, result.InForce)
	s.leaderless = max(s.leaderless, result.Leaderless)
	if len(result.Violations) > 0 {
		s.failed++
		s.failures = append(s.failures, result)
	}
	for _, rule := range result.Rules() {
		s.rules[rule]++
	}
}

const (
	shownFailures = 3
	shownRules    = 5
)

func writeSummaries(out io.Writer, names []string, results []sim.Result) error {
	summaries := summarize(results)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "SCENARIO\tRUNS\tFAILED\tFLOWS\tBROKEN\tDONE\tNOT RUN\tUNKNOWN\tNO ANSWER\tIMBALANCE\tCONTROL B/S\tIN FORCE\tLEADERLESS")
	failed := 0
	for _, name := range names {
		s := summaries[name]
		failed += s.failed
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%s\t%s\n", name, s.runs, s.failed, s.flows, s.broken,
			s.done, s.notRun, s.unknown, s.silent, s.imbalance/float64(s.runs), s.bytes, s.inForce.Round(time.Millisecond), s.leaderless.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, name := range names {
		writeFailures(out, name, summaries[name])
	}
	if failed > 0 {
		return steperror.New("lab.sim", "", fmt.Sprintf("%d of %d runs broke a rule", failed, len(results)))
	}
	return nil
}

func writeFailures(out io.Writer, name string, s *scenarioSummary) {
	if s.failed == 0 {
		return
	}
	fmt.Fprintf(out, "\n%s: %v\n", name, s.rules)
	for i, result := range s.failures {
		if i == shownFailures {
			fmt.Fprintf(out, "  ... and %d more seeds\n", len(s.failures)-i)
			return
		}
		fmt.Fprintf(out, "  seed %d\n", result.Seed)
		for j, violation := range result.Violations {
			if j == shownRules {
				fmt.Fprintf(out, "    ... and %d more\n", len(result.Violations)-j)
				break
			}
			fmt.Fprintf(out, "    BROKEN %s: %s\n", violation.Rule, violation.Detail)
		}
	}
}
