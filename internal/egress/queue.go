package egress

func (s *Scheduler) enqueue(f *flow, item *Item) {
	p := s.packetPool.get()
	p.Item = *item
	p.flow = f
	p.priority = hasPriority(f, item.Kind)
	s.byAge.pushBack(p)
	f.queuedPackets++
	s.length++
	s.bytes += item.Size
	if p.priority {
		s.control.pushBack(p)
		s.controlCount++
		if item.Kind == KindOpening {
			f.opening = p
		}
		return
	}
	f.packets.pushBack(p)
	s.reclassify(f, item.Size)
}

// hasPriority reports whether a packet of the kind belongs in the control queue. A
// closing packet is queued behind the data of its flow, if there is any.
func hasPriority(f *flow, kind ItemKind) bool {
	return kind != KindData && (kind != KindClosing || f.packets.isEmpty())
}

// reclassify adds bytes to a flow's backlog and moves the flow to its current class.
func (s *Scheduler) reclassify(f *flow, bytes int) {
	class := f.classAt(f.lastActive)
	if f.scheduled && f.class == class {
		f.queuedBytes += bytes
		if f.queue != nil {
			f.queue.queuedBytes += bytes
		}
		return
	}
	if f.scheduled {
		s.classes.remove(f)
	}
	f.queuedBytes += bytes
	s.classes.add(f, class)
}

// dequeue removes a packet and returns its item.
func (s *Scheduler) dequeue(p *packet) Item {
	item := p.Item
	f := p.flow
	s.byAge.remove(p)
	f.queuedPackets--
	s.length--
	s.bytes -= p.Size
	if p.priority {
		s.control.remove(p)
		s.controlCount--
		if f.opening == p {
			f.opening = nil
		}
	} else {
		s.dequeueFromFlow(f, p)
	}
	s.packetPool.put(p)
	return item
}

func (s *Scheduler) dequeueFromFlow(f *flow, p *packet) {
	f.packets.remove(p)
	f.queuedBytes -= p.Size
	if f.queue != nil {
		f.queue.queuedBytes -= p.Size
	}
	if f.packets.isEmpty() {
		s.classes.remove(f)
	}
}
