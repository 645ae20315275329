package steer

import "math"

const (
	// bucketsPerDoubling sets the precision of a logHistogram: 19 percent.
	bucketsPerDoubling = 4
	// histogramBuckets reach to 2^32.
	histogramBuckets = 32 * bucketsPerDoubling
	// histogramMemory is the number of values after which older ones count half.
	histogramDecayCount = 512
)

// logHistogram counts values of 1 and more by their order of magnitude; older ones
// fade out.
type logHistogram struct {
	counts [histogramBuckets]uint16
	total  int
}

func (h *logHistogram) add(value float64) {
	bucket := int(bucketsPerDoubling * math.Log2(max(value, 1)))
	h.counts[min(bucket, histogramBuckets-1)]++
	h.total++
	if h.total < histogramDecayCount {
		return
	}
	h.total = 0
	for position := range h.counts {
		h.counts[position] /= 2
		h.total += int(h.counts[position])
	}
}

// quantile returns the value that a part of the counted ones stays below, about; 0
// when none was counted.
func (h *logHistogram) quantile(part float64) float64 {
	left := part * float64(h.total)
	for position, count := range h.counts {
		if count > 0 && left <= float64(count) {
			return math.Exp2((float64(position) + left/float64(count)) / bucketsPerDoubling)
		}
		left -= float64(count)
	}
	return 0
}
