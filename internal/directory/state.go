package directory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	// minEndedLimit is the minimum number of ended targets to keep.
	minEndedLimit = 4096
	// editLimit is the number of edits kept for nodes with an older configuration.
	editLimit = 64
)

// appliedEdit is an edit and the log position at which it was applied.
type appliedEdit struct {
	revision uint64
	edit     Edit
}

// change records that a target changed at a log position.
type change struct {
	revision uint64
	target   *Target
}

// isLatest reports whether the target has not changed since.
func (c change) isLatest() bool { return c.target.Revision == c.revision }

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	revision       uint64
	configuration  Configuration
	configRevision uint64
	edits          []appliedEdit
	// targets holds the latest start of each target by ID, and tokens all known starts.
	targets map[string]*Target
	tokens  map[Token]*Target
	// addresses holds the last target registered at each address.
	addresses map[netip.AddrPort]*Target
	// changes holds the last change of each target and some outdated changes, sorted by
	// revision.
	changes []change
	// ended holds the ended targets, oldest first.
	ended   []*Target
	members map[uint32]Member
	// removed holds the identities of removed members.
	removed        []uint64
	memberRevision uint64
	highestMember  uint32
	// evacuations holds the last order for each zone. Entries are never removed.
	evacuations        map[string]Evacuation
	evacuationRevision uint64
	// targetOrders holds the last order for each target that has not ended.
	targetOrders map[string]TargetOrder
	// versionOrders holds the last order for each version with live targets.
	versionOrders map[ServiceVersion]VersionOrder
	// orders holds when the last order about each zone, target and version was applied.
	orders orderHistory
}

// New returns an empty state.
func New() *State {
	return &State{
		targets: map[string]*Target{},
		tokens:  map[Token]*Target{},

		addresses: map[netip.AddrPort]*Target{},
		members:   map[uint32]Member{},

		evacuations: map[string]Evacuation{},

		targetOrders: map[string]TargetOrder{},

		versionOrders: map[ServiceVersion]VersionOrder{},

		orders: newOrderHistory(),
	}
}

// Revision returns the log position of the last change.
func (s *State) Revision() uint64 { return s.revision }

// Configuration returns the current configuration. Version 0 means none.
func (s *State) Configuration() Configuration { return s.configuration }

// Target returns the latest start of the target with the given ID.
func (s *State) Target(id string) (Target, bool) {
	target, known := s.targets[id]
	if !known {
		return Target{}, false
	}
	return *target, true
}

// TargetByToken returns the target with the given token.
func (s *State) TargetByToken(token Token) (Target, bool) {
	target, known := s.tokens[token]
	if !known {
		return Target{}, false
	}
	return *target, true
}

// Targets returns all known targets, including ended ones, sorted by ID and start time.
func (s *State) Targets() []Target {
	list := make([]Target, 0, len(s.tokens))
	for _, target := range s.tokens {
		list = append(list, *target)
	}
	slices.SortFunc(list, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartTime, b.StartTime))
	})
	return list
}

// EachTarget calls a function for each known target in unspecified order.
func (s *State) EachTarget(visit func(target *Target)) {
	for _, target := range s.tokens {
		visit(target)
	}
}

// Members returns the control members, sorted by ID.
func (s *State) Members() []Member {
	list := make([]Member, 0, len(s.members))
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		list = append(list, s.members[id])
	}
	return list
}

// Member returns the control member with the given ID.
func (s *State) Member(id uint32) (Member, bool) {
	member, known := s.members[id]
	return member, known
}

// MemberRevision returns the log position at which the members last changed.
func (s *State) MemberRevision() uint64 { return s.memberRevision }

// MemberByIdentity returns the control member with the given data directory identity.
func (s *State) MemberByIdentity(identity uint64) (Member, bool) {
	for _, member := range s.Members() {
		if member.Identity == identity {
			return member, true
		}
	}
	return Member{}, false
}

// WasRemoved reports whether the member with the given identity was removed from the
// group.
func (s *State) WasRemoved(identity uint64) bool { return slices.Contains(s.removed, identity) }

// Apply applies the command at a log position.
func (s *State) Apply(position uint64, command Command) Result {
	result := Result{Revision: position}
	switch command.Kind {
	case CommandPublish:
		result.Code = s.publish(position, command.Edit)
	case CommandPutTarget:
		result.Code = s.putTarget(position, command.Target)
	case CommandEndTarget:
		result.Code = s.endTarget(position, command.Target.Start())
	case CommandAddMember:
		s.addMember(position, command.Member)
	case CommandRemoveMember:
		s.removeMember(position, command.Member.ID)
	case CommandEvacuate, CommandOrderTarget, CommandOrderVersion:
		result.Code = s.applyOrder(position, command)
	}
	return result
}

