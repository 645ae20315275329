package standin

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

// firstBlock is the first address block that these tests use.
const firstBlock = 60

// TestMain serializes runs of these tests on a machine with a lock file, since fleets that
// share an address block disturb each other.
func TestMain(m *testing.M) {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("beamdoor-standin-%d.lock", os.Getuid()))
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "address blocks:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = lock.Close()
	os.Exit(code)
}

// A fleet that fails to start because an address is in use leaves no process behind.
func TestFailedStartLeavesNoProcess(t *testing.T) {
	fleet := New(Settings{Program: soakProgram(t), Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock - 2, Edges: 1, ProxyMembers: true})
	taken, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", fleet.address(memberNet, 2), innerPort))
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	require.Error(t, fleet.Start())
	require.NotPanics(t, fleet.Close)
	started := 0
	for _, running := range fleet.nodes {
		if running.command != nil {
			started++
			assert.NotNil(t, running.command.ProcessState, running.name+" has exited")
		}
	}
	assert.Positive(t, started, "no process was started before the failure")
}

// soakProgram builds the program with fault injection.
func soakProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "beamdoor-node-soak")
	output, err := exec.Command("go", "build", "-tags", "soak", "-o", program, "github.com/beamdoor/beamdoor/cmd/beamdoor-node").CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// runWithDefect runs a fleet without random faults and with an injected defect; "" injects none.
func runWithDefect(t *testing.T, program string, block int, rule flowrules.Rule) soak.Result {
	t.Helper()
	played, err := NewSoak(Settings{Program: program, Folder: t.TempDir(), Hash: HashRendezvous, Block: block}, Setups["small"])
	require.NoError(t, err)
	defer played.Close()
	if rule != "" {
		require.NoError(t, played.InjectDefect(rule))
	}
	world := played.World()
	result, err := soak.Run(context.Background(), world, soak.Options{Seed: 1, Length: 8 * time.Second, Kinds: world.AllKinds(), Out: &bytes.Buffer{}})
	require.NoError(t, err)
	return result
}

// A defect injected for a rule is reported as a breach of that rule, and a run without one
// has no breaches.
func TestSoakDetectsInjectedDefects(t *testing.T) {
	program := soakProgram(t)
	block := firstBlock
	rules := []flowrules.Rule{""}
	for rule := range defects {
		rules = append(rules, rule)
	}
	for _, rule := range rules {
		block++
		own := block
		t.Run("plant "+string(rule), func(t *testing.T) {
			t.Parallel()
			result := runWithDefect(t, program, own, rule)
			if rule == "" {
				assert.Empty(t, result.Report.Breaches)
				assert.Greater(t, result.Report.Served, 500)
				return
			}
			var broken []flowrules.Rule
			for _, breach := range result.Report.Breaches {
				broken = append(broken, breach.Rule)
			}
			assert.Contains(t, broken, rule)
		})
	}
}

// A defect in flows must be injected at a target with open flows, or no caller sees a reset.
func TestTargetWithFlowsChoosesMostOpenFlows(t *testing.T) {
	flows := func(count int) map[netip.AddrPort]*targetFlow {
		held := map[netip.AddrPort]*targetFlow{}
		for port := range count {
			held[netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(port))] = &targetFlow{open: true}
		}
		return held
	}
	opening := flows(5)
	for _, flow := range opening {
		flow.open = false
	}
	idle := &target{service: boardService, state: stateReady}
	busy := &target{service: boardService, state: stateReady, flows: flows(2)}
	s := &Soak{fleet: &Fleet{targets: []*target{
		idle,
		{service: boardService, state: stateReady, flows: opening},
		{service: documentService, state: stateReady, flows: flows(9)},
		{service: boardService, state: stateDraining, flows: flows(9)},
		busy,
	}}}
	chosen, err := s.targetWithFlows(boardService)
	require.NoError(t, err)
	assert.Same(t, busy, chosen)
}

// Nodes acknowledge heartbeats of a busy group, while drains still reach members and no
// running target is declared lost.
func TestNodesAcknowledgeHeartbeats(t *testing.T) {
	played, err := NewSoak(Settings{Program: soakProgram(t), Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock}, Setups["beats"])
	require.NoError(t, err)
	defer played.Close()
	beats := &played.fleet.monitor.nodeHeartbeats
	waitRunning(t, played, 6*time.Second, "300 heartbeats at nodes", func() bool { return beats.Load() > 300 })
	var drained atomic.Bool
	leaving := played.anyTarget(boardService, 0)
	go func() {
		leaving.drain()
		drained.Store(true)
	}()
	waitRunning(t, played, drainTime+2*time.Second, "the end of the drain", drained.Load)
	assert.Empty(t, played.fleet.Report().Breaches)
}

// waitRunning waits for a condition; the limit excludes stalls of this process.
func waitRunning(t *testing.T, played *Soak, limit time.Duration, what string, done func() bool) {
	t.Helper()
	stalls := &played.fleet.monitor.stalls
	for end := stalls.runningTime() + limit; stalls.runningTime() < end; time.Sleep(stallInterval) {
		if done() {
			return
		}
	}
	require.True(t, done(), "%s: not within %v; %s", what, limit, stalls.describe(time.Now()))
}

// A closed soak releases its addresses, so that another can start in the same block.
func TestCloseReleasesAddresses(t *testing.T) {
	program := soakProgram(t)
	for range 2 {
		played, err := NewSoak(Settings{Program: program, Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock - 1}, Setups["small"])
		require.NoError(t, err)
		played.Close()
	}
}

// A failed start returns its cause, and closing the fleet does not panic.
func TestNewSoakReportsStartError(t *testing.T) {
	_, err := NewSoak(Settings{Program: filepath.Join(t.TempDir(), "none"), Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock - 2}, Setups["small"])
	assert.ErrorContains(t, err, "no such file")
}

func TestSoakValidatesOptions(t *testing.T) {
	cases := []struct {
		name      string
		arguments []string
		problem   string
	}{
		{"unknown set-up", []string{"--setup", "huge"}, "--setup"},
		{"no length", []string{"--minutes", "0"}, "--minutes"},
		{"no such block", []string{"--block", "300"}, "--block"},
		{"no program", []string{"--program", "/nowhere"}, "--program"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			command := NewSoakCommand()
			command.SetArgs(test.arguments)
			command.SilenceUsage = true
			command.SilenceErrors = true
			assert.ErrorContains(t, command.Execute(), test.problem)
		})
	}
}

// The error of a failed start names the missing program.
func TestNewSoakErrorNamesMissingProgram(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	_, err := NewSoak(Settings{Program: missing, Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock + 20}, Setups["small"])
	assert.ErrorContains(t, err, missing)
}
