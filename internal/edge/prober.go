package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steer"
)

const (
	// probeTimeout is the connect timeout. It allows for the round trip to the farthest
	// region but is shorter than the first TCP retransmission.
	probeTimeout = 300 * time.Millisecond
	// probeSlack is the delay beyond the timeout from which on the node itself was too
	// busy for the probe to be conclusive.
	probeSlack = 50 * time.Millisecond
	// probeWorkers is the number of concurrent probes, and probeQueueSize that of queued
	// ones. Both are the limit of the core, so that no probe waits for another one.
	probeWorkers   = 8
	probeQueueSize = 8
)

// prober connects to targets that leave callers unanswered to find out whether they are
// reachable. It sends no data.
type prober struct {
	process *Process
	queue   *ring.Ring[directory.Target]
	// dial opens and closes a connection to an address.
	dial func(ctx context.Context, address string) error
}

func newProber(process *Process) *prober {
	return &prober{process: process, queue: ring.New[directory.Target](probeQueueSize), dial: dialAndClose}
}

func dialAndClose(ctx context.Context, address string) error {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

// start starts the workers, which end with the process.
func (p *prober) start() {
	for range probeWorkers {
		p.process.spawn(p.run)
	}
	p.process.spawn(func() {
		<-p.process.stopped
		p.queue.Close()
	})
}

// enqueue requests probes of targets. The core receives the outcome of each, ProbeUnknown
// if the queue is full.
func (p *prober) enqueue(targets []directory.Target) {
	for _, target := range targets {
		if !p.queue.TryPush(target) {
			_ = p.process.core.HandleProbeOutcome(p.process.now(), target.Token, steer.ProbeUnknown)
		}
	}
}

func (p *prober) run() {
	for {
		target, open := p.queue.Pop()
		if !open {
			return
		}
		outcome := p.probe(target)
		p.process.metrics.probes[outcome].Inc()
		if !p.process.inputs.Push(probeInput{target: target, outcome: outcome}) {
			return
		}
	}
}

// probe connects to a target and returns the outcome. Local errors are inconclusive.
func (p *prober) probe(target directory.Target) steer.ProbeOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	err := p.dial(ctx, target.Address.String())
	var failure net.Error
	timedOut := errors.As(err, &failure) && failure.Timeout()
	switch {
	case err == nil:
		return steer.ProbeReached
	case time.Since(began) > probeTimeout+probeSlack:
		return steer.ProbeUnknown
	case timedOut:
		return steer.ProbeFailed
	case errors.Is(err, syscall.ECONNREFUSED):
		// The machine is reachable and resets the flows of a dead process itself.
		p.process.inputs.Push(probeRefusalInput{target: target})
		return steer.ProbeReached
	}
	p.process.logger.Sampled(eventlog.ProbeNotMade, "target", target.ID, "address", target.Address, "err", err)
	return steer.ProbeUnknown
}

// probeInput carries the outcome of a probe.
type probeInput struct {
	target  directory.Target
	outcome steer.ProbeOutcome
}

func (i probeInput) handle(p *Process, now kernel.Instant) {
	p.resetFlows(now, p.core.HandleProbeOutcome(now, i.target.Token, i.outcome), steer.ReasonUnreachable)
}

// probeRefusalInput tells the core that a probe was refused.
type probeRefusalInput struct{ target directory.Target }

func (i probeRefusalInput) handle(p *Process, now kernel.Instant) {
	p.core.HandleProbeRefusal(now, i.target.Token)
}
