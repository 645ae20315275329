package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

var (
	errNotOpened    = errors.New("no SYN+ACK within 1.4 s")
	errSystemReset  = errors.New("reset by the system")
	errTargetReset  = errors.New("reset by the target")
	errDeadlineOver = errors.New("no answer before the deadline")
)

// client is a machine with clients; its packets go through the router.
type client struct {
	ip     netip.Addr
	socket *net.UDPConn
	router *router
	mutex  sync.Mutex
	flows  map[uint16]*flow
	port   uint16
	// sentAt holds when the first opening packet of each port was sent.
	sentAt map[uint16]time.Time
}

// flow is the client's end of a flow.
type flow struct {
	client       *client
	src, dst     netip.AddrPort
	incoming     chan packet
	echo         uint32
	seq, receive uint32
	// targetID is the target that answered last.
	targetID string
	opened   time.Time
}

func newClient(ip string, port int, r *router) (*client, error) {
	address := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, port))
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{ip: address.Addr(), socket: socket, router: r, flows: map[uint16]*flow{}, port: 40000, sentAt: map[uint16]time.Time{}}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 2048)
	for {
		size, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:size])
		p.from = from
		if !ok || !p.valid && !(p.has(flagRST) && p.sum == 0) {
			continue
		}
		c.mutex.Lock()
		f := c.flows[p.dst.Port()]
		c.mutex.Unlock()
		if f == nil || f.dst != p.src {
			continue
		}
		select {
		case f.incoming <- p:
		default:
		}
	}
}

func (c *client) opening(port uint16) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sentAt[port]
}

// resetError returns who has reset the flow; a reset of the system has the sum 0. On an open
// flow only a reset with a seq near the client's last ack counts.
func (f *flow) resetError(p packet, open bool) error {
	if open {
		if distance := int32(p.seq - f.receive); distance > 76800 || distance < -76800 {
			return nil
		}
	}
	if p.sum == 0 {
		return errSystemReset
	}
	return errTargetReset
}

// open opens a flow, with copies of the SYN after 200 and 600 ms.
func (c *client) open(dst netip.AddrPort) (*flow, error) {
	c.mutex.Lock()
	c.port++
	f := &flow{client: c, src: netip.AddrPortFrom(c.ip, c.port), dst: dst, incoming: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[c.port] = f
	c.sentAt[c.port] = time.Now()
	c.mutex.Unlock()
	begun := time.Now()
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(copies)})
		timer := time.NewTimer(time.Until(begun.Add(until)))
		for waiting := true; waiting; {
			select {
			case p := <-f.incoming:
				if p.has(flagRST) {
					f.forget()
					return nil, f.resetError(p, false)
				}
				if p.has(flagSYN) && p.has(flagACK) {
					f.seq++
					f.receive = p.seq + 1
					f.echo = p.echo
					f.opened = time.Now()
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.receive})
					return f, nil
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
	f.forget()
	return nil, errNotOpened
}

func (f *flow) send(p packet) {
	p.src, p.dst, p.echo = f.src, f.dst, f.echo
	f.client.router.send(f.client.socket, p)
}

func (f *flow) forget() {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	delete(f.client.flows, f.src.Port())
}

// request sends a request and waits for its answer.
func (f *flow) request(id string, deadline time.Duration) error {
	text := []byte(fmt.Sprintf("GET / HTTP/1.1\r\nHost: %s\r\nBeamdoor-Attempt-Id: %s\r\n\r\n", f.dst.Addr(), id))
	end := time.After(deadline)
	wait := firstResend
	for {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.receive, data: text})
		resend := time.After(wait)
		wait = min(2*wait, lastResend)
		for waiting := true; waiting; {
			select {
			case p := <-f.incoming:
				if p.has(flagRST) {
					if err := f.resetError(p, true); err != nil {
						f.forget()
						return err
					}
					continue
				}
				if p.has(flagSYN) || len(p.data) == 0 || p.seq != f.receive {
					continue
				}
				f.echo = p.echo
				f.receive += uint32(len(p.data))
				f.seq += uint32(len(text))
				f.targetID = sealOf(p.data)
				f.send(packet{flags: flagACK, seq: f.seq, ack: f.receive})
				return nil
			case <-resend:
				waiting = false
			case <-end:
				f.forget()
				return errDeadlineOver
			}
		}
	}
}

// sealOf returns the target that an answer names.
func sealOf(answer []byte) string {
	var id string
	for _, line := range splitLines(string(answer)) {
		if _, err := fmt.Sscanf(line, "Beamdoor-Server-Seal: %s", &id); err == nil {
			return id
		}
	}
	return ""
}

func splitLines(text string) []string {
	var lines []string
	begin := 0
	for at := 0; at+1 < len(text); at++ {
		if text[at] == '\r' && text[at+1] == '\n' {
			lines = append(lines, text[begin:at])
			begin = at + 2
		}
	}
	return append(lines, text[begin:])
}

func (f *flow) close() {
	f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.receive})
	f.forget()
}
