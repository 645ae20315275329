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

// startMember runs a group of one member and returns its address.
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

// order gives an order until the member takes it: it needs a moment to lead.
func order(t *testing.T, address string, wanted Order) OrderReply {
	t.Helper()
	var reply OrderReply
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var err error
		reply, err = SendOrder(ctx, []string{address}, wanted)
		return err == nil && (reply.Problem == "" || reply.Refused)
	}, 10*time.Second, 20*time.Millisecond)
	return reply
}

func TestOrdersOverTheMembersOwnProtocol(t *testing.T) {
	process, address := startMember(t)
	assert.Empty(t, order(t, address, Order{}).Shares)
	for id, zone := range map[string]string{"i-1": "north", "i-2": "south"} {
		target := directory.Target{ID: id, Service: "booking", Zone: zone, Slots: 2, State: directory.TargetReady}
		target.Address = netip.MustParseAddrPort("10.0.0." + id[2:] + ":1")
		_, err := process.HandleHeartbeat(context.Background(), Heartbeat{Target: target})
		require.NoError(t, err)
	}
	shares := order(t, address, Order{Kind: OrderEvacuate, Zone: "north"}).Shares
	require.Len(t, shares, 2)
	assert.Equal(t, ZoneShare{Zone: "north", Service: "booking", Targets: 1, Slots: 2, Evacuated: true}, shares[0])
	assert.False(t, shares[1].Evacuated)
	assert.True(t, order(t, address, Order{Kind: OrderEvacuate, Zone: "north"}).Shares[0].Evacuated, "given again")
	assert.False(t, order(t, address, Order{Kind: OrderTakeBack, Zone: "north"}).Shares[0].Evacuated)
	refused := order(t, address, Order{Kind: OrderEvacuate, Zone: "west"})
	assert.True(t, refused.Refused)
	assert.Equal(t, `zone: "west" is not known`, refused.Problem)
}

func TestADryRunTellsWhatTheOtherZonesBear(t *testing.T) {
	shares := []ZoneShare{
		{Zone: "a", Service: "one", Slots: 10}, {Zone: "b", Service: "one", Slots: 10}, {Zone: "c", Service: "one", Slots: 10, Evacuated: true},
		{Zone: "a", Service: "two", Slots: 4},
		{Zone: "a", Service: "three", Slots: 2}, {Zone: "b", Service: "three", Slots: 8},
	}
	effects, warnings := DryRun(shares, "a")
	require.Len(t, effects, 2)
	assert.Equal(t, Effect{Service: "one", Zone: "b", Before: 0.5, After: 1}, effects[0])
	assert.Equal(t, Effect{Service: "three", Zone: "b", Before: 0.8, After: 1}, effects[1])
	assert.Equal(t, []string{
		"service one: the other zones bear 2.0 times as much",
		"service two has no targets elsewhere: its callers are refused meanwhile",
	}, warnings)
}

func FuzzDecodeOrder(f *testing.F) {
	f.Add(Order{Kind: OrderEvacuate, Zone: "north"}.frame().Payload)
	f.Add(OrderReply{Problem: "p", Shares: []ZoneShare{{Zone: "a", Service: "b", Targets: 1, Slots: 2}}}.frame().Payload)
	f.Fuzz(func(t *testing.T, data []byte) {
		if decoded, err := decodeOrder(data); err == nil {
			again, err := decodeOrder(decoded.frame().Payload)
			require.NoError(t, err)
			assert.Equal(t, decoded, again)
		}
		_, _ = decodeOrderReply(data)
	})
}
