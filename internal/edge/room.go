package edge

import (
	"math"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/room"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// refusingTime is how long a node counts as one that refuses after its last refusal.
const refusingTime = room.ReportInterval

// roomKeeper knows how used the node's own link is and what members tell of others. The
// goroutine that owns the core owns it too.
type roomKeeper struct {
	usage egress.LinkUsage
	// in and out are the used shares as of the last tick.
	in, out float64
	view    room.ZoneView
	// refusedAt is when a new flow was last refused, and refusing is set until refusingTime
	// after it.
	refusedAt kernel.Instant
	refusing  bool
	// told is the newest word told to the member, toldAt when.
	told   room.LinkReport
	toldAt kernel.Instant
	// known is set while the view counts.
	known bool
	// refused is the share of new flows that are refused for the link's use.
	refused egress.RefusalFraction
}

// wordOf returns what the node tells of its link.
func (k *roomKeeper) wordOf(load egress.LinkLoad) room.LinkReport {
	return room.LinkReport{
		Rate:       uint32(min(load.ConfiguredRate, math.MaxUint32)),
		InPercent:  hundredths(k.in),
		OutPercent: hundredths(k.out),
		WaitStep:   room.WaitToStep(load.ExpectedWait()),
		Refusing:   k.refusing,
	}
}

func hundredths(share float64) uint8 { return uint8(min(max(share, 0)*100, 100)) }

// takeWord returns the word that is to be told, if any: one that differs or is to be
// repeated, no more often than room.Interval.
func (k *roomKeeper) takeWord(now kernel.Instant, load egress.LinkLoad) (room.LinkReport, bool) {
	word := k.wordOf(load)
	since := now.Sub(k.toldAt)
	if since < room.ReportInterval || word == k.told && since < room.RepeatInterval {
		return room.LinkReport{}, false
	}
	k.told = word
	k.toldAt = now
	return word, true
}

// tickRoom measures the link's use, tells it and notes what has changed.
func (p *Process) tickRoom(now kernel.Instant) {
	k := &p.sender.room
	k.usage.Tick()
	k.in, k.out = k.usage.Utilization(p.sender.learner.Rate(now))
	k.known = k.view.IsCurrent(now)
	k.refused.Update(p.sender.load(now), reportInterval)
	p.noteRefusing(now)
	load := p.sender.load(now)
	p.metrics.noteRoom(k, load)
	if load.ConfiguredRate <= 0 {
		return
	}
	if word, due := k.takeWord(now, load); due {
		p.subscriber.tell(room.Message{Report: &word}.Frame())
	}
}

// noteRefusing writes an event when the node begins to refuse new flows, and when it has
// refused none for refusingTime.
func (p *Process) noteRefusing(now kernel.Instant) {
	k := &p.sender.room
	refusing := k.refusedAt > 0 && now.Sub(k.refusedAt) < refusingTime
	if refusing == k.refusing {
		return
	}
	k.refusing = refusing
	load := p.sender.load(now)
	if refusing {
		sum := k.view.Summary()
		p.logger.Event(eventlog.NodeRefuses, "in", k.in, "out", k.out, "wait", load.ExpectedWait(), "offered", load.RetryWait,
			"known", load.PeersKnown, "nodes", sum.Nodes(), "refusing", sum.RefusingNodes)
		return
	}
	p.logger.Event(eventlog.NodeTakesAll, "in", k.in, "out", k.out, "wait", load.ExpectedWait())
}

// receiveRoom takes what a member tells of the links of other nodes.
func (s *subscriber) receiveRoom(payload []byte) error {
	message, err := room.Decode(payload)
	if err == nil {
		s.process.inputs.TryPush(roomInput{message: message})
	}
	return err
}

type roomInput struct{ message room.Message }

func (i roomInput) handle(p *Process, now kernel.Instant) {
	p.sender.room.view.Update(now, p.settings.Zone, i.message)
}

// tell sends a frame to the member that is followed. Without one, or when the member does
// not read, it is dropped: the next one says the same.
func (s *subscriber) tell(frame wire.Frame) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reports != nil {
		s.reports.TryPush(frame)
	}
}
