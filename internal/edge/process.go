// Package edge runs an edge node, which forwards packets between callers and targets as
// decided by the steer core. It follows the updates of the control members and reports
// its readiness to routers.
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
	// inputCapacity is the maximum number of queued inputs, at most 4 MB of datagrams.
	inputCapacity = 2048
	// inputBatch is the number of inputs handled between two flushes of the sender. It is
	// small enough that queued datagrams leave on time while the ring is full.
	inputBatch = 64
	// reportInterval is the interval of reports about targets.
	reportInterval = 100 * time.Millisecond
	// reportsPerSweep is the number of reports between two sweeps of idle flows.
	reportsPerSweep = 10
	// reportsPerHeartbeats is the number of reports of which one includes the acknowledged
	// heartbeats.
	reportsPerHeartbeats = 5
	// maxHeartbeatStateAge is the maximum age of the node's state at which it
	// acknowledges heartbeats.
	maxHeartbeatStateAge = time.Second
)

// Settings configures a node.
type Settings struct {
	Name string
	Zone string
	// PacketAddress is the UDP address for callers' packets.
	PacketAddress string
	// Seeds are addresses of control members, not all of which need to exist.
	Seeds []string
	// HeartbeatAddress is where the node receives targets' heartbeats, or "" if it does
	// not.
	HeartbeatAddress string
	// Link describes the machine's network link.
	Link egress.Link
	// Strength describes the machine's capacity.
	Strength strength.Resources
	// AnnouncementAddress is the UDP address for announcements of members, or "".
	AnnouncementAddress string
	// DrainTime is how long the node keeps forwarding after a stop request.
	DrainTime time.Duration
	Format    Format
	Core      steer.Settings
}

// Process runs a node. One goroutine owns the core; the others send it inputs through a
// bounded ring.
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
	heartbeats *heartbeat.Cache
	ready      atomic.Bool
	draining   atomic.Bool
	group      sync.WaitGroup
	stopped    chan struct{}
	ticks      int
	waitlist   *waitlist
	// releaseRunning is set while packets are being released from the waitlist.
	releaseRunning bool
	// maxFlows is the flow limit before it is lowered by the node's strength.
	maxFlows    int
	connections *hosting.ConnectionLimiter
	// hasPlaced is set once a new flow was placed.
	hasPlaced bool
}

// maxDrainTime is the default drain time. It covers the two failed health checks after
// which routers stop sending new flows.
const maxDrainTime = 2200 * time.Millisecond

// DrainTimeWithin returns the drain time for a process that is killed after the grace
// period, where 0 means that it is not killed.
func DrainTimeWithin(grace time.Duration) time.Duration {
	if grace <= 0 {
		return maxDrainTime
	}
	return min(maxDrainTime, grace/2)
}

// NewProcess creates a node. It opens the packet socket first so that early datagrams are
// buffered; Run returns the error if that failed.
func NewProcess(settings Settings, logger *eventlog.Logger) *Process {
	socket, socketErr := listenUDP("edge.listen", settings.PacketAddress)
	settings.Core.Name = settings.Name
	settings.Core.Zone = settings.Zone
	maxFlows := settings.Core.FlowLimit
	settings.Core.FlowLimit = settings.Strength.MaxFlows(maxFlows, steer.FlowBytes)
	settings.Core.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	process := &Process{
		settings:   settings,
		logger:     logger,
		started:    time.Now(),
		core:       steer.New(settings.Core),
		inputs:     ring.New[input](inputCapacity),
		buffers:    sync.Pool{New: func() any { return new([maxDatagram]byte) }},
		metrics:    newMetrics(),
		heartbeats: heartbeat.NewCache(),
		stopped:    make(chan struct{}),
		waitlist:   newWaitlist(),
		maxFlows:   maxFlows,

		socket:    socket,
		socketErr: socketErr,
	}
	process.waitlist.capacity = waitlistCapacity(settings.Strength)
	process.connections = hosting.NewConnectionLimiter(settings.Strength.MaxConnections(), eventlog.NodeConnectionsFull, process.metrics.set, logger)
	process.subscriber = newSubscriber(process)
	process.prober = newProber(process)
	process.sender = newSender(process, settings)
	return process
}

// now returns the time on the process's monotonic clock. It starts at one minute, so that
// durations can be subtracted without going negative.
func (p *Process) now() kernel.Instant { return p.startedAt().Add(time.Since(p.started)) }

// startedAt returns the start of the process on its clock.
func (p *Process) startedAt() kernel.Instant { return kernel.Instant(time.Minute) }

// IsReady reports whether routers may send new flows to this node.
func (p *Process) IsReady() bool { return p.ready.Load() && !p.draining.Load() }

// ServeReadiness responds with 200 if the node is ready and 503 otherwise.
func (p *Process) ServeReadiness(writer http.ResponseWriter, _ *http.Request) {
	if !p.IsReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// errNotAcknowledged is returned for a heartbeat that only a member may acknowledge.
var errNotAcknowledged = steperror.New("edge.beat", "", "the node does not know that what the heartbeat says holds")

// HandleHeartbeat handles a heartbeat of a target. It succeeds if the heartbeat agrees with
// the committed state and the node's state is fresh. Otherwise it returns an error and the
// address of the followed member, to which the heartbeat should be sent, or "" if there is
// none.
func (p *Process) HandleHeartbeat(_ context.Context, beat registry.Heartbeat) (address string, err error) {
	fresh := !p.draining.Load() && p.subscriber.stateAge() <= maxHeartbeatStateAge
	acknowledged := fresh && p.heartbeats.Acknowledge(beat.Target.Start(), beat.Target.State)
	p.metrics.countHeartbeat(acknowledged)
	if !acknowledged {
		return p.subscriber.followedAddress(), errNotAcknowledged
	}
	return "", nil
}

// Run serves until the context ends. It then reports not ready at once and keeps
// forwarding packets for DrainTime.
func (p *Process) Run(ctx context.Context) error {
	if err := p.listen(); err != nil {
		return err
	}
	p.logger.Event(eventlog.ProcessStarted, "node", p.settings.Name, "zone", p.settings.Zone)
	p.logLimits(p.settings.Strength)
	p.spawn(p.runCore)
	p.spawn(p.runTicker)
	p.spawn(p.readPackets)
	if p.settings.AnnouncementAddress != "" {
		p.spawn(p.listenForAnnouncements)
	}
	p.spawn(p.subscriber.run)
	p.prober.start()
	<-ctx.Done()
	p.draining.Store(true)
	p.logger.Event(eventlog.StopRequested, "leave_time", p.settings.DrainTime)
	time.Sleep(p.settings.DrainTime)
	close(p.stopped)
	_ = p.socket.Close()
	p.inputs.Close()
	p.group.Wait()
	p.logger.Event(eventlog.ProcessStopped, "node", p.settings.Name)
	return nil
}

func (p *Process) spawn(run func()) {
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		run()
	}()
}

// listen configures the packet socket and reports whether it was opened.
func (p *Process) listen() error {
	socket, err := p.socket, p.socketErr
	if err != nil {
		return err
	}
	if err := socket.SetReadBuffer(socketReadBuffer); err != nil {
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
