package registry

import (
	"context"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// input is a message for the goroutine that owns the core.
type input interface {
	handle(p *Process, now kernel.Instant) Output
}

type tickInput struct{}

func (tickInput) handle(p *Process, now kernel.Instant) Output {
	if p.core == nil {
		return Output{}
	}
	p.core.RecordHeartbeats(now, p.heartbeats.TakeAcknowledged())
	if !p.core.KnowsLeader() {
		p.metrics.leaderlessSeconds.Add(tickInterval.Seconds())
	}
	return p.core.Tick(now)
}

type frameInput struct{ frame wire.Frame }

func (i frameInput) handle(p *Process, now kernel.Instant) Output {
	if p.core == nil {
		return Output{}
	}
	return p.core.HandleFrame(now, i.frame)
}

type subscribeInput struct {
	connection ConnectionID
	subscribe  Subscribe
	queue      *ring.Ring[wire.Frame]
}

func (i subscribeInput) handle(p *Process, now kernel.Instant) Output {
	if p.core == nil {
		i.queue.Close()
		return Output{}
	}
	// The node connected before this member had read its disk and could refer it.
	if table := p.referrals.Load(); table.refers(i.subscribe) {
		p.metrics.referrals.Inc()
		i.queue.TryPush(table.frame)
		i.queue.Close()
		return Output{}
	}
	p.nodeQueues[i.connection] = i.queue
	p.heartbeatDistributor.AddNode(uint64(i.connection), i.subscribe.Zone, i.subscribe.HeartbeatAddress)
	p.heartbeatDistributor.SetStrength(uint64(i.connection), i.subscribe.Strength)
	p.announcer.addSubscriber(i.subscribe.AnnouncementAddress)
	return p.core.Subscribe(now, i.connection, i.subscribe)
}

type unsubscribeInput struct{ connection ConnectionID }

func (i unsubscribeInput) handle(p *Process, _ kernel.Instant) Output {
	p.dropNode(i.connection)
	return Output{}
}

// callInput runs a function on the goroutine that owns the core. The function returns the
// ticket to wait for, or 0 if the call is complete.
type callInput struct {
	run    func(core *Core, now kernel.Instant) (Ticket, Output)
	answer chan Outcome
}

func (i callInput) handle(p *Process, now kernel.Instant) Output {
	if p.core == nil {
		i.answer <- Outcome{Err: steperror.New("registry.request", p.settings.Name, "this member's disk is unavailable")}
		return Output{}
	}
	ticket, output := i.run(p.core, now)
	if ticket == 0 {
		i.answer <- Outcome{}
		return output
	}
	p.pendingCalls[ticket] = i.answer
	return output
}

// call runs a function on the goroutine that owns the core and waits for the outcome.
func (p *Process) call(ctx context.Context, run func(core *Core, now kernel.Instant) (Ticket, Output)) (directory.Result, error) {
	const step = "registry.call"
	started := time.Now()
	defer func() { p.metrics.requestSeconds.Observe(time.Since(started).Seconds()) }()
	answer := make(chan Outcome, 1)
	if !p.inputs.TryPush(callInput{run: run, answer: answer}) {
		return directory.Result{}, steperror.New(step, p.settings.Name, "the member is overloaded or stopping")
	}
	select {
	case outcome := <-answer:
		return outcome.Result, outcome.Err
	case <-ctx.Done():
		return directory.Result{}, steperror.Wrap(step, p.settings.Name, ctx.Err())
	case <-p.stopped:
		return directory.Result{}, steperror.New(step, p.settings.Name, "the member is stopping")
	}
}
