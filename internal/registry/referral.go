package registry

import (
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Referral lists the members of the group for a node that knows only the seeds. It keeps
// hundreds of nodes that restart together from overloading the seeds during an election.
type Referral struct {
	Members []directory.Member
}

// Frame encodes the referral.
func (r Referral) Frame() wire.Frame {
	var encoder wire.Encoder
	directory.EncodeMembers(&encoder, r.Members)
	return wire.Frame{Kind: wire.FrameReferral, Payload: encoder.Buffer}
}

// DecodeReferral decodes the payload of a referral frame.
func DecodeReferral(payload []byte) (Referral, error) {
	decoder := wire.NewDecoder(payload)
	referral := Referral{Members: directory.DecodeMembers(decoder)}
	return referral, decoder.Err("registry.decode_referral")
}

// referralTable decides which nodes are referred to another member. It is immutable, so
// that the goroutines of connections can share it.
type referralTable struct {
	zone  string
	frame wire.Frame
}

// newReferralTable returns the table of a member in a zone, or nil if it knows no other
// member.
func newReferralTable(address, zone string, members []directory.Member) *referralTable {
	other := func(member directory.Member) bool { return member.Address != address }
	if !slices.ContainsFunc(members, other) {
		return nil
	}
	return &referralTable{zone: zone, frame: Referral{Members: members}.Frame()}
}

// refers reports whether a node is referred to another member, which is the case for nodes
// of other zones that know only the seeds.
func (t *referralTable) refers(subscribe Subscribe) bool {
	return t != nil && subscribe.Referable && subscribe.Zone != t.zone
}

// Refer returns the referral for a node, and false if the node stays with this member.
func (c *Core) Refer(subscribe Subscribe) (Referral, bool) {
	members := c.referralMembers()
	table := newReferralTable(c.settings.Address, c.settings.Zone, members)
	return Referral{Members: members}, table.refers(subscribe)
}

// referralMembers returns the members listed in referrals: those of the replicated state,
// or those found on disk while that has fewer. Members that have left cost a node a failed
// connection attempt.
func (c *Core) referralMembers() []directory.Member {
	if members := c.state.Members(); len(members) >= len(c.rememberedMembers) {
		return members
	}
	return c.rememberedMembers
}

// refreshReferrals updates the referral table and the addresses for heartbeats when the
// members have changed.
func (p *Process) refreshReferrals(core *Core) {
	revision := core.state.MemberRevision()
	if revision == p.referralRevision && p.referrals.Load() != nil {
		return
	}
	p.referralRevision = revision
	members := core.referralMembers()
	p.referrals.Store(newReferralTable(p.settings.Core.Address, p.settings.Core.Zone, members))
	p.heartbeatDistributor.SetMembers(p.apiAddressesByZone(members))
}

// apiAddressesByZone returns the addresses where targets call the members of each zone.
func (p *Process) apiAddressesByZone(members []directory.Member) map[string][]string {
	addresses := map[string][]string{}
	if p.settings.APIAddress == nil {
		return addresses
	}
	for _, member := range members {
		addresses[member.Zone] = append(addresses[member.Zone], p.settings.APIAddress(member.Address))
	}
	return addresses
}
