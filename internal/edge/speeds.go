package edge

import (
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/speed"
)

// relativeTimeBuckets are the upper bounds of the relative response times in the metrics.
// Targets above the last are counted in one more bucket.
var relativeTimeBuckets = []float64{0.5, 0.7, 0.9, 1.1, 1.4, 2, 4}

// sweepsPerRelativeTimes is the number of sweeps between two updates of these metrics,
// which visit every target.
const sweepsPerRelativeTimes = 10

// sendSpeeds sends the targets' response times to the followed member. They are dropped if
// there is none or its queue is full, since they are repeated later.
func (s *subscriber) sendSpeeds(updates []speed.Report) {
	if len(updates) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reports != nil {
		s.reports.TryPush(speed.ReportFrame("", updates))
	}
}

// receiveSpeeds handles the targets' response times as published by the leader.
func (s *subscriber) receiveSpeeds(payload []byte) error {
	message, err := speed.Decode(payload)
	if err == nil {
		s.process.inputs.Push(speedsInput{speeds: message.Steps})
	}
	return err
}

type speedsInput struct{ speeds []speed.TargetStep }

func (i speedsInput) handle(p *Process, now kernel.Instant) {
	p.core.SetSpeeds(now, i.speeds)
	p.logger.Sampled(eventlog.SpeedsTaken, "targets", len(i.speeds))
}

// recordRelativeTimes counts the targets that take new flows by relative response time.
func (p *Process) recordRelativeTimes(now kernel.Instant) {
	counts := make([]int, len(relativeTimeBuckets)+1)
	p.core.RelativeTimes(now, func(relative float64) {
		bucket := 0
		for bucket < len(relativeTimeBuckets) && relative > relativeTimeBuckets[bucket] {
			bucket++
		}
		counts[bucket]++
	})
	for bucket, count := range counts {
		p.metrics.relativeTimes[bucket].Set(float64(count))
	}
}
