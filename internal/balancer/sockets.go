package balancer

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/proxyheader"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// datagramSize is the largest datagram that is read whole.
	datagramSize = 2048
	// batchSize is the number of datagrams moved by one system call.
	batchSize = 32
	// socketBuffer is the size asked for the kernel's buffers, in bytes.
	socketBuffer = 4 << 20
)

func listenUDP(address string) (*net.UDPConn, error) {
	const step = "balancer.listen"
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, steperror.Wrap(step, address, err)
	}
	connection, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, steperror.Wrap(step, address, err)
	}
	_ = connection.SetReadBuffer(socketBuffer)
	_ = connection.SetWriteBuffer(socketBuffer)
	if err := enableTimestamps(connection); err != nil {
		return nil, steperror.Wrap(step, address, err)
	}
	return connection, nil
}

var bufferPool = sync.Pool{New: func() any { return new([datagramSize]byte) }}

// packetSource tells where a datagram came from.
type packetSource uint8

const (
	fromCaller packetSource = iota
	fromTarget
	fromPeer
)

// packetInput is one datagram with its buffer from the pool.
type packetInput struct {
	source  packetSource
	arrived kernel.Instant
	buffer  *[datagramSize]byte
	payload []byte
	header  proxyheader.Header
	packet  wire.PeerPacket
}

var packetPool = sync.Pool{New: func() any { return new(packetInput) }}

func (i *packetInput) release() {
	bufferPool.Put(i.buffer)
	*i = packetInput{}
	packetPool.Put(i)
}

func (i *packetInput) handle(p *Process, now kernel.Instant) []routing.Action {
	switch i.source {
	case fromCaller:
		p.lastCaller = now
		return p.router.HandleCallerPacket(now, i.arrived, i.header.Destination, i.header.Source, i.payload)
	case fromTarget:
		return p.router.HandleTargetPacket(now, i.header.Source, i.header.Destination, *i.header.Tag, i.payload)
	}
	return p.router.HandlePeerPacket(now, i.arrived, &i.packet)
}

// datagramHandler takes a datagram that has waited in the socket for a time.
// It returns false when it has not kept the buffer.
type datagramHandler func(buffer *[datagramSize]byte, size int, waited time.Duration) bool

// readBatches reads datagrams, many with one system call, and hands each to
// accept together with its own buffer. A refused buffer is used again.
func readBatches(connection *net.UDPConn, accept datagramHandler) {
	batched := ipv4.NewPacketConn(connection)
	messages := make([]ipv4.Message, batchSize)
	buffers := make([]*[datagramSize]byte, batchSize)
	for i := range messages {
		buffers[i] = bufferPool.Get().(*[datagramSize]byte)
		messages[i].Buffers = [][]byte{buffers[i][:]}
		messages[i].OOB = make([]byte, timestampRoom)
	}
	for {
		count, err := batched.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		now := time.Now()
		for i := range count {
			waited := waitedSince(now, messages[i].OOB[:messages[i].NN])
			if !accept(buffers[i], messages[i].N, waited) {
				continue
			}
			buffers[i] = bufferPool.Get().(*[datagramSize]byte)
			messages[i].Buffers[0] = buffers[i][:]
		}
	}
}

// push hands a packet to the router; when the ring is full it is dropped, as
// the network would, and its buffer stays with the reader.
func (p *Process) push(packet *packetInput) bool {
	if p.inputs.TryPush(packet) {
		return true
	}
	*packet = packetInput{}
	packetPool.Put(packet)
	return false
}

// readCallers reads the packets that the fabric brings from callers.
func (p *Process) readCallers(connection *net.UDPConn) {
	reader := proxyheader.NewReader()
	readBatches(connection, func(buffer *[datagramSize]byte, size int, waited time.Duration) bool {
		header, payload, err := reader.Read(buffer[:size])
		if err != nil || size == datagramSize || header.Tag != nil {
			p.refusePacket("caller", err)
			return false
		}
		packet := packetPool.Get().(*packetInput)
		arrived := p.now().Add(-waited)
		*packet = packetInput{source: fromCaller, arrived: arrived, buffer: buffer, payload: payload, header: header}
		return p.push(packet)
	})
}

// readTargets reads the answers of targets.
func (p *Process) readTargets(connection *net.UDPConn) {
	reader := proxyheader.NewReader()
	readBatches(connection, func(buffer *[datagramSize]byte, size int, _ time.Duration) bool {
		header, payload, err := reader.Read(buffer[:size])
		if err != nil || size == datagramSize || header.Tag == nil {
			p.refusePacket("target", err)
			return false
		}
		packet := packetPool.Get().(*packetInput)
		*packet = packetInput{source: fromTarget, buffer: buffer, payload: payload, header: header}
		return p.push(packet)
	})
}

