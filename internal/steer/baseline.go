package steer

import (
	"math"
	"time"
)

const (
	// minBaselineSamples is the number of exchanges of a route after which its baseline is
	// used.
	minBaselineSamples = 16
	// shortFenceFactor sets the lower limit of normal response sizes: this multiple of the
	// interquartile range below the lower quartile, on a logarithmic scale (Tukey's fence).
	// It tolerates up to a quarter of all responses being failures.
	shortFenceFactor = 1.5
	// shortFraction bounds the limit to this fraction of the lower quartile, for routes whose
	// responses have nearly one size.
	shortFraction = 0.5
	// lateQuantile is the quantile of response times that counts as late.
	lateQuantile = 0.97
	// quietWeight is the weight of a new exchange in the moving share of exchanges that were
	// quiet before they were answered. Above maxQuietShare, quiet is not evidence: on reused
	// flows callers acknowledge most one-packet responses with the next request.
	quietWeight   = 1.0 / 64
	maxQuietShare = 0.05
)

// routeBaseline is the normal behavior of a route's exchanges as seen by this node.
type routeBaseline struct {
	sizes, times logHistogram
	// quietShare is the moving share of answered exchanges that had been quiet.
	quietShare float64
	// answeredCount is the number of exchanges in quietShare.
	answeredCount int
	// shortSize is the size below which a response counts as short, smallSize the size below
	// which a fast response is not used as a work sample.
	shortSize, smallSize uint32
	// medianTime and lateTime are quantiles of the time to the first progress.
	medianTime, lateTime time.Duration
	work                 workBaseline
}

func (h *routeBaseline) addSize(size uint32) {
	h.sizes.add(float64(size))
	low, high := h.sizes.quantile(0.25), h.sizes.quantile(0.75)
	h.smallSize = uint32(low * shortFraction)
	h.shortSize = uint32(low * min(shortFraction, math.Pow(low/high, shortFenceFactor)))
}

func (h *routeBaseline) addTime(elapsed time.Duration) {
	h.times.add(float64(elapsed.Microseconds()))
	h.medianTime = time.Duration(h.times.quantile(0.5)) * time.Microsecond
	h.lateTime = time.Duration(h.times.quantile(lateQuantile)) * time.Microsecond
}

// addQuiet records whether an answered exchange had been quiet.
func (h *routeBaseline) addQuiet(wasQuiet bool) {
	h.answeredCount++
	value := 0.0
	if wasQuiet {
		value = 1
	}
	h.quietShare += (value - h.quietShare) * max(quietWeight, 1/float64(h.answeredCount))
}

// isQuietSignificant reports whether a quiet exchange is evidence against its target.
func (h *routeBaseline) isQuietSignificant() bool {
	return h.answeredCount >= minBaselineSamples && h.quietShare <= maxQuietShare
}

// mayProbeOnQuiet reports whether a quiet exchange justifies a probe of its target. It does
// unless quiet is known to be normal on the route; in a large fleet a node takes long to
// learn that.
func (h *routeBaseline) mayProbeOnQuiet() bool {
	return h.answeredCount < minBaselineSamples || h.isQuietSignificant()
}

// quietTime returns the time without progress after which an exchange is quiet.
func (h *routeBaseline) quietTime() time.Duration {
	return min(max(quietFactor*h.lateTime, minQuietTime), maxQuietTime)
}

// isShort reports whether a response is far shorter than normal.
func (h *routeBaseline) isShort(size uint32) bool {
	return h.sizes.total >= minBaselineSamples && size < h.shortSize
}

// isSmall reports whether a response is clearly smaller than normal.
func (h *routeBaseline) isSmall(size uint32) bool {
	return h.sizes.total >= minBaselineSamples && size < h.smallSize
}

// isSlow reports whether the first progress came far later than normal.
func (h *routeBaseline) isSlow(elapsed time.Duration) bool {
	return h.times.total >= minBaselineSamples && h.isQuietSignificant() && elapsed > max(slowFactor*h.medianTime, minSlowTime)
}

// baselineOf returns the baseline of a flow's route.
func (c *Core) baselineOf(flow FlowKey) *routeBaseline {
	habit, known := c.baselines[flow.Virtual]
	if !known {
		habit = &routeBaseline{}
		c.baselines[flow.Virtual] = habit
	}
	return habit
}

// dropBaselines removes the baselines of routes that no longer exist.
func (c *Core) dropBaselines() {
	for address := range c.baselines {
		if _, routed := c.routes[address]; !routed {
			delete(c.baselines, address)
		}
	}
}
