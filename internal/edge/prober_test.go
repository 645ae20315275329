package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/steer"
)

func TestAnsweredProbeReachesTarget(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	prober := newProber(newLoadedNode(egress.Link{}, 0).process)
	target := directory.Target{ID: "i-1", Address: netip.MustParseAddrPort(listener.Addr().String())}
	assert.Equal(t, steer.ProbeReached, prober.probe(target))
	require.NoError(t, listener.Close())
	assert.Equal(t, steer.ProbeReached, prober.probe(target), "connection refused by a reachable machine")
}

// Unlike one that accepts connections, a target without a listener may be dead though its
// machine answers.
func TestRefusedProbeIsReported(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	process := newLoadedNode(egress.Link{}, 0).process
	prober := newProber(process)
	target := directory.Target{ID: "i-1", Token: plainToken, Address: netip.MustParseAddrPort(listener.Addr().String())}
	prober.probe(target)
	require.NoError(t, listener.Close())
	prober.probe(target)
	process.inputs.Close()
	reported, _ := process.inputs.PopBatch(nil, 8)
	assert.Equal(t, []input{probeRefusalInput{target: target}}, reported)
}

func TestOnlyTargetTimeoutFailsProbe(t *testing.T) {
	prober := newProber(newLoadedNode(egress.Link{}, 0).process)
	cases := []struct {
		name string
		dial func(ctx context.Context, address string) error
		want steer.ProbeOutcome
	}{
		{"timeout", func(context.Context, string) error { return context.DeadlineExceeded }, steer.ProbeFailed},
		{"stalled node", func(ctx context.Context, _ string) error {
			time.Sleep(probeTimeout + 2*probeSlack)
			return context.DeadlineExceeded
		}, steer.ProbeUnknown},
		{"no file descriptors left", func(context.Context, string) error { return errors.New("too many open files") }, steer.ProbeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			prober.dial = test.dial
			assert.Equal(t, test.want, prober.probe(directory.Target{ID: "i-1"}))
		})
	}
}
