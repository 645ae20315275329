package edge

import (
	"math"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/room"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// refusingPeriod is the time after its last refusal for which a node counts as refusing.
const refusingPeriod = room.ReportInterval

// linkUse tracks the use of the node's own link and what members report of the links of
// other nodes. It is owned by the goroutine that owns the core.
type linkUse struct {
	usage egress.LinkUsage
	// inShare and outShare are the used shares at the last tick.
	inShare, outShare float64
	peers             room.ZoneView
	// refusedAt is when a new flow was last refused. refusing is set until refusingPeriod
	// after.
	refusedAt kernel.Instant
	refusing  bool
	// lastSent is the latest link report sent to the member, at lastSentAt.
	lastSent   room.LinkReport
	lastSentAt kernel.Instant
	// peersKnown is set while what is known of other nodes is fresh.
	peersKnown bool
	// refusedShare is the share of new flows to refuse because of the link's use.
	refusedShare egress.RefusalFraction
}

// linkReport returns the current report on the node's link.
func (u *linkUse) linkReport(load egress.LinkLoad) room.LinkReport {
	return room.LinkReport{
		Rate:       uint32(min(load.ConfiguredRate, math.MaxUint32)),
		InPercent:  percent(u.inShare),
		OutPercent: percent(u.outShare),
		WaitStep:   room.WaitToStep(load.ExpectedWait()),
		Refusing:   u.refusing,
	}
}

func percent(share float64) uint8 { return uint8(min(max(share, 0)*100, 100)) }

// nextLinkReport returns the link report to send, if one is due: when it has changed or
// must be repeated, but at most once per room.ReportInterval.
func (u *linkUse) nextLinkReport(now kernel.Instant, load egress.LinkLoad) (room.LinkReport, bool) {
	report := u.linkReport(load)
	since := now.Sub(u.lastSentAt)
	if since < room.ReportInterval || report == u.lastSent && since < room.RepeatInterval {
		return room.LinkReport{}, false
	}
	u.lastSent = report
	u.lastSentAt = now
	return report, true
}

// updateLinkUse measures the link's use and sends a link report when due.
func (p *Process) updateLinkUse(now kernel.Instant) {
	u := &p.sender.linkUse
	u.usage.Tick()
	u.inShare, u.outShare = u.usage.Utilization(p.sender.estimator.Rate(now))
	u.peersKnown = u.peers.IsCurrent(now)
	u.refusedShare.Update(p.sender.load(now), reportInterval)
	p.updateRefusing(now)
	load := p.sender.load(now)
	p.metrics.setLinkUse(u, load)
	if load.ConfiguredRate <= 0 {
		return
	}
	if report, due := u.nextLinkReport(now, load); due {
		p.subscriber.sendFrame(room.Message{Report: &report}.Frame())
	}
}

// updateRefusing updates whether the node counts as refusing new flows and logs a change.
func (p *Process) updateRefusing(now kernel.Instant) {
	u := &p.sender.linkUse
	refusing := u.refusedAt > 0 && now.Sub(u.refusedAt) < refusingPeriod
	if refusing == u.refusing {
		return
	}
	u.refusing = refusing
	load := p.sender.load(now)
	if refusing {
		summary := u.peers.Summary()
		p.logger.Event(eventlog.NodeRefuses, "in", u.inShare, "out", u.outShare, "wait", load.ExpectedWait(), "offered", load.RetryWait,
			"known", load.PeersKnown, "nodes", summary.Nodes(), "refusing", summary.RefusingNodes)
		return
	}
	p.logger.Event(eventlog.NodeTakesAll, "in", u.inShare, "out", u.outShare, "wait", load.ExpectedWait())
}

// receiveRoom handles what a member reports of the links of other nodes.
func (s *subscriber) receiveRoom(payload []byte) error {
	message, err := room.Decode(payload)
	if err == nil {
		s.process.inputs.TryPush(roomInput{message: message})
	}
	return err
}

type roomInput struct{ message room.Message }

func (i roomInput) handle(p *Process, now kernel.Instant) {
	p.sender.linkUse.peers.Update(now, p.settings.Zone, i.message)
}

// sendFrame queues a frame for the followed member. It drops the frame if there is none
// or the queue is full.
func (s *subscriber) sendFrame(frame wire.Frame) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reports != nil {
		s.reports.TryPush(frame)
	}
}
