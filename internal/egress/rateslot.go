package egress

import (
	"math"
	"time"
)

const (
	// slotTime is the resolution of what was sent and lost.
	slotTime = 25 * time.Millisecond
	// slotCount slots hold the caller's longest pause, after which losses are seen.
	slotCount = 64
	// minLostPackets is the number of lost packets below which there is no verdict: single
	// ones are lost on any link, and a caller shows two at most at a time.
	minLostPackets = 2
	// toleratedLoss is the share of packets whose loss is due to no congestion in any case:
	// datagrams are lost now and then.
	toleratedLoss = 0.05
	// outageWindow is how long what was sent is summed up, and outageDelay how much older it
	// must be than what it is held against: callers show within it what got through, by
	// more data or, after an answer, by their acknowledgement.
	outageWindow = 400 * time.Millisecond
	outageDelay  = 300 * time.Millisecond
	// minOutageBytes is the least that was sent: two windows of data, so that a single
	// dead target is no outage.
	minOutageBytes = 2 * 16 * writeErrorSize
	// outageFraction is the part below which next to nothing got through.
	outageFraction = 0.25
	// lossDeviations is how many deviations of a count by chance lie above what is due.
	lossDeviations = 1.25
)

// rateSlot counts what was sent in a short time, and what was learned in it of the
// fate of what had been sent.
type rateSlot struct {
	// rate is the rate at its begin.
	rate float64
	// sent, delivered, lost and received are bytes.
	sent, delivered, lost, received int
	// proven are the bytes sent in flows whose targets had acknowledged data before.
	sentToLive int
	// lostPackets is the number of lost packets.
	lostPackets int
}

func (s *rateSlot) add(other rateSlot) {
	s.sent += other.sent
	s.sentToLive += other.sentToLive
	s.delivered += other.delivered
	s.lost += other.lost
	s.received += other.received
	s.lostPackets += other.lostPackets
}

// isExcessive reports whether more packets were lost than chance explains, when a share is
// usual.
func (s *rateSlot) isExcessive(background float64) bool {
	if s.lostPackets < minLostPackets {
		return false
	}
	lost := float64(s.lostPackets)
	due := lost / s.lossFraction() * (toleratedLoss + background)
	return lost > due+lossDeviations*math.Sqrt(due)
}

// lossFraction returns the share of bytes that were lost.
func (s *rateSlot) lossFraction() float64 {
	if s.lost == 0 {
		return 0
	}
	return float64(s.lost) / float64(s.lost+s.delivered)
}

// excessFraction returns the share of bytes that were lost, less what may be chance.
func (s *rateSlot) excessFraction(background float64) float64 {
	lost := float64(s.lostPackets)
	certain := (lost - math.Sqrt(lost)) / lost
	return max(s.lossFraction()*certain-background, 0)
}

// isOutage reports whether next to nothing got through of what was sent, and not for
// dead targets alone: a part went to some that had lived.
func (s *rateSlot) isOutage() bool {
	least := outageFraction * float64(s.sent)
	return float64(s.delivered) < least && float64(s.sentToLive) >= least
}
