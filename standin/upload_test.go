package standin

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// At most 16 packets are in flight, and each is retransmitted after 200 ms with
// exponential backoff up to 1.6 s.
func TestUploadWindowAndBackoff(t *testing.T) {
	data := request{uploadSize: uploadSize}.encode()
	u := newUpload(4_294_960_000, data)
	require.Len(t, u.segments, 34)
	now := time.Now()
	due, next := u.due(now)
	assert.Len(t, due, uploadWindow)
	var pauses []time.Duration
	for range 5 {
		pauses = append(pauses, next.Sub(now))
		now = next
		due, next = u.due(now)
		assert.Len(t, due, uploadWindow)
	}
	milliseconds := time.Millisecond
	assert.Equal(t, []time.Duration{200 * milliseconds, 400 * milliseconds, 800 * milliseconds, 1600 * milliseconds, 1600 * milliseconds}, pauses)
	third := u.segments[2].sequence
	u.acknowledge(third + 5)
	assert.Equal(t, third, u.segments[0].sequence, "a partially acknowledged segment is kept")
	due, _ = u.due(now)
	assert.Len(t, due, 2)
	last := u.segments[len(u.segments)-1]
	u.acknowledge(last.sequence + uint32(len(last.data)))
	due, next = u.due(now)
	assert.Empty(t, due)
	assert.True(t, next.IsZero())
}

// A rate-limited link delays datagrams by its queue and drops them once it is full.
func TestLimitedLinkDelaysAndDrops(t *testing.T) {
	var l links
	node, other := netip.MustParseAddr("127.0.1.1"), netip.MustParseAddr("127.0.1.2")
	now := time.Now()
	l.limit(node, 1)
	wait, passes := l.delay(node, 1250, now)
	assert.True(t, passes)
	assert.Equal(t, 10*time.Millisecond, wait)
	wait, passes = l.delay(node, 1250, now)
	assert.True(t, passes)
	assert.Equal(t, 20*time.Millisecond, wait)
	wait, passes = l.delay(other, 1250, now)
	assert.True(t, passes)
	assert.Zero(t, wait)
	for range 9 {
		_, passes = l.delay(node, 1250, now)
		assert.True(t, passes)
	}
	_, passes = l.delay(node, 1250, now)
	assert.False(t, passes)
	_, passes = l.delay(node, 1250, now.Add(time.Second))
	assert.True(t, passes)
	l.limit(node, 0)
	wait, passes = l.delay(node, 1250, now)
	assert.True(t, passes)
	assert.Zero(t, wait)
}
