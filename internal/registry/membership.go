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
	// joinRequestTTL is how long a join request counts for bootstrapping the group.
	joinRequestTTL = 2 * time.Second
	// membershipInterval is the time between two membership checks.
	membershipInterval = 100 * time.Millisecond
	// learnerTimeout is the silence after which a learner is removed.
	learnerTimeout = 20 * time.Second
	// rejoinAfter is the time without a leader after which a member asks whether it still
	// belongs to the group.
	rejoinAfter = 1500 * time.Millisecond
)

// receivedJoin is a join request and the time of its arrival.
type receivedJoin struct {
	request joinRequest
	at      kernel.Instant
}

// membershipState is the state of a member's membership management.
type membershipState struct {
	nextCheck kernel.Instant
	// learnedAddresses are member addresses from a join reply, used until the replicated
	// state arrives.
	learnedAddresses map[raft.MemberID]string
	// firstSeen is when this leader first saw each member, so that a member that was just
	// added does not count as silent.
	firstSeen map[raft.MemberID]kernel.Instant
	// lastSubmitted is when the last membership command was proposed.
	lastSubmitted kernel.Instant
}

// tickJoin sends join requests while this member needs a member ID or may have been removed,
// and bootstraps the group if all seeds are ready and this member has the lowest address.
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

// needsMembership reports whether this member has no ID, or has been without a leader for
// so long that it may have been removed.
func (c *Core) needsMembership(now kernel.Instant) bool {
	if c.replica.Node == nil {
		return true
	}
	if c.IsLeader() {
		return false
	}
	return c.LeaderlessFor(now) > rejoinAfter
}

// knownAddresses returns the addresses of all members known to this one.
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

// canBootstrap reports whether this member may bootstrap the group: bootstrapping is
// enabled, its data folder is empty and it is one of the seeds.
func (c *Core) canBootstrap() bool {
	return c.settings.Bootstrap && c.replica.Node == nil && c.restored.Snapshot.Index == 0 &&
		slices.Contains(c.settings.Seeds, c.settings.Address)
}

// SetSeeds replaces the seed addresses.
func (c *Core) SetSeeds(seeds []string) { c.settings.Seeds = seeds }

// tryBootstrap bootstraps the group if every seed has recently requested to join with an
// empty data folder. Only the seed with the lowest address does so.
func (c *Core) tryBootstrap(now kernel.Instant) {
	seeds := slices.Clone(c.settings.Seeds)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	if seeds[0] != c.settings.Address {
		return
	}
	state := directory.New()
	membership := raft.Membership{}
	for position, address := range seeds {
		member := directory.Member{Identity: c.settings.Raft.Identity, Address: address, Zone: c.settings.Zone}
		if address != c.settings.Address {
			received, exists := c.joinRequests[address]
			if !exists || !received.request.CanBootstrap || now.Sub(received.at) > joinRequestTTL {
				return
			}
			member.Identity = received.request.Identity
			member.Zone = received.request.Zone
		}
		state.Apply(bootstrapIndex, directory.Command{Kind: directory.CommandAddMember, Member: member})
		id := raft.MemberID(position + 1)
		membership = membership.AddLearner(id, member.Identity).WithAddress(id, address).Promote(id)
	}
	c.bootstrap(now, state, membership)
}

// bootstrapIndex is the log index of the snapshot that a group is bootstrapped with.
const bootstrapIndex = 1

func (c *Core) bootstrap(now kernel.Instant, state *directory.State, membership raft.Membership) {
	restored := raft.PersistentState{Snapshot: raft.Snapshot{
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

// receiveJoin answers a join request. Any member may reply that the sender has an ID or was
// removed, since both are final; only the leader adds new members.
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
		c.sendToMember(message.Address, joinReply{Identity: message.Identity, MemberID: member.ID, Members: c.state.Members()}.frame())
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

// submitMember proposes a membership command, at most one per membershipInterval.
func (c *Core) submitMember(now kernel.Instant, command directory.Command) {
	if c.members.lastSubmitted != 0 && now.Sub(c.members.lastSubmitted) < membershipInterval {
		return
	}
	c.members.lastSubmitted = now
	if _, _, err := c.replica.Node.Propose(now, directory.EncodeCommand(command)); err != nil {
		c.logEvent(eventlog.MembershipRefused, "err", err)
	}
}

// receiveJoinReply takes the member ID assigned by the group, or requests a reset if the
// group has removed this member.
func (c *Core) receiveJoinReply(now kernel.Instant, payload []byte) error {
	message, err := decodeJoinReply(payload)
	if err != nil || message.Identity != c.settings.Raft.Identity {
		return err
	}
	if message.MemberID == 0 {
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
		c.startReplica(now, raft.MemberID(message.MemberID))
	}
	return nil
}

// tickMembership changes the membership to match the live members, one change at a time;
// each change waits until the previous one is committed.
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

// nextMembership returns the next membership change and its reason. In order of priority:
// remove members whose disk was lost, add new members as learners, reduce surplus voters,
// promote learners to missing voters, replace a silent voter by a ready learner, and spread
// the voters over the zones.
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
			return membership.Remove(silent), "surplus voter is silent", true
		}
		return membership.Demote(c.voterInLargestZone(membership)), "surplus voter in the zone with the most voters", true
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
	if c.improvesZoneSpread(membership, ready) {
		return membership.Promote(ready), "its zone has too few voters", true
	}
	return membership, "", false
}

// replacedMember returns a member whose address belongs to a newer member, which means that
// its data folder was lost.
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

// recordNewMembers records when members were first seen.
func (c *Core) recordNewMembers(now kernel.Instant) {
	membership := c.replica.Node.Membership()
	previous := c.members.firstSeen
	c.members.firstSeen = map[raft.MemberID]kernel.Instant{}
	for id := range membership.Identities {
		c.members.firstSeen[id] = now
		if at, seenBefore := previous[id]; seenBefore {
			c.members.firstSeen[id] = at
		}
	}
}

// silentFor returns how long this leader has not heard from a member.
func (c *Core) silentFor(now kernel.Instant, id raft.MemberID) time.Duration {
	return now.Sub(max(c.replica.Node.LastContact(id), c.members.firstSeen[id]))
}

func (c *Core) isLive(now kernel.Instant, id raft.MemberID, limit time.Duration) bool {
	return id == c.settings.Raft.ID || c.silentFor(now, id) < limit
}

// readyLearner returns a live learner that has the whole committed log, preferring the zone
// with the fewest voters.
func (c *Core) readyLearner(now kernel.Instant, membership raft.Membership) (raft.MemberID, bool) {
	voters := c.votersByZone(membership)
	chosen := raft.NoMember
	for _, id := range slices.Sorted(slices.Values(membership.Learners)) {
		ready := c.replica.Node.Match(id) >= c.replica.Node.Commit() && c.isLive(now, id, c.settings.Raft.ElectionTimeout)
		if ready && (chosen == raft.NoMember || voters[c.zoneOf(id)] < voters[c.zoneOf(chosen)]) {
			chosen = id
		}
	}
	return chosen, chosen != raft.NoMember
}

// silentVoter returns the voter that has been silent for longest, if longer than
// ReplaceAfter.
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

// removeStaleMembers removes members from the state that are no longer voters or learners,
// and learners that have been silent for learnerTimeout.
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
