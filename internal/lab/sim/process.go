package sim

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// place is where a process stands in the network.
type place struct {
	name string
	zone string
}

// backlogLimit is the number of packets that wait at a frozen process.
const backlogLimit = 4096

// process is what all emulated processes have in common: it starts, dies,
// freezes, and has a monotonic clock of its own that may run fast or slow.
type process struct {
	place
	world      *World
	up         bool
	frozen     bool
	generation int
	startedAt  kernel.Instant
	clockRate  float64
	backlog    []func()
	// arrivedAt is when that which is being handled came, on its own clock.
	arrivedAt kernel.Instant
}

// now returns the time on the process's own clock.
func (p *process) now() kernel.Instant {
	elapsed := p.world.clock.Now().Sub(p.startedAt)
	return kernel.Instant(float64(elapsed) * p.clockRate)
}

// start begins a new run of the process.
func (p *process) start() {
	p.up = true
	p.frozen = false
	p.backlog = nil
	p.generation++
	p.startedAt = p.world.clock.Now()
}

// die ends the process without notice.
func (p *process) die() {
	p.up = false
	p.frozen = false
	p.backlog = nil
	p.generation++
}

// deliver hands the process something from outside. A dead process loses it,
// and a frozen one finds it when it wakes.
func (p *process) deliver(run func()) {
	switch {
	case !p.up:
	case p.frozen:
		if len(p.backlog) < backlogLimit {
			arrived := p.now()
			p.backlog = append(p.backlog, func() { p.handle(arrived, run) })
		}
	default:
		p.handle(p.now(), run)
	}
}

func (p *process) handle(arrived kernel.Instant, run func()) {
	p.arrivedAt = arrived
	run()
}

// freeze stops the process for a while; its clock goes on.
func (p *process) freeze(length time.Duration) {
	if !p.up || p.frozen {
		return
	}
	p.world.trace("%s freezes for %s", p.name, length)
	p.frozen = true
	p.whileRunning(length, p.thaw)
}

func (p *process) thaw() {
	p.world.trace("%s wakes", p.name)
	p.frozen = false
	waiting := p.backlog
	p.backlog = nil
	for _, run := range waiting {
		if p.up {
			run()
		}
	}
}

// whileRunning runs a function later, unless this run of the process has ended.
func (p *process) whileRunning(wait time.Duration, run func()) {
	generation := p.generation
	p.world.clock.After(wait, func() {
		if p.generation == generation {
			run()
		}
	})
}

// every runs a function at an interval of the process's own clock until this
// run of the process ends.
func (p *process) every(interval time.Duration, run func()) {
	wait := time.Duration(float64(interval) / p.clockRate)
	p.whileRunning(wait, func() {
		if !p.frozen {
			run()
		}
		if p.up {
			p.every(interval, run)
		}
	})
}
