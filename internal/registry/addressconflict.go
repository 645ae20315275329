package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// A new target at the address of another one shows that the other one has ended. The
// first heartbeat of a process that nobody knows may come late, after the process has
// crashed and another one has registered at its address: that one would end for good,
// though it serves. So an address whose holder was heard lately is not given away. A
// true successor calls again and gets it once the holder has missed a heartbeat.

// addressHoldTime is how long after a heartbeat of its holder an address is not given
// away: a heartbeat comes each second, and the leader knows of it some tenths later. It
// is less than the 2 s after which an address is used again.
const addressHoldTime = 1500 * time.Millisecond

// isAddressTaken reports whether a command would register a target at the address of one
// that this leader has heard lately.
func (c *Core) isAddressTaken(now kernel.Instant, encoded []byte) bool {
	command, err := directory.DecodeCommand(encoded)
	if err != nil || command.Kind != directory.CommandPutTarget {
		return false
	}
	known, registered := c.state.Target(command.Target.ID)
	if registered && !known.Start().IsBefore(command.Target.Start()) {
		return false
	}
	holder, held := c.state.Holder(command.Target.Address)
	if !held || holder.State > directory.TargetDraining || holder.ID == command.Target.ID {
		return false
	}
	window := addressHoldTime
	if command.Target.Born > 0 && command.Target.Born < holder.Born {
		// The process started before the holder did: it has most likely ended.
		window = max(window, c.settings.SuspectAfter)
	}
	seen, sighted := c.liveness.statuses[holder.Token]
	taken := sighted && seen.lastHeartbeat > c.liveness.since && now.Sub(seen.lastHeartbeat) < window
	if taken {
		c.logEvent(eventlog.AddressTaken, "target", command.Target.ID, "address", command.Target.Address,
			"holder", holder.ID, "heartbeat_age", now.Sub(seen.lastHeartbeat))
	}
	return taken
}
