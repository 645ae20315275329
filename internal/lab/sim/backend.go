package sim

import (
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/backend"
	"github.com/beamdoor/beamdoor/internal/proxyheader"
)

// backendProcess is an emulated back end around the stand-in's core.
type backendProcess struct {
	process
	address  netip.AddrPort
	service  netip.AddrPort
	core     *backend.Backend
	settings backend.Settings
	due      kernel.Instant
	// drainedAt is when an operator was told that the drain is accepted, or 0.
	drainedAt kernel.Instant
	// drainRevision is the newest revision that changed its drain.
	drainRevision uint64
	// inForceAt is when the configuration that names it was in force, or 0.
	inForceAt kernel.Instant
	// diedAt is when it was last killed, or 0.
	diedAt kernel.Instant
}

// run starts the back end anew, without any memory.
func (b *backendProcess) run() {
	b.start()
	b.settings.Seed = b.world.random.Uint64()
	b.settings.Run = b.settings.Seed
	b.core = backend.New(b.now(), b.settings)
	b.schedule()
}

// kill ends the back end without notice.
func (b *backendProcess) kill() {
	if !b.up {
		return
	}
	b.world.fault("%s is killed", b.name)
	b.diedAt = b.world.clock.Now()
	b.die()
}

// schedule wakes the back end when its core has something to do.
func (b *backendProcess) schedule() {
	due := b.core.Due()
	b.due = due
	wait := max(due.Sub(b.now()), time.Millisecond)
	b.whileRunning(wait, func() {
		if b.due != due {
			return
		}
		b.deliver(func() {
			b.carryOut(b.core.Tick(b.now()))
			b.schedule()
		})
	})
}

func (b *backendProcess) receive(header proxyheader.Header, payload []byte) {
	b.carryOut(b.core.Receive(b.now(), header, payload))
	if b.core.Due() != b.due {
		b.schedule()
	}
}

// foreignLimit is the time after its new place is in force in which a target
// may still get packets for the one whose address it took.
const foreignLimit = time.Second

// noteForeign checks that a target serves no packet of another service, and
// that none even reaches it once the configuration is in force.
func (b *backendProcess) noteForeign(got backend.Event) {
	b.world.trace("%s got a packet of another service from %s", b.name, got.Caller)
	b.world.report.Count("foreign packet dropped by its target")
	late := b.inForceAt != 0 && b.world.clock.Now().Sub(b.inForceAt) > foreignLimit
	if got.Served || late {
		b.world.report.Foreign()
	}
}

func (b *backendProcess) carryOut(events []backend.Event) {
	for _, happened := range events {
		switch happened.Kind {
		case backend.Reply:
			b.world.fabric.fromTarget(b, happened)
		case backend.Ran:
			b.world.trace("%s runs %s of %s, view %d", b.name, happened.ID, happened.Caller, happened.Tag.View)
			b.world.report.Ran(b.name, happened.ID)
		case backend.Foreign:
			b.noteForeign(happened)
		case backend.FlowSeen:
			b.world.noteFlow(b, happened.Caller)
		}
	}
}
