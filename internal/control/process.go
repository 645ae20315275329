package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/settings"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/store"
	"github.com/beamdoor/beamdoor/internal/wal"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	inputCapacity  = 8192
	outputCapacity = 4096
	tickInterval   = 50 * time.Millisecond
	maxBatchSize   = 256
)

// input is a message for the goroutine that owns the core.
type input interface {
	handle(p *Process, now kernel.Instant) Output
}

// Process runs a control member. One goroutine owns the core; the others send it inputs
// through a bounded ring buffer.
type Process struct {
	settings       *settings.Control
	logger         *eventlog.Logger
	core           *Core
	log            *wal.Log
	started        time.Time
	inputs         *ring.Ring[input]
	members        map[raft.MemberID]*memberLink
	balancers      map[ConnectionID]*ring.Ring[wire.Frame]
	outcomeWaiters map[Token]chan Outcome
	lastToken      Token
	watchers       map[chan struct{}]bool
	metrics        *metrics
	prober         *prober

	mutex          sync.Mutex
	lastConnection ConnectionID
	listeners      []net.Listener
	server         *http.Server
	failure        error
	group          sync.WaitGroup
	stopped        chan struct{}
	stopOnce       sync.Once
}

// OpenProcess opens the data folder and creates a member. It opens no sockets; Run
// does.
func OpenProcess(loaded *settings.Control, core Settings, logger *eventlog.Logger) (*Process, error) {
	folder, err := wal.OpenDir(loaded.DataFolder)
	if err != nil {
		return nil, err
	}
	identity, err := wal.LoadIdentity(folder, rand.Uint64)
	if err != nil {
		return nil, err
	}
	log, restored, report, err := wal.Open(folder)
	if err != nil {
		return nil, err
	}
	if report.TornBytes > 0 {
		logger.Event(eventlog.TailCut, "bytes", report.TornBytes)
	}
	core.Raft.ID = raft.MemberID(loaded.ID)
	core.Raft.Identity = identity
	core.InitialMembers = initialMembers(loaded)
	core.SeedMembers = seedMembers(loaded)
	core.Raft.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	process := &Process{
		settings:       loaded,
		logger:         logger,
		log:            log,
		started:        time.Now(),
		inputs:         ring.New[input](inputCapacity),
		members:        map[raft.MemberID]*memberLink{},
		balancers:      map[ConnectionID]*ring.Ring[wire.Frame]{},
		outcomeWaiters: map[Token]chan Outcome{},
		watchers:       map[chan struct{}]bool{},
		metrics:        newMetrics(),
		stopped:        make(chan struct{}),
	}
	process.core, err = NewCore(process.now(), core, log, restored)
	process.prober = newProber(process)
	return process, err
}

// initialMembers returns the members of a new group, or nil unless the settings ask for
// a bootstrap.
func initialMembers(loaded *settings.Control) []*beamdoorv1.Member {
	if !loaded.Bootstrap {
		return nil
	}
	var members []*beamdoorv1.Member
	for _, member := range loaded.Members {
		members = append(members, &beamdoorv1.Member{
			Id:    member.ID,
			Peer:  member.Peer,
			Admin: member.Admin,
			Nodes: member.Nodes,
		})
	}
	return members
}

func seedMembers(loaded *settings.Control) []raft.MemberID {
	var ids []raft.MemberID
	for _, member := range loaded.Members {
		ids = append(ids, raft.MemberID(member.ID))
	}
	return ids
}

// now returns the monotonic time since the process started.
func (p *Process) now() kernel.Instant { return kernel.Instant(time.Since(p.started)) }

// Run serves until the context is cancelled or the storage fails.
func (p *Process) Run(ctx context.Context) error {
	if err := p.listen(); err != nil {
		return err
	}
	p.logger.Event(eventlog.ProcessStarted, "member", p.settings.ID, "data_folder", p.settings.DataFolder)
	p.spawn(p.runCore)
	p.spawn(p.runTicker)
	p.spawn(p.prober.run)
	select {
	case <-ctx.Done():
		p.logger.Event(eventlog.StopRequested)
	case <-p.stopped:
	}
	p.stop()
	p.group.Wait()
	p.logger.Event(eventlog.ProcessStopped, "member", p.settings.ID)
	return p.failure
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
	p.mutex.Lock()
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	p.mutex.Unlock()
	if p.server != nil {
		_ = p.server.Close()
	}
	p.inputs.Close()
}

// runTicker sends a tick to the core at every tickInterval.
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

// runCore applies inputs to the core until the ring is closed or the storage fails. No
// other goroutine accesses the core.
func (p *Process) runCore() {
	defer p.closeQueues()
	var batch []input
	for {
		var open bool
		batch, open = p.inputs.PopBatch(batch[:0], maxBatchSize)
		if !open {
			break
		}
		for _, item := range batch {
			p.dispatch(item.handle(p, p.now()))
		}
		if err := p.core.Failed(); err != nil {
			p.failure = err
			p.stopOnce.Do(func() { close(p.stopped) })
			break
		}
	}
	for token, answer := range p.outcomeWaiters {
		answer <- Outcome{Token: token, Err: steperror.New("control.propose", "", "the member is stopping")}
	}
	_ = p.log.Close()
}

