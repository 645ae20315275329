package registry

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/rendezvous"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wal"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	rosterName = "roster"
	// rosterCapacity is the length of the queue of nodes to be added to the roster. It
	// exceeds the number of nodes that one member serves in the largest supported fleet.
	rosterCapacity = 1024
	rosterBatch    = 256
	// rosterWriteInterval is the minimum time between two writes of the roster file, each
	// of which costs two syncs.
	rosterWriteInterval = 2 * time.Second
	// previousNodesTTL is how long nodes of the previous run are kept unless they are
	// reported again. It is longer than the outages that nodes are expected to return from.
	previousNodesTTL = 5 * time.Minute
	// rosterShareInterval is the time between two transfers of this member's subscribers to
	// the other members. It bounds how long a member that lost its disk lacks them.
	rosterShareInterval = 5 * time.Second
	// maxAnnouncedNodes limits the nodes that one member announces itself to. In a larger
	// fleet each member selects a different subset.
	maxAnnouncedNodes = 256
)

// announcer persists the addresses of nodes and announces the member to them after each
// start: once its disk has been read, and again when it first becomes current if the first
// announcement has finished by then.
type announcer struct {
	process *Process
	folder  *wal.Dir
	// previousNodes are the nodes in the roster file of the previous run.
	previousNodes []string
	// queue holds this member's subscribers and nodes reported by other members until they
	// are added to the roster.
	queue *ring.Ring[rosterEntry]
	// announcedOnce is set once an announcement has been due, and hasBeenCurrent once the
	// member has been current. Both belong to the goroutine that owns the core.
	announcedOnce, hasBeenCurrent bool
	// announcing is set while announcements are being sent.
	announcing atomic.Bool

	mutex sync.Mutex
	// subscribers are the nodes that have subscribed to this member since its start, and
	// recentNodes those and the nodes reported by other members.
	subscribers, recentNodes *roster
}

func newAnnouncer(process *Process) *announcer {
	return &announcer{process: process, queue: ring.New[rosterEntry](rosterCapacity), subscribers: newRoster(nil), recentNodes: newRoster(nil)}
}

// rosterEntry is the address at which a node takes announcements.
type rosterEntry struct {
	address string
	// own is set for a node that subscribed to this member.
	own bool
}

// addSubscriber queues a node that subscribed to this member.
func (a *announcer) addSubscriber(address string) {
	a.queue.TryPush(rosterEntry{address: address, own: true})
}

// receiveRoster queues the nodes reported by another member.
func (a *announcer) receiveRoster(frame wire.Frame) {
	addresses, err := decodeRoster(frame.Payload)
	if err != nil {
		a.process.logger.Sampled(eventlog.BadFrame, "kind", frame.Kind, "err", err)
		return
	}
	for _, address := range addresses {
		if !a.isRecorded(address) {
			a.queue.TryPush(rosterEntry{address: address})
		}
	}
}

func (a *announcer) isRecorded(address string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.recentNodes.addresses[address]
}

// load reads the roster of the previous run. If that fails, nodes find this member through
// the seeds only.
func (a *announcer) load() {
	folder, err := wal.OpenDir(a.process.settings.DataFolder + "-" + rosterName)
	if err != nil {
		a.process.logger.Event(eventlog.RosterFailed, "err", err)
		return
	}
	a.folder = folder
	data, err := folder.ReadFile(rosterName)
	if err != nil {
		// There is no file at the first start.
		a.process.logger.Event(eventlog.RosterRead, "nodes", 0, "reason", err)
		return
	}
	nodes, err := decodeRoster(data)
	if err != nil {
		a.process.logger.Event(eventlog.RosterFailed, "err", err)
		return
	}
	a.previousNodes = nodes
	a.process.logger.Event(eventlog.RosterRead, "nodes", len(nodes))
}

// runRoster adds queued nodes to the roster and writes its file until the process stops.
func (a *announcer) runRoster() {
	all := newRoster(a.previousNodes)
	started := time.Now()
	var batch []rosterEntry
	for {
		var open bool
		batch, open = a.queue.PopBatch(batch[:0], rosterBatch)
		if !open {
			return
		}
		for _, node := range batch {
			all.add(node.address)
			a.record(node)
		}
		if time.Since(started) > previousNodesTTL {
			a.mutex.Lock()
			all.retain(a.recentNodes.addresses)
			a.mutex.Unlock()
		}
		a.save(all)
		if !a.wait(rosterWriteInterval) {
			return
		}
	}
}

