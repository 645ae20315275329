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

// deadAfter is the number of missed reports in a row after which a target is
// held for dead.
const deadAfter = 4

// judgeRecord is what the judge knows of one target.
type judgeRecord struct {
	service  *beamdoorv1.Service
	target   *beamdoorv1.Target
	report   *beamdoorv1.LoadResponse
	reported kernel.Instant
	failures int
	verdict  policy.Verdict
	alive    bool
	// run identifies the run of the target's process, 0 while it is not known.
	run uint32
	// restarted says that the balancers have to hear of another run.
	restarted bool
	// judged says that there was evidence for a verdict since this member
	// began to lead; until then the former leader's verdict stays in force.
	judged bool
}

// firstVerdict is in force until there is evidence.
var firstVerdict = policy.Verdict{Weight: 128}

// hasEvidence reports whether the target has answered or been missed for long
// enough, or is not asked at all.
func (r *judgeRecord) hasEvidence() bool {
	return r.report != nil || r.failures >= deadAfter || r.target.Admin == ""
}

// TargetEvaluator turns the targets' load reports into verdicts by the operators'
// policies. It is deterministic; the prober and the simulator feed it.
type TargetEvaluator struct {
	records map[uint32]*judgeRecord
	events  []LogEvent
}

// NewTargetEvaluator returns a judge that has heard of no target.
func NewTargetEvaluator() *TargetEvaluator {
	return &TargetEvaluator{records: map[uint32]*judgeRecord{}}
}

// programs are the compiled policies of one service.
type programs struct {
	sharing *policy.Program
	health  *policy.Program
	err     error
}

// Policies are the compiled policies of all services.
type Policies map[string]programs

// CompilePolicies compiles the policies that the services name, each once.
func CompilePolicies(services []*beamdoorv1.Service, stored []*beamdoorv1.Policy) Policies {
	library := policyLibrary{sources: map[string]string{}, compiled: map[string]compiledProgram{}}
	for _, own := range stored {
		library.sources[own.Name] = own.Source
	}
	policies := Policies{}
	for _, service := range services {
		sharing := library.compile(service.SharingPolicy)
		health := library.compile(service.HealthPolicy)
		policies[service.Name] = programs{
			sharing: sharing.program,
			health:  health.program,
			err:     errors.Join(sharing.err, health.err),
		}
	}
	return policies
}

// policyLibrary compiles each program once.
type policyLibrary struct {
	sources  map[string]string
	compiled map[string]compiledProgram
}

type compiledProgram struct {
	program *policy.Program
	err     error
}

func (l *policyLibrary) compile(name string) compiledProgram {
	if known, done := l.compiled[name]; done {
		return known
	}
	var result compiledProgram
	source, stored := l.sources[name]
	if !stored {
		source, result.err = policy.Builtin(name)
	}
	if result.err == nil {
		result.program, result.err = policy.Compile(name, source)
	}
	l.compiled[name] = result
	return result
}

// SetServices follows the configuration.
func (j *TargetEvaluator) SetServices(now kernel.Instant, services []*beamdoorv1.Service) {
	current := map[uint32]*judgeRecord{}
	for _, service := range services {
		for _, target := range service.Targets {
			record := j.records[target.Id]
			if record == nil {
				record = &judgeRecord{alive: true, reported: now, verdict: firstVerdict}
			}
			record.service = service
			record.target = target
			current[target.Id] = record
		}
	}
	j.records = current
}

// RecordReport notes the load report of a target.
func (j *TargetEvaluator) RecordReport(now kernel.Instant, targetID uint32, report *beamdoorv1.LoadResponse) {
	record := j.records[targetID]
	if record == nil {
		return
	}
	record.failures = 0
	record.report = report
	record.reported = now
	if run := foldRun(report.Run); run != 0 && run != record.run {
		record.run = run
		record.restarted = true
	}
}

// foldRun shortens the identifier of a run to what signals carry.
func foldRun(run uint64) uint32 { return uint32(run) ^ uint32(run>>32) }

// RecordMissedReport notes that a target did not report in time.
func (j *TargetEvaluator) RecordMissedReport(targetID uint32) {
	if record := j.records[targetID]; record != nil {
		record.failures++
	}
}

