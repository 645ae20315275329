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
	// datagramBufferSize is the size of a datagram buffer. A received datagram that
	// fills it may be truncated; readCallers and readTargets refuse it.
	datagramBufferSize = 2048
	// batchSize is the maximum number of datagrams per system call.
	batchSize = 32
	// socketBufferSize is the requested size of the kernel's socket buffers in bytes.
	socketBufferSize = 4 << 20
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
	_ = connection.SetReadBuffer(socketBufferSize)
	_ = connection.SetWriteBuffer(socketBufferSize)
	if err := enableTimestamps(connection); err != nil {
		return nil, steperror.Wrap(step, address, err)
	}
	return connection, nil
}

var receiveBufferPool = sync.Pool{New: func() any { return new([datagramBufferSize]byte) }}

// packetSource is the kind of sender of a datagram.
type packetSource uint8

const (
	fromCaller packetSource = iota
	fromTarget
	fromPeer
)

// packetInput is a received datagram in a buffer from receiveBufferPool.
type packetInput struct {
	source  packetSource
	arrived kernel.Instant
	buffer  *[datagramBufferSize]byte
	payload []byte
	header  proxyheader.Header
	packet  wire.PeerPacket
}

var packetPool = sync.Pool{New: func() any { return new(packetInput) }}

func (i *packetInput) release() {
	receiveBufferPool.Put(i.buffer)
	*i = packetInput{}
	packetPool.Put(i)
}

func (i *packetInput) handle(p *Process, now kernel.Instant) []routing.Action {
	switch i.source {
	case fromCaller:
		p.lastCallerPacketAt = now
		return p.router.HandleCallerPacket(now, i.arrived, i.header.Destination, i.header.Source, i.payload)
	case fromTarget:
		return p.router.HandleTargetPacket(now, i.header.Source, i.header.Destination, *i.header.Tag, i.payload)
	}
	return p.router.HandlePeerPacket(now, i.arrived, &i.packet)
}

// datagramHandler handles a datagram that was queued in the socket for delay. It
// returns true when it takes ownership of the buffer.
type datagramHandler func(buffer *[datagramBufferSize]byte, size int, delay time.Duration) bool

// readBatches reads datagrams in batches and calls handle for each one. It reuses
// a buffer that handle does not take.
func readBatches(connection *net.UDPConn, handle datagramHandler) {
	batched := ipv4.NewPacketConn(connection)
	messages := make([]ipv4.Message, batchSize)
	buffers := make([]*[datagramBufferSize]byte, batchSize)
	for i := range messages {
		buffers[i] = receiveBufferPool.Get().(*[datagramBufferSize]byte)
		messages[i].Buffers = [][]byte{buffers[i][:]}
		messages[i].OOB = make([]byte, timestampBufferSize)
	}
	for {
		count, err := batched.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		now := time.Now()
		for i := range count {
			delay := socketDelay(now, messages[i].OOB[:messages[i].NN])
			if !handle(buffers[i], messages[i].N, delay) {
				continue
			}
			buffers[i] = receiveBufferPool.Get().(*[datagramBufferSize]byte)
			messages[i].Buffers[0] = buffers[i][:]
		}
	}
}

// push queues a packet for the router. When the ring is full, the packet is dropped
// and push returns false; the reader keeps the buffer.
func (p *Process) push(packet *packetInput) bool {
	if p.inputs.TryPush(packet) {
		return true
	}
	*packet = packetInput{}
	packetPool.Put(packet)
	return false
}

// readCallers reads packets from callers, forwarded by the network fabric.
func (p *Process) readCallers(connection *net.UDPConn) {
	reader := proxyheader.NewReader()
	readBatches(connection, func(buffer *[datagramBufferSize]byte, size int, delay time.Duration) bool {
		header, payload, err := reader.Read(buffer[:size])
		if err != nil || size == datagramBufferSize || header.Tag != nil {
			p.refusePacket("caller", err)
			return false
		}
		packet := packetPool.Get().(*packetInput)
		arrived := p.now().Add(-delay)
		*packet = packetInput{source: fromCaller, arrived: arrived, buffer: buffer, payload: payload, header: header}
		return p.push(packet)
	})
}