// record adds a node that was reported in this run.
func (a *announcer) record(entry rosterEntry) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.recentNodes.add(entry.address)
	if entry.own {
		a.subscribers.add(entry.address)
	}
}

// runRosterSharing periodically sends this member's subscribers to the other members until
// the process stops.
func (a *announcer) runRosterSharing() {
	for a.wait(rosterShareInterval) {
		a.mutex.Lock()
		own := a.subscribers.list()
		a.mutex.Unlock()
		if len(own) > 0 {
			a.process.inputs.TryPush(shareRosterInput{frame: wire.Frame{Kind: wire.FrameRoster, Payload: encodeRoster(own)}})
		}
	}
}

// shareRosterInput sends a roster frame to all other members.
type shareRosterInput struct{ frame wire.Frame }

func (i shareRosterInput) handle(p *Process, _ kernel.Instant) Output {
	if p.core == nil {
		return Output{}
	}
	var output Output
	for _, member := range p.core.State().Members() {
		if member.Address != p.settings.Core.Address {
			output.Members = append(output.Members, AddressedFrame{To: member.Address, Frame: i.frame})
		}
	}
	return output
}

func (a *announcer) save(r *roster) {
	if a.folder == nil || !r.dirty {
		return
	}
	if err := wal.WriteFileAtomic(a.folder, rosterName, encodeRoster(r.list())); err != nil {
		a.process.logger.Event(eventlog.RosterFailed, "err", err)
		return
	}
	r.dirty = false
}

// wait waits for a delay and returns false if the process stops first.
func (a *announcer) wait(delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-a.process.stopped:
		return false
	}
}

// announceIfDue starts an announcement after the disk has been read, and another one when
// the member first becomes current, unless an announcement is still running.
func (a *announcer) announceIfDue(now kernel.Instant, core *Core) {
	isCurrent := core.IsCurrent(now)
	due := !a.announcedOnce || isCurrent && !a.hasBeenCurrent
	a.announcedOnce = true
	a.hasBeenCurrent = a.hasBeenCurrent || isCurrent
	if !due || len(a.previousNodes) == 0 || !a.announcing.CompareAndSwap(false, true) {
		return
	}
	announcement := Announcement{From: a.process.settings.Core.Address, Members: announcementMembers(a.process.settings.Core.Address, core.referralMembers())}
	a.process.spawn(func() {
		defer a.announcing.Store(false)
		a.announce(announcement)
	})
}

// announce sends the announcement repeatedly to the nodes of the persisted roster.
func (a *announcer) announce(announcement Announcement) {
	socket, err := net.ListenUDP("udp4", nil)
	if err != nil {
		a.process.logger.Event(eventlog.RosterFailed, "err", steperror.Wrap("registry.announce", "", err))
		return
	}
	defer func() { _ = socket.Close() }()
	datagram := wire.AppendFrame(nil, announcement.Frame())
	nodes := a.selectNodes(announcement.From)
	failed := 0
	for _, delay := range announcementDelays {
		if !a.wait(delay) {
			return
		}
		failed += sendAll(socket, nodes, datagram)
	}
	a.process.logger.Event(eventlog.NodesAnnounced, "nodes", len(nodes), "rounds", len(announcementDelays), "failed", failed)
}

// selectNodes returns the nodes that this member announces itself to.
func (a *announcer) selectNodes(self string) []string {
	if len(a.previousNodes) <= maxAnnouncedNodes {
		return a.previousNodes
	}
	draws := make([]rendezvous.Node, len(a.previousNodes))
	for position, address := range a.previousNodes {
		draws[position] = rendezvous.Node{Seed: rendezvous.Hash(address), Weight: 1}
	}
	var nodes []string
	for _, position := range rendezvous.BestN(draws, rendezvous.Hash(self), maxAnnouncedNodes) {
		nodes = append(nodes, a.previousNodes[position])
	}
	return nodes
}

// sendAll sends a datagram to each node and returns the number of failed sends.
func sendAll(socket *net.UDPConn, nodes []string, datagram []byte) int {
	failed := 0
	for _, address := range nodes {
		node, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = socket.WriteToUDPAddrPort(datagram, node)
		}
		if err != nil {
			failed++
		}
	}
	return failed
}
