package egress

import (
	"math"
	"time"
)

const (
	// slotTime is the length of a slot.
	slotTime = 25 * time.Millisecond
	// slotCount is the number of slots, which cover the callers' longest retransmission
	// timeout.
	slotCount = 64
	// minLostPackets is the number of lost packets below which losses are not excessive.
	// Any link loses single packets, and the packets of one caller show at most two
	// losses at a time.
	minLostPackets = 2
	// toleratedLoss is the fraction of lost data that is never taken for congestion.
	toleratedLoss = 0.05
	// outageWindow is the time over which sent data is summed up to detect an outage.
	// outageDelay is the minimum age of that data: by then, callers have shown what was
	// delivered by sending more data or by acknowledging an answer.
	outageWindow = 400 * time.Millisecond
	outageDelay  = 300 * time.Millisecond
	// minOutageBytes is the minimum amount of sent data for an outage to be detected:
	// two windows, so that one dead target is not taken for an outage.
	minOutageBytes = 2 * 16 * writeErrorSize
	// outageFraction is the delivered fraction below which the link counts as down.
	outageFraction = 0.25
	// lossDeviations is the number of standard deviations by which the lost packets must
	// exceed the expected number to be excessive.
	lossDeviations = 1.25
)

// rateSlot counts the data sent in a short interval, and the losses and deliveries
// detected in it.
type rateSlot struct {
	// rate is the rate at the start of the slot.
	rate float64
	// sent, delivered, lost and received are in bytes.
	sent, delivered, lost, received int
	// sentToLive is the number of bytes sent to live targets, those that had
	// acknowledged earlier data of the flow.
	sentToLive  int
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

// isExcessive reports whether more packets were lost than the tolerated loss, the
// background loss and chance explain.
func (s *rateSlot) isExcessive(background float64) bool {
	if s.lostPackets < minLostPackets {
		return false
	}
	lost := float64(s.lostPackets)
	expected := lost / s.lossFraction() * (toleratedLoss + background)
	return lost > expected+lossDeviations*math.Sqrt(expected)
}

// lossFraction returns the fraction of bytes lost among those lost or delivered.
func (s *rateSlot) lossFraction() float64 {
	if s.lost == 0 {
		return 0
	}
	return float64(s.lost) / float64(s.lost+s.delivered)
}

// excessFraction returns the fraction of bytes lost, reduced by a standard error and
// the background loss.
func (s *rateSlot) excessFraction(background float64) float64 {
	lost := float64(s.lostPackets)
	certain := (lost - math.Sqrt(lost)) / lost
	return max(s.lossFraction()*certain-background, 0)
}

// isOutage reports whether less than outageFraction of the sent data was delivered,
// although at least that much was sent to live targets.
func (s *rateSlot) isOutage() bool {
	least := outageFraction * float64(s.sent)
	return float64(s.delivered) < least && float64(s.sentToLive) >= least
}
