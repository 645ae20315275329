package registry

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// startMember runs a group of one member and returns its process and address.
func startMember(t *testing.T) (*Process, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	own := listener.Addr().String()
	require.NoError(t, listener.Close())
	settings := DefaultCoreSettings()
	settings.Address = own
	settings.Zone = "north"
	settings.Seeds = []string{own}
	settings.Bootstrap = true
	settings.Voters = 1
	process := NewProcess(Settings{Name: "m1", DataFolder: t.TempDir(), Core: settings, Zones: []string{"north", "south"}}, eventlog.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return process, own
}

// sendRequest repeats a request until the member, which first has to become leader, handles
// it.
func sendRequest(t *testing.T, address string, request OperatorRequest) OperatorResponse {
	t.Helper()
	var response OperatorResponse
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var err error
		response, err = SendOperatorRequest(ctx, []string{address}, request)
		return err == nil && (response.Error == "" || response.Rejected)
	}, 10*time.Second, 20*time.Millisecond)
	return response
}

func TestEvacuationRequestsOverMemberProtocol(t *testing.T) {
	process, address := startMember(t)
	assert.Empty(t, sendRequest(t, address, OperatorRequest{}).Zones)
	for id, zone := range map[string]string{"i-1": "north", "i-2": "south"} {
		target := directory.Target{ID: id, Service: "booking", Zone: zone, Slots: 2, State: directory.TargetReady}
		target.Address = netip.MustParseAddrPort("10.0.0." + id[2:] + ":1")
		_, err := process.HandleHeartbeat(context.Background(), Heartbeat{Target: target})
		require.NoError(t, err)
	}
	zones := sendRequest(t, address, OperatorRequest{Action: ActionEvacuateZone, Zone: "north"}).Zones
	require.Len(t, zones, 2)
	assert.Equal(t, ZoneStatus{Zone: "north", Service: "booking", Targets: 1, Slots: 2, Evacuated: true}, zones[0])
	assert.False(t, zones[1].Evacuated)
	assert.True(t, sendRequest(t, address, OperatorRequest{Action: ActionEvacuateZone, Zone: "north"}).Zones[0].Evacuated, "repeated request")
	assert.False(t, sendRequest(t, address, OperatorRequest{Action: ActionEndEvacuation, Zone: "north"}).Zones[0].Evacuated)
	rejected := sendRequest(t, address, OperatorRequest{Action: ActionEvacuateZone, Zone: "west"})
	assert.True(t, rejected.Rejected)
	assert.Equal(t, `zone: "west" is not known`, rejected.Error)
}

func TestDryRunEvacuationPredictsLoad(t *testing.T) {
	zones := []ZoneStatus{
		{Zone: "a", Service: "one", Slots: 10}, {Zone: "b", Service: "one", Slots: 10}, {Zone: "c", Service: "one", Slots: 10, Evacuated: true},
		{Zone: "a", Service: "two", Slots: 4},
		{Zone: "a", Service: "three", Slots: 2}, {Zone: "b", Service: "three", Slots: 8},
	}
	effects, warnings := DryRunEvacuation(zones, "a")
	require.Len(t, effects, 2)
	assert.Equal(t, ShareChange{Service: "one", Zone: "b", Before: 0.5, After: 1}, effects[0])
	assert.Equal(t, ShareChange{Service: "three", Zone: "b", Before: 0.8, After: 1}, effects[1])
	assert.Equal(t, []string{
		"service one: load on the other zones rises by a factor of 2.0",
		"service two has no targets in other zones: new flows are refused during the evacuation",
	}, warnings)
}

func FuzzDecodeOperatorRequest(f *testing.F) {
	f.Add(OperatorRequest{Action: ActionEvacuateZone, Zone: "north"}.frame().Payload)
	f.Add(OperatorResponse{Error: "p", Zones: []ZoneStatus{{Zone: "a", Service: "b", Targets: 1, Slots: 2}}}.frame().Payload)
	f.Fuzz(func(t *testing.T, data []byte) {
		if decoded, err := decodeOperatorRequest(data); err == nil {
			again, err := decodeOperatorRequest(decoded.frame().Payload)
			require.NoError(t, err)
			assert.Equal(t, decoded, again)
		}
		_, _ = decodeOperatorResponse(data)
	})
}
