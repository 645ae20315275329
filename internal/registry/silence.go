package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// unreliableSilenceTime is the silence after which unreliable evidence counts. It exceeds
// the longest time without an answer or heartbeat of a healthy target over congested links,
// plus the time until the leader learns of an answer.
const unreliableSilenceTime = 1300 * time.Millisecond

// silenceReport is a member's newest report that a target leaves flows unanswered.
type silenceReport struct {
	SilentTarget
	at kernel.Instant
}

// totalWeight returns the weight of all evidence, including unreliable evidence.
func (s silenceReport) totalWeight() uint32 { return s.Weight + s.UnreliableWeight }

// meetsThreshold reports whether evidence of this weight, from this many nodes, is enough
// to mark a target as lost.
func meetsThreshold(weight, nodes uint32) bool {
	return weight >= minSilentWeight && nodes >= minSilentNodes
}

// currentSilence adds up the reports that have not expired.
func (s *targetLiveness) currentSilence(now kernel.Instant) silenceReport {
	var sum silenceReport
	for _, report := range s.silences {
		if now.Sub(report.at) < silenceReportTTL {
			sum.SilentTarget = sum.add(report.SilentTarget)
		}
	}
	return sum
}

// isReportedSilent reports whether a report of silence, with or without weight, has not
// expired.
func (s *targetLiveness) isReportedSilent(now kernel.Instant) bool {
	for _, report := range s.silences {
		if now.Sub(report.at) < silenceReportTTL {
			return true
		}
	}
	return false
}

// isSilent reports whether there is enough evidence that a target is silent. Unreliable
// evidence counts only after a longer silence.
func (s *targetLiveness) isSilent(now kernel.Instant) bool {
	sum := s.currentSilence(now)
	if meetsThreshold(sum.Weight, sum.Nodes) {
		return true
	}
	return now.Sub(s.lastSeen()) >= unreliableSilenceTime && meetsThreshold(sum.totalWeight(), sum.Reporters)
}

// recordSilence stores a member's newest report of silence.
func (s *targetLiveness) recordSilence(now kernel.Instant, from string, silent SilentTarget) {
	s.silences[from] = silenceReport{SilentTarget: silent, at: now}
}
