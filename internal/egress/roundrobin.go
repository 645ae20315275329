package egress

import "net/netip"

const (
	// quantum is the number of bytes that a caller may send per round: a full buffer
	// and the headers of a datagram. It is no less than the largest datagram, so that each
	// round finds one.
	quantum = bufferBytes + HeaderBytes
	// maxScan is the largest number of callers or flows examined to find a packet to
	// drop when the queue is full.
	maxScan = 16
)

// caller is a source address with flow records.
type caller struct {
	address netip.Addr
	// flows is the number of the caller's flow records, and bulkFlows that of the bulk
	// flows among them.
	flows     int
	bulkFlows int
	// queues holds the caller's queues, at most one per urgency.
	queues []*callerQueue
}

// callerQueue holds a caller's small flows of one class.
type callerQueue struct {
	caller *caller
	class  int
	flows  list[flow]
	// queuedBytes is the number of queued bytes of its flows.
	queuedBytes int
	// deficit is the number of bytes that the caller may still send in this round.
	deficit   int
	ringLinks links[callerQueue]
}

func callerRingLinksOf(q *callerQueue) *links[callerQueue] { return &q.ringLinks }

// roundRobin schedules callers by deficit round robin, and the flows of a caller in
// turn, one packet each.
type roundRobin struct{ callers list[callerQueue] }

func (r *roundRobin) isEmpty() bool { return r.callers.isEmpty() }

// add appends a flow to its caller's queue.
func (r *roundRobin) add(f *flow, pool *pool[callerQueue]) {
	f.queue = f.caller.queueIn(f.class)
	if f.queue == nil {
		f.queue = pool.get()
		f.queue.caller = f.caller
		f.queue.class = f.class
		f.queue.flows.linksOf = ringLinksOf
		f.caller.queues = append(f.caller.queues, f.queue)
		r.callers.pushBack(f.queue)
	}
	f.queue.flows.pushBack(f)
	f.queue.queuedBytes += f.queuedBytes
}

func (r *roundRobin) remove(f *flow, pool *pool[callerQueue]) {
	queue := f.queue
	f.queue = nil
	queue.flows.remove(f)
	queue.queuedBytes -= f.queuedBytes
	if queue.flows.isEmpty() {
		r.callers.remove(queue)
		queue.caller.removeQueue(queue)
		pool.put(queue)
	}
}

// first returns the flow to serve next.
func (r *roundRobin) first() *flow {
	for {
		queue := r.callers.first
		next := queue.flows.first
		if queue.deficit >= next.packets.first.Size {
			return next
		}
		queue.deficit += quantum
		r.callers.moveBack(queue)
	}
}

// last returns the last flow in the queue of the caller with the most queued bytes,
// among the first maxScan callers.
func (r *roundRobin) last() *flow {
	found := r.callers.first
	scanned := 0
	for queue := r.callers.first; queue != nil && scanned < maxScan; queue = queue.ringLinks.next {
		scanned++
		if queue.queuedBytes > found.queuedBytes {
			found = queue
		}
	}
	return found.flows.last
}

// consume charges bytes to the caller and moves the flow to the end of its queue.
func (q *callerQueue) consume(f *flow, bytes int) {
	q.deficit -= bytes
	q.flows.moveBack(f)
}

// queueIn returns the caller's queue in a class, or nil.
func (c *caller) queueIn(class int) *callerQueue {
	for _, queue := range c.queues {
		if queue.class == class {
			return queue
		}
	}
	return nil
}

// removeQueue removes an empty queue.
func (c *caller) removeQueue(removed *callerQueue) {
	last := len(c.queues) - 1
	for position, queue := range c.queues {
		if queue == removed {
			c.queues[position] = c.queues[last]
			c.queues = c.queues[:last]
			return
		}
	}
}
