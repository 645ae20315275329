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

// firstBlock is the first of the address blocks that these tests use.
const firstBlock = 60

// TestMain lets one run of these tests after the other use the address blocks of a
// machine. Two at once met each other's members: a version was read back that was never
// sent, and nodes had none.
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

// A fleet whose second member found its address taken broke off while it was closed,
// and its first member ran on for ever.
func TestAFleetThatCannotStartLeavesNoProcess(t *testing.T) {
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
			assert.NotNil(t, running.command.ProcessState, running.name+" has ended")
		}
	}
	assert.Positive(t, started, "the test needs one that was started")
}

// soakProgram builds the program with the layer of faults.
func soakProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "beamdoor-node-soak")
	output, err := exec.Command("go", "build", "-tags", "soak", "-o", program, "github.com/beamdoor/beamdoor/cmd/beamdoor-node").CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// playPlanted runs a fleet without faults for some seconds with a defect; "" plants
// none.
func playPlanted(t *testing.T, program string, block int, rule flowrules.Rule) soak.Result {
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

// Each rule can fail: with a defect planted around the product the soak sees the
// breach of that rule, and without one it sees none.
func TestTheSoakSeesPlantedDefects(t *testing.T) {
	program := soakProgram(t)
	block := firstBlock
	rules := []flowrules.Rule{""}
	for rule := range plants {
		rules = append(rules, rule)
	}
	for _, rule := range rules {
		block++
		own := block
		t.Run("plant "+string(rule), func(t *testing.T) {
			t.Parallel()
			result := playPlanted(t, program, own, rule)
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

// The check for FLOW missed its planted defect once: the defect was planted at the
// first target, and with 16 long flows over six targets that one has none in about
// one run of twenty, so no caller could see a reset.
func TestADefectOfFlowsIsPlantedWhereFlowsAre(t *testing.T) {
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

// Nodes acknowledge most heartbeats of a busy group; drains go on to members, and
// no target that lives is given up.
func TestNodesTakeTheHeartbeatsOfABusyGroup(t *testing.T) {
	played, err := NewSoak(Settings{Program: soakProgram(t), Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock}, Setups["beats"])
	require.NoError(t, err)
	defer played.Close()
	beats := &played.fleet.watch.beatsAtNodes
	waitAwake(t, played, 6*time.Second, "300 heartbeats at nodes", func() bool { return beats.Load() > 300 })
	var drained atomic.Bool
	leaving := played.anyTarget(boardService, 0)
	go func() {
		leaving.drain()
		drained.Store(true)
	}()
	waitAwake(t, played, drainTime+2*time.Second, "the end of the drain", drained.Load)
	assert.Empty(t, played.fleet.Report().Breaches)
}

// waitAwake waits for a condition for as long as this process has had a time: stopped for
// 5 s by SIGSTOP, it found a drain not acknowledged that had had no turn.
func waitAwake(t *testing.T, played *Soak, limit time.Duration, what string, done func() bool) {
	t.Helper()
	stalls := &played.fleet.watch.stalls
	for end := stalls.awakeFor() + limit; stalls.awakeFor() < end; time.Sleep(stallTick) {
		if done() {
			return
		}
	}
	require.True(t, done(), "%s: not within %v; %s", what, limit, stalls.text(time.Now()))
}

// The second of several drawn deployments could not start: the sockets of the
// first one's callers were still open.
func TestAClosedSoakLeavesItsAddressesFree(t *testing.T) {
	program := soakProgram(t)
	for range 2 {
		played, err := NewSoak(Settings{Program: program, Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock - 1}, Setups["small"])
		require.NoError(t, err)
		played.Close()
	}
}

// When a start failed, the end of the fleet panicked for the process that never ran, and
// the cause was not seen.
func TestASoakThatCannotStartTellsWhy(t *testing.T) {
	_, err := NewSoak(Settings{Program: filepath.Join(t.TempDir(), "none"), Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock - 2}, Setups["small"])
	assert.ErrorContains(t, err, "no such file")
}

func TestSoakOptionsAreChecked(t *testing.T) {
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

// A fleet that cannot start says why.
func TestASoakThatCannotStartReturnsItsError(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	_, err := NewSoak(Settings{Program: missing, Folder: t.TempDir(), Hash: HashRendezvous, Block: firstBlock + 20}, Setups["small"])
	assert.ErrorContains(t, err, missing)
}
