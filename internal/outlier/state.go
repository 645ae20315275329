package outlier

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// stage is the ejection stage of a target or a version.
type stage uint8

const (
	// active means that new flows are placed without restriction.
	active stage = iota
	ejected
	onProbation
)

const (
	// minHold is the duration of the first ejection. It doubles with each further
	// ejection, up to maxHold, so that a restarted target returns within seconds and one
	// that still fails costs few retries.
	minHold = 2 * time.Second
	maxHold = time.Minute
	// ejectionMemory is the time without an ejection after which earlier ones no longer
	// lengthen the next.
	ejectionMemory = maxHold
	// maxProbation bounds a probation without a result: a service without retryable
	// requests sends none to targets on probation.
	maxProbation = 15 * time.Second
	// maxDoublings is the number of ejections after which the next lasts maxHold.
	maxDoublings = 5
)

// ejectionState is the stage of a target or a version with its ejection history.
type ejectionState struct {
	stage stage
	// until is when the current stage times out.
	until kernel.Instant
	// ejections counts the ejections within ejectionMemory.
	ejections int
	// activeSince is when it was last readmitted.
	activeSince kernel.Instant
}

// eject starts an ejection and returns its duration, which grows with each one.
func (s *ejectionState) eject(now kernel.Instant) time.Duration {
	if s.stage == active && now.Sub(s.activeSince) >= ejectionMemory {
		s.ejections = 0
	}
	hold := maxHold
	if s.ejections < maxDoublings {
		hold = min(minHold<<s.ejections, maxHold)
	}
	s.ejections++
	s.stage = ejected
	s.until = now.Add(hold)
	return hold
}

// enterProbation ends an ejection and starts the probation.
func (s *ejectionState) enterProbation(now kernel.Instant) {
	s.stage = onProbation
	s.until = now.Add(maxProbation)
}

func (s *ejectionState) readmit(now kernel.Instant) {
	s.stage = active
	s.activeSince = now
}
