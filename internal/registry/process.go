package registry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/faultlayer"
	"github.com/beamdoor/beamdoor/internal/heartbeat"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/peerlink"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wal"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	inputQueueCapacity = 4096
	inputBatch         = 64
	nodeQueueCapacity  = 256
	tickInterval       = 25 * time.Millisecond
	// busyAfter is the time since the last tick after which a process counts as busy. A
	// message waits for several goroutines on its way, so a much longer delay would let
	// elections fail.
	busyAfter = tickInterval + 15*time.Millisecond
	// reopenInterval is the time between two attempts to open a failed disk.
	reopenInterval = 500 * time.Millisecond
)

// Settings configure a member's process.
type Settings struct {
	Name       string
	DataFolder string
	Core       CoreSettings
	// Zones are the configured zones. They can be evacuated even without targets.
	Zones []string
	// Strength is the stated capacity of the machine.
	Strength strength.Resources
	// HeartbeatOptions configure how targets' heartbeats are distributed over nodes.
	HeartbeatOptions []heartbeat.DistributorOption
	// APIAddress maps a member's address to the address where targets call it. Without it,
	// targets are not redirected to members of their zones.
	APIAddress func(address string) string
}

// Process runs a member. One goroutine owns the core; the others send it inputs through a
// bounded ring.
type Process struct {
	settings Settings
	logger   *eventlog.Logger
	started  time.Time
	inputs   *ring.Ring[input]
	links    *peerlink.Links
	// core is nil while the disk cannot be used.
	core                 *Core
	disk                 *wal.Log
	reopenAt             time.Time
	pendingCalls         map[Ticket]chan Outcome
	nodeQueues           map[ConnectionID]*ring.Ring[wire.Frame]
	metrics              *metrics
	heartbeats           *heartbeat.Cache
	heartbeatDistributor *heartbeat.Distributor
	// heartbeatsRevision is the revision up to which the heartbeat cache has been updated.
	heartbeatsRevision uint64
	// referralRevision is the member revision that the referral table was built from. The
	// goroutines of connections share the table.
	referralRevision uint64
	referrals        atomic.Pointer[referralTable]

	announcer *announcer

	connections *hosting.ConnectionLimiter
	// diskNearlyFull is set while the persisted data nearly fills the disk.
	diskNearlyFull bool

	// tickedAt is the time of the last tick in nanoseconds since the start.
	tickedAt atomic.Int64

	mutex          sync.Mutex
	nextConnection ConnectionID
	listener       net.Listener
	goroutines     sync.WaitGroup
	stopped        chan struct{}
}

// NewProcess returns a member that has not started to listen.
func NewProcess(settings Settings, logger *eventlog.Logger) *Process {
	process := &Process{
		settings:             settings,
		logger:               logger,
		started:              time.Now(),
		inputs:               ring.New[input](inputQueueCapacity),
		pendingCalls:         map[Ticket]chan Outcome{},
		nodeQueues:           map[ConnectionID]*ring.Ring[wire.Frame]{},
		metrics:              newMetrics(),
		heartbeats:           heartbeat.NewCache(),
		heartbeatDistributor: heartbeat.NewDistributor(append([]heartbeat.DistributorOption{heartbeat.WithZone(settings.Core.Zone)}, settings.HeartbeatOptions...)...),
		stopped:              make(chan struct{}),
	}
	process.links = peerlink.New(process.logLink, peerlink.WithEchoes())
	process.announcer = newAnnouncer(process)
	process.connections = hosting.NewConnectionLimiter(settings.Strength.MaxConnections(), eventlog.MemberConnectionsFull, process.metrics.set, logger)
	return process
}

func (p *Process) logLink(address string, err error) {
	if err != nil {
		p.logger.Event(eventlog.PeerLost, "address", address, "err", err)
		return
	}
	p.logger.Event(eventlog.PeerConnected, "address", address)
}

