package steer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
)

const (
	// typicalResponseSize is the size in bytes of the responses that the node has seen, and
	// typicalTime the time to their first progress.
	typicalResponseSize = 2000
	typicalTime         = 20 * time.Millisecond
	// initialSequence is the first position of callers, shortly before positions wrap.
	initialSequence = math.MaxUint32 - 400
)

// exchangeFixture is a fixture whose node has learned a route's baseline, and which sums up
// the outcomes of its reports.
type exchangeFixture struct {
	*coreFixture
	now      kernel.Instant
	reported kernel.Instant
	outcomes map[directory.Token]directory.Outcomes
	// port is the port of the latest background caller.
	port uint16
	// idle is set when there are no background exchanges.
	idle bool
	// busyTarget is the target of the background exchanges.
	busyTarget directory.Token
}

const firstBusyPort = 20_000

func newExchangeFixture(t *testing.T) (*exchangeFixture, directory.Token) {
	b := newBookingFixture(t)
	tokens := b.addTargets(start, 1, 2)
	w := &exchangeFixture{coreFixture: b, now: start, reported: start, outcomes: map[directory.Token]directory.Outcomes{}, port: firstBusyPort, busyTarget: tokens[1]}
	w.core.Report(start, reportPeriod)
	for range 2 * minBaselineSamples {
		w.advance(reportPeriod)
	}
	clear(w.outcomes)
	return w, tokens[0]
}

// advance lets time pass, and reports whenever that is due.
func (w *exchangeFixture) advance(passed time.Duration) {
	end := w.now.Add(passed)
	for due := w.reported.Add(reportPeriod); !end.Before(due); due = w.reported.Add(reportPeriod) {
		w.now = due
		w.reported = due
		if !w.idle {
			w.exchange(w.busyTarget, typicalResponseSize)
		}
		w.report()
	}
	w.now = end
}

func (w *exchangeFixture) report() {
	for _, counted := range w.core.Report(w.now, reportPeriod).Outcomes {
		w.outcomes[counted.Token] = w.outcomes[counted.Token].Add(counted)
	}
}

// exchange plays a flow of one exchange with a response in the typical time.
func (w *exchangeFixture) exchange(token directory.Token, size uint32) {
	w.port++
	w.core.Decide(w.now.Add(-typicalTime), opening(w.port, 0))
	w.core.Decide(w.now.Add(-typicalTime), dataPacket(w.port, token, initialSequence, 1, 100))
	closing := dataPacket(w.port, token, initialSequence+100, 1+size, 0)
	closing.Closing = true
	w.core.Decide(w.now, closing)
}

// dataPacket returns a packet with the given positions.
func dataPacket(port uint16, token directory.Token, sequence, acknowledged uint32, size int) Packet {
	packet := flowPacket(port, token, acknowledged)
	packet.Sequence = sequence
	packet.Size = size
	return packet
}

// step is a packet of a caller.
type step struct {
	after    time.Duration
	sequence uint32
	// answered is the number of the target's bytes that the caller acknowledges.
	answered uint32
	size     int
	opening  bool
	closing  bool
	reset    bool
	// dropped is set when the node drops the packet after its decision.
	dropped bool
}

// play sends the packets of a flow to a target and returns the outcomes counted for it.
func (w *exchangeFixture) play(token directory.Token, steps ...step) directory.Outcomes {
	// The target's first position, which makes acknowledgements wrap as well.
	const base = math.MaxUint32 - 100
	began := w.now
	for _, step := range steps {
		w.advance(began.Add(step.after).Sub(w.now))
		packet := dataPacket(1, token, initialSequence+step.sequence, base+step.answered, step.size)
		packet.Closing, packet.Reset, packet.Opening = step.closing, step.reset, step.opening
		w.core.Decide(w.now, packet)
		if step.dropped {
			w.core.RecordDrop(w.now, packet.Flow)
		}
	}
	w.advance(3 * time.Second)
	counted := w.outcomes[token]
	counted.Token = 0
	return counted
}

const ms = time.Millisecond

