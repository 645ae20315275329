package edge

import (
	"net"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/peerlink"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// startReports starts the goroutine that sends reports to a member.
func (s *subscriber) startReports(connection net.Conn) {
	queue := ring.New[wire.Frame](reportQueueSize)
	s.mutex.Lock()
	s.reports = queue
	s.mutex.Unlock()
	go func() {
		for {
			frame, open := queue.Pop()
			if !open {
				return
			}
			if err := peerlink.Write(connection, wire.AppendFrame(nil, frame)); err != nil {
				_ = connection.Close()
				return
			}
		}
	}()
}

func (s *subscriber) stopReports() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reports.Close()
	s.reports = nil
}

// report sends evidence and acknowledged heartbeats to the followed member. It drops them
// if there is none or its queue is full.
func (s *subscriber) report(evidence steer.Evidence, acknowledged []directory.Token) {
	message := EvidenceMessage(evidence, acknowledged)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sendStrength()
	if s.reports != nil && !message.IsEmpty() {
		s.reports.TryPush(message.Frame())
	}
}

// sendStrength sends a changed strength to the member. If the queue is full it is sent
// with a later report. The caller must hold the mutex.
func (s *subscriber) sendStrength() {
	if !s.strengthPending || s.reports == nil {
		return
	}
	settings := s.process.settings
	subscribe := registry.Subscribe{Node: settings.Name, Zone: settings.Zone, Strength: s.strength}
	if s.reports.TryPush(subscribe.Frame()) {
		s.strengthPending = false
		s.process.logger.Event(eventlog.StrengthTold, "address", s.followedAddress(), "strength", s.strength)
	}
}

// logUnansweredOpenings logs the targets that are reported without weight.
func (p *Process) logUnansweredOpenings(evidence steer.Evidence) {
	for _, silent := range evidence.Silent {
		if silent.Weight+silent.UnreliableWeight == 0 {
			p.logger.Sampled(eventlog.OpeningsUnanswered, "token", silent.Token)
		}
	}
}

// EvidenceMessage returns the message that reports a node's evidence and acknowledged
// heartbeats.
func EvidenceMessage(evidence steer.Evidence, acknowledged []directory.Token) registry.Evidence {
	message := registry.Evidence{Answering: evidence.Answering, Heartbeats: acknowledged}
	message.Silent = witnessedTargets(evidence.Silent)
	message.Refused = witnessedTargets(evidence.Refused)
	message.Openings = evidence.Openings
	message.Outcomes = evidence.Outcomes
	return message
}

// witnessedTargets converts silent targets, each with this node as the only witness.
func witnessedTargets(silent []steer.SilentTarget) []registry.SilentTarget {
	var targets []registry.SilentTarget
	for _, target := range silent {
		seen := registry.SilentTarget{Token: target.Token, Weight: target.Weight, UnreliableWeight: target.UnreliableWeight}
		targets = append(targets, seen.FromSingleNode())
	}
	return targets
}
