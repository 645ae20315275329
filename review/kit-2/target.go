package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	workTime     = 10 * time.Millisecond
	firstResend  = 200 * time.Millisecond
	lastResend   = 1600 * time.Millisecond
	resendTries  = 8
)

// target is one incarnation of a target of the users' platform.
type target struct {
	id, service, zone string
	number            uint64
	address           netip.AddrPort
	controls          []string
	clientPort        uint16
	record            *record
	socket            *net.UDPConn
	health            net.Listener
	// beatThrough, if set, is called in place of sending a heartbeat to a node.
	beatThrough func(node, path string, body []byte) (int, error)
	// onSYN is called for every opening packet that the target takes.
	onSYN func(t *target, p packet)

	mutex    sync.Mutex
	flows    map[netip.AddrPort]*targetFlow
	sequence int
	node     int
	url      string
	stopped  bool
	// silent is set when the target serves on without heartbeats.
	silent bool
	done   chan struct{}
	// acknowledged gets the time of every acknowledged heartbeat.
	acknowledged chan time.Time
}

type targetFlow struct {
	first, next, receive uint32
	echo                 uint32
	open                 bool
	unacknowledged       []*resend
}

// resend is a packet that the other end has not acknowledged.
type resend struct {
	packet packet
	at     time.Time
	wait   time.Duration
	tries  int
}

func newTarget(number uint64, service, zone, ip string, port int, c *cluster, rec *record) *target {
	return &target{
		id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone,
		address:  netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, port)),
		controls: c.controls(), clientPort: uint16(c.datagrams), record: rec, flows: map[netip.AddrPort]*targetFlow{},
		done: make(chan struct{}), acknowledged: make(chan time.Time, 256), node: int(number) % len(c.members),
	}
}

// start opens the sockets of the target and begins to say heartbeats.
func (t *target) start() error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", t.address.String())
	if err != nil {
		_ = socket.Close()
		return err
	}
	t.socket, t.health = socket, listener
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	go t.read()
	go t.resendLoop()
	go t.beatLoop()
	t.record.log("target %s of %s starts at %s (%s)", t.id, t.service, t.address, t.zone)
	return nil
}

// crash ends the target without a word.
func (t *target) crash() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.stopped {
		return
	}
	t.stopped = true
	close(t.done)
	_ = t.socket.Close()
	_ = t.health.Close()
}

// isStopped reports whether the target says no more heartbeats.
func (t *target) isStopped() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stopped || t.silent
}

func (t *target) beatLoop() {
	for {
		began := time.Now()
		if t.isStopped() {
			return
		}
		t.beat()
		select {
		case <-t.done:
			return
		case <-time.After(time.Until(began.Add(beatInterval))):
		}
	}
}

// beat sends a heartbeat to one node after the other until one acknowledges it.
func (t *target) beat() {
	t.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": 2,
		"state": "ready", "warmupLeftMs": 0, "callSeq": t.sequence,
	})
	path := "/-/instances/" + t.id + "/heartbeat"
	if t.url != "" {
		if t.call(t.url, path, body) {
			return
		}
		t.url = ""
	}
	for try := range t.controls {
		if t.isStopped() {
			return
		}
		at := (t.node + try) % len(t.controls)
		if t.call(t.controls[at], path, body) {
			t.node = at
			return
		}
	}
}

func (t *target) call(node, path string, body []byte) bool {
	if t.beatThrough != nil {
		status, err := t.beatThrough(node, path, body)
		return err == nil && status == http.StatusOK
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+node+path, "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.record.quiet("heartbeat %d of %s to %s: %v", t.sequence, t.id, node, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	t.record.quiet("heartbeat %d of %s to %s: %d", t.sequence, t.id, node, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return false
	}
	var answer struct {
		URL string `json:"heartbeatUrl"`
	}
	_ = json.Unmarshal(text, &answer)
	if answer.URL != "" {
		t.url = strings.TrimPrefix(answer.URL, "http://")
	}
	select {
	case t.acknowledged <- time.Now():
	default:
	}
	return true
}

func (t *target) read() {
	buffer := make([]byte, 2048)
	for {
		size, from, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < prefixSize {
			continue
		}
		meant := binary.BigEndian.Uint64(buffer)
		p, ok := decode(buffer[prefixSize:size])
		p.from = from
		if !ok || !p.valid || meant != 0 && meant != t.number {
			continue
		}
		t.mutex.Lock()
		if !t.stopped {
			t.handle(p)
		}
		t.mutex.Unlock()
	}
}

func (t *target) send(p packet) {
	_, _ = t.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), t.clientPort))
}

func (t *target) handle(p packet) {
	flow, known := t.flows[p.src]
	if p.has(flagSYN) {
		if t.onSYN != nil {
			t.onSYN(t, p)
		}
		if !known {
			first := rand.Uint32()
			flow = &targetFlow{first: first, next: first + 1, receive: p.seq + 1}
			t.flows[p.src] = flow
		}
		flow.echo = p.echo
		t.send(packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: flow.first, ack: flow.receive, echo: flow.echo})
		return
	}
	if !known {
		if !p.has(flagRST) {
			t.record.quiet("target %s resets %s, which it does not hold", t.id, p.src)
			t.send(packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, echo: p.echo})
		}
		return
	}
	flow.echo = p.echo
	flow.open = true
	for len(flow.unacknowledged) > 0 {
		oldest := flow.unacknowledged[0].packet
		if int32(p.ack-(oldest.seq+uint32(len(oldest.data)))) < 0 {
			break
		}
		flow.unacknowledged = flow.unacknowledged[1:]
	}
	if p.has(flagRST) {
		delete(t.flows, p.src)
		return
	}
	if len(p.data) > 0 && p.seq == flow.receive {
		flow.receive += uint32(len(p.data))
		time.AfterFunc(workTime, func() { t.answer(flow, p) })
	}
	if p.has(flagFIN) {
		t.send(packet{src: p.dst, dst: p.src, flags: flagFIN | flagACK, seq: flow.next, ack: flow.receive, echo: flow.echo})
		delete(t.flows, p.src)
	}
}

// answer runs a request and sends its answer, one packet.
func (t *target) answer(flow *targetFlow, p packet) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.stopped {
		return
	}
	t.record.quiet("target %s ran a request of %s", t.id, p.src)
	body := "ran by " + t.id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nBeamdoor-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", t.id, len(body), body)
	part := packet{src: p.dst, dst: p.src, flags: flagACK, seq: flow.next, ack: flow.receive, data: []byte(text), echo: flow.echo}
	flow.next += uint32(len(text))
	flow.unacknowledged = append(flow.unacknowledged, &resend{packet: part, at: time.Now(), wait: firstResend})
	t.send(part)
}

// resendLoop sends packets again that were not acknowledged.
func (t *target) resendLoop() {
	for {
		select {
		case <-t.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		t.mutex.Lock()
		for _, flow := range t.flows {
			for _, part := range flow.unacknowledged {
				if time.Since(part.at) < part.wait || part.tries >= resendTries {
					continue
				}
				part.tries++
				part.at = time.Now()
				part.wait = min(2*part.wait, lastResend)
				part.packet.echo = flow.echo
				t.send(part.packet)
			}
		}
		t.mutex.Unlock()
	}
}
