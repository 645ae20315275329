package egress

import "net/netip"

const (
	// quantum is the number of bytes that a caller sends before the next one of its
	// class: no less than the largest datagram, so that each look finds one.
	quantum = bufferBytes + HeaderBytes
	// maxScan is the number of callers or flows among which the one that helps
	// least is sought when the queue is full. It bounds the cost of a drop.
	maxScan = 16
)

// caller is an address from which flows that are remembered come.
type caller struct {
	address netip.Addr
	// flows is the number of its flows that are remembered, bulk that of those among
	// them that have sent much.
	flows int
	bulk  int
	// turns are its turns, no more than one an urgency.
	queues []*callerQueue
}

// turn is the place of one caller among those whose flows have sent little.
type callerQueue struct {
	caller *caller
	class  int
	flows  list[flow]
	// bytes are those of its flows that wait.
	bytes int
	// deficit is the number of bytes that it may send before the next caller.
	deficit   int
	ringLinks links[callerQueue]
}

func callerRingLinksOf(t *callerQueue) *links[callerQueue] { return &t.ringLinks }

// turns let callers take turns (deficit round robin), and the flows of a caller within
// its turn.
type roundRobin struct{ callers list[callerQueue] }

func (t *roundRobin) isEmpty() bool { return t.callers.isEmpty() }

// add puts a flow at the end of its caller's turn.
func (t *roundRobin) add(f *flow, pool *pool[callerQueue]) {
	f.queue = f.caller.queueIn(f.class)
	if f.queue == nil {
		f.queue = pool.get()
		f.queue.caller = f.caller
		f.queue.class = f.class
		f.queue.flows.linksOf = ringLinksOf
		f.caller.queues = append(f.caller.queues, f.queue)
		t.callers.pushBack(f.queue)
	}
	f.queue.flows.pushBack(f)
	f.queue.bytes += f.queuedBytes
}

func (t *roundRobin) remove(f *flow, pool *pool[callerQueue]) {
	own := f.queue
	f.queue = nil
	own.flows.remove(f)
	own.bytes -= f.queuedBytes
	if own.flows.isEmpty() {
		t.callers.remove(own)
		own.caller.removeQueue(own)
		pool.put(own)
	}
}

// first returns the flow whose turn it is.
func (t *roundRobin) first() *flow {
	for {
		own := t.callers.first
		next := own.flows.first
		if own.deficit >= next.packets.first.Size {
			return next
		}
		own.deficit += quantum
		t.callers.moveBack(own)
	}
}

// last returns, of the first callers, the newest flow of the one with the most bytes.
func (t *roundRobin) last() *flow {
	found := t.callers.first
	looked := 0
	for own := t.callers.first; own != nil && looked < maxScan; own = own.ringLinks.next {
		looked++
		if own.bytes > found.bytes {
			found = own
		}
	}
	return found.flows.last
}

// spend notes that the flow whose turn it is sends bytes; the next one of the turn goes
// first then.
func (t *callerQueue) consume(f *flow, bytes int) {
	t.deficit -= bytes
	t.flows.moveBack(f)
}

// queueIn returns the turn of the caller in a class, or nil.
func (c *caller) queueIn(class int) *callerQueue {
	for _, own := range c.queues {
		if own.class == class {
			return own
		}
	}
	return nil
}

// removeQueue forgets a turn in which nothing waits.
func (c *caller) removeQueue(ended *callerQueue) {
	last := len(c.queues) - 1
	for position, own := range c.queues {
		if own == ended {
			c.queues[position] = c.queues[last]
			c.queues = c.queues[:last]
			return
		}
	}
}
