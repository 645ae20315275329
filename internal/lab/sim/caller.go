package sim

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/report"
)

const (
	acknowledgeTimeout = time.Second
	maxRetransmit      = 3
	requestDeadline    = 5 * time.Second
	// answerGrace is how long after its deadline a caller still listens.
	answerGrace  = 6 * time.Second
	datagramSize = 2048
)

// exchange is one request of a caller that waits for its answer.
type exchange struct {
	token        string
	messageID    int32
	packet       []byte
	transmitted  int
	acknowledged bool
	finished     bool
	answer       func(message.Message)
	onExpiry     func()
}

// caller is an emulated caller: one address and port with one service. It
// retransmits as RFC 7252 says.
type caller struct {
	place
	world     *World
	address   netip.AddrPort
	service   netip.AddrPort
	opened    kernel.Instant
	parser    *coapmsg.Parser
	exchanges map[string]*exchange
	messageID int32
	closed    bool
	// notify handles messages that answer no exchange.
	notify func(message.Message)
}

func (w *World) newCaller(service netip.AddrPort) *caller {
	w.nextCaller++
	address := netip.AddrFrom4([4]byte{10, 9, byte(w.nextCaller >> 8), byte(w.nextCaller)})
	port := uint16(1024 + w.random.IntN(60000))
	return w.openCaller(netip.AddrPortFrom(address, port), service)
}

func (w *World) openCaller(address, service netip.AddrPort) *caller {
	opened := &caller{
		place:     place{name: "caller " + address.String(), zone: clientZone},
		world:     w,
		address:   address,
		service:   service,
		opened:    w.clock.Now(),
		parser:    coapmsg.NewParser(),
		exchanges: map[string]*exchange{},
		messageID: int32(w.random.IntN(1 << 16)),
	}
	w.callers[address] = opened
	return opened
}

func (c *caller) close() {
	c.closed = true
	if c.world.callers[c.address] == c {
		delete(c.world.callers, c.address)
	}
}

// send starts an exchange with retransmissions.
func (c *caller) send(request message.Message, patience time.Duration, answer func(message.Message), onExpiry func()) {
	c.messageID = (c.messageID + 1) & 0xffff
	token := make([]byte, 8)
	for i := range token {
		token[i] = byte(c.world.random.IntN(256))
	}
	request.Type = message.Confirmable
	request.MessageID = c.messageID
	request.Token = token
	buffer := make([]byte, datagramSize)
	size, err := coder.DefaultCoder.Encode(request, buffer)
	if err != nil {
		panic(err)
	}
	started := &exchange{
		token:     string(token),
		messageID: c.messageID,
		packet:    buffer[:size],
		answer:    answer,
		onExpiry:  onExpiry,
	}
	c.exchanges[started.token] = started
	spread := 1 + 0.3*c.world.random.Float64()
	c.transmit(started, time.Duration(spread*float64(acknowledgeTimeout)))
	c.world.clock.After(patience, func() { c.expire(started) })
}

func (c *caller) transmit(current *exchange, timeout time.Duration) {
	if current.finished || current.acknowledged || c.closed {
		return
	}
	current.transmitted++
	c.world.fabric.fromCaller(c, current.packet)
	if current.transmitted > maxRetransmit {
		return
	}
	c.world.clock.After(timeout, func() { c.transmit(current, 2*timeout) })
}

func (c *caller) expire(current *exchange) {
	if current.finished {
		return
	}
	current.finished = true
	delete(c.exchanges, current.token)
	if !c.closed {
		current.onExpiry()
	}
}

func (c *caller) receive(payload []byte) {
	if c.parser.Parse(payload) != nil {
		return
	}
	received := c.parser.Message
	if received.Code == codes.Empty {
		c.acknowledge(received.MessageID)
		return
	}
	current, known := c.exchanges[string(received.Token)]
	if !known {
		if c.notify != nil {
			c.notify(received)
		}
		return
	}
	current.finished = true
	delete(c.exchanges, current.token)
	current.answer(received)
}

func (c *caller) acknowledge(messageID int32) {
	for _, current := range c.exchanges {
		if current.messageID == messageID {
			current.acknowledged = true
		}
	}
}

func withPath(request message.Message, path string) message.Message {
	options, _, err := request.Options.SetPath(make([]byte, 64), path)
	if err != nil {
		panic(err)
	}
	request.Options = options
	return request
}

// post sends one request that may not be repeated and notes its outcome.
func (c *caller) post(see func(target string)) {
	w := c.world
	w.nextRequest++
	id := fmt.Sprintf("r%d", w.nextRequest)
	request := withPath(message.Message{Code: codes.POST, Payload: []byte(id)}, "/book")
	value := make([]byte, 4)
	size, _ := message.EncodeUint32(value, uint32(requestDeadline.Milliseconds()))
	request.Options = request.Options.Add(message.Option{ID: coapmsg.DeadlineOption, Value: value[:size]})
	started := w.clock.Now()
	answer := func(received message.Message) {
		outcome, target := report.ReadOutcome(received.Code, string(received.Payload), id)
		if outcome == report.Done && see != nil {
			see(target)
		}
		if outcome != report.Done {
			w.trace("%s: request %s ended: %s", c.address, id, outcome)
		}
		if outcome == report.Unknown {
			w.unfinished = append(w.unfinished, unfinishedRequest{id, started, outcome})
		}
		w.report.Request(id, outcome, w.clock.Now().Sub(started))
	}
	c.send(request, requestDeadline+answerGrace, answer, func() {
		w.trace("%s: request %s got no answer", c.address, id)
		w.unfinished = append(w.unfinished, unfinishedRequest{id, started, report.NoAnswer})
		w.report.Request(id, report.NoAnswer, w.clock.Now().Sub(started))
	})
}
