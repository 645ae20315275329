package egress

import "math/bits"

// UrgencyCount is the number of urgencies that are told apart, from 0 on; what is beyond
// counts as the last one.
const UrgencyCount = 8

// The levels of flows of one urgency, in the order in which they go.
const (
	// levelSmall holds flows that have sent little; callers take turns.
	levelSmall = iota
	// levelBulk holds flows that can still be in time, the one that is due first going
	// first: of flows of like size that share a link, whole ones are in time sooner
	// than all of them at once.
	levelBulk
	// levelLate holds flows that can no longer be in time.
	levelLate
	levelCount
)

// classes hold the flows that wait, by urgency and level; the lowest class goes first.
type classes struct {
	small [UrgencyCount]roundRobin
	// bulk holds two heaps for each urgency.
	bulk [UrgencyCount * levelCount]deadlineHeap
	// busy has a bit for each class in which something waits.
	occupied  uint32
	queuePool pool[callerQueue]
}

func newClasses() classes {
	var c classes
	for urgency := range c.small {
		c.small[urgency].callers.linksOf = callerRingLinksOf
	}
	return c
}

func levelOf(class int) int { return class % levelCount }

// add puts a flow into a class.
func (c *classes) add(f *flow, class int) {
	f.class = class
	f.scheduled = true
	c.occupied |= 1 << class
	if levelOf(class) == levelSmall {
		c.small[class/levelCount].add(f, &c.queuePool)
		return
	}
	c.bulk[class].add(f)
}

// remove takes a flow out of its class.
func (c *classes) remove(f *flow) {
	f.scheduled = false
	if levelOf(f.class) == levelSmall {
		c.small[f.class/levelCount].remove(f, &c.queuePool)
	} else {
		c.bulk[f.class].remove(f)
	}
	if c.isEmpty(f.class) {
		c.occupied &^= 1 << f.class
	}
}

func (c *classes) isEmpty(class int) bool {
	if levelOf(class) == levelSmall {
		return c.small[class/levelCount].isEmpty()
	}
	return c.bulk[class].isEmpty()
}

// first returns the flow that goes first, or nil when none waits.
func (c *classes) first() *flow {
	if c.occupied == 0 {
		return nil
	}
	class := bits.TrailingZeros32(c.occupied)
	if levelOf(class) == levelSmall {
		return c.small[class/levelCount].first()
	}
	return c.bulk[class].first()
}

// last returns a flow of the last class, one of those that help least, or nil when none
// waits.
func (c *classes) last() *flow {
	if c.occupied == 0 {
		return nil
	}
	class := bits.Len32(c.occupied) - 1
	if levelOf(class) == levelSmall {
		return c.small[class/levelCount].last()
	}
	return c.bulk[class].last()
}
