package registry

import (
	"bufio"
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

// sendFrame sends one request without confirming it, and returns the response.
func sendFrame(t *testing.T, address string, request OperatorRequest) OperatorResponse {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	response, err := exchangeOperatorRequest(connection, bufio.NewReader(connection), request)
	require.NoError(t, err)
	return response
}

// A request over the member protocol that its caller has not confirmed, or that was confirmed
// before a later one was acknowledged, must change nothing.
func TestUnconfirmedOperatorRequestsChangeNothing(t *testing.T) {
	process, address := startMember(t)
	target := directory.Target{ID: "i-1", Service: "booking", Version: "v1", Zone: "north", Slots: 2, State: directory.TargetReady}
	target.Address = netip.MustParseAddrPort("10.0.0.1:1")
	require.Empty(t, sendRequest(t, address, OperatorRequest{}).Error)
	_, err := process.HandleHeartbeat(context.Background(), Heartbeat{Target: target})
	require.NoError(t, err)
	version := target.ServiceVersion()
	cases := []struct{ delayed, later OperatorRequest }{
		{OperatorRequest{Action: ActionEvacuateZone, Zone: "north"}, OperatorRequest{Action: ActionEndEvacuation, Zone: "north"}},
		{OperatorRequest{Action: ActionEjectTarget, Target: "i-1"}, OperatorRequest{Action: ActionReadmitTarget, Target: "i-1"}},
		{OperatorRequest{Action: ActionHoldVersion, Version: version}, OperatorRequest{Action: ActionReleaseVersion, Version: version}},
	}
	status := func() OperatorResponse {
		response := sendRequest(t, address, OperatorRequest{Target: "i-1"})
		require.Len(t, response.Targets, 1)
		response.Targets[0].Ejected = response.Targets[0].Rule == directory.RuleEjected
		return response
	}
	for _, test := range cases {
		before := status()
		unconfirmed := sendFrame(t, address, test.delayed)
		assert.Positive(t, unconfirmed.Confirm)
		assert.True(t, unconfirmed.Rejected)
		assert.Contains(t, unconfirmed.Error, "must be confirmed with log position")
		assert.Equal(t, before, status(), "not confirmed")

		require.Empty(t, sendRequest(t, address, test.later).Error)
		test.delayed.Position = unconfirmed.Confirm
		before = status()
		assert.Contains(t, sendFrame(t, address, test.delayed).Error, "first")
		assert.Equal(t, before, status(), "confirmed before the later request")
		require.Empty(t, sendRequest(t, address, OperatorRequest{Action: test.delayed.Action, Zone: "north", Target: "i-1", Version: version}).Error)
		assert.NotEqual(t, before, status(), "sent again")
		require.Empty(t, sendRequest(t, address, test.later).Error)
	}
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
	f.Add(OperatorRequest{Action: ActionEvacuateZone, Zone: "north", Position: 7}.frame().Payload)
	f.Add(OperatorResponse{Error: "q", Confirm: 7}.frame().Payload)
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