// readTargets reads packets from targets to callers.
func (p *Process) readTargets(connection *net.UDPConn) {
	reader := proxyheader.NewReader()
	readBatches(connection, func(buffer *[datagramBufferSize]byte, size int, _ time.Duration) bool {
		header, payload, err := reader.Read(buffer[:size])
		if err != nil || size == datagramBufferSize || header.Tag == nil {
			p.refusePacket("target", err)
			return false
		}
		packet := packetPool.Get().(*packetInput)
		*packet = packetInput{source: fromTarget, buffer: buffer, payload: payload, header: header}
		return p.push(packet)
	})
}

// readPeers reads packets from other balancers.
func (p *Process) readPeers(connection *net.UDPConn) {
	readBatches(connection, func(buffer *[datagramBufferSize]byte, size int, delay time.Duration) bool {
		packet := packetPool.Get().(*packetInput)
		*packet = packetInput{source: fromPeer, arrived: p.now().Add(-delay), buffer: buffer}
		if err := wire.DecodePeerPacket(buffer[:size], &packet.packet); err != nil {
			*packet = packetInput{}
			packetPool.Put(packet)
			p.refusePacket("balancer", err)
			return false
		}
		return p.push(packet)
	})
}

// refusedLogInterval is the number of refused packets from a source per log entry.
const refusedLogInterval = 1000

// refusePacket counts an invalid packet, and logs the first of every
// refusedLogInterval packets from its source.
func (p *Process) refusePacket(source string, err error) {
	count := p.metrics.countRefused(source)
	if count%refusedLogInterval == 1 {
		p.logger.Event(eventlog.PacketRefused, "source", source, "count", count, "err", err)
	}
}

// datagram is an outgoing packet.
type datagram struct {
	to   netip.AddrPort
	data *[]byte
}

var sendBufferPool = sync.Pool{New: func() any {
	data := make([]byte, 0, datagramBufferSize)
	return &data
}}

// sender writes queued datagrams to a socket in batches.
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
		sendBufferPool.Put(data)
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
			sendBufferPool.Put(item.data)
		}
	}
}

// write sends a batch and skips a datagram that cannot be sent.
func (s *sender) write(batched *ipv4.PacketConn, messages []ipv4.Message) {
	for len(messages) > 0 {
		count, err := batched.WriteBatch(messages, 0)
		if err != nil && count <= 0 {
			count = 1
		}
		messages = messages[count:]
	}
}

// dispatch executes the actions returned by the router.
func (p *Process) dispatch(actions []routing.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case routing.ActionToTarget:
			header := proxyheader.Header{Source: action.Caller, Destination: action.Service, Tag: &action.Tag}
			p.sendWithHeader(p.targetSender, action.Address, header, action.Payload)
		case routing.ActionToCaller:
			header := proxyheader.Header{Source: action.Service, Destination: action.Caller}
			p.sendWithHeader(p.callerSender, p.fabric, header, action.Payload)
		case routing.ActionToPeer:
			data := sendBufferPool.Get().(*[]byte)
			*data = wire.AppendPeerPacket((*data)[:0], &action.Packet)
			p.peerSender.push(action.Address, data)
		case routing.ActionToControl:
			p.control.send(wire.ReportFrame(action.Report))
		case routing.ActionLog:
			p.logger.Event(action.Event, action.Fields...)
		}
	}
}

func (p *Process) sendWithHeader(to *sender, address netip.AddrPort, header proxyheader.Header, payload []byte) {
	data := sendBufferPool.Get().(*[]byte)
	encoded, err := proxyheader.Append((*data)[:0], header)
	if err != nil {
		p.logger.Event(eventlog.SocketFailed, "peer", address, "err", err)
		sendBufferPool.Put(data)
		return
	}
	*data = append(encoded, payload...)
	to.push(address, data)
}
