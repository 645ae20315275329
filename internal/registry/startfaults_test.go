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

// startSeeds is the number of seeds that the test plays; more can be asked for by the
// environment variable of the same meaning.
const startSeeds = 30

// submittedCommand is what a target says, and the member that hears it.
type submittedCommand struct {
	machine *machine
	core    *Core
	ticket  Ticket
	command directory.Command
}

// startRun lets targets start again and again under their IDs while members fail.
type startRun struct {
	*faultRun
	// newestStarts is the newest start of each target, and said are all words of all starts,
	// which may come once more.
	newestStarts map[string]directory.Target
	sentCommands []directory.Command
	pending      []submittedCommand
	// acknowledged is the newest that each target was told to hold.
	acknowledged map[string]directory.Target
	born         uint64
}

// submitAsProcess hands a word to a member as its process does.
func (r *startRun) submitAsProcess(m *machine, command directory.Command) {
	if command.Kind == directory.CommandPutTarget {
		m.core.Heard(r.now, command.Target.Start())
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

// step lets a target start, drain or leave, or an old word come late.
func (r *startRun) step(m *machine) {
	id := fmt.Sprint("i-", r.random.IntN(4))
	target, lives := r.newestStarts[id]
	command := directory.Command{Kind: directory.CommandPutTarget}
	switch choice := r.random.IntN(8); {
	case choice < 2 && len(r.sentCommands) > 0:
		r.submitAsProcess(m, r.sentCommands[r.random.IntN(len(r.sentCommands))])
		return
	case choice < 4 || !lives:
		r.born += uint64(1 + r.random.IntN(3))
		target = putTarget(id, fmt.Sprintf("10.1.1.%d:1", 1+r.random.IntN(3)), directory.TargetReady).Target
		target.Born = r.born
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

// collectAcknowledged enters what was acknowledged.
func (r *startRun) collectAcknowledged() {
	var open []submittedCommand
	for _, w := range r.pending {
		outcome, done := w.machine.outcomes[w.ticket]
		alive := w.machine.core == w.core && w.machine.up
		switch {
		case !done && alive:
			open = append(open, w)
		case done && alive && outcome.Err == nil && outcome.Result.Code == directory.CodeDone:
			known := r.acknowledged[w.command.Target.ID]
			if w.command.Kind == directory.CommandPutTarget && (known.Born < w.command.Target.Born || known.Born == w.command.Target.Born && known.State < w.command.Target.State) {
				r.acknowledged[w.command.Target.ID] = w.command.Target
			}
		}
	}
	r.pending = open
}

// check holds a member's state against what was acknowledged.
func (r *startRun) check(m *machine, context string) {
	for id, acknowledged := range r.acknowledged {
		latest, known := m.core.State().Target(id)
		require.True(r, known, "%s: %s is gone; %s", m.address, id, context)
		require.GreaterOrEqual(r, latest.Born, acknowledged.Born, "%s: %s went back; %s", m.address, id, context)
		if latest.Born == acknowledged.Born {
			require.GreaterOrEqual(r, latest.State, acknowledged.State, "%s: %s; %s", m.address, id, context)
		}
	}
	for _, target := range m.core.State().Targets() {
		latest, _ := m.core.State().Target(target.ID)
		if target.Born < latest.Born {
			require.Equal(r, directory.TargetEnded, target.State, "%s: an earlier start of %s lives; %s", m.address, target.ID, context)
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
		r.check(m, context)
		assert.Equal(t, leader.core.State().Targets(), m.core.State().Targets(), "%s; %s", name, context)
	}
}

// What a target was told to hold of its newest start is held by all members in the end,
// whatever fails, and no earlier start lives again by a late word.
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
