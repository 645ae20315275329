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
	// SilenceTimeout is the maximum time without a byte from a member.
	SilenceTimeout = 3*registry.KeepaliveInterval + 100*time.Millisecond
	// maxCurrentGap is the time between two keepalives of a current member above which
	// the gap is recorded.
	maxCurrentGap = 2 * registry.KeepaliveInterval
	// reportQueueSize is the number of reports queued for a slow member.
	reportQueueSize = 8
)

// subscriber follows one control member at a time. Except for the fields guarded by the
// mutex it is owned by one goroutine.
type subscriber struct {
	process  *Process
	revision uint64
	follower *steer.Follower
	verdicts directory.Verdicts

	// followedMember is the address of the followed member, or nil.
	followedMember atomic.Pointer[string]
	// lastCurrentAt is when a member last reported being current.
	lastCurrentAt atomic.Pointer[time.Time]

	// hints signals a new announcement. membersKnown is closed once the node knows
	// members.
	hints, membersKnown chan struct{}

	mutex sync.Mutex
	// announcement is the latest unused announcement, or nil.
	announcement *registry.Announcement
	// seeds are used from the next attempt on.
	seeds []string
	// strength is the current strength, and strengthPending is set until the followed
	// member has been sent a change.
	strength        strength.Resources
	strengthPending bool
	// reports is the queue to the followed member, or nil.
	reports *ring.Ring[wire.Frame]
}

func newSubscriber(process *Process) *subscriber {
	return &subscriber{
		process:      process,
		follower:     steer.NewFollower(steer.NewMemberList(process.settings.Zone), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		seeds:        process.settings.Seeds,
		strength:     process.settings.Strength,
		hints:        make(chan struct{}, 1),
		membersKnown: make(chan struct{}),
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

// setStrength changes the strength, which is sent with the next report.
func (s *subscriber) setStrength(resources strength.Resources) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.strengthPending = s.strengthPending || resources != s.strength
	s.strength = resources
}

// strengthToSend returns the strength for a subscription, which also sends it.
func (s *subscriber) strengthToSend() strength.Resources {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.strengthPending = false
	return s.strength
}

// run follows members until the process stops. The order is rebuilt after each one, since
// more members may be known by then.
func (s *subscriber) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-s.process.stopped
		cancel()
	}()
	for ctx.Err() == nil {
		connection, member := s.connect(ctx)
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

// connect connects to members in order, overlapping the attempts, and returns the first
// connection. It records each member it tries as failed, and the connected one last, so
// that the others come first next time. It returns nil once the process stops.
func (s *subscriber) connect(ctx context.Context) (net.Conn, directory.Member) {
	tried := map[string]directory.Member{}
	var order []directory.Member
	connection, address, err := peerlink.DialFirst(ctx, func() (string, bool) {
		if announced := s.takeAnnouncedMembers(); announced != nil {
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

// follow receives updates from a member until it fails, and returns the reason.
func (s *subscriber) follow(ctx context.Context, connection net.Conn, member directory.Member) error {
	closed := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer closed()
	defer func() { _ = connection.Close() }()
	if err := peerlink.Write(connection, wire.AppendFrame(nil, s.subscription().Frame())); err != nil {
		s.process.logger.Sampled(eventlog.ControlLost, "address", member.Address, "err", err)
		return err
	}
	s.process.logger.Sampled(eventlog.ControlConnected, "address", member.Address, "zone", member.Zone, "revision", s.revision)
	s.followedMember.Store(&member.Address)
	defer s.followedMember.Store(nil)
	s.startReports(connection)
	defer s.stopReports()
	err := s.read(connection, member)
	s.process.logger.Sampled(eventlog.ControlLost, "address", member.Address, "err", err)
	return err
}

// subscription returns the subscription to send to a member.
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
		Strength:            s.strengthToSend(),
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

// silenceLimit returns the read timeout for the current member.
func (s *subscriber) silenceLimit() time.Duration {
	return s.follower.ReadTimeout(SilenceTimeout, s.revision == 0)
}

// followedAddress returns the address of the followed member, or "".
func (s *subscriber) followedAddress() string {
	if address := s.followedMember.Load(); address != nil {
		return *address
	}
	return ""
}

// stateAge returns the time since a member last reported being current, or since the
// start if none has.
func (s *subscriber) stateAge() time.Duration {
	if at := s.lastCurrentAt.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Since(s.process.started)
}