var (
	outcomeOneAnswered   = directory.Outcomes{Answered: 1}
	outcomeOneUnanswered = directory.Outcomes{Unanswered: 1}
	outcomeOneShort      = directory.Outcomes{Short: 1}
	outcomeOneSlow       = directory.Outcomes{Slow: 1}
	noOutcome            = directory.Outcomes{}
	answeredTwice        = directory.Outcomes{Answered: 2}
)

func TestExchangeOutcomes(t *testing.T) {
	open := step{opening: true}
	request := step{after: 5 * ms, size: 100}
	cases := []struct {
		name  string
		steps []step
		want  directory.Outcomes
	}{
		{"answered, then closed", []step{open, request, {after: 30 * ms, sequence: 100, answered: 2000}, {after: 31 * ms, sequence: 100, answered: 2400, closing: true}}, outcomeOneAnswered},
		{"one-packet response acknowledged by the close", []step{open, request, {after: 30 * ms, sequence: 100, answered: 1100, closing: true}}, outcomeOneAnswered},
		{"quiet", []step{open, request}, outcomeOneUnanswered},
		{"quiet after retransmissions", []step{open, request, {after: 205 * ms, size: 100}, {after: 605 * ms, size: 100}}, outcomeOneUnanswered},
		{"reset by the caller at its deadline", []step{open, request, {after: 2 * time.Second, sequence: 100, reset: true}}, outcomeOneUnanswered},
		{"closed by the caller at its deadline", []step{open, request, {after: 2 * time.Second, sequence: 100, closing: true}}, outcomeOneUnanswered},
		{"closed by the target without a response", []step{open, request, {after: 10 * ms, sequence: 100, answered: finLength, closing: true}}, outcomeOneUnanswered},
		{"reset early by the caller", []step{open, request, {after: 20 * ms, sequence: 100, reset: true}}, noOutcome},
		{"closed early by the caller", []step{open, request, {after: 20 * ms, sequence: 100, closing: true}}, noOutcome},
		{"short response", []step{open, request, {after: 30 * ms, sequence: 100, answered: 200, closing: true}}, outcomeOneShort},
		{"reset during the response", []step{open, request, {after: 30 * ms, sequence: 100, answered: 200, reset: true}}, noOutcome},
		{"complete response, then reset", []step{open, request, {after: 30 * ms, sequence: 100, answered: 2000, reset: true}}, outcomeOneAnswered},
		{"late response", []step{open, request, {after: 245 * ms, sequence: 100, answered: 2000}, {after: 246 * ms, sequence: 100, answered: 2000, closing: true}}, outcomeOneSlow},
		{"retransmitted request", []step{open, request, {after: 205 * ms, size: 100}, {after: 220 * ms, sequence: 100, answered: 2000, closing: true}}, outcomeOneSlow},
		{"upload with reordering", []step{
			open, {after: 5 * ms, size: 1000}, {after: 5 * ms, sequence: 2000, size: 1000}, {after: 5 * ms, sequence: 1000, size: 1000},
			{after: 300 * ms, sequence: 3000, size: 1000}, {after: 600 * ms, sequence: 4000, size: 1000},
			{after: 900 * ms, sequence: 5000, size: 1000}, {after: 930 * ms, sequence: 6000, answered: 2000, closing: true},
		}, outcomeOneAnswered},
		{"upload with a packet lost twice", []step{
			open, {after: 5 * ms, size: 1000}, {after: 5 * ms, sequence: 2000, size: 1000}, {after: 205 * ms, sequence: 1000, size: 1000},
			{after: 605 * ms, sequence: 1000, size: 1000}, {after: 640 * ms, sequence: 3000, answered: 2000, closing: true},
		}, outcomeOneAnswered},
		{"upload that stalls", []step{open, {after: 5 * ms, size: 1000}, {after: 400 * ms, sequence: 1000, size: 1000}}, outcomeOneUnanswered},
		{"download", []step{
			open, request, {after: 30 * ms, sequence: 100, answered: 2400}, {after: 400 * ms, sequence: 100, answered: 4800},
			{after: 3000 * ms, sequence: 100, answered: 40000, closing: true},
		}, outcomeOneAnswered},
		{"no data", []step{open, {after: 5 * ms}, {after: 3 * time.Second, closing: true}}, noOutcome},
		{"two requests on an idle flow", []step{
			open, request, {after: 30 * ms, sequence: 100, answered: 2000},
			{after: 4 * time.Second, sequence: 100, answered: 2000, size: 100}, {after: 4030 * ms, sequence: 200, answered: 4000},
			{after: 9 * time.Second, sequence: 200, answered: 4000, closing: true},
		}, answeredTwice},
		{"short response to the second request", []step{
			open, request, {after: 30 * ms, sequence: 100, answered: 2000},
			{after: 4 * time.Second, sequence: 100, answered: 2000, size: 100}, {after: 4030 * ms, sequence: 200, answered: 2200, closing: true},
		}, directory.Outcomes{Answered: 1, Short: 1}},
		{"stray retransmission of the first request", []step{
			open, request, {after: 30 * ms, sequence: 100, answered: 2000, size: 100},
			{after: 31 * ms, size: 100, answered: 0}, {after: 60 * ms, sequence: 200, answered: 4000, closing: true},
		}, answeredTwice},
		{"reordered acknowledgement", []step{
			open, request, {after: 30 * ms, sequence: 100, answered: 2000}, {after: 31 * ms, sequence: 100, answered: 1000},
			{after: 32 * ms, sequence: 100, answered: 2000, closing: true},
		}, outcomeOneAnswered},
		{"request dropped by the node", []step{open, {after: 5 * ms, size: 100, dropped: true}}, noOutcome},
		{"dropped request, answered after retransmission", []step{
			open, {after: 5 * ms, size: 100, dropped: true}, {after: 400 * ms, sequence: 100, answered: 2000, closing: true},
		}, noOutcome},
		{"dropped request, then another one", []step{
			open, {after: 5 * ms, size: 100, dropped: true}, {after: 400 * ms, sequence: 100, answered: 2000, size: 100},
			{after: 430 * ms, sequence: 200, answered: 4000, closing: true},
		}, outcomeOneAnswered},
		{"joined midway", []step{request, {after: 700 * ms, sequence: 100, answered: 1200, closing: true}}, noOutcome},
		{"joined midway, then quiet", []step{request}, noOutcome},
		{"joined during an upload that stalls", []step{{size: 1000}, {after: 400 * ms, sequence: 1000, size: 1000}}, noOutcome},
		{"new flow from the same port", []step{open, request, {after: 100 * ms, opening: true}}, noOutcome},
		{"joined at an acknowledgement", []step{{sequence: 100, answered: 1200}, {after: 5 * ms, sequence: 100, answered: 1300, closing: true}}, noOutcome},
		{"joined midway, then another request", []step{
			request, {after: 230 * ms, sequence: 100, answered: 1200, size: 100}, {after: 260 * ms, sequence: 200, answered: 1300, closing: true},
		}, outcomeOneShort},
		{"stray packets after the close", []step{
			open, request, {after: 30 * ms, sequence: 100, answered: 2000, size: 100}, {after: 60 * ms, sequence: 200, answered: 4000, closing: true},
			{after: 62 * ms, size: 100}, {after: 64 * ms, sequence: 100, answered: 2000, size: 100},
		}, answeredTwice},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w, token := newExchangeFixture(t)
			assert.Equal(t, test.want, w.play(token, test.steps...))
		})
	}
}

