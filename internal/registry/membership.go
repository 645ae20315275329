package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
)

const (
	// joinRequestTTL is how long the word of an empty member counts.
	joinRequestTTL = 2 * time.Second
	// membershipInterval is the time between two checks of the membership.
	membershipInterval = 100 * time.Millisecond
	// learnerTimeout is the silence after which a learner is removed.
	learnerTimeout = 20 * time.Second
	// rejoinAfter is the time without a leader after which a member asks
	// whether it still belongs to the group.
	rejoinAfter = 1500 * time.Millisecond
)

// receivedJoin is what an empty founder said and when.
type receivedJoin struct {
	request joinRequest
	at      kernel.Instant
}

// membershipState holds what the leader does about the membership.
type membershipState struct {
	nextCheck kernel.Instant
	// learnedAddresses holds addresses of members before the replicated state is here.
	learnedAddresses map[raft.MemberID]string
	// firstSeen is when this leader first saw each member: one that has just
	// been added has not had the time to be heard.
	firstSeen map[raft.MemberID]kernel.Instant
	// lastSubmitted is the time of the last command about members.
	lastSubmitted kernel.Instant
}

// tickJoin asks for a place while this member has none, and founds the group
// when it is the first of the founders and all of them are ready.
func (c *Core) tickJoin(now kernel.Instant) {
	if now < c.nextJoin || !c.needsMembership(now) {
		return
	}
	c.nextJoin = now.Add(c.settings.JoinInterval)
	message := joinRequest{
		Address:      c.settings.Address,
		Zone:         c.settings.Zone,
		Identity:     c.settings.Raft.Identity,
		CanBootstrap: c.canBootstrap(),
		KnownID:      uint32(c.settings.Raft.ID),
	}
	for _, address := range c.knownAddresses() {
		c.sendToMember(address, message.frame())
	}
	if c.canBootstrap() {
		c.tryBootstrap(now)
	}
}

// needsMembership reports whether this member has no number, or has not heard from
// a leader for so long that it may have been removed.
func (c *Core) needsMembership(now kernel.Instant) bool {
	if c.replica.Node == nil {
		return true
	}
	if c.IsLeader() {
		return false
	}
	return c.LeaderlessFor(now) > rejoinAfter
}

