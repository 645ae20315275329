package edge

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// startRelease starts releasing the packets on the waitlist unless it is empty or they are
// being released already.
func (p *Process) startRelease() {
	if p.waitlist.isEmpty() || p.releaseRunning {
		return
	}
	p.releaseRunning = true
	p.spawn(p.runRelease)
}

// runRelease releases packets at intervals until the waitlist is empty.
func (p *Process) runRelease() {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.stopped:
			return
		}
		more := make(chan bool, 1)
		if !p.inputs.Push(releaseInput{more: more}) || !<-more {
			return
		}
	}
}

// releaseInput releases packets within the limits and reports whether any remain.
type releaseInput struct{ more chan bool }

func (i releaseInput) handle(p *Process, now kernel.Instant) {
	p.metrics.expiredWaiting.Add(float64(p.waitlist.expire(now, p.waitLimit)))
	p.waitlist.classify(p.core.Route)
	for {
		entry, more := p.waitlist.next(now, p.core.CanDecide, p.core.WaitingFlows())
		if !more {
			break
		}
		p.metrics.waitlistDelay.Observe(now.Sub(entry.since).Seconds())
		p.handlePacket(now, entry.packet, entry.datagram)
	}
	p.releaseRunning = !p.waitlist.isEmpty()
	i.more <- p.releaseRunning
}

// waitLimit returns how long the caller of a flow waits: its route's timeout, at most
// callerTimeout.
func (p *Process) waitLimit(flow steer.FlowKey) time.Duration {
	if limit := p.core.Timeout(flow); limit > 0 {
		return min(limit, callerTimeout)
	}
	return callerTimeout
}