func TestNodeWithoutAnyAnswersReportsNoOutcomes(t *testing.T) {
	w, token := newExchangeFixture(t)
	w.idle = true
	assert.Equal(t, noOutcome, w.play(token, step{opening: true}, step{size: 100}))
}

func TestExchangesDuringLinkDelayAreIgnored(t *testing.T) {
	w, token := newExchangeFixture(t)
	w.core.Decide(w.now, opening(1, 0))
	w.core.Decide(w.now, dataPacket(1, token, initialSequence, 1, 100))
	w.core.RecordLinkDelay(w.now, linkDelayThreshold)
	w.advance(2 * time.Second)
	assert.Equal(t, noOutcome, w.outcomes[token])
	assert.Equal(t, outcomeOneUnanswered, w.play(token, step{opening: true}, step{size: 100}), "later exchanges are counted")
}

func TestExchangesDuringStallAreIgnored(t *testing.T) {
	w, token := newExchangeFixture(t)
	w.core.Decide(w.now, opening(1, 0))
	w.core.Decide(w.now, dataPacket(1, token, initialSequence, 1, 100))
	w.now = w.now.Add(2 * time.Second)
	w.reported = w.now
	w.report()
	w.advance(2 * time.Second)
	assert.Equal(t, noOutcome, w.outcomes[token])
	assert.Equal(t, outcomeOneUnanswered, w.play(token, step{opening: true}, step{size: 100}), "later exchanges are counted")
}

