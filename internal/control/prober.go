package control

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/policy"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	probeInterval = time.Second
	probeTimeout  = 700 * time.Millisecond
	probeWorkers  = 32
	// deadAfter is the number of missed reports in a row after which a target
	// is held for dead.
	deadAfter = 4
)

// probeRecord is what the prober knows of one target.
type probeRecord struct {
	service  *beamdoorv1.Service
	target   *beamdoorv1.Target
	report   *beamdoorv1.LoadResponse
	reported time.Time
	failures int
	verdict  policy.Verdict
	alive    bool
}

// prober asks the targets for their load while this member leads, and turns
// the answers into verdicts by the operators' policies.
type prober struct {
	process *Process
	client  *http.Client
	mutex   sync.Mutex
	records map[uint32]*probeRecord
}

func newProber(process *Process) *prober {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxIdleConns: 0}
	return &prober{
		process: process,
		client:  &http.Client{Timeout: probeTimeout, Transport: transport},
		records: map[uint32]*probeRecord{},
	}
}

func (p *prober) run() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.round()
		case <-p.process.stopped:
			return
		}
	}
}

// compiled are the policies of one service.
type compiled struct {
	sharing *policy.Program
	health  *policy.Program
	err     error
}

// round probes every target once and spreads what changed.
func (p *prober) round() {
	ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
	defer cancel()
	var services []*beamdoorv1.Service
	policies := map[string]compiled{}
	leads := false
	err := p.process.ask(ctx, func(core *Core, now kernel.Instant) {
		if leads = core.IsLeader() && core.CanRead(now); !leads {
			return
		}
		services = snapshotServices(core.Store())
		for _, service := range services {
			sharing, health, err := programs(core.Store(), service)
			policies[service.Name] = compiled{sharing: sharing, health: health, err: err}
		}
	})
	if err != nil || !leads {
		return
	}
	p.adopt(services)
	p.probeAll()
	changed := p.judge(services, policies)
	for cell, targets := range changed {
		p.process.inputs.TryPush(signalsInput{cell: cell, targets: targets})
	}
}

// adopt follows the configuration.
func (p *prober) adopt(services []*beamdoorv1.Service) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current := map[uint32]*probeRecord{}
	for _, service := range services {
		for _, target := range service.Targets {
			record := p.records[target.Id]
			if record == nil {
				record = &probeRecord{alive: true, reported: time.Now()}
			}
			record.service = service
			record.target = target
			current[target.Id] = record
		}
	}
	p.records = current
}

// probeAll asks all targets, a bounded number at a time.
func (p *prober) probeAll() {
	work := ring.New[*probeRecord](len(p.records) + 1)
	for _, record := range p.records {
		if record.target.Admin != "" {
			work.TryPush(record)
		}
	}
	work.Close()
	var group sync.WaitGroup
	for range probeWorkers {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				record, open := work.Pop()
				if !open {
					return
				}
				p.probe(record)
			}
		}()
	}
	group.Wait()
}

func (p *prober) probe(record *probeRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	client := beamdoorv1connect.NewTargetServiceClient(p.client, "http://"+record.target.Admin)
	response, err := client.Load(ctx, connect.NewRequest(&beamdoorv1.LoadRequest{}))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		record.failures++
		return
	}
	record.failures = 0
	record.report = response.Msg
	record.reported = time.Now()
}

func (r *probeRecord) sample() policy.Sample {
	sample := policy.Sample{
		Name:      r.target.Name,
		Zone:      r.target.Zone,
		Slots:     r.target.Slots,
		Capacity:  r.target.Connections,
		ColdStart: time.Duration(r.service.GetLimits().GetColdStartMs()) * time.Millisecond,
		Age:       time.Since(r.reported),
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

// judge runs the policies and returns, for each cell in which a verdict
// changed, the verdicts on all its targets.
func (p *prober) judge(services []*beamdoorv1.Service, policies map[string]compiled) map[uint32][]wire.TargetSignal {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	changed := map[uint32]bool{}
	for _, service := range services {
		if p.judgeService(service, policies[service.Name]) {
			changed[service.Cell] = true
		}
	}
	signals := map[uint32][]wire.TargetSignal{}
	for _, service := range services {
		if !changed[service.Cell] {
			continue
		}
		for _, target := range service.Targets {
			record := p.records[target.Id]
			signal := wire.TargetSignal{TargetID: target.Id, Weight: record.verdict.Weight, Alive: record.alive}
			signals[service.Cell] = append(signals[service.Cell], signal)
		}
	}
	return signals
}

// judgeService judges one service's targets. When most of them seem dead at
// once, the fault is more likely on this side, and none is held for dead.
func (p *prober) judgeService(service *beamdoorv1.Service, programs compiled) bool {
	dead := 0
	for _, target := range service.Targets {
		if p.records[target.Id].failures >= deadAfter {
			dead++
		}
	}
	trusted := 2*dead <= len(service.Targets)
	changed := false
	for _, target := range service.Targets {
		record := p.records[target.Id]
		verdict := p.evaluate(service, record, programs)
		alive := record.failures < deadAfter || !trusted
		if verdict != record.verdict || alive != record.alive {
			changed = true
			p.noteVerdict(record, verdict, alive)
		}
	}
	return changed
}

// evaluate runs the programs; when they fail, the last verdict stays in force.
func (p *prober) evaluate(service *beamdoorv1.Service, record *probeRecord, programs compiled) policy.Verdict {
	err := programs.err
	if err == nil {
		var verdict policy.Verdict
		if verdict, err = policy.Evaluate(programs.sharing, programs.health, record.sample()); err == nil {
			return verdict
		}
	}
	p.process.logger.Event(eventlog.PolicyFailed, "service", service.Name, "target", record.target.Name, "err", err)
	return record.verdict
}

func (p *prober) noteVerdict(record *probeRecord, verdict policy.Verdict, alive bool) {
	if verdict.Alone != record.verdict.Alone || alive != record.alive {
		p.process.logger.Event(eventlog.TargetVerdict, "service", record.service.Name, "target", record.target.Name,
			"weight", verdict.Weight, "alive", alive, "reason", verdict.Reason)
	}
	record.verdict = verdict
	record.alive = alive
}

// status returns the verdicts in order of service and target.
func (p *prober) status() []*beamdoorv1.TargetStatus {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var list []*beamdoorv1.TargetStatus
	for _, record := range p.records {
		firing := record.service.SharingPolicy
		if record.verdict.Reason != "" {
			firing = record.service.HealthPolicy
		}
		list = append(list, &beamdoorv1.TargetStatus{
			Service: record.service.Name,
			Target:  record.target.Name,
			Weight:  uint32(record.verdict.Weight),
			Alive:   record.alive,
			Reason:  record.verdict.Reason,
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
