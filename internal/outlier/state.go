package outlier

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// stage is where a target, or a version, stands.
type stage uint8

const (
	// fair is one like any other.
	fair stage = iota
	ejected
	onProbation
)

const (
	// firstHold is how long a target is left out at first; each further time takes
	// twice as long, up to longestHold. A process that has restarted, or a network that
	// has mended itself, is back within seconds; what is still ill after that costs a
	// few repeated requests each time.
	firstHold   = 2 * time.Second
	longestHold = time.Minute
	// forgottenAfter is the time of good behaviour after which earlier ejections do not
	// count any more: it is that of the longest hold.
	forgottenAfter = longestHold
	// probationLimit is how long a target may be on probation without a verdict: a
	// service without work that may be repeated sends it none.
	probationLimit = 15 * time.Second
	// holdDoublings is the number of ejections after which the hold is the longest.
	holdDoublings = 5
)

// standing is the stage of a target or a version, and what it has behind it.
type standing struct {
	stage stage
	// until is when the stage ends by itself.
	until kernel.Instant
	// ejections counts those that are not forgotten.
	ejections int
	// fairSince is when it was last readmitted.
	fairSince kernel.Instant
}

// eject begins a hold, longer than the last one.
func (s *standing) eject(now kernel.Instant) time.Duration {
	if s.stage == fair && now.Sub(s.fairSince) >= forgottenAfter {
		s.ejections = 0
	}
	hold := longestHold
	if s.ejections < holdDoublings {
		hold = min(firstHold<<s.ejections, longestHold)
	}
	s.ejections++
	s.stage = ejected
	s.until = now.Add(hold)
	return hold
}

// beginProbation ends a hold.
func (s *standing) beginProbation(now kernel.Instant) {
	s.stage = onProbation
	s.until = now.Add(probationLimit)
}

func (s *standing) readmit(now kernel.Instant) {
	s.stage = fair
	s.fairSince = now
}
