package edge

import (
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/speed"
)

// relativeBounds are the upper bounds of the relative times that the metrics count targets
// by; the rest has none.
var relativeBounds = []float64{0.5, 0.7, 0.9, 1.1, 1.4, 2, 4}

// sweepsPerSpeeds is the number of sweeps between two counts of targets by their time: it
// looks at each of them.
const sweepsPerSpeeds = 10

// tellSpeeds tells the member how long targets take. Without one it is dropped: the
// targets are told again later.
func (s *subscriber) tellSpeeds(words []speed.Report) {
	if len(words) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reports != nil {
		s.reports.TryPush(speed.ReportFrame("", words))
	}
}

// receiveSpeeds takes what the leader tells of how long targets take.
func (s *subscriber) receiveSpeeds(payload []byte) error {
	message, err := speed.Decode(payload)
	if err == nil {
		s.process.inputs.Push(speedsInput{told: message.Steps})
	}
	return err
}

type speedsInput struct{ told []speed.TargetStep }

func (i speedsInput) handle(p *Process, now kernel.Instant) {
	p.core.SetSpeeds(now, i.told)
	p.logger.Sampled(eventlog.SpeedsTaken, "targets", len(i.told))
}

// observeSpeeds counts the targets that take new flows by their relative times.
func (p *Process) observeSpeeds(now kernel.Instant) {
	counts := make([]int, len(relativeBounds)+1)
	p.core.RelativeTimes(now, func(relative float64) {
		bucket := 0
		for bucket < len(relativeBounds) && relative > relativeBounds[bucket] {
			bucket++
		}
		counts[bucket]++
	})
	for bucket, count := range counts {
		p.metrics.relativeTimes[bucket].Set(float64(count))
	}
}
