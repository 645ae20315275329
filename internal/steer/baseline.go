package steer

import (
	"math"
	"time"
)

const (
	// habitSamples is the number of exchanges of a route that a node must have seen
	// before it tells usual from unusual ones. A node sees a few a second of a route.
	minBaselineSamples = 16
	// shortFence says what is far shorter than usual: as many times the spread of the
	// middle half below it, by magnitudes (Tukey's fence). Of sizes that are spread like
	// a log-normal distribution 4 in 1000 lie there. Up to a quarter of all answers may be
	// failures before these are taken for usual.
	shortFenceFactor = 1.5
	// shortPart is the largest part of the lower quartile that is short, for answers of
	// nearly one size.
	shortFraction = 0.5
	// lateQuantile is the part of the answers that tells how late ones still come.
	lateQuantile = 0.97
	// quietWeight is the weight of a new exchange in the share of quiet ones that were
	// answered after all, and mostQuiet the largest share at which quiet still speaks
	// against a target: on long flows nearly all answers of one packet look quiet.
	quietWeight   = 1.0 / 64
	maxQuietShare = 0.05
)

// routeHabit is what is usual for the exchanges of a route, as this node has seen it.
type routeBaseline struct {
	sizes, times logHistogram
	// quiet is the share of answered exchanges that had fallen quiet before.
	quietShare float64
	// answered is the number of exchanges that quiet was learned from.
	answeredCount int
	// short is the size below which an answer is far shorter than usual, and small that
	// below which it is short for its time too.
	shortSize, smallSize uint32
	// usual is the median time to the first progress, and late the time that few of a
	// hundred exceed.
	medianTime, lateTime time.Duration
	work                 workBaseline
}

func (h *routeBaseline) addSize(size uint32) {
	h.sizes.add(float64(size))
	low, high := h.sizes.quantile(0.25), h.sizes.quantile(0.75)
	h.smallSize = uint32(low * shortFraction)
	h.shortSize = uint32(low * min(shortFraction, math.Pow(low/high, shortFenceFactor)))
}

func (h *routeBaseline) addTime(took time.Duration) {
	h.times.add(float64(took.Microseconds()))
	h.medianTime = time.Duration(h.times.quantile(0.5)) * time.Microsecond
	h.lateTime = time.Duration(h.times.quantile(lateQuantile)) * time.Microsecond
}

// noteQuiet learns from an exchange that was answered whether it had fallen quiet.
func (h *routeBaseline) addQuiet(wasQuiet bool) {
	h.answeredCount++
	value := 0.0
	if wasQuiet {
		value = 1
	}
	h.quietShare += (value - h.quietShare) * max(quietWeight, 1/float64(h.answeredCount))
}

// isQuietTelling reports whether a flow without progress speaks against its target.
func (h *routeBaseline) isQuietSignificant() bool {
	return h.answeredCount >= minBaselineSamples && h.quietShare <= maxQuietShare
}

// mayTellByQuiet reports whether a flow without progress is worth a question to its
// target: not on routes where it was found to say nothing. In a large fleet a node has
// seen too little of a route for long.
func (h *routeBaseline) mayProbeOnQuiet() bool {
	return h.answeredCount < minBaselineSamples || h.isQuietSignificant()
}

// quietTime returns the time without progress after which an exchange is quiet.
func (h *routeBaseline) quietTime() time.Duration {
	return min(max(quietFactor*h.lateTime, minQuietTime), maxQuietTime)
}

// isShort reports whether an answer is far shorter than usual.
func (h *routeBaseline) isShort(size uint32) bool {
	return h.sizes.total >= minBaselineSamples && size < h.shortSize
}

// isSmall reports whether an answer is clearly smaller than usual.
func (h *routeBaseline) isSmall(size uint32) bool {
	return h.sizes.total >= minBaselineSamples && size < h.smallSize
}

// isSlow reports whether a first progress came far later than usual.
func (h *routeBaseline) isSlow(took time.Duration) bool {
	return h.times.total >= minBaselineSamples && h.isQuietSignificant() && took > max(slowFactor*h.medianTime, minSlowTime)
}

// habitOf returns what is usual for the route of a flow.
func (c *Core) baselineOf(flow FlowKey) *routeBaseline {
	habit, known := c.baselines[flow.Virtual]
	if !known {
		habit = &routeBaseline{}
		c.baselines[flow.Virtual] = habit
	}
	return habit
}

// dropHabits forgets what was usual for routes that are gone.
func (c *Core) dropBaselines() {
	for address := range c.baselines {
		if _, routed := c.routes[address]; !routed {
			delete(c.baselines, address)
		}
	}
}
