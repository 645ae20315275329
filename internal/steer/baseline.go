package steer

import (
	"math"
	"time"
)

const (
	// minBaselineSamples is the number of exchanges of a route after which its baseline is
	// used. A node sees a few exchanges a second of a route.
	minBaselineSamples = 16
	// shortFenceFactor sets the lower limit of normal response sizes: this multiple of the
	// interquartile range below the lower quartile, on a logarithmic scale (Tukey's fence).
	// Of log-normally distributed sizes 4 in 1,000 are below it. It tolerates up to a quarter
	// of all responses being failures.
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

func (b *routeBaseline) addSize(size uint32) {
	b.sizes.add(float64(size))
	low, high := b.sizes.quantile(0.25), b.sizes.quantile(0.75)
	b.smallSize = uint32(low * shortFraction)
	b.shortSize = uint32(low * min(shortFraction, math.Pow(low/high, shortFenceFactor)))
}

func (b *routeBaseline) addTime(elapsed time.Duration) {
	b.times.add(float64(elapsed.Microseconds()))
	b.medianTime = time.Duration(b.times.quantile(0.5)) * time.Microsecond
	b.lateTime = time.Duration(b.times.quantile(lateQuantile)) * time.Microsecond
}

// addQuiet records whether an answered exchange had been quiet.
func (b *routeBaseline) addQuiet(wasQuiet bool) {
	b.answeredCount++
	value := 0.0
	if wasQuiet {
		value = 1
	}
	b.quietShare += (value - b.quietShare) * max(quietWeight, 1/float64(b.answeredCount))
}

// isQuietSignificant reports whether a quiet exchange is evidence against its target.
func (b *routeBaseline) isQuietSignificant() bool {
	return b.answeredCount >= minBaselineSamples && b.quietShare <= maxQuietShare
}

// mayProbeOnQuiet reports whether a quiet exchange justifies a probe of its target. It does
// unless quiet is known to be normal on the route; in a large fleet a node takes long to
// learn that.
func (b *routeBaseline) mayProbeOnQuiet() bool {
	return b.answeredCount < minBaselineSamples || b.isQuietSignificant()
}

// quietTime returns the time without progress after which an exchange is quiet.
func (b *routeBaseline) quietTime() time.Duration {
	return min(max(quietFactor*b.lateTime, minQuietTime), maxQuietTime)
}

// isShort reports whether a response is far shorter than normal.
func (b *routeBaseline) isShort(size uint32) bool {
	return b.sizes.total >= minBaselineSamples && size < b.shortSize
}

// isSmall reports whether a response is clearly smaller than normal.
func (b *routeBaseline) isSmall(size uint32) bool {
	return b.sizes.total >= minBaselineSamples && size < b.smallSize
}

// isSlow reports whether the first progress came far later than normal.
func (b *routeBaseline) isSlow(elapsed time.Duration) bool {
	return b.times.total >= minBaselineSamples && b.isQuietSignificant() && elapsed > max(slowFactor*b.medianTime, minSlowTime)
}

// baselineOf returns the baseline of a flow's route.
func (c *Core) baselineOf(flow FlowKey) *routeBaseline {
	baseline, known := c.baselines[flow.Virtual]
	if !known {
		baseline = &routeBaseline{}
		c.baselines[flow.Virtual] = baseline
	}
	return baseline
}

// dropBaselines removes the baselines of routes that no longer exist.
func (c *Core) dropBaselines() {
	for address := range c.baselines {
		if _, routed := c.routes[address]; !routed {
			delete(c.baselines, address)
		}
	}
}
