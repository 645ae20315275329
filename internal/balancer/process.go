// Package balancer runs the routing core as a process: UDP sockets for callers,
// targets and other balancers, the connection to the control plane, metrics and the
// admin API. Goroutines exchange messages through bounded ring buffers.
package balancer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/settings"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	inputCapacity  = 16384
	outputCapacity = 16384
	inputBatch     = 256
	tickInterval   = 50 * time.Millisecond
	// drainQuietPeriod is the time without caller packets after which a leaving
	// balancer assumes that the network fabric no longer routes to it.
	drainQuietPeriod = 1500 * time.Millisecond
	// drainTimeout is the longest time that Run waits for the balancer to drain.
	drainTimeout = 45 * time.Second
)

// input is a message for the goroutine that owns the router.
type input interface {
	handle(p *Process, now kernel.Instant) []routing.Action
}

// Process runs a balancer: the router, its sockets and its admin server.
type Process struct {
	settings     *settings.Balancer
	logger       *eventlog.Logger
	router       *routing.Router
	started      time.Time
	inputs       *ring.Ring[input]
	targetSender *sender
	callerSender *sender
	peerSender   *sender
	control      *controlLink
	metrics      *metrics
	server       *http.Server
	fabric       netip.AddrPort

	callers *net.UDPConn
	targets *net.UDPConn
	peers   *net.UDPConn

	lastCallerPacketAt kernel.Instant
	leaving            bool
	leaveRequestedAt   kernel.Instant
	wasInView          bool

	group    sync.WaitGroup
	stopped  chan struct{}
	stopOnce sync.Once
}

// NewProcess creates a balancer. It opens no sockets; Run does.
func NewProcess(loaded *settings.Balancer, router routing.Settings, logger *eventlog.Logger) (*Process, error) {
	process := &Process{
		settings: loaded,
		logger:   logger,
		started:  time.Now(),
		inputs:   ring.New[input](inputCapacity),
		stopped:  make(chan struct{}),
	}
	process.fabric, _ = netip.ParseAddrPort(loaded.Fabric)
	router.Name = loaded.Name
	router.Zone = loaded.Zone
	router.Cell = loaded.Cell
	router.Peer = loaded.Peers
	router.Admin = loaded.Admin
	router.Nonce = rand.Uint64()
	router.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core, err := routing.NewRouter(process.now(), router)
	if err != nil {
		return nil, err
	}
	process.router = core
	process.metrics = newMetrics()
	process.control = newControlLink(process)
	return process, nil
}

// now returns the monotonic time since the process started.
func (p *Process) now() kernel.Instant { return kernel.Instant(time.Since(p.started)) }

// Run serves until the context is cancelled. It then leaves the view and returns once
// the balancer is drained, after drainTimeout at the latest. Closing force makes it
// return without draining.
func (p *Process) Run(ctx context.Context, force <-chan struct{}) error {
	if err := p.listen(); err != nil {
		return err
	}
	p.logger.Event(eventlog.ProcessStarted, "name", p.settings.Name, "cell", p.settings.Cell, "zone", p.settings.Zone)
	p.startGoroutines()
	select {
	case <-ctx.Done():
		p.logger.Event(eventlog.StopRequested)
		p.inputs.Push(leaveInput{})
	case <-force:
	}
	select {
	case <-p.stopped:
	case <-force:
	case <-time.After(drainTimeout):
		p.logger.Event(eventlog.DrainLingerExpired)
	}
	p.stop()
	p.group.Wait()
	p.logger.Event(eventlog.ProcessStopped, "name", p.settings.Name)
	return nil
}

func (p *Process) startGoroutines() {
	p.spawn(p.runRouter)
	p.spawn(p.runTicker)
	p.spawn(func() { p.readCallers(p.callers) })
	p.spawn(func() { p.readTargets(p.targets) })
	p.spawn(func() { p.readPeers(p.peers) })
	p.spawn(p.targetSender.run)
	p.spawn(p.callerSender.run)
	p.spawn(p.peerSender.run)
	p.spawn(p.control.run)
}

