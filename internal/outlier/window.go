package outlier

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// bucketDuration is the resolution of the window, equal to the nodes' report
	// interval.
	bucketDuration = 100 * time.Millisecond
	// windowBuckets is the number of buckets, enough for about 50 exchanges of a target
	// with 12 a second.
	windowBuckets = 40
	// WindowTime is the duration of the window.
	WindowTime = windowBuckets * bucketDuration
	// recentBuckets is the number of newest buckets used for the recent baseline.
	recentBuckets = 10
)

// Window holds the counts of one target over the last WindowTime, in buckets. A suffix of
// the window is any number of its newest buckets.
type Window struct {
	buckets [windowBuckets]Count
	// newest is the number of the newest bucket since the clock's epoch.
	newest int64
	total  Count
}

// Add adds a count to the newest bucket.
func (w *Window) Add(now kernel.Instant, count Count) {
	w.advance(now)
	position := w.newest % windowBuckets
	w.buckets[position] = w.buckets[position].Add(count)
	w.total = w.total.Add(count)
}

// Total returns the sum over the whole window.
func (w *Window) Total(now kernel.Instant) Count {
	w.advance(now)
	return w.total
}

// Recent returns the sum over the last recentBuckets buckets.
func (w *Window) Recent(now kernel.Instant) Count {
	w.advance(now)
	var sum Count
	w.eachSuffix(func(suffix Count, buckets int) bool {
		sum = suffix
		return buckets < recentBuckets
	})
	return sum
}

// advance clears the buckets that have expired.
func (w *Window) advance(now kernel.Instant) {
	current := int64(now) / int64(bucketDuration)
	if current-w.newest >= windowBuckets {
		*w = Window{newest: current}
		return
	}
	for w.newest < current {
		w.newest++
		position := w.newest % windowBuckets
		w.total = w.total.Sub(w.buckets[position])
		w.buckets[position] = Count{}
	}
}

// eachSuffix calls visit with the sum and the number of buckets of each suffix, the
// shortest first, until it returns false.
func (w *Window) eachSuffix(visit func(suffix Count, buckets int) bool) {
	var suffix Count
	for length := range windowBuckets {
		position := (w.newest - int64(length) + windowBuckets) % windowBuckets
		suffix = suffix.Add(w.buckets[position])
		if !visit(suffix, length+1) {
			return
		}
	}
}
