package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a proxy does with connections.
type Mode int32

// The modes of a proxy.
const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Delay hands each part on after delayTime.
	Delay
	// Silence hands nothing on and keeps connections open.
	Silence
	// OneWay hands on only what the listening side sends.
	OneWay
	// Refuse resets all connections and each new one.
	Refuse
)

const (
	delayTime = 150 * time.Millisecond
	// holdTime is the time between two looks at whether a silence has ended.
	holdTime   = 20 * time.Millisecond
	bufferSize = 16 << 10
)

// Proxy stands before a process on loopback and harms its connections.
type Proxy struct {
	listener net.Listener
	forward  string
	mode     atomic.Int32

	mutex sync.Mutex
	// open holds the connections of the proxy, and whether they were made silent.
	open map[net.Conn]bool
}

// NewProxy listens at an address and hands connections on to another one.
func NewProxy(listen, forward string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, forward: forward, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Set changes what the proxy does with all connections.
func (p *Proxy) Set(mode Mode) {
	p.mode.Store(int32(mode))
	if mode == Refuse {
		p.resetAll()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		reset(connection)
	}
	clear(p.open)
}

// reset closes a connection so that its peer sees a reset.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (p *Proxy) current() Mode { return Mode(p.mode.Load()) }

func (p *Proxy) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == Refuse {
			reset(connection)
			continue
		}
		go p.serve(connection)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	callee, err := net.Dial("tcp4", p.forward)
	if err != nil {
		reset(caller)
		return
	}
	p.mutex.Lock()
	p.open[caller] = false
	p.open[callee] = false
	p.mutex.Unlock()
	go p.copy(caller, callee, false)
	p.copy(callee, caller, true)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, caller)
	delete(p.open, callee)
}

// copy hands bytes on until one end closes; back is set for what the listening
// side sends.
func (p *Proxy) copy(from, to net.Conn, back bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, bufferSize)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			p.hold(back)
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// hold waits as the mode asks.
func (p *Proxy) hold(back bool) {
	for p.current() == Silence || p.current() == OneWay && !back {
		time.Sleep(holdTime)
	}
	if p.current() == Delay {
		time.Sleep(delayTime)
	}
}
