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
	// rosterCapacity is the number of nodes that wait for the roster to be written:
	// twice those of a member in the largest fleet.
	rosterCapacity = 1024
	rosterBatch    = 256
	// rosterWriteInterval is the time between two writes of the roster. A fleet changes in the
	// course of minutes, and each write costs two syncs.
	rosterWriteInterval = 2 * time.Second
	// previousNodesTTL is how long nodes of the member's last life are remembered that
	// nobody has told of again: longer than any outage after which they come back.
	previousNodesTTL = 5 * time.Minute
	// rosterShareInterval is the time between two words to the other members on the nodes
	// that follow this one. A member that has lost its disk lacks them for so long.
	rosterShareInterval = 5 * time.Second
	// maxAnnouncedNodes is the number of nodes that a member announces itself to. In a
	// larger fleet each member takes others.
	maxAnnouncedNodes = 256
)

// announcer remembers where nodes are and announces the member to them after each start,
// as soon as it has read its disk, and again if it is current only long after that.
type announcer struct {
	process *Process
	folder  *wal.Folder
	// previousNodes are the nodes of the last life.
	previousNodes []string
	// queue takes the nodes that follow this member and those that others tell of.
	queue *ring.Ring[rosterEntry]
	// announcedOnce is set once the member has announced itself, and current once it was
	// current. The goroutine that owns the core has both.
	announcedOnce, wasCurrent bool
	// announcing is set while announcements are sent.
	announcing atomic.Bool

	mutex sync.Mutex
	// subscribers are the nodes that have followed this member since its start, and since those
	// and the ones that others have told of.
	subscribers, recentNodes *roster
}

func newAnnouncer(process *Process) *announcer {
	return &announcer{process: process, queue: ring.New[rosterEntry](rosterCapacity), subscribers: newRoster(nil), recentNodes: newRoster(nil)}
}

// rosterEntry tells where a node takes announcements.
type rosterEntry struct {
	address string
	// own is set on a node that follows this member.
	own bool
}

// addSubscriber notes a node that follows this member.
func (a *announcer) addSubscriber(address string) {
	a.queue.TryPush(rosterEntry{address: address, own: true})
}

// receiveRoster notes the nodes that another member tells of.
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

// load reads the nodes of the last life. Without them, nodes find this member by the
// seeds.
func (a *announcer) load() {
	folder, err := wal.OpenFolder(a.process.settings.DataFolder + "-" + rosterName)
	if err != nil {
		a.process.logger.Event(eventlog.RosterFailed, "err", err)
		return
	}
	a.folder = folder
	data, err := folder.ReadFile(rosterName)
	if err != nil {
		// The first start has none.
		a.process.logger.Event(eventlog.RosterRead, "nodes", 0, "reason", err)
		return
	}
	known, err := decodeRoster(data)
	if err != nil {
		a.process.logger.Event(eventlog.RosterFailed, "err", err)
		return
	}
	a.previousNodes = known
	a.process.logger.Event(eventlog.RosterRead, "nodes", len(known))
}

// runRoster keeps the file of nodes until the process stops.
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

// record notes a node of this life.
func (a *announcer) record(node rosterEntry) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.recentNodes.add(node.address)
	if node.own {
		a.subscribers.add(node.address)
	}
}

// runRosterSharing tells the other members of the nodes that follow this one until the process
// stops.
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

// shareRosterInput sends a frame to all other members.
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

func (a *announcer) save(nodes *roster) {
	if a.folder == nil || !nodes.dirty {
		return
	}
	if err := wal.Replace(a.folder, rosterName, encodeRoster(nodes.list())); err != nil {
		a.process.logger.Event(eventlog.RosterFailed, "err", err)
		return
	}
	nodes.dirty = false
}

// wait waits, and returns false when the process stops.
func (a *announcer) wait(pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-a.process.stopped:
		return false
	}
}

// announceIfDue announces the member once it has read its disk, and once it is current for the
// first time when the first announcements are over by then.
func (a *announcer) announceIfDue(now kernel.Instant, core *Core) {
	isCurrent := core.IsCurrent(now)
	due := !a.announcedOnce || isCurrent && !a.wasCurrent
	a.announcedOnce = true
	a.wasCurrent = a.wasCurrent || isCurrent
	if !due || len(a.previousNodes) == 0 || !a.announcing.CompareAndSwap(false, true) {
		return
	}
	announcement := Announcement{From: a.process.settings.Core.Address, Members: announcementMembers(a.process.settings.Core.Address, core.referralMembers())}
	a.process.spawn(func() {
		defer a.announcing.Store(false)
		a.announce(announcement)
	})
}

// announce sends the announcement to the nodes of the last life, in rounds.
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
	for _, pause := range announcementDelays {
		if !a.wait(pause) {
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

// sendAll sends a datagram to each node and returns the number that could not be sent.
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
