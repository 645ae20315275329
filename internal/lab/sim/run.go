package sim

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/beamdoor/beamdoor/internal/control"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/report"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Mechanisms are all mechanisms that a run can go without.
type Mechanisms struct {
	Routing routing.Mechanisms
	Control control.Mechanisms
	// SkipSync acknowledges before the disk has it.
	SkipSync bool
	// NoServiceCheck lets targets serve packets of other services.
	NoServiceCheck bool
}

// mechanism is one that can be switched off by name.
type mechanism struct {
	name    string
	purpose string
	disable func(*Mechanisms)
}

var mechanisms = []mechanism{
	{"decision-point", "one balancer decides on each request that may not be repeated", func(m *Mechanisms) { m.Routing.NoDecisionPoint = true }},
	{"backup-record", "the backup records a request before its target sees it", func(m *Mechanisms) { m.Routing.NoBackupRecord = true }},
	{"history-check", "a new owner gives no word on requests that it has no records of", func(m *Mechanisms) { m.Routing.NoHistoryCheck = true }},
	{"balancer-lease", "a balancer decides only under a lease on its own clock", func(m *Mechanisms) { m.Routing.NoLeaseCheck = true }},
	{"view-check", "primary and backup work together only in the same view", func(m *Mechanisms) { m.Routing.NoViewCheck = true }},
	{"service-check", "service and incarnation travel with each packet, and targets and balancers check them", func(m *Mechanisms) {
		m.NoServiceCheck = true
		m.Routing.NoTagCheck = true
	}},
	{"consult", "a new owner asks the others before it places a flow anew", func(m *Mechanisms) { m.Routing.NoConsult = true }},
	{"handover", "records are handed to a new member of a pair", func(m *Mechanisms) { m.Routing.NoHandover = true }},
	{"drain", "leaving targets get no new flow", func(m *Mechanisms) { m.Routing.NoDrain = true }},
	{"retry-rule", "only what a target itself refused is tried elsewhere", func(m *Mechanisms) { m.Routing.UnsafeRetry = true }},
	{"lease-wait", "a silent balancer stays in the view until its lease has run out", func(m *Mechanisms) { m.Control.NoLeaseWait = true }},
	{"stall-check", "a leader that was stopped gives balancers time to report", func(m *Mechanisms) { m.Control.NoStallCheck = true }},
	{"peer-health", "peers without a sign of life are passed round", func(m *Mechanisms) { m.Routing.NoPeerHealth = true }},
	{"leader-lease", "a leader grants and answers only with a quorum's support", func(m *Mechanisms) { m.Control.NoLeaderLease = true }},
	{"pre-vote", "a member asks before it raises its term", func(m *Mechanisms) { m.Control.Raft.NoPreVote = true; m.Control.Raft.NoStickiness = true }},
	{"check-quorum", "a leader without a quorum steps down", func(m *Mechanisms) { m.Control.Raft.NoCheckQuorum = true }},
	{"disk-identity", "a member that lost its disk is not listened to", func(m *Mechanisms) { m.Control.Raft.NoIdentityCheck = true }},
	{"sync", "a write is acknowledged after it is synced", func(m *Mechanisms) { m.SkipSync = true }},
	{"request-identity", "a repeated write gets its first answer", func(m *Mechanisms) { m.Control.Store.NoRequestDeduplication = true }},
	{"compare-and-set", "a write names the revision it is based on", func(m *Mechanisms) { m.Control.Store.NoCompareAndSet = true }},
}

// MechanismNames returns the names of all mechanisms with their purpose.
func MechanismNames() [][2]string {
	var list [][2]string
	for _, known := range mechanisms {
		list = append(list, [2]string{known.name, known.purpose})
	}
	return list
}

// Options choose one run.
type Options struct {
	Setup    string
	Scenario string
	Seed     uint64
	Scheme   kernel.PluginID
	// Disabled names the mechanisms to go without.
	Disabled []string
	// Trace keeps all lines instead of the last.
	Trace bool

	mechanisms Mechanisms
}

// Result is what came of one run.
type Result struct {
	Scenario     string
	Seed         uint64
	Violations   []report.Violation
	Flows        int
	Broken       int
	Imbalance    float64
	ControlBytes float64
	InForce      time.Duration
	// Leaderless is the longest time from the death of a control leader until
	// another one took writes.
	Leaderless time.Duration
	Done       int
	Unknown    int
	NotRun     int
	NoAnswer   int
	FlowsHeld  int
	Operations []Operation
	Series     []Sample
	Trace      []string
}

