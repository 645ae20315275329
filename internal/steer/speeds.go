package steer

import (
	"math"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/speed"
)

// Request times of targets are sampled from requests whose response the caller acknowledges at
// once: by an acknowledgement without data, or by closing a flow after one request. An
// acknowledgement with the next request, or with the close of a reused flow, may come any time
// after the response. The handshake time of the flow is subtracted as network time; it
// includes delays at this node's link. Fast small responses are not sampled: they come from a
// target that is full or failing, which would otherwise seem faster the more it refuses.

const (
	// minWorkSamples is the number of requests after which a route's baseline is used, and
	// workSampleLimit bounds the weight of past samples in it. It adapts more slowly than the
	// samples of targets expire, so that load on all targets of a zone is detected.
	minWorkSamples  = 4
	workSampleLimit = 512
	// minWorkFraction is the least fraction of the response time that counts as work, in case
	// the handshake was slower than the request.
	minWorkFraction = 1.0 / 8
	// speedReportInterval is the time between two reports to the control member.
	// speedRepeatInterval is the time after which an unchanged target is reported again, since
	// the node may have connected to another member.
	speedReportInterval = 500 * time.Millisecond
	speedRepeatInterval = 10 * time.Second
	// maxTargetsPerReport bounds the size of a report to half a kilobyte.
	maxTargetsPerReport = 64
	// relativeTimeLifetime is how long a relative time from the leader is valid. The leader
	// repeats it every half minute, or every five minutes in the largest fleets.
	relativeTimeLifetime = 10 * time.Minute
)

// workBaseline is the mean logarithm of the work of a route's requests in microseconds.
type workBaseline struct {
	mean    float64
	samples int
}

// isKnown reports whether the baseline has enough samples.
func (b *workBaseline) isKnown() bool { return b.samples >= minWorkSamples }

// sample returns the logarithm of a request's work relative to the baseline.
func (b *workBaseline) sample(work time.Duration) float64 {
	return math.Log(max(float64(work.Microseconds()), 1)) - b.mean
}

// learn updates the baseline with a sample, less the known deviation of its target.
func (b *workBaseline) learn(sample float64) {
	if b.isKnown() {
		sample = min(max(sample, -speed.MaxSample), speed.MaxSample)
	}
	b.samples = min(b.samples+1, workSampleLimit)
	b.mean += sample / float64(b.samples)
}

// targetSpeed holds the request times of a target.
type targetSpeed struct {
	// sums are this node's samples, decayed to summedAt.
	sums       speed.Sums
	summedAt   kernel.Instant
	reportedAt kernel.Instant
	// unreported is set while there are samples that were not reported.
	unreported bool
	// inList is set while the target is in speedTracker.sampled.
	inList bool
	// relative is the target's time per request relative to its service's mean, as received
	// from the leader at relativeAt; 0 if unknown.
	relative   float64
	relativeAt kernel.Instant
}

// speedTracker lists the targets with samples.
type speedTracker struct {
	sampled      []*targetEntry
	nextReportAt kernel.Instant
}

// recordWork samples the work of an answered request, if its response time measures it.
func (c *Core) recordWork(now kernel.Instant, x *exchange, size uint32) {
	if x.responseTime == 0 {
		return
	}
	networkTime := x.handshakeTime
	if networkTime == 0 {
		networkTime = c.openings.meanTime
	}
	work := max(x.responseTime-networkTime, time.Duration(minWorkFraction*float64(x.responseTime)))
	baseline := &x.baseline.work
	sample := baseline.sample(work)
	if baseline.isKnown() {
		if sample < -speed.MaxSample && x.baseline.isSmall(size) {
			return
		}
		c.addSample(now, x.target, sample)
	}
	baseline.learn(sample - math.Log(x.target.relativeTime(now)))
}

func (c *Core) addSample(now kernel.Instant, target *targetEntry, sample float64) {
	samples := &target.speed
	samples.sums = samples.sums.Decayed(now.Sub(samples.summedAt), speed.HalfLife)
	samples.sums.Add(sample)
	samples.summedAt = now
	samples.unreported = true
	if !samples.inList {
		samples.inList = true
		c.speeds.sampled = append(c.speeds.sampled, target)
	}
}

// TakeSpeeds returns the request times to report to the control member, or nil if the last
// report is less than speedReportInterval old.
func (c *Core) TakeSpeeds(now kernel.Instant) []speed.Report {
	if now.Before(c.speeds.nextReportAt) {
		return nil
	}
	c.speeds.nextReportAt = now.Add(speedReportInterval)
	var reports []speed.Report
	remaining := c.speeds.sampled[:0]
	var reported []*targetEntry
	for _, entry := range c.speeds.sampled {
		samples := &entry.speed
		sums := samples.sums.Decayed(now.Sub(samples.summedAt), speed.HalfLife)
		if sums.Count < speed.MinCount || entry.target.State == directory.TargetEnded {
			samples.inList = false
			continue
		}
		if len(reports) == maxTargetsPerReport || !samples.isDue(now) {
			remaining = append(remaining, entry)
			continue
		}
		samples.reportedAt = now
		samples.unreported = false
		reported = append(reported, entry)
		reports = append(reports, speed.Report{Token: entry.target.Token, Sums: sums})
	}
	clear(c.speeds.sampled[len(remaining):])
	c.speeds.sampled = append(remaining, reported...)
	return reports
}

func (s *targetSpeed) isDue(now kernel.Instant) bool {
	return s.unreported || now.Sub(s.reportedAt) >= speedRepeatInterval
}

// SetSpeeds sets the relative times that the leader has computed.
func (c *Core) SetSpeeds(now kernel.Instant, list []speed.TargetStep) {
	for _, update := range list {
		if entry, known := c.targets[update.Token]; known {
			entry.speed.relative = update.Step.TimeRatio()
			entry.speed.relativeAt = now
		}
	}
}

// RelativeTimes calls visit with the relative time of each target that accepts new flows.
func (c *Core) RelativeTimes(now kernel.Instant, visit func(relative float64)) {
	for _, entries := range c.services {
		for _, entry := range entries {
			visit(entry.relativeTime(now))
		}
	}
}

// relativeTime returns a target's time per request relative to its service's mean.
func (entry *targetEntry) relativeTime(now kernel.Instant) float64 {
	if entry.speed.relative == 0 || now.Sub(entry.speed.relativeAt) > relativeTimeLifetime {
		return 1
	}
	return entry.speed.relative
}
