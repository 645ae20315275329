// Package edge provides the process of a node that stands between callers and
// targets: it takes packets, decides by the steer core and forwards them. It
// follows the control members' updates and tells routers whether it is ready.
package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/heartbeat"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/strength"
)

const (
	// inputCapacity is the number of inputs that wait for the core: no more than
	// 4 MB of datagrams.
	inputCapacity = 2048
	// inputBatch is the number of inputs after which the sender looks at the link: few
	// enough that what waits leaves in time while the ring is full.
	inputBatch = 64
	// reportInterval is the time between two reports about targets.
	reportInterval = 100 * time.Millisecond
	// reportsPerSweep is the number of reports after which idle flows are
	// forgotten.
	reportsPerSweep = 10
	// reportsPerHeard is the number of reports of which one tells the heartbeats.
	reportsPerHeard = 5
	// beatStateAge is the greatest age of the node's state with which it
	// acknowledges heartbeats.
	beatStateAge = time.Second
)

// Settings are the settings of a node's process.
type Settings struct {
	Name string
	Zone string
	// PacketAddress is the UDP address for packets from callers.
	PacketAddress string
	// Seeds are addresses of control members, some of which may be gone.
	Seeds []string
	// HeartbeatAddress is the address at which this node takes heartbeats of targets, or
	// "" when it takes none.
	HeartbeatAddress string
	// Link is what is stated of the machine's own link.
	Link egress.Link
	// Strength is what is stated of the machine.
	Strength strength.Resources
	// AnnouncementAddress is the UDP address at which members announce themselves, or "".
	AnnouncementAddress string
	// DrainTime is how long the node forwards after it was told to stop.
	DrainTime time.Duration
	Format    Format
	Core      steer.Settings
}

// Process runs a node: one goroutine owns the core, others have one duty each
// and reach it through a bounded ring.
type Process struct {
	settings   Settings
	logger     *eventlog.Logger
	started    time.Time
	core       *steer.Core
	socket     *net.UDPConn
	socketErr  error
	port       uint16
	inputs     *ring.Ring[input]
	buffers    sync.Pool
	sender     *sender
	subscriber *subscriber
	prober     *prober
	metrics    *metrics
	beats      *heartbeat.Cache
	ready      atomic.Bool
	leaving    atomic.Bool
	group      sync.WaitGroup
	stopped    chan struct{}
	ticks      int
	waiting    *waitlist
	// releasing is set while what has waited is being sent.
	releasing bool
	// flows is the number of flows that a node of any strength keeps at most.
	flows       int
	connections *hosting.Connections
	// placed is set once a new flow was placed.
	placed bool
}

// maxDrainTime is how long a node forwards after it was told to stop: routers look at
// a node twice a second and leave it out after two misses.
const maxDrainTime = 2200 * time.Millisecond

// DrainTimeWithin returns how long a node forwards that is killed some time after
// it was told to stop; 0 means that it is not killed.
func DrainTimeWithin(grace time.Duration) time.Duration {
	if grace <= 0 {
		return maxDrainTime
	}
	return min(maxDrainTime, grace/2)
}

// NewProcess prepares a node. The socket for packets is opened before all else, so that
// what comes meanwhile waits in it; Run reports when that failed.
func NewProcess(settings Settings, logger *eventlog.Logger) *Process {
	socket, socketErr := listenUDP("edge.listen", settings.PacketAddress)
	settings.Core.Name = settings.Name
	settings.Core.Zone = settings.Zone
	flows := settings.Core.FlowLimit
	settings.Core.FlowLimit = settings.Strength.MaxFlows(flows, steer.FlowBytes)
	settings.Core.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	process := &Process{
		settings: settings,
		logger:   logger,
		started:  time.Now(),
		core:     steer.New(settings.Core),
		inputs:   ring.New[input](inputCapacity),
		buffers:  sync.Pool{New: func() any { return new([maxDatagram]byte) }},
		metrics:  newMetrics(),
		beats:    heartbeat.NewCache(),
		stopped:  make(chan struct{}),
		waiting:  newWaitlist(),
		flows:    flows,

		socket:    socket,
		socketErr: socketErr,
	}
	process.waiting.capacity = waitingOf(settings.Strength)
	process.connections = hosting.NewConnections(settings.Strength.MaxConnections(), eventlog.NodeConnectionsFull, process.metrics.set, logger)
	process.subscriber = newSubscriber(process)
	process.prober = newProber(process)
	process.sender = newSender(process, settings)
	return process
}

// now returns the time on this process's monotonic clock, which starts at one
// minute so that ages can be subtracted from it.
func (p *Process) now() kernel.Instant { return p.startedAt().Add(time.Since(p.started)) }

// startedAt returns the start of the process on its own clock.
func (p *Process) startedAt() kernel.Instant { return kernel.Instant(time.Minute) }

// IsReady reports whether routers may send new flows to this node.
func (p *Process) IsReady() bool { return p.ready.Load() && !p.leaving.Load() }

// ServeReadiness answers 200 while the node is ready, else 503.
func (p *Process) ServeReadiness(writer http.ResponseWriter, _ *http.Request) {
	if !p.IsReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// errNotTaken refuses a heartbeat that belongs to a member.
var errNotTaken = steperror.New("edge.beat", "", "the node does not know that what the heartbeat says holds")

// Beat takes a heartbeat of a target. It succeeds when what the heartbeat says is
// known to hold and the node's state is fresh. Every other one belongs to a member;
// the address is that of the one that the node follows, or "".
func (p *Process) Beat(_ context.Context, beat registry.Heartbeat) (address string, err error) {
	fresh := !p.leaving.Load() && p.subscriber.stateAge() <= beatStateAge
	taken := fresh && p.beats.Acknowledge(beat.Target.Start(), beat.Target.State)
	p.metrics.countBeat(taken)
	if !taken {
		return p.subscriber.followed(), errNotTaken
	}
	return "", nil
}

// Run serves until the context ends, then leaves: the routers hear at once
// that the node is not ready, and packets are forwarded for LeaveTime.
func (p *Process) Run(ctx context.Context) error {
	if err := p.listen(); err != nil {
		return err
	}
	p.logger.Event(eventlog.ProcessStarted, "node", p.settings.Name, "zone", p.settings.Zone)
	p.logBounds(p.settings.Strength)
	p.spawn(p.runCore)
	p.spawn(p.runTicker)
	p.spawn(p.readPackets)
	if p.settings.AnnouncementAddress != "" {
		p.spawn(p.takeAnnouncements)
	}
	p.spawn(p.subscriber.run)
	p.prober.begin()
	<-ctx.Done()
	p.leaving.Store(true)
	p.logger.Event(eventlog.StopRequested, "leave_time", p.settings.DrainTime)
	time.Sleep(p.settings.DrainTime)
	close(p.stopped)
	_ = p.socket.Close()
	p.inputs.Close()
	p.group.Wait()
	p.logger.Event(eventlog.ProcessStopped, "node", p.settings.Name)
	return nil
}

func (p *Process) spawn(duty func()) {
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		duty()
	}()
}

// listen begins to use the socket for packets.
func (p *Process) listen() error {
	socket, err := p.socket, p.socketErr
	if err != nil {
		return err
	}
	if err := socket.SetReadBuffer(readBuffer); err != nil {
		p.logger.Event(eventlog.SocketFailed, "step", "edge.buffer", "err", err)
	}
	p.port = socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	return nil
}

func listenUDP(step, text string) (*net.UDPConn, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, steperror.Wrap(step, text, err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	return socket, steperror.Wrap(step, text, err)
}
