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
	dialTimeout    = time.Second
	dialBackoff    = 200 * time.Millisecond
	writeTimeout   = 2 * time.Second
	readBufferSize = 64 << 10
)

// memberLink is the outgoing connection to another control member. Frames are dropped
// while its queue is full; Raft retransmits its messages.
type memberLink struct {
	id    raft.MemberID
	queue *ring.Ring[wire.Frame]
}

// sendToMember queues a frame for a member and opens the link on first use. It drops a
// frame for a member whose address is unknown.
func (p *Process) sendToMember(message MemberMessage) {
	link := p.linkTo(message.To)
	if link == nil {
		return
	}
	link.queue.TryPush(message.Frame)
	p.metrics.memberBytes.Add(float64(wire.FrameSize(message.Frame)))
}

func (p *Process) linkTo(id raft.MemberID) *memberLink {
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

// peerAddress returns a member's address from the replicated state, or else from the
// settings.
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

func (p *Process) closeQueues() {
	for _, link := range p.members {
		link.queue.Close()
	}
	for _, queue := range p.balancers {
		queue.Close()
	}
}

// runLink writes the frames of a link and reconnects after an error.
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
		batch, open = link.queue.PopBatch(batch[:0], maxBatchSize)
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

// dialMember connects to a member and sends the ID of this one. It returns nil on an
// error, and waits for dialBackoff first if the dial failed.
func (p *Process) dialMember(id raft.MemberID, address string) net.Conn {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		time.Sleep(dialBackoff)
		return nil
	}
	var encoder wire.Encoder
	encoder.Uint32(p.settings.ID)
	handshake := wire.AppendFrame(nil, wire.Frame{Kind: wire.FrameRaft, Payload: encoder.Buffer})
	if _, err := connection.Write(handshake); err != nil {
		_ = connection.Close()
		return nil
	}
	p.logger.Event(eventlog.PeerConnected, "member", id, "address", address)
	return connection
}

// listen opens the sockets for members, balancers and the admin API.
func (p *Process) listen() error {
	self := p.settings.Self()
	if err := p.acceptConnections(self.Peer, p.readMember); err != nil {
		return err
	}
	if err := p.acceptConnections(self.Nodes, p.serveBalancer); err != nil {
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

// acceptConnections listens on an address and serves each connection in its own
// goroutine.
func (p *Process) acceptConnections(address string, serve func(net.Conn)) error {
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

// closeOnStop closes a connection when the process stops or done is closed.
func (p *Process) closeOnStop(connection net.Conn, done chan struct{}) {
	select {
	case <-p.stopped:
	case <-done:
	}
	_ = connection.Close()
}

// readMember reads the frames of another member. The first frame contains its ID.
func (p *Process) readMember(connection net.Conn) {
	done := make(chan struct{})
	defer close(done)
	go p.closeOnStop(connection, done)
	reader := bufio.NewReaderSize(connection, readBufferSize)
	handshake, err := wire.ReadFrame(reader)
	if err != nil {
		return
	}
	decoder := wire.NewDecoder(handshake.Payload)
	from := raft.MemberID(decoder.Uint32())
	if decoder.Err("control.hello") != nil {
		p.logger.Event(eventlog.BadFrame, "peer", connection.RemoteAddr(), "reason", "malformed member ID")
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

// serveBalancer reads the frames of a balancer, and starts writeBalancer to write to it.
func (p *Process) serveBalancer(connection net.Conn) {
	p.mutex.Lock()
	p.lastConnection++
	id := p.lastConnection
	p.mutex.Unlock()
	queue := ring.New[wire.Frame](outputCapacity)
	done := make(chan struct{})
	defer close(done)
	go p.closeOnStop(connection, done)
	go p.writeBalancer(connection, queue)
	p.inputs.Push(balancerConnectedInput{connection: id, queue: queue})
	reader := bufio.NewReader(connection)
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			break
		}
		if !p.inputs.Push(balancerInput{connection: id, frame: frame}) {
			break
		}
	}
	queue.Close()
	p.inputs.Push(balancerDisconnectedInput{connection: id})
}

func (p *Process) writeBalancer(connection net.Conn, queue *ring.Ring[wire.Frame]) {
	var buffer []byte
	var batch []wire.Frame
	for {
		var open bool
		batch, open = queue.PopBatch(batch[:0], maxBatchSize)
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
