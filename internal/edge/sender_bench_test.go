package edge

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/strength"
)

// benchFlows is the number of flows that send packets in turn.
const benchFlows = 1000

// loadedNode is a node without a socket whose callers send bulk data in turn. The test
// controls its clock.
type loadedNode struct {
	process   *Process
	now       kernel.Instant
	datagrams [][]byte
	next      int
}

func newLoadedNode(link egress.Link, queued int) *loadedNode {
	process := NewProcess(Settings{
		Name: "edge-1", Zone: "north", Link: link, Strength: strength.Resources{Memory: 1 << 30}, Format: plainFormat{}, Core: steer.DefaultSettings(),
	}, eventlog.Discard())
	process.sender.transmit = func([]byte, netip.AddrPort) error { return nil }
	n := &loadedNode{process: process, now: process.now()}
	process.core.Update(n.now, directory.Update{
		Revision: 1, Whole: true,
		Configuration: directory.Configuration{Version: 1, Routes: []directory.Route{{Name: "upload", Address: plainRoute, Urgency: 2}}},
		Targets:       []directory.Target{{ID: "i-1", Token: plainToken, Service: "booking", Address: plainCaller(1), State: directory.TargetReady}},
	})
	for port := range benchFlows {
		n.datagrams = append(n.datagrams, plainDatagram(uint16(port+1), 0, 0, windowData))
	}
	for range queued {
		n.sendNext()
	}
	return n
}

// sendNext passes the next packet of the next flow to the node.
func (n *loadedNode) sendNext() {
	datagram := n.datagrams[n.next%benchFlows]
	binary.BigEndian.PutUint32(datagram[2:], uint32(n.next/benchFlows*windowData))
	n.next++
	n.process.handleDatagram(n.now, datagram)
}

// step receives one packet and sends one on average.
func (n *loadedNode) step() {
	n.now = n.now.Add(benchPacketTime)
	n.sendNext()
	n.process.sender.flush(n.now)
}

// benchPacketTime is the time in which 95 % of 200 Mbit/s carry one datagram.
const benchPacketTime = (plainHead + windowData + egress.HeaderBytes) * 8 * time.Second / 190_000_000

func TestForwardingDoesNotAllocate(t *testing.T) {
	for _, test := range []struct {
		link   egress.Link
		queued int
	}{{egress.Link{}, 0}, {egress.Link{Mbps: 1000}, 0}, {egress.Link{Mbps: 200}, benchFlows}} {
		n := newLoadedNode(test.link, test.queued+benchFlows)
		for range 2 * benchFlows {
			n.step()
		}
		assert.Zero(t, testing.AllocsPerRun(1000, n.step))
		if test.queued > 0 {
			assert.Greater(t, n.process.sender.scheduler.Len(), test.queued/2)
		}
	}
}

func BenchmarkForward(b *testing.B) {
	for _, test := range []struct {
		name   string
		link   egress.Link
		queued int
	}{{"unlimited", egress.Link{}, 0}, {"wide", egress.Link{Mbps: 1000}, 0}, {"queued", egress.Link{Mbps: 200}, benchFlows}} {
		b.Run(test.name, func(b *testing.B) {
			n := newLoadedNode(test.link, test.queued)
			b.ReportAllocs()
			for b.Loop() {
				n.step()
			}
		})
	}
}

// BenchmarkNewFlow measures opening a flow on a link with spare capacity.
func BenchmarkNewFlow(b *testing.B) {
	for _, link := range []egress.Link{{}, {Mbps: 1000}} {
		b.Run(fmt.Sprint(link.Mbps, " Mbps"), func(b *testing.B) {
			n := newLoadedNode(link, 0)
			datagram := plainDatagram(0, 0, plainOpening, 0)
			port := uint16(0)
			b.ReportAllocs()
			for b.Loop() {
				port++
				n.now = n.now.Add(benchPacketTime)
				binary.BigEndian.PutUint16(datagram, port)
				n.process.handleDatagram(n.now, datagram)
				n.process.sender.flush(n.now)
			}
		})
	}
}
