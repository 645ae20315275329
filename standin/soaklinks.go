package standin

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

const (
	// limitedLinkMbps is the rate of a limited link: an eighth of the configured rate, and half
	// of the callers' traffic through a node.
	limitedLinkMbps = 0.5
	// minLimitTime is added to the duration of a limit, so that callers send again within it.
	minLimitTime = 2 * time.Second
	// detectionStep is the resolution of the reported detection time of silent connections.
	detectionStep = 500 * time.Millisecond
)

// limitLink limits the link of a node to less than the rate in its settings.
func (s *Soak) limitLink(fault soak.Fault) error {
	node := netip.MustParseAddr(s.fleet.node(pick(s.edgeNames(), fault)).ip)
	s.fleet.links.limit(node, limitedLinkMbps)
	time.Sleep(minLimitTime + fault.For)
	s.fleet.links.limit(node, 0)
	return nil
}

// silenceConnections permanently silences the open connections to a member; new ones work.
// The ends that dialed must detect this and close them.
func (s *Soak) silenceConnections(fault soak.Fault) error {
	member := pick(s.fleet.memberNames, fault)
	silenced, err := s.fleet.proxies[member].SilenceOpen()
	if err != nil {
		return err
	}
	open, err := silenced.Open()
	dialled := open.Dialled
	for err == nil && open.Dialled > 0 && open.Took < flowrules.SilentBound {
		time.Sleep(stallInterval)
		open, err = silenced.Open()
	}
	if err != nil {
		return err
	}
	if open.Dialled > 0 {
		s.fleet.monitor.Broke(flowrules.Silent, "%d of %d clients of %s have not closed their silent connections after %v (%s)",
			open.Dialled, dialled, member, open.Took, s.fleet.monitor.stalls.describe(time.Now()))
	}
	steps := math.Ceil(float64(open.Took) / float64(detectionStep))
	logs := s.fleet.monitor.logs
	logs.addCount(fmt.Sprintf("silent connections, the last of a fault given up within %v", time.Duration(steps)*detectionStep), dialled-open.Dialled)
	logs.addCount("accepted ends of silent connections, open when the other ends were given up", open.Accepted)
	time.Sleep(fault.For)
	return nil
}
