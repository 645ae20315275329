package registry

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// startSeeds is the default number of seeds; BEAMDOOR_START_SEEDS overrides it.
const startSeeds = 30

// submittedCommand is a target's command that awaits its outcome at a member.
type submittedCommand struct {
	machine *machine
	core    *Core
	ticket  Ticket
	command directory.Command
}

// startRun restarts targets under their IDs while members fail.
type startRun struct {
	*faultRun
	// newestStarts is the latest start of each target, and sentCommands all commands sent
	// so far, any of which may be repeated late.
	newestStarts map[string]directory.Target
	sentCommands []directory.Command
	pending      []submittedCommand
	// acknowledged is the latest acknowledged state of each target.
	acknowledged map[string]directory.Target
	lastBorn     uint64
}

// submitAsProcess submits a command in the same way as Process.HandleHeartbeat and
// Process.EndTarget.
func (r *startRun) submitAsProcess(m *machine, command directory.Command) {
	if command.Kind == directory.CommandPutTarget {
		m.core.RecordHeartbeat(r.now, command.Target.Start())
		if m.core.IsRegistered(command.Target) {
			return
		}
	}
	var ticket Ticket
	var output Output
	if command.Kind == directory.CommandPutTarget {
		var err error
		if ticket, output, err = m.core.Register(r.now, command.Target); err != nil {
			return
		}
	} else {
		ticket, output = m.core.Submit(r.now, command)
	}
	r.pending = append(r.pending, submittedCommand{machine: m, core: m.core, ticket: ticket, command: command})
	r.apply(m, output)
}

// step starts, drains or ends a random target, or repeats an old command.
func (r *startRun) step(m *machine) {
	id := fmt.Sprint("i-", r.random.IntN(4))
	target, exists := r.newestStarts[id]
	command := directory.Command{Kind: directory.CommandPutTarget}
	switch choice := r.random.IntN(8); {
	case choice < 2 && len(r.sentCommands) > 0:
		r.submitAsProcess(m, r.sentCommands[r.random.IntN(len(r.sentCommands))])
		return
	case choice < 4 || !exists:
		r.lastBorn += uint64(1 + r.random.IntN(3))
		target = putTarget(id, fmt.Sprintf("10.1.1.%d:1", 1+r.random.IntN(3)), directory.TargetReady).Target
		target.StartTime = r.lastBorn
	case choice == 4:
		target.State = directory.TargetDraining
	case choice == 5:
		command.Kind = directory.CommandEndTarget
	}
	r.newestStarts[id] = target
	command.Target = target
	r.sentCommands = append(r.sentCommands, command)
	r.submitAsProcess(m, command)
}

// collectAcknowledged records the targets of acknowledged commands.
func (r *startRun) collectAcknowledged() {
	var remaining []submittedCommand
	for _, submitted := range r.pending {
		outcome, done := submitted.machine.outcomes[submitted.ticket]
		sameRun := submitted.machine.core == submitted.core && submitted.machine.up
		switch {
		case !done && sameRun:
			remaining = append(remaining, submitted)
		case done && sameRun && outcome.Err == nil && outcome.Result.Code == directory.CodeDone:
			known := r.acknowledged[submitted.command.Target.ID]
			if submitted.command.Kind == directory.CommandPutTarget && (known.StartTime < submitted.command.Target.StartTime || known.StartTime == submitted.command.Target.StartTime && known.State < submitted.command.Target.State) {
				r.acknowledged[submitted.command.Target.ID] = submitted.command.Target
			}
		}
	}
	r.pending = remaining
}

// checkMember compares a member's state with what was acknowledged.
func (r *startRun) checkMember(m *machine, context string) {
	for id, acknowledged := range r.acknowledged {
		latest, known := m.core.State().Target(id)
		require.True(r, known, "%s: %s is missing; %s", m.address, id, context)
		require.GreaterOrEqual(r, latest.StartTime, acknowledged.StartTime, "%s: an acknowledged start of %s was lost; %s", m.address, id, context)
		if latest.StartTime == acknowledged.StartTime {
			require.GreaterOrEqual(r, latest.State, acknowledged.State, "%s: %s; %s", m.address, id, context)
		}
	}
	for _, target := range m.core.State().Targets() {
		latest, _ := m.core.State().Target(target.ID)
		if target.StartTime < latest.StartTime {
			require.Equal(r, directory.TargetEnded, target.State, "%s: an earlier start of %s has not ended; %s", m.address, target.ID, context)
		}
	}
}

func runStarts(t *testing.T, seed uint64) {
	r := &startRun{
		faultRun:     &faultRun{cluster: newCluster(t, seed, 3), nextJoin: 3},
		newestStarts: map[string]directory.Target{}, acknowledged: map[string]directory.Target{},
	}
	r.waitForLeader()
	end := r.now.Add(40 * time.Second)
	nextFault := r.now.Add(time.Second)
	for r.now < end {
		r.run(time.Duration(20+r.random.IntN(200)) * time.Millisecond)
		r.collectAcknowledged()
		if m := r.randomUpMember(); m != nil {
			r.step(m)
		}
		if r.heal != nil && r.now >= r.healAt {
			r.heal()
			r.heal = nil
			nextFault = r.now.Add(recoveryTime)
		}
		if r.heal == nil && r.now >= nextFault {
			r.fault()
		}
	}
	if r.heal != nil {
		r.heal()
	}
	r.run(6 * time.Second)
	r.collectAcknowledged()
	context := fmt.Sprintf("seed %d, faults %v", seed, r.faults)
	leader := r.leader()
	require.NotNil(t, leader, context)
	for _, name := range r.names() {
		m := r.machines[name]
		_, err := r.read(m)
		require.NoError(t, err, context)
		r.checkMember(m, context)
		assert.Equal(t, leader.core.State().Targets(), m.core.State().Targets(), "%s; %s", name, context)
	}
}

// Checks under random faults that all members hold each target's acknowledged newest start,
// and that late commands revive no earlier start.
func TestStartsUnderRandomFaults(t *testing.T) {
	seeds := startSeeds
	if text := os.Getenv("BEAMDOOR_START_SEEDS"); text != "" {
		asked, err := strconv.Atoi(text)
		require.NoError(t, err)
		seeds = asked
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runStarts(t, seed)
		})
	}
}
