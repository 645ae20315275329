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
	case wire.FrameAlive:
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

// receiveReferral takes the members that a seed names.
func (s *subscriber) receiveReferral(payload []byte) error {
	referral, err := registry.DecodeReferral(payload)
	if err != nil {
		return err
	}
	s.inform(referral.Members)
	return s.follower.ApplyReferral(referral.Members)
}

// receiveRemembered takes what is on a member's disk before the member knows more.
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

// apply hands an update to the goroutine that owns the core.
func (s *subscriber) apply(update directory.Update) error {
	answer := make(chan updateOutcome, 1)
	if !s.process.inputs.Push(updateInput{update: update, answer: answer}) {
		return steperror.New("edge.apply", "", "the node is stopping")
	}
	outcome := <-answer
	if !outcome.fits {
		s.revision = 0
		return steperror.New("edge.apply", "", "the update does not fit")
	}
	s.revision = outcome.revision
	s.follower.List.Members = outcome.members
	s.inform(outcome.members)
	return nil
}

// receiveAlive takes a sign of life with the verdicts on targets.
func (s *subscriber) receiveAlive(payload []byte) error {
	alive, err := registry.DecodeKeepalive(payload)
	if err != nil {
		return err
	}
	presence := steer.MemberStatus{Current: alive.Current, Empty: alive.Empty, Leaderless: alive.Leaderless}
	if err := s.follower.HandleStatus(s.process.now(), presence, s.revision == 0); err != nil {
		return err
	}
	if !alive.Current {
		return nil
	}
	if !alive.Unchanged && !alive.Verdicts.Equal(s.verdicts) {
		s.verdicts = alive.Verdicts
		s.process.inputs.Push(verdictsInput{verdicts: alive.Verdicts})
	}
	s.noteCurrent()
	return nil
}

// noteCurrent notes that the member is current, and measures for how long none was.
func (s *subscriber) noteCurrent() {
	now := time.Now()
	before := s.currentAt.Swap(&now)
	if before == nil {
		return
	}
	if gap := now.Sub(*before); gap > gapLimit {
		s.process.metrics.gaps.Observe(gap.Seconds())
		s.process.logger.Sampled(eventlog.ControlRegained, "address", s.followed(), "gap", gap)
	}
}
