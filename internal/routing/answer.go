package routing

import (
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// maxStoredAnswerSize is the size in bytes of the largest answer that is stored
// to answer retransmissions.
const maxStoredAnswerSize = 1280

// serviceTimeSmoothing is the divisor of the exponential moving average of
// service times: each answer has a weight of 1/8.
const serviceTimeSmoothing = 8

// handleAnswer forwards a target's answer to the caller. A refusal of an unsafe
// request goes to the primary instead, which may retry the request. An answer whose
// tag does not name a target of the service is dropped.
func (r *Router) handleAnswer(serviceAddress, caller netip.AddrPort, tag wire.ForwardTag, payload []byte) {
	svc := r.table.byAddress[serviceAddress]
	from := r.table.targets[tag.TargetID]
	authentic := svc != nil && from != nil && from.service == svc && tag.ServiceID == svc.id
	if !authentic && !r.settings.Mechanisms.NoTagCheck {
		r.counters.StaleAnswers++
		return
	}
	if svc == nil {
		return
	}
	code := coapmsg.Code(payload)
	refusal := code == codes.ServiceUnavailable
	fingerprint := Flow{Caller: caller, ServiceID: svc.id}.Fingerprint()
	if from != nil && !refusal {
		r.learnFlow(fingerprint, from, tag.View)
	}
	if tag.RequestKey == 0 || code == codes.Empty {
		r.toCaller(svc, caller, payload)
		return
	}
	if !refusal {
		r.toCaller(svc, caller, payload)
	}
	r.reportAnswer(svc, caller, fingerprint, tag, refusal, payload)
}

// learnFlow records the target of a flow from an answer. A record of another
// target that was registered in the same or a later view is kept.
func (r *Router) learnFlow(fingerprint uint64, from *target, registeredView uint64) {
	record, known := r.flows.get(fingerprint)
	if known && record.targetID != from.id && record.registeredView >= registeredView {
		return
	}
	if !from.usable() {
		return
	}
	if known && record.targetID != from.id {
		r.uncountPlaced(record)
		record = flowRecord{}
	}
	if !known {
		record.confirmedAt = flowTimestamp(r.now)
	}
	record.targetID = from.id
	record.registeredView = max(record.registeredView, registeredView)
	record.lastSeen = flowTimestamp(r.now)
	record.flags |= flowAnswered
	r.flows.put(fingerprint, record)
}

// reportAnswer sends the answer to an unsafe request to the primary of its flow.
func (r *Router) reportAnswer(svc *service, caller netip.AddrPort, fingerprint uint64, tag wire.ForwardTag, refusal bool, payload []byte) {
	if r.table.view == nil {
		return
	}
	packet := wire.PeerPacket{
		Kind:       wire.PeerAnswer,
		ServiceID:  svc.id,
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

// receiveAnswer records the answer to a request. The primary then forwards the
// answer to the backup. It retries a refused request if it can, and otherwise sends
// the refusal to the caller.
func (r *Router) receiveAnswer(packet *wire.PeerPacket) {
	request := r.ledger.get(packet.RequestKey)
	refusal := packet.Flags.Has(wire.FlagRefusal)
	svc := r.table.byID[packet.ServiceID]
	if svc == nil || r.table.view == nil {
		return
	}
	if request == nil {
		if refusal {
			r.toCaller(svc, packet.Caller, packet.Payload)
		}
		return
	}
	if request.state == requestAnswered || request.state == requestRefused {
		return
	}
	if request.targetID != 0 && request.targetID != packet.TargetID {
		return
	}
	if refusal && !packet.Flags.Has(wire.FlagFinal) && r.retry(packet.RequestKey, request, svc) {
		return
	}
	r.finishRequest(request, refusal, packet.Payload)
	if packet.Flags.Has(wire.FlagFinal) {
		return
	}
	if refusal {
		r.toCaller(svc, packet.Caller, packet.Payload)
	}
	r.forwardAnswerToBackup(request, packet)
}

// forwardAnswerToBackup sends the answer to the backup, if this balancer is the
// primary.
func (r *Router) forwardAnswerToBackup(request *requestRecord, packet *wire.PeerPacket) {
	owners := r.table.view.pairs[PartitionOf(request.flow)]
	if owners.backup == 0 || owners.primary != r.id {
		return
	}
	forwarded := *packet
	forwarded.Flags |= wire.FlagFinal
	r.toPeer(owners.backup, forwarded)
}

// finishRequest marks a request as answered or refused and stores the answer for
// retransmissions.
func (r *Router) finishRequest(request *requestRecord, refusal bool, answer []byte) {
	request.state = requestAnswered
	if refusal {
		request.state = requestRefused
	}
	request.packet = nil
	if len(answer) <= maxStoredAnswerSize {
		request.answer = append([]byte(nil), answer...)
		r.counters.AnswersKept++
	}
	r.releaseOutstanding(request, !refusal)
}

// releaseOutstanding decrements the target's count of outstanding requests. An
// answer also updates the target's average service time.
func (r *Router) releaseOutstanding(request *requestRecord, answered bool) {
	if !request.countedOutstanding {
		return
	}
	request.countedOutstanding = false
	dest := r.table.targets[request.targetID]
	if dest == nil {
		return
	}
	dest.outstanding--
	if answered {
		elapsed := r.now.Sub(request.startedAt)
		dest.serviceTime += (elapsed - dest.serviceTime) / serviceTimeSmoothing
	}
}

// handleRequestTimeout ends a request whose deadline passed without an answer.
func (r *Router) handleRequestTimeout(key uint64, request *requestRecord) {
	r.endAsUnknown(key, request)
}

// mustNotifyCaller reports whether this balancer notifies the caller of an unknown
// outcome: it decided on the request, or the balancer that did has left the view.
func (r *Router) mustNotifyCaller(request *requestRecord) bool {
	return request.decider == r.id || r.table.view.member(request.decider) == nil
}

// endAsUnknown marks the request's outcome as unknown. It answers 5.04 unless
// another balancer notifies the caller.
func (r *Router) endAsUnknown(key uint64, request *requestRecord) {
	if r.settings.Mechanisms.UnsafeRetry && r.retryUnsafe(key, request) {
		return
	}
	request.state = requestUnknown
	r.releaseOutstanding(request, false)
	packet := request.packet
	request.packet = nil
	svc := r.table.byID[request.serviceID]
	if svc == nil || packet == nil || r.table.view == nil {
		return
	}
	if !r.mustNotifyCaller(request) {
		return
	}
	if r.parser.Parse(packet) != nil {
		return
	}
	r.counters.UnknownOutcome++
	r.log(eventlog.RequestUnknown, "service", svc.name, "caller", request.caller, "target", request.targetID)
	r.toCaller(svc, request.caller, r.parser.Response(codes.GatewayTimeout, 0))
}

// handleTargetDeath ends the flows and the pending requests of a dead target. The
// primaries of the flows notify the observers.
func (r *Router) handleTargetDeath(dead *target) {
	flows := r.flows.withTarget(dead.id)
	for _, fingerprint := range flows {
		r.uncountPlaced(r.flows.records[fingerprint])
		r.flows.remove(fingerprint)
		if r.table.view != nil && r.table.view.pairs[PartitionOf(fingerprint)].primary == r.id {
			r.counters.FlowsBroken++
			r.notifyObservationEnded(fingerprint)
		}
	}
	for _, key := range r.ledger.pendingAt(dead.id) {
		r.endAsUnknown(key, r.ledger.get(key))
	}
	r.log(eventlog.TargetLost, "target", dead.name, "service", dead.service.name, "flows", len(flows))
}

// handleTargetRestart ends the observations and pending requests that a target's
// process lost in a restart, which are those older than its current run. The
// flows keep the target.
func (r *Router) handleTargetRestart(restarted *target, runStarted kernel.Instant) {
	endedObservations := 0
	for _, fingerprint := range r.flows.withTarget(restarted.id) {
		entry, known := r.observers[fingerprint]
		if !known || entry.startedAt >= runStarted {
			continue
		}
		endedObservations++
		if r.table.view != nil && r.table.view.pairs[PartitionOf(fingerprint)].primary == r.id {
			r.counters.FlowsBroken++
			r.notifyObservationEnded(fingerprint)
		}
	}
	for _, key := range r.ledger.pendingAt(restarted.id) {
		if request := r.ledger.get(key); request.startedAt < runStarted {
			r.endAsUnknown(key, request)
		}
	}
	r.log(eventlog.TargetRestarted, "target", restarted.name, "service", restarted.service.name, "observations", endedObservations)
}

// observer is a caller that is registered for notifications (RFC 7641).
type observer struct {
	serviceID   uint32
	caller      netip.AddrPort
	startedAt   kernel.Instant
	token       [8]byte
	tokenLength uint8
}

// updateObserver adds or removes the flow's observer, which is notified when the
// target dies. Other requests leave it unchanged.
func (r *Router) updateObserver(incoming *incomingPacket) {
	if incoming.class != coapmsg.ClassObserve {
		return
	}
	if !r.parser.IsRegistration() {
		delete(r.observers, incoming.fingerprint)
		return
	}
	entry := observer{serviceID: incoming.service.id, caller: incoming.caller, startedAt: r.now}
	entry.tokenLength = uint8(copy(entry.token[:], r.parser.Message.Token))
	r.observers[incoming.fingerprint] = entry
}

// endedObservationMaxAge is the Max-Age in seconds of the answer that ends an
// observation, so that the caller registers again without delay.
const endedObservationMaxAge = 1

// notifyObservationEnded ends the flow's observation with an error response,
// which removes the observer (RFC 7641, section 4.2).
func (r *Router) notifyObservationEnded(fingerprint uint64) {
	entry, known := r.observers[fingerprint]
	if !known {
		return
	}
	delete(r.observers, fingerprint)
	svc := r.table.byID[entry.serviceID]
	if svc == nil {
		return
	}
	r.lastMessageID++
	answer := coapmsg.SeparateResponse(codes.ServiceUnavailable, r.lastMessageID, entry.token[:entry.tokenLength], endedObservationMaxAge)
	r.toCaller(svc, entry.caller, answer)
}
