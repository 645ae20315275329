package routing

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// decision is the primary's choice for a packet.
type decision struct {
	target  *target
	record  flowRecord
	placed  bool
	refuse  bool
	attempt uint8
}

// decide decides on a packet as the primary of its partition. It answers
// retransmissions, and consults the other members if one of them may know the flow.
// With FlagKnown, hint is the target that the relaying balancer has recorded.
func (r *Router) decide(incoming *incomingPacket, flags wire.PeerFlags, hint uint32) {
	if !r.HasLease(r.now) {
		r.counters.WithoutLease++
		r.relayWithoutLease(incoming)
		return
	}
	if incoming.unsafe() && (r.answerRetransmission(incoming) || r.dropWhileBackupSilent(incoming) || r.rejectIfLedgerFull(incoming)) {
		return
	}
	record, known := r.flows.get(incoming.fingerprint)
	if !known && flags.Has(wire.FlagKnown) {
		record, known = r.adoptHint(incoming, hint)
	}
	if !known && r.mustConsult(incoming.partition) {
		r.consult(incoming)
		return
	}
	r.decideTarget(incoming, record, known)
}

// relayWithoutLease sends a packet to the backup, which may still have a lease.
func (r *Router) relayWithoutLease(incoming *incomingPacket) {
	owners := r.table.view.pairs[incoming.partition]
	if owners.backup == 0 {
		r.counters.Unroutable++
		return
	}
	packet := r.peerPacket(wire.PeerToPrimary, incoming)
	packet.Hops = maxHops - 1
	r.toPeer(owners.backup, packet)
}

// answerRetransmission handles a request that is already in the ledger and returns
// true for it. It forwards the request again only if it cannot run twice.
func (r *Router) answerRetransmission(incoming *incomingPacket) bool {
	request := r.ledger.get(incoming.requestKey)
	if request == nil {
		return false
	}
	r.counters.Retransmissions++
	switch request.state {
	case requestForwarded:
		r.resendForwarded(incoming, request)
	case requestAnswered:
		r.toCaller(incoming.service, incoming.caller, request.answer)
	case requestRefused:
		r.resendRefusal(incoming, request)
	case requestUnknown:
		r.toCaller(incoming.service, incoming.caller, r.parser.Response(codes.GatewayTimeout, 0))
	}
	return true
}

// resendForwarded sends a request again if it cannot run twice: to the same
// backup, which has its own record of it, or to a target that detects duplicates.
func (r *Router) resendForwarded(incoming *incomingPacket, request *requestRecord) {
	owners := r.table.view.pairs[incoming.partition]
	dest := r.table.targets[request.targetID]
	if dest == nil || !dest.usable() {
		return
	}
	if owners.primary == r.id && request.relayedTo != 0 {
		if request.relayedTo == owners.backup {
			r.relayToBackup(incoming, decision{target: dest, attempt: request.attempt})
		}
		return
	}
	if dest.detectsDuplicates {
		r.toTarget(dest, incoming.caller, r.table.view.number, incoming.requestKey, incoming.payload)
	}
}

// resendRefusal answers a retransmission of a refused request. A primary that
// lacked earlier records leaves the answer to the backup that got the refusal.
func (r *Router) resendRefusal(incoming *incomingPacket, request *requestRecord) {
	if !request.historyIncomplete {
		r.refuse(incoming)
		return
	}
	if request.relayedTo == r.table.view.pairs[incoming.partition].backup {
		r.relayToBackup(incoming, decision{refuse: true, attempt: request.attempt})
		return
	}
	r.toCaller(incoming.service, incoming.caller, r.parser.Response(codes.GatewayTimeout, 0))
}

// adoptHint returns a record with the target that the relaying balancer has
// recorded for the flow, if that target belongs to the service.
func (r *Router) adoptHint(incoming *incomingPacket, hint uint32) (flowRecord, bool) {
	dest := r.table.targets[hint]
	if dest == nil || dest.service != incoming.service {
		return flowRecord{}, false
	}
	record := flowRecord{targetID: hint, flags: flowAnswered}
	r.countPlaced(&record, dest)
	return record, true
}

// countPlaced includes a flow in its target's placedFlows, once.
func (r *Router) countPlaced(record *flowRecord, dest *target) {
	if record.flags&flowCounted == 0 {
		record.flags |= flowCounted
		dest.placedFlows++
	}
}

