package egress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCongestionDetectorReportsOnsetAndEnd(t *testing.T) {
	var detector CongestionDetector
	changes := 0
	for step := range 100 {
		delay := time.Duration(0)
		if step%5 == 0 {
			delay = congestedAfter
		}
		began, ended := detector.Update(start.Add(time.Duration(step)*100*time.Millisecond), delay)
		if began || ended {
			changes++
		}
	}
	assert.Equal(t, 1, changes, "intermittent delays are one congestion")
	assert.True(t, detector.IsCongested())
	_, ended := detector.Update(start.Add(time.Minute), 0)
	assert.True(t, ended)
	assert.Equal(t, 9500*time.Millisecond, detector.Duration())
}
