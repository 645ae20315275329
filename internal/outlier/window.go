package outlier

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// bucketTime is the time whose counts are kept as one: nodes report ten times a
	// second.
	bucketTime = 100 * time.Millisecond
	// windowBuckets is the length of a window: 4 s hold about 50 exchanges of a target
	// that gets 12 a second, enough to find one that fails a third of its work.
	windowBuckets = 40
	// WindowTime is the length of a window.
	WindowTime = windowBuckets * bucketTime
	// recentBuckets is the part of it that shows what is usual just now.
	recentBuckets = 10
)

// Window holds the counts of one target of the last 4 s.
type Window struct {
	buckets [windowBuckets]Count
	// newest is the number of the newest bucket since the clock's start.
	newest int64
	total  Count
}

// Add enters what was counted lately.
func (w *Window) Add(now kernel.Instant, count Count) {
	w.advance(now)
	position := w.newest % windowBuckets
	w.buckets[position] = w.buckets[position].Add(count)
	w.total = w.total.Add(count)
}

// Total returns the counts of the whole window.
func (w *Window) Total(now kernel.Instant) Count {
	w.advance(now)
	return w.total
}

// Recent returns the counts of the last second.
func (w *Window) Recent(now kernel.Instant) Count {
	w.advance(now)
	var sum Count
	w.eachSuffix(func(suffix Count, buckets int) bool {
		sum = suffix
		return buckets < recentBuckets
	})
	return sum
}

// advance empties the buckets whose time has come round again.
func (w *Window) advance(now kernel.Instant) {
	current := int64(now) / int64(bucketTime)
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

// eachSuffix visits the sums of the newest one, two and more buckets until the
// function says that it has seen enough.
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
