package routing

import (
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// keptAnswerLimit is the largest answer kept for retransmissions, in bytes.
const keptAnswerLimit = 1280

// serviceTimeShare is the weight of one answer in the moving average: one eighth.
const serviceTimeShare = 8

// handleAnswer passes a target's answer to the caller. It drops what does not
// come from a target of the service.
func (r *Router) handleAnswer(serviceAddress, caller netip.AddrPort, tag wire.ForwardTag, payload []byte) {
	owner := r.table.byAddress[serviceAddress]
	from := r.table.targets[tag.TargetID]
	genuine := owner != nil && from != nil && from.service == owner && tag.ServiceID == owner.id
	if !genuine && !r.settings.Mechanisms.NoTagCheck {
		r.counters.StaleAnswers++
		return
	}
	if owner == nil {
		return
	}
	code := coapmsg.Code(payload)
	refusal := code == codes.ServiceUnavailable
	fingerprint := Flow{Caller: caller, ServiceID: owner.id}.Fingerprint()
	if from != nil && !refusal {
		r.learn(fingerprint, from, tag.View)
	}
	if tag.RequestKey == 0 || code == codes.Empty {
		r.toCaller(owner, caller, payload)
		return
	}
	if !refusal {
		r.toCaller(owner, caller, payload)
	}
	r.reportAnswer(owner, caller, fingerprint, tag, refusal, payload)
}

// learn remembers the target of a flow from an answer that passes by.
func (r *Router) learn(fingerprint uint64, from *target, registered uint64) {
	record, known := r.flows.get(fingerprint)
	if known && record.targetID != from.id && record.registered >= registered {
		return
	}
	if !from.usable() {
		return
	}
	if known && record.targetID != from.id {
		r.uncount(record)
		record = flowRecord{}
	}
	if !known {
		record.confirmed = lastSeenAt(r.now)
	}
	record.targetID = from.id
	record.registered = max(record.registered, registered)
	record.lastSeen = lastSeenAt(r.now)
	record.flags |= flowAnswered
	r.flows.put(fingerprint, record)
}

// reportAnswer tells the primary how a request that may not be repeated ended.
func (r *Router) reportAnswer(owner *service, caller netip.AddrPort, fingerprint uint64, tag wire.ForwardTag, refusal bool, payload []byte) {
	if r.table.view == nil {
		return
	}
	packet := wire.PeerPacket{
		Kind:       wire.PeerAnswer,
		ServiceID:  owner.id,
		TargetID:   tag.TargetID,
		RequestKey: tag.RequestKey,
		Caller:     caller,
		Payload:    payload,
	}
	if refusal {
		packet.Flags |= wire.FlagRefusal
	}
	owners := r.table.view.pairs[PartitionOf(fingerprint)]
	if owners.primary == r.id {
		r.receiveAnswer(&packet)
		return
	}
	r.toPeer(owners.primary, packet)
}

// receiveAnswer notes the end of a request on the primary, and on the backup
// when the primary has passed it on.
func (r *Router) receiveAnswer(packet *wire.PeerPacket) {
	request := r.ledger.get(packet.RequestKey)
	refusal := packet.Flags.Has(wire.FlagRefusal)
	owner := r.table.byID[packet.ServiceID]
	if owner == nil || r.table.view == nil {
		return
	}
	if request == nil {
		if refusal {
			r.toCaller(owner, packet.Caller, packet.Payload)
		}
		return
	}
	if request.state == requestAnswered || request.state == requestRefused {
		return
	}
	if request.targetID != 0 && request.targetID != packet.TargetID {
		return
	}
	if refusal && !packet.Flags.Has(wire.FlagFinal) && r.retry(packet.RequestKey, request, owner) {
		return
	}
	r.finishRequest(request, refusal, packet.Payload)
	if packet.Flags.Has(wire.FlagFinal) {
		return
	}
	if refusal {
		r.toCaller(owner, packet.Caller, packet.Payload)
	}
	r.passToBackup(request, packet)
}

func (r *Router) passToBackup(request *requestRecord, packet *wire.PeerPacket) {
	owners := r.table.view.pairs[PartitionOf(request.flow)]
	if owners.backup == 0 || owners.primary != r.id {
		return
	}
	copied := *packet
	copied.Flags |= wire.FlagFinal
	r.toPeer(owners.backup, copied)
}

func (r *Router) finishRequest(request *requestRecord, refusal bool, answer []byte) {
	request.state = requestAnswered
	if refusal {
		request.state = requestRefused
	}
	request.packet = nil
	if len(answer) <= keptAnswerLimit {
		request.answer = append([]byte(nil), answer...)
		r.counters.AnswersKept++
	}
	r.untrack(request, !refusal)
}

// untrack ends the request's count at its target; an answer also updates the
// target's service time.
func (r *Router) untrack(request *requestRecord, answered bool) {
	if !request.tracked {
		return
	}
	request.tracked = false
	to := r.table.targets[request.targetID]
	if to == nil {
		return
	}
	to.outstanding--
	if answered {
		taken := r.now.Sub(request.started)
		to.serviceTime += (taken - to.serviceTime) / serviceTimeShare
	}
}

// requestExpired ends a request whose deadline has passed without an answer.
func (r *Router) requestExpired(key uint64, request *requestRecord) { r.giveUp(key, request) }

// speaksFor reports whether this balancer tells the caller of the request's
// end: the decider does, also when the partition has moved on since, and the
// backup does once the decider has left the view.
func (r *Router) speaksFor(request *requestRecord) bool {
	return request.decider == r.id || r.table.view.member(request.decider) == nil
}

// giveUp answers "outcome unknown" at once, or only marks the record when
// another balancer speaks.
func (r *Router) giveUp(key uint64, request *requestRecord) {
	if r.settings.Mechanisms.UnsafeRetry && r.retryUnsafe(key, request) {
		return
	}
	request.state = requestUnknown
	r.untrack(request, false)
	packet := request.packet
	request.packet = nil
	owner := r.table.byID[request.service]
	if owner == nil || packet == nil || r.table.view == nil {
		return
	}
	if !r.speaksFor(request) {
		return
	}
	if r.parser.Parse(packet) != nil {
		return
	}
	r.counters.UnknownOutcome++
	r.log(eventlog.RequestUnknown, "service", owner.name, "caller", request.caller, "target", request.targetID)
	r.toCaller(owner, request.caller, r.parser.Response(codes.GatewayTimeout, 0))
}

// endTarget ends all flows of a target that died, and tells their callers.
func (r *Router) endTarget(dead *target) {
	flows := r.flows.of(dead.id)
	for _, fingerprint := range flows {
		r.uncount(r.flows.records[fingerprint])
		r.flows.remove(fingerprint)
		if r.table.view != nil && r.table.view.pairs[PartitionOf(fingerprint)].primary == r.id {
			r.counters.FlowsBroken++
			r.endObserver(fingerprint)
		}
	}
	for _, key := range r.ledger.waitingFor(dead.id) {
		r.giveUp(key, r.ledger.get(key))
	}
	r.log(eventlog.TargetLost, "target", dead.name, "service", dead.service.name, "flows", len(flows))
}

// endEarlierRun ends what a target's earlier run knew: observations that began
// before its present run, and requests under way there. Flows go on with the
// present run, which also has those that began with it.
func (r *Router) endEarlierRun(restarted *target, began kernel.Instant) {
	ended := 0
	for _, fingerprint := range r.flows.of(restarted.id) {
		entry, known := r.observers[fingerprint]
		if !known || entry.since >= began {
			continue
		}
		ended++
		if r.table.view != nil && r.table.view.pairs[PartitionOf(fingerprint)].primary == r.id {
			r.counters.FlowsBroken++
			r.endObserver(fingerprint)
		}
	}
	for _, key := range r.ledger.waitingFor(restarted.id) {
		if request := r.ledger.get(key); request.started < began {
			r.giveUp(key, request)
		}
	}
	r.log(eventlog.TargetRestarted, "target", restarted.name, "service", restarted.service.name, "observations", ended)
}

// observer is a caller that waits for notifications of a flow.
type observer struct {
	service uint32
	caller  netip.AddrPort
	since   kernel.Instant
	token   [8]byte
	size    uint8
}

// noteObserver remembers who must be told when the flow's target dies.
func (r *Router) noteObserver(work *job) {
	if work.class != coapmsg.ClassObserve {
		return
	}
	if !r.parser.IsRegistration() {
		delete(r.observers, work.fingerprint)
		return
	}
	entry := observer{service: work.service.id, caller: work.caller, since: r.now}
	entry.size = uint8(copy(entry.token[:], r.parser.Message.Token))
	r.observers[work.fingerprint] = entry
}

// observerMaxAge asks the caller of a broken observation to come back at once.
const observerMaxAge = 1

// endObserver tells a caller that its observation has ended (RFC 7641,
// section 4.2: an error code removes the observer).
func (r *Router) endObserver(fingerprint uint64) {
	entry, known := r.observers[fingerprint]
	if !known {
		return
	}
	delete(r.observers, fingerprint)
	owner := r.table.byID[entry.service]
	if owner == nil {
		return
	}
	r.ownMessageID++
	answer := coapmsg.SeparateResponse(codes.ServiceUnavailable, r.ownMessageID, entry.token[:entry.size], observerMaxAge)
	r.toCaller(owner, entry.caller, answer)
}
