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

// waitingInput is something that came from one source while the process was
// frozen.
type waitingInput struct {
	source string
	run    func()
}

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
	backlog    []waitingInput
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
			p.backlog = append(p.backlog, waitingInput{
				source: p.world.network.source,
				run:    func() { p.handle(arrived, run) },
			})
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
	p.world.fault("%s freezes for %s", p.name, length)
	p.frozen = true
	p.whileRunning(length, p.thaw)
}

func (p *process) thaw() {
	p.world.fault("%s wakes", p.name)
	p.frozen = false
	waiting := p.backlog
	p.backlog = nil
	for _, input := range p.world.interleave(waiting) {
		if p.up {
			input.run()
		}
	}
}

// interleave keeps the order of each source and mixes the sources: a process
// that goes on reads its sockets in any order.
func (w *World) interleave(waiting []waitingInput) []waitingInput {
	var sources []string
	bySource := map[string][]waitingInput{}
	for _, input := range waiting {
		if len(bySource[input.source]) == 0 {
			sources = append(sources, input.source)
		}
		bySource[input.source] = append(bySource[input.source], input)
	}
	mixed := make([]waitingInput, 0, len(waiting))
	for len(sources) > 0 {
		i := w.random.IntN(len(sources))
		queue := bySource[sources[i]]
		mixed = append(mixed, queue[0])
		bySource[sources[i]] = queue[1:]
		if len(queue) == 1 {
			sources = append(sources[:i], sources[i+1:]...)
		}
	}
	return mixed
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
