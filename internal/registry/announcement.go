package registry

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// A node that restarts knows only the seed addresses, and after a full power loss the seeds
// may come back last. Members therefore persist the addresses of nodes, share them with
// each other, and announce themselves to those nodes after a restart. An announcement only
// hints where to connect.

// Announcement tells a node that a member is running.
type Announcement struct {
	// From is the address of the member.
	From string
	// Members are the announcing member and a few others of the group.
	Members []directory.Member
}

// Frame encodes the announcement.
func (a Announcement) Frame() wire.Frame {
	var encoder wire.Encoder
	encoder.String(a.From)
	directory.EncodeMembers(&encoder, a.Members)
	return wire.Frame{Kind: wire.FrameAnnouncement, Payload: encoder.Buffer}
}

// DecodeAnnouncement decodes the payload of an announcement frame.
func DecodeAnnouncement(payload []byte) (Announcement, error) {
	decoder := wire.NewDecoder(payload)
	announcement := Announcement{From: decoder.String()}
	announcement.Members = directory.DecodeMembers(decoder)
	return announcement, decoder.Err("registry.decode_announcement")
}

// announcementDelays are the delays before each round of announcements. Rounds are repeated
// because datagrams get lost and nodes may start slightly later than the member.
var announcementDelays = [...]time.Duration{
	0,
	50 * time.Millisecond,
	50 * time.Millisecond,
	50 * time.Millisecond,
	50 * time.Millisecond,
	50 * time.Millisecond,
	50 * time.Millisecond,
	50 * time.Millisecond,
	50 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
}

// maxAnnouncementMembers limits the members listed in an announcement, since every member
// sends one to each node in each round over links that also carry traffic.
const maxAnnouncementMembers = 3

// announcementMembers returns the members that a member lists: itself and the next ones in
// order of their IDs, so that every member is listed by some announcement.
func announcementMembers(self string, members []directory.Member) []directory.Member {
	first := slices.IndexFunc(members, func(member directory.Member) bool { return member.Address == self })
	var listed []directory.Member
	for offset := range min(maxAnnouncementMembers, len(members)) {
		listed = append(listed, members[(max(first, 0)+offset)%len(members)])
	}
	return listed
}