// On reused flows callers acknowledge a one-packet response with their next request.
func TestQuietIsIgnoredOnRoutesWithoutAcknowledgements(t *testing.T) {
	w, token := newExchangeFixture(t)
	w.idle = true
	const flows = 20
	round := uint32(0)
	playRounds := func(count int) {
		for range count {
			round++
			for port := range uint16(flows) {
				w.core.Decide(w.now, dataPacket(port+1, token, initialSequence+100*round, 1500*round, 100))
				w.advance(reportPeriod)
			}
		}
	}
	for port := range uint16(flows) {
		w.core.Decide(w.now, opening(port+1, 0))
	}
	playRounds(2)
	learning := w.outcomes[token].Unanswered
	assert.Positive(t, learning)
	assert.Less(t, learning, uint32(2*flows), "only until the baseline is known")
	playRounds(10)
	assert.Equal(t, learning, w.outcomes[token].Unanswered)
	assert.Greater(t, w.outcomes[token].Answered, uint32(9*flows))
}

// Normal responses of an upload are as short as failures on other routes.
func TestShortIsRelativeToRouteBaseline(t *testing.T) {
	b := newBookingFixture(t)
	tokens := b.addTargets(start, 1, 2)
	w := &exchangeFixture{coreFixture: b, now: start, reported: start, outcomes: map[directory.Token]directory.Outcomes{}, port: firstBusyPort, idle: true}
	for number := range uint32(200) {
		w.advance(reportPeriod)
		w.exchange(tokens[number%2], 250+number%100)
	}
	assert.Zero(t, w.outcomes[tokens[0]].Short+w.outcomes[tokens[1]].Short)
	assert.NotZero(t, w.outcomes[tokens[0]].Answered)
}

func TestFrequentFailuresStayShort(t *testing.T) {
	w, token := newExchangeFixture(t)
	w.idle = true
	for range 300 {
		for range 4 {
			w.exchange(w.busyTarget, typicalResponseSize)
		}
		w.exchange(token, 200)
		w.advance(reportPeriod)
	}
	assert.Equal(t, uint32(300), w.outcomes[token].Short)
	assert.Zero(t, w.outcomes[w.busyTarget].Short)
}

func TestNewNodeReportsNoAnomalies(t *testing.T) {
	b := newBookingFixture(t)
	token := b.addTargets(start, 1, 1)[0]
	w := &exchangeFixture{coreFixture: b, now: start, reported: start, outcomes: map[directory.Token]directory.Outcomes{}, port: firstBusyPort, idle: true}
	w.core.Report(start, reportPeriod)
	w.advance(reportPeriod / 2)
	for range minBaselineSamples / 2 {
		w.exchange(token, typicalResponseSize)
	}
	w.exchange(token, 200)
	w.core.Decide(w.now, opening(1, 0))
	w.core.Decide(w.now, dataPacket(1, token, initialSequence, 1, 100))
	w.advance(200 * ms)
	w.exchange(token, typicalResponseSize)
	w.advance(time.Second)
	assert.Equal(t, directory.Outcomes{Answered: minBaselineSamples/2 + 2}, w.outcomes[token])
}

