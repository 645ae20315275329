package control

import (
	"fmt"
	"time"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/store"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// helloInterval is the time between two hello frames.
	helloInterval = 300 * time.Millisecond
	// helloTTL is how long a received hello stays valid.
	helloTTL = 2 * time.Second
)

// receivedHello is the last hello frame from a member.
type receivedHello struct {
	hello      wire.Hello
	receivedAt kernel.Instant
}

// groupBootstrap holds the state for creating a group. A group is created only after
// every initial member has reported an empty data folder: otherwise a member that lost
// its disk could create a second group with the same members.
type groupBootstrap struct {
	initialMembers []*beamdoorv1.Member
	seedMembers    []raft.MemberID
	hellos         map[raft.MemberID]receivedHello
	nextHello      kernel.Instant
	refusalLogged  bool
}

func newGroupBootstrap(settings Settings) *groupBootstrap {
	return &groupBootstrap{
		initialMembers: settings.InitialMembers,
		seedMembers:    settings.SeedMembers,
		hellos:         map[raft.MemberID]receivedHello{},
	}
}

// isUninitialized reports whether this member belongs to no group yet.
func (c *Core) isUninitialized() bool { return c.replica.Node.PersistentState().Snapshot.Index == 0 }

func (c *Core) helloFrame() wire.Frame {
	return wire.HelloFrame(wire.Hello{Identity: c.settings.Raft.Identity, Empty: c.isUninitialized()})
}

// tickBootstrap sends hello frames while this member belongs to no group. The initial
// member with the lowest ID creates the group once all others are ready.
func (c *Core) tickBootstrap(now kernel.Instant) {
	if !c.isUninitialized() || now < c.bootstrap.nextHello {
		return
	}
	c.bootstrap.nextHello = now.Add(helloInterval)
	for _, id := range c.bootstrap.seedMembers {
		if id != c.settings.Raft.ID {
			c.sendToMember(id, c.helloFrame())
		}
	}
	if identities := c.bootstrap.allIdentities(now, c.settings.Raft); identities != nil {
		c.bootstrapGroup(now, identities)
	}
}

// allIdentities returns the identities of all initial members once each of the others
// has recently reported an empty data folder. It returns nil before that, and on members
// other than the one with the lowest ID.
func (b *groupBootstrap) allIdentities(now kernel.Instant, self raft.Settings) map[raft.MemberID]uint64 {
	if len(b.initialMembers) == 0 {
		return nil
	}
	identities := map[raft.MemberID]uint64{}
	for _, member := range b.initialMembers {
		id := raft.MemberID(member.Id)
		if id < self.ID {
			return nil
		}
		if id == self.ID {
			identities[id] = self.Identity
			continue
		}
		received, known := b.hellos[id]
		if !known || !received.hello.Empty || now.Sub(received.receivedAt) > helloTTL {
			return nil
		}
		identities[id] = received.hello.Identity
	}
	return identities
}

// bootstrapGroup writes the initial state of a new group to disk and starts from it.
func (c *Core) bootstrapGroup(now kernel.Instant, identities map[raft.MemberID]uint64) {
	restored, err := initialState(c.bootstrap.initialMembers, identities)
	if err != nil {
		c.replica.Stop(err)
		return
	}
	restored.HardState = c.replica.Node.PersistentState().HardState
	if err := c.replica.Storage.Rewrite(restored); err != nil {
		c.replica.Stop(err)
		return
	}
	state, err := store.Decode(restored.Snapshot.Data, c.settings.Mechanisms.Store)
	if err != nil {
		c.replica.Stop(err)
		return
	}
	c.store = state
	c.replica.Applied = restored.Snapshot.Index
	c.replica.Node = raft.NewNode(now, c.settings.Raft, restored)
	c.log(eventlog.GroupFounded, "members", len(identities))
}

// initialState returns the initial state of a group: a snapshot with the membership and
// the members' addresses.
func initialState(initialMembers []*beamdoorv1.Member, identities map[raft.MemberID]uint64) (raft.PersistentState, error) {
	state := store.New(store.Options{})
	for _, member := range initialMembers {
		state.Apply(store.Command{
			Kind: store.CommandSetMember,
			Body: &beamdoorv1.ChangeMemberRequest{
				Change: beamdoorv1.MemberChange_MEMBER_CHANGE_PROMOTE,
				Member: member,
			},
		})
	}
	data, err := state.Encode()
	if err != nil {
		return raft.PersistentState{}, err
	}
	membership := raft.NewMembership(identities)
	return raft.PersistentState{Snapshot: raft.Snapshot{Index: 1, Membership: membership, Data: data}}, nil
}

// receiveHello records a hello frame. A member of a group replies to an uninitialized
// member, so that the latter doesn't create a second group.
func (c *Core) receiveHello(now kernel.Instant, from raft.MemberID, frame wire.Frame) {
	hello, err := wire.DecodeHello(frame.Payload)
	if err != nil {
		c.log(eventlog.BadFrame, "peer", from, "err", err)
		return
	}
	c.bootstrap.hellos[from] = receivedHello{hello: hello, receivedAt: now}
	if hello.Empty && !c.isUninitialized() {
		c.sendToMember(from, c.helloFrame())
	}
	if !hello.Empty && c.isUninitialized() && len(c.bootstrap.initialMembers) > 0 && !c.bootstrap.refusalLogged {
		c.bootstrap.refusalLogged = true
		c.log(eventlog.FoundingRefused, "member", from)
	}
}

// LearnerIdentity returns the identity of a member that has sent a recent hello and
// belongs to no group yet.
func (c *Core) LearnerIdentity(now kernel.Instant, id raft.MemberID) (uint64, bool) {
	received, known := c.bootstrap.hellos[id]
	if !known || !received.hello.Empty || now.Sub(received.receivedAt) > helloTTL {
		return 0, false
	}
	return received.hello.Identity, true
}

// membershipWithLearner returns the membership with an additional learner. The learner
// must be running, since the membership contains the identity of its data folder.
func (c *Core) membershipWithLearner(now kernel.Instant, id raft.MemberID) (raft.Membership, error) {
	const step = "control.add_learner"
	membership := c.replica.Node.Membership()
	if membership.Contains(id) {
		return membership, nil
	}
	if id <= membership.Highest {
		reason := fmt.Sprintf("member.id: %d was used before; the next unused ID is %d", id, membership.Highest+1)
		return raft.Membership{}, steperror.New(step, "", reason)
	}
	identity, known := c.LearnerIdentity(now, id)
	if !known {
		reason := fmt.Sprintf("member.id: no hello received from member %d; start it first, with an empty data folder and the members of this group", id)
		return raft.Membership{}, steperror.New(step, "", reason)
	}
	return membership.AddLearner(id, identity), nil
}