// readPeers reads the packets of other balancers.
func (p *Process) readPeers(connection *net.UDPConn) {
	readBatches(connection, func(buffer *[datagramSize]byte, size int, waited time.Duration) bool {
		packet := packetPool.Get().(*packetInput)
		*packet = packetInput{source: fromPeer, arrived: p.now().Add(-waited), buffer: buffer}
		if err := wire.DecodePeerPacket(buffer[:size], &packet.packet); err != nil {
			*packet = packetInput{}
			packetPool.Put(packet)
			p.refusePacket("balancer", err)
			return false
		}
		return p.push(packet)
	})
}

// refusedLogInterval is the number of refused packets for each that is logged.
const refusedLogInterval = 1000

// refusePacket counts a packet that cannot be read, and logs some of them.
func (p *Process) refusePacket(source string, err error) {
	count := p.metrics.countRefused(source)
	if count%refusedLogInterval == 1 {
		p.logger.Event(eventlog.PacketRefused, "source", source, "count", count, "err", err)
	}
}

// datagram is one packet to be sent.
type datagram struct {
	to   netip.AddrPort
	data *[]byte
}

var dataPool = sync.Pool{New: func() any {
	data := make([]byte, 0, datagramSize)
	return &data
}}

// sender writes datagrams to one socket, many with one system call.
type sender struct {
	connection *net.UDPConn
	logger     *eventlog.Logger
	queue      *ring.Ring[datagram]
}

func newSender(connection *net.UDPConn, logger *eventlog.Logger) *sender {
	return &sender{connection: connection, logger: logger, queue: ring.New[datagram](outputCapacity)}
}

func (s *sender) close() { s.queue.Close() }

func (s *sender) push(to netip.AddrPort, data *[]byte) {
	if !s.queue.TryPush(datagram{to: to, data: data}) {
		dataPool.Put(data)
	}
}

func (s *sender) run() {
	batched := ipv4.NewPacketConn(s.connection)
	messages := make([]ipv4.Message, batchSize)
	var batch []datagram
	for {
		var open bool
		batch, open = s.queue.PopBatch(batch[:0], batchSize)
		if !open {
			return
		}
		for i, item := range batch {
			messages[i].Buffers = [][]byte{*item.data}
			messages[i].Addr = net.UDPAddrFromAddrPort(item.to)
		}
		s.write(batched, messages[:len(batch)])
		for _, item := range batch {
			*item.data = (*item.data)[:0]
			dataPool.Put(item.data)
		}
	}
}

// write sends a batch; a datagram that cannot be sent is passed over.
func (s *sender) write(batched *ipv4.PacketConn, messages []ipv4.Message) {
	for len(messages) > 0 {
		count, err := batched.WriteBatch(messages, 0)
		if err != nil && count <= 0 {
			count = 1
		}
		messages = messages[count:]
	}
}

// dispatch carries out what the router wants done.
func (p *Process) dispatch(actions []routing.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case routing.ActionToTarget:
			header := proxyheader.Header{Source: action.Caller, Destination: action.Service, Tag: &action.Tag}
			p.sendWithHeader(p.toTarget, action.Address, header, action.Payload)
		case routing.ActionToCaller:
			header := proxyheader.Header{Source: action.Service, Destination: action.Caller}
			p.sendWithHeader(p.toCaller, p.fabric, header, action.Payload)
		case routing.ActionToPeer:
			data := dataPool.Get().(*[]byte)
			*data = wire.AppendPeerPacket((*data)[:0], &action.Packet)
			p.toPeer.push(action.Address, data)
		case routing.ActionToControl:
			p.control.send(wire.ReportFrame(action.Report))
		case routing.ActionLog:
			p.logger.Event(action.Event, action.Fields...)
		}
	}
}

func (p *Process) sendWithHeader(to *sender, address netip.AddrPort, header proxyheader.Header, payload []byte) {
	data := dataPool.Get().(*[]byte)
	encoded, err := proxyheader.Append((*data)[:0], header)
	if err != nil {
		p.logger.Event(eventlog.SocketFailed, "peer", address, "err", err)
		dataPool.Put(data)
		return
	}
	*data = append(encoded, payload...)
	to.push(address, data)
}
