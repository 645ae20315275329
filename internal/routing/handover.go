package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// handoverKind identifies the contents of a handover message.
type handoverKind uint8

const (
	handoverRequests handoverKind = iota + 1
	handoverFlows
	// handoverRequestsDone and handoverFlowsDone list partitions whose records
	// have all been sent.
	handoverRequestsDone
	handoverFlowsDone
	// handoverPartialDone lists partitions of which the sender holds only the recent
	// records, each with the age from which its records are complete.
	handoverPartialDone
)

const (
	// handoverBatchSize is the largest number of records in one message.
	handoverBatchSize = 64
	// attemptBits is the number of low bits that hold the attempt in the encoded
	// status of a request; the high bits hold its state.
	attemptBits = 4
	// ageUnit and maxAgeUnits are the unit and the largest value of the ages in a
	// handoverPartialDone message.
	ageUnit     = 100 * time.Millisecond
	maxAgeUnits = 1<<16 - 1
	// expiryUnit and maxExpiryUnits are the unit and the largest value of the times
	// until a request's deadline and until its record expires.
	expiryUnit     = 500 * time.Millisecond
	maxExpiryUnits = 255
	// handoverDoneBatchSize is the largest number of partitions in one message.
	handoverDoneBatchSize = 256
	// handoverResendInterval is the time after which an unconfirmed message is
	// sent again.
	handoverResendInterval = 300 * time.Millisecond
	// handoverBurstSeconds limits the unused budget, in seconds at HandoverRate.
	handoverBurstSeconds = 2
)

// handoverMessage is an encoded message of a handover.
type handoverMessage struct {
	sequence uint64
	payload  []byte
	// donePartitions lists the partitions whose handover is complete once the
	// partner confirms this message.
	donePartitions []int
}

// handoverJob is the queue of messages to one partner. Only the first message is
// in flight; it is repeated until the partner confirms it.
type handoverJob struct {
	queue  []handoverMessage
	sentAt kernel.Instant
	sent   bool
}

// handover sends records to the new members of pairs, within a budget of
// HandoverRate bytes per second.
type handover struct {
	jobs     map[uint32]*handoverJob
	sequence uint64
	budget   float64
	lastTick kernel.Instant
}

func (h *handover) init() { h.jobs = map[uint32]*handoverJob{} }

func (h *handover) idle() bool { return len(h.jobs) == 0 }

// plan queues a job for every partner that may lack records that this balancer
// holds. It discards the jobs of the previous view.
func (h *handover) plan(r *Router) {
	h.jobs = map[uint32]*handoverJob{}
	if r.settings.Mechanisms.NoHandover || r.id == 0 {
		return
	}
	complete := map[uint32][]int{}
	partial := map[uint32][]int{}
	recipients := map[int]uint32{}
	for partition := range r.table.view.pairs {
		partner := r.table.view.pairs[partition].other(r.id)
		has := r.table.view.pairs[partition].has(r.id)
		if !has || partner == 0 || r.coverage.syncedPartner[partition] == partner {
			continue
		}
		recipients[partition] = partner
		if r.coverage.hasAllRequests(partition) {
			complete[partner] = append(complete[partner], partition)
		} else {
			partial[partner] = append(partial[partner], partition)
		}
	}
	h.queueRequests(r, recipients)
	h.queueDone(complete, handoverRequestsDone)
	h.queuePartial(r, partial)
	h.queueFlows(r, recipients)
	h.queueDone(complete, handoverFlowsDone)
	for _, partner := range sortedKeys(h.jobs) {
		r.log(eventlog.HandoverPlanned, "view", r.ViewNumber(), "partner", partner, "bytes", h.jobs[partner].remainingBytes(), "partitions", len(complete[partner]))
	}
}

// remainingBytes returns the size of the job's unconfirmed messages.
func (j *handoverJob) remainingBytes() int {
	total := 0
	for _, message := range j.queue {
		total += wire.PeerHeaderSize + len(message.payload)
	}
	return total
}

// job returns the partner's job and creates it if necessary.
func (h *handover) job(partner uint32) *handoverJob {
	job, known := h.jobs[partner]
	if !known {
		job = &handoverJob{}
		h.jobs[partner] = job
	}
	return job
}

// add queues a message to a partner.
func (h *handover) add(partner uint32, payload []byte, donePartitions []int) {
	h.sequence++
	job := h.job(partner)
	job.queue = append(job.queue, handoverMessage{sequence: h.sequence, payload: payload, donePartitions: donePartitions})
}

// queueRequests queues the ledger's records. The order is deterministic, so that
// simulations are reproducible.
func (h *handover) queueRequests(r *Router, recipients map[int]uint32) {
	keys := map[uint32][]uint64{}
	for key, request := range r.ledger.records {
		partner := recipients[PartitionOf(request.flow)]
		if partner != 0 && request.expiresAt > r.now {
			keys[partner] = append(keys[partner], key)
		}
	}
	h.queueBatches(r, keys, encodeRequests)
}

