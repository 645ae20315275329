package balancer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/ipv4"
	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/proxyheader"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/settings"
	"github.com/beamdoor/beamdoor/internal/wire"
)

var (
	benchService = netip.MustParseAddrPort("10.1.0.1:5683")
	benchTag     = wire.ForwardTag{ServiceID: 1, TargetID: 2, View: 1}
)

// measureDuration is the length of one throughput measurement.
const measureDuration = 2 * time.Second

func listenLoopback(b *testing.B) *net.UDPConn {
	socket, err := listenUDP("127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = socket.Close() })
	return socket
}

func addressOf(socket *net.UDPConn) string { return socket.LocalAddr().String() }

// sendUntilStopped sends packet in a loop until stop is closed.
func sendUntilStopped(b *testing.B, to string, packet []byte, stop <-chan struct{}) {
	socket := listenLoopback(b)
	address, err := net.ResolveUDPAddr("udp", to)
	require.NoError(b, err)
	batched := ipv4.NewPacketConn(socket)
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i] = ipv4.Message{Buffers: [][]byte{packet}, Addr: address}
	}
	for {
		select {
		case <-stop:
			return
		default:
			_, _ = batched.WriteBatch(messages, 0)
		}
	}
}

// receiveRate returns the packets per second that arrive at sink while packet is
// sent to the address to in a loop.
func receiveRate(b *testing.B, sink *net.UDPConn, to string, packet []byte) float64 {
	stop := make(chan struct{})
	go sendUntilStopped(b, to, packet, stop)
	defer close(stop)
	batched := ipv4.NewPacketConn(sink)
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, datagramBufferSize)}
	}
	count := 0
	start := time.Now()
	for time.Since(start) < measureDuration {
		_ = sink.SetReadDeadline(start.Add(measureDuration))
		read, err := batched.ReadBatch(messages, 0)
		if err != nil {
			break
		}
		count += read
	}
	return float64(count) / time.Since(start).Seconds()
}

// startPlainForwarder starts a forwarder without routing: it decodes the header,
// encodes one with a tag and sends, with the same batching as the balancer.
func startPlainForwarder(b *testing.B, sink string) string {
	in, out := listenLoopback(b), listenLoopback(b)
	to := netip.MustParseAddrPort(sink)
	sender := newSender(out, eventlog.Discard())
	go sender.run()
	go func() {
		reader := proxyheader.NewReader()
		readBatches(in, func(buffer *[datagramBufferSize]byte, size int, _ time.Duration) bool {
			header, payload, err := reader.Read(buffer[:size])
			if err != nil {
				return false
			}
			header.Tag = &benchTag
			data := sendBufferPool.Get().(*[]byte)
			encoded, err := proxyheader.Append((*data)[:0], header)
			if err != nil {
				return false
			}
			*data = append(encoded, payload...)
			sender.push(to, data)
			return false
		})
	}()
	b.Cleanup(sender.close)
	return addressOf(in)
}

// startBalancer runs a balancer as the only member of its view, with one target.
func startBalancer(b *testing.B, sink string) string {
	in := listenLoopback(b)
	callers := addressOf(in)
	require.NoError(b, in.Close())
	router := routing.DefaultSettings()
	router.Mechanisms.NoLeaseCheck = true
	process, err := NewProcess(&settings.Balancer{
		Name: "bench", Cell: 1, Callers: callers, Targets: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0",
		Fabric: "127.0.0.1:9", Control: []string{"127.0.0.1:9"},
	}, router, eventlog.Discard())
	require.NoError(b, err)
	force := make(chan struct{})
	done := make(chan struct{})
	go func() {
		_ = process.Run(b.Context(), force)
		close(done)
	}()
	b.Cleanup(func() {
		close(force)
		<-done
	})
	config, err := proto.Marshal(&beamdoorv1.CellConfig{
		Revision: 1,
		View:     &beamdoorv1.View{Cell: 1, Number: 1, Founding: true, Members: []*beamdoorv1.Balancer{{Id: 1, Name: "bench", Nonce: process.router.Nonce()}}},
		Services: []*beamdoorv1.Service{{
			Id: 1, Name: "bench", Address: benchService.String(), Cell: 1,
			Targets: []*beamdoorv1.Target{{Id: 2, Name: "sink", Address: sink, Connections: 1000}},
		}},
	})
	require.NoError(b, err)
	process.inputs.Push(controlInput{frame: wire.Frame{Kind: wire.FrameConfig, Payload: config}})
	return callers
}

func benchPacket(b *testing.B) []byte {
	buffer := make([]byte, 256)
	size, err := coder.DefaultCoder.Encode(message.Message{Code: codes.GET, Token: []byte("12345678"), Payload: make([]byte, 64)}, buffer)
	require.NoError(b, err)
	header := proxyheader.Header{Source: netip.MustParseAddrPort("10.9.0.1:4000"), Destination: benchService}
	packet, err := proxyheader.Append(nil, header)
	require.NoError(b, err)
	return append(packet, buffer[:size]...)
}

// BenchmarkForwardingRatio compares the balancer's forwarding rate for a known flow
// with that of a forwarder without routing.
func BenchmarkForwardingRatio(b *testing.B) {
	packet := benchPacket(b)
	sink := listenLoopback(b)
	forwarder := startPlainForwarder(b, addressOf(sink))
	callers := startBalancer(b, addressOf(sink))
	var forwarderRate, balancerRate float64
	for b.Loop() {
		forwarderRate += receiveRate(b, sink, forwarder, packet)
		balancerRate += receiveRate(b, sink, callers, packet)
	}
	b.ReportMetric(balancerRate/forwarderRate, "of-plain-loop")
	b.ReportMetric(balancerRate/float64(b.N), "packets/s")
}