// publish applies an edit. An edit to a version that is not newer than the current one
// has no effect and returns CodeDone.
func (s *State) publish(position uint64, edit Edit) Code {
	if edit.Version <= s.configuration.Version {
		return CodeDone
	}
	next, fits := edit.Apply(s.configuration)
	if !fits {
		return CodeConflict
	}
	s.configuration = next
	s.configRevision = position
	s.revision = position
	s.edits = append(s.edits, appliedEdit{revision: position, edit: edit})
	if len(s.edits) > editLimit {
		s.edits = slices.Clone(s.edits[1:])
	}
	return CodeDone
}

// putTarget registers a target or moves it to a later state. A later start of the target
// or a new target at its address ends the previous one.
func (s *State) putTarget(position uint64, registration Target) Code {
	known, exists := s.targets[registration.ID]
	switch {
	case !exists:
	case registration.Start().IsBefore(known.Start()):
		return CodeOutdated
	case known.Start().IsBefore(registration.Start()):
		s.advance(position, known, TargetEnded)
	default:
		s.advance(position, known, registration.State)
		return CodeDone
	}
	if other, taken := s.addresses[registration.Address]; taken {
		s.advance(position, other, TargetEnded)
	}
	s.register(position, registration)
	return CodeDone
}

// register adds a start of a target that is not known yet. An ended one holds no address.
func (s *State) register(position uint64, target Target) {
	target.Token = s.allocateToken(target.Start())
	s.targets[target.ID] = &target
	s.tokens[target.Token] = &target
	s.recordChange(position, &target)
	if target.State == TargetEnded {
		s.recordEnded(&target)
		return
	}
	s.addresses[target.Address] = &target
}

// TargetByAddress returns the last target registered at an address.
func (s *State) TargetByAddress(address netip.AddrPort) (Target, bool) {
	holder, held := s.addresses[address]
	if !held {
		return Target{}, false
	}
	return *holder, true
}

func (s *State) advance(position uint64, target *Target, state TargetState) {
	if state <= target.State {
		return
	}
	target.State = state
	s.recordChange(position, target)
	if state == TargetEnded {
		delete(s.targetOrders, target.ID)
		s.endVersionOrder(target.ServiceVersion())
		s.recordEnded(target)
	}
}

// recordChange adds a change to the list that updates are built from, and compacts the
// list when most of it is outdated.
func (s *State) recordChange(position uint64, target *Target) {
	target.Revision = position
	s.revision = position
	s.changes = append(s.changes, change{revision: position, target: target})
	if len(s.changes) > 2*len(s.tokens)+minEndedLimit {
		s.changes = slices.DeleteFunc(s.changes, func(c change) bool {
			return s.tokens[c.target.Token] != c.target || !c.isLatest()
		})
	}
}

// EndedLimit returns the number of ended targets that are kept to recognize their late
// heartbeats and packets. It grows with the number of live targets, since a rolling
// update ends all of them within minutes.
func EndedLimit(live int) int { return max(minEndedLimit, live) }

// recordEnded adds a target to the ended ones and removes the oldest beyond the limit.
func (s *State) recordEnded(target *Target) {
	s.ended = append(s.ended, target)
	for len(s.ended) > EndedLimit(len(s.tokens)-len(s.ended)) {
		oldest := s.ended[0]
		s.ended[0] = nil
		s.ended = s.ended[1:]
		s.removeTarget(oldest)
	}
}

func (s *State) removeTarget(target *Target) {
	delete(s.tokens, target.Token)
	if s.targets[target.ID] == target {
		delete(s.targets, target.ID)
	}
	if s.addresses[target.Address] == target {
		delete(s.addresses, target.Address)
	}
}

// endTarget marks a target as ended if it was draining or is not registered, and otherwise as
// leaving, since it may still have flows. A start without a start time refers to the latest one.
func (s *State) endTarget(position uint64, start Start) Code {
	target, known := s.targets[start.ID]
	switch {
	case !known:
		// The target's registration may have been delayed and must not take effect later.
		s.register(position, Target{ID: start.ID, StartTime: start.StartTime, State: TargetEnded})
	case start.StartTime > 0 && start.IsBefore(target.Start()):
		// A later start is registered, so this one has ended.
		return CodeDone
	case target.Start().IsBefore(start):
		// The ending start was never registered, so the earlier one has ended.
		s.advance(position, target, TargetEnded)
		s.register(position, Target{ID: start.ID, StartTime: start.StartTime, State: TargetEnded})
	case target.State == TargetDraining:
		s.advance(position, target, TargetEnded)
	default:
		s.advance(position, target, TargetLeaving)
	}
	return CodeDone
}

