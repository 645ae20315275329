package edge

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// input is a message to the goroutine that owns the core.
type input interface {
	handle(p *Process, now kernel.Instant)
}

func (p *Process) runTicker() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.inputs.TryPush(tickInput{})
		case <-p.stopped:
			return
		}
	}
}

// runCore handles inputs until the ring is closed.
func (p *Process) runCore() {
	defer p.sender.stop()
	var batch []input
	for {
		var open bool
		batch, open = p.inputs.PopBatch(batch[:0], inputBatch)
		if !open {
			return
		}
		now := p.now()
		for _, message := range batch {
			message.handle(p, now)
		}
		p.sender.flush(p.now())
	}
}

type tickInput struct{}

func (tickInput) handle(p *Process, now kernel.Instant) {
	p.ticks++
	p.sender.tick(now)
	p.expireRemembered(now)
	p.updateLinkUse(now)
	var acknowledged []directory.Token
	if p.ticks%reportsPerHeartbeats == 0 {
		acknowledged = p.heartbeats.TakeAcknowledged()
	}
	evidence := p.core.Report(now, reportInterval)
	p.logUnansweredOpenings(evidence)
	p.subscriber.report(evidence, acknowledged)
	p.subscriber.sendSpeeds(p.core.TakeSpeeds(now))
	p.prober.enqueue(p.core.Probes(now))
	if p.ticks%reportsPerSweep == 0 {
		p.core.Tick(now)
		p.reportUntrackedFlows()
		p.metrics.flows.Set(float64(p.core.Flows()))
		p.metrics.waitingFlows.Set(float64(p.core.WaitingFlows()))
	}
	if p.ticks%(reportsPerSweep*sweepsPerRelativeTimes) == 0 {
		p.recordRelativeTimes(now)
	}
}