// dispatch sends the messages, delivers the outcomes and logs the events of an output.
func (p *Process) dispatch(output Output) {
	for _, message := range output.Members {
		p.sendToMember(message)
	}
	for _, message := range output.Balancers {
		if queue, connected := p.balancers[message.Connection]; connected {
			queue.TryPush(message.Frame)
			p.metrics.balancerBytes.Add(float64(wire.FrameSize(message.Frame)))
		}
	}
	for _, outcome := range output.Outcomes {
		if answer, known := p.outcomeWaiters[outcome.Token]; known {
			delete(p.outcomeWaiters, outcome.Token)
			answer <- outcome
		}
	}
	for _, event := range output.Events {
		p.logger.Event(event.Event, event.Fields...)
	}
	if output.Applied {
		p.notifyWatchers()
	}
	p.metrics.observe(p.core)
}

func (p *Process) notifyWatchers() {
	for watcher := range p.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}

type tickInput struct{}

func (tickInput) handle(p *Process, now kernel.Instant) Output { return p.core.Tick(now) }

type memberInput struct {
	from  raft.MemberID
	frame wire.Frame
}

func (m memberInput) handle(p *Process, now kernel.Instant) Output {
	return p.core.HandleMemberFrame(now, m.from, m.frame)
}

type balancerInput struct {
	connection ConnectionID
	frame      wire.Frame
}

func (i balancerInput) handle(p *Process, now kernel.Instant) Output {
	return p.core.HandleBalancerFrame(now, i.connection, i.frame)
}

type balancerConnectedInput struct {
	connection ConnectionID
	queue      *ring.Ring[wire.Frame]
}

func (i balancerConnectedInput) handle(p *Process, _ kernel.Instant) Output {
	p.balancers[i.connection] = i.queue
	return Output{}
}

type balancerDisconnectedInput struct{ connection ConnectionID }

func (i balancerDisconnectedInput) handle(p *Process, _ kernel.Instant) Output {
	p.core.BalancerDisconnected(i.connection)
	delete(p.balancers, i.connection)
	return Output{}
}

type proposeInput struct {
	command store.Command
	answer  chan Outcome
}

func (i proposeInput) handle(p *Process, now kernel.Instant) Output {
	p.lastToken++
	p.outcomeWaiters[p.lastToken] = i.answer
	return p.core.Propose(now, p.lastToken, i.command)
}

type membershipInput struct {
	change membershipChange
	answer chan Outcome
}

func (i membershipInput) handle(p *Process, now kernel.Instant) Output {
	p.lastToken++
	p.outcomeWaiters[p.lastToken] = i.answer
	next, err := i.change(now, p.core)
	if err != nil {
		return Output{Outcomes: []Outcome{{Token: p.lastToken, Err: err}}}
	}
	return p.core.ProposeMembership(now, p.lastToken, next)
}

type signalsInput struct {
	cell    uint32
	targets []wire.TargetSignal
}

func (s signalsInput) handle(p *Process, now kernel.Instant) Output {
	return p.core.PublishSignals(now, s.cell, s.targets)
}

type watchInput struct {
	watcher chan struct{}
	add     bool
}

func (w watchInput) handle(p *Process, _ kernel.Instant) Output {
	if w.add {
		p.watchers[w.watcher] = true
	} else {
		delete(p.watchers, w.watcher)
	}
	return Output{}
}

// queryInput calls a function on the goroutine that owns the core.
type queryInput struct {
	run  func(core *Core, now kernel.Instant)
	done chan struct{}
}

func (q queryInput) handle(p *Process, now kernel.Instant) Output {
	q.run(p.core, now)
	close(q.done)
	return Output{}
}

var errStopping = errors.New("the member is stopping")

// query calls run on the goroutine that owns the core and waits until it returns. After
// an error, run may still be called later.
func (p *Process) query(ctx context.Context, run func(core *Core, now kernel.Instant)) error {
	request := queryInput{run: run, done: make(chan struct{})}
	if !p.inputs.TryPush(request) {
		return steperror.New("control.ask", "", "the input queue is full or closed: the member is overloaded or stopping")
	}
	select {
	case <-request.done:
		return nil
	case <-ctx.Done():
		return steperror.Wrap("control.ask", "", ctx.Err())
	case <-p.stopped:
		return steperror.Wrap("control.ask", "", errStopping)
	}
}

// submit queues an input and waits for the outcome of its proposal.
func (p *Process) submit(ctx context.Context, item input, answer chan Outcome) (store.Result, error) {
	if !p.inputs.TryPush(item) {
		return store.Result{}, steperror.New("control.submit", "", "the input queue is full or closed: the member is overloaded or stopping")
	}
	select {
	case outcome := <-answer:
		return outcome.Result, outcome.Err
	case <-ctx.Done():
		return store.Result{}, steperror.Wrap("control.submit", "", ctx.Err())
	}
}

// propose proposes a command and waits until it is applied.
func (p *Process) propose(ctx context.Context, command store.Command) (store.Result, error) {
	answer := make(chan Outcome, 1)
	command.UnixMilliseconds = time.Now().UnixMilli()
	return p.submit(ctx, proposeInput{command: command, answer: answer}, answer)
}
