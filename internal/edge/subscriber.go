package edge

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/peerlink"
	"github.com/beamdoor/beamdoor/internal/registry"
	"github.com/beamdoor/beamdoor/internal/ring"
	"github.com/beamdoor/beamdoor/internal/steer"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// SilenceLimit is the longest time without a byte from a member.
	SilenceLimit = 3*registry.AliveInterval + 100*time.Millisecond
	// NotCurrentLimit is how long a member may be not current.
	NotCurrentLimit = 700 * time.Millisecond
	// reportCapacity is the number of reports that wait for a slow member.
	reportCapacity = 8
	// retryPause is the wait between two attempts to reach a member.
	retryPause = 40 * time.Millisecond
	// FarLimit is how long the node stays with a member of another zone
	// before it tries one of its own zone again that it has left for a fault.
	FarLimit = 8 * time.Second
	// farSpread is the time over which the nodes of a fleet go to members of their
	// own zones: hundreds at once would hold up those members. A fleet that has
	// just been founded registers its targets in its first seconds, and each
	// registration goes to each node, so a longer time costs bytes between zones.
	farSpread = time.Second
)

// errNearer ends the stream of a far member.
var errNearer = errors.New("a member of the own zone is tried")

// errReferred ends the stream of a seed that names the group's members.
var errReferred = errors.New("the member names others")

// errEmpty ends the stream of a member that knows nothing.
var errEmpty = errors.New("the member has no place in the group")

// subscriber follows one control member at a time. One goroutine owns it but
// for the seeds.
type subscriber struct {
	process  *Process
	revision uint64
	// list holds the members that can be followed.
	list     *steer.MemberList
	suspects []directory.Token
	lost     []directory.Token
	// emptyMet is the number of signs of life from members that know nothing since
	// the last one from a member that was current.
	emptyMet int

	// following is the address of the member that is followed, or "".
	following atomic.Pointer[string]
	// currentAt is when a member last said that it was current.
	currentAt atomic.Pointer[time.Time]

	mutex sync.Mutex
	// seeds are taken over into the list before the next attempt.
	seeds []string
	// reports is the queue to the member that is followed, or nil.
	reports *ring.Ring[wire.Frame]
}

func newSubscriber(process *Process) *subscriber {
	return &subscriber{
		process: process,
		list:    steer.NewMemberList(process.settings.Zone),
		seeds:   process.settings.Seeds,
	}
}

func (s *subscriber) setSeeds(seeds []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seeds = seeds
}

func (s *subscriber) currentSeeds() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.seeds)
}

