package egress

// drop removes a queued packet without sending it.
func (s *Scheduler) drop(p *packet, reason DropReason) {
	item := s.dequeue(p)
	s.OnDrop(&item, reason)
}

// cancelFlow drops a flow's queued data and its opening packet, but no other packets in
// the control queue.
func (s *Scheduler) cancelFlow(f *flow, reason DropReason) {
	for !f.packets.isEmpty() {
		s.drop(f.packets.first, reason)
	}
	if f.opening != nil {
		s.drop(f.opening, reason)
	}
}

// makeRoom drops packets that rank behind the item until the item fits. It returns false
// if the item itself ranks last, or if it belongs in the control queue and that is full.
func (s *Scheduler) makeRoom(f *flow, item *Item) bool {
	priority := hasPriority(f, item.Kind)
	if priority && s.controlCount >= s.settings.maxPackets/controlDivisor {
		return false
	}
	for s.length >= s.settings.maxPackets || s.bytes+item.Size > s.settings.maxBytes() {
		last := s.classes.last()
		if last == nil {
			return false
		}
		if !priority && f.ranksBehind(last) {
			return false
		}
		s.drop(last.packets.last, DropFull)
	}
	return true
}

// ranksBehind reports whether a further packet of the flow would rank behind those of
// other, a flow of the last class. In the same class, packets rank by deadline, or in
// levelSmall by the bytes that their callers have queued; on a tie it ranks behind.
func (f *flow) ranksBehind(other *flow) bool {
	class := f.classAt(f.lastActive)
	if class != other.class {
		return class > other.class
	}
	if levelOf(class) != levelSmall {
		return f.deadline >= other.deadline
	}
	queue := f.caller.queueIn(class)
	return queue != nil && queue.queuedBytes >= other.queue.queuedBytes
}
