package registry

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// doubtfulSilenceTime is the silence after which doubtful evidence counts: more than the
// longest between two signs of living targets where all links are full (0.96 s seen,
// most below 0.7 s), with the way of an answer's report to the leader (0.3 s).
const doubtfulSilenceTime = 1300 * time.Millisecond

// silenceReport is a member's newest report that a target leaves flows unanswered.
type silenceReport struct {
	SilentTarget
	at kernel.Instant
}

// totalWeight returns the weight of totalWeight evidence, also what is doubtful.
func (s silenceReport) totalWeight() uint32 { return s.Weight + s.UnreliableWeight }

// meetsThreshold reports whether weight from so many nodes holds a target for lost.
func meetsThreshold(weight, nodes uint32) bool {
	return weight >= minSilentWeight && nodes >= minSilentNodes
}

// currentSilence sums up the reports that still count.
func (s *targetStatus) currentSilence(now kernel.Instant) silenceReport {
	var sum silenceReport
	for _, report := range s.silences {
		if now.Sub(report.at) < silenceReportTTL {
			sum.SilentTarget = sum.add(report.SilentTarget)
		}
	}
	return sum
}

// isSilent reports whether there is evidence enough that a target is silent. What is
// doubtful counts only after a longer silence.
func (s *targetStatus) isSilent(now kernel.Instant) bool {
	sum := s.currentSilence(now)
	if meetsThreshold(sum.Weight, sum.Nodes) {
		return true
	}
	return now.Sub(s.lastSeen()) >= doubtfulSilenceTime && meetsThreshold(sum.totalWeight(), sum.Reporters)
}

// recordSilence enters a member's report of silence.
func (s *targetStatus) recordSilence(now kernel.Instant, from string, silent SilentTarget) {
	s.silences[from] = silenceReport{SilentTarget: silent, at: now}
}
