package standin

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
)

const (
	// heartbeatInterval is the default heartbeat interval.
	heartbeatInterval = 400 * time.Millisecond
	// httpTimeout is the timeout of calls to members and nodes.
	httpTimeout = time.Second
	// targetWorkers is the number of requests that a target processes at once,
	// targetQueueSize the number that may wait.
	targetWorkers   = 2
	targetQueueSize = 8
	// resendInterval is the retransmission period, and resendLimit the number of
	// unacknowledged response packets that are retransmitted per flow.
	resendInterval = 200 * time.Millisecond
	resendLimit    = 8
	// drainTime is how long a target keeps serving after its drain was acknowledged.
	drainTime = 3 * time.Second
)

// Target states reported in heartbeats.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// target is an incarnation of a backend.
type target struct {
	fleet  *Fleet
	id     string
	number uint64
	// born is the start time in Unix milliseconds.
	born        int64
	service     string
	zone        string
	address     netip.AddrPort
	socket      *net.UDPConn
	serviceTime time.Duration
	workers     chan struct{}

	mutex    sync.Mutex
	flows    map[netip.AddrPort]*targetFlow
	pending  int
	state    string
	sequence uint64
	// heartbeatURL is the address to which a member has redirected heartbeats, or "".
	heartbeatURL string
	// claimedService overrides the service in heartbeats, unless empty.
	claimedService string
	// heartbeatsStopped is set when the target serves without sending heartbeats.
	heartbeatsStopped bool
	// sendWrongIDs is set when responses carry the ID of another request.
	sendWrongIDs bool
	// failure is how the target fails requests.
	failure failure
	// drained is when the drain was acknowledged.
	drained time.Time
	stopped bool
	done    chan struct{}
}

// targetFlow is the target side of a flow.
type targetFlow struct {
	syn             packet
	initialSequence uint32
	nextSequence    uint32
	receiveNext     uint32
	echo            uint32
	open            bool
	// request is the request being received, remaining the number of bytes still missing.
	request   request
	remaining int
	// outOfOrder holds packets received ahead of a gap, by sequence number.
	outOfOrder map[uint32]packet
	// unacknowledged are response packets that the caller has not acknowledged.
	unacknowledged []packet
}

// newTarget starts a target. Its ID is derived from its number, so the same number restarts
// the same target.
func newTarget(fleet *Fleet, number uint64, service, zone string, address netip.AddrPort) (*target, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	t := &target{
		fleet: fleet, id: fmt.Sprintf("i-%010x", number), number: number, born: time.Now().UnixMilli(), service: service, zone: zone,
		address: address, socket: socket, serviceTime: 10 * time.Millisecond, workers: make(chan struct{}, targetWorkers),
		flows: map[netip.AddrPort]*targetFlow{}, state: stateReady, done: make(chan struct{}),
	}
	go t.readLoop()
	go t.heartbeatLoop()
	go t.resendLoop()
	return t, nil
}

// running reports whether the target has not stopped.
func (t *target) running() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.stopped
}

// openFlows returns the number of open flows.
func (t *target) openFlows() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open := 0
	for _, flow := range t.flows {
		if flow.open {
			open++
		}
	}
	return open
}

// crash stops the target without deregistering it.
func (t *target) crash() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.stopped {
		return
	}
	t.stopped = true
	close(t.done)
	_ = t.socket.Close()
}

// drain announces draining, keeps serving for a while, deregisters and stops.
func (t *target) drain() {
	t.mutex.Lock()
	t.state = stateDraining
	t.mutex.Unlock()
	for !t.sendHeartbeat() {
		time.Sleep(heartbeatInterval / 4)
	}
	t.mutex.Lock()
	t.drained = time.Now()
	t.mutex.Unlock()
	time.Sleep(drainTime + heartbeatInterval)
	t.post("/-/instances/"+t.id+"/deregister", fmt.Appendf(nil, `{"born":%d}`, t.born))
	t.crash()
}

func (t *target) heartbeatLoop() {
	for {
		t.sendHeartbeat()
		select {
		case <-t.done:
			return
		case <-time.After(t.fleet.settings.Heartbeat):
		}
	}
}

// reportedService returns the service named in heartbeats.
func (t *target) reportedService() string {
	if t.claimedService != "" {
		return t.claimedService
	}
	return t.service
}

