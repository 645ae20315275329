package standin

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
)

const (
	openTimeout    = 1400 * time.Millisecond
	firstSYNRetry  = 200 * time.Millisecond
	secondSYNRetry = 600 * time.Millisecond
	requestTimeout = 2 * time.Second
	callerRetries  = 2
	flowQueueSize  = 64
)

var (
	errNotOpened = errors.New("the flow did not open")
	errReset     = errors.New("the flow was reset")
	errDeadline  = errors.New("the deadline passed")
	errNotRun    = errors.New("the target did not run the request")
	errFailed    = errors.New("the target failed the request")
)

// openError is the reason why a flow could not be opened.
type openError struct {
	// resetBy is the sender of the reset, if there was one.
	resetBy netip.AddrPort
	err     error
}

// Error implements error.
func (e *openError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *openError) Unwrap() error { return e.err }

// caller is a client host with its own flows.
type caller struct {
	fleet    *Fleet
	ip       netip.Addr
	socket   *net.UDPConn
	mutex    sync.Mutex
	flows    map[uint16]*callerFlow
	lastPort uint16
}

// callerFlow is the client side of a flow.
type callerFlow struct {
	caller      *caller
	local       netip.AddrPort
	virtual     netip.AddrPort
	incoming    chan packet
	echo        uint32
	sequence    uint32
	receiveNext uint32
	// requestEnd is the sequence number after the current request.
	requestEnd uint32
	// resetBy is the sender of the reset that ended the flow.
	resetBy netip.AddrPort
	// remoteClosed is set once the target has sent a FIN.
	remoteClosed bool
}

func newCaller(fleet *Fleet, ip netip.Addr) (*caller, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, fleet.packetPort)))
	if err != nil {
		return nil, err
	}
	c := &caller{fleet: fleet, ip: ip, socket: socket, flows: map[uint16]*callerFlow{}, lastPort: 1024}
	fleet.addCaller(c)
	go c.readLoop()
	return c, nil
}

func (c *caller) readLoop() {
	buffer := make([]byte, headerSize+maxData)
	for {
		size, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:size])
		p.from = from
		if !ok || !p.checksumValid && !(p.has(flagRST) && p.checksum == 0) {
			c.fleet.monitor.Broke(flowrules.Mixed, "a caller received a packet with a malformed header or a wrong checksum")
			continue
		}
		c.mutex.Lock()
		flow := c.flows[p.destination.Port()]
		c.mutex.Unlock()
		if flow == nil || flow.virtual != p.source {
			continue
		}
		select {
		case flow.incoming <- p:
		default:
		}
	}
}

// open opens a flow, retransmitting the SYN until it is answered.
func (c *caller) open(virtual netip.AddrPort) (*callerFlow, error) {
	c.mutex.Lock()
	c.lastPort++
	flow := &callerFlow{
		caller: c, local: netip.AddrPortFrom(c.ip, c.lastPort), virtual: virtual,
		incoming: make(chan packet, flowQueueSize), sequence: rand.Uint32(),
	}
	c.flows[c.lastPort] = flow
	c.mutex.Unlock()
	if err := flow.handshake(); err != nil {
		flow.remove()
		return nil, &openError{resetBy: flow.resetBy, err: err}
	}
	return flow, nil
}

func (f *callerFlow) remove() {
	f.caller.mutex.Lock()
	defer f.caller.mutex.Unlock()
	delete(f.caller.flows, f.local.Port())
}

func (f *callerFlow) send(p packet) {
	p.source, p.destination, p.echo = f.local, f.virtual, f.echo
	f.caller.fleet.router.send(f.caller.socket, p)
}

func (f *callerFlow) handshake() error {
	start := time.Now()
	timeouts := []time.Duration{firstSYNRetry, secondSYNRetry, openTimeout}
	for attempt, timeout := range timeouts {
		f.send(packet{flags: flagSYN, sequence: f.sequence, ack: uint32(attempt)})
		for {
			select {
			case p := <-f.incoming:
				if p.has(flagRST) {
					f.resetBy = p.from
					return errReset
				}
				if p.has(flagSYN) && p.has(flagACK) {
					f.sequence++
					f.receiveNext = p.sequence + 1
					f.echo = p.echo
					f.send(packet{flags: flagACK, sequence: f.sequence, ack: f.receiveNext})
					return nil
				}
				continue
			case <-time.After(time.Until(start.Add(timeout))):
			}
			break
		}
	}
	return errNotOpened
}

