package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router delivers the clients' packets to the ready front machines of their zone.
type router struct {
	fleet *fleet
	mutex sync.Mutex
	// misses counts the failed probes in a row.
	misses map[string]int
	stop   chan struct{}
}

func newRouter(f *fleet) *router {
	r := &router{fleet: f, misses: map[string]int{}, stop: make(chan struct{})}
	for _, m := range f.fronts {
		r.misses[m.name] = 2
	}
	go r.run()
	return r
}

func (r *router) run() {
	for {
		for _, m := range r.fleet.fronts {
			response, err := httpClient.Get(fmt.Sprintf("http://%s:%d/-/readiness", m.ip, readyPort))
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			r.mutex.Lock()
			if ready {
				r.misses[m.name] = 0
			} else {
				r.misses[m.name]++
			}
			r.mutex.Unlock()
		}
		select {
		case <-r.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (r *router) readyCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, misses := range r.misses {
		if misses < 2 {
			count++
		}
	}
	return count
}

// pick returns the front machine for a flow: the highest hash of those that are in.
func (r *router) pick(zone string, src, dst netip.AddrPort) *machine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, anyZone := range []bool{false, true} {
		var chosen *machine
		best := uint64(0)
		for _, m := range r.fleet.fronts {
			if r.misses[m.name] >= 2 || !anyZone && m.zone != zone {
				continue
			}
			digest := fnv.New64a()
			_, _ = digest.Write([]byte(m.name + src.String() + dst.String()))
			if sum := digest.Sum64(); chosen == nil || sum > best {
				chosen, best = m, sum
			}
		}
		if chosen != nil {
			return chosen
		}
	}
	return nil
}

// client is a client machine with many flows.
type client struct {
	zone   string
	ip     netip.Addr
	router *router
	socket *net.UDPConn
	record *recorder

	mutex    sync.Mutex
	flows    map[netip.AddrPort]*clientFlow
	nextPort uint16
}

func newClient(f *fleet, r *router, zone string, number int) (*client, error) {
	c := &client{
		zone: zone, ip: netip.MustParseAddr(f.address(4, number)), router: r, record: f.record,
		flows: map[netip.AddrPort]*clientFlow{}, nextPort: uint16(20000 + rand.IntN(20000)),
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, datagramPort)))
	if err != nil {
		return nil, err
	}
	c.socket = socket
	go c.read()
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 4096)
	for {
		size, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:size])
		if !ok {
			continue
		}
		c.mutex.Lock()
		flow := c.flows[p.dst]
		c.mutex.Unlock()
		if flow != nil {
			flow.handle(p, from)
		}
	}
}

// clientFlow is one flow of a client.
type clientFlow struct {
	client   *client
	src, dst netip.AddrPort

	mutex              sync.Mutex
	echo               uint32
	nextSend           uint32
	nextReceive        uint32
	opened             bool
	openedAt           time.Time
	lastAt             time.Time
	reset              bool
	resetAt            time.Time
	resetBySystem      bool
	resetFrom          netip.AddrPort
	answered           chan struct{}
	through            string
	targetAddress      netip.AddrPort
	requests, unserved int
}

// open opens a flow to a route, with copies of the SYN after 200 and 600 ms.
func (c *client) open(dst netip.AddrPort) *clientFlow {
	c.mutex.Lock()
	c.nextPort++
	f := &clientFlow{client: c, src: netip.AddrPortFrom(c.ip, c.nextPort), dst: dst, answered: make(chan struct{}, 8), nextSend: rand.Uint32()}
	c.flows[f.src] = f
	c.mutex.Unlock()
	start := f.nextSend
	f.nextSend++
	opened := time.Now()
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		for time.Since(opened) < at {
			if f.isOpenOrReset() {
				return f
			}
			time.Sleep(time.Millisecond)
		}
		f.transmit(packet{src: f.src, dst: dst, flags: flagSYN, seq: start, ack: uint32(copies)})
	}
	for time.Since(opened) < 1400*time.Millisecond && !f.isOpenOrReset() {
		time.Sleep(time.Millisecond)
	}
	return f
}

func (f *clientFlow) isOpenOrReset() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.opened || f.reset
}

func (f *clientFlow) state() (opened, reset bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.opened, f.reset
}

func (f *clientFlow) transmit(p packet) {
	front := f.client.router.pick(f.client.zone, f.src, f.dst)
	if front == nil {
		return
	}
	f.through = front.name
	_, _ = f.client.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(netip.MustParseAddr(front.ip), datagramPort))
}

func (f *clientFlow) handle(p packet, from netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if p.has(flagRST) {
		if f.reset {
			return
		}
		f.reset, f.resetAt, f.resetBySystem, f.resetFrom = true, time.Now(), p.sum == 0, from
		f.client.record.add("client", f.src, "flow to", f.dst, "is reset from", from, "by the system:", p.sum == 0, "open:", f.opened)
		return
	}
	f.echo = p.echo
	f.lastAt = time.Now()
	if p.has(flagSYN) {
		if !f.opened {
			f.opened, f.openedAt, f.nextReceive, f.targetAddress = true, time.Now(), p.seq+1, from
			f.transmit(packet{echo: f.echo, src: f.src, dst: f.dst, flags: flagACK, seq: f.nextSend, ack: f.nextReceive})
		}
		return
	}
	if len(p.data) > 0 && p.seq == f.nextReceive {
		f.nextReceive += uint32(len(p.data))
		f.client.record.add("client", f.src, "gets", string(p.data))
		f.transmit(packet{echo: f.echo, src: f.src, dst: f.dst, flags: flagACK, seq: f.nextSend, ack: f.nextReceive})
		select {
		case f.answered <- struct{}{}:
		default:
		}
	}
}

// request sends a request on an open flow and waits for its answer.
func (f *clientFlow) request(text string) bool {
	f.mutex.Lock()
	p := packet{src: f.src, dst: f.dst, flags: flagACK, seq: f.nextSend, data: []byte(text)}
	f.nextSend += uint32(len(p.data))
	f.requests++
	f.mutex.Unlock()
	f.client.record.add("client", f.src, "sends", text)
	wait := 200 * time.Millisecond
	end := time.Now().Add(2 * time.Second)
	for time.Now().Before(end) {
		f.mutex.Lock()
		if f.reset {
			f.mutex.Unlock()
			return false
		}
		p.echo, p.ack = f.echo, f.nextReceive
		f.transmit(p)
		f.mutex.Unlock()
		select {
		case <-f.answered:
			return true
		case <-time.After(wait):
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
	return false
}