// sendHeartbeat sends a heartbeat and reports whether it was acknowledged.
func (t *target) sendHeartbeat() bool {
	t.mutex.Lock()
	if t.heartbeatsStopped {
		t.mutex.Unlock()
		return false
	}
	t.sequence++
	body := t.heartbeat()
	url := t.heartbeatURL
	t.mutex.Unlock()
	path := "/-/instances/" + t.id + "/heartbeat"
	if url != "" && t.postTo(url, path, body) {
		t.fleet.monitor.nodeHeartbeats.Add(1)
		return true
	}
	return t.post(path, body)
}

// heartbeat returns the body of a heartbeat. The caller holds t.mutex.
func (t *target) heartbeat() []byte {
	body, _ := json.Marshal(map[string]any{
		"service": t.reportedService(), "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": targetWorkers,
		"state": t.state, "warmupLeftMs": 0, "callSeq": t.sequence, "born": t.born,
	})
	return body
}

// post tries the members in turn until one acknowledges.
func (t *target) post(path string, body []byte) bool {
	for _, address := range t.fleet.controls() {
		if t.postTo(address, path, body) {
			return true
		}
	}
	return false
}

// postTo posts to one address and follows redirects. It remembers a heartbeat address in the
// reply, and forgets the previous one if the call fails.
func (t *target) postTo(address, path string, body []byte) bool {
	client := http.Client{Timeout: httpTimeout}
	var reply struct {
		HeartbeatURL string `json:"heartbeatUrl"`
	}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	accepted := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = json.NewDecoder(response.Body).Decode(&reply)
		_ = response.Body.Close()
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if reply.HeartbeatURL != "" || !accepted {
		t.heartbeatURL = reply.HeartbeatURL
	}
	return accepted
}

func (t *target) readLoop() {
	buffer := make([]byte, prefixSize+headerSize+maxData)
	for {
		size, from, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < prefixSize {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		p, ok := decode(buffer[prefixSize:size])
		p.from = from
		if !ok || !p.checksumValid {
			t.fleet.monitor.Broke(flowrules.Unasked, "%s received a packet with a malformed header or a wrong checksum", t.id)
			continue
		}
		if number == 0 || number == t.number {
			t.fleet.links.deliver(from.Addr(), size, func() { t.handle(p) })
		}
	}
}

func (t *target) handle(p packet) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.stopped {
		return
	}
	if p.has(flagSYN) && p.has(flagACK) {
		t.fleet.monitor.Broke(flowrules.Unasked, "%s received a SYN+ACK", t.id)
		return
	}
	if p.has(flagSYN) {
		t.acceptSYN(p)
		return
	}
	flow, known := t.flows[p.source]
	if !known {
		if !p.has(flagRST) {
			t.send(packet{source: p.destination, destination: p.source, flags: flagRST, sequence: p.ack, echo: p.echo})
		}
		return
	}
	flow.echo = p.echo
	if !flow.open {
		flow.open = true
		t.fleet.monitor.recordOpenFlow(t, p.source)
	}
	flow.acknowledge(p.ack)
	if p.has(flagRST) || p.has(flagFIN) {
		delete(t.flows, p.source)
		return
	}
	if len(p.data) > 0 {
		t.receiveData(p, flow)
	}
}

// acceptSYN handles a SYN, also a retransmitted one, and replies with a SYN+ACK.
func (t *target) acceptSYN(p packet) {
	t.fleet.monitor.checkSYN(t, p)
	flow, known := t.flows[p.source]
	if !known {
		first := rand.Uint32()
		flow = &targetFlow{syn: p, initialSequence: first, nextSequence: first + 1, receiveNext: p.sequence + 1, outOfOrder: map[uint32]packet{}}
		t.flows[p.source] = flow
	}
	flow.echo = p.echo
	t.send(packet{
		source: p.destination, destination: p.source, flags: flagSYN | flagACK,
		sequence: flow.initialSequence, ack: flow.receiveNext, echo: flow.echo,
	})
}

// acknowledge drops the response packets fully covered by a cumulative ACK.
func (f *targetFlow) acknowledge(ack uint32) {
	for len(f.unacknowledged) > 0 && int32(ack-(f.unacknowledged[0].sequence+uint32(len(f.unacknowledged[0].data)))) >= 0 {
		f.unacknowledged = f.unacknowledged[1:]
	}
}

