package registry

import (
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// After a loss of all power a node knows only the seeds, and these may come back last
// while other members serve already. So members remember on their disks where the nodes
// are, tell each other of those that follow them, and tell nodes where members are once
// they have read their disks. An announcement is only a hint where to connect to.

// Announcement tells a node that a member is up.
type Announcement struct {
	// From is the address of the member.
	From string
	// Members are that member and a few others of the group.
	Members []directory.Member
}

// Frame returns the frame of an announcement.
func (a Announcement) Frame() wire.Frame {
	var encoder wire.Encoder
	encoder.String(a.From)
	directory.EncodeMembers(&encoder, a.Members)
	return wire.Frame{Kind: wire.FrameAnnouncement, Payload: encoder.Buffer}
}

// DecodeAnnouncement reads an announcement.
func DecodeAnnouncement(payload []byte) (Announcement, error) {
	decoder := wire.NewDecoder(payload)
	announcement := Announcement{From: decoder.String()}
	announcement.Members = directory.DecodeMembers(decoder)
	return announcement, decoder.Err("registry.decode_announcement")
}

// announcementDelays are the pauses before each round of announcements. Processes of
// a fleet whose power is back start within some tenths of a second of each other, and
// datagrams get lost.
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

// maxAnnouncementMembers is the number of members in an announcement: all members tell each
// node in each round, over links that callers need.
const maxAnnouncementMembers = 3

// announcementMembers returns the members that one of them names: itself and those that come after
// it in the order of numbers, so that each is named by some.
func announcementMembers(self string, members []directory.Member) []directory.Member {
	first := slices.IndexFunc(members, func(member directory.Member) bool { return member.Address == self })
	var list []directory.Member
	for offset := range min(maxAnnouncementMembers, len(members)) {
		list = append(list, members[(max(first, 0)+offset)%len(members)])
	}
	return list
}
