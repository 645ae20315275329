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
	// probeTimeout is how long a target has to take a connection: twice the way to the
	// farthest region and back, and less than the second after which the system would
	// send the packet again.
	probeTimeout = 300 * time.Millisecond
	// probeLate is the lateness from which on the node had no time itself, so that a
	// probe shows nothing.
	probeLate = 50 * time.Millisecond
	// probers is the number of probes at once, and probeQueue that of those that wait for
	// one of them; see the limit of the core.
	probers    = 4
	probeQueue = 8
)

// prober opens connections to targets that leave callers waiting, to learn whether they
// live. It sends nothing over them.
type prober struct {
	process *Process
	asked   *ring.Ring[directory.Target]
	// dial opens a connection to an address and closes it.
	dial func(ctx context.Context, address string) error
}

func newProber(process *Process) *prober {
	return &prober{process: process, asked: ring.New[directory.Target](probeQueue), dial: dialAndClose}
}

func dialAndClose(ctx context.Context, address string) error {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

// begin starts the goroutines that probe; they end with the process.
func (r *prober) begin() {
	for range probers {
		r.process.spawn(r.run)
	}
	r.process.spawn(func() {
		<-r.process.stopped
		r.asked.Close()
	})
}

// ask has targets probed. The core is told the outcome of each.
func (r *prober) ask(targets []directory.Target) {
	for _, target := range targets {
		if !r.asked.TryPush(target) {
			_ = r.process.core.HandleProbeOutcome(r.process.now(), target.Token, steer.ProbeUnknown)
		}
	}
}

func (r *prober) run() {
	for {
		target, open := r.asked.Pop()
		if !open {
			return
		}
		outcome := r.probe(target)
		r.process.metrics.probes[outcome].Inc()
		if !r.process.inputs.Push(probeInput{target: target, outcome: outcome}) {
			return
		}
	}
}

// probe reports whether a target, or its machine, answers. An error of the node's own, such as
// no socket left, shows nothing.
func (r *prober) probe(target directory.Target) steer.ProbeOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	err := r.dial(ctx, target.Address.String())
	var failure net.Error
	timedOut := errors.As(err, &failure) && failure.Timeout()
	switch {
	case err == nil:
		return steer.ProbeReached
	case time.Since(began) > probeTimeout+probeLate:
		return steer.ProbeUnknown
	case timedOut:
		return steer.ProbeFailed
	case errors.Is(err, syscall.ECONNREFUSED):
		// Its machine answers, and resets the flows of a process that is gone by itself.
		return steer.ProbeReached
	}
	r.process.logger.Sampled(eventlog.ProbeNotMade, "target", target.ID, "address", target.Address, "err", err)
	return steer.ProbeUnknown
}

// probeInput brings the outcome of a probe.
type probeInput struct {
	target  directory.Target
	outcome steer.ProbeOutcome
}

func (i probeInput) handle(p *Process, now kernel.Instant) {
	p.resetFlows(now, p.core.HandleProbeOutcome(now, i.target.Token, i.outcome), steer.ReasonUnreachable)
}