// decideTarget chooses the target after the lookup of the flow, and commits the
// decision. A flow whose target is unusable is placed anew.
func (r *Router) decideTarget(incoming *incomingPacket, record flowRecord, known bool) {
	choice := decision{record: record, attempt: 1}
	if known {
		choice.target = r.table.targets[record.targetID]
		if choice.target == nil || !choice.target.usable() {
			r.dropBrokenFlow(incoming.fingerprint, record)
			known = false
		}
	}
	if !known && !r.placeFlow(incoming, &choice, nil) {
		choice.refuse = true
	}
	if !choice.refuse && incoming.unsafe() && !r.canMeetDeadline(incoming, choice.target) {
		choice.refuse = true
	}
	r.commitDecision(incoming, choice)
}

// dropBrokenFlow removes and counts a flow whose target is unusable.
func (r *Router) dropBrokenFlow(fingerprint uint64, record flowRecord) {
	r.counters.FlowsBroken++
	r.uncountPlaced(record)
	r.flows.remove(fingerprint)
}

// placeFlow chooses a target for a new flow. It returns false when no target
// accepts one.
func (r *Router) placeFlow(incoming *incomingPacket, choice *decision, exclude *target) bool {
	dest := r.pickTarget(incoming.service, exclude)
	if dest == nil {
		return false
	}
	r.counters.FlowsPlaced++
	choice.target = dest
	choice.placed = true
	choice.record = flowRecord{targetID: dest.id}
	r.countPlaced(&choice.record, dest)
	return true
}

// commitDecision records the decision and forwards the packet: through the backup
// if that must record the decision too, and otherwise to the target.
func (r *Router) commitDecision(incoming *incomingPacket, choice decision) {
	view := r.table.view
	owners := view.pairs[incoming.partition]
	registered := choice.record.registeredView >= view.pairChangedIn[incoming.partition] && r.recentlyConfirmed(incoming, choice.record)
	choice.record.lastSeen = flowTimestamp(r.now)
	if !registered {
		choice.record.confirmedAt = flowTimestamp(r.now)
	}
	if !choice.refuse {
		r.flows.put(incoming.fingerprint, choice.record)
		r.updateObserver(incoming)
	}
	viaBackup := owners.backup != 0 && !r.settings.Mechanisms.NoBackupRecord
	if !incoming.unsafe() {
		needsBackup := viaBackup && !(registered && incoming.class == coapmsg.ClassSafe)
		r.sendSafe(incoming, choice, needsBackup)
		return
	}
	if !viaBackup {
		r.commitWithoutBackup(incoming, choice)
		return
	}
	request := r.recordRequest(incoming, choice)
	request.relayedTo = owners.backup
	request.historyIncomplete = !r.hasRequestHistory(incoming.partition)
	r.relayToBackup(incoming, choice)
}

// sendSafe forwards a packet that is not an unsafe request. While the backup is
// suspected to be down, the packet goes to the target with view 0 in its tag, so
// that the flow does not count as registered.
func (r *Router) sendSafe(incoming *incomingPacket, choice decision, viaBackup bool) {
	switch {
	case choice.refuse:
		r.refuse(incoming)
	case !viaBackup:
		r.toTarget(choice.target, incoming.caller, r.table.view.number, 0, incoming.payload)
	case r.isSuspected(r.table.view.pairs[incoming.partition].backup):
		r.toTarget(choice.target, incoming.caller, 0, 0, incoming.payload)
	default:
		r.relayToBackup(incoming, choice)
	}
}

// rejectIfLedgerFull answers 5.04 when the ledger is full. Without a record, the
// balancer can neither forward the request nor promise that it will not run.
func (r *Router) rejectIfLedgerFull(incoming *incomingPacket) bool {
	if len(r.ledger.records) < r.settings.LedgerLimit {
		return false
	}
	r.counters.LedgerFull++
	r.toCaller(incoming.service, incoming.caller, r.parser.Response(codes.GatewayTimeout, 0))
	return true
}

// logLedgerFull logs rejections by a full ledger, at most once per
// fullTableLogInterval.
func (r *Router) logLedgerFull() {
	if r.counters.LedgerFull == r.loggedLedgerFull || r.now < r.nextLedgerLog {
		return
	}
	r.nextLedgerLog = r.now.Add(fullTableLogInterval)
	r.log(eventlog.LedgerFull, "records", len(r.ledger.records), "ended", r.counters.LedgerFull-r.loggedLedgerFull)
	r.loggedLedgerFull = r.counters.LedgerFull
}

