package routing

import "time"

// activeMemberCount returns the number of members that are not leaving, which are
// those that place flows; it is at least 1.
func (r *Router) activeMemberCount() int {
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

// pickTarget returns the target for a new flow, or nil when none accepts one. Each
// primary balances only the flows that it placed itself. A service with priority
// "balance" uses the least loaded target; others use the less loaded of two
// targets drawn by weight, so that a target with misleading reports does not get
// all flows (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001).
func (r *Router) pickTarget(svc *service, exclude *target) *target {
	candidates := r.candidates(svc, exclude)
	if len(candidates) == 0 {
		return nil
	}
	if svc.balance {
		return r.leastLoaded(candidates)
	}
	first := r.pickByWeight(candidates)
	second := r.pickByWeight(candidates)
	if loadScore(second) < loadScore(first) {
		return second
	}
	return first
}

// candidates returns the targets that accept new flows. Every primary assumes that
// the others have placed as many flows on a target as it has itself.
func (r *Router) candidates(svc *service, exclude *target) []*target {
	var candidates []*target
	balancers := r.activeMemberCount()
	for _, candidate := range svc.targets {
		eligible := candidate.takesNewFlows() && candidate.placedFlows*balancers < int(max(candidate.connections, 1))
		if r.settings.Mechanisms.NoDrain {
			eligible = candidate.usable()
		}
		if eligible && candidate != exclude {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// loadScore returns the target's flows and outstanding requests in proportion to
// its weight.
func loadScore(candidate *target) float64 {
	const requestWeight = 4
	load := float64(candidate.placedFlows + requestWeight*candidate.outstanding + 1)
	return load / float64(max(candidate.weight, 1))
}

// leastLoaded returns the candidate with the lowest load score. The primaries
// start their search at evenly spaced candidates, so that ties do not lead all of
// them to the same target.
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

// pickByWeight returns a random candidate with a probability proportional to its
// weight.
func (r *Router) pickByWeight(candidates []*target) *target {
	total := 0
	for _, candidate := range candidates {
		total += int(max(candidate.weight, 1))
	}
	remaining := r.settings.Random.IntN(total)
	for _, candidate := range candidates {
		remaining -= int(max(candidate.weight, 1))
		if remaining < 0 {
			return candidate
		}
	}
	return candidates[len(candidates)-1]
}

// canMeetDeadline reports whether the target can accept one more request and answer
// it before its deadline. It estimates the target's queue from the requests of
// this primary.
func (r *Router) canMeetDeadline(incoming *incomingPacket, dest *target) bool {
	balancers := r.activeMemberCount()
	queued := dest.outstanding * balancers
	if queued >= int(dest.slots*incoming.service.limits.queueFactor) {
		return false
	}
	available := incoming.service.limits.deadline
	if requested := r.parser.DeadlineMilliseconds(); requested > 0 {
		available = min(available, time.Duration(requested)*time.Millisecond)
	}
	return dest.estimatedWait(queued) <= available
}

// estimatedWait returns the estimated time until a request behind queued others is
// answered.
func (t *target) estimatedWait(queued int) time.Duration {
	return t.serviceTime * time.Duration(queued/int(t.slots)+1)
}

// shortestWait returns the shortest estimated wait among the targets that follow the
// last one with an estimate of zero, or 0 if there are none.
func (r *Router) shortestWait(svc *service) time.Duration {
	var shortest time.Duration
	balancers := r.activeMemberCount()
	for _, candidate := range svc.targets {
		wait := candidate.estimatedWait(candidate.outstanding * balancers)
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
