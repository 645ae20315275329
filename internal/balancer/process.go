// Package balancer provides the process around the routing core: sockets for
// callers, targets and other balancers, the connection to the control plane,
// metrics and explanations. Each duty has a goroutine, joined by bounded
// rings.
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
	// lingerQuiet is how long no caller's packet may come before a leaving
	// balancer holds the fabric's list for updated.
	lingerQuiet = 1500 * time.Millisecond
	// lingerLimit bounds a planned stop.
	lingerLimit = 45 * time.Second
)

// input is a typed message for the goroutine that owns the router.
type input interface {
	handle(p *Process, now kernel.Instant) []routing.Action
}

// Process runs a balancer.
type Process struct {
	settings *settings.Balancer
	logger   *eventlog.Logger
	router   *routing.Router
	started  time.Time
	inputs   *ring.Ring[input]
	toTarget *sender
	toCaller *sender
	toPeer   *sender
	control  *controlLink
	metrics  *metrics
	server   *http.Server
	fabric   netip.AddrPort

	callers *net.UDPConn
	targets *net.UDPConn
	peers   *net.UDPConn

	lastCaller kernel.Instant
	leaving    bool
	leavingAt  kernel.Instant
	joined     bool

	group    sync.WaitGroup
	stopped  chan struct{}
	stopOnce sync.Once
}

// NewProcess prepares a balancer. Nothing listens yet.
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

// now returns the time on this process's monotonic clock.
func (p *Process) now() kernel.Instant { return kernel.Instant(time.Since(p.started)) }

// Run serves until the context ends, and then leaves in a planned way. The
// force channel ends it at once.
func (p *Process) Run(ctx context.Context, force <-chan struct{}) error {
	if err := p.listen(); err != nil {
		return err
	}
	p.logger.Event(eventlog.ProcessStarted, "name", p.settings.Name, "cell", p.settings.Cell, "zone", p.settings.Zone)
	p.startDuties()
	select {
	case <-ctx.Done():
		p.logger.Event(eventlog.StopRequested)
		p.inputs.Push(leaveInput{})
	case <-force:
	}
	select {
	case <-p.stopped:
	case <-force:
	case <-time.After(lingerLimit):
		p.logger.Event(eventlog.DrainLingerExpired)
	}
	p.stop()
	p.group.Wait()
	p.logger.Event(eventlog.ProcessStopped, "name", p.settings.Name)
	return nil
}

func (p *Process) startDuties() {
	p.spawn(p.runRouter)
	p.spawn(p.runTicker)
	p.spawn(func() { p.readCallers(p.callers) })
	p.spawn(func() { p.readTargets(p.targets) })
	p.spawn(func() { p.readPeers(p.peers) })
	p.spawn(p.toTarget.run)
	p.spawn(p.toCaller.run)
	p.spawn(p.toPeer.run)
	p.spawn(p.control.run)
}

func (p *Process) spawn(duty func()) {
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		duty()
	}()
}

func (p *Process) stop() {
	p.stopOnce.Do(func() { close(p.stopped) })
	_ = p.callers.Close()
	_ = p.targets.Close()
	_ = p.peers.Close()
	_ = p.server.Close()
	p.inputs.Close()
	p.toTarget.close()
	p.toCaller.close()
	p.toPeer.close()
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
	p.toTarget = newSender(p.targets, p.logger)
	p.toCaller = newSender(p.callers, p.logger)
	p.toPeer = newSender(p.peers, p.logger)
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

// runRouter owns the router until the ring is closed.
func (p *Process) runRouter() {
	var batch []input
	for {
		var open bool
		batch, open = p.inputs.PopBatch(batch[:0], inputBatch)
		if !open {
			return
		}
		for _, message := range batch {
			p.dispatch(message.handle(p, p.now()))
			if packet, ok := message.(*packetInput); ok {
				packet.release()
			}
		}
	}
}

type tickInput struct{}

func (tickInput) handle(p *Process, now kernel.Instant) []routing.Action {
	p.metrics.observe(now, p.router, p.inputs.Dropped())
	p.checkLeave(now)
	return p.router.Tick(now)
}

type leaveInput struct{}

func (leaveInput) handle(p *Process, now kernel.Instant) []routing.Action {
	p.leaving = true
	p.leavingAt = now
	return p.router.Leave(now)
}

// checkLeave ends the process once the balancer is out of the view, the
// fabric has stopped sending to it and nothing is under way.
func (p *Process) checkLeave(now kernel.Instant) {
	p.joined = p.joined || p.router.InView()
	if !p.leaving {
		return
	}
	out := !p.router.InView()
	quietSince := max(p.lastCaller, p.leavingAt)
	quiet := now.Sub(quietSince) > lingerQuiet
	if out && quiet && (p.router.HasNoPendingRequests() || !p.joined) {
		p.stopOnce.Do(func() { close(p.stopped) })
	}
}

// query runs a function on the goroutine that owns the router.
type query struct {
	run  func(router *routing.Router, now kernel.Instant)
	done chan struct{}
}

func (q query) handle(p *Process, now kernel.Instant) []routing.Action {
	q.run(p.router, now)
	close(q.done)
	return nil
}

func (p *Process) ask(ctx context.Context, run func(router *routing.Router, now kernel.Instant)) error {
	question := query{run: run, done: make(chan struct{})}
	if !p.inputs.TryPush(question) {
		return steperror.New("balancer.ask", "", "the balancer is overloaded or stopping")
	}
	select {
	case <-question.done:
		return nil
	case <-ctx.Done():
		return steperror.Wrap("balancer.ask", "", ctx.Err())
	}
}
