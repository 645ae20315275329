package steer

import "math"

const (
	// bucketsPerDoubling sets the resolution: buckets are 19 percent wide.
	bucketsPerDoubling = 4
	// histogramBuckets cover values up to 2^32.
	histogramBuckets = 32 * bucketsPerDoubling
	// histogramDecayCount is the number of values after which all counts are halved.
	histogramDecayCount = 512
)

// logHistogram counts values of at least 1 in logarithmic buckets, with decay.
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

// quantile returns an approximate quantile of the counted values, or 0 without values.
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
