package control

import (
	"errors"
	"math"
	"sort"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/policy"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// missedReportsUntilDead is the number of consecutive missed reports after which a
// target counts as dead.
const missedReportsUntilDead = 4

// targetRecord is the evaluator's state for one target.
type targetRecord struct {
	service       *beamdoorv1.Service
	target        *beamdoorv1.Target
	report        *beamdoorv1.LoadResponse
	reportedAt    kernel.Instant
	missedReports int
	verdict       policy.Verdict
	alive         bool
	// runID identifies the target's current process. It is 0 while unknown.
	runID uint32
	// restarted is set until Evaluate has returned a signal with the new runID.
	restarted bool
	// evaluated is set once this member, as the leader, has a verdict. Until then the
	// balancers keep the verdict of the former leader.
	evaluated bool
}

// defaultVerdict applies before the first evaluation.
var defaultVerdict = policy.Verdict{Weight: 128}

// hasEvidence reports whether there is data for a verdict: a load report, enough missed
// reports, or a target that isn't probed.
func (r *targetRecord) hasEvidence() bool {
	return r.report != nil || r.missedReports >= missedReportsUntilDead || r.target.Admin == ""
}

// TargetEvaluator derives a verdict on each target from its load reports and the
// policies of its service. It is deterministic and not safe for concurrent use.
type TargetEvaluator struct {
	records map[uint32]*targetRecord
	events  []LogEvent
}

// NewTargetEvaluator returns an evaluator without targets.
func NewTargetEvaluator() *TargetEvaluator {
	return &TargetEvaluator{records: map[uint32]*targetRecord{}}
}

// compiledPolicies holds the compiled policies of one service.
type compiledPolicies struct {
	sharing *policy.Program
	health  *policy.Program
	err     error
}

// Policies holds the compiled policies by service name.
type Policies map[string]compiledPolicies

// CompilePolicies compiles the policies that the services refer to, each once.
func CompilePolicies(services []*beamdoorv1.Service, stored []*beamdoorv1.Policy) Policies {
	cache := policyCache{sources: map[string]string{}, compiled: map[string]compiledProgram{}}
	for _, custom := range stored {
		cache.sources[custom.Name] = custom.Source
	}
	policies := Policies{}
	for _, service := range services {
		sharing := cache.compile(service.SharingPolicy)
		health := cache.compile(service.HealthPolicy)
		policies[service.Name] = compiledPolicies{
			sharing: sharing.program,
			health:  health.program,
			err:     errors.Join(sharing.err, health.err),
		}
	}
	return policies
}

// policyCache compiles policies and caches the results by name.
type policyCache struct {
	sources  map[string]string
	compiled map[string]compiledProgram
}

type compiledProgram struct {
	program *policy.Program
	err     error
}

func (c *policyCache) compile(name string) compiledProgram {
	if cached, found := c.compiled[name]; found {
		return cached
	}
	var result compiledProgram
	source, stored := c.sources[name]
	if !stored {
		source, result.err = policy.Builtin(name)
	}
	if result.err == nil {
		result.program, result.err = policy.Compile(name, source)
	}
	c.compiled[name] = result
	return result
}

// SetServices replaces the configuration. Targets that remain keep their state.
func (e *TargetEvaluator) SetServices(now kernel.Instant, services []*beamdoorv1.Service) {
	current := map[uint32]*targetRecord{}
	for _, service := range services {
		for _, target := range service.Targets {
			record := e.records[target.Id]
			if record == nil {
				record = &targetRecord{alive: true, reportedAt: now, verdict: defaultVerdict}
			}
			record.service = service
			record.target = target
			current[target.Id] = record
		}
	}
	e.records = current
}

// RecordReport records a target's load report.
func (e *TargetEvaluator) RecordReport(now kernel.Instant, targetID uint32, report *beamdoorv1.LoadResponse) {
	record := e.records[targetID]
	if record == nil {
		return
	}
	record.missedReports = 0
	record.report = report
	record.reportedAt = now
	if run := foldRunID(report.Run); run != 0 && run != record.runID {
		record.runID = run
		record.restarted = true
	}
}

// foldRunID folds a run ID to the 32 bits that signals carry.
func foldRunID(run uint64) uint32 { return uint32(run) ^ uint32(run>>32) }

// RecordMissedReport records that a target sent no report in time.
func (e *TargetEvaluator) RecordMissedReport(targetID uint32) {
	if record := e.records[targetID]; record != nil {
		record.missedReports++
	}
}

func (r *targetRecord) sample(now kernel.Instant) policy.Sample {
	sample := policy.Sample{
		Name:      r.target.Name,
		Zone:      r.target.Zone,
		Slots:     r.target.Slots,
		Capacity:  r.target.Connections,
		ColdStart: time.Duration(r.service.GetLimits().GetColdStartMs()) * time.Millisecond,
		Age:       now.Sub(r.reportedAt),
		Failures:  r.missedReports,
		Ready:     true,
		Uptime:    time.Hour,
	}
	if r.report != nil {
		sample.Ready = r.report.Ready
		sample.Shedding = r.report.Shedding
		sample.Busy = r.report.BusySlots
		sample.Queued = r.report.Queued
		sample.Connections = r.report.Connections
		sample.Uptime = time.Duration(r.report.UptimeMs) * time.Millisecond
	}
	return sample
}

// uptime returns the uptime of the target's process at now, in milliseconds.
func (r *targetRecord) uptime(now kernel.Instant) uint32 {
	if r.report == nil {
		return 0
	}
	return addMilliseconds(uint32(min(r.report.UptimeMs, math.MaxUint32)), now.Sub(r.reportedAt))
}

// addMilliseconds adds a duration to a number of milliseconds and saturates at the
// maximum of uint32.
func addMilliseconds(milliseconds uint32, passed time.Duration) uint32 {
	return uint32(min(int64(milliseconds)+passed.Milliseconds(), math.MaxUint32))
}

// Evaluate runs the policies. For each cell in which a target's verdict, liveness or
// process changed, it returns the signals of all evaluated targets. It also returns the
// events to log.
func (e *TargetEvaluator) Evaluate(now kernel.Instant, services []*beamdoorv1.Service, policies Policies) (map[uint32][]wire.TargetSignal, []LogEvent) {
	e.events = nil
	changed := map[uint32]bool{}
	for _, service := range services {
		if e.evaluateService(now, service, policies[service.Name]) {
			changed[service.Cell] = true
		}
	}
	signals := map[uint32][]wire.TargetSignal{}
	for _, service := range services {
		if !changed[service.Cell] {
			continue
		}
		for _, target := range service.Targets {
			record := e.records[target.Id]
			if !record.evaluated {
				continue
			}
			signal := wire.TargetSignal{TargetID: target.Id, Weight: record.verdict.Weight, Alive: record.alive, Run: record.runID}
			signal.UptimeMilliseconds = record.uptime(now)
			signals[service.Cell] = append(signals[service.Cell], signal)
		}
	}
	return signals, e.events
}

// evaluateService evaluates the targets of one service and reports whether a signal
// changed. When more than half of them seem dead, the prober is more likely to be at
// fault, and all count as alive.
func (e *TargetEvaluator) evaluateService(now kernel.Instant, service *beamdoorv1.Service, compiled compiledPolicies) bool {
	dead := 0
	for _, target := range service.Targets {
		if e.records[target.Id].missedReports >= missedReportsUntilDead {
			dead++
		}
	}
	plausible := 2*dead <= len(service.Targets)
	changed := false
	for _, target := range service.Targets {
		record := e.records[target.Id]
		if !record.hasEvidence() {
			continue
		}
		verdict := e.evaluateTarget(now, record, compiled)
		alive := record.missedReports < missedReportsUntilDead || !plausible
		if verdict != record.verdict || alive != record.alive || !record.evaluated || record.restarted {
			changed = true
			record.evaluated = true
			record.restarted = false
			e.setVerdict(record, verdict, alive)
		}
	}
	return changed
}

// evaluateTarget runs the policies on one target. It keeps the last verdict when they
// fail.
func (e *TargetEvaluator) evaluateTarget(now kernel.Instant, record *targetRecord, compiled compiledPolicies) policy.Verdict {
	err := compiled.err
	if err == nil {
		var verdict policy.Verdict
		if verdict, err = policy.Evaluate(compiled.sharing, compiled.health, record.sample(now)); err == nil {
			return verdict
		}
	}
	e.log(eventlog.PolicyFailed, "service", record.service.Name, "target", record.target.Name, "err", err)
	return record.verdict
}

func (e *TargetEvaluator) setVerdict(record *targetRecord, verdict policy.Verdict, alive bool) {
	if verdict.Excluded != record.verdict.Excluded || alive != record.alive {
		e.log(eventlog.TargetVerdict, "service", record.service.Name, "target", record.target.Name,
			"weight", verdict.Weight, "alive", alive, "reason", verdict.Reason)
	}
	record.verdict = verdict
	record.alive = alive
}

func (e *TargetEvaluator) log(event eventlog.ID, fields ...any) {
	e.events = append(e.events, LogEvent{Event: event, Fields: fields})
}

// Status returns the verdicts sorted by service and target.
func (e *TargetEvaluator) Status() []*beamdoorv1.TargetStatus {
	var statuses []*beamdoorv1.TargetStatus
	for _, record := range e.records {
		policyName := record.service.SharingPolicy
		if record.verdict.Reason != "" {
			policyName = record.service.HealthPolicy
		}
		reason := record.verdict.Reason
		if record.target.Draining && reason == "" {
			reason = "draining"
		}
		statuses = append(statuses, &beamdoorv1.TargetStatus{
			Service: record.service.Name,
			Target:  record.target.Name,
			Weight:  uint32(record.verdict.Weight),
			Alive:   record.alive,
			Reason:  reason,
			Policy:  policyName,
		})
	}
	sort.Slice(statuses, func(a, b int) bool {
		if statuses[a].Service != statuses[b].Service {
			return statuses[a].Service < statuses[b].Service
		}
		return statuses[a].Target < statuses[b].Target
	})
	return statuses
}
