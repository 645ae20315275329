package egress

import "math/bits"

// UrgencyCount is the number of urgency levels, 0 being the most urgent. Higher values
// are treated as the last level.
const UrgencyCount = 8

// Levels of flows within one urgency, in the order of service.
const (
	// levelSmall holds flows that have sent little; they are served round robin by
	// caller.
	levelSmall = iota
	// levelBulk holds larger flows that can still meet their objective. They are served
	// earliest deadline first, because more flows meet their deadline if they are sent
	// one after the other than if they share the link.
	levelBulk
	// levelLate holds flows that can no longer meet their objective.
	levelLate
	levelCount
)

// classes holds the backlogged flows by class: class urgency*levelCount + level is for
// the flows of that urgency and level. The lowest class is served first.
type classes struct {
	// small holds the flows of levelSmall, indexed by urgency.
	small [UrgencyCount]roundRobin
	// heaps holds the flows of the other levels, indexed by class.
	heaps [UrgencyCount * levelCount]deadlineHeap
	// occupied is a bit mask of the classes that are not empty.
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

// add adds a flow to a class.
func (c *classes) add(f *flow, class int) {
	f.class = class
	f.scheduled = true
	c.occupied |= 1 << class
	if levelOf(class) == levelSmall {
		c.small[class/levelCount].add(f, &c.queuePool)
		return
	}
	c.heaps[class].add(f)
}

// remove removes a flow from its class.
func (c *classes) remove(f *flow) {
	f.scheduled = false
	if levelOf(f.class) == levelSmall {
		c.small[f.class/levelCount].remove(f, &c.queuePool)
	} else {
		c.heaps[f.class].remove(f)
	}
	if c.isEmpty(f.class) {
		c.occupied &^= 1 << f.class
	}
}

func (c *classes) isEmpty(class int) bool {
	if levelOf(class) == levelSmall {
		return c.small[class/levelCount].isEmpty()
	}
	return c.heaps[class].isEmpty()
}

// first returns the flow to serve next, or nil if all classes are empty.
func (c *classes) first() *flow {
	if c.occupied == 0 {
		return nil
	}
	class := bits.TrailingZeros32(c.occupied)
	if levelOf(class) == levelSmall {
		return c.small[class/levelCount].first()
	}
	return c.heaps[class].first()
}

// last returns the flow whose packets are dropped first, one of the highest occupied
// class, or nil if all classes are empty.
func (c *classes) last() *flow {
	if c.occupied == 0 {
		return nil
	}
	class := bits.Len32(c.occupied) - 1
	if levelOf(class) == levelSmall {
		return c.small[class/levelCount].last()
	}
	return c.heaps[class].last()
}
