package standin

import (
	"math/rand/v2"
	"time"
)

const (
	// uploadWindow is the maximum number of unacknowledged packets in flight.
	uploadWindow = 16
	// maxResendInterval caps the exponential backoff between retransmissions.
	maxResendInterval = 1600 * time.Millisecond
	// reorderOneIn makes one in this many packets overtake its predecessor.
	reorderOneIn = 20
)

// segment is the part of a request sent in one packet.
type segment struct {
	sequence uint32
	data     []byte
	// dueAt is the next transmission time, backoff the delay until the following one.
	dueAt   time.Time
	backoff time.Duration
}

// upload holds the unacknowledged segments of a request.
type upload struct{ segments []segment }

func newUpload(sequence uint32, data []byte) *upload {
	u := &upload{}
	for len(data) > 0 {
		size := min(len(data), maxData)
		u.segments = append(u.segments, segment{sequence: sequence, data: data[:size], backoff: resendInterval})
		sequence += uint32(size)
		data = data[size:]
	}
	return u
}

// acknowledge drops the segments fully covered by a cumulative ACK.
func (u *upload) acknowledge(ack uint32) {
	for len(u.segments) > 0 && int32(ack-(u.segments[0].sequence+uint32(len(u.segments[0].data)))) >= 0 {
		u.segments = u.segments[1:]
	}
}

// due returns the segments to send now, randomly reordered, and the time of the next
// transmission, which is zero once everything is acknowledged.
func (u *upload) due(now time.Time) ([]segment, time.Time) {
	var due []segment
	var next time.Time
	window := u.segments[:min(len(u.segments), uploadWindow)]
	for position := range window {
		part := &window[position]
		if !now.Before(part.dueAt) {
			due = append(due, *part)
			part.dueAt = now.Add(part.backoff)
			part.backoff = min(2*part.backoff, maxResendInterval)
		}
		if next.IsZero() || part.dueAt.Before(next) {
			next = part.dueAt
		}
	}
	for position := 1; position < len(due); position++ {
		if rand.IntN(reorderOneIn) == 0 {
			due[position-1], due[position] = due[position], due[position-1]
		}
	}
	return due, next
}
