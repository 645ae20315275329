package edge

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

func (s *subscriber) receive(frame wire.Frame) error {
	switch frame.Kind {
	case wire.FrameUpdate:
		return s.receiveUpdate(frame.Payload)
	case wire.FrameRemembered:
		return s.receiveRemembered(frame.Payload)
	case wire.FrameKeepalive:
		return s.receiveAlive(frame.Payload)
	case wire.FrameRoom:
		return s.receiveRoom(frame.Payload)
	case wire.FrameReferral:
		return s.receiveReferral(frame.Payload)
	case wire.FrameSpeeds:
		return s.receiveSpeeds(frame.Payload)
	}
	return nil
}

// receiveReferral handles the members named by a seed.
func (s *subscriber) receiveReferral(payload []byte) error {
	referral, err := registry.DecodeReferral(payload)
	if err != nil {
		return err
	}
	s.markMembersKnown(referral.Members)
	return s.follower.ApplyReferral(referral.Members)
}

// receiveRemembered handles the targets that a member, not yet current, has read from its
// disk.
func (s *subscriber) receiveRemembered(payload []byte) error {
	remembered, err := directory.DecodeRemembered(payload)
	if err == nil {
		s.process.inputs.Push(rememberedInput{remembered: remembered})
	}
	return err
}

func (s *subscriber) receiveUpdate(payload []byte) error {
	update, err := directory.DecodeUpdate(payload)
	if err != nil {
		return err
	}
	return s.apply(update)
}

// apply passes an update to the goroutine that owns the core and waits for the result.
func (s *subscriber) apply(update directory.Update) error {
	answer := make(chan updateOutcome, 1)
	if !s.process.inputs.Push(updateInput{update: update, answer: answer}) {
		return steperror.New("edge.apply", "", "the node is stopping")
	}
	outcome := <-answer
	if !outcome.applied {
		s.revision = 0
		return steperror.New("edge.apply", "", "the update does not follow the node's revision")
	}
	s.revision = outcome.revision
	s.follower.List.Members = outcome.members
	s.markMembersKnown(outcome.members)
	return nil
}

// receiveAlive handles a keepalive with the verdicts on targets.
func (s *subscriber) receiveAlive(payload []byte) error {
	alive, err := registry.DecodeKeepalive(payload)
	if err != nil {
		return err
	}
	status := steer.MemberStatus{Current: alive.Current, Empty: alive.Empty, Leaderless: alive.Leaderless}
	if err := s.follower.HandleStatus(s.process.now(), status, s.revision == 0); err != nil {
		return err
	}
	if !alive.Current {
		return nil
	}
	if !alive.Unchanged && !alive.Verdicts.Equal(s.verdicts) {
		s.verdicts = alive.Verdicts
		s.process.inputs.Push(verdictsInput{verdicts: alive.Verdicts})
	}
	s.recordCurrent()
	return nil
}

// recordCurrent records that the member is current. If it was not for longer than
// maxCurrentGap before, it also records the duration of the gap.
func (s *subscriber) recordCurrent() {
	now := time.Now()
	before := s.lastCurrentAt.Swap(&now)
	if before == nil {
		return
	}
	if gap := now.Sub(*before); gap > maxCurrentGap {
		s.process.metrics.currentGaps.Observe(gap.Seconds())
		s.process.logger.Sampled(eventlog.ControlRegained, "address", s.followedAddress(), "gap", gap)
	}
}
