package routing

// attemptLimit is the largest number of targets tried for one request.
const attemptLimit = 2

// retryUnit is the credit that one retry costs; each request earns the
// service's percentage of it.
const (
	retryUnit   = 100
	retryCredit = 10 * retryUnit
)

// retryBudget bounds the retries of a service to a share of its requests, so
// that retries cannot carry an overload further.
type retryBudget struct {
	percent uint32
	credit  uint32
}

func (b *retryBudget) earn() { b.credit = min(b.credit+b.percent, retryCredit) }

func (b *retryBudget) spend() bool {
	if b.credit < retryUnit {
		return false
	}
	b.credit -= retryUnit
	return true
}

// retry sends a request that its target refused before running it to another
// target. Only the request that placed its flow may move it, and only within
// the deadline and the budget. It returns false when the refusal stands.
func (r *Router) retry(key uint64, request *requestRecord, owner *service) bool {
	eligible := request.first && request.attempt < attemptLimit && request.packet != nil && r.now < request.deadline
	if !eligible || r.table.view == nil || r.table.view.pairs[PartitionOf(request.flow)].primary != r.id {
		return false
	}
	if !r.HasLease(r.now) || !owner.retries.spend() {
		r.counters.RetriesDenied++
		return false
	}
	refused := r.table.targets[request.targetID]
	next := r.pick(owner, refused)
	if next == nil || next == refused {
		return false
	}
	var work job
	if !r.readJob(&work, owner, request.caller, request.packet) {
		return false
	}
	r.moveRequest(request, next)
	r.counters.Retried++
	r.sendAgain(&work, request, next)
	return true
}

// moveRequest gives the request and its flow another target.
func (r *Router) moveRequest(request *requestRecord, next *target) {
	r.untrack(request, false)
	request.attempt++
	request.targetID = next.id
	request.tracked = true
	next.outstanding++
	if record, known := r.flows.get(request.flow); known {
		r.uncount(record)
	}
	record := flowRecord{targetID: next.id, lastSeen: lastSeenAt(r.now)}
	r.count(&record, next)
	r.flows.put(request.flow, record)
}

func (r *Router) sendAgain(work *job, request *requestRecord, next *target) {
	if r.table.view.pairs[work.partition].backup == 0 {
		r.toTarget(next, work.caller, r.table.view.number, work.requestKey, work.payload)
		return
	}
	request.relayedTo = r.table.view.pairs[work.partition].backup
	r.relayToBackup(work, decision{to: next, attempt: request.attempt})
}

// retryUnsafe sends a request whose fate is not known to another target. The
// product never does; a test shows with it what the rule is for.
func (r *Router) retryUnsafe(key uint64, request *requestRecord) bool {
	owner := r.table.byID[request.service]
	if owner == nil || request.packet == nil || request.attempt >= attemptLimit {
		return false
	}
	next := r.pick(owner, r.table.targets[request.targetID])
	var work job
	if next == nil || !r.readJob(&work, owner, request.caller, request.packet) {
		return false
	}
	work.requestKey = key
	r.moveRequest(request, next)
	r.toTarget(next, request.caller, r.table.view.number, key, request.packet)
	return true
}