// queueBatches queues messages of up to handoverBatchSize records, sorted by key.
func (h *handover) queueBatches(r *Router, keys map[uint32][]uint64, encode func(*Router, []uint64) []byte) {
	for _, partner := range sortedKeys(keys) {
		list := keys[partner]
		slices.Sort(list)
		for batch := range slices.Chunk(list, handoverBatchSize) {
			h.add(partner, encode(r, batch), nil)
		}
	}
}

func sortedKeys[V any](items map[uint32]V) []uint32 {
	return slices.Sorted(maps.Keys(items))
}

func encodeRequests(r *Router, keys []uint64) []byte {
	var encoder wire.Encoder
	encoder.Uint8(uint8(handoverRequests))
	encoder.Uint32(uint32(len(keys)))
	for _, key := range keys {
		request := r.ledger.records[key]
		remaining := max(0, request.expiresAt.Sub(r.now))
		encoder.Uint64(key)
		encoder.Uint16(uint16(PartitionOf(request.flow)))
		encoder.Uint8(uint8(request.state)<<attemptBits | request.attempt)
		encoder.Uint8(uint8(min(remaining/expiryUnit+1, maxExpiryUnits)))
		encoder.Uint8(uint8(min(max(0, request.deadline.Sub(r.now))/expiryUnit+1, maxExpiryUnits)))
	}
	return encoder.Buffer
}

func (h *handover) queueFlows(r *Router, recipients map[int]uint32) {
	keys := map[uint32][]uint64{}
	for fingerprint := range r.flows.records {
		if partner := recipients[PartitionOf(fingerprint)]; partner != 0 {
			keys[partner] = append(keys[partner], fingerprint)
		}
	}
	h.queueBatches(r, keys, encodeFlows)
}

func encodeFlows(r *Router, fingerprints []uint64) []byte {
	var encoder wire.Encoder
	encoder.Uint8(uint8(handoverFlows))
	encoder.Uint32(uint32(len(fingerprints)))
	for _, fingerprint := range fingerprints {
		encoder.Uint64(fingerprint)
		encoder.Uint32(r.flows.records[fingerprint].targetID)
	}
	return encoder.Buffer
}

func (h *handover) queueDone(partitions map[uint32][]int, kind handoverKind) {
	for _, partner := range sortedKeys(partitions) {
		for batch := range slices.Chunk(partitions[partner], handoverDoneBatchSize) {
			var encoder wire.Encoder
			encoder.Uint8(uint8(kind))
			encoder.Uint32(uint32(len(batch)))
			for _, partition := range batch {
				encoder.Uint16(uint16(partition))
			}
			var donePartitions []int
			if kind == handoverFlowsDone {
				donePartitions = batch
			}
			h.add(partner, encoder.Buffer, donePartitions)
		}
	}
}

// queuePartial queues the ages from which this balancer's records of partitions are
// complete, so that a partner waits no longer than this balancer for lost records
// to expire.
func (h *handover) queuePartial(r *Router, partitions map[uint32][]int) {
	for _, partner := range sortedKeys(partitions) {
		for batch := range slices.Chunk(partitions[partner], handoverDoneBatchSize) {
			var encoder wire.Encoder
			encoder.Uint8(uint8(handoverPartialDone))
			encoder.Uint32(uint32(len(batch)))
			for _, partition := range batch {
				age := r.now.Sub(r.coverage.recordsSince[partition]) / ageUnit
				encoder.Uint16(uint16(partition))
				encoder.Uint16(uint16(min(age, maxAgeUnits)))
			}
			h.add(partner, encoder.Buffer, batch)
		}
	}
}

// tick refills the budget and sends the next message of each job within it.
func (h *handover) tick(r *Router) {
	rate := float64(r.settings.HandoverRate)
	h.budget = min(h.budget+rate*r.now.Sub(h.lastTick).Seconds(), handoverBurstSeconds*rate)
	h.lastTick = r.now
	for _, partner := range sortedKeys(h.jobs) {
		h.sendNext(r, partner)
	}
}

// sendNext sends the first message of a partner's job, unless the budget is used
// up or the message was sent within handoverResendInterval.
func (h *handover) sendNext(r *Router, partner uint32) {
	job := h.jobs[partner]
	if job == nil || h.budget <= 0 {
		return
	}
	if job.sent && r.now.Sub(job.sentAt) < handoverResendInterval {
		return
	}
	message := job.queue[0]
	job.sent = true
	job.sentAt = r.now
	h.budget -= float64(wire.PeerHeaderSize + len(message.payload))
	r.sendControlPacket(partner, wire.PeerPacket{
		Kind:       wire.PeerHandover,
		RequestKey: message.sequence,
		Payload:    message.payload,
	})
}