// knownAddresses returns the addresses of all members that this one knows of.
func (c *Core) knownAddresses() []string {
	addresses := slices.Clone(c.settings.Seeds)
	for _, member := range c.state.Members() {
		addresses = append(addresses, member.Address)
	}
	if c.replica.Node != nil {
		addresses = slices.AppendSeq(addresses, maps.Values(c.replica.Node.Membership().Addresses))
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// canBootstrap reports whether this member may found the group: it is one of the
// seeds, the whole group starts for the first time and its folder is empty.
func (c *Core) canBootstrap() bool {
	return c.settings.Bootstrap && c.replica.Node == nil && c.restored.Snapshot.Index == 0 &&
		slices.Contains(c.settings.Seeds, c.settings.Address)
}

// SetSeeds replaces the seed addresses after the settings have changed.
func (c *Core) SetSeeds(seeds []string) { c.settings.Seeds = seeds }

// tryBootstrap founds the group when every founder has said lately that its
// folder is empty too. Only the founder with the lowest address does so.
func (c *Core) tryBootstrap(now kernel.Instant) {
	founders := slices.Clone(c.settings.Seeds)
	slices.Sort(founders)
	founders = slices.Compact(founders)
	if founders[0] != c.settings.Address {
		return
	}
	state := directory.New()
	membership := raft.Membership{}
	for position, address := range founders {
		member := directory.Member{Identity: c.settings.Raft.Identity, Address: address, Zone: c.settings.Zone}
		if address != c.settings.Address {
			known, heard := c.joinRequests[address]
			if !heard || !known.request.CanBootstrap || now.Sub(known.at) > joinRequestTTL {
				return
			}
			member.Identity = known.request.Identity
			member.Zone = known.request.Zone
		}
		state.Apply(bootstrapIndex, directory.Command{Kind: directory.CommandAddMember, Member: member})
		id := raft.MemberID(position + 1)
		membership = membership.AddLearner(id, member.Identity).WithAddress(id, address).Promote(id)
	}
	c.bootstrap(now, state, membership)
}

// bootstrapIndex is the log position of a group's first snapshot.
const bootstrapIndex = 1

func (c *Core) bootstrap(now kernel.Instant, state *directory.State, membership raft.Membership) {
	restored := raft.Restored{Snapshot: raft.Snapshot{
		Index:      bootstrapIndex,
		Membership: membership,
		Data:       state.Encode(),
	}}
	if err := c.replica.Storage.Rewrite(restored); err != nil {
		c.replica.Stop(err)
		return
	}
	c.restored = restored
	c.state = state
	c.replica.Applied = bootstrapIndex
	c.logEvent(eventlog.GroupFounded, "members", len(membership.Voters))
	c.startReplica(now, ownMemberID(restored, c.settings.Raft.Identity))
}

// receiveJoin answers a member that asks for a place. Numbers and removals are
// told by any member, since both are final; a new place is given by the leader.
func (c *Core) receiveJoin(now kernel.Instant, payload []byte) error {
	message, err := decodeJoinRequest(payload)
	if err != nil {
		return err
	}
	c.joinRequests[message.Address] = receivedJoin{request: message, at: now}
	if c.replica.Node == nil {
		return nil
	}
	if member, known := c.state.MemberByIdentity(message.Identity); known {
		c.sendToMember(message.Address, joinReply{Identity: message.Identity, Number: member.ID, Members: c.state.Members()}.frame())
		return nil
	}
	if c.state.WasRemoved(message.Identity) {
		c.sendToMember(message.Address, joinReply{Identity: message.Identity}.frame())
		return nil
	}
	if !c.IsLeader() {
		if leader := c.address(c.replica.Node.Leader()); leader != message.Address {
			c.sendToMember(leader, message.frame())
		}
		return nil
	}
	if message.KnownID != 0 {
		return nil
	}
	c.submitMember(now, directory.Command{
		Kind:   directory.CommandAddMember,
		Member: directory.Member{Identity: message.Identity, Address: message.Address, Zone: message.Zone},
	})
	return nil
}

// submitMember proposes a command about members, at most one at a time.
func (c *Core) submitMember(now kernel.Instant, command directory.Command) {
	if c.members.lastSubmitted != 0 && now.Sub(c.members.lastSubmitted) < membershipInterval {
		return
	}
	c.members.lastSubmitted = now
	if _, _, err := c.replica.Node.Propose(now, directory.EncodeCommand(command)); err != nil {
		c.logEvent(eventlog.MembershipRefused, "err", err)
	}
}

// receiveJoinReply takes the number that the group has given to this member.
func (c *Core) receiveJoinReply(now kernel.Instant, payload []byte) error {
	message, err := decodeJoinReply(payload)
	if err != nil || message.Identity != c.settings.Raft.Identity {
		return err
	}
	if message.Number == 0 {
		if c.replica.Node != nil {
			c.logEvent(eventlog.MemberRemoved, "member", c.settings.Raft.ID)
			c.output.Reset = true
		}
		return nil
	}
	if c.members.learnedAddresses == nil {
		c.members.learnedAddresses = map[raft.MemberID]string{}
	}
	for _, member := range message.Members {
		c.members.learnedAddresses[raft.MemberID(member.ID)] = member.Address
	}
	if c.replica.Node == nil {
		c.startReplica(now, raft.MemberID(message.Number))
	}
	return nil
}

// tickMembership brings the voters in line with the members that are up. It
// makes one change at a time and waits until the one before is committed.
func (c *Core) tickMembership(now kernel.Instant) {
	if !c.IsLeader() || now < c.members.nextCheck || !c.replica.Node.HasLease(now) {
		return
	}
	c.members.nextCheck = now.Add(membershipInterval)
	c.recordNewMembers(now)
	if next, reason, wanted := c.nextMembership(now); wanted {
		c.proposeMembership(now, next, reason)
		return
	}
	c.removeStaleMembers(now)
}

func (c *Core) proposeMembership(now kernel.Instant, next raft.Membership, reason string) {
	_, _, err := c.replica.Node.ProposeMembership(now, next)
	if err != nil {
		return
	}
	c.logEvent(eventlog.MembershipProposed, "reason", reason, "voters", len(next.Voters), "learners", len(next.Learners))
}

// nextMembership returns the next step: wiped members leave first, then new
// ones learn, then learners fill the places of voters that are missing, then a
// silent voter gives way to a learner that is ready, and last the voters are
// spread over the zones.
func (c *Core) nextMembership(now kernel.Instant) (raft.Membership, string, bool) {
	membership := c.replica.Node.Membership()
	if id, found := c.replacedMember(membership); found {
		return membership.Remove(id), "data folder was lost", true
	}
	for _, member := range c.state.Members() {
		id := raft.MemberID(member.ID)
		if !membership.Contains(id) && id > membership.Highest {
			return membership.AddLearner(id, member.Identity).WithAddress(id, member.Address), "new member", true
		}
	}
	silent, isSilent := c.silentVoter(now, membership)
	if c.settings.LostZones > 0 && len(membership.Voters) > c.settings.Voters {
		if isSilent {
			return membership.Remove(silent), "voter is silent and there are enough", true
		}
		return membership.Demote(c.crowdedVoter(membership)), "its zone has the most voters", true
	}
	ready, found := c.readyLearner(now, membership)
	if !found {
		return membership, "", false
	}
	if len(membership.Voters) < c.settings.Voters {
		return membership.Promote(ready), "voter is missing", true
	}
	if isSilent {
		return membership.Remove(silent), "voter is silent and a learner is ready", true
	}
	if c.isMisplaced(membership, ready) {
		return membership.Promote(ready), "its zone has too few voters", true
	}
	return membership, "", false
}

// replacedMember finds a member whose address has a newer member: its data
// folder is gone.
func (c *Core) replacedMember(membership raft.Membership) (raft.MemberID, bool) {
	newest := map[string]uint32{}
	for _, member := range c.state.Members() {
		newest[member.Address] = max(newest[member.Address], member.ID)
	}
	for _, member := range c.state.Members() {
		id := raft.MemberID(member.ID)
		if newest[member.Address] > member.ID && membership.Contains(id) && id != c.settings.Raft.ID {
			return id, true
		}
	}
	return raft.NoMember, false
}

// recordNewMembers notes the members that were added since the last check.
func (c *Core) recordNewMembers(now kernel.Instant) {
	membership := c.replica.Node.Membership()
	known := c.members.firstSeen
	c.members.firstSeen = map[raft.MemberID]kernel.Instant{}
	for id := range membership.Identities {
		c.members.firstSeen[id] = now
		if at, before := known[id]; before {
			c.members.firstSeen[id] = at
		}
	}
}

// silentFor returns how long a member has not been heard by this leader.
func (c *Core) silentFor(now kernel.Instant, id raft.MemberID) time.Duration {
	return now.Sub(max(c.replica.Node.LastContact(id), c.members.firstSeen[id]))
}

func (c *Core) isLive(now kernel.Instant, id raft.MemberID, limit time.Duration) bool {
	return id == c.settings.Raft.ID || c.silentFor(now, id) < limit
}

// readyLearner finds a learner that is up and has the whole committed log: of
// several, one in the zone with the fewest voters.
func (c *Core) readyLearner(now kernel.Instant, membership raft.Membership) (raft.MemberID, bool) {
	voters := c.votersByZone(membership)
	best := raft.NoMember
	for _, id := range slices.Sorted(slices.Values(membership.Learners)) {
		ready := c.replica.Node.Match(id) >= c.replica.Node.Commit() && c.isLive(now, id, c.settings.Raft.ElectionTimeout)
		if ready && (best == raft.NoMember || voters[c.zoneOf(id)] < voters[c.zoneOf(best)]) {
			best = id
		}
	}
	return best, best != raft.NoMember
}

// silentVoter finds the voter that has been silent for the longest time.
func (c *Core) silentVoter(now kernel.Instant, membership raft.Membership) (raft.MemberID, bool) {
	longest := c.settings.ReplaceAfter
	silent := raft.NoMember
	for _, id := range membership.Voters {
		if id == c.settings.Raft.ID {
			continue
		}
		if silence := c.silentFor(now, id); silence > longest {
			longest = silence
			silent = id
		}
	}
	return silent, silent != raft.NoMember
}

// removeStaleMembers removes members from the state that no longer vote or learn,
// and learners that have been silent for long.
func (c *Core) removeStaleMembers(now kernel.Instant) {
	membership := c.replica.Node.Membership()
	for _, member := range c.state.Members() {
		id := raft.MemberID(member.ID)
		if !membership.Contains(id) && id <= membership.Highest {
			c.submitMember(now, directory.Command{Kind: directory.CommandRemoveMember, Member: member})
			return
		}
	}
	learners := slices.SortedFunc(slices.Values(membership.Learners), cmp.Compare[raft.MemberID])
	for _, id := range learners {
		if !c.isLive(now, id, learnerTimeout) {
			c.proposeMembership(now, membership.Remove(id), "learner is silent")
			return
		}
	}
}
