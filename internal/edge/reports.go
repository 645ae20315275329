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

// openReports starts the goroutine that sends reports to a member.
func (s *subscriber) openReports(connection net.Conn) {
	queue := ring.New[wire.Frame](reportCapacity)
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

func (s *subscriber) closeReports() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reports.Close()
	s.reports = nil
}

// report sends evidence and the targets heard to the member that is followed. Without one, or when
// the member does not read, it is dropped: the next report says the same.
func (s *subscriber) report(evidence steer.Evidence, heard []directory.Token) {
	message := EvidenceMessage(evidence, heard)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tellStrength()
	if s.reports != nil && !message.IsEmpty() {
		s.reports.TryPush(message.Frame())
	}
}

// tellStrength sends the member a changed strength, again later when it does not read.
// The caller holds the mutex.
func (s *subscriber) tellStrength() {
	if !s.untold || s.reports == nil {
		return
	}
	settings := s.process.settings
	subscribe := registry.Subscribe{Node: settings.Name, Zone: settings.Zone, Strength: s.strength}
	if s.reports.TryPush(subscribe.Frame()) {
		s.untold = false
		s.process.logger.Event(eventlog.StrengthTold, "address", s.followed(), "strength", s.strength)
	}
}

// EvidenceMessage returns the message with what a node has seen and heard.
func EvidenceMessage(evidence steer.Evidence, heard []directory.Token) registry.Evidence {
	message := registry.Evidence{Answering: evidence.Answering, Heartbeats: heard}
	message.Silent = targetsOf(evidence.Silent)
	message.Refused = targetsOf(evidence.Refused)
	message.Openings = evidence.Openings
	message.Outcomes = evidence.Outcomes
	return message
}

// targetsOf returns targets with one node, this one, as the witness of each.
func targetsOf(silent []steer.SilentTarget) []registry.SilentTarget {
	var targets []registry.SilentTarget
	for _, target := range silent {
		seen := registry.SilentTarget{Token: target.Token, Weight: target.Weight, UnreliableWeight: target.Doubtful}
		targets = append(targets, seen.FromSingleNode())
	}
	return targets
}