// receiveHandoverReply removes the confirmed message and sends the next one.
func (r *Router) receiveHandoverReply(packet *wire.PeerPacket) {
	job := r.handover.jobs[packet.From]
	if job == nil || job.queue[0].sequence != packet.RequestKey || packet.View != r.ViewNumber() {
		return
	}
	for _, partition := range job.queue[0].donePartitions {
		r.coverage.syncedPartner[partition] = packet.From
	}
	job.queue = job.queue[1:]
	job.sent = false
	if len(job.queue) == 0 {
		delete(r.handover.jobs, packet.From)
		r.log(eventlog.HandoverDone, "view", r.ViewNumber(), "partner", packet.From)
		return
	}
	r.handover.sendNext(r, packet.From)
}

// receiveHandover imports records. It keeps its own record of a request, and its
// own record of a flow if that was registered since the pair was formed; older
// flow records may be out of date and are replaced.
func (r *Router) receiveHandover(packet *wire.PeerPacket) {
	if r.table.view == nil || packet.View != r.table.view.number {
		return
	}
	decoder := wire.NewDecoder(packet.Payload)
	kind := handoverKind(decoder.Uint8())
	count := decoder.Count(2)
	for ; count > 0; count-- {
		switch kind {
		case handoverRequests:
			r.importRequest(decoder)
		case handoverFlows:
			r.importFlow(decoder)
		case handoverPartialDone:
			r.importPartialCoverage(decoder)
		default:
			r.markPartitionDone(kind, int(decoder.Uint16()), packet.From)
		}
	}
	if decoder.Err("routing.handover") != nil {
		r.counters.Malformed++
		return
	}
	r.coverage.updateCounts(r)
	r.sendControlPacket(packet.From, wire.PeerPacket{Kind: wire.PeerHandoverReply, RequestKey: packet.RequestKey})
}

// importRequest imports the record of a request. As answers are not handed over, an
// answered request is imported with an unknown outcome.
func (r *Router) importRequest(decoder *wire.Decoder) {
	key := decoder.Uint64()
	partition := decoder.Uint16()
	status := decoder.Uint8()
	remaining := time.Duration(decoder.Uint8()) * expiryUnit
	deadline := time.Duration(decoder.Uint8()) * expiryUnit
	if decoder.Err("routing.handover") != nil || r.ledger.get(key) != nil {
		return
	}
	request := &requestRecord{
		flow:      uint64(partition),
		state:     requestState(status >> attemptBits),
		attempt:   status & (1<<attemptBits - 1),
		expiresAt: r.now.Add(remaining),

		deadline: r.now.Add(deadline),
	}
	if request.state == requestAnswered {
		request.state = requestUnknown
	}
	r.counters.HandoverRecords++
	r.ledger.put(key, request)
}

// importFlow imports the record of a flow to a known target.
func (r *Router) importFlow(decoder *wire.Decoder) {
	fingerprint := decoder.Uint64()
	targetID := decoder.Uint32()
	dest := r.table.targets[targetID]
	existing, known := r.flows.get(fingerprint)
	if dest == nil || known && existing.registeredView >= r.table.view.pairChangedIn[PartitionOf(fingerprint)] {
		return
	}
	r.uncountPlaced(existing)
	r.counters.HandoverRecords++
	record := flowRecord{targetID: targetID, lastSeen: flowTimestamp(r.now), flags: flowAnswered}
	if r.table.view.pairs[PartitionOf(fingerprint)].primary == r.id {
		r.countPlaced(&record, dest)
	}
	r.flows.put(fingerprint, record)
}

// importPartialCoverage adopts the time from which the partner's records of a
// partition are complete, if it is earlier. The result is late by the delay of the
// message, which is safe.
func (r *Router) importPartialCoverage(decoder *wire.Decoder) {
	partition := int(decoder.Uint16())
	since := r.now.Add(-time.Duration(decoder.Uint16()) * ageUnit)
	if partition >= Partitions || !r.table.view.pairs[partition].has(r.id) {
		return
	}
	if since < r.coverage.recordsSince[partition] {
		r.coverage.recordsSince[partition] = since
	}
}

// markPartitionDone records that a partition's requests or flows are complete.
func (r *Router) markPartitionDone(kind handoverKind, partition int, from uint32) {
	if partition >= Partitions || !r.table.view.pairs[partition].has(r.id) {
		return
	}
	if kind == handoverRequestsDone {
		r.coverage.completeRequests[partition] = true
		return
	}
	r.coverage.completeFlows[partition] = true
	r.coverage.syncedPartner[partition] = from
}
