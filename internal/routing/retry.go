package routing

// maxAttempts is the largest number of targets tried for one request.
const maxAttempts = 2

// retryCost is the credit that a retry costs, and maxRetryCredit the most that can
// be saved. Each request earns the service's retry percentage.
const (
	retryCost      = 100
	maxRetryCredit = 10 * retryCost
)

// retryBudget limits the retries of a service to a percentage of its requests, so
// that retries do not amplify an overload.
type retryBudget struct {
	percent uint32
	credit  uint32
}

func (b *retryBudget) earn() { b.credit = min(b.credit+b.percent, maxRetryCredit) }

func (b *retryBudget) spend() bool {
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}

// retry sends a request that its target refused to another target. It returns
// false when the refusal is final: the flow was not placed for this request, or
// the attempts, the deadline, the retry budget or the lease don't allow a retry.
func (r *Router) retry(key uint64, request *requestRecord, svc *service) bool {
	eligible := request.placedFlow && request.attempt < maxAttempts && request.packet != nil && r.now < request.deadline
	if !eligible || r.table.view == nil || r.table.view.pairs[PartitionOf(request.flow)].primary != r.id {
		return false
	}
	if !r.HasLease(r.now) || !svc.retries.spend() {
		r.counters.RetriesDenied++
		return false
	}
	refused := r.table.targets[request.targetID]
	next := r.pickTarget(svc, refused)
	if next == nil || next == refused {
		return false
	}
	var incoming incomingPacket
	if !r.parseCallerPacket(&incoming, svc, request.caller, request.packet) {
		return false
	}
	r.reassignRequest(request, next)
	r.counters.Retried++
	r.sendRetry(&incoming, request, next)
	return true
}

// reassignRequest assigns the request and its flow to another target.
func (r *Router) reassignRequest(request *requestRecord, next *target) {
	r.releaseOutstanding(request, false)
	request.attempt++
	request.targetID = next.id
	request.countedOutstanding = true
	next.outstanding++
	if record, known := r.flows.get(request.flow); known {
		r.uncountPlaced(record)
	}
	record := flowRecord{targetID: next.id, lastSeen: flowTimestamp(r.now)}
	r.countPlaced(&record, next)
	r.flows.put(request.flow, record)
}

// sendRetry sends a reassigned request, through the backup if there is one.
func (r *Router) sendRetry(incoming *incomingPacket, request *requestRecord, next *target) {
	if r.table.view.pairs[incoming.partition].backup == 0 {
		r.toTarget(next, incoming.caller, r.table.view.number, incoming.requestKey, incoming.payload)
		return
	}
	request.relayedTo = r.table.view.pairs[incoming.partition].backup
	r.relayToBackup(incoming, decision{target: next, attempt: request.attempt})
}

// retryUnsafe sends a request that may have run to another target. It is used only
// with Mechanisms.UnsafeRetry.
func (r *Router) retryUnsafe(key uint64, request *requestRecord) bool {
	svc := r.table.byID[request.serviceID]
	if svc == nil || request.packet == nil || request.attempt >= maxAttempts {
		return false
	}
	next := r.pickTarget(svc, r.table.targets[request.targetID])
	var incoming incomingPacket
	if next == nil || !r.parseCallerPacket(&incoming, svc, request.caller, request.packet) {
		return false
	}
	incoming.requestKey = key
	r.reassignRequest(request, next)
	r.toTarget(next, request.caller, r.table.view.number, key, request.packet)
	return true
}
