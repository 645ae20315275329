package standin

import (
	"fmt"
	"sync"
	"time"
)

const (
	// stallInterval is the period at which a stallDetector reads the clock.
	stallInterval = 10 * time.Millisecond
	// stallThreshold is the lateness of a tick that counts as a stall: a sixth of the
	// silence after which a target can be declared lost.
	stallThreshold = 100 * time.Millisecond
)

// stallDetector records when this process was not scheduled. Its targets don't respond
// during a stall, which can explain a breach of a rule.
type stallDetector struct {
	mutex sync.Mutex
	// lastTick is when the clock was last read.
	lastTick time.Time
	// lastAt and lastLength are the end and the duration of the last stall.
	lastAt     time.Time
	lastLength time.Duration
	// runTime is the elapsed time without stalls.
	runTime time.Duration
}

// run reads the clock periodically until done is closed.
func (s *stallDetector) run(done <-chan struct{}) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

func (s *stallDetector) tick(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	late := now.Sub(s.lastTick) - stallInterval
	if !s.lastTick.IsZero() {
		s.runTime += min(now.Sub(s.lastTick), stallInterval)
	}
	if !s.lastTick.IsZero() && late >= stallThreshold {
		s.lastAt = now
		s.lastLength = late
	}
	s.lastTick = now
}

// runningTime returns the time that this process was scheduled, without stalls. On a
// busy machine it advances more slowly than the clock.
func (s *stallDetector) runningTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runTime
}

// describe returns a message about the last stall.
func (s *stallDetector) describe(now time.Time) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lastAt.IsZero() {
		return "this process has not stalled"
	}
	return fmt.Sprintf("this process stalled for %v, %v ago", s.lastLength.Round(time.Millisecond), now.Sub(s.lastAt).Round(time.Millisecond))
}