// now returns the time on the process's monotonic clock. It starts at 1 second, so that no
// event occurs at the zero instant.
func (p *Process) now() kernel.Instant { return kernel.Instant(time.Second + time.Since(p.started)) }

// Run serves until the context is canceled.
func (p *Process) Run(ctx context.Context) error {
	listener, err := peerlink.Listen(faultlayer.ListenAddress(p.settings.Core.Address))
	if err != nil {
		return err
	}
	p.listener = listener
	p.logger.Event(eventlog.ProcessStarted, "member", p.settings.Name, "data_folder", p.settings.DataFolder)
	p.announcer.load()
	p.spawn(p.runCore)
	p.spawn(p.runTicker)
	p.spawn(p.accept)
	p.spawn(p.announcer.runRoster)
	p.spawn(p.announcer.runRosterSharing)
	<-ctx.Done()
	p.logger.Event(eventlog.StopRequested)
	close(p.stopped)
	_ = listener.Close()
	p.inputs.Close()
	p.links.Close()
	p.announcer.queue.Close()
	p.goroutines.Wait()
	p.logger.Event(eventlog.ProcessStopped, "member", p.settings.Name)
	return nil
}

func (p *Process) spawn(run func()) {
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		run()
	}()
}

// IsBusy reports whether the process is overloaded, that is, whether its ticks are late.
// Callers should wait or use another member.
func (p *Process) IsBusy() bool {
	return time.Since(p.started)-time.Duration(p.tickedAt.Load()) > busyAfter
}

// runTicker sends ticks to the core, starting at a random offset so that members that start
// together do not hold elections at the same time and split the vote.
func (p *Process) runTicker() {
	time.Sleep(rand.N(tickInterval))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.tickedAt.Store(int64(time.Since(p.started)))
			p.inputs.TryPush(tickInput{})
		case <-p.stopped:
			return
		}
	}
}

// runCore processes inputs until the ring is closed.
func (p *Process) runCore() {
	defer p.closeAll()
	p.reopen()
	var batch []input
	for {
		var open bool
		batch, open = p.inputs.PopBatch(batch[:0], inputBatch)
		if !open {
			return
		}
		p.reopen()
		p.handleBatch(batch)
	}
}

// handleBatch processes inputs that share one sync.
func (p *Process) handleBatch(batch []input) {
	if p.core != nil {
		p.core.BeginBatch()
	}
	for _, message := range batch {
		p.dispatch(message.handle(p, p.now()))
	}
	if p.core != nil {
		p.dispatch(p.core.EndBatch(p.now()))
	}
	if p.core != nil {
		p.refreshHeartbeats(p.core.State())
		p.refreshReferrals(p.core)
		p.checkDiskUsage()
		p.announcer.announceIfDue(p.now(), p.core)
	}
}

// refreshHeartbeats updates the heartbeat cache with the changed targets.
func (p *Process) refreshHeartbeats(state *directory.State) {
	if state.Revision() == p.heartbeatsRevision {
		return
	}
	if state.Revision() < p.heartbeatsRevision {
		p.heartbeats.Reset()
		p.heartbeatsRevision = 0
	}
	p.heartbeats.Update(state.ChangedTargets(p.heartbeatsRevision))
	p.heartbeatsRevision = state.Revision()
}

// reopen creates the core from the data folder if there is none: at the start, after a disk
// failure, and after the group has removed this member.
func (p *Process) reopen() {
	if p.core != nil || time.Now().Before(p.reopenAt) {
		return
	}
	core, disk, err := p.openCore()
	if err != nil {
		p.logger.Event(eventlog.DiskFailed, "err", err)
		p.reopenAt = time.Now().Add(reopenInterval)
		return
	}
	p.core = core
	p.disk = disk
	p.refreshReferrals(core)
	p.announcer.announceIfDue(p.now(), core)
	for connection := range p.nodeQueues {
		p.dropNode(connection)
	}
}