// dropWhileBackupSilent drops an unsafe request while the backup is suspected to be
// down, since its outcome would probably be unknown. It records nothing, so after
// a view change the caller's retransmission counts as the first attempt.
func (r *Router) dropWhileBackupSilent(incoming *incomingPacket) bool {
	owners := r.table.view.pairs[incoming.partition]
	if owners.backup == 0 || r.settings.Mechanisms.NoBackupRecord || !r.isSuspected(owners.backup) {
		return false
	}
	r.counters.HeldForView++
	return true
}

// commitWithoutBackup commits the decision on an unsafe request on a primary that
// does not use a backup.
func (r *Router) commitWithoutBackup(incoming *incomingPacket, choice decision) {
	if !r.hasRequestHistory(incoming.partition) {
		r.answerOutcomeUnknown(incoming)
		return
	}
	r.recordRequest(incoming, choice)
	if choice.refuse {
		r.refuse(incoming)
		return
	}
	r.toTarget(choice.target, incoming.caller, r.table.view.number, incoming.requestKey, incoming.payload)
}

// relayToBackup sends a packet and the decision on it to the backup.
func (r *Router) relayToBackup(incoming *incomingPacket, choice decision) {
	r.counters.RelayedToBackup++
	packet := r.peerPacket(wire.PeerToBackup, incoming)
	packet.Attempt = choice.attempt
	if choice.target != nil {
		packet.TargetID = choice.target.id
	}
	if choice.refuse {
		packet.Flags |= wire.FlagRefuse
	}
	if r.coverage.hasAllRequests(incoming.partition) {
		packet.Flags |= wire.FlagCovered
	}
	r.toPeer(r.table.view.pairs[incoming.partition].backup, packet)
}

// recordRequest adds the request to the ledger. It is called before the packet is
// sent.
func (r *Router) recordRequest(incoming *incomingPacket, choice decision) *requestRecord {
	request := r.newRequestRecord(incoming)
	request.attempt = choice.attempt
	request.placedFlow = choice.placed
	if choice.refuse {
		request.state = requestRefused
	} else {
		request.targetID = choice.target.id
		request.packet = append([]byte(nil), incoming.payload...)
		request.decider = r.id
		request.countedOutstanding = true
		choice.target.outstanding++
		incoming.service.retries.earn()
	}
	r.ledger.put(incoming.requestKey, request)
	return request
}

// maxPacketLifetime is the longest time from a packet's last transmission to its
// arrival at the target: maxPacketAge at each of three balancers, and one second
// in the network.
const maxPacketLifetime = 3*maxPacketAge + time.Second

// newRequestRecord returns the record of a request with its deadline and expiry.
func (r *Router) newRequestRecord(incoming *incomingPacket) *requestRecord {
	deadline := incoming.service.limits.deadline
	if requested := r.parser.DeadlineMilliseconds(); requested > 0 {
		deadline = min(deadline, time.Duration(requested)*time.Millisecond)
	}
	lifetime := max(deadline, incoming.service.limits.retransmitSpan) + maxPacketLifetime
	return &requestRecord{
		state:     requestForwarded,
		startedAt: r.now,
		deadline:  r.now.Add(deadline),
		expiresAt: r.now.Add(lifetime),
		flow:      incoming.fingerprint,
		serviceID: incoming.service.id,
		caller:    incoming.caller,
	}
}

// refuse answers 5.03, which tells the caller that the request did not run. It is
// called only for a safe request or after the refusal was recorded.
func (r *Router) refuse(incoming *incomingPacket) {
	r.counters.RefusedNotRun++
	wait := r.shortestWait(incoming.service)
	r.toCaller(incoming.service, incoming.caller, r.parser.Response(codes.ServiceUnavailable, refusalMaxAge(wait)))
}

// answerOutcomeUnknown answers 5.04 to a request that an earlier owner of the
// partition may have forwarded and of which no record is available.
func (r *Router) answerOutcomeUnknown(incoming *incomingPacket) {
	r.counters.UnknownOutcome++
	r.counters.HistoryUnknown++
	r.log(eventlog.HistoryUnknown, "view", r.ViewNumber(), "partition", incoming.partition, "caller", incoming.caller)
	request := r.newRequestRecord(incoming)
	request.state = requestUnknown
	r.ledger.put(incoming.requestKey, request)
	r.toCaller(incoming.service, incoming.caller, r.parser.Response(codes.GatewayTimeout, 0))
}

// refusalMaxAge returns the Max-Age of a refusal: the wait in whole seconds,
// rounded up, and at least 1.
func refusalMaxAge(wait time.Duration) uint32 {
	return uint32(max(1, (wait+time.Second-1)/time.Second))
}
