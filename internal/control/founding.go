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
	// helloInterval is the time between two introductions.
	helloInterval = 300 * time.Millisecond
	// helloLifetime is how long an introduction counts.
	helloLifetime = 2 * time.Second
)

// introduction is what was last heard from a member by a hello.
type introduction struct {
	hello wire.Hello
	at    kernel.Instant
}

// founding brings a member with an empty data folder into a group. The group
// is founded only once every founder has said that its folder is empty too:
// a member that lost its disk would otherwise found a second group, with
// founders of its own name.
type founding struct {
	founders  []*beamdoorv1.Member
	contacts  []raft.MemberID
	heard     map[raft.MemberID]introduction
	nextHello kernel.Instant
	refused   bool
}

func newFounding(settings Settings) *founding {
	return &founding{
		founders: settings.InitialMembers,
		contacts: settings.SeedMembers,
		heard:    map[raft.MemberID]introduction{},
	}
}

// isEmpty reports whether this member belongs to no group yet.
func (c *Core) isEmpty() bool { return c.replica.Node.PersistentState().Snapshot.Index == 0 }

func (c *Core) hello() wire.Frame {
	return wire.HelloFrame(wire.Hello{Identity: c.settings.Raft.Identity, Empty: c.isEmpty()})
}

// tickFounding introduces a member that belongs to no group, and founds one
// when it is the founder with the lowest ID and all others are ready.
func (c *Core) tickFounding(now kernel.Instant) {
	if !c.isEmpty() || now < c.founding.nextHello {
		return
	}
	c.founding.nextHello = now.Add(helloInterval)
	for _, id := range c.founding.contacts {
		if id != c.settings.Raft.ID {
			c.sendMember(id, c.hello())
		}
	}
	if identities := c.founding.ready(now, c.settings.Raft); identities != nil {
		c.found(now, identities)
	}
}

// ready returns the identities of all founders once each has introduced itself
// lately with an empty folder, and nil before or when it is not this member's
// part to found the group.
func (f *founding) ready(now kernel.Instant, self raft.Settings) map[raft.MemberID]uint64 {
	if len(f.founders) == 0 {
		return nil
	}
	identities := map[raft.MemberID]uint64{}
	for _, founder := range f.founders {
		id := raft.MemberID(founder.Id)
		if id < self.ID {
			return nil
		}
		if id == self.ID {
			identities[id] = self.Identity
			continue
		}
		from, known := f.heard[id]
		if !known || !from.hello.Empty || now.Sub(from.at) > helloLifetime {
			return nil
		}
		identities[id] = from.hello.Identity
	}
	return identities
}

// found makes the first state of a group and begins with it.
func (c *Core) found(now kernel.Instant, identities map[raft.MemberID]uint64) {
	restored, err := firstState(c.founding.founders, identities)
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

// firstState returns what the disk of the first member of a group holds: a
// snapshot with the first membership and the members' addresses.
func firstState(founders []*beamdoorv1.Member, identities map[raft.MemberID]uint64) (raft.PersistentState, error) {
	state := store.New(store.Options{})
	for _, member := range founders {
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

// receiveHello notes an introduction and answers a member that might found a
// second group.
func (c *Core) receiveHello(now kernel.Instant, from raft.MemberID, frame wire.Frame) {
	hello, err := wire.DecodeHello(frame.Payload)
	if err != nil {
		c.log(eventlog.BadFrame, "peer", from, "err", err)
		return
	}
	c.founding.heard[from] = introduction{hello: hello, at: now}
	if hello.Empty && !c.isEmpty() {
		c.sendMember(from, c.hello())
	}
	if !hello.Empty && c.isEmpty() && len(c.founding.founders) > 0 && !c.founding.refused {
		c.founding.refused = true
		c.log(eventlog.FoundingRefused, "member", from)
	}
}

// LearnerIdentity returns the identity of a member that has introduced itself
// and belongs to no group yet.
func (c *Core) LearnerIdentity(now kernel.Instant, id raft.MemberID) (uint64, bool) {
	from, known := c.founding.heard[id]
	if !known || !from.hello.Empty || now.Sub(from.at) > helloLifetime {
		return 0, false
	}
	return from.hello.Identity, true
}

// withLearner returns the membership with a new learner. The learner must be
// running, since the membership names the identity of its data folder.
func (c *Core) withLearner(now kernel.Instant, id raft.MemberID) (raft.Membership, error) {
	const step = "control.add_learner"
	membership := c.replica.Node.Membership()
	if membership.Contains(id) {
		return membership, nil
	}
	if id <= membership.Highest {
		reason := fmt.Sprintf("member.id: %d has been used before; the next free one is %d", id, membership.Highest+1)
		return raft.Membership{}, steperror.New(step, "", reason)
	}
	identity, heard := c.LearnerIdentity(now, id)
	if !heard {
		reason := fmt.Sprintf("member.id: %d has not introduced itself; start it with an empty data folder and this group's members first", id)
		return raft.Membership{}, steperror.New(step, "", reason)
	}
	return membership.AddLearner(id, identity), nil
}
