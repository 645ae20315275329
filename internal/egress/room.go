package egress

// drop removes a packet that is not sent.
func (s *Scheduler) drop(p *packet, reason DropReason) {
	item := s.dequeue(p)
	s.OnDrop(&item, reason)
}

// cancel drops all data of a flow, and its opening packet.
func (s *Scheduler) cancelFlow(f *flow, reason DropReason) {
	for !f.packets.isEmpty() {
		s.drop(f.packets.first, reason)
	}
	if f.opening != nil {
		s.drop(f.opening, reason)
	}
}

// makeRoom drops what helps less than an item until the item fits. It returns false
// when the item itself helps least, or when there is so much that goes before all flows
// that it would crowd them out.
func (s *Scheduler) makeRoom(f *flow, item *Item) bool {
	first := hasPriority(f, item.Kind)
	if first && s.controlCount >= s.settings.maxPackets/controlDivisor {
		return false
	}
	for s.length >= s.settings.maxPackets || s.bytes+item.Size > s.settings.maxBytes() {
		last := s.classes.last()
		if last == nil {
			return false
		}
		if !first && f.ranksBehind(last) {
			return false
		}
		s.drop(last.packets.last, DropFull)
	}
	return true
}

// ranksBehind reports whether another packet of a flow helps less than the last one of
// another flow, which is of the last class: it is behind it, or of a caller with no
// fewer bytes there.
func (f *flow) ranksBehind(other *flow) bool {
	class := f.classAt(f.lastActive)
	if class != other.class {
		return class > other.class
	}
	if levelOf(class) != levelSmall {
		return f.deadline >= other.deadline
	}
	own := f.caller.queueIn(class)
	return own != nil && own.bytes >= other.queue.bytes
}