// run follows members until the process stops. After each member that was
// followed the order is made anew, since more members may be known by then.
func (s *subscriber) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-s.process.stopped
		cancel()
	}()
	for ctx.Err() == nil {
		connection, member := s.reach(ctx)
		if connection == nil {
			return
		}
		if errors.Is(s.follow(connection, member), errReferred) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// reach connects to the first member in the list's order that answers, the
// next one beside those that have not yet. It returns nil once the process stops.
func (s *subscriber) reach(ctx context.Context) (net.Conn, directory.Member) {
	tried := map[string]directory.Member{}
	var order []directory.Member
	connection, address, err := peerlink.DialFirst(ctx, func() (string, bool) {
		if len(order) == 0 {
			s.list.Seeds = s.currentSeeds()
			order = s.list.Order()
		}
		member := order[0]
		order = order[1:]
		tried[member.Address] = member
		s.list.NoteFault(member.Address, s.process.now())
		return member.Address, true
	})
	if err != nil {
		return nil, directory.Member{}
	}
	s.list.NoteFault(address, s.process.now())
	return connection, tried[address]
}

// follow takes updates from a member until it is silent or not current, and
// returns why it ended.
func (s *subscriber) follow(connection net.Conn, member directory.Member) error {
	defer func() { _ = connection.Close() }()
	if err := peerlink.Write(connection, wire.AppendFrame(nil, s.subscription().Frame())); err != nil {
		s.process.logger.Sampled(eventlog.ControlLost, "address", member.Address, "err", err)
		return err
	}
	s.process.logger.Sampled(eventlog.ControlConnected, "address", member.Address, "zone", member.Zone, "revision", s.revision)
	s.following.Store(&member.Address)
	defer s.following.Store(nil)
	s.openReports(connection)
	defer s.closeReports()
	err := s.read(connection, member)
	if errors.Is(err, errNearer) {
		s.list.ClearFaults()
	}
	s.process.logger.Sampled(eventlog.ControlLost, "address", member.Address, "err", err)
	return err
}

// subscription returns what the node asks a member for.
func (s *subscriber) subscription() registry.Subscribe {
	return registry.Subscribe{
		Node:      s.process.settings.Name,
		Zone:      s.process.settings.Zone,
		Revision:  s.revision,
		Waited:    time.Since(s.process.started),
		Beats:     s.process.settings.Beats,
		Referable: len(s.list.Members) == 0,
	}
}

func (s *subscriber) read(connection net.Conn, member directory.Member) error {
	reader := bufio.NewReader(peerlink.NewReader(connection, SilenceLimit))
	currentAt := time.Now()
	var leaveAt time.Time
	for {
		frame, err := wire.ReadFrame(reader)
		if err != nil {
			return err
		}
		switch frame.Kind {
		case wire.FrameUpdate:
			err = s.receiveUpdate(frame.Payload)
		case wire.FrameRemembered:
			err = s.receiveRemembered(frame.Payload)
		case wire.FrameAlive:
			currentAt, err = s.receiveAlive(frame.Payload, currentAt)
		case wire.FrameReferral:
			err = s.receiveReferral(frame.Payload)
		}
		if err != nil {
			return err
		}
		if !s.list.IsFar(member) {
			continue
		}
		if leaveAt.IsZero() {
			leaveAt = time.Now().Add(s.farTime())
		}
		if time.Now().After(leaveAt) {
			return steperror.Wrap("edge.follow", member.Address, errNearer)
		}
	}
}

// farTime returns how long the node stays with a far member: not long when a
// member of its own zone has not been tried yet.
func (s *subscriber) farTime() time.Duration {
	spread := rand.N(farSpread)
	if s.list.HasUntriedNear() {
		return spread
	}
	return FarLimit + spread
}

// receiveReferral takes the members that a seed names.
func (s *subscriber) receiveReferral(payload []byte) error {
	referral, err := registry.DecodeReferral(payload)
	if err != nil {
		return err
	}
	s.list.Members = referral.Members
	return steperror.Wrap("edge.follow", "", errReferred)
}

// receiveRemembered takes the targets that a member knows of before it knows
// more.
func (s *subscriber) receiveRemembered(payload []byte) error {
	targets, err := directory.DecodeTargets(payload)
	if err == nil {
		s.process.inputs.Push(rememberedInput{targets: targets})
	}
	return err
}

func (s *subscriber) receiveUpdate(payload []byte) error {
	update, err := directory.DecodeUpdate(payload)
	if err != nil {
		return err
	}
	return s.apply(update)
}

// apply hands an update to the goroutine that owns the core.
func (s *subscriber) apply(update directory.Update) error {
	answer := make(chan updateOutcome, 1)
	if !s.process.inputs.Push(updateInput{update: update, answer: answer}) {
		return steperror.New("edge.apply", "", "the node is stopping")
	}
	outcome := <-answer
	if !outcome.fits {
		s.revision = 0
		return steperror.New("edge.apply", "", "the update does not fit")
	}
	s.revision = outcome.revision
	s.list.Members = outcome.members
	return nil
}

// receiveAlive notes whether the member is current. A member that has not
// been for too long is left for another one.
func (s *subscriber) receiveAlive(payload []byte, currentAt time.Time) (time.Time, error) {
	alive, err := registry.DecodeAlive(payload)
	if err != nil {
		return currentAt, err
	}
	if !alive.Current {
		if s.leavesEmpty(alive) {
			return currentAt, steperror.Wrap("edge.follow", "", errEmpty)
		}
		if time.Since(currentAt) > NotCurrentLimit {
			return currentAt, steperror.New("edge.follow", "", "the member is not current")
		}
		return currentAt, nil
	}
	if !slices.Equal(alive.Suspects, s.suspects) || !slices.Equal(alive.Lost, s.lost) {
		s.suspects = alive.Suspects
		s.lost = alive.Lost
		s.process.inputs.Push(verdictsInput{suspects: alive.Suspects, lost: alive.Lost})
	}
	now := time.Now()
	s.currentAt.Store(&now)
	s.emptyMet = 0
	return now, nil
}

// leavesEmpty reports whether a member that knows nothing is left at once. Once
// all were found to know nothing, the group is being founded, and the node waits.
func (s *subscriber) leavesEmpty(alive registry.Alive) bool {
	if !alive.Empty || s.revision > 0 {
		return false
	}
	s.emptyMet++
	return s.emptyMet < s.list.Len()
}

// followed returns the address of the member that is followed, or "".
func (s *subscriber) followed() string {
	if address := s.following.Load(); address != nil {
		return *address
	}
	return ""
}

// stateAge returns how long ago a member last said that it was current; since
// the start when none has.
func (s *subscriber) stateAge() time.Duration {
	if at := s.currentAt.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Since(s.process.started)
}

// openReports starts the goroutine that sends reports to a member.
func (s *subscriber) openReports(connection net.Conn) {
	queue := ring.New[wire.Frame](reportCapacity)
	s.mutex.Lock()
	s.reports = queue
	s.mutex.Unlock()
	go func() {
		for {
			frame, open := queue.Pop()
			if !open {
				return
			}
			if err := peerlink.Write(connection, wire.AppendFrame(nil, frame)); err != nil {
				_ = connection.Close()
				return
			}
		}
	}()
}

func (s *subscriber) closeReports() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reports.Close()
	s.reports = nil
}

// report sends evidence and the targets heard to the member that is followed. Without one, or when
// the member does not read, it is dropped: the next report says the same.
func (s *subscriber) report(evidence steer.Evidence, heard []directory.Token) {
	message := registry.Evidence{Answering: evidence.Answering, Heard: heard}
	for _, silent := range evidence.Silent {
		message.Silent = append(message.Silent, registry.SilentTarget{Token: silent.Token, Weight: silent.Weight, Nodes: 1})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reports != nil && !message.IsEmpty() {
		s.reports.TryPush(message.Frame())
	}
}
