package control

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	dialTimeout  = time.Second
	dialBackoff  = 200 * time.Millisecond
	writeTimeout = 2 * time.Second
	readBuffer   = 64 << 10
)

// memberLink is the outgoing connection to another control member. Frames
// that find no room are dropped; the replicated log sends again.
type memberLink struct {
	id    raft.MemberID
	queue *ring.Ring[wire.Frame]
}

// sendMember queues a frame on the link to a member, which starts at the
// first use. A frame for a member without a known address is dropped.
func (p *Process) sendMember(message MemberMessage) {
	link := p.link(message.To)
	if link == nil {
		return
	}
	link.queue.TryPush(message.Frame)
	p.metrics.memberBytes.Add(float64(wire.FrameSize(message.Frame)))
}

func (p *Process) link(id raft.MemberID) *memberLink {
	if existing, known := p.members[id]; known {
		return existing
	}
	address := p.peerAddress(id)
	if address == "" {
		return nil
	}
	link := &memberLink{id: id, queue: ring.New[wire.Frame](outputCapacity)}
	p.members[id] = link
	p.spawn(func() { p.runLink(link, address) })
	return link
}

// peerAddress returns a member's address from the replicated state, or from
// the settings while that does not have it yet.
func (p *Process) peerAddress(id raft.MemberID) string {
	for _, member := range p.core.Store().Members() {
		if member.Id == uint32(id) {
			return member.Peer
		}
	}
	for _, member := range p.settings.Members {
		if member.ID == uint32(id) {
			return member.Peer
		}
	}
	return ""
}

func (p *Process) closeLinks() {
	for _, link := range p.members {
		link.queue.Close()
	}
	for _, queue := range p.nodes {
		queue.Close()
	}
}

// runLink writes the frames of one link and reconnects when it breaks.
func (p *Process) runLink(link *memberLink, address string) {
	var connection net.Conn
	defer func() {
		if connection != nil {
			_ = connection.Close()
		}
	}()
	var batch []wire.Frame
	var buffer []byte
	for {
		var open bool
		batch, open = link.queue.PopBatch(batch[:0], inputBatch)
		if !open {
			return
		}
		if connection == nil {
			connection = p.dialMember(link.id, address)
		}
		if connection == nil {
			continue
		}
		buffer = buffer[:0]
		for _, frame := range batch {
			buffer = wire.AppendFrame(buffer, frame)
		}
		_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := connection.Write(buffer); err != nil {
			p.logger.Event(eventlog.PeerLost, "member", link.id, "err", steperror.Wrap("control.write", address, err))
			_ = connection.Close()
			connection = nil
		}
	}
}

// dialMember opens a connection and introduces this member. It returns nil
// after a pause when the other one cannot be reached.
func (p *Process) dialMember(id raft.MemberID, address string) net.Conn {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		time.Sleep(dialBackoff)
		return nil
	}
	var encoder wire.Encoder
	encoder.Uint32(p.settings.ID)
	hello := wire.AppendFrame(nil, wire.Frame{Kind: wire.FrameRaft, Payload: encoder.Buffer})
	if _, err := connection.Write(hello); err != nil {
		_ = connection.Close()
		return nil
	}
	p.logger.Event(eventlog.PeerConnected, "member", id, "address", address)
	return connection
}

// listen opens the addresses for members, balancers and operators.
func (p *Process) listen() error {
	self := p.settings.Self()
	if err := p.accept(self.Peer, p.readMember); err != nil {
		return err
	}
	if err := p.accept(self.Nodes, p.serveNode); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", self.Admin)
	if err != nil {
		return steperror.Wrap("control.listen", self.Admin, err)
	}
	p.server = &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: dialTimeout}
	p.spawn(func() { _ = p.server.Serve(listener) })
	return nil
}

// accept serves each connection to an address in a goroutine of its own.
func (p *Process) accept(address string, serve func(net.Conn)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return steperror.Wrap("control.listen", address, err)
	}
	p.mutex.Lock()
	p.listeners = append(p.listeners, listener)
	p.mutex.Unlock()
	p.spawn(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	})
	return nil
}

// closeOnStop closes a connection when the process stops.
func (p *Process) closeOnStop(connection net.Conn, done chan struct{}) {
	select {
	case <-p.stopped:
	case <-done:
	}
	_ = connection.Close()
}

// readMember reads the frames of another member.
func (p *Process) readMember(connection net.Conn) {
	done := make(chan struct{})
	defer close(done)
	go p.closeOnStop(connection, done)
	reader := bufio.NewReaderSize(connection, readBuffer)
	hello, err := wire.ReadFrame(reader)
	if err != nil {
		return
	}
	decoder := wire.NewDecoder(hello.Payload)
	from := raft.MemberID(decoder.Uint32())
	if decoder.Err("control.hello") != nil {
		p.logger.Event(eventlog.BadFrame, "peer", connection.RemoteAddr(), "reason", "hello is malformed")
		return
	}
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return
		}
		p.inputs.Push(memberInput{from: from, frame: frame})
	}
}

// serveNode serves a balancer: this goroutine reads, another one writes.
func (p *Process) serveNode(connection net.Conn) {
	p.mutex.Lock()
	p.nextConn++
	id := p.nextConn
	p.mutex.Unlock()
	queue := ring.New[wire.Frame](outputCapacity)
	done := make(chan struct{})
	defer close(done)
	go p.closeOnStop(connection, done)
	go p.writeNode(connection, queue)
	p.inputs.Push(nodeOpened{connection: id, queue: queue})
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			break
		}
		if !p.inputs.Push(nodeInput{connection: id, frame: frame}) {
			break
		}
	}
	queue.Close()
	p.inputs.Push(nodeClosed{connection: id})
}

func (p *Process) writeNode(connection net.Conn, queue *ring.Ring[wire.Frame]) {
	var buffer []byte
	var batch []wire.Frame
	for {
		var open bool
		batch, open = queue.PopBatch(batch[:0], inputBatch)
		if !open {
			return
		}
		buffer = buffer[:0]
		for _, frame := range batch {
			buffer = wire.AppendFrame(buffer, frame)
		}
		_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := connection.Write(buffer); err != nil {
			_ = connection.Close()
			return
		}
	}
}
