package egress

// drop removes a queued packet without sending it.
func (s *Scheduler) drop(p *packet, reason DropReason) {
	item := s.dequeue(p)
	s.OnDrop(&item, reason)
}

// cancelFlow drops a flow's queued data and its opening packet.
func (s *Scheduler) cancelFlow(f *flow, reason DropReason) {
	for !f.packets.isEmpty() {
		s.drop(f.packets.first, reason)
	}
	if f.opening != nil {
		s.drop(f.opening, reason)
	}
}

// makeRoom drops packets that rank behind the item until it fits. It returns false if
// the item itself ranks last, or if the control queue has reached its share of the
// packets.
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

// ranksBehind reports whether a further packet of the flow ranks behind those of
// another flow, which is in the last class: it is in a later class, has no earlier
// deadline, or its caller has no less data queued.
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
