package edge

import (
	"bytes"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// listenForAnnouncements receives announcements of members until the node knows members
// or stops. If it fails, the node still finds members by its seeds.
func (p *Process) listenForAnnouncements() {
	socket, err := listenUDP("edge.announcements", p.settings.AnnouncementAddress)
	if err != nil {
		p.logger.Event(eventlog.AnnouncementsOff, "err", err)
		return
	}
	go func() {
		select {
		case <-p.stopped:
		case <-p.subscriber.membersKnown:
		}
		_ = socket.Close()
	}()
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !p.isStopped() && !p.subscriber.hasMembers() {
				p.logger.Event(eventlog.AnnouncementsOff, "err", err)
			}
			return
		}
		announcement, err := decodeAnnouncement(buffer[:size])
		if err != nil {
			p.logger.Sampled(eventlog.BadFrame, "err", err)
			continue
		}
		p.subscriber.handleAnnouncement(announcement)
	}
}

func (p *Process) isStopped() bool {
	select {
	case <-p.stopped:
		return true
	default:
		return false
	}
}

func decodeAnnouncement(datagram []byte) (registry.Announcement, error) {
	frame, err := wire.ReadFrame(bytes.NewReader(datagram))
	if err != nil {
		return registry.Announcement{}, err
	}
	if frame.Kind != wire.FrameAnnouncement {
		return registry.Announcement{}, steperror.New("edge.announcement", "", "datagram is not an announcement")
	}
	return registry.DecodeAnnouncement(frame.Payload)
}

// handleAnnouncement stores an announcement and triggers the next connection attempt.
func (s *subscriber) handleAnnouncement(announcement registry.Announcement) {
	if s.followedAddress() != "" {
		return
	}
	s.mutex.Lock()
	s.announcement = &announcement
	s.mutex.Unlock()
	select {
	case s.hints <- struct{}{}:
	default:
	}
}

// markMembersKnown ends listening for announcements once there are members.
func (s *subscriber) markMembersKnown(members []directory.Member) {
	if len(members) > 0 && !s.hasMembers() {
		close(s.membersKnown)
	}
}

func (s *subscriber) hasMembers() bool {
	select {
	case <-s.membersKnown:
		return true
	default:
		return false
	}
}

// takeAnnouncedMembers returns the members to try after an announcement, or nil if there
// is no usable one.
func (s *subscriber) takeAnnouncedMembers() []directory.Member {
	s.mutex.Lock()
	announcement := s.announcement
	s.announcement = nil
	s.mutex.Unlock()
	if announcement == nil {
		return nil
	}
	order := s.follower.List.ApplyAnnouncement(announcement.From, announcement.Members)
	if order != nil {
		s.markMembersKnown(announcement.Members)
		s.process.logger.Sampled(eventlog.MemberAnnounced, "address", announcement.From, "members", len(announcement.Members))
	}
	return order
}
