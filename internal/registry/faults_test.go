package registry

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

// faultSeeds is the default number of seeds; BEAMDOOR_FAULT_SEEDS overrides it.
const faultSeeds = 60

// versionInput is an operation on the configuration: a write of a version, or a read if the
// version is 0.
type versionInput struct{ version uint64 }

// versionModel is the sequential specification: the highest version written is in force.
var versionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		inForce := state.(uint64)
		operation := input.(versionInput)
		if operation.version == 0 {
			return output.(uint64) == inForce, inForce
		}
		return true, max(inForce, operation.version)
	},
	Equal: func(a, b any) bool { return a.(uint64) == b.(uint64) },
}

// openOperation is an operation without an outcome.
type openOperation struct {
	machine *machine
	core    *Core
	ticket  Ticket
	input   versionInput
	call    kernel.Instant
	client  int
}

// faultRun injects random faults into a group while a client writes and reads at random
// members.
type faultRun struct {
	*cluster
	lastVersion    uint64
	ackedVersion   uint64
	openOperations []openOperation
	history        []porcupine.Operation
	lastClient     int
	healAt         kernel.Instant
	heal           func()
	nextJoin       int
	faults         []string
	// onStep is called in each step unless it is nil.
	onStep func()
}

func (r *faultRun) startOperation(m *machine, input versionInput) {
	var ticket Ticket
	var output Output
	if input.version == 0 {
		ticket, output = m.core.Read(r.now)
	} else {
		next := configurationOf(input.version)
		edit := directory.Difference(m.core.State().Configuration(), next)
		ticket, output = m.core.Submit(r.now, directory.Command{Kind: directory.CommandPublish, Edit: edit})
	}
	r.lastClient++
	r.openOperations = append(r.openOperations, openOperation{machine: m, core: m.core, ticket: ticket, input: input, call: r.now, client: r.lastClient})
	r.apply(m, output)
}

// collect adds finished operations to the history. A write with an unknown outcome may take
// effect at any later time.
func (r *faultRun) collect() {
	var remaining []openOperation
	for _, operation := range r.openOperations {
		outcome, done := operation.machine.outcomes[operation.ticket]
		sameRun := operation.machine.core == operation.core && operation.machine.up
		if !done && sameRun {
			remaining = append(remaining, operation)
			continue
		}
		known := done && sameRun && outcome.Err == nil && outcome.Result.Code == directory.CodeDone
		if !known && (operation.input.version == 0 || done && outcome.Err == nil) {
			continue
		}
		entry := porcupine.Operation{ClientId: operation.client, Input: operation.input, Call: int64(operation.call), Return: math.MaxInt64}
		if known {
			entry.Return = int64(r.now)
			entry.Output = operation.machine.core.State().Configuration().Version
			r.ackedVersion = max(r.ackedVersion, operation.input.version)
		}
		r.history = append(r.history, entry)
	}
	r.openOperations = remaining
}

func (r *faultRun) randomUpMember() *machine {
	names := r.names()
	for range 20 {
		m := r.machines[names[r.random.IntN(len(names))]]
		if m.up {
			return m
		}
	}
	return nil
}

// fault starts a random fault and sets when and how it ends.
func (r *faultRun) fault() {
	names := r.names()
	name := names[r.random.IntN(len(names))]
	kind := r.random.IntN(7)
	length := time.Duration(200+r.random.IntN(5000)) * time.Millisecond
	r.faults = append(r.faults, fmt.Sprintf("%v: %d on %s for %v", r.now, kind, name, length))
	r.heal = func() { r.cut = func(string, string) bool { return false } }
	switch kind {
	case 0, 1:
		r.kill(name, kind == 0)
		r.heal = func() { r.start(name) }
	case 2:
		r.wipe(name)
		r.heal = func() { r.start(name) }
	case 3:
		r.cut = func(from, to string) bool { return from == name || to == name }
	case 4:
		r.cut = func(from, _ string) bool { return from == name }
	case 5:
		r.restartAll(length / 4)
		r.heal = func() {}
	case 6:
		r.kill(name, false)
		delete(r.machines, name)
		r.nextJoin++
		joined := address(r.nextJoin)
		r.heal = func() {
			r.seeds = r.names()
			r.add(joined, false)
		}
	}
	r.healAt = r.now.Add(length)
}

func (r *faultRun) restartAll(pause time.Duration) {
	for _, name := range r.names() {
		r.kill(name, true)
	}
	r.collect()
	r.run(pause)
	for _, name := range r.names() {
		r.start(name)
	}
}

// recoveryTime is the time between the end of a fault and the next one.
const recoveryTime = 4 * time.Second

func runFaults(t *testing.T, seed uint64) {
	r := &faultRun{cluster: newCluster(t, seed, 3), nextJoin: 3}
	r.trace = os.Getenv("BEAMDOOR_FAULT_TRACE") != ""
	r.waitForLeader()
	r.play(60 * time.Second)
	context := fmt.Sprintf("seed %d, faults %v", seed, r.faults)
	require.NotNil(t, r.leader(), context)
	for _, name := range r.names() {
		version, err := r.read(r.machines[name])
		require.NoError(t, err, context)
		assert.GreaterOrEqual(t, version, r.ackedVersion, context)
	}
	assert.Len(t, r.voters(), 3, context)
	result := porcupine.CheckOperationsTimeout(versionModel, r.history, 20*time.Second)
	assert.Equal(t, porcupine.Ok, result, context)
}

// configurationOf returns the only configuration written under a version.
func configurationOf(version uint64) directory.Configuration {
	return directory.Configuration{Version: version, Routes: []directory.Route{{Name: fmt.Sprint("r", version)}}}
}

// play injects faults and starts operations for a duration, and then lets the group recover.
func (r *faultRun) play(duration time.Duration) {
	end := r.now.Add(duration)
	nextFault := r.now.Add(time.Second)
	for r.now < end {
		r.run(time.Duration(20+r.random.IntN(200)) * time.Millisecond)
		r.collect()
		if r.onStep != nil {
			r.onStep()
		}
		if m := r.randomUpMember(); m != nil {
			input := versionInput{}
			if r.random.IntN(3) > 0 {
				r.lastVersion += uint64(1 + r.random.IntN(3))
				input.version = r.lastVersion
			}
			r.startOperation(m, input)
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
	r.collect()
}

// Checks under random faults that versions are linearizable, acknowledged versions persist
// and the group returns to three voters.
func TestRandomFaults(t *testing.T) {
	seeds := faultSeeds
	if text := os.Getenv("BEAMDOOR_FAULT_SEEDS"); text != "" {
		asked, err := strconv.Atoi(text)
		require.NoError(t, err)
		seeds = asked
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runFaults(t, seed)
		})
	}
}