// roundTrip sends a request and waits for the complete response.
func (f *callerFlow) roundTrip(req request) error {
	data := req.encode()
	deadline := time.Now().Add(requestTimeout)
	pending := newUpload(f.sequence, data)
	f.requestEnd = f.sequence + uint32(len(data))
	var body []byte
	for {
		now := time.Now()
		if now.After(deadline) {
			return errDeadline
		}
		due, next := pending.due(now)
		for _, part := range due {
			f.send(packet{flags: flagACK, sequence: part.sequence, ack: f.receiveNext, data: part.data})
		}
		if next.IsZero() || next.After(deadline) {
			next = deadline
		}
		select {
		case p := <-f.incoming:
			if p.has(flagRST) {
				f.resetBy = p.from
				return errReset
			}
			f.remoteClosed = f.remoteClosed || p.has(flagFIN)
			pending.acknowledge(p.ack)
			body = f.receive(p, body)
		case <-time.After(max(time.Until(next), time.Millisecond)):
		}
		if len(body) >= responseHeaderSize+int(req.responseSize) || len(body) >= responseHeaderSize && body[0] != statusDone {
			f.sequence = f.requestEnd
			return f.checkResponse(req, body)
		}
	}
}

// receive appends in-order response data to body and acknowledges it.
func (f *callerFlow) receive(p packet, body []byte) []byte {
	if p.has(flagSYN) || len(p.data) == 0 {
		return body
	}
	if p.sequence == f.receiveNext {
		f.receiveNext += uint32(len(p.data))
		f.echo = p.echo
		body = append(body, p.data...)
	}
	f.send(packet{flags: flagACK, sequence: f.requestEnd, ack: f.receiveNext})
	return body
}

// pollRemoteClosed reports whether the target has sent a FIN, without blocking.
func (f *callerFlow) pollRemoteClosed() bool {
	for {
		select {
		case p := <-f.incoming:
			f.remoteClosed = f.remoteClosed || p.has(flagFIN)
		default:
			return f.remoteClosed
		}
	}
}

func (f *callerFlow) checkResponse(req request, body []byte) error {
	if binary.BigEndian.Uint64(body[1:]) != req.id {
		f.caller.fleet.monitor.Broke(flowrules.Mixed, "a caller received the response to another request")
	}
	switch body[0] {
	case statusNotRun:
		return errNotRun
	case statusFailed:
		return errFailed
	}
	return nil
}

func (f *callerFlow) close() {
	f.send(packet{flags: flagFIN | flagACK, sequence: f.sequence, ack: f.receiveNext})
	f.remove()
}

// workload is a repeated request that a caller sends.
type workload struct {
	virtual netip.AddrPort
	request request
	// newFlowPerRequest is set when each request opens its own flow.
	newFlowPerRequest bool
	interval          time.Duration
}

// runWorkload sends requests until done is closed, over one flow or over a new flow for
// each request.
func (c *caller) runWorkload(w workload, done <-chan struct{}) {
	var flow *callerFlow
	for {
		select {
		case <-done:
			return
		case <-time.After(w.interval/2 + rand.N(w.interval)):
		}
		if flow != nil && flow.pollRemoteClosed() {
			flow.close()
			flow = nil
		}
		flow = c.sendWithRetries(flow, w.virtual, w.request)
		if w.newFlowPerRequest && flow != nil {
			flow.close()
			flow = nil
		}
	}
}

// sendWithRetries sends a request with retries and returns the flow if it is still open.
func (c *caller) sendWithRetries(flow *callerFlow, virtual netip.AddrPort, req request) *callerFlow {
	start := time.Now()
	var err error
	for range 1 + callerRetries {
		req.id = c.fleet.monitor.Ask(req.unsafe)
		opened := flow != nil
		if flow == nil {
			flow, err = c.open(virtual)
		}
		if flow != nil {
			opened = true
			err = flow.roundTrip(req)
		}
		if err == nil {
			c.fleet.monitor.recordRequest(time.Since(start), nil)
			return flow
		}
		if flow != nil && !errors.Is(err, errNotRun) && !errors.Is(err, errFailed) {
			c.fleet.monitor.flowEnded(flow, err)
			flow.remove()
			flow = nil
		}
		mayRepeat := !req.unsafe || !opened || errors.Is(err, errNotRun)
		if !mayRepeat || time.Since(start) > requestTimeout {
			break
		}
	}
	c.fleet.monitor.recordRequest(time.Since(start), err)
	return flow
}
