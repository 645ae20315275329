package routing

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// decision is what the primary has found for a packet.
type decision struct {
	to      *target
	record  flowRecord
	first   bool
	refuse  bool
	attempt uint8
}

// decide is the one decision point for a packet. The caller has checked that
// this balancer is the primary of the partition.
func (r *Router) decide(work *job, flags wire.PeerFlags, hint uint32) {
	if !r.HasLease(r.now) {
		r.counters.WithoutLease++
		r.relayWithoutLease(work)
		return
	}
	if work.unsafe() && (r.answerRepeated(work) || r.holdForView(work) || r.ledgerFull(work)) {
		return
	}
	record, known := r.flows.get(work.fingerprint)
	if !known && flags.Has(wire.FlagKnown) {
		record, known = r.adoptHint(work, hint)
	}
	if !known && r.mustConsult(work.partition) {
		r.consult(work)
		return
	}
	r.decideKnown(work, record, known)
}

// relayWithoutLease passes a packet to the backup, whose lease may stand.
func (r *Router) relayWithoutLease(work *job) {
	owners := r.table.view.pairs[work.partition]
	if owners.backup == 0 {
		r.counters.Unroutable++
		return
	}
	packet := r.peerPacket(wire.PeerToPrimary, work)
	packet.Hops = hopLimit - 1
	r.toPeer(owners.backup, packet)
}

// answerRepeated handles a request that the ledger already holds: it is never
// forwarded again.
func (r *Router) answerRepeated(work *job) bool {
	request := r.ledger.get(work.requestKey)
	if request == nil {
		return false
	}
	r.counters.Retransmissions++
	switch request.state {
	case requestForwarded:
		r.repeatForwarded(work, request)
	case requestAnswered:
		r.toCaller(work.service, work.caller, request.answer)
	case requestRefused:
		r.repeatRefusal(work, request)
	case requestUnknown:
		r.toCaller(work.service, work.caller, r.parser.Response(codes.GatewayTimeout, 0))
	}
	return true
}

// repeatForwarded sends a request on once more where that cannot run it
// twice: to the same backup, which keeps its own record of it, or to a target
// that detects duplicates.
func (r *Router) repeatForwarded(work *job, request *requestRecord) {
	owners := r.table.view.pairs[work.partition]
	to := r.table.targets[request.targetID]
	if to == nil || !to.usable() {
		return
	}
	if owners.primary == r.id && request.relayedTo != 0 {
		if request.relayedTo == owners.backup {
			r.relayToBackup(work, decision{to: to, attempt: request.attempt})
		}
		return
	}
	if to.dedupes {
		r.toTarget(to, work.caller, r.table.view.number, work.requestKey, work.payload)
	}
}

// repeatRefusal answers "not run" again. A primary that decided without all
// earlier records leaves the answer to the backup that decided with it.
func (r *Router) repeatRefusal(work *job, request *requestRecord) {
	if !request.unsure {
		r.refuse(work)
		return
	}
	if request.relayedTo == r.table.view.pairs[work.partition].backup {
		r.relayToBackup(work, decision{refuse: true, attempt: request.attempt})
		return
	}
	r.toCaller(work.service, work.caller, r.parser.Response(codes.GatewayTimeout, 0))
}

// adoptHint takes the target that the relaying balancer knows for the flow.
func (r *Router) adoptHint(work *job, hint uint32) (flowRecord, bool) {
	to := r.table.targets[hint]
	if to == nil || to.service != work.service {
		return flowRecord{}, false
	}
	record := flowRecord{targetID: hint, flags: flowAnswered}
	r.count(&record, to)
	return record, true
}

func (r *Router) count(record *flowRecord, to *target) {
	if record.flags&flowCounted == 0 {
		record.flags |= flowCounted
		to.placed++
	}
}