func (p *Process) spawn(task func()) {
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		task()
	}()
}

func (p *Process) stop() {
	p.stopOnce.Do(func() { close(p.stopped) })
	_ = p.callers.Close()
	_ = p.targets.Close()
	_ = p.peers.Close()
	_ = p.server.Close()
	p.inputs.Close()
	p.targetSender.close()
	p.callerSender.close()
	p.peerSender.close()
	p.control.close()
}

func (p *Process) listen() error {
	var err error
	if p.callers, err = listenUDP(p.settings.Callers); err != nil {
		return err
	}
	if p.targets, err = listenUDP(p.settings.Targets); err != nil {
		return err
	}
	if p.peers, err = listenUDP(p.settings.Peers); err != nil {
		return err
	}
	p.targetSender = newSender(p.targets, p.logger)
	p.callerSender = newSender(p.callers, p.logger)
	p.peerSender = newSender(p.peers, p.logger)
	listener, err := net.Listen("tcp", p.settings.Admin)
	if err != nil {
		return steperror.Wrap("balancer.listen", p.settings.Admin, err)
	}
	p.server = &http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: time.Second}
	p.spawn(func() { _ = p.server.Serve(listener) })
	return nil
}

func (p *Process) runTicker() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.inputs.TryPush(tickInput{})
		case <-p.stopped:
			return
		}
	}
}

// runRouter applies inputs to the router until the ring is closed. No other
// goroutine accesses the router.
func (p *Process) runRouter() {
	var batch []input
	for {
		var open bool
		batch, open = p.inputs.PopBatch(batch[:0], inputBatch)
		if !open {
			return
		}
		for _, item := range batch {
			p.dispatch(item.handle(p, p.now()))
			if packet, ok := item.(*packetInput); ok {
				packet.release()
			}
		}
	}
}

type tickInput struct{}

func (tickInput) handle(p *Process, now kernel.Instant) []routing.Action {
	p.metrics.observe(now, p.router, p.inputs.Dropped())
	p.stopWhenDrained(now)
	return p.router.Tick(now)
}

type leaveInput struct{}

func (leaveInput) handle(p *Process, now kernel.Instant) []routing.Action {
	p.leaving = true
	p.leaveRequestedAt = now
	return p.router.Leave(now)
}

// stopWhenDrained stops a leaving process once the balancer is out of the view, no
// caller packets arrive and no requests are pending. A balancer that was never in a
// view does not wait for pending requests.
func (p *Process) stopWhenDrained(now kernel.Instant) {
	p.wasInView = p.wasInView || p.router.InView()
	if !p.leaving {
		return
	}
	outOfView := !p.router.InView()
	quietSince := max(p.lastCallerPacketAt, p.leaveRequestedAt)
	quiet := now.Sub(quietSince) > drainQuietPeriod
	if outOfView && quiet && (p.router.HasNoPendingRequests() || !p.wasInView) {
		p.stopOnce.Do(func() { close(p.stopped) })
	}
}

// queryInput calls a function on the goroutine that owns the router.
type queryInput struct {
	run  func(router *routing.Router, now kernel.Instant)
	done chan struct{}
}

func (q queryInput) handle(p *Process, now kernel.Instant) []routing.Action {
	q.run(p.router, now)
	close(q.done)
	return nil
}

// query calls run on the goroutine that owns the router and waits until it returns.
// After an error, run may still be called later.
func (p *Process) query(ctx context.Context, run func(router *routing.Router, now kernel.Instant)) error {
	request := queryInput{run: run, done: make(chan struct{})}
	if !p.inputs.TryPush(request) {
		return steperror.New("balancer.ask", "", "the input queue is full or closed: the balancer is overloaded or stopping")
	}
	select {
	case <-request.done:
		return nil
	case <-ctx.Done():
		return steperror.Wrap("balancer.ask", "", ctx.Err())
	}
}
