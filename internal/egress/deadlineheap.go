package egress

// deadlineHeap is a binary heap of flows ordered by deadline, earliest first.
type deadlineHeap struct{ flows []*flow }

func (h *deadlineHeap) isEmpty() bool { return len(h.flows) == 0 }

func (h *deadlineHeap) first() *flow { return h.flows[0] }

func (h *deadlineHeap) add(f *flow) {
	f.heapIndex = len(h.flows)
	h.flows = append(h.flows, f)
	h.siftUp(f.heapIndex)
}

func (h *deadlineHeap) remove(f *flow) {
	position := f.heapIndex
	last := len(h.flows) - 1
	h.swap(position, last)
	h.flows[last] = nil
	h.flows = h.flows[:last]
	if position < last {
		h.siftDown(position)
		h.siftUp(position)
	}
}

// last returns the flow with the latest deadline among the last maxScan entries of the
// heap, which need not be the latest of all.
func (h *deadlineHeap) last() *flow {
	end := len(h.flows)
	found := h.flows[end-1]
	for _, f := range h.flows[max(0, end-maxScan):] {
		if f.deadline > found.deadline {
			found = f
		}
	}
	return found
}

func (h *deadlineHeap) swap(one, other int) {
	h.flows[one], h.flows[other] = h.flows[other], h.flows[one]
	h.flows[one].heapIndex = one
	h.flows[other].heapIndex = other
}

func (h *deadlineHeap) siftUp(position int) {
	for position > 0 {
		parent := (position - 1) / 2
		if h.flows[parent].deadline <= h.flows[position].deadline {
			return
		}
		h.swap(parent, position)
		position = parent
	}
}

func (h *deadlineHeap) siftDown(position int) {
	for {
		child := 2*position + 1
		if child >= len(h.flows) {
			return
		}
		if child+1 < len(h.flows) && h.flows[child+1].deadline < h.flows[child].deadline {
			child++
		}
		if h.flows[position].deadline <= h.flows[child].deadline {
			return
		}
		h.swap(position, child)
		position = child
	}
}
