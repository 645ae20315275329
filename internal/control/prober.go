package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/ring"
)

const (
	probeInterval = time.Second
	probeTimeout  = 700 * time.Millisecond
	probeWorkers  = 32
)

// prober requests load reports from all targets while this member leads, and evaluates
// them.
type prober struct {
	process  *Process
	client   *http.Client
	revision uint64
	services []*beamdoorv1.Service
	policies Policies

	mutex     sync.Mutex
	evaluator *TargetEvaluator
}

func newProber(process *Process) *prober {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxIdleConns: 0}
	return &prober{
		process:   process,
		client:    &http.Client{Timeout: probeTimeout, Transport: transport},
		evaluator: NewTargetEvaluator(),
	}
}

func (p *prober) run() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.probeRound()
		case <-p.process.stopped:
			return
		}
	}
}

// probeRound probes every target once and submits the changed signals to the core.
func (p *prober) probeRound() {
	ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
	defer cancel()
	if !p.refresh(ctx) {
		return
	}
	p.probeAll()
	p.mutex.Lock()
	changed, events := p.evaluator.Evaluate(p.process.now(), p.services, p.policies)
	p.mutex.Unlock()
	for _, event := range events {
		p.process.logger.Event(event.Event, event.Fields...)
	}
	for cell, targets := range changed {
		p.process.inputs.TryPush(signalsInput{cell: cell, targets: targets})
	}
}

// refresh loads the current configuration. It returns false and resets the evaluator
// when the query fails or this member isn't a leader that can serve reads.
func (p *prober) refresh(ctx context.Context) bool {
	var services []*beamdoorv1.Service
	var policies []*beamdoorv1.Policy
	leading := false
	revision := p.revision
	err := p.process.query(ctx, func(core *Core, now kernel.Instant) {
		leading = core.IsLeader() && core.CanRead(now)
		if !leading || core.Store().Revision() == revision {
			return
		}
		revision = core.Store().Revision()
		services = cloneServices(core.Store())
		for _, custom := range core.Store().Policies() {
			policies = append(policies, proto.CloneOf(custom))
		}
	})
	if err != nil || !leading {
		p.reset()
		return false
	}
	if revision != p.revision {
		p.revision = revision
		p.services = services
		p.policies = CompilePolicies(services, policies)
		p.mutex.Lock()
		p.evaluator.SetServices(p.process.now(), services)
		p.mutex.Unlock()
	}
	return true
}

func (p *prober) reset() {
	p.revision = 0
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.evaluator = NewTargetEvaluator()
}

// probeAll probes all targets with a fixed number of workers.
func (p *prober) probeAll() {
	var targets []*beamdoorv1.Target
	for _, service := range p.services {
		for _, target := range service.Targets {
			if target.Admin != "" {
				targets = append(targets, target)
			}
		}
	}
	work := ring.New[*beamdoorv1.Target](len(targets) + 1)
	for _, target := range targets {
		work.TryPush(target)
	}
	work.Close()
	var group sync.WaitGroup
	for range probeWorkers {
		group.Add(1)
		go func() {
			defer group.Done()
			p.runWorker(work)
		}()
	}
	group.Wait()
}

func (p *prober) runWorker(work *ring.Ring[*beamdoorv1.Target]) {
	for {
		target, open := work.Pop()
		if !open {
			return
		}
		p.probe(target)
	}
}

func (p *prober) probe(target *beamdoorv1.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	client := beamdoorv1connect.NewTargetServiceClient(p.client, "http://"+target.Admin)
	response, err := client.Load(ctx, connect.NewRequest(&beamdoorv1.LoadRequest{}))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		p.evaluator.RecordMissedReport(target.Id)
		return
	}
	p.evaluator.RecordReport(p.process.now(), target.Id, response.Msg)
}

// status returns the verdicts sorted by service and target.
func (p *prober) status() []*beamdoorv1.TargetStatus {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.evaluator.Status()
}
