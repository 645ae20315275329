package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// A target that registers at the address of another one replaces it. A delayed first
// heartbeat of a crashed process could thereby end the live target that has taken over its
// address. An address is therefore not reassigned while its holder sends heartbeats; a
// legitimate successor retries and gets the address after the holder has missed one.

// addressHoldTime is how long after its holder's last heartbeat an address is not
// reassigned. It covers the heartbeat interval and the delay of reports to the leader, and
// is shorter than the 2 s after which a deployment may reuse an address.
const addressHoldTime = 1500 * time.Millisecond

// isAddressTaken reports whether a command would register a target at the address of
// another one whose heartbeat this leader has received recently.
func (c *Core) isAddressTaken(now kernel.Instant, encoded []byte) bool {
	command, err := directory.DecodeCommand(encoded)
	if err != nil || command.Kind != directory.CommandPutTarget {
		return false
	}
	known, registered := c.state.Target(command.Target.ID)
	if registered && !known.Start().IsBefore(command.Target.Start()) {
		return false
	}
	holder, held := c.state.TargetByAddress(command.Target.Address)
	if !held || holder.State > directory.TargetDraining || holder.ID == command.Target.ID {
		return false
	}
	holdTime := addressHoldTime
	if command.Target.StartTime > 0 && command.Target.StartTime < holder.StartTime {
		// The process started before the holder, so the request is most likely delayed.
		holdTime = max(holdTime, c.settings.SuspectAfter)
	}
	liveness, tracked := c.liveness.targets[holder.Token]
	taken := tracked && liveness.lastHeartbeat > c.liveness.since && now.Sub(liveness.lastHeartbeat) < holdTime
	if taken {
		c.logEvent(eventlog.AddressTaken, "target", command.Target.ID, "address", command.Target.Address,
			"holder", holder.ID, "heartbeat_age", now.Sub(liveness.lastHeartbeat))
	}
	return taken
}
