package registry

import (
	"slices"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// Referral names the members of the group to a node that knows only seeds.
// After a restart of all, hundreds of nodes come to three seeds at once: what a
// seed spends on each of them, it lacks for the election that they wait for.
type Referral struct {
	Members []directory.Member
}

// Frame returns the frame of a referral.
func (r Referral) Frame() wire.Frame {
	var encoder wire.Encoder
	directory.EncodeMembers(&encoder, r.Members)
	return wire.Frame{Kind: wire.FrameReferral, Payload: encoder.Buffer}
}

// DecodeReferral reads a referral.
func DecodeReferral(payload []byte) (Referral, error) {
	decoder := wire.NewDecoder(payload)
	referral := Referral{Members: directory.DecodeMembers(decoder)}
	return referral, decoder.Err("registry.decode_referral")
}

// referralTable decides which nodes are sent on. It does not change once made,
// so that the goroutines of connections may share it.
type referralTable struct {
	zone  string
	frame wire.Frame
}

// newReferralTable returns the table of a member in a zone, or nil when it
// knows no other member.
func newReferralTable(address, zone string, members []directory.Member) *referralTable {
	other := func(member directory.Member) bool { return member.Address != address }
	if !slices.ContainsFunc(members, other) {
		return nil
	}
	return &referralTable{zone: zone, frame: Referral{Members: members}.Frame()}
}

// refers reports whether a node goes to another member: one of its own zone, or
// any when its zone has none, so that the seeds do not bear them all.
func (t *referralTable) refers(subscribe Subscribe) bool {
	return t != nil && subscribe.Referable && subscribe.Zone != t.zone
}

// Refer returns the referral for a node that is to be sent on to another member,
// and false for one that stays.
func (c *Core) Refer(subscribe Subscribe) (Referral, bool) {
	members := c.referralMembers()
	table := newReferralTable(c.settings.Address, c.settings.Zone, members)
	return Referral{Members: members}, table.refers(subscribe)
}

// referralMembers returns the members that nodes are told of: those of the
// replicated state or, before this member has learned what is committed, those
// on its disk. One that has gone costs a node an attempt to connect.
func (c *Core) referralMembers() []directory.Member {
	if members := c.state.Members(); len(members) >= len(c.rememberedMembers) {
		return members
	}
	return c.rememberedMembers
}

// refreshReferrals tells connections and heartbeats of the members when these have
// changed.
func (p *Process) refreshReferrals(core *Core) {
	revision := core.state.MemberRevision()
	if revision == p.referralRevision && p.referrals.Load() != nil {
		return
	}
	p.referralRevision = revision
	members := core.referralMembers()
	p.referrals.Store(newReferralTable(p.settings.Core.Address, p.settings.Core.Zone, members))
	p.heartbeatSpread.SetMembers(p.apiAddressesByZone(members))
}

// apiAddressesByZone returns where targets call the members of each zone.
func (p *Process) apiAddressesByZone(members []directory.Member) map[string][]string {
	homes := map[string][]string{}
	if p.settings.APIAddress == nil {
		return homes
	}
	for _, member := range members {
		homes[member.Zone] = append(homes[member.Zone], p.settings.APIAddress(member.Address))
	}
	return homes
}
