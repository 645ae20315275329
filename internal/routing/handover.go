package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// handoverKind tells what a handover message lists.
type handoverKind uint8

const (
	handoverRequests handoverKind = iota + 1
	handoverFlows
	// handoverRequestsDone and handoverFlowsDone list the partitions whose
	// records have all been sent.
	handoverRequestsDone
	handoverFlowsDone
	// handoverPartialDone lists partitions whose records have all been sent by
	// an owner that does not know what came before it, with the time since.
	handoverPartialDone
)

const (
	// handoverBatch is the largest number of records in one message.
	handoverBatch = 64
	// attemptBits is the place of the attempt below the state of a request.
	attemptBits = 4
	// ageUnit and maxAge are the unit and the largest number of units of the
	// time for which an owner knows a partition.
	ageUnit = 100 * time.Millisecond
	maxAge  = 1<<16 - 1
	// forgetUnit and maxForget are the unit and the largest number of units of
	// the times until a request's deadline and until it is forgotten.
	forgetUnit = 500 * time.Millisecond
	maxForget  = 255
	// handoverDoneBatch is the largest number of partitions in one message.
	handoverDoneBatch = 256
	// handoverResend is the time after which a message is sent again.
	handoverResend = 300 * time.Millisecond
	// handoverBurst is the budget that can be saved up, in seconds of the rate.
	handoverBurst = 2
)

// handoverMessage is one message of a handover, already encoded.
type handoverMessage struct {
	sequence uint64
	payload  []byte
	// done lists the partitions that the partner holds once this is confirmed.
	done []int
}

// handoverJob brings one partner up to date, one message at a time.
type handoverJob struct {
	queue  []handoverMessage
	sentAt kernel.Instant
	sent   bool
}

// handover sends the records of the partitions whose pair has a new member,
// within a budget of bytes a second.
type handover struct {
	jobs     map[uint32]*handoverJob
	sequence uint64
	budget   float64
	lastTick kernel.Instant
}

func (h *handover) init() { h.jobs = map[uint32]*handoverJob{} }

func (h *handover) idle() bool { return len(h.jobs) == 0 }

// plan starts a job for every partner that lacks records that this balancer
// holds. A new view replaces all plans.
func (h *handover) plan(r *Router) {
	h.jobs = map[uint32]*handoverJob{}
	if r.settings.Mechanisms.NoHandover || r.id == 0 {
		return
	}
	partitions := map[uint32][]int{}
	partial := map[uint32][]int{}
	owed := map[int]uint32{}
	for partition := range r.table.view.pairs {
		partner := r.table.view.pairs[partition].other(r.id)
		has := r.table.view.pairs[partition].has(r.id)
		if !has || partner == 0 || r.coverage.partner[partition] == partner {
			continue
		}
		owed[partition] = partner
		if r.coverage.coversRequests(partition) {
			partitions[partner] = append(partitions[partner], partition)
		} else {
			partial[partner] = append(partial[partner], partition)
		}
	}
	h.queueRequests(r, owed)
	h.queueDone(partitions, handoverRequestsDone)
	h.queuePartial(r, partial)
	h.queueFlows(r, owed)
	h.queueDone(partitions, handoverFlowsDone)
	for _, partner := range sortedKeys(h.jobs) {
		r.log(eventlog.HandoverPlanned, "view", r.ViewNumber(), "partner", partner, "bytes", h.jobs[partner].size(), "partitions", len(partitions[partner]))
	}
}

// size returns the bytes that a job still has to send.
func (j *handoverJob) size() int {
	total := 0
	for _, message := range j.queue {
		total += wire.PeerHeaderSize + len(message.payload)
	}
	return total
}

func (h *handover) job(partner uint32) *handoverJob {
	job, known := h.jobs[partner]
	if !known {
		job = &handoverJob{}
		h.jobs[partner] = job
	}
	return job
}

func (h *handover) add(partner uint32, payload []byte, done []int) {
	h.sequence++
	job := h.job(partner)
	job.queue = append(job.queue, handoverMessage{sequence: h.sequence, payload: payload, done: done})
}

// queueRequests queues the ledger's records. All queues are made in a fixed
// order, so that a simulated run can be repeated.
func (h *handover) queueRequests(r *Router, owed map[int]uint32) {
	keys := map[uint32][]uint64{}
	for key, request := range r.ledger.records {
		partner := owed[PartitionOf(request.flow)]
		if partner != 0 && request.forget > r.now {
			keys[partner] = append(keys[partner], key)
		}
	}
	h.queueBatches(r, keys, encodeRequests)
}