func TestResetFlowsAreNotCounted(t *testing.T) {
	w, token := newExchangeFixture(t)
	w.core.Decide(w.now, opening(1, 0))
	w.core.Decide(w.now, dataPacket(1, token, initialSequence, 1, 100))
	assert.Len(t, w.core.ApplyVerdicts(directory.Verdicts{Lost: []directory.Token{token}}), 1)
	w.advance(2 * time.Second)
	assert.Equal(t, noOutcome, w.outcomes[token])
}

// A failing target looks idle and must not attract more flows.
func TestFailedTargetIsAvoidedTemporarily(t *testing.T) {
	w, token := newExchangeFixture(t)
	w.core.Decide(w.now, opening(1, 0))
	w.core.Decide(w.now, dataPacket(1, token, initialSequence, 1, 100))
	w.advance(minQuietTime + reportPeriod)
	for port := range uint16(20) {
		decision := w.core.Decide(w.now, opening(100+port, 0))
		assert.Equal(t, w.busyTarget, decision.Target.Token)
		assert.Equal(t, 1, decision.Unresponsive)
	}
	entry := w.core.targets[token]
	assert.True(t, entry.hasFailed(w.now))
	assert.False(t, entry.hasFailed(w.now.Add(failureLifetime)))
	w.exchange(token, typicalResponseSize)
	assert.False(t, entry.hasFailed(w.now), "the target serves again")
}

func TestBaselinesOfRemovedRoutesAreDropped(t *testing.T) {
	w, token := newExchangeFixture(t)
	w.exchange(token, typicalResponseSize)
	assert.Len(t, w.core.baselines, 1)
	w.publish(w.now, 2, route("r", bookingAddress, directory.Backend{Service: "booking", Weight: 1}), route("s", otherAddress, directory.Backend{Service: "booking", Weight: 1}))
	assert.Equal(t, 2*minBaselineSamples+1, w.core.baselines[bookingAddress].sizes.total)
	w.publish(w.now, 3, route("s", otherAddress, directory.Backend{Service: "booking", Weight: 1}))
	assert.Empty(t, w.core.baselines)
}

func TestTimerWheelFiresEachFlowOnceAndOnTime(t *testing.T) {
	var wheel timerWheel
	flows := make([]*flowEntry, 100)
	due := map[*flowEntry]kernel.Instant{}
	now := start
	wheel.advance(now, nil)
	for position := range flows {
		flows[position] = &flowEntry{}
		after := time.Duration(position) * 10 * ms
		wheel.add(now, flows[position], after)
		wheel.add(now, flows[position], after/2)
		due[flows[position]] = now.Add(after)
	}
	rescheduled := map[*flowEntry]bool{}
	for len(due) > 0 {
		now = now.Add(30 * ms)
		wheel.advance(now, func(now kernel.Instant, flow *flowEntry) time.Duration {
			assert.False(t, now.Before(due[flow]))
			assert.Less(t, now.Sub(due[flow]), 2*wheelSlot+30*ms)
			if !rescheduled[flow] {
				rescheduled[flow] = true
				due[flow] = now.Add(200 * ms)
				return 200 * ms
			}
			delete(due, flow)
			return 0
		})
	}
	for _, slot := range wheel.slots {
		assert.Nil(t, slot)
	}
	wheel.add(now, flows[0], time.Second)
	wheel.advance(now.Add(time.Hour), func(kernel.Instant, *flowEntry) time.Duration { return 0 })
	assert.False(t, flows[0].exchange.inWheel, "due after a long pause")
}

func TestLogHistogramQuantiles(t *testing.T) {
	var histogram logHistogram
	assert.Zero(t, histogram.quantile(0.5))
	for value := range 3000 {
		histogram.add(float64(value * 7919 % 1000))
	}
	assert.InEpsilon(t, 500, histogram.quantile(0.5), 0.2)
	assert.InEpsilon(t, 250, histogram.quantile(0.25), 0.2)
	for range 3 * histogramDecayCount {
		histogram.add(math.MaxFloat64)
	}
	assert.Greater(t, histogram.quantile(0.25), float64(math.MaxUint32/2), "older values decay")
	assert.Less(t, histogram.total, histogramDecayCount)
}
