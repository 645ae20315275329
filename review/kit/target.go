package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"
)

// target is one start of a server.
type target struct {
	id, service, zone string
	number            uint64
	address           netip.AddrPort
	clientPort        uint16
	controls          []string
	record            *recorder

	socket *net.UDPConn
	health *http.Server
	done   chan struct{}

	mutex sync.Mutex
	// delay is how long the calls that are sent now are under way.
	delay    time.Duration
	state    string
	sequence int
	beatURL  string
	next     int
	flows    map[netip.AddrPort]*targetFlow
	stopped  bool
	silent   bool
	// maxFlows is how many flows the target holds; 0 means any number.
	maxFlows int
	// onOpen is called for each SYN that the target takes.
	onOpen func(p packet, from netip.AddrPort)
}

type targetFlow struct {
	initial, nextSend, nextReceive uint32
	open                           bool
	// answer is the last answer, sent again when its request comes again.
	answer *packet
}

func newTarget(f *fleet, service, zone, ip string) (*target, error) {
	number := rand.Uint64() >> 32
	t := &target{
		id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone,
		address:    netip.AddrPortFrom(netip.MustParseAddr(ip), targetPort),
		clientPort: datagramPort, controls: f.controls(), record: f.record, state: "ready",
		done: make(chan struct{}), flows: map[netip.AddrPort]*targetFlow{}, next: rand.IntN(len(f.cores)),
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", t.address.String())
	if err != nil {
		return nil, err
	}
	t.socket = socket
	t.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = t.health.Serve(listener) }()
	go t.read()
	t.record.add("target", t.id, "of", service, "starts at", t.address)
	return t, nil
}

// crash ends the target without a word. Calls under way may still arrive.
func (t *target) crash() {
	t.mutex.Lock()
	if t.stopped {
		t.mutex.Unlock()
		return
	}
	t.stopped = true
	t.mutex.Unlock()
	close(t.done)
	_ = t.socket.Close()
	_ = t.health.Close()
	t.record.add("target", t.id, "ends")
}

func (t *target) isStopped() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stopped
}

// run sends heartbeats until the target ends or falls silent.
func (t *target) run() {
	for {
		t.beat()
		select {
		case <-t.done:
			return
		case <-time.After(heartbeatTime):
		}
		t.mutex.Lock()
		silent := t.silent
		t.mutex.Unlock()
		if silent {
			return
		}
	}
}

// beat sends a heartbeat; while it is not acknowledged within a second, the next node is called.
func (t *target) beat() bool {
	for range len(t.controls) + 1 {
		if t.isStopped() {
			return false
		}
		t.mutex.Lock()
		silent := t.silent
		t.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": 2,
			"state": t.state, "warmupLeftMs": 0, "callSeq": t.sequence,
		})
		sequence, node, delay := t.sequence, t.beatURL, t.delay
		if node == "" {
			node = t.controls[t.next%len(t.controls)]
			t.next++
		}
		t.mutex.Unlock()
		if silent {
			return false
		}
		reply, ok := t.call(node, fmt.Sprintf("/-/instances/%s/heartbeat", t.id), body, delay, fmt.Sprintf("heartbeat %d", sequence))
		t.mutex.Lock()
		switch {
		case !ok:
			t.beatURL = ""
		case reply != "":
			t.beatURL = reply
		}
		t.mutex.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// call sends a call that is under way for the delay, and waits a second for its answer.
func (t *target) call(node, path string, body []byte, delay time.Duration, what string) (beatURL string, ok bool) {
	t.record.add("target", t.id, "sends", what, "to", node, "under way for", delay)
	type outcome struct {
		url string
		ok  bool
	}
	answered := make(chan outcome, 1)
	go func() {
		time.Sleep(delay)
		status, reply, err := post(node, path, body)
		t.record.add("target", t.id, what, "at", node, "status", status, "err", err)
		var answer struct {
			HeartbeatURL string `json:"heartbeatUrl"`
		}
		_ = json.Unmarshal(reply, &answer)
		answered <- outcome{nodeOf(answer.HeartbeatURL), err == nil && status/100 == 2}
	}()
	select {
	case o := <-answered:
		return o.url, o.ok
	case <-time.After(callTimeout):
		return "", false
	}
}

// nodeOf returns the host and port of an address, which may be a URL.
func nodeOf(address string) string {
	if !strings.Contains(address, "://") {
		return address
	}
	parsed, err := url.Parse(address)
	if err != nil {
		return ""
	}
	return parsed.Host
}

// deregister tells the nodes, one after the other, that the target leaves.
func (t *target) deregister() (acknowledged bool) {
	for range 2 * len(t.controls) {
		t.mutex.Lock()
		t.sequence++
		node := t.controls[t.next%len(t.controls)]
		t.next++
		t.mutex.Unlock()
		if _, ok := t.call(node, fmt.Sprintf("/-/instances/%s/deregister", t.id), nil, 0, "deregister"); ok {
			return true
		}
	}
	return false
}

func (t *target) read() {
	buffer := make([]byte, 4096)
	for {
		size, from, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < prefixSize {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		if p, ok := decode(buffer[prefixSize:size]); ok && (number == 0 || number == t.number) {
			t.handle(p, from)
		}
	}
}

func (t *target) handle(p packet, from netip.AddrPort) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.stopped {
		return
	}
	flow, known := t.flows[p.src]
	if p.has(flagSYN) {
		if !known && t.maxFlows > 0 && len(t.flows) >= t.maxFlows {
			return
		}
		if !known {
			flow = &targetFlow{initial: rand.Uint32(), nextReceive: p.seq + 1}
			flow.nextSend = flow.initial + 1
			t.flows[p.src] = flow
			if t.onOpen != nil {
				t.onOpen(p, from)
			}
		}
		t.send(packet{echo: p.echo, src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: flow.initial, ack: flow.nextReceive})
		return
	}
	if !known {
		if !p.has(flagRST) {
			t.send(packet{echo: p.echo, src: p.dst, dst: p.src, flags: flagRST, seq: p.ack})
		}
		return
	}
	if !flow.open {
		flow.open = true
		t.record.add("target", t.id, "flow", p.src, p.dst, "opens, through", from)
	}
	if p.has(flagRST) || p.has(flagFIN) {
		delete(t.flows, p.src)
		return
	}
	if len(p.data) == 0 {
		return
	}
	switch {
	case p.seq == flow.nextReceive:
		flow.nextReceive += uint32(len(p.data))
		t.record.add("target", t.id, "runs", string(p.data), "through", from)
		answer := packet{src: p.dst, dst: p.src, flags: flagACK, seq: flow.nextSend, ack: flow.nextReceive, data: []byte("done " + string(p.data))}
		flow.nextSend += uint32(len(answer.data))
		flow.answer = &answer
	case flow.answer == nil:
		return
	}
	answer := *flow.answer
	answer.echo = p.echo
	t.send(answer)
}

func (t *target) send(p packet) {
	_, _ = t.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), t.clientPort))
}