// allocateToken returns a token for a start that no known start uses.
func (s *State) allocateToken(start Start) Token {
	token := start.token()
	for {
		_, taken := s.tokens[token]
		if token != 0 && !taken {
			return token
		}
		token++
	}
}

// addMember adds a member with the next free ID, once for each data directory.
func (s *State) addMember(position uint64, member Member) {
	if _, known := s.MemberByIdentity(member.Identity); known || s.WasRemoved(member.Identity) {
		return
	}
	s.highestMember++
	member.ID = s.highestMember
	s.members[member.ID] = member
	s.memberRevision = position
	s.revision = position
}

func (s *State) removeMember(position uint64, id uint32) {
	member, known := s.members[id]
	if !known {
		return
	}
	delete(s.members, id)
	s.removed = append(s.removed, member.Identity)
	s.memberRevision = position
	s.revision = position
}

// Encode returns a snapshot of the state.
func (s *State) Encode() []byte {
	var encoder wire.Encoder
	encoder.Uint64(s.revision)
	encoder.Uint64(s.configRevision)
	encodeConfiguration(&encoder, s.configuration)
	encodeTargets(&encoder, s.Targets())
	encoder.String(strings.Join(s.endedIDs(), "\n"))
	EncodeMembers(&encoder, s.Members())
	encoder.Uint64(s.memberRevision)
	encoder.Uint32(s.highestMember)
	encoder.Uint32(uint32(len(s.removed)))
	for _, identity := range s.removed {
		encoder.Uint64(identity)
	}
	encodeEvacuations(&encoder, s.Evacuations())
	encodeTargetOrders(&encoder, s.TargetOrders())
	// Snapshots without orders keep the format of releases without an order history.
	hasOrders := len(s.orders.positions) > 0
	s.encodeVersions(&encoder, hasOrders)
	if hasOrders {
		s.orders.encode(&encoder)
	}
	return encoder.Buffer
}

// Decode restores the state from a snapshot.
func Decode(data []byte) (*State, error) {
	s := New()
	decoder := wire.NewDecoder(data)
	s.revision = decoder.Uint64()
	s.configRevision = decoder.Uint64()
	s.configuration = decodeConfiguration(decoder)
	targets := decodeTargets(decoder)
	for index := range targets {
		target := &targets[index]
		if latest, known := s.targets[target.ID]; !known || latest.Start().IsBefore(target.Start()) {
			s.targets[target.ID] = target
		}
		s.tokens[target.Token] = target
		if target.State != TargetEnded {
			s.addresses[target.Address] = target
		}
		s.changes = append(s.changes, change{revision: target.Revision, target: target})
	}
	slices.SortStableFunc(s.changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
	// The IDs of ended targets are not used: the list is rebuilt from the changes.
	_ = decoder.String()
	for _, c := range s.changes {
		if c.target.State == TargetEnded {
			s.ended = append(s.ended, c.target)
		}
	}
	for _, member := range DecodeMembers(decoder) {
		s.members[member.ID] = member
	}
	s.memberRevision = decoder.Uint64()
	s.highestMember = decoder.Uint32()
	for count := decoder.Count(identitySize); count > 0; count-- {
		s.removed = append(s.removed, decoder.Uint64())
	}
	// Snapshots of releases without evacuations end here.
	if decoder.HasMore() {
		for _, evacuation := range decodeEvacuations(decoder) {
			s.evacuations[evacuation.Zone] = evacuation
			s.evacuationRevision = max(s.evacuationRevision, evacuation.Revision)
		}
	}
	// Snapshots of releases without target orders end here.
	if decoder.HasMore() {
		for _, order := range decodeTargetOrders(decoder) {
			s.targetOrders[order.ID] = order
		}
	}
	s.decodeVersions(decoder, targets)
	if decoder.HasMore() {
		s.orders = decodeOrderHistory(decoder)
	}
	return s, steperror.Wrap("directory.decode", "", decoder.Err("directory.decode"))
}

// TargetCount returns the number of targets that have not ended.
func (s *State) TargetCount() int { return len(s.tokens) - len(s.ended) }

func (s *State) endedIDs() []string {
	ids := make([]string, 0, len(s.ended))
	for _, target := range s.ended {
		ids = append(ids, target.ID)
	}
	return ids
}