// queueBatches queues records in the order of their keys, some in a message.
func (h *handover) queueBatches(r *Router, keys map[uint32][]uint64, encode func(*Router, []uint64) []byte) {
	for _, partner := range sortedKeys(keys) {
		list := keys[partner]
		slices.Sort(list)
		for batch := range slices.Chunk(list, handoverBatch) {
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
		left := max(0, request.forget.Sub(r.now))
		encoder.Uint64(key)
		encoder.Uint16(uint16(PartitionOf(request.flow)))
		encoder.Uint8(uint8(request.state)<<attemptBits | request.attempt)
		encoder.Uint8(uint8(min(left/forgetUnit+1, maxForget)))
		encoder.Uint8(uint8(min(max(0, request.deadline.Sub(r.now))/forgetUnit+1, maxForget)))
	}
	return encoder.Buffer
}

func (h *handover) queueFlows(r *Router, owed map[int]uint32) {
	keys := map[uint32][]uint64{}
	for fingerprint := range r.flows.records {
		if partner := owed[PartitionOf(fingerprint)]; partner != 0 {
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
		for batch := range slices.Chunk(partitions[partner], handoverDoneBatch) {
			var encoder wire.Encoder
			encoder.Uint8(uint8(kind))
			encoder.Uint32(uint32(len(batch)))
			for _, partition := range batch {
				encoder.Uint16(uint16(partition))
			}
			var done []int
			if kind == handoverFlowsDone {
				done = batch
			}
			h.add(partner, encoder.Buffer, done)
		}
	}
}

// queuePartial tells partners since when this balancer knows partitions whose
// earlier records are lost, so that they need not wait for longer than it does.
func (h *handover) queuePartial(r *Router, partitions map[uint32][]int) {
	for _, partner := range sortedKeys(partitions) {
		for batch := range slices.Chunk(partitions[partner], handoverDoneBatch) {
			var encoder wire.Encoder
			encoder.Uint8(uint8(handoverPartialDone))
			encoder.Uint32(uint32(len(batch)))
			for _, partition := range batch {
				age := r.now.Sub(r.coverage.since[partition]) / ageUnit
				encoder.Uint16(uint16(partition))
				encoder.Uint16(uint16(min(age, maxAge)))
			}
			h.add(partner, encoder.Buffer, batch)
		}
	}
}

// tick sends the next message of each job as far as the budget goes.
func (h *handover) tick(r *Router) {
	rate := float64(r.settings.HandoverRate)
	h.budget = min(h.budget+rate*r.now.Sub(h.lastTick).Seconds(), handoverBurst*rate)
	h.lastTick = r.now
	for _, partner := range sortedKeys(h.jobs) {
		h.push(r, partner)
	}
}

func (h *handover) push(r *Router, partner uint32) {
	job := h.jobs[partner]
	if job == nil || h.budget <= 0 {
		return
	}
	if job.sent && r.now.Sub(job.sentAt) < handoverResend {
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

// receiveHandoverReply moves on to the next message.
func (r *Router) receiveHandoverReply(packet *wire.PeerPacket) {
	job := r.handover.jobs[packet.From]
	if job == nil || job.queue[0].sequence != packet.RequestKey || packet.View != r.ViewNumber() {
		return
	}
	for _, partition := range job.queue[0].done {
		r.coverage.partner[partition] = packet.From
	}
	job.queue = job.queue[1:]
	job.sent = false
	if len(job.queue) == 0 {
		delete(r.handover.jobs, packet.From)
		r.log(eventlog.HandoverDone, "view", r.ViewNumber(), "partner", packet.From)
		return
	}
	r.handover.push(r, packet.From)
}

// receiveHandover takes over records. A request's record that this balancer
// has of its own stays, and so does a flow's that was registered since its
// pair was formed; an older one is from before and may be wrong by now.
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
			r.takeRequest(decoder)
		case handoverFlows:
			r.takeFlow(decoder)
		case handoverPartialDone:
			r.takePartial(decoder)
		default:
			r.takeDone(kind, int(decoder.Uint16()), packet.From)
		}
	}
	if decoder.Err("routing.handover") != nil {
		r.counters.Malformed++
		return
	}
	r.coverage.recount(r)
	r.sendControlPacket(packet.From, wire.PeerPacket{Kind: wire.PeerHandoverReply, RequestKey: packet.RequestKey})
}

func (r *Router) takeRequest(decoder *wire.Decoder) {
	key := decoder.Uint64()
	partition := decoder.Uint16()
	status := decoder.Uint8()
	left := time.Duration(decoder.Uint8()) * forgetUnit
	deadline := time.Duration(decoder.Uint8()) * forgetUnit
	if decoder.Err("routing.handover") != nil || r.ledger.get(key) != nil {
		return
	}
	request := &requestRecord{
		flow:    uint64(partition),
		state:   requestState(status >> attemptBits),
		attempt: status & (1<<attemptBits - 1),
		forget:  r.now.Add(left),

		deadline: r.now.Add(deadline),
	}
	if request.state == requestAnswered {
		request.state = requestUnknown
	}
	r.counters.HandoverRecords++
	r.ledger.put(key, request)
}

func (r *Router) takeFlow(decoder *wire.Decoder) {
	fingerprint := decoder.Uint64()
	targetID := decoder.Uint32()
	to := r.table.targets[targetID]
	own, known := r.flows.get(fingerprint)
	if to == nil || known && own.registered >= r.table.view.epochs[PartitionOf(fingerprint)] {
		return
	}
	r.uncount(own)
	r.counters.HandoverRecords++
	record := flowRecord{targetID: targetID, lastSeen: lastSeenAt(r.now), flags: flowAnswered}
	if r.table.view.pairs[PartitionOf(fingerprint)].primary == r.id {
		r.count(&record, to)
	}
	r.flows.put(fingerprint, record)
}

// takePartial learns since when the partner knows a partition. The age was true
// when the message was made; it can only have grown since.
func (r *Router) takePartial(decoder *wire.Decoder) {
	partition := int(decoder.Uint16())
	since := r.now.Add(-time.Duration(decoder.Uint16()) * ageUnit)
	if partition >= Partitions || !r.table.view.pairs[partition].has(r.id) {
		return
	}
	if since < r.coverage.since[partition] {
		r.coverage.since[partition] = since
	}
}

func (r *Router) takeDone(kind handoverKind, partition int, from uint32) {
	if partition >= Partitions || !r.table.view.pairs[partition].has(r.id) {
		return
	}
	if kind == handoverRequestsDone {
		r.coverage.requests[partition] = true
		return
	}
	r.coverage.flows[partition] = true
	r.coverage.partner[partition] = from
}
