package raft

import (
	"maps"
	"slices"

	"github.com/beamdoor/beamdoor/internal/wire"
)

// Membership is the set of members at one log position. It records the identity of
// each member's data directory: a member that lost its disk has also lost its votes
// and acknowledgements, so its messages are dropped because its identity has changed.
type Membership struct {
	Voters     []MemberID
	Learners   []MemberID
	Identities map[MemberID]uint64
	// Addresses holds the network addresses of the members. They are part of the log so
	// that members can connect after a full restart, before any entry is known to be
	// committed. It may be empty if the caller has the addresses from another source.
	Addresses map[MemberID]string
	// Highest is the highest member ID ever assigned.
	Highest MemberID
}

// NewMembership returns a membership in which every given member is a voter.
func NewMembership(identities map[MemberID]uint64) Membership {
	var membership Membership
	for _, id := range slices.Sorted(maps.Keys(identities)) {
		membership = membership.AddLearner(id, identities[id]).Promote(id)
	}
	return membership
}

// IsVoter reports whether the member is a voter.
func (m Membership) IsVoter(id MemberID) bool { return slices.Contains(m.Voters, id) }

// Contains reports whether the member is a voter or a learner.
func (m Membership) Contains(id MemberID) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// Quorum returns the size of a majority of the voters.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

func without(list []MemberID, id MemberID) []MemberID {
	var rest []MemberID
	for _, member := range list {
		if member != id {
			rest = append(rest, member)
		}
	}
	return rest
}

func with(list []MemberID, id MemberID) []MemberID {
	if slices.Contains(list, id) {
		return list
	}
	return append(slices.Clone(list), id)
}

// AddLearner returns the membership with a learner added. An existing member is left
// unchanged.
func (m Membership) AddLearner(id MemberID, identity uint64) Membership {
	if m.Contains(id) {
		return m
	}
	identities := maps.Clone(m.Identities)
	if identities == nil {
		identities = map[MemberID]uint64{}
	}
	identities[id] = identity
	return Membership{
		Voters:     m.Voters,
		Learners:   with(m.Learners, id),
		Identities: identities,
		Addresses:  m.Addresses,
		Highest:    max(m.Highest, id),
	}
}

// WithAddress returns the membership with the address of a member set.
func (m Membership) WithAddress(id MemberID, address string) Membership {
	addresses := maps.Clone(m.Addresses)
	if addresses == nil {
		addresses = map[MemberID]string{}
	}
	addresses[id] = address
	m.Addresses = addresses
	return m
}

// Promote returns the membership with a learner turned into a voter.
func (m Membership) Promote(id MemberID) Membership {
	m.Voters = with(m.Voters, id)
	m.Learners = without(m.Learners, id)
	return m
}

// Demote returns the membership with a voter turned into a learner.
func (m Membership) Demote(id MemberID) Membership {
	m.Voters = without(m.Voters, id)
	m.Learners = with(m.Learners, id)
	return m
}

// Remove returns the membership without the member.
func (m Membership) Remove(id MemberID) Membership {
	m.Voters = without(m.Voters, id)
	m.Learners = without(m.Learners, id)
	m.Identities = maps.Clone(m.Identities)
	delete(m.Identities, id)
	m.Addresses = maps.Clone(m.Addresses)
	delete(m.Addresses, id)
	return m
}

const (
	memberSize   = 4
	identitySize = 12
	addressSize  = 8
)

func encodeMembers(encoder *wire.Encoder, members []MemberID) {
	encoder.Uint32(uint32(len(members)))
	for _, member := range members {
		encoder.Uint32(uint32(member))
	}
}

func decodeMembers(decoder *wire.Decoder) []MemberID {
	var members []MemberID
	for count := decoder.Count(memberSize); count > 0; count-- {
		members = append(members, MemberID(decoder.Uint32()))
	}
	return members
}

func (m Membership) encode(encoder *wire.Encoder) {
	encodeMembers(encoder, m.Voters)
	encodeMembers(encoder, m.Learners)
	encoder.Uint32(uint32(len(m.Identities)))
	for _, id := range slices.Sorted(maps.Keys(m.Identities)) {
		encoder.Uint32(uint32(id))
		encoder.Uint64(m.Identities[id])
	}
	encoder.Uint32(uint32(m.Highest))
	encoder.Uint32(uint32(len(m.Addresses)))
	for _, id := range slices.Sorted(maps.Keys(m.Addresses)) {
		encoder.Uint32(uint32(id))
		encoder.String(m.Addresses[id])
	}
}

func decodeMembership(decoder *wire.Decoder) Membership {
	membership := Membership{Voters: decodeMembers(decoder), Learners: decodeMembers(decoder)}
	count := decoder.Count(identitySize)
	if count > 0 {
		membership.Identities = make(map[MemberID]uint64, count)
	}
	for ; count > 0; count-- {
		id := MemberID(decoder.Uint32())
		membership.Identities[id] = decoder.Uint64()
	}
	membership.Highest = MemberID(decoder.Uint32())
	membership.Addresses = decodeAddresses(decoder)
	return membership
}

func decodeAddresses(decoder *wire.Decoder) map[MemberID]string {
	count := decoder.Count(addressSize)
	if count == 0 {
		return nil
	}
	addresses := make(map[MemberID]string, count)
	for ; count > 0; count-- {
		id := MemberID(decoder.Uint32())
		addresses[id] = decoder.String()
	}
	return addresses
}

// EncodeMembership encodes a membership as the data of an EntryMembership.
func EncodeMembership(membership Membership) []byte {
	var encoder wire.Encoder
	membership.encode(&encoder)
	return encoder.Buffer
}

// DecodeMembership decodes the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	decoder := wire.NewDecoder(data)
	membership := decodeMembership(decoder)
	return membership, decoder.Err("raft.decode_membership")
}