// Rules returns the names of the broken rules, each once, in order.
func (r Result) Rules() []string {
	seen := map[string]bool{}
	var names []string
	for _, violation := range r.Violations {
		if !seen[violation.Rule] {
			seen[violation.Rule] = true
			names = append(names, violation.Rule)
		}
	}
	sort.Strings(names)
	return names
}

// Run simulates one scenario with one seed.
func Run(options Options) (Result, error) {
	const step = "sim.run"
	setup, err := findSetup(options.Setup)
	if err != nil {
		return Result{}, err
	}
	scenario, err := findScenario(options.Scenario)
	if err != nil {
		return Result{}, err
	}
	if options.Scheme == "" {
		options.Scheme = routing.DefaultScheme
	}
	if _, err := kernel.New(options.Scheme); err != nil {
		return Result{}, steperror.Wrap(step, "", err)
	}
	for _, name := range options.Disabled {
		if err := disable(&options.mechanisms, name); err != nil {
			return Result{}, err
		}
	}
	plan := defaultPlan()
	if scenario.tune != nil {
		scenario.tune(&plan)
	}
	world := newWorld(options, setup, plan)
	world.run(scenario)
	return world.result(options), nil
}

func findSetup(name string) (Setup, error) {
	var known []string
	for _, setup := range Setups() {
		if setup.Name == name || name == "" {
			return setup, nil
		}
		known = append(known, setup.Name)
	}
	return Setup{}, steperror.New("sim.run", "", fmt.Sprintf("no set-up %q; known: %s", name, strings.Join(known, ", ")))
}

func disable(all *Mechanisms, name string) error {
	var known []string
	for _, candidate := range mechanisms {
		if candidate.name == name {
			candidate.disable(all)
			return nil
		}
		known = append(known, candidate.name)
	}
	return steperror.New("sim.run", "", fmt.Sprintf("no mechanism %q; known: %s", name, strings.Join(known, ", ")))
}

const (
	// configureAt is when the first configuration is applied, loadAt when load
	// begins, and faultsAt when the scenario's faults begin.
	configureAt = 4 * time.Second
	loadAt      = 5 * time.Second
	faultsAt    = 9 * time.Second
)

func (w *World) run(scenario Scenario) {
	w.build()
	w.fabric.follow()
	w.clock.After(configureAt, func() { w.configure(scenario) })
	end := loadAt + w.plan.Length
	w.clock.After(end, func() { w.stopping = true })
	w.clock.After(100*time.Millisecond, w.watchWrites)
	w.clock.After(sampleInterval, w.sample)
	w.clock.RunUntil(kernel.Instant(end + w.plan.Settle))
	w.judge()
}

// configure applies the first configuration and starts the load.
func (w *World) configure(scenario Scenario) {
	w.operators.apply("setup", w.operators.revision(), w.services(), nil, nil)
	w.clock.After(loadAt-configureAt, w.startLoad)
	w.clock.After(faultsAt-configureAt, func() {
		if leader := w.leader(); leader != nil {
			w.firstView = leader.core.Store().View(1).GetNumber()
		}
		scenario.run(w)
	})
}

func (w *World) result(options Options) Result {
	outcomes := w.report.Counts()
	flows, broken := w.report.Flows()
	result := Result{
		Scenario:     options.Scenario,
		Seed:         options.Seed,
		Violations:   append(w.violations, w.report.Violations()...),
		Flows:        flows,
		Broken:       broken,
		Imbalance:    w.report.Imbalance(w.setup.BookingName),
		ControlBytes: w.controlRate(),
		InForce:      w.slowestInForce(),
		Leaderless:   w.leaderless,
		Done:         outcomes[string(report.Done)],
		Unknown:      outcomes[string(report.Unknown)],
		NotRun:       outcomes[string(report.NotRun)],
		NoAnswer:     outcomes[string(report.NoAnswer)],
		Operations:   w.operations(),
		Series:       w.series,
		Trace:        w.lines,
	}
	for _, b := range w.balancers {
		result.FlowsHeld = max(result.FlowsHeld, b.router.FlowCount())
	}
	return result
}
