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
	// rosterPause is the time between two writes of the roster. A fleet changes in the
	// course of minutes, and each write costs two syncs.
	rosterPause = 2 * time.Second
	// rosterLifetime is how long nodes of the member's last life are remembered that
	// nobody has told of again: longer than any outage after which they come back.
	rosterLifetime = 5 * time.Minute
	// rosterSharing is the time between two words to the other members on the nodes
	// that follow this one. A member that has lost its disk lacks them for so long.
	rosterSharing = 5 * time.Second
	// announceLimit is the number of nodes that a member announces itself to. In a
	// larger fleet each member takes others.
	announceLimit = 256
)

// announcer remembers where nodes are and announces the member to them after each start,
// as soon as it has read its disk, and again if it is current only long after that.
type announcer struct {
	process *Process
	folder  *wal.Folder
	// known are the nodes of the last life.
	known []string
	// notes takes the nodes that follow this member and those that others tell of.
	notes *ring.Ring[rosterNote]
	// begun is set once the member has announced itself, and current once it was
	// current. The goroutine that owns the core has both.
	begun, current bool
	// announcing is set while announcements are sent.
	announcing atomic.Bool

	mutex sync.Mutex
	// own are the nodes that have followed this member since its start, and since those
	// and the ones that others have told of.
	own, since *roster
}

func newAnnouncer(process *Process) *announcer {
	return &announcer{process: process, notes: ring.New[rosterNote](rosterCapacity), own: newRoster(nil), since: newRoster(nil)}
}

// rosterNote tells where a node takes announcements.
type rosterNote struct {
	address string
	// own is set on a node that follows this member.
	own bool
}

// follow notes a node that follows this member.
func (a *announcer) follow(address string) { a.notes.TryPush(rosterNote{address: address, own: true}) }

// hear notes the nodes that another member tells of.
func (a *announcer) hear(frame wire.Frame) {
	addresses, err := decodeRoster(frame.Payload)
	if err != nil {
		a.process.logger.Sampled(eventlog.BadFrame, "kind", frame.Kind, "err", err)
		return
	}
	for _, address := range addresses {
		if !a.isNoted(address) {
			a.notes.TryPush(rosterNote{address: address})
		}
	}
}

func (a *announcer) isNoted(address string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.since.addresses[address]
}

// open reads the nodes of the last life. Without them, nodes find this member by the
// seeds.
func (a *announcer) open() {
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
	a.known = known
	a.process.logger.Event(eventlog.RosterRead, "nodes", len(known))
}

// runRoster keeps the file of nodes until the process stops.
func (a *announcer) runRoster() {
	all := newRoster(a.known)
	started := time.Now()
	var batch []rosterNote
	for {
		var open bool
		batch, open = a.notes.PopBatch(batch[:0], rosterBatch)
		if !open {
			return
		}
		for _, node := range batch {
			all.note(node.address)
			a.note(node)
		}
		if time.Since(started) > rosterLifetime {
			a.mutex.Lock()
			all.keep(a.since.addresses)
			a.mutex.Unlock()
		}
		a.save(all)
		if !a.pause(rosterPause) {
			return
		}
	}
}

// note notes a node of this life.
func (a *announcer) note(node rosterNote) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.since.note(node.address)
	if node.own {
		a.own.note(node.address)
	}
}

// runSharing tells the other members of the nodes that follow this one until the process
// stops.
func (a *announcer) runSharing() {
	for a.pause(rosterSharing) {
		a.mutex.Lock()
		own := a.own.list()
		a.mutex.Unlock()
		if len(own) > 0 {
			a.process.inputs.TryPush(sharingInput{frame: wire.Frame{Kind: wire.FrameRoster, Payload: encodeRoster(own)}})
		}
	}
}

// sharingInput sends a frame to all other members.
type sharingInput struct{ frame wire.Frame }

func (i sharingInput) handle(p *Process, _ kernel.Instant) Output {
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
	if a.folder == nil || !nodes.changed {
		return
	}
	if err := wal.Replace(a.folder, rosterName, encodeRoster(nodes.list())); err != nil {
		a.process.logger.Event(eventlog.RosterFailed, "err", err)
		return
	}
	nodes.changed = false
}

// pause waits, and returns false when the process stops.
func (a *announcer) pause(pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-a.process.stopped:
		return false
	}
}

// begin announces the member once it has read its disk, and once it is current for the
// first time when the first announcements are over by then.
func (a *announcer) begin(now kernel.Instant, core *Core) {
	isCurrent := core.IsCurrent(now)
	due := !a.begun || isCurrent && !a.current
	a.begun = true
	a.current = a.current || isCurrent
	if !due || len(a.known) == 0 || !a.announcing.CompareAndSwap(false, true) {
		return
	}
	announcement := Announcement{From: a.process.settings.Core.Address, Members: announced(a.process.settings.Core.Address, core.referralMembers())}
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
	nodes := a.chosen(announcement.From)
	failed := 0
	for _, pause := range announcementPauses {
		if !a.pause(pause) {
			return
		}
		failed += sendAll(socket, nodes, datagram)
	}
	a.process.logger.Event(eventlog.NodesAnnounced, "nodes", len(nodes), "rounds", len(announcementPauses), "failed", failed)
}

// chosen returns the nodes that this member announces itself to.
func (a *announcer) chosen(self string) []string {
	if len(a.known) <= announceLimit {
		return a.known
	}
	draws := make([]rendezvous.Node, len(a.known))
	for position, address := range a.known {
		draws[position] = rendezvous.Node{Seed: rendezvous.Hash(address), Weight: 1}
	}
	var nodes []string
	for _, position := range rendezvous.BestN(draws, rendezvous.Hash(self), announceLimit) {
		nodes = append(nodes, a.known[position])
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
