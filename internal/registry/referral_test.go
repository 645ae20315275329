package registry

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/wire"
)

var referred = []directory.Member{
	{ID: 1, Address: "10.0.0.1:7000", Zone: "south"},
	{ID: 2, Address: "10.0.0.2:7000", Zone: "north"},
}

func TestReferralOfNodesThatKnowOnlySeeds(t *testing.T) {
	cases := []struct {
		name      string
		members   []directory.Member
		subscribe Subscribe
		sent      bool
	}{
		{"another zone", referred, Subscribe{Zone: "north", Referable: true}, true},
		{"a zone without members", referred, Subscribe{Zone: "west", Referable: true}, true},
		{"same zone", referred, Subscribe{Zone: "south", Referable: true}, false},
		{"knows the members", referred, Subscribe{Zone: "north"}, false},
		{"no other member is known", referred[:1], Subscribe{Zone: "north", Referable: true}, false},
		{"no member is known", nil, Subscribe{Zone: "north", Referable: true}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := newReferralTable(referred[0].Address, "south", test.members)
			assert.Equal(t, test.sent, table.refers(test.subscribe))
		})
	}
}

// Referrals are sent by the connection's goroutine, so that they do not delay the core.
func TestReferralBypassesCore(t *testing.T) {
	process := NewProcess(Settings{Name: "core-1"}, eventlog.Discard())
	process.referrals.Store(newReferralTable(referred[0].Address, "south", referred))
	client, server := net.Pipe()
	go process.serve(server)
	require.NoError(t, client.SetDeadline(time.Now().Add(5*time.Second)))
	_, err := client.Write(wire.AppendFrame(nil, Subscribe{Node: "edge-1", Zone: "north", Referable: true}.Frame()))
	require.NoError(t, err)
	reader := bufio.NewReader(client)
	frame, err := wire.ReadFrame(reader)
	require.NoError(t, err)
	require.Equal(t, wire.FrameReferral, frame.Kind)
	referral, err := DecodeReferral(frame.Payload)
	require.NoError(t, err)
	assert.Equal(t, referred, referral.Members)
	_, err = wire.ReadFrame(reader)
	assert.Error(t, err, "the connection is closed")
	assert.Zero(t, process.inputs.Discard())
}

// Members added after the last snapshot are found only in log entries that a restarted
// member does not yet know to be committed.
func TestReferralAfterRestartListsPersistedMembers(t *testing.T) {
	c := newTolerantCluster(t, 1, 5, 2)
	c.waitForLeader()
	for _, name := range c.names() {
		c.kill(name, true)
	}
	for _, name := range c.names() {
		c.start(name)
	}
	for _, name := range c.names() {
		assert.Len(t, c.machines[name].core.referralMembers(), 5, name)
	}
}
