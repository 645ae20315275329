package routing

import "time"

// activeMembers returns the number of balancers that place flows.
func (r *Router) activeMembers() int {
	if r.table.view == nil {
		return 1
	}
	active := 0
	for i := range r.table.view.members {
		if !r.table.view.members[i].leaving {
			active++
		}
	}
	return max(active, 1)
}

// pick chooses the target for a new flow, or nil when none takes one. Each
// primary evens out the flows it has placed itself. A service that puts
// balance first compares all its targets; one that puts unbroken flows first
// compares two that were drawn by weight, so that a target whose reports make
// it look best does not get everything (Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", 2001).
func (r *Router) pick(owner *service, exclude *target) *target {
	candidates := r.candidates(owner, exclude)
	if len(candidates) == 0 {
		return nil
	}
	if owner.balance {
		return r.leastLoaded(candidates)
	}
	first := r.drawByWeight(candidates)
	second := r.drawByWeight(candidates)
	if loadScore(second) < loadScore(first) {
		return second
	}
	return first
}

func (r *Router) candidates(owner *service, exclude *target) []*target {
	var candidates []*target
	share := r.activeMembers()
	for _, candidate := range owner.targets {
		takes := candidate.takesNewFlows() && candidate.placed*share < int(max(candidate.connections, 1))
		if r.settings.Mechanisms.NoDrain {
			takes = candidate.usable()
		}
		if takes && candidate != exclude {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// loadScore is the number of flows and requests a target has by its weight;
// the lowest is the least loaded.
func loadScore(candidate *target) float64 {
	const requestCost = 4
	load := float64(candidate.placed + requestCost*candidate.outstanding + 1)
	return load / float64(max(candidate.weight, 1))
}

// leastLoaded compares all candidates. Each primary begins at another place of
// the list, evenly spread by its place in the view, so that primaries with few
// flows of their own do not all choose the same targets.
func (r *Router) leastLoaded(candidates []*target) *target {
	start := 0
	if r.table.view != nil {
		position := max(r.table.view.position(r.id), 0)
		start = position * len(candidates) / max(len(r.table.view.members), 1)
	}
	best := candidates[start]
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if loadScore(candidate) < loadScore(best) {
			best = candidate
		}
	}
	return best
}

func (r *Router) drawByWeight(candidates []*target) *target {
	total := 0
	for _, candidate := range candidates {
		total += int(max(candidate.weight, 1))
	}
	mark := r.settings.Random.IntN(total)
	for _, candidate := range candidates {
		mark -= int(max(candidate.weight, 1))
		if mark < 0 {
			return candidate
		}
	}
	return candidates[len(candidates)-1]
}

// admits reports whether the target can finish one more request before its
// deadline, as far as this primary can tell from its own share of them.
func (r *Router) admits(work *job, to *target) bool {
	share := r.activeMembers()
	queued := to.outstanding * share
	if queued >= int(to.slots*work.service.limits.queueFactor) {
		return false
	}
	left := work.service.limits.deadline
	if asked := r.parser.DeadlineMilliseconds(); asked > 0 {
		left = min(left, time.Duration(asked)*time.Millisecond)
	}
	return to.wait(queued) <= left
}

// wait estimates the time until a request behind queued others is answered.
func (t *target) wait(queued int) time.Duration {
	return t.serviceTime * time.Duration(queued/int(t.slots)+1)
}

// expectedWait estimates when a refused caller may come back.
func (r *Router) expectedWait(owner *service) time.Duration {
	var shortest time.Duration
	share := r.activeMembers()
	for _, candidate := range owner.targets {
		wait := candidate.wait(candidate.outstanding * share)
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