// decideKnown finds the target for a packet whose flow was looked up with
// certainty, and sends the packet on its way.
func (r *Router) decideKnown(work *job, record flowRecord, known bool) {
	choice := decision{record: record, attempt: 1}
	if known {
		choice.to = r.table.targets[record.targetID]
		if choice.to == nil || !choice.to.usable() {
			r.endFlow(work.fingerprint, record)
			known = false
		}
	}
	if !known && !r.place(work, &choice, nil) {
		choice.refuse = true
	}
	if !choice.refuse && work.unsafe() && !r.admits(work, choice.to) {
		choice.refuse = true
	}
	r.commit(work, choice)
}

// endFlow forgets a flow whose target is gone.
func (r *Router) endFlow(fingerprint uint64, record flowRecord) {
	r.counters.FlowsBroken++
	r.uncount(record)
	r.flows.remove(fingerprint)
}

// place chooses a target for a new flow. It returns false when no target
// takes one.
func (r *Router) place(work *job, choice *decision, exclude *target) bool {
	to := r.pick(work.service, exclude)
	if to == nil {
		return false
	}
	r.counters.FlowsPlaced++
	choice.to = to
	choice.first = true
	choice.record = flowRecord{targetID: to.id}
	r.count(&choice.record, to)
	return true
}

// commit records the decision and sends the packet on: through the backup if
// it must record it too, and straight to the target otherwise.
func (r *Router) commit(work *job, choice decision) {
	view := r.table.view
	owners := view.pairs[work.partition]
	registered := choice.record.registered >= view.epochs[work.partition] && r.confirmedLately(work, choice.record)
	choice.record.lastSeen = lastSeenAt(r.now)
	if !registered {
		choice.record.confirmed = lastSeenAt(r.now)
	}
	if !choice.refuse {
		r.flows.put(work.fingerprint, choice.record)
		r.noteObserver(work)
	}
	throughBackup := owners.backup != 0 && !r.settings.Mechanisms.NoBackupRecord
	if !work.unsafe() {
		needsBackup := throughBackup && !(registered && work.class == coapmsg.ClassSafe)
		r.commitSafe(work, choice, needsBackup)
		return
	}
	if !throughBackup {
		r.finishAlone(work, choice)
		return
	}
	request := r.recordRequest(work, choice)
	request.relayedTo = owners.backup
	request.unsure = !r.historyKnown(work.partition)
	r.relayToBackup(work, choice)
}

// commitSafe sends on a packet that may be repeated. While the backup does not
// answer, the packet goes to the target without being registered there.
func (r *Router) commitSafe(work *job, choice decision, throughBackup bool) {
	switch {
	case choice.refuse:
		r.refuse(work)
	case !throughBackup:
		r.toTarget(choice.to, work.caller, r.table.view.number, 0, work.payload)
	case r.suspects(r.table.view.pairs[work.partition].backup):
		r.toTarget(choice.to, work.caller, 0, 0, work.payload)
	default:
		r.relayToBackup(work, choice)
	}
}

// ledgerFull ends a request for which there is no room in the ledger. Without a
// record it can neither be forwarded nor be said not to run.
func (r *Router) ledgerFull(work *job) bool {
	if len(r.ledger.records) < r.settings.LedgerLimit {
		return false
	}
	r.counters.LedgerFull++
	r.toCaller(work.service, work.caller, r.parser.Response(codes.GatewayTimeout, 0))
	return true
}

// noteFullLedger logs that requests found no room since the last note.
func (r *Router) noteFullLedger() {
	if r.counters.LedgerFull == r.ledgerNoted || r.now < r.nextLedgerNote {
		return
	}
	r.nextLedgerNote = r.now.Add(fullTableInterval)
	r.log(eventlog.LedgerFull, "records", len(r.ledger.records), "ended", r.counters.LedgerFull-r.ledgerNoted)
	r.ledgerNoted = r.counters.LedgerFull
}

