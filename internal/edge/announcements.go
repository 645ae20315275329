package edge

import (
	"bytes"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// takeAnnouncements listens for announcements of members until the node knows members
// or stops. Without them the node finds members by the seeds.
func (p *Process) takeAnnouncements() {
	socket, err := listenUDP("edge.announcements", p.settings.AnnouncementAddress)
	if err != nil {
		p.logger.Event(eventlog.AnnouncementsOff, "err", err)
		return
	}
	go func() {
		select {
		case <-p.stopped:
		case <-p.subscriber.informed:
		}
		_ = socket.Close()
	}()
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !p.isStopped() && !p.subscriber.isInformed() {
				p.logger.Event(eventlog.AnnouncementsOff, "err", err)
			}
			return
		}
		announcement, err := readAnnouncement(buffer[:size])
		if err != nil {
			p.logger.Sampled(eventlog.BadFrame, "err", err)
			continue
		}
		p.subscriber.hearAnnouncement(announcement)
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

func readAnnouncement(datagram []byte) (registry.Announcement, error) {
	frame, err := wire.ReadFrame(bytes.NewReader(datagram))
	if err != nil {
		return registry.Announcement{}, err
	}
	if frame.Kind != wire.FrameAnnouncement {
		return registry.Announcement{}, steperror.New("edge.announcement", "", "a datagram that is no announcement")
	}
	return registry.DecodeAnnouncement(frame.Payload)
}

// hearAnnouncement keeps an announcement for the next attempt to connect, which begins
// at once.
func (s *subscriber) hearAnnouncement(announcement registry.Announcement) {
	if s.followed() != "" {
		return
	}
	s.mutex.Lock()
	s.announced = &announcement
	s.mutex.Unlock()
	select {
	case s.hints <- struct{}{}:
	default:
	}
}

// inform notes the members that the node knows: once there are any, announcements tell
// it nothing more.
func (s *subscriber) inform(members []directory.Member) {
	if len(members) > 0 && !s.isInformed() {
		close(s.informed)
	}
}

func (s *subscriber) isInformed() bool {
	select {
	case <-s.informed:
		return true
	default:
		return false
	}
}

// takeAnnounced returns the members to try after an announcement, or nil when there is
// none or the node needs none.
func (s *subscriber) takeAnnounced() []directory.Member {
	s.mutex.Lock()
	announcement := s.announced
	s.announced = nil
	s.mutex.Unlock()
	if announcement == nil {
		return nil
	}
	order := s.follower.List.ApplyAnnouncement(announcement.From, announcement.Members)
	if order != nil {
		s.inform(announcement.Members)
		s.process.logger.Sampled(eventlog.MemberAnnounced, "address", announcement.From, "members", len(announcement.Members))
	}
	return order
}
