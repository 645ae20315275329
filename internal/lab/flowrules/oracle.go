// Package flowrules holds what callers, targets and operators of a token-routed
// deployment see against its rules. The simulator on a virtual clock and the
// runs of real processes share it, so that a rule means the same in both.
package flowrules

import (
	"fmt"
	"sync"
	"time"
)

// Rule is the name of a rule, as reports give it.
type Rule string

// The rules.
const (
	// Route: only a service that some configuration allows gets a flow.
	Route Rule = "ROUTE"
	// Drain: a target whose drain was acknowledged gets no new flows.
	Drain Rule = "DRAIN"
	// Flow: an open flow is not reset while its target lives.
	Flow Rule = "FLOW"
	// Mixed: callers get whole answers to their own requests.
	Mixed Rule = "MIXED"
	// Unasked: targets run what callers asked, and what may not be repeated once.
	Unasked Rule = "UNASKED"
	// Config: an acknowledged configuration is in force and never goes back.
	Config Rule = "CONFIG"
	// Lost: what was acknowledged outlives every fault.
	Lost Rule = "LOST"
	// Evacuated: targets of a zone whose evacuation was acknowledged get no new flows.
	Evacuated Rule = "EVAC"
	// Cold: a target that is cold gets no more new flows than it bears.
	Cold Rule = "FAILBACK"
	// Ejected: a target that is ejected gets few new flows, and is readmitted after it is
	// well.
	Ejected Rule = "EJECT"
	// Silent: a connection that has gone silent is found and replaced.
	Silent Rule = "SILENT"
	// Recover: callers are served again after the last fault.
	Recover Rule = "RECOVER"
)

// The bounds of the rules.
const (
	// DrainBound is how long after its acknowledgement a draining target may
	// still get new flows.
	DrainBound = 3 * time.Second
	// EvacuationBound is the same for the targets of a zone that is evacuated: a fifth
	// of what the rule allows. Real processes that share a machine get DrainBound.
	EvacuationBound = time.Second
	// EjectionBound is how long after its ejection a target may still get new flows as
	// before: a fifth of what draining targets may, on machines that share processors.
	// EjectedFlows is the number of new flows that it may get after that: some nodes are
	// told later, and callers' copies come late.
	EjectionBound = time.Second
	EjectedFlows  = 4
	// SilentBound is how long the process that made a connection may take to give it up
	// once it has gone silent: twice the 1.5 s of the product's own limits.
	SilentBound = 3 * time.Second
	// ColdRate is the number of new flows that a cold target bears in a second, and
	// ColdTime how long it is cold after its start.
	ColdRate = 2
	ColdTime = 3 * time.Second
	// InForceBound is how long an acknowledged version may take to be in force.
	InForceBound = 3 * time.Second
	// Contact is how long parts must have run undisturbed for the rules that are
	// bounded in time.
	Contact = 4 * time.Second
	// lateAfter is the time from which an answer counts as late.
	lateAfter = 150 * time.Millisecond
	// breachLimit is the number of breaches that are kept with their text.
	breachLimit = 20
)

// Breach is one breach of a rule.
type Breach struct {
	Rule Rule
	Text string
}

// String returns the rule and what broke it.
func (b Breach) String() string { return string(b.Rule) + ": " + b.Text }

// Report is what came out of a run.
type Report struct {
	// Asked, Served, Late and Failed count requests of callers; late ones are
	// among those served. Resets counts flows that were reset.
	Asked, Served, Late, Failed, Resets int
	Slowest                             time.Duration
	// Reasons counts failures by their reason.
	Reasons map[string]int
	// Broken is the number of breaches; Breaches holds the first of them.
	Broken   int
	Breaches []Breach
}

// Oracle counts what callers got and the breaches of rules. Many goroutines may
// use it at once.
type Oracle struct {
	evacuationBound time.Duration

	mutex    sync.Mutex
	report   Report
	services map[string]map[string]bool
	// unsafe tells of each request whether it may not be repeated.
	unsafe map[uint64]bool
	runs   map[uint64]int
}

// Option changes a new oracle.
type Option func(*Oracle)

// WithEvacuationBound sets how long a target may still get new flows after the
// evacuation of its zone was acknowledged; the default is EvacuationBound.
func WithEvacuationBound(bound time.Duration) Option {
	return func(o *Oracle) { o.evacuationBound = bound }
}