// holdForView drops a request that may not be repeated while the backup does
// not answer: forwarded now, its outcome would most likely stay unknown.
// Nothing is recorded, so the caller's retransmission is a first attempt once
// the view has changed.
func (r *Router) holdForView(work *job) bool {
	owners := r.table.view.pairs[work.partition]
	if owners.backup == 0 || r.settings.Mechanisms.NoBackupRecord || !r.suspects(owners.backup) {
		return false
	}
	r.counters.HeldForView++
	return true
}

// finishAlone ends the decision on a primary that has no backup.
func (r *Router) finishAlone(work *job, choice decision) {
	if !r.historyKnown(work.partition) {
		r.answerUnknown(work)
		return
	}
	r.recordRequest(work, choice)
	if choice.refuse {
		r.refuse(work)
		return
	}
	r.toTarget(choice.to, work.caller, r.table.view.number, work.requestKey, work.payload)
}

func (r *Router) relayToBackup(work *job, choice decision) {
	r.counters.RelayedToBackup++
	packet := r.peerPacket(wire.PeerToBackup, work)
	packet.Attempt = choice.attempt
	if choice.to != nil {
		packet.TargetID = choice.to.id
	}
	if choice.refuse {
		packet.Flags |= wire.FlagRefuse
	}
	if r.coverage.coversRequests(work.partition) {
		packet.Flags |= wire.FlagCovered
	}
	r.toPeer(r.table.view.pairs[work.partition].backup, packet)
}

// recordRequest enters the request into the ledger before anyone can run it.
func (r *Router) recordRequest(work *job, choice decision) *requestRecord {
	request := r.newRequest(work)
	request.attempt = choice.attempt
	request.first = choice.first
	if choice.refuse {
		request.state = requestRefused
	} else {
		request.targetID = choice.to.id
		request.packet = append([]byte(nil), work.payload...)
		request.decider = r.id
		request.tracked = true
		choice.to.outstanding++
		work.service.retries.earn()
	}
	r.ledger.put(work.requestKey, request)
	return request
}

// networkLifetime is how long a packet can be under way after its last
// transmission: the network's part is short, and each of three balancers may
// hold it for maxPacketAge.
const networkLifetime = 3*maxPacketAge + time.Second

func (r *Router) newRequest(work *job) *requestRecord {
	deadline := work.service.limits.deadline
	if asked := r.parser.DeadlineMilliseconds(); asked > 0 {
		deadline = min(deadline, time.Duration(asked)*time.Millisecond)
	}
	forget := max(deadline, work.service.limits.retransmitSpan) + networkLifetime
	return &requestRecord{
		state:    requestForwarded,
		started:  r.now,
		deadline: r.now.Add(deadline),
		forget:   r.now.Add(forget),
		flow:     work.fingerprint,
		service:  work.service.id,
		caller:   work.caller,
	}
}

// refuse answers "not run". It is called only where the refusal is recorded
// or the request may be repeated.
func (r *Router) refuse(work *job) {
	r.counters.RefusedNotRun++
	wait := r.expectedWait(work.service)
	r.toCaller(work.service, work.caller, r.parser.Response(codes.ServiceUnavailable, refusalMaxAge(wait)))
}

// answerUnknown answers "outcome unknown": a predecessor may have forwarded
// this very request, and its records are lost.
func (r *Router) answerUnknown(work *job) {
	r.counters.UnknownOutcome++
	r.counters.HistoryUnknown++
	r.log(eventlog.HistoryUnknown, "view", r.ViewNumber(), "partition", work.partition, "caller", work.caller)
	request := r.newRequest(work)
	request.state = requestUnknown
	r.ledger.put(work.requestKey, request)
	r.toCaller(work.service, work.caller, r.parser.Response(codes.GatewayTimeout, 0))
}

// refusalMaxAge returns the seconds after which a refused caller may come back.
func refusalMaxAge(wait time.Duration) uint32 {
	return uint32(max(1, (wait+time.Second-1)/time.Second))
}