func (r *judgeRecord) sample(now kernel.Instant) policy.Sample {
	sample := policy.Sample{
		Name:      r.target.Name,
		Zone:      r.target.Zone,
		Slots:     r.target.Slots,
		Capacity:  r.target.Connections,
		ColdStart: time.Duration(r.service.GetLimits().GetColdStartMs()) * time.Millisecond,
		Age:       now.Sub(r.reported),
		Failures:  r.failures,
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

// uptime returns how long the target's process runs by now, in milliseconds.
func (r *judgeRecord) uptime(now kernel.Instant) uint32 {
	if r.report == nil {
		return 0
	}
	return addMilliseconds(uint32(min(r.report.UptimeMs, math.MaxUint32)), now.Sub(r.reported))
}

// addMilliseconds adds a duration and stays within the type.
func addMilliseconds(milliseconds uint32, passed time.Duration) uint32 {
	return uint32(min(int64(milliseconds)+passed.Milliseconds(), math.MaxUint32))
}

// Evaluate runs the policies and returns, for each cell in which a verdict
// changed, the verdicts on its targets, with the events to log.
func (j *TargetEvaluator) Evaluate(now kernel.Instant, services []*beamdoorv1.Service, policies Policies) (map[uint32][]wire.TargetSignal, []LogEvent) {
	j.events = nil
	changed := map[uint32]bool{}
	for _, service := range services {
		if j.judgeService(now, service, policies[service.Name]) {
			changed[service.Cell] = true
		}
	}
	signals := map[uint32][]wire.TargetSignal{}
	for _, service := range services {
		if !changed[service.Cell] {
			continue
		}
		for _, target := range service.Targets {
			record := j.records[target.Id]
			if !record.judged {
				continue
			}
			signal := wire.TargetSignal{TargetID: target.Id, Weight: record.verdict.Weight, Alive: record.alive, Run: record.run}
			signal.UptimeMilliseconds = record.uptime(now)
			signals[service.Cell] = append(signals[service.Cell], signal)
		}
	}
	return signals, j.events
}

// judgeService judges one service's targets. When most of them seem dead at
// once, the fault is more likely on this side, and none is held for dead.
func (j *TargetEvaluator) judgeService(now kernel.Instant, service *beamdoorv1.Service, compiled programs) bool {
	dead := 0
	for _, target := range service.Targets {
		if j.records[target.Id].failures >= deadAfter {
			dead++
		}
	}
	trusted := 2*dead <= len(service.Targets)
	changed := false
	for _, target := range service.Targets {
		record := j.records[target.Id]
		if !record.hasEvidence() {
			continue
		}
		verdict := j.evaluate(now, record, compiled)
		alive := record.failures < deadAfter || !trusted
		if verdict != record.verdict || alive != record.alive || !record.judged || record.restarted {
			changed = true
			record.judged = true
			record.restarted = false
			j.noteVerdict(record, verdict, alive)
		}
	}
	return changed
}

// evaluate runs the programs; when they fail, the last verdict stays in force.
func (j *TargetEvaluator) evaluate(now kernel.Instant, record *judgeRecord, compiled programs) policy.Verdict {
	err := compiled.err
	if err == nil {
		var verdict policy.Verdict
		if verdict, err = policy.Evaluate(compiled.sharing, compiled.health, record.sample(now)); err == nil {
			return verdict
		}
	}
	j.log(eventlog.PolicyFailed, "service", record.service.Name, "target", record.target.Name, "err", err)
	return record.verdict
}

func (j *TargetEvaluator) noteVerdict(record *judgeRecord, verdict policy.Verdict, alive bool) {
	if verdict.Excluded != record.verdict.Excluded || alive != record.alive {
		j.log(eventlog.TargetVerdict, "service", record.service.Name, "target", record.target.Name,
			"weight", verdict.Weight, "alive", alive, "reason", verdict.Reason)
	}
	record.verdict = verdict
	record.alive = alive
}

func (j *TargetEvaluator) log(event eventlog.ID, fields ...any) {
	j.events = append(j.events, LogEvent{Event: event, Fields: fields})
}

// Status returns the verdicts in order of service and target.
func (j *TargetEvaluator) Status() []*beamdoorv1.TargetStatus {
	var list []*beamdoorv1.TargetStatus
	for _, record := range j.records {
		firing := record.service.SharingPolicy
		if record.verdict.Reason != "" {
			firing = record.service.HealthPolicy
		}
		reason := record.verdict.Reason
		if record.target.Draining && reason == "" {
			reason = "draining"
		}
		list = append(list, &beamdoorv1.TargetStatus{
			Service: record.service.Name,
			Target:  record.target.Name,
			Weight:  uint32(record.verdict.Weight),
			Alive:   record.alive,
			Reason:  reason,
			Policy:  firing,
		})
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].Service != list[b].Service {
			return list[a].Service < list[b].Service
		}
		return list[a].Target < list[b].Target
	})
	return list
}