func (p *Process) openCore() (*Core, *wal.Log, error) {
	folder, err := wal.OpenDir(p.settings.DataFolder)
	if err != nil {
		return nil, nil, err
	}
	identity, err := wal.LoadIdentity(folder, rand.Uint64)
	if err != nil {
		return nil, nil, err
	}
	disk, restored, report, err := wal.Open(folder)
	if err != nil {
		return nil, nil, err
	}
	if report.TornBytes > 0 {
		p.logger.Event(eventlog.TailCut, "bytes", report.TornBytes)
	}
	settings := p.settings.Core
	settings.Raft.Identity = identity
	settings.Raft.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core, err := NewCore(p.now(), settings, &timedStorage{Storage: disk, saves: p.metrics.saveSeconds}, restored)
	return core, disk, err
}

// closeCore closes the core and its disk; reopen creates a new core later.
func (p *Process) closeCore() {
	_ = p.disk.Close()
	p.core = nil
	p.disk = nil
	p.reopenAt = time.Now().Add(reopenInterval)
	p.failPendingCalls("this member's disk failed")
}

func (p *Process) failPendingCalls(reason string) {
	for ticket, answer := range p.pendingCalls {
		delete(p.pendingCalls, ticket)
		answer <- Outcome{Ticket: ticket, Err: steperror.New("registry.request", p.settings.Name, reason)}
	}
}

func (p *Process) closeAll() {
	p.failPendingCalls("the member is stopping")
	for _, queue := range p.nodeQueues {
		queue.Close()
	}
	if p.disk != nil {
		_ = p.disk.Close()
	}
}

// dispatch performs the actions requested by the core.
func (p *Process) dispatch(output Output) {
	for _, event := range output.Events {
		p.logEvent(event)
	}
	for _, message := range output.Members {
		p.metrics.countFrame(message.Frame)
		p.links.Send(message.To, message.Frame)
	}
	for _, message := range output.Nodes {
		p.sendNode(message)
	}
	for _, outcome := range output.Outcomes {
		if answer, known := p.pendingCalls[outcome.Ticket]; known {
			delete(p.pendingCalls, outcome.Ticket)
			answer <- outcome
		}
	}
	if p.core == nil {
		return
	}
	p.metrics.observe(p.core)
	if output.Reset {
		p.resetFolder()
		return
	}
	if p.core.Failed() != nil {
		p.closeCore()
	}
}

// logEvent logs an event. Events that occur per call or per node are sampled.
func (p *Process) logEvent(event LogEvent) {
	switch event.Event {
	case eventlog.RequestGivenUp, eventlog.ReplyUnmatched, eventlog.NodeSubscribed, eventlog.BadFrame:
		event.Sampled = true
	}
	if event.Sampled {
		p.logger.Sampled(event.Event, event.Fields...)
		return
	}
	p.logger.Event(event.Event, event.Fields...)
}

// sendNode queues a frame for a node. If the queue is full, the node is disconnected; it
// subscribes again and gets what it missed.
func (p *Process) sendNode(message NodeFrame) {
	p.metrics.countFrame(message.Frame)
	queue, connected := p.nodeQueues[message.Connection]
	if connected && !queue.TryPush(message.Frame) {
		p.dropNode(message.Connection)
	}
}

func (p *Process) dropNode(connection ConnectionID) {
	if queue, connected := p.nodeQueues[connection]; connected {
		queue.Close()
		delete(p.nodeQueues, connection)
		p.heartbeatDistributor.RemoveNode(uint64(connection))
	}
	if p.core != nil {
		p.core.Unsubscribe(connection)
	}
}

// resetFolder empties the data folder of a removed member.
func (p *Process) resetFolder() {
	p.closeCore()
	p.reopenAt = time.Time{}
	folder, err := wal.OpenDir(p.settings.DataFolder)
	if err == nil {
		err = wal.Clear(folder)
	}
	if err != nil {
		p.logger.Event(eventlog.DiskFailed, "err", err)
	}
}