// New returns an oracle that has seen nothing.
func New(opts ...Option) *Oracle {
	o := &Oracle{
		evacuationBound: EvacuationBound,

		report:   Report{Reasons: map[string]int{}},
		services: map[string]map[string]bool{},
		unsafe:   map[uint64]bool{},
		runs:     map[uint64]int{},
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Broke notes a breach of a rule.
func (o *Oracle) Broke(rule Rule, format string, values ...any) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.report.Broken++
	if len(o.report.Breaches) < breachLimit {
		o.report.Breaches = append(o.report.Breaches, Breach{Rule: rule, Text: fmt.Sprintf(format, values...)})
	}
}

// Allow notes that a configuration lets an address reach a service.
func (o *Oracle) Allow(virtual, service string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.services[virtual] == nil {
		o.services[virtual] = map[string]bool{}
	}
	o.services[virtual][service] = true
}

func (o *Oracle) allowed(virtual, service string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.services[virtual][service]
}

// TakenFlow is an opening packet that a target took.
type TakenFlow struct {
	Target  string
	Service string
	Virtual string
	// Through is the node that forwarded the packet.
	Through string
	// DrainedFor is the time since the target's drain was acknowledged; 0 when it
	// was not.
	DrainedFor time.Duration
	// EvacuatedFor is the same for the evacuation of its zone.
	EvacuatedFor time.Duration
	// EjectedFor is the time since the target was ejected, and SinceEjected the number of
	// new flows that it took later than EjectionBound after that; 0 when it is not
	// ejected.
	EjectedFor   time.Duration
	SinceEjected int
	// InSecond is the number of new flows that the target took in the second before,
	// this one included, while it was cold; 0 when it is not.
	InSecond int
	// Calm is set when the node and the members have run undisturbed.
	Calm bool
}

// Took checks an opening packet that a target took.
func (o *Oracle) Took(flow TakenFlow) {
	if !o.allowed(flow.Virtual, flow.Service) {
		o.Broke(Route, "%s of service %s took a flow to %s", flow.Target, flow.Service, flow.Virtual)
	}
	if flow.DrainedFor > DrainBound && flow.Calm {
		o.Broke(Drain, "%s took a flow through %s %v after its drain was acknowledged", flow.Target, flow.Through, flow.DrainedFor)
	}
	if flow.EvacuatedFor > o.evacuationBound && flow.Calm {
		o.Broke(Evacuated, "%s took a flow through %s %v after the evacuation of its zone was acknowledged", flow.Target, flow.Through, flow.EvacuatedFor)
	}
	if flow.SinceEjected > EjectedFlows && flow.Calm {
		o.Broke(Ejected, "%s took flow %d through %s %v after its ejection", flow.Target, flow.SinceEjected, flow.Through, flow.EjectedFor)
	}
	if flow.InSecond > ColdRate {
		o.Broke(Cold, "%s is cold and took %d flows in a second, the last through %s", flow.Target, flow.InSecond, flow.Through)
	}
}

// FlowReset is a reset that reached a caller.
type FlowReset struct {
	Caller string
	// Target is the one that holds the flow.
	Target string
	// By is the sender.
	By string
	// Lives is set while the target lives and holds the open flow.
	Lives bool
	// Calm is set when target and sender have run undisturbed; planned work is
	// no disturbance.
	Calm bool
	// Note is told with a breach, or "".
	Note string
}

// Reset checks a reset that reached a caller.
func (o *Oracle) Reset(reset FlowReset) {
	o.mutex.Lock()
	o.report.Resets++
	o.mutex.Unlock()
	if reset.Lives && reset.Calm {
		o.Broke(Flow, "%s reset the flow of %s, whose target %s lives %s", reset.By, reset.Caller, reset.Target, reset.Note)
	}
}

// Ask counts a request and returns its id. An unsafe one may not be repeated.
func (o *Oracle) Ask(unsafe bool) uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.report.Asked++
	id := uint64(o.report.Asked)
	o.unsafe[id] = unsafe
	return id
}

// Ran checks that a target began work on a request.
func (o *Oracle) Ran(target, service, virtual string, id uint64) {
	if !o.allowed(virtual, service) {
		o.Broke(Route, "%s of service %s ran a request to %s", target, service, virtual)
	}
	o.mutex.Lock()
	unsafe, sent := o.unsafe[id]
	o.runs[id]++
	runs := o.runs[id]
	o.mutex.Unlock()
	if !sent {
		o.Broke(Unasked, "%s ran request %d that nobody sent", target, id)
	}
	if unsafe && runs > 1 {
		o.Broke(Unasked, "request %d may not be repeated and ran %d times", id, runs)
	}
}

// Served counts a request that was answered.
func (o *Oracle) Served(took time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.report.Served++
	o.report.Slowest = max(o.report.Slowest, took)
	if took > lateAfter {
		o.report.Late++
	}
}

// Failed counts a request that got no answer.
func (o *Oracle) Failed(reason string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.report.Failed++
	o.report.Reasons[reason]++
}

// NodeVersion is what a node obeys.
type NodeVersion struct {
	Node string
	// Before and Version are the versions that it obeyed and obeys.
	Before, Version uint64
	// Settled is the newest version acknowledged longer than InForceBound ago.
	Settled uint64
	// Calm is set when the node and the members have run undisturbed.
	Calm bool
}

// Obeys checks the version that a node obeys.
func (o *Oracle) Obeys(node NodeVersion) {
	if node.Version < node.Before {
		o.Broke(Config, "%s went back from version %d to %d", node.Node, node.Before, node.Version)
	}
	if node.Calm && node.Version < node.Settled {
		o.Broke(Config, "%s has version %d, %d was acknowledged %v ago", node.Node, node.Version, node.Settled, InForceBound)
	}
}

// ReadBack checks the version that a member holds against the newest that was
// acknowledged.
func (o *Oracle) ReadBack(member string, version, acknowledged uint64) {
	if version < acknowledged {
		o.Broke(Lost, "%s holds version %d, %d was acknowledged", member, version, acknowledged)
	}
}

// Report returns what came out so far.
func (o *Oracle) Report() Report {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	report := o.report
	report.Breaches = append([]Breach(nil), report.Breaches...)
	report.Reasons = map[string]int{}
	for reason, count := range o.report.Reasons {
		report.Reasons[reason] = count
	}
	return report
}
