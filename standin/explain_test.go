package standin

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/explain"
)

// startFleet starts a fleet of real processes with two edges.
func startFleet(t *testing.T) *Fleet {
	program := filepath.Join(t.TempDir(), "beamdoor-node")
	build := exec.Command("go", "build", "-o", program, "github.com/beamdoor/beamdoor/cmd/beamdoor-node")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	fleet := New(Settings{Program: program, Folder: t.TempDir(), Edges: 2, Hash: HashRendezvous})
	t.Cleanup(fleet.Close)
	require.NoError(t, fleet.Start())
	return fleet
}

// timeline merges the log lines of all processes that match a query.
func (f *Fleet) timeline(t *testing.T, query explain.Query) []explain.Line {
	files, err := filepath.Glob(filepath.Join(f.settings.Folder, "*.log"))
	require.NoError(t, err)
	var lines []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		require.NoError(t, err)
		part, err := explain.Read(file, query)
		require.NoError(t, err)
		require.NoError(t, file.Close())
		lines = append(lines, part...)
	}
	return explain.Timeline(lines, query)
}

// eventually waits until the timeline contains the events in order.
func (f *Fleet) eventually(t *testing.T, query explain.Query, events ...string) []explain.Line {
	var timeline []explain.Line
	holds := func() bool {
		timeline = f.timeline(t, query)
		rest := events
		for _, line := range timeline {
			if len(rest) > 0 && line.Name == rest[0] {
				rest = rest[1:]
			}
		}
		return len(rest) == 0
	}
	require.Eventually(t, holds, 8*time.Second, 100*time.Millisecond, "%v in %v", events, query)
	return timeline
}

// The logs alone lead from a failed request or configuration change to its cause.
func TestLogsExplainFailedRequests(t *testing.T) {
	fleet := startFleet(t)
	first, err := fleet.AddTarget(boardService)
	require.NoError(t, err)
	_, err = fleet.AddTarget(documentService)
	require.NoError(t, err)
	require.NoError(t, fleet.Configure(routes()))
	require.NoError(t, fleet.WaitReady(2, 10*time.Second))
	var hosts []*caller
	for number := range 8 {
		host, err := newCaller(fleet, netip.MustParseAddr(fleet.address(callerNet, number+1)))
		require.NoError(t, err)
		hosts = append(hosts, host)
	}

	t.Run("a flow open to a target that died", func(t *testing.T) {
		flows := openAll(t, hosts, first)
		first.crash()
		ended := make(chan *callerFlow, len(flows))
		for _, flow := range flows {
			go func() {
				if flow.roundTrip(request{id: fleet.monitor.Ask(false)}) != nil {
					ended <- flow
				}
			}()
		}
		failed := <-ended
		fleet.eventually(t, explain.Query{Caller: failed.local.String()}, "flow_placed", "target_held_lost")
	})

	t.Run("a SYN refused while a service drains", func(t *testing.T) {
		leaving, err := fleet.addTargetAt(boardService, first.address.Addr().String())
		require.NoError(t, err)
		go leaving.drain()
		var refused *callerFlow
		require.Eventually(t, func() bool {
			flow := &callerFlow{caller: hosts[0], virtual: bookingAddress, incoming: make(chan packet, flowQueueSize)}
			hosts[0].mutex.Lock()
			hosts[0].lastPort++
			flow.local = netip.AddrPortFrom(hosts[0].ip, hosts[0].lastPort)
			hosts[0].flows[flow.local.Port()] = flow
			hosts[0].mutex.Unlock()
			refused = flow
			return flow.handshake() == errReset
		}, 10*time.Second, 100*time.Millisecond)
		timeline := fleet.eventually(t, explain.Query{Caller: refused.local.String()}, "flow_reset")
		last := timeline[len(timeline)-1]
		assert.Contains(t, []string{"no_target", "ended"}, last.Value("reason"))
		stages := fleet.eventually(t, explain.Query{Target: leaving.id}, "target_stage", "target_stage")
		draining := func(line explain.Line) bool { return line.Value("state") == "draining" }
		assert.True(t, slices.ContainsFunc(stages, draining))
	})

	t.Run("a configuration refused for lack of a leader", func(t *testing.T) {
		require.NoError(t, fleet.Signal("member-1", syscall.SIGSTOP))
		require.NoError(t, fleet.Signal("member-2", syscall.SIGSTOP))
		time.Sleep(time.Second)
		body, err := fleet.configuration(77, routes())
		require.NoError(t, err)
		assert.False(t, fleet.post(fleet.controls()[2]+pathReplaceConfig, body))
		fleet.eventually(t, explain.Query{Version: "77"}, "role_changed", "request_given_up", "version_unanswered")
		require.NoError(t, fleet.Signal("member-1", syscall.SIGCONT))
		require.NoError(t, fleet.Signal("member-2", syscall.SIGCONT))
	})
}

// openAll opens a flow from each host and completes one request on it.
func openAll(t *testing.T, hosts []*caller, holder *target) []*callerFlow {
	var flows []*callerFlow
	for _, host := range hosts {
		flow, err := host.open(boardAddress)
		require.NoError(t, err)
		require.NoError(t, flow.roundTrip(request{id: holder.fleet.monitor.Ask(false)}))
		flows = append(flows, flow)
	}
	return flows
}