// receiveData buffers a packet's data, processes what is in order and acknowledges it.
func (t *target) receiveData(p packet, flow *targetFlow) {
	if int32(p.sequence-flow.receiveNext) >= 0 {
		flow.outOfOrder[p.sequence] = p
	}
	for next, there := flow.outOfOrder[flow.receiveNext]; there; next, there = flow.outOfOrder[flow.receiveNext] {
		delete(flow.outOfOrder, flow.receiveNext)
		flow.receiveNext += uint32(len(next.data))
		if !t.receiveRequest(next, flow) {
			return
		}
	}
	t.send(packet{
		source: p.destination, destination: p.source, flags: flagACK,
		sequence: flow.nextSequence, ack: flow.receiveNext, echo: flow.echo,
	})
}

// receiveRequest processes the next packet of a request and starts the request once it is
// complete. It returns false if that ended the flow.
func (t *target) receiveRequest(p packet, flow *targetFlow) bool {
	if flow.remaining == 0 {
		req, ok := decodeRequest(p.data)
		if !ok {
			t.fleet.monitor.Broke(flowrules.Unasked, "%s received an invalid request header", t.id)
			return true
		}
		flow.request = req
		flow.remaining = requestHeaderSize + int(req.uploadSize)
	}
	flow.remaining -= len(p.data)
	if flow.remaining < 0 {
		t.fleet.monitor.Broke(flowrules.Unasked, "%s received more data than the request header announced", t.id)
		flow.remaining = 0
	}
	if flow.remaining > 0 {
		return true
	}
	return t.startRequest(p, flow, flow.request)
}

// startRequest queues a complete request or fails it. It returns false if that ended the
// flow.
func (t *target) startRequest(p packet, flow *targetFlow, req request) bool {
	switch {
	case t.failure == failureReset:
		delete(t.flows, p.source)
		t.send(packet{source: p.destination, destination: p.source, flags: flagRST, sequence: p.ack, echo: p.echo})
		return false
	case t.failure == failureNoResponse:
	case t.failure == failureErrors && oneIn(errorOneIn):
		t.respond(flow, p, req, statusFailed)
	case t.pending >= targetWorkers+targetQueueSize:
		t.respond(flow, p, req, statusNotRun)
	default:
		t.pending++
		go t.process(flow, p, req)
	}
	return true
}

func (t *target) process(flow *targetFlow, p packet, req request) {
	t.workers <- struct{}{}
	t.fleet.monitor.Ran(t.id, t.service, p.destination.String(), req.id)
	time.Sleep(t.serviceTime)
	<-t.workers
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pending--
	t.respond(flow, p, req, statusDone)
}

// Response status, the first byte of a response.
const (
	statusDone   = 1
	statusNotRun = 2
	statusFailed = 3
)

// responseHeaderSize is the size of the status and the request ID.
const responseHeaderSize = 9

// respond sends a response, split into packets.
func (t *target) respond(flow *targetFlow, p packet, req request, status byte) {
	id := req.id
	if t.sendWrongIDs {
		id++
	}
	body := binary.BigEndian.AppendUint64([]byte{status}, id)
	if status == statusDone {
		body = append(body, make([]byte, req.responseSize)...)
	}
	for len(body) > 0 {
		size := min(len(body), maxData)
		part := packet{
			source: p.destination, destination: p.source, flags: flagACK,
			sequence: flow.nextSequence, ack: flow.receiveNext, data: body[:size],
		}
		flow.nextSequence += uint32(size)
		body = body[size:]
		flow.unacknowledged = append(flow.unacknowledged, part)
		part.echo = flow.echo
		t.send(part)
	}
	if t.state == stateDraining {
		t.closeFlow(flow, p)
	}
}

// closeFlow sends a FIN after a response, since the target is draining.
func (t *target) closeFlow(flow *targetFlow, p packet) {
	t.send(packet{
		source: p.destination, destination: p.source, flags: flagFIN | flagACK,
		sequence: flow.nextSequence, ack: flow.receiveNext, echo: flow.echo,
	})
}

// resendLoop retransmits unacknowledged response packets.
func (t *target) resendLoop() {
	for {
		select {
		case <-t.done:
			return
		case <-time.After(resendInterval):
		}
		t.mutex.Lock()
		for _, flow := range t.flows {
			for position, part := range flow.unacknowledged {
				if position >= resendLimit {
					break
				}
				part.echo = flow.echo
				t.send(part)
			}
		}
		t.mutex.Unlock()
	}
}

// send sends a packet directly to the caller, bypassing the edges.
func (t *target) send(p packet) {
	address := netip.AddrPortFrom(p.destination.Addr(), t.fleet.packetPort)
	_, _ = t.socket.WriteToUDPAddrPort(p.encode(), address)
}
