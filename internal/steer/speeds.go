package steer

import (
	"math"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/speed"
)

// How long a target takes is learned from requests whose answer the caller acknowledges
// at once: by an acknowledgement without data, or by the end of a flow of one request.
// Others tell no time: an acknowledgement with the next request, or with the end of a
// long flow, may come any time after the answer. The time of the way, as the flow's
// opening packet took it, is left out: it also holds the node's own link, which has
// nothing to do with the target. A small answer without work is no sample: it is that of a
// target that is full or fails, which would look the faster the more it refuses.

const (
	// usualSamples is the number of requests of a route from which on one is compared
	// with them, and usualMemory the number after which older ones fade out: later than
	// samples of targets do, so that a load which comes over all targets of a zone is seen
	// at these and is not taken for usual.
	minWorkSamples  = 4
	workSampleLimit = 512
	// leastWorkPart is the least part of the time that is taken for work: a way that was
	// slower for the opening packet would leave nothing.
	minWorkFraction = 1.0 / 8
	// speedInterval is the time between two words to the member, and speedRepeat the time
	// after which a target is told again though nothing new was seen: by then another
	// member may be followed.
	speedReportInterval = 500 * time.Millisecond
	speedRepeatInterval = 10 * time.Second
	// wordsAtOnce is the largest number of targets in a word: half a kilobyte.
	maxTargetsPerReport = 64
	// relativeLifetime is how long a time that the leader told holds when nobody tells it
	// again: it is told again each half minute, or each five minutes in the largest fleet.
	relativeTimeLifetime = 10 * time.Minute
)

// usualWork is the usual work of a route's requests at this node, as the mean of the
// logarithms of microseconds.
type workBaseline struct {
	mean    float64
	samples int
}

// isKnown reports whether requests can be compared with the usual ones.
func (u *workBaseline) isKnown() bool { return u.samples >= minWorkSamples }

// sample returns how far a request is from the usual ones.
func (u *workBaseline) sample(work time.Duration) float64 {
	return math.Log(max(float64(work.Microseconds()), 1)) - u.mean
}

// learn takes a sample, less what is known of its target, into what is usual.
func (u *workBaseline) learn(sample float64) {
	if u.isKnown() {
		sample = min(max(sample, -speed.MaxSample), speed.MaxSample)
	}
	u.samples = min(u.samples+1, workSampleLimit)
	u.mean += sample / float64(u.samples)
}

// targetSpeed is what a node knows of how long a target takes.
type targetSpeed struct {
	// sums are the samples of this node as of summedAt.
	sums       speed.Sums
	summedAt   kernel.Instant
	reportedAt kernel.Instant
	// isNew is set while there are samples that the member was not told.
	unreported bool
	// listed is set while the target is in the list of those with samples.
	inList bool
	// relative is the time that the target takes as a multiple of what is usual for its
	// service, as the leader told at heardAt; 0 when it did not.
	relative   float64
	relativeAt kernel.Instant
}

// speedWatch follows how long targets take.
type speedTracker struct {
	sampled      []*targetEntry
	nextReportAt kernel.Instant
}

// noteWork learns from a request that was answered, if its time is that of its work.
func (c *Core) recordWork(now kernel.Instant, x *exchange, size uint32) {
	if x.responseTime == 0 {
		return
	}
	way := x.handshakeTime
	if way == 0 {
		way = c.openings.meanTime
	}
	work := max(x.responseTime-way, time.Duration(minWorkFraction*float64(x.responseTime)))
	usual := &x.baseline.work
	sample := usual.sample(work)
	if usual.isKnown() {
		if sample < -speed.MaxSample && x.baseline.isSmall(size) {
			return
		}
		c.addSample(now, x.target, sample)
	}
	usual.learn(sample - math.Log(x.target.relativeTime(now)))
}

func (c *Core) addSample(now kernel.Instant, target *targetEntry, sample float64) {
	learned := &target.speed
	learned.sums = learned.sums.Decayed(now.Sub(learned.summedAt), speed.HalfLife)
	learned.sums.Add(sample)
	learned.summedAt = now
	learned.unreported = true
	if !learned.inList {
		learned.inList = true
		c.speeds.sampled = append(c.speeds.sampled, target)
	}
}

// TakeSpeeds returns what the member is told of how long targets take, at most once in
// speedInterval.
func (c *Core) TakeSpeeds(now kernel.Instant) []speed.Report {
	if now.Before(c.speeds.nextReportAt) {
		return nil
	}
	c.speeds.nextReportAt = now.Add(speedReportInterval)
	var words []speed.Report
	kept := c.speeds.sampled[:0]
	var told []*targetEntry
	for _, entry := range c.speeds.sampled {
		learned := &entry.speed
		sums := learned.sums.Decayed(now.Sub(learned.summedAt), speed.HalfLife)
		if sums.Count < speed.MinCount || entry.target.State == directory.TargetEnded {
			learned.inList = false
			continue
		}
		if len(words) == maxTargetsPerReport || !learned.isDue(now) {
			kept = append(kept, entry)
			continue
		}
		learned.reportedAt = now
		learned.unreported = false
		told = append(told, entry)
		words = append(words, speed.Report{Token: entry.target.Token, Sums: sums})
	}
	clear(c.speeds.sampled[len(kept):])
	c.speeds.sampled = append(kept, told...)
	return words
}

func (s *targetSpeed) isDue(now kernel.Instant) bool {
	return s.unreported || now.Sub(s.reportedAt) >= speedRepeatInterval
}

// SetSpeeds takes what the leader tells of how long targets take.
func (c *Core) SetSpeeds(now kernel.Instant, list []speed.TargetStep) {
	for _, told := range list {
		if entry, known := c.targets[told.Token]; known {
			entry.speed.relative = told.Step.TimeRatio()
			entry.speed.relativeAt = now
		}
	}
}

// RelativeTimes calls visit with the relative time of each target that takes new flows.
func (c *Core) RelativeTimes(now kernel.Instant, visit func(relative float64)) {
	for _, entries := range c.services {
		for _, entry := range entries {
			visit(entry.relativeTime(now))
		}
	}
}

// relativeTime returns the time that a target takes as a multiple of what is usual.
func (entry *targetEntry) relativeTime(now kernel.Instant) float64 {
	if entry.speed.relative == 0 || now.Sub(entry.speed.relativeAt) > relativeTimeLifetime {
		return 1
	}
	return entry.speed.relative
}
