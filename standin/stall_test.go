package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A stall of the test process is reported, since it can explain a breach of a rule.
func TestStallDetectorReportsLastStall(t *testing.T) {
	var s stallDetector
	now := time.Unix(1000, 0)
	for range 5 {
		now = now.Add(stallInterval)
		s.tick(now)
	}
	assert.Equal(t, "this process has not stalled", s.describe(now))
	now = now.Add(stallInterval + 640*time.Millisecond)
	s.tick(now)
	now = now.Add(stallInterval)
	s.tick(now)
	assert.Equal(t, "this process stalled for 640ms, 10ms ago", s.describe(now))
	assert.Equal(t, 6*stallInterval, s.runningTime(), "stalls are excluded")
}
