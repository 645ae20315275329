package edge

import (
	"bufio"
	"context"
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
	"github.com/beamdoor/beamdoor/internal/strength"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// SilenceTimeout is the longest time without a byte from a member.
	SilenceTimeout = 3*registry.KeepaliveInterval + 100*time.Millisecond
	// gapLimit is the longest usual time between two signs of a current member.
	gapLimit = 2 * registry.KeepaliveInterval
	// reportCapacity is the number of reports that wait for a slow member.
	reportCapacity = 8
)

// subscriber follows one control member at a time. One goroutine owns it but
// for what the mutex guards.
type subscriber struct {
	process  *Process
	revision uint64
	follower *steer.Follower
	verdicts directory.Verdicts

	// following is the address of the member that is followed, or "".
	following atomic.Pointer[string]
	// currentAt is when a member last said that it was current.
	currentAt atomic.Pointer[time.Time]

	// hints tells that an announcement waits, and informed is closed once the node knows
	// members.
	hints, informed chan struct{}

	mutex sync.Mutex
	// announced is the newest announcement that was not taken yet, or nil.
	announced *registry.Announcement
	// seeds are taken over into the list before the next attempt.
	seeds []string
	// strength is what is stated of the machine, and untold is set until the member that
	// is followed has heard of a change.
	strength strength.Resources
	untold   bool
	// reports is the queue to the member that is followed, or nil.
	reports *ring.Ring[wire.Frame]
}

func newSubscriber(process *Process) *subscriber {
	return &subscriber{
		process:  process,
		follower: steer.NewFollower(steer.NewMemberList(process.settings.Zone), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		seeds:    process.settings.Seeds,
		strength: process.settings.Strength,
		hints:    make(chan struct{}, 1),
		informed: make(chan struct{}),
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

// setStrength replaces what is stated of the machine; the next report tells it.
func (s *subscriber) setStrength(stated strength.Resources) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.untold = s.untold || stated != s.strength
	s.strength = stated
}

// takeStrength returns what is stated of the machine for a subscription, which tells it.
func (s *subscriber) takeStrength() strength.Resources {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.untold = false
	return s.strength
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
		reason := s.follow(ctx, connection, member)
		select {
		case <-ctx.Done():
		case <-time.After(s.follower.RetryDelay(reason)):
		}
	}
}

// reach connects to the first member in the list's order that answers, the
// next one beside those that have not yet. It returns nil once the process stops.
func (s *subscriber) reach(ctx context.Context) (net.Conn, directory.Member) {
	tried := map[string]directory.Member{}
	var order []directory.Member
	connection, address, err := peerlink.DialFirst(ctx, func() (string, bool) {
		if announced := s.takeAnnounced(); announced != nil {
			order = announced
		}
		if len(order) == 0 {
			s.follower.List.Seeds = s.currentSeeds()
			order = s.follower.List.Order()
		}
		member := order[0]
		order = order[1:]
		tried[member.Address] = member
		s.follower.List.RecordFailure(member.Address, s.process.now())
		return member.Address, true
	}, peerlink.WithHints(s.hints))
	if err != nil {
		return nil, directory.Member{}
	}
	s.follower.List.RecordFailure(address, s.process.now())
	return connection, tried[address]
}

// follow takes updates from a member until it is silent or not current, and
// returns why it ended.
func (s *subscriber) follow(ctx context.Context, connection net.Conn, member directory.Member) error {
	closed := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer closed()
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
	s.process.logger.Sampled(eventlog.ControlLost, "address", member.Address, "err", err)
	return err
}

// subscription returns what the node asks a member for.
func (s *subscriber) subscription() registry.Subscribe {
	return registry.Subscribe{
		Node:             s.process.settings.Name,
		Zone:             s.process.settings.Zone,
		Revision:         s.revision,
		Waited:           time.Since(s.process.started),
		HeartbeatAddress: s.process.settings.HeartbeatAddress,
		Referable:        s.follower.NeedsReferral(),

		AnnouncementAddress: s.process.settings.AnnouncementAddress,
		CachesVerdicts:      true,
		Strength:            s.takeStrength(),
	}
}

func (s *subscriber) read(connection net.Conn, member directory.Member) error {
	const step = "edge.follow"
	s.follower.Follow(s.process.now(), member)
	reader := bufio.NewReader(peerlink.NewReader(connection, s.silenceLimit))
	for {
		frame, err := wire.ReadFrame(reader)
		if err == nil {
			err = s.receive(frame)
		} else {
			err = s.follower.HandleReadError(err)
		}
		if err == nil {
			err = s.follower.CheckZone(s.process.now())
		}
		if err != nil {
			return steperror.Wrap(step, member.Address, err)
		}
	}
}

// silenceLimit returns how long the node waits for the member's next byte.
func (s *subscriber) silenceLimit() time.Duration {
	return s.follower.ReadTimeout(SilenceTimeout, s.revision == 0)
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
